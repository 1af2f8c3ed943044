// The checker of the simulation: each promise, broken by hand, is told of; what keeps them is not.
#include "tier_simulation/checker.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace chutevane::tier_simulation {
namespace {

class CheckerTest : public testing::Test {
 protected:
  CheckerTest()
      : simulator_(1, network_simulation::NetworkConditions(), off_),
        deployment_(simulator_, Shape(), 1),
        checker_(deployment_, off_) {}
  // Time passes, and nothing else: no machine was started.
  void pass(Span span) {
    bool over = false;
    simulator_.run_after(span, [&over] { over = true; });
    while (!over) simulator_.run_next_event();
  }
  Submission& order(std::int64_t base, std::int64_t version, const std::string& body) {
    return checker_.begin_submission("operator", base, version, body);
  }
  bool told(const std::string& rule) const {
    return std::any_of(checker_.violations().begin(), checker_.violations().end(),
                       [&](const Violation& v) { return v.rule == rule; });
  }
  common::RegisterValue value(std::int64_t number, std::int64_t version, const std::string& body) const {
    common::RegisterValue out;
    out.number = number;
    out.config_version = version;
    out.config.data = body;
    return out;
  }

  network_simulation::Trace off_;
  network_simulation::Simulator simulator_;
  Deployment deployment_;
  Checker checker_;
};

TEST_F(CheckerTest, AChainOfChangesKeepsAllPromises) {
  Submission& first = order(0, 2, "a");
  checker_.record_reply(first, 200);
  Submission& lost = order(0, 2, "b");
  checker_.record_reply(lost, 412);
  checker_.record_reply(first, 200);  // a repeat
  Submission& next = order(2, 5, "c");
  checker_.record_reply(next, 200);
  checker_.record_read(checker_.begin_read(), 5, "c", "a machine");
  EXPECT_TRUE(checker_.violations().empty());
}

TEST_F(CheckerTest, TwoOnOneVersion) {
  checker_.record_reply(order(0, 2, "a"), 200);
  checker_.record_reply(order(0, 3, "b"), 200);
  EXPECT_TRUE(told("two-on-one-base"));
}

TEST_F(CheckerTest, TwoUnderOneNumber) {
  checker_.record_reply(order(0, 2, "a"), 200);
  checker_.record_reply(order(0, 2, "b"), 200);
  EXPECT_TRUE(told("two-under-one-version"));
}

TEST_F(CheckerTest, ARepeatOfWhatWasTakenIsRefused) {
  Submission& first = order(0, 2, "a");
  checker_.record_reply(first, 200);
  checker_.record_reply(first, 412);
  EXPECT_TRUE(told("taken-then-refused"));
}

TEST_F(CheckerTest, WhatWasRefusedIsTakenLater) {
  Submission& first = order(0, 2, "a");
  checker_.record_reply(first, 412);
  checker_.record_read(checker_.begin_read(), 2, "a", "a machine");
  EXPECT_TRUE(told("refused-in-force"));
}

TEST_F(CheckerTest, AReadOlderThanWhatWasAcknowledgedBefore) {
  checker_.record_reply(order(0, 2, "a"), 200);
  const Checker::Reading before = checker_.begin_read();
  checker_.record_reply(order(2, 3, "b"), 200);
  checker_.record_read(before, 2, "a", "a machine");  // it began before the second
  EXPECT_FALSE(told("stale-read"));
  checker_.record_read(checker_.begin_read(), 2, "a", "a machine");
  EXPECT_TRUE(told("stale-read"));
}

TEST_F(CheckerTest, AReadThatFindsNothingAgain) {
  checker_.record_reply(order(0, 2, "a"), 200);
  checker_.record_read(checker_.begin_read(), 0, "", "a machine");
  EXPECT_TRUE(told("stale-read"));
}

TEST_F(CheckerTest, WhatNobodySent) {
  order(0, 2, "a");
  checker_.record_read(checker_.begin_read(), 2, "b", "a machine");
  EXPECT_TRUE(told("never-sent"));
}

TEST_F(CheckerTest, AChangeOverOneThatItDoesNotKnow) {
  checker_.record_reply(order(0, 2, "a"), 200);
  checker_.record_reply(order(2, 3, "b"), 200);
  checker_.record_reply(order(1, 4, "c"), 200);
  EXPECT_TRUE(told("built-on-old"));
}

TEST_F(CheckerTest, AnEdgeGoesBack) {
  order(0, 2, "a");
  order(2, 3, "b");
  const Machine& edge = *deployment_.machines_of(Role::edge).front();
  checker_.record_push(edge, value(4, 3, "b"));
  EXPECT_TRUE(checker_.violations().empty());
  checker_.record_push(edge, value(3, 2, "a"));
  EXPECT_TRUE(told("pushed-back"));
}

TEST_F(CheckerTest, NoOrderWaitsForGood) {
  order(0, 2, "a");
  checker_.finish();
  EXPECT_TRUE(told("no-answer"));
}

TEST_F(CheckerTest, WhatWasAcknowledgedBeforeATime) {
  checker_.record_reply(order(0, 2, "a"), 200);
  pass(Span::ms(1000));
  const TimePoint between = simulator_.now();
  pass(Span::ms(1000));
  checker_.record_reply(order(2, 3, "b"), 200);
  EXPECT_EQ(checker_.acknowledged_before(between), 2);
  EXPECT_EQ(checker_.acknowledged_before(simulator_.now() + Span::ms(1)), 3);
  EXPECT_EQ(checker_.acknowledged_before(between - Span::ms(5000)), 0);
}

}  // namespace
}  // namespace chutevane::tier_simulation
