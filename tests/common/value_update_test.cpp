// Register values sent on sessions as differences: a receiver applies exactly the value chosen under a number
// or nothing. A receiver that missed values, or has another base, gets the full value within a limited time.
// The number of bytes sent is checked too.
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

// Returns the empty value 0 and the values 1 to `count` of one history.
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

// Guards against a wrong result when sender and receiver have different values with the base's number.
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
  const ValuePush full = decoded(*cursor.next(sent, 0));
  CHECK_FALSE(common::is_difference(full.difference));
  cursor.acknowledged(1, 2);  // sent before the full value arrived
  CHECK_TRUE(cursor.next(sent, 0) == nullptr);
  CHECK_TRUE(receiver.receive(full) == ValueReceiver::Result::newer);
  CHECK_TRUE(*receiver.value() == values[2]);
}

// A difference that is corrupted at any byte is rejected.
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

// Receivers without a value, or with values that the sender no longer stores, get the full value.
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

// Guards against unbounded buffering for a receiver that does not read.
TEST(ValueUpdate, NothingIsSentToAReceiverThatDoesNotRead) {
  const std::vector<RegisterValue> values = history(50, 1U << 20U);
  RecentValues sent;
  PushCursor cursor;
  std::size_t unsent = 0;
  for (std::size_t i = 1; i < values.size(); ++i) {
    sent.add(values[i]);
    if (const std::string* const record = cursor.next(sent, unsent)) unsent += record->size();
    CHECK_TRUE(unsent <= PushCursor::max_unsent_bytes + 2 * values[1].config.data.size());
  }
  // Once it reads again, the newest value is sent next.
  CHECK_EQUAL(50, decoded(*cursor.next(sent, 0)).number);
}

// The memory for bases is limited for all sizes of values: 4 MiB besides the newest value, or one value.
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

// ---- Simulation of sidecars and controllers with changes and faults

namespace {

constexpr Span change_interval = Span::ms(50);
constexpr Span controller_heartbeat_interval = Span::ms(250);
constexpr Span member_heartbeat_interval = Span::ms(300);
constexpr Span max_catch_up_time = Span::ms(1200);  // for a sidecar that no fault delays
constexpr std::size_t controller_count = 3;

struct Sidecar;

// A connection between a sidecar and a controller. Messages arrive in order, or are lost with the connection.
struct Connection {
  PushCursor cursor;
  std::int64_t rejected_push = 0;
  std::size_t unsent = 0;
  std::uint64_t incarnation = 0;  // counts reconnects: messages of earlier connections are lost
  TimePoint last_down, last_up;
  bool up = true;
};

struct Sidecar {
  std::unique_ptr<ValueReceiver> values = std::make_unique<ValueReceiver>();
  Connection to[controller_count];
  std::size_t primary = 0;
  bool frozen = false, down = false;
  TimePoint undisturbed_since;
};

struct Simulation {
  Simulation(std::uint64_t seed, std::size_t bytes, std::size_t count)
      : random(seed), changes(seed, bytes), sidecars(count) {
    for (std::size_t i = 0; i < controller_count; ++i)
      known_values.push_back(std::make_unique<RecentValues>());
    for (Sidecar& s : sidecars)
      s.primary = random.below(controller_count), s.undisturbed_since = clock.system.now();
  }

  TimePoint now() const { return clock.system.now(); }
  Span network_delay() { return Span::ms(1 + 15 * random.unit()); }

  // The controllers' side.
  void push(Sidecar& s, std::size_t controller) {
    Connection& c = s.to[controller];
    if (!c.up || s.down) return;
    const std::string* const record = c.cursor.next(*known_values[controller], c.unsent);
    if (record == nullptr) return;
    bytes_sent += record->size();
    bytes_of_full_values += known_values[controller]->record().size();
    ++pushes;
    c.unsent += record->size();
    c.last_down = std::max(c.last_down, now() + network_delay());
    clock.later.at(c.last_down, [this, &s, controller, incarnation = c.incarnation, copy = *record] {
      arrive(s, controller, incarnation, copy);
    });
  }
  void arrive(Sidecar& s, std::size_t controller, std::uint64_t incarnation, const std::string& record) {
    Connection& c = s.to[controller];
    if (incarnation != c.incarnation) return;
    if (s.frozen || !c.up) {  // the message remains in the socket
      clock.later.after(Span::ms(20), [this, &s, controller, incarnation, record] {
        arrive(s, controller, incarnation, record);
      });
      return;
    }
    c.unsent -= record.size();
    const std::int64_t before = s.values->number();
    ValuePush push = decoded(record);
    const std::int64_t number = push.number;
    const auto result = s.values->receive(std::move(push));
    if (result == ValueReceiver::Result::rejected)
      c.rejected_push = std::max(c.rejected_push, number), ++rejections;
    if (result == ValueReceiver::Result::newer) {
      check(s.values->number() > before, "the value number decreased");
      check(*s.values->value() == chosen_values[static_cast<std::size_t>(number)], "applied a wrong value");
    }
    send_heartbeats(s);
  }
  // The sidecars' side.
  void send_heartbeats(Sidecar& s) {
    for (std::size_t i = 0; i < controller_count; ++i) send_heartbeat(s, i);
  }
  void send_heartbeat(Sidecar& s, std::size_t controller) {
    Connection& c = s.to[controller];
    if (!c.up || s.frozen || s.down) return;
    const std::int64_t number = s.values->number(),
                       rejected_push = c.rejected_push > number ? c.rejected_push : 0;
    c.last_up = std::max(c.last_up, now() + network_delay());
    clock.later.at(c.last_up, [this, &s, controller, incarnation = c.incarnation, number, rejected_push] {
      Connection& there = s.to[controller];
      if (incarnation != there.incarnation) return;
      there.cursor.acknowledged(number, rejected_push);
      if (s.primary == controller || rejected_push != 0) push(s, controller);
    });
  }
  void reconnect(Sidecar& s, std::size_t controller) {
    Connection& c = s.to[controller];
    c.cursor = {};
    c.rejected_push = 0;
    c.unsent = 0;
    ++c.incarnation;
    c.up = true;
    c.last_down = c.last_up = now();
    send_heartbeat(s, controller);
  }

  void change() {
    chosen_values.push_back(changes.next(chosen_values.back()));
    for (std::size_t i = 0; i < controller_count; ++i) {
      if (random.chance(0.1)) continue;  // this controller misses the change
      clock.later.after(network_delay() * 3, [this, i, value = chosen_values.back()] { learn(i, value); });
    }
  }
  void learn(std::size_t controller, const RegisterValue& value) {
    if (partitioned_until[controller] > now() || value.number <= known_values[controller]->number()) return;
    known_values[controller]->add(value);
    for (Sidecar& s : sidecars) {
      if (s.primary == controller) push(s, controller);
    }
  }
  void controller_heartbeats() {
    for (std::size_t i = 0; i < controller_count; ++i) {
      if (partitioned_until[i] <= now() && chosen_values.size() > 1)
        learn(i, chosen_values.back());  // reads the register
      for (Sidecar& s : sidecars) push(s, i);
    }
  }

  void inject_fault() {
    Sidecar& s = sidecars[random.below(sidecars.size())];
    const std::size_t controller = random.below(controller_count);
    const Span duration = Span::ms(2000 * random.unit());
    const auto disturb_for = [this, &s](Span time) {
      s.undisturbed_since = std::max(s.undisturbed_since, now() + time);
    };
    switch (random.below(6)) {
      case 0:  // frozen
        s.frozen = true;
        disturb_for(duration);
        clock.later.after(duration, [&s] { s.frozen = false; });
        break;
      case 1:  // restarts without a value
        s.down = true;
        disturb_for(duration);
        clock.later.after(duration, [this, &s] {
          s.values = std::make_unique<ValueReceiver>();
          s.down = false;
          for (std::size_t i = 0; i < controller_count; ++i) reconnect(s, i);
        });
        break;
      case 2:  // one connection is lost and re-established
        s.to[controller].up = false;
        disturb_for(duration);
        clock.later.after(duration, [this, &s, controller] { reconnect(s, controller); });
        break;
      case 3:  // another controller becomes the primary
        s.primary = controller;
        break;
      case 4:  // a controller restarts and knows only the newest value
        known_values[controller] = std::make_unique<RecentValues>();
        for (Sidecar& one : sidecars) {
          one.undisturbed_since = std::max(one.undisturbed_since, now());
          reconnect(one, controller);
        }
        break;
      default:  // a controller is partitioned from the others and learns no values
        partitioned_until[controller] = now() + duration;
        for (Sidecar& one : sidecars)
          one.undisturbed_since = std::max(one.undisturbed_since, now() + duration);
    }
  }

  // Checks that each sidecar without faults for max_catch_up_time has the value that was the newest at its
  // beginning.
  void check_progress() {
    const std::int64_t newest = chosen_values.back().number;
    clock.later.after(max_catch_up_time, [this, newest] {
      for (const Sidecar& s : sidecars) {
        if (s.undisturbed_since <= now() - max_catch_up_time)
          check(s.values->number() >= newest,
                numbered("not caught up: ", s.values->number()) + numbered(" of ", newest));
      }
    });
  }

  void run(std::size_t count, bool faults) {
    for (std::size_t i = 0; i < count; ++i) {
      clock.later.after(change_interval * static_cast<double>(i), [this] { change(); });
      if (i % 10 == 0)
        clock.later.after(change_interval * static_cast<double>(i), [this] { check_progress(); });
      if (faults && i % 5 == 0 && i + 60 < count)
        clock.later.after(change_interval * static_cast<double>(i), [this] { inject_fault(); });
    }
    const Span all = change_interval * static_cast<double>(count) + Span::ms(4000);
    for (Span at; at < all; at = at + controller_heartbeat_interval)
      clock.later.after(at, [this] { controller_heartbeats(); });
    for (Span at; at < all; at = at + member_heartbeat_interval) {
      clock.later.after(at, [this] {
        for (Sidecar& s : sidecars) send_heartbeats(s);
      });
    }
    clock.play(all);
    for (const Sidecar& s : sidecars)
      check(s.values->number() == chosen_values.back().number, "not caught up at the end");
  }

  void check(bool good, const std::string& what) {
    if (!good && failure.empty()) failure = what;
  }

  Clockwork clock;
  RandomSource random;
  ChangingValue changes;
  std::vector<RegisterValue> chosen_values = {{}};
  std::vector<std::unique_ptr<RecentValues>> known_values;
  TimePoint partitioned_until[controller_count];
  std::vector<Sidecar> sidecars;
  std::size_t bytes_sent = 0, bytes_of_full_values = 0, pushes = 0, rejections = 0;
  std::string failure;
};

}  // namespace

TEST_GROUP(ValueUpdateSimulation){};

// Checks the number of bytes per change and sidecar for 1,000 changes at 20 per second and eight sidecars.
TEST(ValueUpdateSimulation, BytesSentWithoutFaults) {
  for (const std::size_t bytes : {1024U, 16U << 10U, 64U << 10U}) {
    Simulation simulation(7, bytes, 8);
    simulation.run(1000, false);
    CHECK_TEXT(simulation.failure.empty(), simulation.failure.c_str());
    const double each = static_cast<double>(simulation.bytes_sent) / 1000 / 8;
    const std::string where =
        numbered("bytes ", static_cast<long long>(bytes)) +
        numbered(": per change and sidecar ", static_cast<long long>(each)) +
        numbered(", full ", static_cast<long long>(simulation.bytes_of_full_values / 8000)) +
        numbered(", rejected ", static_cast<long long>(simulation.rejections));
    CHECK_WHERE(each < 1000, where);
    if (const char* enabled = std::getenv("CHUTEVANE_TELL_BYTES"); enabled != nullptr)
      UT_PRINT(where.c_str());
  }
}

TEST(ValueUpdateSimulation, EveryFaultByManySeeds) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    Simulation simulation(seed, 2000 + 1500 * seed, 6);
    simulation.run(1000, true);
    CHECK_WHERE(simulation.failure.empty(),
                numbered("seed ", static_cast<long long>(seed)) + ": " + simulation.failure);
  }
}
