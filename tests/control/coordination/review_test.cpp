// Regression tests of the coordination state: late repetitions of calls, holds of different lengths, full
// histories, and states that were read but never chosen.
#include <string>
#include <utility>

#include "control/coordination/batch_proposer.hpp"
#include "control/coordination/local_times.hpp"
#include "control/coordination/state_machine.hpp"
#include "simulated_register.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::Register;
using chutevane::control::coordination::Answer;
using chutevane::control::coordination::BatchProposer;
using chutevane::control::coordination::Call;
using chutevane::control::coordination::Limits;
using chutevane::control::coordination::LocalTimes;
using chutevane::control::coordination::Operation;
using chutevane::control::coordination::Outcome;
using chutevane::control::coordination::State;
using chutevane::control::coordination::StateMachine;
using chutevane::simulated::AcceptorCluster;
using chutevane::simulated::SimulatedTransport;

namespace {

constexpr Span history_retention = Span::ms(60000);
constexpr Span short_hold = Span::ms(3000);
constexpr Span long_hold = Span::ms(10000);

Call lock_call(Operation operation, std::uint64_t id, const std::string& holder) {
  Call out;
  out.operation = operation;
  out.id = id;
  out.name = "l";
  out.holder = holder;
  out.hold = short_hold;
  return out;
}

Call acquire(std::uint64_t id, const std::string& holder, Span hold = short_hold) {
  Call out = lock_call(Operation::acquire_lock, id, holder);
  out.hold = hold;
  return out;
}

Call renew(std::uint64_t id, const std::string& holder, std::int64_t fence, Span hold = short_hold) {
  Call out = lock_call(Operation::renew_lock, id, holder);
  out.fence = fence;
  out.hold = hold;
  return out;
}

Call release(std::uint64_t id, const std::string& holder, std::int64_t fence) {
  Call out = lock_call(Operation::release_lock, id, holder);
  out.fence = fence;
  return out;
}

Call put(const std::string& key, const std::string& value, std::int64_t applies_to) {
  Call out;
  out.operation = Operation::put_key;
  out.name = key;
  out.value = value;
  out.applies_to = applies_to;
  return out;
}

}  // namespace

/// One controller that proposes, and the acceptors of its register.
TEST_GROUP(CoordinationBatchRegression) {
  static constexpr std::size_t acceptor_count = 3;
  static constexpr Span client_timeout = Span::ms(900);
  AcceptorCluster cluster{acceptor_count, 1};
  SimulatedTransport transport{cluster};
  Register reg{cluster.clock.later, transport, 1};
  LocalTimes times{history_retention};
  BatchProposer proposer{cluster.clock.later, reg, times};
  std::size_t requests = 0;  // received by acceptors
  int done = 0;

  void setup() override {
    reg.observe_epoch(cluster.first_epoch_of(acceptor_count));
    cluster.on_asked = [this] { ++requests; };
  }
  void submit_number() {
    Call call;
    call.operation = Operation::next_number;
    call.name = "n";
    proposer.submit(call, cluster.clock.system.now() + client_timeout, [this](const Answer& answer) {
      if (answer.outcome == Outcome::done) ++done;
    });
  }
  /// Runs the simulation until `count` calls are done and all messages have arrived.
  void play_until_done(int count) {
    CHECK(cluster.clock.play(client_timeout, [&] { return done == count; }));
    cluster.clock.play(Span::ms(100));
  }
};

// Guards against: a batch that has waited for the previous one starts with a read although it changes the
// state, which costs an additional round per batch under load.
TEST(CoordinationBatchRegression, WaitingBatchProposesWithoutARead) {
  submit_number();
  play_until_done(1);
  requests = 0;
  submit_number();
  submit_number();  // waits for the first one's batch
  play_until_done(3);
  LONGS_EQUAL(2 * 2 * acceptor_count, requests);  // two batches of two rounds
}

/// One controller that executes every call on the newest state, by its own clock.
TEST_GROUP(CoordinationRegression) {
  LocalTimes times{history_retention};
  TimePoint now = TimePoint::at_ms(1000);
  State state;
  Limits limits;

  Answer execute(const Call& call) {
    times.observe(state, now);
    StateMachine machine(state, times, now, limits);
    const Answer answer = machine.apply(call);
    if (machine.has_changed()) {
      machine.truncate_history();
      state = machine.state();
      times.observe(state, now);
    }
    return answer;
  }
  void pass(Span span) { now = now + span; }
};

// Guards against: an acquisition is forwarded to two controllers, and the slower one executes it after the
// holder has released the lock. The lock is then held without the knowledge of its holder.
TEST(CoordinationRegression, AcquisitionRepeatedAfterItsReleaseAcquiresNothing) {
  const Answer acquired = execute(acquire(1, "a"));
  execute(release(2, "a", acquired.number));
  execute(acquire(1, "a"));
  const Answer by_other = execute(acquire(3, "b"));
  CHECK(by_other.outcome == Outcome::done);
}

// Guards against: the repetition gives the hold a new fencing token, and the holder, which has the first one,
// is refused its next renewal.
TEST(CoordinationRegression, AcquisitionRepeatedAfterARenewalKeepsTheToken) {
  const Answer acquired = execute(acquire(1, "a"));
  execute(renew(2, "a", acquired.number));
  const Answer again = execute(acquire(1, "a"));
  CHECK(again.outcome == Outcome::done);
  LONGS_EQUAL(acquired.number, again.number);
  CHECK(execute(renew(3, "a", acquired.number)).outcome == Outcome::done);
}

// A holder whose first answer was lost gets the same token by the repetition.
TEST(CoordinationRegression, RepeatedAcquisitionGetsTheSameAnswer) {
  const Answer acquired = execute(acquire(1, "a"));
  const Answer again = execute(acquire(1, "a"));
  CHECK(again.outcome == Outcome::done);
  LONGS_EQUAL(acquired.number, again.number);
}

// Guards against: a renewal for a shorter time, whose answer is lost, ends the hold while its holder still
// relies on the earlier grant, so that there are two holders.
TEST(CoordinationRegression, ShorterRenewalDoesNotShortenTheHold) {
  const Answer acquired = execute(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  execute(renew(2, "a", acquired.number, short_hold));
  pass(Span::ms(8500));  // 9.5 s after the first call, which was for 10 s
  CHECK(execute(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(1000));
  CHECK(execute(acquire(4, "b")).outcome == Outcome::done);
}

// The same for an acquisition by the holder itself, which also extends its hold.
TEST(CoordinationRegression, ShorterAcquisitionByTheHolderDoesNotShortenTheHold) {
  execute(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  execute(acquire(2, "a", short_hold));
  pass(Span::ms(8500));
  CHECK(execute(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(1000));
  CHECK(execute(acquire(4, "b")).outcome == Outcome::done);
}

// A controller that has observed only the renewal, for example after a restart, must not expire it earlier.
TEST(CoordinationRegression, ShorterRenewalIsNotShorterForAControllerWithoutTheEarlierGrant) {
  const Answer acquired = execute(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  execute(renew(2, "a", acquired.number, short_hold));
  LocalTimes newly_started(history_retention);
  newly_started.observe(state, now);
  CHECK_FALSE(newly_started.has_expired("l", state.locks.at("l"), now + Span::ms(8500)));
}

// Guards against: a shorter renewal is observed but not chosen, and is executed again with a recomputed,
// shorter duration, which is then counted from the first observation.
TEST(CoordinationRegression, RepeatedRenewalDoesNotShortenTheHold) {
  const Answer acquired = execute(acquire(1, "a", long_hold));
  const State chosen = state;
  pass(Span::ms(1000));
  execute(renew(2, "a", acquired.number, short_hold));
  pass(Span::ms(800));
  LocalTimes of_other_proposer(history_retention);
  of_other_proposer.observe(chosen, TimePoint::at_ms(1000));
  StateMachine other(chosen, of_other_proposer, now);
  other.apply(renew(2, "a", acquired.number, short_hold));
  state = other.state();
  times.observe(state, now);
  pass(Span::ms(7700));  // 9.5 s after the first call, which was for 10 s
  CHECK(execute(acquire(3, "b")).outcome == Outcome::held_by_other);
}

// Guards against: a proposer that was restarted or partitioned blocks a lock for another whole hold time,
// although the controllers that forward calls to it know that the hold has expired.
TEST(CoordinationRegression, HoldThatExpiredByAnotherControllersClockHasExpired) {
  execute(acquire(1, "a"));
  LocalTimes newly_started(history_retention);
  newly_started.observe(state, now);
  StateMachine machine(state, newly_started, now);
  Call by_other = acquire(2, "b");
  CHECK(machine.apply(by_other).outcome == Outcome::held_by_other);
  by_other.expired_grant_id = 1;
  by_other.expired_grant_number = 1;
  CHECK(machine.apply(by_other).outcome == Outcome::done);
}

// Only the named grant has expired, not a later renewal.
TEST(CoordinationRegression, RenewedHoldHasNotExpiredByAnotherControllersClock) {
  const Answer acquired = execute(acquire(1, "a"));
  execute(renew(2, "a", acquired.number));
  Call by_other = acquire(3, "b");
  by_other.expired_grant_id = 1;
  by_other.expired_grant_number = 1;
  CHECK(execute(by_other).outcome == Outcome::held_by_other);
}

// A renewal of the same length is not added to the remaining time.
TEST(CoordinationRegression, RenewalCountsFromItsOwnTime) {
  const Answer acquired = execute(acquire(1, "a"));
  pass(Span::ms(2000));
  execute(renew(2, "a", acquired.number));
  pass(Span::ms(2900));
  CHECK(execute(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(200));
  CHECK(execute(acquire(4, "b")).outcome == Outcome::done);
}

// Guards against: a group whose history is full never accepts a put again, because only an accepted put drops
// old history.
TEST(CoordinationRegression, GroupWithAFullHistoryAcceptsPutsOnceItIsOld) {
  limits.max_history_events = 3;
  for (std::int64_t revision = 0; revision < 3; ++revision)
    CHECK(execute(put("g.k", "v" + std::to_string(revision), revision)).outcome == Outcome::done);
  CHECK(execute(put("g.k", "v3", 3)).outcome == Outcome::limit_reached);
  pass(history_retention + Span::ms(1));
  const Answer later = execute(put("g.k", "v3", 3));
  CHECK(later.outcome == Outcome::done);
  LONGS_EQUAL(4, later.number);
}

// Guards against: a put that was read from one acceptor and never chosen passes its age on to the put that
// later gets its revision, so that history is dropped while watchers may still resume before it.
TEST(CoordinationRegression, ReusedRevisionHasTheAgeOfItsOwnPut) {
  execute(put("g.k", "v1", 0));
  const State chosen = state;
  execute(put("g.k", "lost", 1));
  state = chosen;
  pass(Span::ms(45000));
  execute(put("g.k", "v2", 1));
  pass(Span::ms(16000));  // 61 s after the lost put, 16 s after the one that was chosen
  execute(put("g.k", "v3", 2));
  CHECK(state.groups.at("g.").history.front().revision <= 2);
}

// The same if the state without the lost put was never observed here before the one with its successor.
TEST(CoordinationRegression, RevisionReusedByAnotherControllerHasTheAgeOfItsOwnPut) {
  execute(put("g.k", "v1", 0));
  State elsewhere = state;
  execute(put("g.k", "lost", 1));
  pass(Span::ms(45000));
  StateMachine other(elsewhere, times, now);
  other.apply(put("g.k", "v2", 1));
  state = other.state();
  times.observe(state, now);
  pass(Span::ms(16000));
  execute(put("g.k", "v3", 2));
  CHECK(state.groups.at("g.").history.front().revision <= 2);
}
