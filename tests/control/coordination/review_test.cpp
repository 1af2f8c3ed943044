// The coordination state under repeats of calls that are late, holds of different lengths, history that is
// full, and states that were found but never chosen.
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
TEST_GROUP(ReviewedBatches) {
  static constexpr std::size_t acceptor_count = 3;
  static constexpr Span client_timeout = Span::ms(900);
  AcceptorCluster cluster{acceptor_count, 1};
  SimulatedTransport transport{cluster};
  Register reg{cluster.clock.later, transport, 1};
  LocalTimes times{history_retention};
  BatchProposer proposer{cluster.clock.later, reg, times};
  std::size_t requests = 0;  // that have come to an acceptor
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
  /// Until so many calls are done, and all messages have arrived.
  void play_until_done(int count) {
    CHECK(cluster.clock.play(client_timeout, [&] { return done == count; }));
    cluster.clock.play(Span::ms(100));
  }
};

// Guards against: a batch that had waited for the one before it began by a read, although it changes the
// state: a round more for each batch under load.
TEST(ReviewedBatches, ABatchThatHasWaitedProposesAtOnce) {
  submit_number();
  play_until_done(1);
  requests = 0;
  submit_number();
  submit_number();  // waits for the first one's batch
  play_until_done(3);
  LONGS_EQUAL(2 * 2 * acceptor_count, requests);  // two batches of two rounds
}

/// One controller, which has every call carried out on the newest state at its own time.
TEST_GROUP(CoordinationReview) {
  LocalTimes times{history_retention};
  TimePoint now = TimePoint::at_ms(1000);
  State state;
  Limits limits;

  Answer carry_out(const Call& call) {
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

// Guards against: a take that was passed on to two controllers is carried out by the slower one after its
// holder has released the lock, which nobody holds then and nobody else gets.
TEST(CoordinationReview, ATakeCarriedOutAgainAfterItsReleaseTakesNothing) {
  const Answer taken = carry_out(acquire(1, "a"));
  carry_out(release(2, "a", taken.number));
  carry_out(acquire(1, "a"));
  const Answer by_other = carry_out(acquire(3, "b"));
  CHECK(by_other.outcome == Outcome::done);
}

// Guards against: the repeat gives the hold a new fencing token, and its holder, which has the first one, is
// told that it has lost the lock.
TEST(CoordinationReview, ATakeCarriedOutAgainAfterARenewalKeepsTheToken) {
  const Answer taken = carry_out(acquire(1, "a"));
  carry_out(renew(2, "a", taken.number));
  const Answer again = carry_out(acquire(1, "a"));
  CHECK(again.outcome == Outcome::done);
  LONGS_EQUAL(taken.number, again.number);
  CHECK(carry_out(renew(3, "a", taken.number)).outcome == Outcome::done);
}

// A holder whose first answer was lost gets its token by the repeat.
TEST(CoordinationReview, ATakeCarriedOutAgainIsAnsweredAlike) {
  const Answer taken = carry_out(acquire(1, "a"));
  const Answer again = carry_out(acquire(1, "a"));
  CHECK(again.outcome == Outcome::done);
  LONGS_EQUAL(taken.number, again.number);
}

// Guards against: a renewal for a shorter time, whose answer its holder never gets, ends the hold that the
// holder still counts by its earlier call: two holders at once.
TEST(CoordinationReview, AShorterRenewalDoesNotEndTheHoldThatItRenews) {
  const Answer taken = carry_out(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  carry_out(renew(2, "a", taken.number, short_hold));
  pass(Span::ms(8500));  // 9.5 s after the first call, which was for 10 s
  CHECK(carry_out(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(1000));
  CHECK(carry_out(acquire(4, "b")).outcome == Outcome::done);
}

// The same by a take of the holder itself, which is a renewal too.
TEST(CoordinationReview, AShorterTakeByTheHolderDoesNotEndItsHold) {
  carry_out(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  carry_out(acquire(2, "a", short_hold));
  pass(Span::ms(8500));
  CHECK(carry_out(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(1000));
  CHECK(carry_out(acquire(4, "b")).outcome == Outcome::done);
}

// A controller that knows the renewal alone, as one that has just started, counts as long as the others.
TEST(CoordinationReview, AShorterRenewalIsAsLongForAControllerThatKnowsNoEarlierGrant) {
  const Answer taken = carry_out(acquire(1, "a", long_hold));
  pass(Span::ms(1000));
  carry_out(renew(2, "a", taken.number, short_hold));
  LocalTimes newly_started(history_retention);
  newly_started.observe(state, now);
  CHECK_FALSE(newly_started.has_expired("l", state.locks.at("l"), now + Span::ms(8500)));
}

// Guards against: a shorter renewal that was found and not chosen lends its beginning to its second
// execution, whose time was computed anew and is shorter.
TEST(CoordinationReview, ARenewalCarriedOutAgainDoesNotEndTheHoldThatItRenews) {
  const Answer taken = carry_out(acquire(1, "a", long_hold));
  const State chosen = state;
  pass(Span::ms(1000));
  carry_out(renew(2, "a", taken.number, short_hold));
  pass(Span::ms(800));
  LocalTimes of_other_proposer(history_retention);
  of_other_proposer.observe(chosen, TimePoint::at_ms(1000));
  StateMachine other(chosen, of_other_proposer, now);
  other.apply(renew(2, "a", taken.number, short_hold));
  state = other.state();
  times.observe(state, now);
  pass(Span::ms(7700));  // 9.5 s after the first call, which was for 10 s
  CHECK(carry_out(acquire(3, "b")).outcome == Outcome::held_by_other);
}

// Guards against: a proposer that has started anew, or was cut off, keeps a lock from others for a whole hold
// more, although the controllers that pass calls on to it know that the hold has ended.
TEST(CoordinationReview, AHoldThatHasEndedByAnotherControllersClockHasEnded) {
  carry_out(acquire(1, "a"));
  LocalTimes newly_started(history_retention);
  newly_started.observe(state, now);
  StateMachine machine(state, newly_started, now);
  Call by_other = acquire(2, "b");
  CHECK(machine.apply(by_other).outcome == Outcome::held_by_other);
  by_other.expired_grant_id = 1;
  by_other.expired_grant_number = 1;
  CHECK(machine.apply(by_other).outcome == Outcome::done);
}

// It has ended, and not what its holder was granted since.
TEST(CoordinationReview, ARenewedHoldHasNotEndedByAnotherControllersClock) {
  const Answer taken = carry_out(acquire(1, "a"));
  carry_out(renew(2, "a", taken.number));
  Call by_other = acquire(3, "b");
  by_other.expired_grant_id = 1;
  by_other.expired_grant_number = 1;
  CHECK(carry_out(by_other).outcome == Outcome::held_by_other);
}

// A renewal of the same length does not add up with what is left.
TEST(CoordinationReview, ARenewalCountsFromItself) {
  const Answer taken = carry_out(acquire(1, "a"));
  pass(Span::ms(2000));
  carry_out(renew(2, "a", taken.number));
  pass(Span::ms(2900));
  CHECK(carry_out(acquire(3, "b")).outcome == Outcome::held_by_other);
  pass(Span::ms(200));
  CHECK(carry_out(acquire(4, "b")).outcome == Outcome::done);
}

// Guards against: once its history was full, a group took no put ever again, since only a put that was taken
// dropped old history.
TEST(CoordinationReview, AGroupWhoseHistoryWasFullTakesPutsOnceItIsOld) {
  limits.max_history_events = 3;
  for (std::int64_t revision = 0; revision < 3; ++revision)
    CHECK(carry_out(put("g.k", "v" + std::to_string(revision), revision)).outcome == Outcome::done);
  CHECK(carry_out(put("g.k", "v3", 3)).outcome == Outcome::limit_reached);
  pass(history_retention + Span::ms(1));
  const Answer later = carry_out(put("g.k", "v3", 3));
  CHECK(later.outcome == Outcome::done);
  LONGS_EQUAL(4, later.number);
}

// Guards against: a put that was found at one acceptor and never chosen lends its age to the put that gets
// its revision later: its history is dropped while watchers may still resume before it.
TEST(CoordinationReview, ARevisionGivenAnewIsAsYoungAsItsPut) {
  carry_out(put("g.k", "v1", 0));
  const State chosen = state;
  carry_out(put("g.k", "lost", 1));
  state = chosen;
  pass(Span::ms(45000));
  carry_out(put("g.k", "v2", 1));
  pass(Span::ms(16000));  // 61 s after the lost put, 16 s after the one that was chosen
  carry_out(put("g.k", "v3", 2));
  CHECK(state.groups.at("g.").history.front().revision <= 2);
}

// The same where the state without the lost put was never seen here before the one with its successor.
TEST(CoordinationReview, ARevisionGivenAnewElsewhereIsAsYoungAsItsPut) {
  carry_out(put("g.k", "v1", 0));
  State elsewhere = state;
  carry_out(put("g.k", "lost", 1));
  pass(Span::ms(45000));
  StateMachine other(elsewhere, times, now);
  other.apply(put("g.k", "v2", 1));
  state = other.state();
  times.observe(state, now);
  pass(Span::ms(16000));
  carry_out(put("g.k", "v3", 2));
  CHECK(state.groups.at("g.").history.front().revision <= 2);
}
