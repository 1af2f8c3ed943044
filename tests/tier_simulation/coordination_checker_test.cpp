// Each rule of the coordination service is broken by hand, and histories that are allowed pass.
#include "tier_simulation/coordination_checker.hpp"

#include <gtest/gtest.h>

namespace chutevane::tier_simulation {
namespace {

constexpr Span history = Span::ms(1000);
constexpr Span hold = Span::ms(100);

TimePoint at(double ms) { return TimePoint::at_ms(ms); }

class CoordinationCheckerTest : public ::testing::Test {
 protected:
  /// A lock that is asked for and granted at once.
  bool grant(const std::string& holder, std::int64_t fence, double ms) {
    return checker_.record_grant(checker_.begin_lock_call("l", holder, at(ms), hold), fence, at(ms));
  }
  CoordinationChecker::Put& put(const std::string& key, const std::string& value, std::int64_t revision,
                                std::int64_t applies_to = -1) {
    CoordinationChecker::Put& out = checker_.begin_put(key, value, applies_to);
    static_cast<void>(checker_.begin_attempt(out));
    checker_.record_put(out, revision);
    return out;
  }
  /// A put without a clear answer.
  CoordinationChecker::Put& open_put(const std::string& key, const std::string& value) {
    CoordinationChecker::Put& out = checker_.begin_put(key, value, -1);
    static_cast<void>(checker_.begin_attempt(out));
    return out;
  }
  void read(const std::string& key, std::int64_t revision, const std::string& value) {
    checker_.record_read(checker_.begin_read(key), revision, value);
  }
  void watch(std::int64_t after, const std::vector<CoordinationChecker::Event>& events,
             std::int64_t revision) {
    checker_.record_watch(checker_.begin_watch("g.", after, at(0)), events, revision);
  }
  /// The rules that were broken, in the order of the reports.
  std::vector<std::string> finish() {
    checker_.finish();
    return rules_;
  }

  using Rules = std::vector<std::string>;
  std::vector<std::string> rules_;
  CoordinationChecker checker_{
      history, [this](const std::string& rule, const std::string&) { rules_.push_back(rule); }};
};

// ---- Locks

TEST_F(CoordinationCheckerTest, AllowsHoldsBehindEachOther) {
  EXPECT_TRUE(grant("a", 1, 0));
  checker_.end_hold("l", "a");
  EXPECT_TRUE(grant("b", 2, 10));
  EXPECT_TRUE(grant("a", 3, 110));  // b's time is over
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsTwoHoldersAtOnce) {
  EXPECT_TRUE(grant("a", 1, 0));
  EXPECT_TRUE(grant("b", 2, 99));
  EXPECT_EQ(finish(), Rules{"coordination-one"});
}

TEST_F(CoordinationCheckerTest, ARenewalCountsFromItsSending) {
  EXPECT_TRUE(grant("a", 1, 0));
  const auto renewal = checker_.begin_lock_call("l", "a", at(50), hold);
  EXPECT_TRUE(checker_.record_renewal(renewal, 1, at(90)));
  EXPECT_TRUE(grant("b", 2, 149));
  EXPECT_EQ(finish(), Rules{"coordination-one"});
}

TEST_F(CoordinationCheckerTest, ARenewalThatComesAfterTheTimeCountsForNothing) {
  EXPECT_TRUE(grant("a", 1, 0));
  const auto renewal = checker_.begin_lock_call("l", "a", at(90), hold);
  EXPECT_FALSE(checker_.record_renewal(renewal, 1, at(100)));
  EXPECT_TRUE(grant("b", 2, 101));
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, AGrantThatComesAfterItsTimeCountsForNothing) {
  const auto call = checker_.begin_lock_call("l", "a", at(0), hold);
  EXPECT_FALSE(checker_.record_grant(call, 1, at(100)));
  EXPECT_TRUE(grant("b", 2, 100));
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsAFenceThatIsNotAboveAnEarlierOne) {
  grant("a", 5, 0);
  checker_.end_hold("l", "a");
  grant("b", 4, 10);
  EXPECT_EQ(finish(), Rules{"coordination-one"});
}

TEST_F(CoordinationCheckerTest, FindsAFenceOfTwoHolders) {
  const auto first = checker_.begin_lock_call("l", "a", at(0), hold);
  const auto second = checker_.begin_lock_call("l", "b", at(0), hold);
  checker_.record_grant(first, 1, at(1));
  checker_.end_hold("l", "a");
  checker_.record_grant(second, 1, at(2));
  EXPECT_EQ(finish(), Rules{"coordination-one"});
}

TEST_F(CoordinationCheckerTest, FindsARenewalBehindALaterFence) {
  grant("a", 1, 0);
  grant("b", 2, 150);
  const auto renewal = checker_.begin_lock_call("l", "a", at(160), hold);
  EXPECT_FALSE(checker_.record_renewal(renewal, 1, at(161)));
  EXPECT_EQ(finish(), Rules{"coordination-one"});
}

// ---- Numbers

TEST_F(CoordinationCheckerTest, AllowsNumbersOfConcurrentCallsInAnyOrder) {
  const auto first = checker_.begin_number("n"), second = checker_.begin_number("n");
  checker_.record_number(first, 7);
  checker_.record_number(second, 3);
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsANumberBelowAnEarlierOne) {
  checker_.record_number(checker_.begin_number("n"), 7);
  checker_.record_number(checker_.begin_number("n"), 3);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsANumberThatIsGivenTwice) {
  const auto first = checker_.begin_number("n"), second = checker_.begin_number("n");
  checker_.record_number(first, 7);
  checker_.record_number(second, 7);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

// ---- Keys

TEST_F(CoordinationCheckerTest, AllowsPutsAndReadsInOneOrder) {
  put("g.1", "a", 1, 0);
  put("g.2", "b", 2, 0);
  put("g.1", "c", 3, 1);
  read("g.1", 3, "c");
  read("g.2", 2, "b");
  read("g.3", 0, "");
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsARevisionThatIsGivenTwice) {
  CoordinationChecker::Put& first = open_put("g.1", "a");
  CoordinationChecker::Put& second = open_put("g.2", "b");
  checker_.record_put(first, 1);
  checker_.record_put(second, 1);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsARevisionBelowAnEarlierOneOfTheGroup) {
  put("g.1", "a", 5);
  put("g.2", "b", 4);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsAPutThatSucceedsOverALaterRevision) {
  CoordinationChecker::Put& conditional = checker_.begin_put("g.1", "b", 0);
  static_cast<void>(checker_.begin_attempt(conditional));
  put("g.1", "a", 1);
  checker_.record_put(conditional, 2);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsAStaleRead) {
  put("g.1", "a", 1);
  put("g.1", "b", 2);
  read("g.1", 1, "a");
  EXPECT_EQ(finish().front(), "coordination-stale");
}

TEST_F(CoordinationCheckerTest, FindsThatAKeyIsGone) {
  put("g.1", "a", 1);
  read("g.1", 0, "");
  EXPECT_EQ(finish().front(), "coordination-stale");
}

// The put at 1 was never acknowledged, but one behind it in the same group was before the read.
TEST_F(CoordinationCheckerTest, FindsAReadThatLacksAPutBeforeASeenRevision) {
  open_put("g.1", "a");
  put("g.2", "b", 2);
  read("g.1", 0, "");
  read("g.1", 1, "a");
  EXPECT_EQ(finish(), Rules{"coordination-stale"});
}

TEST_F(CoordinationCheckerTest, AtTheEndAStaleReadIsLost) {
  put("g.1", "a", 1);
  checker_.begin_final_calls();
  read("g.1", 0, "");
  EXPECT_EQ(finish().front(), "coordination-lost");
}

TEST_F(CoordinationCheckerTest, FindsAValueOfNobodyAndOfAnotherKey) {
  put("g.1", "a", 1);
  read("g.2", 2, "a");
  read("g.2", 3, "x");
  EXPECT_EQ(finish(), (Rules{"coordination-mixed", "coordination-mixed"}));
}

TEST_F(CoordinationCheckerTest, FindsAValueUnderTwoRevisions) {
  CoordinationChecker::Put& repeated = put("g.1", "a", 1);
  checker_.record_put(repeated, 2);
  EXPECT_EQ(finish().front(), "coordination-mixed");
}

TEST_F(CoordinationCheckerTest, FindsAMismatchWithARevisionOfAnotherKey) {
  put("g.1", "a", 1);
  put("g.2", "b", 2);
  CoordinationChecker::Put& conditional = checker_.begin_put("g.1", "c", 0);
  checker_.record_mismatch(conditional, checker_.begin_attempt(conditional), 2);
  EXPECT_EQ(finish(), Rules{"coordination-mixed"});
}

TEST_F(CoordinationCheckerTest, AllowsAMismatchWithARevisionOfAnOpenPut) {
  open_put("g.1", "a");
  CoordinationChecker::Put& conditional = checker_.begin_put("g.1", "c", 0);
  checker_.record_mismatch(conditional, checker_.begin_attempt(conditional), 1);
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsAMismatchThatIsBehind) {
  put("g.1", "a", 1);
  put("g.1", "b", 2);
  CoordinationChecker::Put& conditional = checker_.begin_put("g.1", "c", 0);
  checker_.record_mismatch(conditional, checker_.begin_attempt(conditional), 1);
  EXPECT_EQ(finish().front(), "coordination-stale");
}

TEST_F(CoordinationCheckerTest, FindsARejectedValue) {
  put("g.1", "a", 1);
  CoordinationChecker::Put& conditional = checker_.begin_put("g.1", "b", 0);
  checker_.record_mismatch(conditional, checker_.begin_attempt(conditional), 1);
  read("g.1", 2, "b");
  EXPECT_EQ(finish(), (Rules{"coordination-refused", "coordination-order"}));  // over revision 1, too
}

TEST_F(CoordinationCheckerTest, APutIsRejectedWhereAllOfItsAttemptsAre) {
  CoordinationChecker::Put& refused = open_put("g.1", "a");
  CoordinationChecker::record_refusal(refused);
  CoordinationChecker::Put& open = open_put("g.1", "b");
  static_cast<void>(checker_.begin_attempt(open));
  CoordinationChecker::record_refusal(open);
  read("g.1", 1, "b");  // the other attempt had no clear answer
  EXPECT_EQ(finish(), Rules());
  read("g.1", 2, "a");
  EXPECT_EQ(finish(), Rules{"coordination-refused"});
}

// ---- Watches

TEST_F(CoordinationCheckerTest, AllowsAWatchThatLags) {
  put("g.1", "a", 1);
  put("g.2", "b", 2);
  watch(1, {}, 1);
  watch(1, {{"g.2", "b", 2}}, 2);
  EXPECT_EQ(finish(), Rules());
}

TEST_F(CoordinationCheckerTest, FindsEventsThatDoNotRise) {
  put("g.1", "a", 1);
  put("g.2", "b", 2);
  put("g.2", "c", 3);
  watch(1, {{"g.2", "c", 3}, {"g.2", "b", 2}}, 3);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsAWatchThatSkipsAPut) {
  put("g.1", "a", 1);
  put("g.2", "b", 2);
  put("g.2", "c", 3);
  watch(1, {{"g.2", "c", 3}}, 3);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsAWatchThatGoesBack) {
  put("g.1", "a", 1);
  put("g.1", "b", 2);
  watch(2, {}, 1);
  EXPECT_EQ(finish(), Rules{"coordination-order"});
}

TEST_F(CoordinationCheckerTest, FindsAPresentRevisionThatIsBehind) {
  put("g.1", "a", 1);
  watch(0, {}, 0);
  EXPECT_EQ(finish(), Rules{"coordination-stale"});
}

TEST_F(CoordinationCheckerTest, FindsARevisionThatIsGoneTooEarly) {
  checker_.record_gone(checker_.begin_watch("g.", 1, at(0)), at(1000));
  EXPECT_EQ(finish(), Rules());
  checker_.record_gone(checker_.begin_watch("g.", 1, at(0)), at(999));
  EXPECT_EQ(finish(), Rules{"coordination-lost"});
}

}  // namespace
}  // namespace chutevane::tier_simulation
