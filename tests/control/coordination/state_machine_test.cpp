// Tests StateMachine: each operation with each of its outcomes.
#include "control/coordination/state_machine.hpp"

#include <string>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using namespace chutevane::control::coordination;

namespace {

constexpr Span retention = Span::ms(60'000);

// A state and one controller's times. Each call is a separate change.
struct OneController {
  explicit OneController(const Limits& bounds = {}) : limits(bounds) {}
  Answer apply(const Call& call) {
    times.observe(state, now);
    StateMachine machine(state, times, now, limits);
    const Answer out = machine.apply(call);
    changed = machine.has_changed();
    machine.truncate_history();
    if (changed) state = machine.state();
    times.observe(state, now);
    return out;
  }
  void wait_ms(double ms) { now = now + Span::ms(ms); }

  const Limits limits;
  LocalTimes times{retention};
  State state;
  TimePoint now = TimePoint::at_ms(1e6);
  bool changed = false;  // whether the last call has changed the state
};

Call lock_call(Operation operation, std::uint64_t id, const std::string& holder, std::int64_t fence = 0) {
  Call out;
  out.operation = operation;
  out.id = id;
  out.name = "l";
  out.holder = holder;
  out.fence = fence;
  out.hold = Span::ms(3000);
  return out;
}

Call acquire(std::uint64_t id, const std::string& holder) {
  return lock_call(Operation::acquire_lock, id, holder);
}
Call renew(std::uint64_t id, const std::string& holder, std::int64_t fence) {
  return lock_call(Operation::renew_lock, id, holder, fence);
}
Call release(std::uint64_t id, const std::string& holder, std::int64_t fence) {
  return lock_call(Operation::release_lock, id, holder, fence);
}

Call put(const std::string& key, const std::string& value, std::int64_t applies_to = any_revision) {
  Call out;
  out.operation = Operation::put_key;
  out.name = key;
  out.value = value;
  out.applies_to = applies_to;
  return out;
}

Call named(Operation operation, const std::string& name) {
  Call out;
  out.operation = operation;
  out.name = name;
  return out;
}

void check_answer(Outcome outcome, std::int64_t number, const Answer& answer) {
  STRCMP_EQUAL(std::string(name_of(outcome)).c_str(), std::string(name_of(answer.outcome)).c_str());
  CHECK_EQUAL(number, answer.number);
}

}  // namespace

TEST_GROUP(CoordinationLocks) { OneController controller; };

TEST(CoordinationLocks, FirstAcquisitionGetsTheFirstToken) {
  check_answer(Outcome::done, 1, controller.apply(acquire(1, "a")));
  CHECK_TRUE(controller.changed);
  CHECK_TRUE((controller.state.locks["l"] == Lock{"a", 1, 3000, 1, 1, 1}));
}

TEST(CoordinationLocks, HeldLockIsRefusedToOthersWithoutAChange) {
  controller.apply(acquire(1, "a"));
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(2, "b")));
  CHECK_FALSE(controller.changed);
}

TEST(CoordinationLocks, HolderThatAcquiresAgainGetsANewToken) {
  controller.apply(acquire(1, "a"));
  check_answer(Outcome::done, 2, controller.apply(acquire(2, "a")));
  controller.wait_ms(3009);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(3, "b")));
}

TEST(CoordinationLocks, RepeatedAcquisitionKeepsItsToken) {
  controller.apply(acquire(1, "a"));
  controller.wait_ms(100);
  check_answer(Outcome::done, 1, controller.apply(acquire(1, "a")));
  CHECK_FALSE(controller.changed);
}

// Ids are random, so two holders may use the same one: their calls are different.
TEST(CoordinationLocks, SameIdOfAnotherHolderIsAnotherCall) {
  controller.apply(acquire(1, "a"));
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(1, "b")));
}

TEST(CoordinationLocks, ExpiredLockGoesToTheNextWithAHigherToken) {
  controller.apply(acquire(1, "a"));
  controller.wait_ms(3010);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(2, "b")));
  controller.wait_ms(0.001);
  check_answer(Outcome::done, 2, controller.apply(acquire(3, "b")));
}

TEST(CoordinationLocks, RenewalGrantsMoreTimeUnderTheSameToken) {
  controller.apply(acquire(1, "a"));
  controller.wait_ms(2000);
  check_answer(Outcome::done, 1, controller.apply(renew(2, "a", 1)));
  controller.wait_ms(3010);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(3, "b")));
  controller.wait_ms(1);
  check_answer(Outcome::done, 2, controller.apply(acquire(4, "b")));
}

TEST(CoordinationLocks, RenewalIsRefusedToAllButTheHolderWithTheNewestToken) {
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(1, "a", 1)));  // no such lock
  controller.apply(acquire(2, "a"));
  controller.apply(acquire(3, "a"));
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(4, "a", 1)));
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(5, "a", 3)));
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(6, "b", 2)));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::done, 2, controller.apply(renew(7, "a", 2)));
}

// The holder considers the lock lost, even if no other holder has acquired it yet.
TEST(CoordinationLocks, RenewalAfterExpiryIsRefused) {
  controller.apply(acquire(1, "a"));
  controller.wait_ms(3011);
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(2, "a", 1)));
  CHECK_FALSE(controller.changed);
}

TEST(CoordinationLocks, RepeatedRenewalTakesEffectOnce) {
  controller.apply(acquire(1, "a"));
  controller.apply(renew(2, "a", 1));
  controller.wait_ms(100);
  check_answer(Outcome::done, 1, controller.apply(renew(2, "a", 1)));
  CHECK_FALSE(controller.changed);
}

TEST(CoordinationLocks, ReleasedLockIsFreeAndItsTokensKeepIncreasing) {
  controller.apply(acquire(1, "a"));
  check_answer(Outcome::done, 0, controller.apply(release(2, "a", 1)));
  check_answer(Outcome::held_by_other, 0, controller.apply(renew(3, "a", 1)));
  check_answer(Outcome::done, 2, controller.apply(acquire(4, "b")));
}

// A late release of an earlier hold does not affect the current one, and gets the same answer as any release.
TEST(CoordinationLocks, ReleaseByAnOlderTokenOrAnotherHolderDoesNothing) {
  check_answer(Outcome::done, 0, controller.apply(release(1, "a", 1)));  // no such lock
  controller.apply(acquire(2, "a"));
  controller.apply(acquire(3, "a"));
  check_answer(Outcome::done, 0, controller.apply(release(4, "a", 1)));
  check_answer(Outcome::done, 0, controller.apply(release(5, "b", 2)));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(6, "b")));
}

TEST(CoordinationLocks, RepeatedReleaseDoesNotAffectTheNextHold) {
  controller.apply(acquire(1, "a"));
  controller.apply(release(2, "a", 1));
  controller.apply(acquire(3, "a"));
  check_answer(Outcome::done, 0, controller.apply(release(2, "a", 1)));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(4, "b")));
}

// A late copy of a renewal is executed after a newer renewal: its grant is a new one, which counts from its
// observation, although this controller has observed a grant by the same call before.
TEST(CoordinationLocks, RenewalRepeatedAfterANewerOneIsANewGrant) {
  controller.apply(acquire(1, "a"));
  controller.apply(renew(2, "a", 1));
  LocalTimes other{retention};
  other.observe(controller.state, controller.now);
  controller.wait_ms(500);
  controller.apply(renew(3, "a", 1));
  controller.wait_ms(100);
  check_answer(Outcome::done, 1, controller.apply(renew(2, "a", 1)));
  other.observe(controller.state, controller.now);
  const TimePoint end = controller.now + Span::ms(3010);
  CHECK_FALSE(other.has_expired("l", controller.state.locks["l"], end));
  CHECK_TRUE(other.has_expired("l", controller.state.locks["l"], end + Span::ms(1)));
}

// If the answer is lost, the holder relies on its last answered call.
TEST(CoordinationLocks, ShorterRenewalDoesNotShortenTheHold) {
  controller.apply(acquire(1, "a"));
  Call shorter = renew(2, "a", 1);
  shorter.hold = Span::ms(500);
  check_answer(Outcome::done, 1, controller.apply(shorter));
  controller.wait_ms(3010);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(3, "b")));
  controller.wait_ms(1);
  check_answer(Outcome::done, 2, controller.apply(acquire(4, "b")));
}

TEST(CoordinationLocks, ShorterAcquisitionDoesNotShortenTheOwnHold) {
  controller.apply(acquire(1, "a"));
  Call shorter = acquire(2, "a");
  shorter.hold = Span::ms(500);
  check_answer(Outcome::done, 2, controller.apply(shorter));
  controller.wait_ms(3010);
  check_answer(Outcome::held_by_other, 0, controller.apply(acquire(3, "b")));
}

// After the earlier hold was released or has expired, the next one has the requested duration.
TEST(CoordinationLocks, ShorterAcquisitionAfterTheEndHasTheRequestedDuration) {
  controller.apply(acquire(1, "a"));
  controller.wait_ms(3011);
  Call shorter = acquire(2, "a");
  shorter.hold = Span::ms(500);
  controller.apply(shorter);
  CHECK_EQUAL(500, controller.state.locks["l"].hold_ms);
  controller.apply(acquire(3, "a"));
  controller.apply(release(4, "a", 3));
  shorter.id = 5;
  controller.apply(shorter);
  CHECK_EQUAL(500, controller.state.locks["l"].hold_ms);
}

TEST_GROUP(CoordinationNumbers) { OneController controller; };

TEST(CoordinationNumbers, IncreaseFromOneForEachName) {
  check_answer(Outcome::done, 1, controller.apply(named(Operation::next_number, "n1")));
  check_answer(Outcome::done, 2, controller.apply(named(Operation::next_number, "n1")));
  check_answer(Outcome::done, 1, controller.apply(named(Operation::next_number, "n2")));
  check_answer(Outcome::done, 3, controller.apply(named(Operation::next_number, "n1")));
}

TEST_GROUP(CoordinationKeys) { OneController controller; };

TEST(CoordinationKeys, KeysOfAGroupShareOneRevisionCounter) {
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1")));
  check_answer(Outcome::done, 2, controller.apply(put("g.b", "2")));
  check_answer(Outcome::done, 1, controller.apply(put("h.a", "3")));
  check_answer(Outcome::done, 3, controller.apply(put("g.a", "4")));
  check_answer(Outcome::done, 3, controller.apply(named(Operation::get_group_revision, "g.")));
  check_answer(Outcome::done, 0, controller.apply(named(Operation::get_group_revision, "i.")));
}

TEST(CoordinationKeys, ReadReturnsValueAndRevisionOrNotFound) {
  check_answer(Outcome::not_found, 0, controller.apply(named(Operation::get_key, "g.a")));
  controller.apply(put("g.b", "0"));
  check_answer(Outcome::not_found, 0, controller.apply(named(Operation::get_key, "g.a")));
  controller.apply(put("g.a", "1"));
  const Answer read = controller.apply(named(Operation::get_key, "g.a"));
  check_answer(Outcome::done, 2, read);
  STRCMP_EQUAL("1", read.value.c_str());
  CHECK_FALSE(controller.changed);
}

TEST(CoordinationKeys, NameWithoutAGroupIsNotFound) {
  check_answer(Outcome::not_found, 0, controller.apply(put("a", "1")));
  check_answer(Outcome::not_found, 0, controller.apply(named(Operation::get_key, "a")));
}

TEST(CoordinationKeys, PutAppliesOnlyToTheRequiredRevision) {
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1", 0)));
  controller.apply(put("g.b", "2"));
  check_answer(Outcome::revision_mismatch, 1, controller.apply(put("g.a", "3", 2)));
  check_answer(Outcome::done, 3, controller.apply(put("g.a", "4", 1)));
}

TEST(CoordinationKeys, RejectedPutReturnsTheKeysRevisionAndChangesNothing) {
  controller.apply(put("g.b", "0"));
  controller.apply(put("g.a", "1"));
  const State before = controller.state;
  check_answer(Outcome::revision_mismatch, 2, controller.apply(put("g.a", "2", 0)));
  check_answer(Outcome::revision_mismatch, 0, controller.apply(put("g.c", "3", 2)));
  CHECK_FALSE(controller.changed);
  CHECK_TRUE(controller.state == before);
}

TEST(CoordinationKeys, RepeatedPutGetsItsFirstRevision) {
  controller.apply(put("g.a", "1"));
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1")));
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1", 0)));
  CHECK_FALSE(controller.changed);
  controller.apply(put("g.a", "2"));
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1")));
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1", 0)));
  CHECK_FALSE(controller.changed);
}

// A put is identified by its key and value.
TEST(CoordinationKeys, SameValueForAnotherKeyIsAnotherPut) {
  controller.apply(put("g.a", "1"));
  check_answer(Outcome::done, 2, controller.apply(put("g.b", "1")));
}

TEST(CoordinationKeys, OldHistoryIsDroppedByTheNextPut) {
  controller.apply(put("g.a", "1"));
  controller.apply(put("g.a", "2"));
  controller.wait_ms(60'001);
  controller.apply(put("h.a", "x"));  // of another group
  CHECK_EQUAL(2U, controller.state.groups["g."].history.size());
  controller.apply(put("g.a", "3"));
  CHECK_EQUAL(1U, controller.state.groups["g."].history.size());
  CHECK_EQUAL(3, controller.state.groups["g."].history.front().revision);
}

TEST(CoordinationKeys, TruncationAloneDoesNotChangeTheState) {
  controller.apply(put("g.a", "1"));
  controller.wait_ms(60'001);
  controller.apply(named(Operation::get_key, "g.a"));
  CHECK_FALSE(controller.changed);
}

// A repetition of a key's newest put is recognized by its value, also after its history was dropped.
TEST(CoordinationKeys, RepeatOfTheNewestPutIsRecognizedWithoutHistory) {
  controller.apply(put("g.a", "1"));
  controller.wait_ms(60'001);
  controller.apply(put("g.b", "2"));
  check_answer(Outcome::done, 1, controller.apply(put("g.a", "1", 0)));
}

TEST_GROUP(CoordinationLimits) { OneController controller{{.max_names = 3, .max_history_events = 4}}; };

TEST(CoordinationLimits, LocksAndNumbersTogether) {
  controller.apply(acquire(1, "a"));
  controller.apply(named(Operation::next_number, "n1"));
  controller.apply(named(Operation::next_number, "n2"));
  check_answer(Outcome::limit_reached, 0, controller.apply(named(Operation::next_number, "n3")));
  CHECK_FALSE(controller.changed);
  Call other = acquire(2, "a");
  other.name = "l2";
  check_answer(Outcome::limit_reached, 0, controller.apply(other));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::done, 2, controller.apply(named(Operation::next_number, "n1")));
  check_answer(Outcome::done, 2, controller.apply(acquire(3, "a")));
}

TEST(CoordinationLimits, KeysOfAllGroups) {
  controller.apply(put("g.a", "1"));
  controller.apply(put("g.b", "2"));
  controller.apply(put("h.a", "3"));
  check_answer(Outcome::limit_reached, 0, controller.apply(put("h.b", "4")));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::done, 2, controller.apply(put("h.a", "5")));
}

TEST(CoordinationLimits, PutsInAHistory) {
  for (const char* value : {"1", "2", "3", "4"}) controller.apply(put("g.a", value));
  check_answer(Outcome::limit_reached, 0, controller.apply(put("g.a", "5")));
  CHECK_FALSE(controller.changed);
  check_answer(Outcome::done, 2, controller.apply(put("g.a", "2")));  // a repeat
  check_answer(Outcome::done, 1, controller.apply(put("h.a", "6")));
}

// Old puts in a full history are dropped to make room for the next put.
TEST(CoordinationLimits, FullHistoryOfOldPutsAcceptsTheNextPut) {
  for (const char* value : {"1", "2", "3", "4"}) controller.apply(put("g.a", value));
  controller.wait_ms(60'001);
  check_answer(Outcome::done, 5, controller.apply(put("g.a", "5")));
  CHECK_EQUAL(1U, controller.state.groups["g."].history.size());
}

// A refused put does not create its group, even if its batch has changed the state.
TEST(CoordinationLimits, RefusedPutsLeaveNoGroups) {
  StateMachine machine({}, controller.times, controller.now, controller.limits);
  machine.apply(named(Operation::next_number, "n1"));
  check_answer(Outcome::revision_mismatch, 0, machine.apply(put("g.a", "1", 7)));
  CHECK_TRUE(machine.has_changed());
  CHECK_TRUE(machine.state().groups.empty());
}
