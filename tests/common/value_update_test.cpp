// Values that go down sessions as differences: what a receiver takes is what was chosen under that number, or
// nothing; whoever missed some, or holds another base, gets the whole, within a bound; bytes are counted.
#include "common/value_update.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "changing_value.hpp"
#include "common/value_difference.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

namespace common = chutevane::common;
using chutevane::Span;
using chutevane::TimePoint;
using chutevane::simulated::ChangingValue;
using chutevane::simulated::Clockwork;
using chutevane::simulated::RandomSource;
using common::encoded;
using common::PushCursor;
using common::RecentValues;
using common::RegisterValue;
using common::ValuePush;
using common::ValueReceiver;

namespace {

ValuePush decoded(const std::string& record) {
  ValuePush push;
  CHECK_TRUE(common::decode(record, push));
  return push;
}

// The values 1 to `count`, of one history.
std::vector<RegisterValue> history(std::size_t count, std::size_t bytes, std::uint64_t seed = 1) {
  ChangingValue changes(seed, bytes);
  std::vector<RegisterValue> out = {{}};
  while (out.size() <= count) out.push_back(changes.next(out.back()));
  return out;
}

}  // namespace

TEST_GROUP(ValueUpdate){};

TEST(ValueUpdate, OneAfterAnother) {
  RecentValues sent;
  ValueReceiver receiver;
  PushCursor cursor;
  for (const RegisterValue& value : history(200, 20000)) {
    if (value.number == 0) continue;
    sent.add(value);
    const std::string* const record = cursor.next(sent, 0);
    CHECK_TRUE(record != nullptr);
    CHECK_TRUE(receiver.receive(decoded(*record)) == ValueReceiver::Result::newer);
    CHECK_TRUE(*receiver.value() == value);
    CHECK_TRUE(cursor.next(sent, 0) == nullptr);
  }
}

// Guards against a wrong value: another value of the base's number, on either side.
TEST(ValueUpdate, AnotherBaseIsRejectedAndTheFullValueIsSent) {
  const std::vector<RegisterValue> values = history(3, 5000);
  RegisterValue other = values[1];
  other.config.data[2500] ^= 1;
  RecentValues sent;
  sent.add(values[1]);
  sent.add(values[2]);
  ValueReceiver receiver;
  CHECK_TRUE(receiver.receive({1, other, {}}) == ValueReceiver::Result::newer);
  PushCursor cursor;
  cursor.acknowledged(1, 0);
  const ValuePush push = decoded(*cursor.next(sent, 0));
  CHECK_TRUE(common::is_difference(push.difference));
  CHECK_TRUE(receiver.receive(push) == ValueReceiver::Result::rejected);
  CHECK_TRUE(*receiver.value() == other);
  cursor.acknowledged(1, 2);
  const ValuePush whole = decoded(*cursor.next(sent, 0));
  CHECK_FALSE(common::is_difference(whole.difference));
  cursor.acknowledged(1, 2);  // was written before the whole came
  CHECK_TRUE(cursor.next(sent, 0) == nullptr);
  CHECK_TRUE(receiver.receive(whole) == ValueReceiver::Result::newer);
  CHECK_TRUE(*receiver.value() == values[2]);
}

// A difference that is spoilt on its way makes nothing, wherever.
TEST(ValueUpdate, CorruptDifferencesAreRejected) {
  const std::vector<RegisterValue> values = history(2, 3000);
  RecentValues sent;
  sent.add(values[1]);
  sent.add(values[2]);
  const ValuePush good = decoded(sent.push_record(1));
  for (std::size_t at = 0; at < good.difference.content.data.size(); ++at) {
    for (const int bit : {0, 3, 7}) {
      ValuePush bad = good;
      bad.difference.content.data[at] = static_cast<char>(bad.difference.content.data[at] ^ (1 << bit));
      ValueReceiver receiver;
      CHECK_TRUE(receiver.receive({1, values[1], {}}) == ValueReceiver::Result::newer);
      CHECK_TRUE(receiver.receive(bad) == ValueReceiver::Result::rejected);
      CHECK_TRUE(receiver.receive(good) == ValueReceiver::Result::newer);
    }
  }
}

// A receiver whose base is long gone, that holds nothing, or that knows nothing of the base's number.
TEST(ValueUpdate, FullValueWhereTheBaseIsNotStored) {
  const std::vector<RegisterValue> values = history(200, 3000);
  RecentValues sent;
  for (std::size_t i = 1; i < values.size(); ++i) sent.add(values[i]);
  for (const std::int64_t held : {0, 1, 100}) {
    PushCursor cursor;
    cursor.acknowledged(held, 0);
    CHECK_FALSE(common::is_difference(decoded(*cursor.next(sent, 0)).difference));
  }
  PushCursor cursor;
  cursor.acknowledged(190, 0);
  CHECK_TRUE(common::is_difference(decoded(*cursor.next(sent, 0)).difference));
}

// One that does not read gets no more: what waits for it is bounded by one value.
TEST(ValueUpdate, NothingMoreForAReceiverThatDoesNotRead) {
  const std::vector<RegisterValue> values = history(50, 1U << 20U);
  RecentValues sent;
  PushCursor cursor;
  std::size_t unsent = 0;
  for (std::size_t i = 1; i < values.size(); ++i) {
    sent.add(values[i]);
    if (const std::string* const record = cursor.next(sent, unsent)) unsent += record->size();
    CHECK_TRUE(unsent <= PushCursor::max_unsent_bytes + 2 * values[1].config.data.size());
  }
  // It reads again: the newest comes next, and is what it asked for.
  CHECK_EQUAL(50, decoded(*cursor.next(sent, 0)).number);
}

// Whatever the sizes, what is held for differences is bounded: 4 MiB beside the newest, or one value.
TEST(ValueUpdate, MemoryIsBounded) {
  for (const std::size_t bytes : {1024U, 64U << 10U, 1U << 20U, 8U << 20U}) {
    RecentValues sent;
    std::size_t most = 0, largest = 0;
    for (const RegisterValue& value : history(bytes > (1U << 20U) ? 6 : 100, bytes)) {
      sent.add(value);
      largest = std::max(largest, sent.record().size());
      most = std::max(most, sent.bytes());
    }
    CHECK_TRUE(most <= largest + std::max<std::size_t>(4U << 20U, largest));
    CHECK_TRUE(sent.record_of(sent.number()) != nullptr && sent.record_of(sent.number() - 1) != nullptr);
  }
}

// ---- a day of changes, with sidecars and control machines that fail in every way

namespace {

constexpr Span change_every = Span::ms(50);
constexpr Span heartbeat_every = Span::ms(250);
constexpr Span hello_every = Span::ms(300);
constexpr Span caught_up_most = Span::ms(1200);  // of a sidecar that nothing holds up
constexpr std::size_t controls = 3;

struct Sidecar;

// A held connection: what is written comes in order, or is lost with the connection.
struct Connection {
  PushCursor cursor;
  std::int64_t refused = 0;
  std::size_t unsent = 0;
  std::uint64_t turn = 0;  // of the connection: what belongs to an earlier one is lost
  TimePoint last_down, last_up;
  bool up = true;
};

struct Sidecar {
  std::unique_ptr<ValueReceiver> values = std::make_unique<ValueReceiver>();
  Connection to[controls];
  std::size_t first = 0;
  bool frozen = false, down = false;
  TimePoint calm_since;
};

struct PlayedDay {
  PlayedDay(std::uint64_t seed, std::size_t bytes, std::size_t count)
      : luck(seed), changes(seed, bytes), sidecars(count) {
    for (std::size_t i = 0; i < controls; ++i) known.push_back(std::make_unique<RecentValues>());
    for (Sidecar& s : sidecars) s.first = luck.below(controls), s.calm_since = clock.system.now();
  }

  TimePoint now() const { return clock.system.now(); }
  Span way() { return Span::ms(1 + 15 * luck.unit()); }

  // Control's side.
  void push(Sidecar& s, std::size_t control) {
    Connection& c = s.to[control];
    if (!c.up || s.down) return;
    const std::string* const record = c.cursor.next(*known[control], c.unsent);
    if (record == nullptr) return;
    bytes_sent += record->size();
    bytes_whole += known[control]->record().size();
    ++pushes;
    c.unsent += record->size();
    c.last_down = std::max(c.last_down, now() + way());
    clock.later.at(c.last_down,
                   [this, &s, control, turn = c.turn, copy = *record] { arrive(s, control, turn, copy); });
  }
  void arrive(Sidecar& s, std::size_t control, std::uint64_t turn, const std::string& record) {
    Connection& c = s.to[control];
    if (turn != c.turn) return;
    if (s.frozen || !c.up) {  // it lies in the socket
      clock.later.after(Span::ms(20),
                        [this, &s, control, turn, record] { arrive(s, control, turn, record); });
      return;
    }
    c.unsent -= record.size();
    const std::int64_t before = s.values->number();
    ValuePush push = decoded(record);
    const std::int64_t number = push.number;
    const auto came = s.values->receive(std::move(push));
    if (came == ValueReceiver::Result::rejected) c.refused = std::max(c.refused, number), ++refusals;
    if (came == ValueReceiver::Result::newer) {
      check(s.values->number() > before, "went back");
      check(*s.values->value() == truth[static_cast<std::size_t>(number)], "took a wrong value");
    }
    hello_all(s);
  }
  // The sidecar's side.
  void hello_all(Sidecar& s) {
    for (std::size_t i = 0; i < controls; ++i) hello(s, i);
  }
  void hello(Sidecar& s, std::size_t control) {
    Connection& c = s.to[control];
    if (!c.up || s.frozen || s.down) return;
    const std::int64_t number = s.values->number(), refused = c.refused > number ? c.refused : 0;
    c.last_up = std::max(c.last_up, now() + way());
    clock.later.at(c.last_up, [this, &s, control, turn = c.turn, number, refused] {
      Connection& there = s.to[control];
      if (turn != there.turn) return;
      there.cursor.acknowledged(number, refused);
      if (s.first == control || refused != 0) push(s, control);
    });
  }
  void reconnect(Sidecar& s, std::size_t control) {
    Connection& c = s.to[control];
    c.cursor = {};
    c.refused = 0;
    c.unsent = 0;
    ++c.turn;
    c.up = true;
    c.last_down = c.last_up = now();
    hello(s, control);
  }

  void change() {
    truth.push_back(changes.next(truth.back()));
    for (std::size_t i = 0; i < controls; ++i) {
      if (luck.chance(0.1)) continue;  // it does not hear of this one
      clock.later.after(way() * 3, [this, i, value = truth.back()] { hear(i, value); });
    }
  }
  void hear(std::size_t control, const RegisterValue& value) {
    if (lost_for[control] > now() || value.number <= known[control]->number()) return;
    known[control]->add(value);
    for (Sidecar& s : sidecars) {
      if (s.first == control) push(s, control);
    }
  }
  void heartbeat() {
    for (std::size_t i = 0; i < controls; ++i) {
      if (lost_for[i] <= now() && truth.size() > 1) hear(i, truth.back());  // it has read the register
      for (Sidecar& s : sidecars) push(s, i);
    }
  }

  void trouble() {
    Sidecar& s = sidecars[luck.below(sidecars.size())];
    const std::size_t control = luck.below(controls);
    const Span most = Span::ms(2000 * luck.unit());
    const auto calm_again = [this, &s](Span after) { s.calm_since = std::max(s.calm_since, now() + after); };
    switch (luck.below(6)) {
      case 0:  // frozen
        s.frozen = true;
        calm_again(most);
        clock.later.after(most, [&s] { s.frozen = false; });
        break;
      case 1:  // starts again with nothing
        s.down = true;
        calm_again(most);
        clock.later.after(most, [this, &s] {
          s.values = std::make_unique<ValueReceiver>();
          s.down = false;
          for (std::size_t i = 0; i < controls; ++i) reconnect(s, i);
        });
        break;
      case 2:  // one connection is cut, and made anew
        s.to[control].up = false;
        calm_again(most);
        clock.later.after(most, [this, &s, control] { reconnect(s, control); });
        break;
      case 3:  // another control machine is the first
        s.first = control;
        break;
      case 4:  // a control machine starts again: it knows the newest alone
        known[control] = std::make_unique<RecentValues>();
        for (Sidecar& one : sidecars) {
          one.calm_since = std::max(one.calm_since, now());
          reconnect(one, control);
        }
        break;
      default:  // a control machine is cut off from the others: it hears of nothing
        lost_for[control] = now() + most;
        for (Sidecar& one : sidecars) one.calm_since = std::max(one.calm_since, now() + most);
    }
  }

  // Whoever was not held up for so long has what was newest at that time.
  void look() {
    const std::int64_t newest = truth.back().number;
    clock.later.after(caught_up_most, [this, newest] {
      for (const Sidecar& s : sidecars) {
        if (s.calm_since <= now() - caught_up_most)
          check(s.values->number() >= newest,
                numbered("not caught up: ", s.values->number()) + numbered(" of ", newest));
      }
    });
  }

  void run(std::size_t count, bool faults) {
    for (std::size_t i = 0; i < count; ++i) {
      clock.later.after(change_every * static_cast<double>(i), [this] { change(); });
      if (i % 10 == 0) clock.later.after(change_every * static_cast<double>(i), [this] { look(); });
      if (faults && i % 5 == 0 && i + 60 < count)
        clock.later.after(change_every * static_cast<double>(i), [this] { trouble(); });
    }
    const Span all = change_every * static_cast<double>(count) + Span::ms(4000);
    for (Span at; at < all; at = at + heartbeat_every) clock.later.after(at, [this] { heartbeat(); });
    for (Span at; at < all; at = at + hello_every) {
      clock.later.after(at, [this] {
        for (Sidecar& s : sidecars) hello_all(s);
      });
    }
    clock.play(all);
    for (const Sidecar& s : sidecars)
      check(s.values->number() == truth.back().number, "not caught up at the end");
  }

  void check(bool good, const std::string& what) {
    if (!good && broken.empty()) broken = what;
  }

  Clockwork clock;
  RandomSource luck;
  ChangingValue changes;
  std::vector<RegisterValue> truth = {{}};
  std::vector<std::unique_ptr<RecentValues>> known;
  TimePoint lost_for[controls];
  std::vector<Sidecar> sidecars;
  std::size_t bytes_sent = 0, bytes_whole = 0, pushes = 0, refusals = 0;
  std::string broken;
};

}  // namespace

TEST_GROUP(ValueUpdateDays){};

// 1,000 changes at 20 a second, eight sidecars: bytes a change and sidecar.
TEST(ValueUpdateDays, BytesOfADayWithoutFaults) {
  for (const std::size_t bytes : {1024U, 16U << 10U, 64U << 10U}) {
    PlayedDay day(7, bytes, 8);
    day.run(1000, false);
    CHECK_TEXT(day.broken.empty(), day.broken.c_str());
    const double each = static_cast<double>(day.bytes_sent) / 1000 / 8;
    const std::string where = numbered("bytes ", static_cast<long long>(bytes)) +
                              numbered(": a change and sidecar ", static_cast<long long>(each)) +
                              numbered(", whole ", static_cast<long long>(day.bytes_whole / 8000)) +
                              numbered(", refused ", static_cast<long long>(day.refusals));
    CHECK_WHERE(each < 1000, where);
    if (const char* told = std::getenv("CHUTEVANE_TELL_BYTES"); told != nullptr) UT_PRINT(where.c_str());
  }
}

TEST(ValueUpdateDays, EveryFaultByManySeeds) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    PlayedDay day(seed, 2000 + 1500 * seed, 6);
    day.run(1000, true);
    CHECK_WHERE(day.broken.empty(), numbered("seed ", static_cast<long long>(seed)) + ": " + day.broken);
  }
}
