/// A program's budget at the edge, on routes whose turns are kept and on those whose turns are not: set aside
/// before a turn is sent, given back where it has not run, and settled by what was handed to the client.
#include <gtest/gtest.h>

#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span aftermath = Span::ms(60);  // for what must not come
constexpr int event_tokens = 15;
const std::string id = "asked";

RequestOptions with_budget(Kind kind) {
  RequestOptions out = request_of(kind);
  out.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  return out;
}

class BudgetReservationTest : public ::testing::TestWithParam<Kind> {
 protected:
  BudgetReservationTest()
      : scene(2, {.timeout_ms = 4000, .max_attempts = 2, .tokens_per_event = event_tokens}) {}
  bool settled(std::int64_t tokens) {
    return scene.loop.until([&] { return scene.storage->settled.contains(id); }) &&
           scene.storage->settled[id] == tokens;
  }
  bool stays_reserved() {
    scene.loop.run_for(aftermath);
    return scene.storage->reserved.contains(id) && !scene.storage->settled.contains(id);
  }
  Scene scene;
};
INSTANTIATE_TEST_SUITE_P(Streams, BudgetReservationTest, ::testing::Values(Kind::streaming, Kind::turn),
                         [](const auto& row) { return name_of(row.param); });

TEST_P(BudgetReservationTest, IsReservedBeforeTheTurnIsSent) {
  std::int64_t reserved_tokens = 0;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    reserved_tokens = scene.storage->reserved[request.attempt_id];
    connection.send(good_answer(GetParam(), request.attempt_id));
  };
  EXPECT_EQ(scene.ask(id, with_budget(GetParam())).status, 200);
  EXPECT_EQ(reserved_tokens, 120);
  EXPECT_TRUE(settled(2 * event_tokens));
}

TEST_P(BudgetReservationTest, AnExhaustedBudgetIsAnsweredAndNothingIsSent) {
  scene.answer_well(GetParam());
  scene.storage->others = {{"before", 900, true}};
  EXPECT_EQ(scene.ask(id, with_budget(GetParam())).status, 402);
  EXPECT_TRUE(settled(0));
  EXPECT_EQ(scene.script.heads[id], 0U);
  // The budget holds one turn more, exactly.
  scene.storage->others = {{"before", 880, true}};
  EXPECT_EQ(scene.ask("next", with_budget(GetParam())).status, 200);
}

// Storage is out of contact: the turn has not run, and is told when to come back.
TEST_P(BudgetReservationTest, WithoutStorageNothingIsSent) {
  scene.answer_well(GetParam());
  scene.storage->silent_on_reserve = true;
  const Answer got = scene.ask(id, with_budget(GetParam()));
  EXPECT_EQ(got.status, 503);
  EXPECT_NE(got.field("Retry-After"), "");
  EXPECT_EQ(scene.script.heads[id], 0U);
  EXPECT_TRUE(settled(0));
}

// It may generate all that there is: it is alone with its budget.
TEST_P(BudgetReservationTest, WithoutATokenCountTheWholeBudgetIsReserved) {
  scene.answer_well(GetParam());
  RequestOptions options = with_budget(GetParam());
  options.extra_fields = "Program: p\r\nBudget: 1000\r\n";
  EXPECT_EQ(scene.ask(id, options).status, 200);
  EXPECT_EQ(scene.storage->reserved[id], 1000);
}

TEST_P(BudgetReservationTest, AProgramWithoutAnIdHasNoReservation) {
  RequestOptions options = with_budget(GetParam());
  options.extra_fields = "Budget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  EXPECT_EQ(scene.ask(id, options).status, 400);
  EXPECT_TRUE(scene.storage->reserved.empty());
}

TEST_P(BudgetReservationTest, ARejectedTurnIsReleased) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(rejection(503, request.attempt_id));
  };
  EXPECT_EQ(scene.ask(id, with_budget(GetParam())).status, 503);
  EXPECT_TRUE(settled(0));
}

TEST_P(BudgetReservationTest, AStreamThatBreaksOffCountsWhatWasPassedOn) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(client->ended_midway);
  EXPECT_TRUE(settled(event_tokens));
}

// Its last event is out, its end is not: nothing of it is lost or counted twice.
TEST_P(BudgetReservationTest, ABreakBetweenTheLastEventAndTheEndCountsAllEvents) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")) +
                    chunk(event_text(2, "two")));
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(settled(2 * event_tokens));
}

TEST_P(BudgetReservationTest, AClientThatLeavesMidwayCountsWhatWasPassedOn) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(scene.loop.until([&] { return !client->partial_body.empty(); }));
  client->close();
  EXPECT_TRUE(settled(event_tokens));
}

// It may run, and nobody knows how far it came.
TEST_P(BudgetReservationTest, AClientThatLeavesBeforeTheFirstEventLeavesItReserved) {
  scene.script.on_request = [](ScriptedConnection&, const ReceivedRequest&) {};
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(scene.loop.until([&] { return scene.script.heads[id] == 1; }));
  client->close();
  EXPECT_TRUE(stays_reserved());
}

// Storage has been asked, and its answer comes to nobody: what may be set aside there is given back.
TEST_P(BudgetReservationTest, AClientThatLeavesDuringTheReservationReleasesIt) {
  scene.answer_well(GetParam());
  scene.storage->silent_on_reserve = true;
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  scene.loop.run_for(aftermath);
  client->close();
  EXPECT_TRUE(settled(0));
  EXPECT_EQ(scene.script.heads[id], 0U);
}

// Each try of a client is a turn of its own: what the first was handed stays counted.
TEST_P(BudgetReservationTest, ATurnThatIsRepeatedCountsAnew) {
  bool first = true;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return connection.send(good_answer(GetParam(), request.attempt_id));
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(settled(event_tokens));
  EXPECT_EQ(scene.ask("again", with_budget(GetParam())).status, 200);
  EXPECT_TRUE(scene.loop.until([&] { return scene.storage->settled.contains("again"); }));
  EXPECT_EQ(scene.storage->settled["again"], 2 * event_tokens);
}

TEST_P(BudgetReservationTest, WithoutABudgetNothingIsReserved) {
  scene.answer_well(GetParam());
  RequestOptions options = request_of(GetParam());
  options.extra_fields = "Program: p\r\nX-Chutevane-Token-Count: 10,120\r\n";
  EXPECT_EQ(scene.ask(id, options).status, 200);
  scene.loop.run_for(aftermath);
  EXPECT_TRUE(scene.storage->reserved.empty());
}

// How many tokens an event holds is not known: it counts at its most.
TEST(BudgetReservations, UncountableStreamsStayReserved) {
  Scene scene(1);
  scene.answer_well(Kind::streaming);
  EXPECT_EQ(scene.ask(id, with_budget(Kind::streaming)).status, 200);
  scene.loop.run_for(aftermath);
  EXPECT_TRUE(scene.storage->reserved.contains(id));
  EXPECT_FALSE(scene.storage->settled.contains(id));
}

// Calls of tools generate nothing that is counted.
TEST(BudgetReservations, PlainCallsReserveNothing) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  RequestOptions options = request_of(Kind::non_idempotent);
  options.extra_fields = "Program: p\r\nBudget: 1000\r\n";
  EXPECT_EQ(scene.ask(id, options).status, 200);
  EXPECT_TRUE(scene.storage->reserved.empty());
}

}  // namespace
}  // namespace chutevane::edge::harness
