// Tests of PendingAcknowledgements: changes are reported in order, when acknowledged or at the deadline.
#include "control/pending_acknowledgements.hpp"

#include <vector>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::PendingAcknowledgements;

TEST_GROUP(PendingChanges) {
  const TimePoint start = TimePoint::at_ms(1e6);
  const TimePoint deadline = start + Span::ms(300);
  PendingAcknowledgements pending;
  std::vector<int> reported;
  void add(std::int64_t number) {
    pending.add(number, deadline, [this, number] { reported.push_back(static_cast<int>(number)); });
  }
  void complete(TimePoint now, std::int64_t acknowledged) {
    pending.complete(now, [acknowledged](std::int64_t number) { return number <= acknowledged; });
  }
};

TEST(PendingChanges, NotReportedBeforeAcknowledgement) {
  add(5);
  CHECK_TRUE(reported.empty());
  complete(start, 4);
  CHECK_TRUE(reported.empty());
}

TEST(PendingChanges, ReportedOnceWhenAcknowledged) {
  add(5);
  complete(start, 5);
  complete(start, 6);
  CHECK_TRUE(reported == std::vector<int>{5});
}

TEST(PendingChanges, AcknowledgementReportsAllEarlierChanges) {
  add(5);
  add(6);
  add(7);
  complete(start, 6);
  CHECK_TRUE((reported == std::vector<int>{5, 6}));
}

TEST(PendingChanges, ReportedAtTheDeadlineWithoutAcknowledgement) {
  add(5);
  complete(deadline - Span::ms(1), 0);
  CHECK_TRUE(reported.empty());
  complete(deadline, 0);
  CHECK_TRUE(reported == std::vector<int>{5});
}

// A callback may submit the next change.
TEST(PendingChanges, CallbackMayAddAnotherChange) {
  pending.add(5, deadline, [this] {
    reported.push_back(5);
    add(6);
  });
  complete(start, 5);
  CHECK_TRUE(reported == std::vector<int>{5});
  complete(start, 6);
  CHECK_TRUE((reported == std::vector<int>{5, 6}));
}
