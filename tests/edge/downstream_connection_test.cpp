/// Connections of clients: one answer to each request in its order, none that belongs to another, and no end
/// that takes a request or part of an answer with it.
#include <gtest/gtest.h>

#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span aftermath = Span::ms(60);               // for what must not come
constexpr Span leaving_closes_after = Span::ms(2700);  // a little more than the edge serves on after SIGTERM

RequestOptions once() { return request_of(Kind::non_idempotent); }

TEST(DownstreamConnections, PipelinedRequestsAreAnsweredInTheirOrder) {
  Scene scene(3);
  // The first is answered last.
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "a0") {
      scene.loop.later.after(Span::ms(50),
                             [&connection] { connection.send(good_answer(Kind::non_idempotent, "a0")); });
    } else {
      connection.send(good_answer(Kind::non_idempotent, request.attempt_id));
    }
  };
  const auto client = scene.client();
  client->send(request_text("a0", once()));
  for (std::size_t i = 1; i < 5; ++i) client->send(request_text(numbered("a", i), once()));
  ASSERT_TRUE(scene.answered(*client, 5));
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string id = numbered("a", i);
    EXPECT_EQ(client->answers[i].body, good_body(Kind::non_idempotent, id));
    EXPECT_EQ(client->answers[i].field("X-Chutevane-Attempt-Id"), id);
    EXPECT_EQ(scene.script.executions(id), 1U);
  }
  EXPECT_EQ(client->unasked, "");
}

TEST(DownstreamConnections, PipelinedBodiesAreNoRequests) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  RequestOptions options = once();
  options.body = request_text("smuggled", once());
  const std::string chunked =
      "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: b\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      chunk(request_text("smuggled", once())) + "0\r\nX-Sum: 1\r\n\r\n";
  const auto client = scene.client();
  client->send(request_text("a", options));
  client->send(chunked);
  client->send(request_text("c", once()));
  ASSERT_TRUE(scene.answered(*client, 3));
  ASSERT_EQ(scene.script.received.size(), 3U);
  EXPECT_EQ(scene.script.received[0].body, options.body);
  EXPECT_EQ(scene.script.received[1].body, options.body);
  EXPECT_EQ(scene.script.executions("smuggled"), 0U);
}

// A client that leaves takes its call with it: that call is not sent again, and its answer goes to nobody.
TEST(DownstreamConnections, ClientThatLeavesMidway) {
  for (const Kind kind : all_kinds) {
    for (const bool with_reset : {false, true}) {
      SCOPED_TRACE(name_of(kind) + (with_reset ? " reset" : " closed"));
      Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
      ASSERT_TRUE(scene.prepare(kind));
      std::size_t number = 0;
      scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
        if (request.attempt_id != "left") return connection.send(good_answer(kind, request.attempt_id));
        number = connection.number();
        if (streams(kind)) connection.send(stream_head("left") + chunk(event_text(1, "one")));
      };
      const auto client = scene.client();
      client->send(request_text("left", request_of(kind)));
      ASSERT_TRUE(
          scene.loop.until([&] { return number > 0 && (!streams(kind) || !client->partial_body.empty()); }));
      if (with_reset) {
        client->reset();
      } else {
        client->close();
      }
      EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(number); }));
      for (std::size_t i = 0; i < 4; ++i) {
        const std::string id = numbered("then", i);
        EXPECT_EQ(scene.ask(id, request_of(kind)).body, good_body(kind, id));
      }
      EXPECT_EQ(scene.script.heads["left"], 1U);
    }
  }
}

// ---- answers of the edge's own

// A request that is not read whole has no id yet: the id of the one before is not its.
TEST(DownstreamConnections, MalformedRequestIsNotAnsweredAsTheOneBefore) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  client->send("POST /once/x HTTP/1.1\r\nHost h.example\r\n\r\n");
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].status, 400);
  EXPECT_EQ(client->answers[1].field("X-Chutevane-Attempt-Id"), "");
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
}

TEST(DownstreamConnections, RequestThatComesTooSlowlyIsNotAnsweredAsTheOneBefore) {
  Scene scene(1, {}, {.header_ms = 200, .idle_ms = 5000});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  client->send("POST /once/x HTTP/1.1\r\n");
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].status, 408);
  EXPECT_EQ(client->answers[1].field("X-Chutevane-Attempt-Id"), "");
}

TEST(DownstreamConnections, OwnAnswerToHeadHasNoBody) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  RequestOptions nowhere;
  nowhere.path = "/nowhere/";
  nowhere.method = "HEAD";
  const auto client = scene.client();
  client->send(request_text("a", nowhere), true);
  client->send(request_text("b", once()));
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[0].status, 404);
  EXPECT_EQ(client->answers[0].body, "");
  EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
  EXPECT_EQ(client->unasked, "");
}

TEST(DownstreamConnections, ContinueIsSaidOnceAndIsNotTheAnswer) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  for (const char* id : {"a", "b"}) {
    client->answers.clear();
    client->interim = 0;
    client->send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: " + std::string(id) +
                 "\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    ASSERT_TRUE(scene.loop.until([&] { return client->interim == 1; }));
    client->send_more("bo");
    client->send_more("dy");
    ASSERT_TRUE(scene.answered(*client));
    EXPECT_EQ(client->answers[0].body, good_body(Kind::non_idempotent, id));
    EXPECT_EQ(client->interim, 1U);
    EXPECT_EQ(scene.script.received.back().body, "body");
  }
}

// What was sent ahead, and is not read any more, must not turn the end of the connection into a reset that
// takes the answer with it.
TEST(DownstreamConnections, LastAnswerComesWholeThoughMoreWasSent) {
  Scene scene(1);
  const std::string large(6U << 20U, 'x');
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(answer(200, request.attempt_id, large));
  };
  const auto client = scene.client();
  RequestOptions last = once();
  last.extra_fields = "Connection: close\r\n";
  client->stop_reading();
  client->send(request_text("a", last));
  // Ahead of the answer: the edge stops reading these at some point.
  RequestOptions ahead = once();
  ahead.body.assign(1U << 20U, 'b');
  client->send_more(request_text("b", ahead));
  ASSERT_TRUE(scene.loop.until([&] { return scene.script.executions("a") == 1; }));
  scene.loop.run_for(aftermath);
  client->send_more(request_text("c", once()));
  scene.loop.run_for(aftermath);
  client->resume_reading();
  ASSERT_TRUE(scene.loop.until([&] { return client->ended || client->answers.size() == 1; }));
  ASSERT_EQ(client->answers.size(), 1U);
  EXPECT_EQ(client->answers[0].body.size(), large.size());
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_EQ(scene.script.executions("b"), 0U);
}

// ---- leaving

// The edge leaves: what has been sent to it is answered, and what it has answered goes out whole.
TEST(GracefulShutdown, ResponseThatIsStillGoingOutIsNotCut) {
  Scene scene(1);
  const std::string large(16U << 20U, 'x');
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(answer(200, request.attempt_id, large));
  };
  const auto client = scene.client();
  client->stop_reading();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.loop.until([&] { return scene.script.executions("a") == 1; }));
  scene.loop.run_for(aftermath);
  scene.edge->begin_shutdown();
  scene.loop.run_for(leaving_closes_after);
  EXPECT_FALSE(scene.edge->finished());
  client->resume_reading();
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers[0].body.size(), large.size());
  EXPECT_TRUE(scene.loop.until([&] { return scene.edge->finished(); }));
}

TEST(GracefulShutdown, RequestThatHasArrivedIsNotReset) {
  Scene scene(1);
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  scene.edge->begin_shutdown();
  scene.loop.run_for(leaving_closes_after - Span::ms(150));
  client->send(request_text("b", once()));
  scene.loop.freeze(Span::ms(200));  // past the moment when idle connections are ended
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
  EXPECT_FALSE(client->answers[1].keep_alive);
  EXPECT_TRUE(scene.loop.until([&] { return scene.edge->finished(); }));
}

// ---- limits in time

// Long enough that 16 MiB are read within a tenth of it, also by a build with sanitizers.
#if defined(__SANITIZE_ADDRESS__)
constexpr int idle_ms = 1500;
#else
constexpr int idle_ms = 500;
#endif

// Clients take up a connection that has rested for up to four fifths of the limit.
TEST(Limits, IdleConnectionIsUsedAgain) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  for (std::size_t i = 0; i < 4; ++i) {
    client->send(request_text(numbered("a", i), once()));
    ASSERT_TRUE(scene.answered(*client, i + 1));
    scene.loop.run_for(Span::ms(idle_ms * 0.8));
    ASSERT_FALSE(client->ended);
  }
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_FALSE(client->ended_midway);
}

// The rest begins when the answer has gone out, not when its first bytes did.
TEST(Limits, IdleTimeBeginsWhenTheResponseIsOut) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  const std::string large(16U << 20U, 'x');
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(answer(200, request.attempt_id, large));
  };
  const auto client = scene.client();
  client->make_room(large.size() * 2);
  client->stop_reading();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.loop.until([&] { return scene.script.executions("a") == 1; }));
  scene.loop.run_for(Span::ms(idle_ms * 0.7));
  client->resume_reading();
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers[0].body.size(), large.size());
  scene.loop.run_for(Span::ms(idle_ms * 0.8));
  EXPECT_FALSE(client->ended);
}

// Clients go by the limit that is in force: one that grows while they rest holds for that rest too.
TEST(Limits, LimitThatGrowsHoldsForIdleTimeThatHasBegun) {
  const LimitOptions longer{.header_ms = 300, .idle_ms = idle_ms * 4};
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  const TimePoint rested_since = scene.loop.later.now();
  scene.loop.run_for(Span::ms(idle_ms / 2.0));
  scene.configure({}, longer);
  ASSERT_TRUE(scene.in_force());
  scene.loop.run_for(rested_since + Span::ms(longer.idle_ms * 0.8) - scene.loop.later.now());
  ASSERT_FALSE(client->ended);
  client->send(request_text("b", once()));
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
}

// A bound on bodies that grows holds for connections that are open already.
TEST(Limits, BoundOnBodiesThatGrowsHoldsForAnOpenConnection) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms, .body_bytes = 1000});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  scene.configure({}, {.header_ms = 300, .idle_ms = idle_ms, .body_bytes = 8000});
  ASSERT_TRUE(scene.in_force());
  RequestOptions larger = once();
  larger.body = std::string(6000, 'x');
  client->send(request_text("b", larger));
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].status, 200);
}

// A process that was frozen over the limit finds the request that came meanwhile before it ends what rests.
TEST(Limits, RequestThatCameDuringAFreezeIsRead) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  client->send(request_text("a", once()));
  ASSERT_TRUE(scene.answered(*client));
  client->send(request_text("b", once()));
  scene.loop.freeze(Span::ms(idle_ms * 1.2));
  ASSERT_TRUE(scene.answered(*client, 2));
  EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
}

// The same for the rest of a head.
TEST(Limits, HeadThatCameDuringAFreezeIsRead) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  scene.answer_well(Kind::non_idempotent);
  const auto client = scene.client();
  const std::string whole = request_text("a", once());
  client->send(whole.substr(0, 20));
  scene.loop.run_for(Span::ms(50));
  client->send_more(whole.substr(20));
  scene.loop.freeze(Span::ms(400));
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers[0].status, 200);
}

// The time for a head runs from its first byte and no byte prolongs it.
TEST(Limits, HeadComesWithinItsTime) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = 5000});
  const auto client = scene.client();
  client->send("POST /once/x HTTP/1.1\r\n");
  const TimePoint began = scene.loop.later.now();
  for (int i = 0; i < 20 && client->answers.empty(); ++i) {
    client->send_more("X-A: 1\r\n");
    scene.loop.run_for(Span::ms(50));
  }
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers[0].status, 408);
  const Span took = scene.loop.later.now() - began;
  EXPECT_GE(took, Span::ms(295));
  EXPECT_LT(took, Span::ms(600));
  EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
}

// One that says nothing at all is closed without an answer.
TEST(Limits, SilentConnectionIsClosedWithoutAnAnswer) {
  Scene scene(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  const auto client = scene.client();
  const TimePoint began = scene.loop.later.now();
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_GE(scene.loop.later.now() - began, Span::ms(idle_ms - 10));
  EXPECT_TRUE(client->answers.empty() && client->unasked.empty());
}

}  // namespace
}  // namespace chutevane::edge::harness
