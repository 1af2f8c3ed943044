// The auditor of locks, numbers, keys and watches: each rule is found where it is broken, and nothing is
// found in histories that the rules allow.
#include "lab/tier/coordination_auditor.hpp"

#include <gtest/gtest.h>

#include <string>

namespace chutevane::lab::tier {
namespace {

using Kind = CoordinationKind;
using Outcome = CoordinationOutcome;
using Rule = CoordinationRule;

constexpr Span history = Span::ms(20000);
constexpr Span hold = Span::ms(1000);

class CoordinationAuditorTest : public testing::Test {
 protected:
  static TimePoint at(double ms) { return TimePoint() + Span::ms(1000 + ms); }

  static CoordinationCall call(Kind kind, const std::string& name) {
    CoordinationCall out;
    out.kind = kind;
    out.name = name;
    return out;
  }
  static CoordinationCall take(const std::string& holder) {
    CoordinationCall out = call(Kind::acquire_lock, "l1");
    out.holder = holder;
    out.hold = hold;
    return out;
  }
  static CoordinationCall renewal(const std::string& holder, std::int64_t fence) {
    CoordinationCall out = take(holder);
    out.kind = Kind::renew_lock;
    out.fence = fence;
    return out;
  }
  static CoordinationCall release(const std::string& holder, std::int64_t fence) {
    CoordinationCall out = renewal(holder, fence);
    out.kind = Kind::release_lock;
    return out;
  }
  static CoordinationCall put(const std::string& key, const std::string& value,
                              std::optional<std::int64_t> applies_to = std::nullopt) {
    CoordinationCall out = call(Kind::put_key, key);
    out.value = value;
    out.applies_to = applies_to;
    return out;
  }
  static CoordinationCall watch(std::int64_t after, double received_ms = 0) {
    CoordinationCall out = call(Kind::watch, "g.");
    out.after = after;
    out.after_received_at = at(received_ms);
    return out;
  }
  static CoordinationCall at_end(CoordinationCall of) {
    of.at_end = true;
    return of;
  }
  static CoordinationAnswer done(std::int64_t number, const std::string& value = "") {
    return {Outcome::done, number, value, {}};
  }
  static CoordinationAnswer events(std::int64_t revision, std::vector<CoordinationEvent> of) {
    return {Outcome::done, revision, "", std::move(of)};
  }
  static CoordinationAnswer answer(Outcome outcome, std::int64_t number = 0) {
    return {outcome, number, "", {}};
  }

  void run(const CoordinationCall& of, const CoordinationAnswer& with, double sent_ms, double ended_ms) {
    const auto id = auditor.sent(of, at(sent_ms));
    auditor.ended(id, with, at(ended_ms));
  }
  /// Sent and answered 1 ms after the call before.
  void run(const CoordinationCall& of, const CoordinationAnswer& with) {
    run(of, with, now_ms_, now_ms_ + 1);
    now_ms_ += 1;
  }
  std::uint64_t found(Rule rule) {
    auditor.finish();
    return auditor.count(rule);
  }
  std::size_t all_found() {
    auditor.finish();
    return auditor.violations().size();
  }
  /// This rule is broken once, and no other.
  void expect_only(Rule rule) {
    EXPECT_EQ(found(rule), 1U);
    EXPECT_EQ(auditor.violations().size(), 1U);
    for (const CoordinationViolation& violation : auditor.violations())
      EXPECT_EQ(name_of(violation.rule), std::string(name_of(rule))) << violation.what;
  }

  CoordinationAuditor auditor{history};

 private:
  double now_ms_ = 0;
};

// ---- ONE

TEST_F(CoordinationAuditorTest, TwoHoldersAtOnce) {
  run(take("a"), done(1), 0, 10);
  run(take("b"), done(2), 500, 510);
  expect_only(Rule::one);
}

TEST_F(CoordinationAuditorTest, AHoldCountsFromTheSendingOfItsCall) {
  run(take("a"), done(1), 0, 900);
  run(take("b"), done(2), 990, 1000);
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, AHoldEndsWithTheSendingOfItsRelease) {
  run(take("a"), done(1), 0, 10);
  auditor.sent(release("a", 1), at(20));
  run(take("b"), done(2), 21, 30);
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, ARenewalProlongsTheHold) {
  run(take("a"), done(1), 0, 10);
  run(renewal("a", 1), done(0), 800, 810);
  run(take("b"), done(2), 1500, 1510);
  expect_only(Rule::one);
}

TEST_F(CoordinationAuditorTest, ARenewalThatIsAnsweredTooLateCountsForNothing) {
  run(take("a"), done(1), 0, 10);
  const auto late = auditor.sent(renewal("a", 1), at(900));
  run(take("b"), done(2), 1000, 1010);
  auditor.ended(late, done(0), at(1020));
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, ARenewalUnderAnotherHold) {
  run(take("a"), done(1), 0, 10);
  const auto renewed = auditor.sent(renewal("a", 1), at(100));
  run(take("b"), done(2), 150, 160);
  auditor.ended(renewed, done(0), at(170));
  EXPECT_EQ(found(Rule::one), 2U);
}

TEST_F(CoordinationAuditorTest, AFenceThatIsNotAboveAnotherHolders) {
  run(take("a"), done(5), 0, 10);
  run(take("b"), done(4), 2000, 2010);
  expect_only(Rule::one);
}

TEST_F(CoordinationAuditorTest, AFenceOfTwoHolders) {
  const auto one = auditor.sent(take("a"), at(0));
  const auto other = auditor.sent(take("b"), at(0));
  auditor.ended(one, done(5), at(1000));
  auditor.ended(other, done(5), at(1000));
  expect_only(Rule::one);
}

TEST_F(CoordinationAuditorTest, ARepeatedTakeHasNoLowerFence) {
  run(take("a"), done(5), 0, 10);
  run(take("a"), done(5), 20, 30);
  EXPECT_EQ(all_found(), 0U);
  run(take("a"), done(4), 40, 50);
  EXPECT_EQ(auditor.count(Rule::one), 1U);
}

// ---- ORDER

TEST_F(CoordinationAuditorTest, ANumberGivenTwice) {
  run(call(Kind::next_number, "n1"), done(7));
  run(call(Kind::next_number, "n2"), done(7));
  EXPECT_EQ(all_found(), 0U);
  run(call(Kind::next_number, "n1"), done(7));
  EXPECT_EQ(auditor.count(Rule::order), 1U);
}

TEST_F(CoordinationAuditorTest, ANumberBelowOneGivenBefore) {
  const auto beside = auditor.sent(call(Kind::next_number, "n1"), at(0));
  run(call(Kind::next_number, "n1"), done(7), 0, 1);
  auditor.ended(beside, done(6), at(2));
  EXPECT_EQ(all_found(), 0U);
  run(call(Kind::next_number, "n1"), done(5), 3, 4);
  EXPECT_EQ(auditor.count(Rule::order), 1U);
}

TEST_F(CoordinationAuditorTest, ARevisionOfTwoPuts) {
  const auto one = auditor.sent(put("g.a", "x"), at(0));
  const auto other = auditor.sent(put("g.b", "y"), at(0));
  auditor.ended(one, done(1), at(1));
  auditor.ended(other, done(1), at(1));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, ARevisionBelowOneGivenBefore) {
  run(put("g.a", "x"), done(5));
  run(put("g.b", "y"), done(4));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, ARepeatedPutHasItsFirstRevision) {
  run(put("g.a", "x"), answer(Outcome::unclear));
  run(put("g.a", "y"), done(5));
  run(put("g.a", "x"), done(4));
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, APutOverALaterRevision) {
  run(put("g.a", "x"), done(1));
  run(put("g.a", "y"), done(2));
  run(put("g.a", "z", 1), done(3));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, APutOverARevisionOfAnotherKeyIsWell) {
  run(put("g.a", "x"), done(1));
  run(put("g.b", "y"), done(2));
  run(put("g.a", "z", 1), done(3));
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, EventsThatDoNotRise) {
  run(put("g.a", "x"), done(2));
  run(put("g.b", "y"), done(3));
  run(watch(1), events(3, {{"g.b", "y", 3}, {"g.a", "x", 2}}));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, EventsOutsideOfTheirSpan) {
  run(put("g.a", "x"), done(2));
  run(watch(1), events(1, {{"g.a", "x", 2}}));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, AWatchThatSkipsAPut) {
  run(put("g.a", "x"), done(2));
  run(put("g.b", "y"), done(3));
  run(watch(1), events(3, {{"g.b", "y", 3}}));
  expect_only(Rule::order);
}

TEST_F(CoordinationAuditorTest, AWatchMaySkipWhatIsBehindItsSpan) {
  run(put("g.a", "x"), done(2));
  run(put("g.b", "y"), done(3));
  run(watch(1), events(2, {{"g.a", "x", 2}}));
  run(watch(2), events(3, {{"g.b", "y", 3}}));
  run(watch(3), events(3, {}));
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, AWatchThatFallsBack) {
  run(watch(3), events(2, {}));
  expect_only(Rule::order);
}

// ---- STALE

TEST_F(CoordinationAuditorTest, AReadBelowAnAcknowledgedPut) {
  run(put("g.a", "x"), done(1));
  run(put("g.a", "y"), done(2));
  run(call(Kind::get_key, "g.a"), done(1, "x"));
  expect_only(Rule::stale);
}

TEST_F(CoordinationAuditorTest, AReadThatFindsNothingAfterAPut) {
  run(call(Kind::get_key, "g.a"), answer(Outcome::not_found));
  EXPECT_EQ(all_found(), 0U);
  run(put("g.a", "x"), done(1));
  run(call(Kind::get_key, "g.a"), answer(Outcome::not_found));
  EXPECT_EQ(auditor.count(Rule::stale), 1U);
}

TEST_F(CoordinationAuditorTest, AReadBesideAPutMayShowEither) {
  run(put("g.a", "x"), done(1), 0, 1);
  const auto read = auditor.sent(call(Kind::get_key, "g.a"), at(2));
  run(put("g.a", "y"), done(2), 2, 3);
  auditor.ended(read, done(1, "x"), at(4));
  EXPECT_EQ(all_found(), 0U);
}

TEST_F(CoordinationAuditorTest, APresentRevisionBelowAnAcknowledgedPut) {
  run(put("g.a", "x"), done(3));
  run(watch(0), events(2, {}));
  expect_only(Rule::stale);
}

// ---- MIXED

TEST_F(CoordinationAuditorTest, AValueThatNobodyPut) {
  run(call(Kind::get_key, "g.a"), done(1, "x"));
  expect_only(Rule::mixed);
}

TEST_F(CoordinationAuditorTest, AValueOfAnotherKey) {
  run(put("g.a", "x"), done(1));
  run(watch(1), events(2, {{"g.b", "x", 2}}));
  expect_only(Rule::mixed);
}

TEST_F(CoordinationAuditorTest, AValueUnderTwoRevisions) {
  run(put("g.a", "x"), done(1));
  run(put("g.a", "x"), done(2));
  expect_only(Rule::mixed);
}

TEST_F(CoordinationAuditorTest, AMismatchWithARevisionOfAnotherKey) {
  run(put("g.a", "x"), done(1));
  run(put("g.b", "y"), done(2));
  run(put("g.a", "z", 0), answer(Outcome::revision_mismatch, 1));
  EXPECT_EQ(all_found(), 0U);
  run(put("g.a", "u", 0), answer(Outcome::revision_mismatch, 2));
  EXPECT_EQ(found(Rule::mixed), 1U);
}

TEST_F(CoordinationAuditorTest, AMismatchWithARevisionThatNoPutGave) {
  run(put("g.a", "x"), done(1));
  run(put("g.a", "z", 0), answer(Outcome::revision_mismatch, 7));
  expect_only(Rule::mixed);
}

TEST_F(CoordinationAuditorTest, AMismatchWithTheRevisionOfAnUnclearPut) {
  run(put("g.a", "x"), answer(Outcome::unclear));
  run(put("g.a", "z", 0), answer(Outcome::revision_mismatch, 7));
  EXPECT_EQ(all_found(), 0U);
}

// ---- REFUSED

TEST_F(CoordinationAuditorTest, AValueOfARejectedPut) {
  run(put("g.a", "x"), done(1));
  run(put("g.a", "z", 0), answer(Outcome::revision_mismatch, 1));
  run(call(Kind::get_key, "g.a"), done(2, "z"));
  EXPECT_EQ(found(Rule::refused), 1U);
  EXPECT_EQ(auditor.count(Rule::order), 1U);  // on top of none, over the one at 1
  EXPECT_EQ(auditor.violations().size(), 2U);
}

TEST_F(CoordinationAuditorTest, AValueOfAPutThatWasTurnedAway) {
  run(put("g.a", "z"), answer(Outcome::refused));
  run(call(Kind::get_key, "g.a"), done(1, "z"));
  expect_only(Rule::refused);
}

TEST_F(CoordinationAuditorTest, AValueOfAnUnclearPutMayBeShown) {
  run(put("g.a", "z"), answer(Outcome::unclear));
  run(put("g.a", "z"), answer(Outcome::refused));
  run(call(Kind::get_key, "g.a"), done(1, "z"));
  auditor.sent(put("g.a", "open"), at(100));
  run(watch(1), events(2, {{"g.a", "open", 2}}));
  EXPECT_EQ(all_found(), 0U);
}

// ---- LOST

TEST_F(CoordinationAuditorTest, AYoungRevisionWhoseHistoryIsGone) {
  run(watch(3, 0), answer(Outcome::history_gone), history.as_ms() + 1, history.as_ms() + 2);
  EXPECT_EQ(all_found(), 0U);
  run(watch(3, 0), answer(Outcome::history_gone), history.as_ms() - 1, history.as_ms() + 2);
  EXPECT_EQ(auditor.count(Rule::lost), 1U);
}

TEST_F(CoordinationAuditorTest, AtTheEndWhatLagsIsLost) {
  run(put("g.a", "x"), done(3));
  run(take("a"), done(3));
  run(call(Kind::next_number, "n1"), done(3));
  EXPECT_EQ(all_found(), 0U);
  run(at_end(call(Kind::get_key, "g.a")), answer(Outcome::not_found));
  run(at_end(call(Kind::next_number, "n1")), done(2));
  run(at_end(take("b")), done(2), 5000, 5001);
  run(at_end(watch(0)), events(2, {}));
  EXPECT_EQ(auditor.count(Rule::lost), 4U);
}

TEST_F(CoordinationAuditorTest, AtTheEndNoAnswerIsLost) {
  auditor.unanswered_at_end(call(Kind::get_key, "g.a"));
  expect_only(Rule::lost);
}

// ---- Calls and answers as text

TEST(CoordinationCallTest, StatusesAreReadByKind) {
  const auto outcome = [](Kind kind, int status, const char* body = "") {
    return read_coordination_answer(kind, status, body).outcome;
  };
  EXPECT_EQ(outcome(Kind::acquire_lock, 409), Outcome::held_by_other);
  EXPECT_EQ(outcome(Kind::put_key, 409), Outcome::malformed);
  EXPECT_EQ(outcome(Kind::put_key, 412, R"({"revision":3})"), Outcome::revision_mismatch);
  EXPECT_EQ(outcome(Kind::put_key, 412), Outcome::malformed);
  EXPECT_EQ(outcome(Kind::get_key, 404), Outcome::not_found);
  EXPECT_EQ(outcome(Kind::next_number, 404), Outcome::malformed);
  EXPECT_EQ(outcome(Kind::watch, 410), Outcome::history_gone);
  EXPECT_EQ(outcome(Kind::next_number, 503), Outcome::refused);
  EXPECT_EQ(outcome(Kind::next_number, 504), Outcome::unclear);
  EXPECT_EQ(outcome(Kind::renew_lock, 200, "{}"), Outcome::done);
}

TEST(CoordinationCallTest, BodiesAreRead) {
  EXPECT_EQ(read_coordination_answer(Kind::acquire_lock, 200, R"({"fence":41})").number, 41);
  const auto read = read_coordination_answer(Kind::get_key, 200, R"({"value":"v","revision":9})");
  EXPECT_EQ(read.value, "v");
  EXPECT_EQ(read.number, 9);
  const auto seen = read_coordination_answer(
      Kind::watch, 200, R"({"events":[{"name":"g.a","value":"v","revision":9}],"revision":12})");
  ASSERT_EQ(seen.events.size(), 1U);
  EXPECT_EQ(seen.events[0].revision, 9);
  EXPECT_EQ(seen.number, 12);
}

TEST(CoordinationCallTest, RequestsAreWritten) {
  CoordinationCall call;
  call.kind = Kind::watch;
  call.name = "g.";
  call.after = 930;
  call.wait = Span::ms(2000);
  EXPECT_TRUE(coordination_request_text(call, "h").starts_with("GET /v1/watch/g.?after=930&waitMs=2000 "));
  call = {};
  call.kind = Kind::put_key;
  call.name = "g.a";
  call.value = "v";
  EXPECT_TRUE(coordination_request_text(call, "h").ends_with("\r\n\r\n{\"value\":\"v\"}"));
  call.applies_to = 0;
  EXPECT_TRUE(coordination_request_text(call, "h").ends_with("\r\n\r\n{\"appliesTo\":0,\"value\":\"v\"}"));
}

}  // namespace
}  // namespace chutevane::lab::tier
