// Property test of the state machine: random calls, repetitions, lost answers and expiries, with proposers
// that each have their own clock. ClientView checks the answers.
//
// The register is simulated according to its contract: a proposal starts from the newest chosen value, or
// from one that a minority has accepted and that was never chosen. Each chosen value follows the previous
// one.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "client_view.hpp"
#include "control/coordination/local_times.hpp"
#include "control/coordination/state_machine.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::simulated::RandomSource;
using namespace chutevane::control::coordination;

namespace {

constexpr Span watcher_history = Span::ms(20'000);  // how long watchers may resume
constexpr Span history_retention = Span::ms(60'000);
constexpr Span put_repeat_time = Span::ms(15'000);   // how long a put may be repeated
constexpr Span call_lifetime = Span::ms(1'500);      // after this, no controller executes the call
constexpr Span client_timeout = Span::ms(1'000);     // after this, the client ignores the answer
constexpr Span max_client_pause = Span::ms(12'000);  // of a client, which may hold a lock during it
constexpr double clock_rate_error = 0.0004;          // of one controller's steady clock

// A controller with a clock that runs slightly fast or slow.
struct Controller {
  std::optional<LocalTimes> times;
  double clock_rate = 1;
  Span clock_offset;
  TimePoint clock(TimePoint now) const {
    return TimePoint() + clock_offset + (now - TimePoint()) * clock_rate;
  }
};

enum class HoldTimes : std::uint8_t {
  fixed_per_client,  // each client requests the same hold time with every call
  varying,           // each call requests a random hold time
};

class Run {
 public:
  Run(std::uint64_t seed, HoldTimes hold_times) : random_(seed), hold_times_(hold_times) {
    for (Controller& controller : controllers_) restart(controller);
  }

  void play(int steps) {
    for (int step = 0; step < steps && view.violation.empty(); ++step) {
      now_ = now_ + Span::ms(random_.chance(0.01) ? 30'000 * random_.unit() : 80 * random_.unit());
      deliver_answers();
      const double kind = random_.unit();
      if (kind < 0.45) {
        send_call();
      } else if (kind < 0.85) {
        propose();
      } else if (kind < 0.99) {
        observe_chosen();
      } else {
        restart(some_controller());
      }
    }
  }

  ClientView view;
  std::size_t granted = 0, refused = 0, rejected = 0, repeated = 0;

 private:
  struct SentCall {
    Call call;
    TimePoint sent_at;
  };
  struct SentAnswer {
    SentCall to;
    Answer answer;
    TimePoint arrives_at;
  };
  struct Put {
    Call call;
    TimePoint first_sent_at;
  };
  struct Chosen {
    State state;
    TimePoint at;
  };

  Controller& some_controller() { return controllers_[random_.below(controllers_.size())]; }
  void restart(Controller& controller) {
    controller.times.emplace(history_retention);
    controller.clock_rate = 1 + clock_rate_error * (2 * random_.unit() - 1);
    controller.clock_offset = Span::ms(1e9 * random_.unit());
  }
  // A controller observes a chosen value up to two values late, or out of order.
  void observe_chosen() {
    Controller& controller = some_controller();
    const std::size_t back = std::min(random_.below(3), chosen_.size() - 1);
    controller.times->observe(chosen_[chosen_.size() - 1 - back].state, controller.clock(now_));
  }

  // ---- Clients
  void send_call() {
    Call call;
    const double kind = random_.unit();
    if (kind < 0.5) {
      const std::size_t client = random_.below(paused_until_.size());
      if (now_ < paused_until_[client]) return;
      if (random_.chance(0.03)) paused_until_[client] = now_ + max_client_pause * random_.unit();
      call = lock_call(client);
    } else if (kind < 0.6) {
      call.operation = Operation::next_number;
      call.name = numbered("n", static_cast<long long>(random_.below(2)));
    } else if (kind < 0.9) {
      call = put_call();
    } else {
      call.operation = Operation::get_key;
      call.name = some_key();
    }
    call.id = random_.next();
    if (!call.holder.empty()) awaited_[{call.name, call.holder}] = call.id;
    in_flight_.push_back({call, now_});
  }
  Call lock_call(std::size_t client) {
    Call call;
    call.name = numbered("l", static_cast<long long>(random_.below(2)));
    call.holder = numbered("a", static_cast<long long>(client));
    const bool is_long = hold_times_ == HoldTimes::varying ? random_.chance(0.3) : client == 0;
    call.hold = Span::ms(is_long ? 9000 : 600);
    const std::optional<std::int64_t> fence = view.held_fence(call.name, call.holder, now_);
    call.operation = Operation::acquire_lock;
    if (!fence || random_.chance(0.15)) return call;
    call.fence = *fence;
    call.operation = random_.chance(0.75) ? Operation::renew_lock : Operation::release_lock;
    if (call.operation == Operation::release_lock) view.released(call);
    return call;
  }
  std::string some_key() {
    return std::string(random_.chance(0.8) ? "g." : "h.") +
           numbered("k", static_cast<long long>(random_.below(3)));
  }
  Call put_call() {
    std::erase_if(puts_, [&](const Put& put) { return now_ - put.first_sent_at > put_repeat_time; });
    if (!puts_.empty() && random_.chance(0.3)) {  // a repetition
      ++repeated;
      return puts_[random_.below(puts_.size())].call;
    }
    Call call;
    call.operation = Operation::put_key;
    call.name = some_key();
    call.value = numbered("v", ++value_count_);
    call.applies_to = any_revision;
    if (random_.chance(0.5)) call.applies_to = revision_of(call.name) - (random_.chance(0.2) ? 1 : 0);
    call.applies_to = std::max(call.applies_to, any_revision);
    puts_.push_back({call, now_});
    applies_to_[call.value] = call.applies_to;
    return call;
  }
  std::int64_t revision_of(const std::string& key) const {
    const State& state = chosen_.back().state;
    const auto group = state.groups.find(*group_of(key));
    if (group == state.groups.end()) return 0;
    const auto found = group->second.keys.find(key);
    return found == group->second.keys.end() ? 0 : found->second.revision;
  }

  void deliver_answers() {
    std::erase_if(answers_, [&](const SentAnswer& sent) {
      if (sent.arrives_at > now_) return false;
      if (now_ - sent.to.sent_at < client_timeout && is_awaited(sent.to.call)) deliver(sent.to, sent.answer);
      return true;
    });
  }
  // A client accepts one answer per call. For a lock, it accepts only the answer to its newest call.
  bool is_awaited(const Call& call) {
    if (!answered_.insert(call.id).second) return false;
    const auto newest = awaited_.find({call.name, call.holder});
    return call.holder.empty() || (newest != awaited_.end() && newest->second == call.id);
  }
  void deliver(const SentCall& to, const Answer& answer) {
    const Call& call = to.call;
    const bool is_done = answer.outcome == Outcome::done;
    if (answer.outcome == Outcome::held_by_other) ++refused;
    switch (call.operation) {
      case Operation::acquire_lock:
        if (is_done) view.acquired(call, answer.number, to.sent_at, now_);
        granted += is_done ? 1 : 0;
        break;
      case Operation::renew_lock:
        if (is_done) view.renewed(call, to.sent_at, now_);
        break;
      case Operation::next_number: view.number_issued(call.name, answer.number, to.sent_at, now_); break;
      case Operation::put_key:
        if (is_done) view.put_done(call, answer.number);
        if (answer.outcome != Outcome::revision_mismatch) break;
        ++rejected;
        view.put_rejected(call);
        std::erase_if(puts_, [&](const Put& put) { return put.call.value == call.value; });
        break;
      case Operation::get_key:
        if (is_done) view.read(answer.value, answer.number);
        break;
      default: break;
    }
  }

  // ---- The register
  // Proposes a batch of the calls in flight. Some of them are executed again later with the same ids.
  void propose() {
    Controller& controller = some_controller();
    const TimePoint clock = controller.clock(now_);
    const bool found_unchosen = unchosen_ && random_.chance(0.5);
    const State found = found_unchosen ? *unchosen_ : chosen_.back().state;
    controller.times->observe(found, clock);
    StateMachine machine(found, *controller.times, clock);
    const std::vector<SentCall> batch = take_batch();
    std::vector<Answer> answers;
    for (const SentCall& sent : batch) answers.push_back(machine.apply(sent.call));
    if (machine.has_changed()) machine.truncate_history();
    if (random_.chance(0.2)) {  // accepted by a minority
      unchosen_ = machine.state();
      for (Controller& other : controllers_) {
        if (random_.chance(0.3)) other.times->observe(*unchosen_, other.clock(now_));
      }
      return;
    }
    unchosen_.reset();
    choose(machine.state());
    controller.times->observe(machine.state(), clock);
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (random_.chance(0.8))
        answers_.push_back({batch[i], answers[i], now_ + Span::ms(120 * random_.unit())});
    }
  }
  std::vector<SentCall> take_batch() {
    std::erase_if(in_flight_, [&](const SentCall& sent) { return now_ - sent.sent_at > call_lifetime; });
    std::vector<SentCall> out;
    for (std::size_t i = random_.below(4); i > 0 && !in_flight_.empty(); --i) {
      const auto taken = in_flight_.begin() + static_cast<std::ptrdiff_t>(random_.below(in_flight_.size()));
      out.push_back(*taken);
      if (random_.chance(0.7)) in_flight_.erase(taken);
    }
    return out;
  }
  void choose(const State& state) {
    check_against(chosen_.back().state, state);
    chosen_.push_back({state, now_});
    while (chosen_.size() > 3 && now_ - chosen_[1].at > watcher_history) chosen_.pop_front();
    for (const auto& [prefix, group] : state.groups) check_history(prefix, group);
  }
  // Fencing tokens and revisions never decrease.
  void check_against(const State& before, const State& after) {
    for (const auto& [name, lock] : before.locks) {
      const auto found = after.locks.find(name);
      view.check(found != after.locks.end() && found->second.fence >= lock.fence,
                 "a fencing token decreased");
    }
    for (const auto& [prefix, group] : before.groups) {
      const auto found = after.groups.find(prefix);
      view.check(found != after.groups.end() && found->second.revision >= group.revision,
                 "a revision decreased");
    }
    for (const auto& [prefix, group] : after.groups) {
      const auto found = before.groups.find(prefix);
      check_new_puts(found == before.groups.end() ? KeyGroup{} : found->second, group);
    }
  }
  // Each new put was applied to the revision that it requires.
  void check_new_puts(KeyGroup before, const KeyGroup& after) {
    for (const PutEvent& event : after.history) {
      if (event.revision <= before.revision) continue;
      KeyValue& entry = before.keys[event.key];
      const std::int64_t applies_to = applies_to_.at(event.value);
      view.check(applies_to == any_revision || applies_to == entry.revision,
                 "a put was applied to a different revision");
      entry = {event.value, event.revision};
    }
  }
  void check_history(const std::string& prefix, const KeyGroup& group) {
    std::int64_t revision = group.revision - static_cast<std::int64_t>(group.history.size());
    const std::int64_t first = revision + 1;
    for (const PutEvent& event : group.history)
      view.check(event.revision == ++revision, "a history has a gap");
    for (const auto& [key, entry] : group.keys) view.read(entry.value, entry.revision);
    for (const PutEvent& event : group.history) view.read(event.value, event.revision);
    // A watcher may have received the revision of any value that was chosen within the promised time.
    for (const Chosen& earlier : chosen_) {
      const auto known = earlier.state.groups.find(prefix);
      const std::int64_t held = known == earlier.state.groups.end() ? 0 : known->second.revision;
      const bool is_promised = now_ - earlier.at <= watcher_history && held > 0;
      view.check(!is_promised || first <= held + 1, "history that a watcher may resume from was dropped");
    }
  }

  RandomSource random_;
  const HoldTimes hold_times_;
  TimePoint now_ = TimePoint::at_ms(1e6);
  std::vector<Controller> controllers_{5};
  std::deque<Chosen> chosen_{Chosen{{}, TimePoint::at_ms(1e6)}};
  std::optional<State> unchosen_;  // accepted by a minority
  std::vector<SentCall> in_flight_;
  std::vector<SentAnswer> answers_;
  std::set<std::uint64_t> answered_;                                      // ids of calls
  std::map<std::pair<std::string, std::string>, std::uint64_t> awaited_;  // by lock and holder
  std::vector<Put> puts_;
  std::map<std::string, std::int64_t> applies_to_;  // by value
  std::vector<TimePoint> paused_until_{4};          // by client
  long long value_count_ = 0;
};

// Runs the test for each seed. Also checks that every kind of outcome occurred often enough to be tested.
void check_seeds(std::uint64_t first, std::uint64_t seeds, HoldTimes hold_times) {
  std::size_t granted = 0, refused = 0, rejected = 0, repeated = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    Run run(seed, hold_times);
    run.play(2500);
    CHECK_WHERE(run.view.violation.empty(),
                numbered("seed ", static_cast<long long>(seed)) + ": " + run.view.violation);
    granted += run.granted;
    refused += run.refused;
    rejected += run.rejected;
    repeated += run.repeated;
  }
  CHECK_TRUE(granted > seeds * 20);
  CHECK_TRUE(refused > seeds * 10);
  CHECK_TRUE(rejected > seeds * 5);
  CHECK_TRUE(repeated > seeds * 20);
}

}  // namespace

TEST_GROUP(CoordinationProperty){};

TEST(CoordinationProperty, ClientsSeeOneOrder) { check_seeds(1, 60, HoldTimes::fixed_per_client); }

// A renewal or repeated acquisition whose answer is lost must not shorten the hold that its holder relies on.
TEST(CoordinationProperty, HoldTimesMayVary) { check_seeds(1000, 60, HoldTimes::varying); }
