// Tests of AbsenceTracker: how long each key has been absent.
#include "control/absence_tracker.hpp"

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::AbsenceTracker;

TEST_GROUP(Absence) {
  const TimePoint start = TimePoint::at_ms(1e6);
  const Span timeout = Span::ms(1000);
  AbsenceTracker absence;
};

TEST(Absence, NewKeyCountsAsPresentUntilNow) {
  CHECK_FALSE(absence.update("a", false, timeout, start));
  CHECK_FALSE(absence.update("a", false, timeout, start + timeout));
  CHECK_TRUE(absence.update("a", false, timeout, start + timeout + Span::ms(1)));
}

TEST(Absence, PresenceRestartsTheTimeout) {
  absence.update("a", true, timeout, start);
  absence.update("a", true, timeout, start + Span::ms(900));
  CHECK_FALSE(absence.update("a", false, timeout, start + Span::ms(1800)));
  CHECK_TRUE(absence.update("a", false, timeout, start + Span::ms(1901)));
}

TEST(Absence, KeysAreIndependent) {
  absence.update("a", true, timeout, start);
  absence.update("b", true, timeout, start + Span::ms(900));
  CHECK_TRUE(absence.update("a", false, timeout, start + Span::ms(1500)));
  CHECK_FALSE(absence.update("b", false, timeout, start + Span::ms(1500)));
}

TEST(Absence, ClearRemovesEarlierAbsences) {
  absence.update("a", true, timeout, start);
  absence.clear();
  CHECK_FALSE(absence.update("a", false, timeout, start + Span::ms(5000)));
}
