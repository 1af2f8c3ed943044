/// Clients that disconnect, half-close or use HTTP/1.0, endpoints that preempt a request, surplus responses,
/// and control sessions whose heartbeats announce a value that the edge does not have.
#include <gtest/gtest.h>

#include <string>

#include "common/invariant.hpp"
#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span max_close_delay = Span::ms(500);  // operators' limit for work without a client

RequestOptions non_idempotent_request() { return request_of(RouteKind::non_idempotent); }

// When a client closes its connection, the connection to the endpoint is closed too, for every kind of route.
TEST(ClientDisconnects, CloseIsPropagatedToTheEndpoint) {
  for (const RouteKind kind : all_kinds) {
    SCOPED_TRACE(name_of(kind));
    TestEnvironment env(1);
    ASSERT_TRUE(env.prepare_previous_turn(kind));
    std::size_t number = 0;
    env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (request.attempt_id == "left") number = connection.number();
    };
    const auto client = env.client();
    client->send(request_text("left", request_of(kind)));
    ASSERT_TRUE(env.loop.until([&] { return number > 0; }));
    client->close();
    EXPECT_TRUE(
        env.loop.until([&] { return env.script.closed_connections.contains(number); }, max_close_delay));
  }
}

// If the client leaves before its request was forwarded, nothing is sent to an endpoint.
TEST(ClientDisconnects, CloseDuringPreparationSendsNothing) {
  TestEnvironment env(1);
  ASSERT_TRUE(env.prepare_previous_turn(RouteKind::turn));
  env.storage->silent_on_reserve = true;
  const auto client = env.client();
  client->send(request_text("left", request_of(RouteKind::turn)));
  env.loop.run_for(Span::ms(50));
  client->close();
  env.loop.run_for(Span::ms(20));
  env.storage->silent_on_reserve = false;
  env.loop.run_for(max_close_delay);
  EXPECT_EQ(env.script.heads["left"], 0U);
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::client_left), 1U);
}

// HTTP can't distinguish a client that has shut down its sending side from one that has left, so the request
// is abandoned.
TEST(ClientDisconnects, AHalfCloseCountsAsLeaving) {
  TestEnvironment env(1);
  std::size_t number = 0;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
    number = connection.number();
  };
  const auto client = env.client();
  client->send(request_text("half", non_idempotent_request()));
  ASSERT_TRUE(env.loop.until([&] { return number > 0; }));
  client->shutdown_write();
  EXPECT_TRUE(
      env.loop.until([&] { return env.script.closed_connections.contains(number); }, max_close_delay));
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->responses.empty());
  EXPECT_EQ(env.script.heads["half"], 1U);
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::client_left), 1U);
}

// A request that never reached an endpoint does not use its budget, even if the client leaves in the
// meantime.
TEST(ClientDisconnects, TurnThatReachedNoEndpointReleasesItsBudget) {
  TestEnvironment env(1);
  ASSERT_TRUE(env.prepare_previous_turn(RouteKind::turn));
  // The connection is never established, so the waiting request is not written.
  const SilentAddress silent;
  env.listed.front().id = "i-silent";
  env.listed.front().address = net::text_of(silent.address());
  env.list_endpoints();
  ASSERT_TRUE(env.wait_until_applied());
  const auto client = env.client();
  client->send(request_text("left", request_of(RouteKind::turn)));
  ASSERT_TRUE(env.loop.until([&] { return env.storage->reserved.contains("left"); }));
  env.loop.run_for(Span::ms(50));
  client->close();
  EXPECT_TRUE(env.loop.until([&] { return env.storage->committed.contains("left"); }));
  EXPECT_EQ(env.storage->committed["left"], 0);
  EXPECT_EQ(env.script.heads["left"], 0U);
}

// Conversely, a request that reached an endpoint counts in full, however the client leaves.
TEST(ClientDisconnects, ATurnThatReachedAnEndpointKeepsItsBudget) {
  TestEnvironment env(1);
  ASSERT_TRUE(env.prepare_previous_turn(RouteKind::turn));
  bool reached = false;
  const auto client = env.client();
  env.script.on_request = [&](ScriptedConnection&, const ReceivedRequest&) { reached = true; };
  client->send(request_text("left", request_of(RouteKind::turn)));
  ASSERT_TRUE(env.loop.until([&] { return reached; }));
  client->close();
  env.loop.run_for(Span::ms(200));
  EXPECT_TRUE(env.storage->reserved.contains("left"));
  EXPECT_FALSE(env.storage->committed.contains("left"));
}

// The endpoint resets its connection and the client leaves at the same moment. The edge reads both events in
// one iteration of the loop, in either order.
TEST(ClientDisconnects, EndpointResetDuringClientDisconnectKeepsTheBudget) {
  for (int round = 0; round < 12; ++round) {
    SCOPED_TRACE(round);
    TestEnvironment env(1);
    ASSERT_TRUE(env.prepare_previous_turn(RouteKind::turn));
    std::size_t number = 0;
    // Additional connections vary the order of the two events within an iteration.
    std::vector<std::unique_ptr<ClientConnection>> others;
    others.reserve(4);
    for (int i = 0; i < round % 4; ++i) others.push_back(env.client());
    const auto client = env.client();
    env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
      number = connection.number();
    };
    client->send(request_text("left", request_of(RouteKind::turn)));
    ASSERT_TRUE(env.loop.until([&] { return number > 0; }));
    if (round % 2 == 0) env.script.connection(number)->reset();
    client->close();
    if (round % 2 == 1) env.script.connection(number)->reset();
    env.loop.run_for(Span::ms(100));
    EXPECT_TRUE(env.storage->reserved.contains("left"));
    EXPECT_FALSE(env.storage->committed.contains("left"));
  }
}

TEST(ClientDisconnects, Http10ClientGetsOneResponseAndAClose) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(
      "POST /once/x HTTP/1.0\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: old\r\nContent-Length: "
      "5\r\n\r\nasked");
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses.front().status, 200);
  EXPECT_EQ(client->responses.front().body, valid_body(RouteKind::non_idempotent, "old"));
  EXPECT_FALSE(client->responses.front().keep_alive);
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_FALSE(client->closed_mid_response);
}

// An endpoint may preempt a waiting request for a more urgent one. The rejection has proof, so the request is
// sent to another endpoint.
TEST(ClientDisconnects, PreemptedRequestIsRetried) {
  for (const RouteKind kind : all_kinds) {
    SCOPED_TRACE(name_of(kind));
    TestEnvironment env(2);
    ASSERT_TRUE(env.prepare_previous_turn(kind));
    bool preempted = false;
    env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (std::exchange(preempted, true)) return connection.send(valid_response(kind, request.attempt_id));
      // The request waits for a while before it is preempted.
      env.loop.later.after(Span::ms(40),
                           [&connection, id = request.attempt_id] { connection.send(rejection(503, id)); });
    };
    const Response response = env.send_request("urgent", request_of(kind));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(env.script.heads["urgent"], 2U);
  }
}

// A surplus response arrives in the same read as the complete one. The connection is not reused, whichever
// check detects it first.
TEST(ClientDisconnects, SurplusResponseInTheSameRead) {
  TestEnvironment env(1);
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    const std::string good = valid_response(RouteKind::non_idempotent, request.attempt_id);
    connection.send(good + good);
  };
  EXPECT_EQ(env.send_request("a", non_idempotent_request()).status, 200);
  EXPECT_TRUE(env.loop.until([&] { return env.script.closed_connections.contains(1); }, Span::ms(100)));
  EXPECT_EQ(env.send_request("b", non_idempotent_request()).body, valid_body(RouteKind::non_idempotent, "b"));
  EXPECT_EQ(env.script.received.back().connection, 2U);
}

// A heartbeat that announces a newer value than the edge has does not confirm the edge's state, which becomes
// stale.
TEST(ControlSessions, HeartbeatWithANewerValueConfirmsNothing) {
  TestEnvironment env(1);
  EXPECT_EQ(env.send_request("known", {"/nowhere/x", "POST", "", 20000, ""}).status, 404);
  env.control->announce_newer_value(1);
  env.loop.run_for(Span::ms(2300));
  // The edge may not have received the route yet, so the response is 503 and not 404.
  EXPECT_EQ(env.send_request("missed", {"/nowhere/x", "POST", "", 20000, ""}).status, 503);
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::route_uncertain), 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
