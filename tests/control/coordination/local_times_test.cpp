// Tests LocalTimes: the expiry of holds and the age of puts by one controller's steady clock.
#include "control/coordination/local_times.hpp"

#include <string>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using namespace chutevane::control::coordination;

namespace {

constexpr Span retention = Span::ms(60'000);

TimePoint at(double ms) { return TimePoint::at_ms(1e6 + ms); }

State with_lock(const Lock& lock) {
  State out;
  out.locks["l"] = lock;
  return out;
}

// Returns a state with a group that has one put per character of `values`, starting at revision `first`.
State with_puts(std::int64_t first, const std::string& values) {
  State out;
  KeyGroup& group = out.groups["g."];
  group.revision = first - 1;
  for (const char value : values) {
    ++group.revision;
    group.keys["g.a"] = {std::string(1, value), group.revision};
    group.history.push_back({"g.a", std::string(1, value), group.revision});
  }
  return out;
}

}  // namespace

TEST_GROUP(CoordinationHoldTimes) {
  LocalTimes times{retention};
  const Lock first{"a", 1, 3000, 11};
  const Lock renewed{"a", 1, 3000, 12};
};

TEST(CoordinationHoldTimes, ExpiresTheGrantedTimeAfterItsObservation) {
  times.observe(with_lock(first), at(0));
  CHECK_FALSE(times.has_expired("l", first, at(3000)));
  CHECK_FALSE(times.has_expired("l", first, at(3010)));  // margin for different clock rates
  CHECK_TRUE(times.has_expired("l", first, at(3010.001)));
}

// Over an hour, the clocks may differ by more than the minimum margin.
TEST(CoordinationHoldTimes, MarginGrowsWithTheHold) {
  const Lock hour{"a", 1, 3'600'000, 11};
  times.observe(with_lock(hour), at(0));
  CHECK_FALSE(times.has_expired("l", hour, at(3'603'600)));
  CHECK_TRUE(times.has_expired("l", hour, at(3'603'600.001)));
}

TEST(CoordinationHoldTimes, RepeatedObservationDoesNotExtendAHold) {
  for (int ms = 0; ms <= 3000; ms += 100) times.observe(with_lock(first), at(ms));
  CHECK_TRUE(times.has_expired("l", first, at(3011)));
}

TEST(CoordinationHoldTimes, RenewalCountsFromItsObservation) {
  times.observe(with_lock(first), at(0));
  times.observe(with_lock(renewed), at(2000));
  CHECK_FALSE(times.has_expired("l", renewed, at(5010)));
  CHECK_TRUE(times.has_expired("l", renewed, at(5011)));
}

// A renewal that was not observed yet is not mistaken for the previous grant.
TEST(CoordinationHoldTimes, UnobservedRenewalHasNotExpired) {
  times.observe(with_lock(first), at(0));
  CHECK_FALSE(times.has_expired("l", renewed, at(100'000)));
}

TEST(CoordinationHoldTimes, UnknownLockHasNotExpired) {
  CHECK_FALSE(times.has_expired("l", first, at(100'000)));
}

// Observing an older state, or one that was never chosen, restarts the times. That only makes expiry later.
TEST(CoordinationHoldTimes, OrderOfObservationNeverMakesAHoldShorter) {
  times.observe(with_lock(first), at(0));
  times.observe(with_lock(renewed), at(1000));
  times.observe(with_lock(first), at(2000));
  CHECK_FALSE(times.has_expired("l", first, at(3011)));
  CHECK_FALSE(times.has_expired("l", renewed, at(4011)));
  times.observe(with_lock(renewed), at(4500));
  CHECK_FALSE(times.has_expired("l", renewed, at(7510)));
  CHECK_TRUE(times.has_expired("l", renewed, at(7511)));
}

// The same holder releases the lock and acquires it again: the second hold is a new one.
TEST(CoordinationHoldTimes, SecondHoldOfTheSameHolderCountsFromItsOwnObservation) {
  times.observe(with_lock(first), at(0));
  times.observe(with_lock({"", 1, 3000, 12}), at(100));
  const Lock second{"a", 2, 3000, 13};
  times.observe(with_lock(second), at(2900));
  CHECK_FALSE(times.has_expired("l", second, at(5910)));
}

// Holds on disk were granted before the start of the process, which counts them from its start.
TEST(CoordinationHoldTimes, AfterARestartHoldsCountFromTheStart) {
  times.observe(with_lock(first), at(0));
  LocalTimes restarted{retention};
  restarted.observe(with_lock(first), at(2900));
  CHECK_FALSE(restarted.has_expired("l", first, at(5910)));
  CHECK_TRUE(restarted.has_expired("l", first, at(5911)));
}

TEST_GROUP(CoordinationPutTimes) { LocalTimes times{retention}; };

TEST(CoordinationPutTimes, NothingOfAnUnknownGroupMayBeDropped) {
  CHECK_EQUAL(0, times.droppable_revision("g.", at(0)));
}

TEST(CoordinationPutTimes, PutsMayBeDroppedAfterTheRetention) {
  times.observe(with_puts(1, "a"), at(0));
  times.observe(with_puts(1, "abc"), at(1000));
  CHECK_EQUAL(0, times.droppable_revision("g.", at(60'000)));
  CHECK_EQUAL(1, times.droppable_revision("g.", at(60'001)));
  CHECK_EQUAL(1, times.droppable_revision("g.", at(61'000)));
  CHECK_EQUAL(3, times.droppable_revision("g.", at(61'001)));
}

TEST(CoordinationPutTimes, AfterARestartPutsCountFromTheStart) {
  times.observe(with_puts(5, "efgh"), at(0));
  CHECK_EQUAL(0, times.droppable_revision("g.", at(60'000)));
  CHECK_EQUAL(8, times.droppable_revision("g.", at(60'001)));
}

TEST(CoordinationPutTimes, TruncatedHistoryKeepsTheAgesOfTheRest) {
  times.observe(with_puts(1, "a"), at(0));
  times.observe(with_puts(1, "ab"), at(1000));
  times.observe(with_puts(2, "bc"), at(2000));
  CHECK_EQUAL(2, times.droppable_revision("g.", at(61'001)));
  CHECK_EQUAL(3, times.droppable_revision("g.", at(62'001)));
}

// A put in a value that was read but never chosen has a revision that another put gets much later. The age of
// the later put counts from its own observation.
TEST(CoordinationPutTimes, AgeOfAPutThatWasNeverChosenIsNotReused) {
  times.observe(with_puts(1, "a"), at(0));
  times.observe(with_puts(1, "aX"), at(1000));
  times.observe(with_puts(1, "a"), at(2000));
  times.observe(with_puts(1, "ab"), at(100'000));
  CHECK_EQUAL(1, times.droppable_revision("g.", at(100'001)));
  CHECK_EQUAL(2, times.droppable_revision("g.", at(160'001)));
}

// The same without an observation of the state before the later put.
TEST(CoordinationPutTimes, AgeOfAnotherPutWithTheSameRevisionIsNotReused) {
  times.observe(with_puts(1, "a"), at(0));
  times.observe(with_puts(1, "aX"), at(1000));
  times.observe(with_puts(1, "ab"), at(100'000));
  CHECK_EQUAL(1, times.droppable_revision("g.", at(100'001)));
  times.observe(with_puts(1, "abYZ"), at(101'000));
  times.observe(with_puts(1, "abcde"), at(200'000));
  CHECK_EQUAL(2, times.droppable_revision("g.", at(200'001)));
  CHECK_EQUAL(5, times.droppable_revision("g.", at(260'001)));
}
