/// Clients that leave, half-close or speak HTTP/1.0, endpoints that turn away for a more urgent one, and
/// sessions that confirm too much: paths that nothing attacked.
#include <gtest/gtest.h>

#include <string>

#include "common/invariant.hpp"
#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span close_reaches_most = Span::ms(500);  // the operators' bound on work for nobody

RequestOptions once() { return request_of(Kind::non_idempotent); }

// The close of a client ends the work at its endpoint, whatever the kind.
TEST(ClientDisconnects, ACloseReachesTheEndpointInTime) {
  for (const Kind kind : all_kinds) {
    SCOPED_TRACE(name_of(kind));
    Scene scene(1);
    ASSERT_TRUE(scene.prepare(kind));
    std::size_t number = 0;
    scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (request.attempt_id == "left") number = connection.number();
    };
    const auto client = scene.client();
    client->send(request_text("left", request_of(kind)));
    ASSERT_TRUE(scene.loop.until([&] { return number > 0; }));
    client->close();
    EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(number); }, close_reaches_most));
  }
}

// A client that is gone before its request was passed on: nothing reaches an endpoint any more.
TEST(ClientDisconnects, ACloseWhileItsTurnIsPreparedSendsNothing) {
  Scene scene(1);
  ASSERT_TRUE(scene.prepare(Kind::turn));
  scene.storage->silent_on_reserve = true;
  const auto client = scene.client();
  client->send(request_text("left", request_of(Kind::turn)));
  scene.loop.run_for(Span::ms(50));
  client->close();
  scene.loop.run_for(Span::ms(20));
  scene.storage->silent_on_reserve = false;
  scene.loop.run_for(close_reaches_most);
  EXPECT_EQ(scene.script.heads["left"], 0U);
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::client_left), 1U);
}

// HTTP can't tell a client that has ended its writing side from one that is gone: its request is given up.
TEST(ClientDisconnects, AHalfCloseCountsAsLeaving) {
  Scene scene(1);
  std::size_t number = 0;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
    number = connection.number();
  };
  const auto client = scene.client();
  client->send(request_text("half", once()));
  ASSERT_TRUE(scene.loop.until([&] { return number > 0; }));
  client->end_writing();
  EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(number); }, close_reaches_most));
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(client->answers.empty());
  EXPECT_EQ(scene.script.heads["half"], 1U);
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::client_left), 1U);
}

// What never reached an endpoint counts nothing against the budget, also where its client left meanwhile.
TEST(ClientDisconnects, ATurnThatReachedNoEndpointGivesItsBudgetBack) {
  Scene scene(1);
  ASSERT_TRUE(scene.prepare(Kind::turn));
  // No connection comes up: what waits for one has not been written.
  const SilentAddress silent;
  scene.listed.front().id = "i-silent";
  scene.listed.front().address = net::text_of(silent.address());
  scene.list_endpoints();
  ASSERT_TRUE(scene.in_force());
  const auto client = scene.client();
  client->send(request_text("left", request_of(Kind::turn)));
  ASSERT_TRUE(scene.loop.until([&] { return scene.storage->reserved.contains("left"); }));
  scene.loop.run_for(Span::ms(50));
  client->close();
  EXPECT_TRUE(scene.loop.until([&] { return scene.storage->settled.contains("left"); }));
  EXPECT_EQ(scene.storage->settled["left"], 0);
  EXPECT_EQ(scene.script.heads["left"], 0U);
}

// The other way round: what reached an endpoint counts at its most, however its client left.
TEST(ClientDisconnects, ATurnThatReachedAnEndpointKeepsItsBudget) {
  Scene scene(1);
  ASSERT_TRUE(scene.prepare(Kind::turn));
  bool reached = false;
  const auto client = scene.client();
  scene.script.on_request = [&](ScriptedConnection&, const ReceivedRequest&) { reached = true; };
  client->send(request_text("left", request_of(Kind::turn)));
  ASSERT_TRUE(scene.loop.until([&] { return reached; }));
  client->close();
  scene.loop.run_for(Span::ms(200));
  EXPECT_TRUE(scene.storage->reserved.contains("left"));
  EXPECT_FALSE(scene.storage->settled.contains("left"));
}

// The endpoint breaks off and the client leaves in the same moment: the edge reads both in one turn, in any
// order.
TEST(ClientDisconnects, ATurnWhoseEndpointBreaksOffAsItsClientLeavesKeepsItsBudget) {
  for (int round = 0; round < 12; ++round) {
    SCOPED_TRACE(round);
    Scene scene(1);
    ASSERT_TRUE(scene.prepare(Kind::turn));
    std::size_t number = 0;
    // Connections that stand before the other's, or after: their order in a turn differs.
    std::vector<std::unique_ptr<ClientConnection>> others;
    others.reserve(4);
    for (int i = 0; i < round % 4; ++i) others.push_back(scene.client());
    const auto client = scene.client();
    scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
      number = connection.number();
    };
    client->send(request_text("left", request_of(Kind::turn)));
    ASSERT_TRUE(scene.loop.until([&] { return number > 0; }));
    if (round % 2 == 0) scene.script.connection(number)->reset();
    client->close();
    if (round % 2 == 1) scene.script.connection(number)->reset();
    scene.loop.run_for(Span::ms(100));
    EXPECT_TRUE(scene.storage->reserved.contains("left"));
    EXPECT_FALSE(scene.storage->settled.contains("left"));
  }
}

TEST(ClientDisconnects, AClientOfHttp10GetsOneAnswerAndAnEnd) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(
      "POST /once/x HTTP/1.0\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: old\r\nContent-Length: "
      "5\r\n\r\nasked");
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers.front().status, 200);
  EXPECT_EQ(client->answers.front().body, good_body(Kind::non_idempotent, "old"));
  EXPECT_FALSE(client->answers.front().keep_alive);
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_FALSE(client->ended_midway);
}

// A more urgent request may take the place of one that waits: that is turned away with proof, and goes on.
TEST(ClientDisconnects, PreemptedWithProofGoesElsewhere) {
  for (const Kind kind : all_kinds) {
    SCOPED_TRACE(name_of(kind));
    Scene scene(2);
    ASSERT_TRUE(scene.prepare(kind));
    bool preempted = false;
    scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (std::exchange(preempted, true)) return connection.send(good_answer(kind, request.attempt_id));
      // It has waited a while when its place is taken.
      scene.loop.later.after(Span::ms(40),
                             [&connection, id = request.attempt_id] { connection.send(rejection(503, id)); });
    };
    const Answer got = scene.ask("urgent", request_of(kind));
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(scene.script.heads["urgent"], 2U);
  }
}

// A surplus answer in the same read as the whole one: the connection carries nothing else, whichever guard
// sees it first.
TEST(ClientDisconnects, SecondAnswerInTheSameRead) {
  Scene scene(1);
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    const std::string good = good_answer(Kind::non_idempotent, request.attempt_id);
    connection.send(good + good);
  };
  EXPECT_EQ(scene.ask("a", once()).status, 200);
  EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(1); }, Span::ms(100)));
  EXPECT_EQ(scene.ask("b", once()).body, good_body(Kind::non_idempotent, "b"));
  EXPECT_EQ(scene.script.received.back().connection, 2U);
}

// A heartbeat that names a newer value than the edge holds proves nothing: its knowledge grows old.
TEST(ControlSessions, AHeartbeatOfAValueThatHasNotComeConfirmsNothing) {
  Scene scene(1);
  EXPECT_EQ(scene.ask("known", {"/nowhere/x", "POST", "", 20000, ""}).status, 404);
  scene.control->name_a_newer_value(1);
  scene.loop.run_for(Span::ms(2300));
  // It may have missed the route: 503, not 404.
  EXPECT_EQ(scene.ask("missed", {"/nowhere/x", "POST", "", 20000, ""}).status, 503);
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::route_uncertain), 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
