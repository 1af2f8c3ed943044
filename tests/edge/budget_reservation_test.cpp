/// Budget reservations at the edge, on routes with and without stored turns: tokens are reserved before a
/// request is sent, released if it has not run, and committed according to what was forwarded to the client.
#include <gtest/gtest.h>

#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span quiet_period = Span::ms(60);  // for events that must not happen
constexpr int event_tokens = 15;
const std::string id = "asked";

RequestOptions with_budget(RouteKind kind) {
  RequestOptions out = request_of(kind);
  out.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  return out;
}

class BudgetReservationTest : public ::testing::TestWithParam<RouteKind> {
 protected:
  BudgetReservationTest()
      : env(2, {.timeout_ms = 4000, .max_attempts = 2, .tokens_per_event = event_tokens}) {}
  bool committed(std::int64_t tokens) {
    return env.loop.until([&] { return env.storage->committed.contains(id); }) &&
           env.storage->committed[id] == tokens;
  }
  bool stays_reserved() {
    env.loop.run_for(quiet_period);
    return env.storage->reserved.contains(id) && !env.storage->committed.contains(id);
  }
  TestEnvironment env;
};
INSTANTIATE_TEST_SUITE_P(Streams, BudgetReservationTest,
                         ::testing::Values(RouteKind::streaming, RouteKind::turn),
                         [](const auto& row) { return name_of(row.param); });

TEST_P(BudgetReservationTest, IsReservedBeforeTheTurnIsSent) {
  std::int64_t reserved_tokens = 0;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    reserved_tokens = env.storage->reserved[request.attempt_id];
    connection.send(valid_response(GetParam(), request.attempt_id));
  };
  EXPECT_EQ(env.send_request(id, with_budget(GetParam())).status, 200);
  EXPECT_EQ(reserved_tokens, 120);
  EXPECT_TRUE(committed(2 * event_tokens));
}

TEST_P(BudgetReservationTest, ExhaustedBudgetIsReportedAndNothingIsSent) {
  env.respond_normally(GetParam());
  env.storage->other_reservations = {{"before", 900, true}};
  EXPECT_EQ(env.send_request(id, with_budget(GetParam())).status, 402);
  EXPECT_TRUE(committed(0));
  EXPECT_EQ(env.script.heads[id], 0U);
  // The rest of the budget is exactly enough for one more turn.
  env.storage->other_reservations = {{"before", 880, true}};
  EXPECT_EQ(env.send_request("next", with_budget(GetParam())).status, 200);
}

// If storage does not reply, the request is not sent and the client is told when to retry.
TEST_P(BudgetReservationTest, WithoutStorageNothingIsSent) {
  env.respond_normally(GetParam());
  env.storage->silent_on_reserve = true;
  const Response response = env.send_request(id, with_budget(GetParam()));
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.field("Retry-After"), "");
  EXPECT_EQ(env.script.heads[id], 0U);
  EXPECT_TRUE(committed(0));
}

// Without a token count the request may generate the whole budget, so all of it is reserved.
TEST_P(BudgetReservationTest, WithoutATokenCountTheWholeBudgetIsReserved) {
  env.respond_normally(GetParam());
  RequestOptions options = with_budget(GetParam());
  options.extra_fields = "Program: p\r\nBudget: 1000\r\n";
  EXPECT_EQ(env.send_request(id, options).status, 200);
  EXPECT_EQ(env.storage->reserved[id], 1000);
}

TEST_P(BudgetReservationTest, AProgramWithoutAnIdHasNoReservation) {
  RequestOptions options = with_budget(GetParam());
  options.extra_fields = "Budget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  EXPECT_EQ(env.send_request(id, options).status, 400);
  EXPECT_TRUE(env.storage->reserved.empty());
}

TEST_P(BudgetReservationTest, ARejectedTurnIsReleased) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(rejection(503, request.attempt_id));
  };
  EXPECT_EQ(env.send_request(id, with_budget(GetParam())).status, 503);
  EXPECT_TRUE(committed(0));
}

TEST_P(BudgetReservationTest, BrokenStreamIsChargedForForwardedEvents) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->closed_mid_response);
  EXPECT_TRUE(committed(event_tokens));
}

// The connection breaks after the last event but before the end of the stream: each event counts exactly
// once.
TEST_P(BudgetReservationTest, ABreakBetweenTheLastEventAndTheEndCountsAllEvents) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")) +
                    chunk(event_text(2, "two")));
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(committed(2 * event_tokens));
}

TEST_P(BudgetReservationTest, ClientThatLeavesMidStreamIsChargedForForwardedEvents) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(env.loop.until([&] { return !client->partial_body.empty(); }));
  client->close();
  EXPECT_TRUE(committed(event_tokens));
}

// The request may be running and its usage is unknown, so the reservation stays.
TEST_P(BudgetReservationTest, AClientThatLeavesBeforeTheFirstEventLeavesItReserved) {
  env.script.on_request = [](ScriptedConnection&, const ReceivedRequest&) {};
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(env.loop.until([&] { return env.script.heads[id] == 1; }));
  client->close();
  EXPECT_TRUE(stays_reserved());
}

// Storage was asked but its reply arrives after the client has left, so the possible reservation is released.
TEST_P(BudgetReservationTest, AClientThatLeavesDuringTheReservationReleasesIt) {
  env.respond_normally(GetParam());
  env.storage->silent_on_reserve = true;
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  env.loop.run_for(quiet_period);
  client->close();
  EXPECT_TRUE(committed(0));
  EXPECT_EQ(env.script.heads[id], 0U);
}

// Each retry by a client is a separate turn; the events forwarded by the first one stay counted.
TEST_P(BudgetReservationTest, RetriedTurnIsCountedSeparately) {
  bool first = true;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return connection.send(valid_response(GetParam(), request.attempt_id));
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget(GetParam())));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(committed(event_tokens));
  EXPECT_EQ(env.send_request("again", with_budget(GetParam())).status, 200);
  EXPECT_TRUE(env.loop.until([&] { return env.storage->committed.contains("again"); }));
  EXPECT_EQ(env.storage->committed["again"], 2 * event_tokens);
}

TEST_P(BudgetReservationTest, WithoutABudgetNothingIsReserved) {
  env.respond_normally(GetParam());
  RequestOptions options = request_of(GetParam());
  options.extra_fields = "Program: p\r\nX-Chutevane-Token-Count: 10,120\r\n";
  EXPECT_EQ(env.send_request(id, options).status, 200);
  env.loop.run_for(quiet_period);
  EXPECT_TRUE(env.storage->reserved.empty());
}

// The number of tokens per event is not configured, so the reservation counts in full.
TEST(BudgetReservations, UncountableStreamsStayReserved) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::streaming);
  EXPECT_EQ(env.send_request(id, with_budget(RouteKind::streaming)).status, 200);
  env.loop.run_for(quiet_period);
  EXPECT_TRUE(env.storage->reserved.contains(id));
  EXPECT_FALSE(env.storage->committed.contains(id));
}

// Routes without streaming generate no tokens.
TEST(BudgetReservations, PlainCallsReserveNothing) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.extra_fields = "Program: p\r\nBudget: 1000\r\n";
  EXPECT_EQ(env.send_request(id, options).status, 200);
  EXPECT_TRUE(env.storage->reserved.empty());
}

}  // namespace
}  // namespace chutevane::edge::harness
