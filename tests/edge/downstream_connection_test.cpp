/// Client connections: one response per request, in order, never that of another request; and no connection
/// ends in a way that loses a request or a part of a response.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr Span quiet_period = Span::ms(60);         // for events that must not happen
constexpr Span accept_period_end = Span::ms(2700);  // slightly longer than the edge accepts after SIGTERM

RequestOptions non_idempotent_request() { return request_of(RouteKind::non_idempotent); }

TEST(DownstreamConnections, PipelinedRequestsAreAnsweredInTheirOrder) {
  TestEnvironment env(3);
  // The first request is answered last.
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "a0") {
      env.loop.later.after(
          Span::ms(50), [&connection] { connection.send(valid_response(RouteKind::non_idempotent, "a0")); });
    } else {
      connection.send(valid_response(RouteKind::non_idempotent, request.attempt_id));
    }
  };
  const auto client = env.client();
  client->send(request_text("a0", non_idempotent_request()));
  for (std::size_t i = 1; i < 5; ++i) client->send(request_text(numbered("a", i), non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client, 5));
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string id = numbered("a", i);
    EXPECT_EQ(client->responses[i].body, valid_body(RouteKind::non_idempotent, id));
    EXPECT_EQ(client->responses[i].field("X-Chutevane-Attempt-Id"), id);
    EXPECT_EQ(env.script.executions(id), 1U);
  }
  EXPECT_EQ(client->unsolicited, "");
}

TEST(DownstreamConnections, PipelinedBodiesAreNotParsedAsRequests) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  RequestOptions options = non_idempotent_request();
  options.body = request_text("smuggled", non_idempotent_request());
  const std::string chunked =
      "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: b\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      chunk(request_text("smuggled", non_idempotent_request())) + "0\r\nX-Sum: 1\r\n\r\n";
  const auto client = env.client();
  client->send(request_text("a", options));
  client->send(chunked);
  client->send(request_text("c", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client, 3));
  ASSERT_EQ(env.script.received.size(), 3U);
  EXPECT_EQ(env.script.received[0].body, options.body);
  EXPECT_EQ(env.script.received[1].body, options.body);
  EXPECT_EQ(env.script.executions("smuggled"), 0U);
}

// When a client leaves, its request is not sent again and the response is not delivered to anyone else.
TEST(DownstreamConnections, ClientDisconnectsMidResponse) {
  for (const RouteKind kind : all_kinds) {
    for (const bool with_reset : {false, true}) {
      SCOPED_TRACE(name_of(kind) + (with_reset ? " reset" : " closed"));
      TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
      ASSERT_TRUE(env.prepare_previous_turn(kind));
      std::size_t number = 0;
      env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
        if (request.attempt_id != "left") return connection.send(valid_response(kind, request.attempt_id));
        number = connection.number();
        if (is_streaming(kind)) connection.send(stream_head("left") + chunk(event_text(1, "one")));
      };
      const auto client = env.client();
      client->send(request_text("left", request_of(kind)));
      ASSERT_TRUE(env.loop.until(
          [&] { return number > 0 && (!is_streaming(kind) || !client->partial_body.empty()); }));
      if (with_reset) {
        client->reset();
      } else {
        client->close();
      }
      EXPECT_TRUE(env.loop.until([&] { return env.script.closed_connections.contains(number); }));
      for (std::size_t i = 0; i < 4; ++i) {
        const std::string id = numbered("then", i);
        EXPECT_EQ(env.send_request(id, request_of(kind)).body, valid_body(kind, id));
      }
      EXPECT_EQ(env.script.heads["left"], 1U);
    }
  }
}

// ---- responses of the edge itself

// A request that was not read completely has no id; its response must not have the id of the previous
// request.
TEST(DownstreamConnections, MalformedRequestDoesNotGetThePreviousId) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  client->send("POST /once/x HTTP/1.1\r\nHost h.example\r\n\r\n");
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].status, 400);
  EXPECT_EQ(client->responses[1].field("X-Chutevane-Attempt-Id"), "");
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
}

TEST(DownstreamConnections, SlowRequestDoesNotGetThePreviousId) {
  TestEnvironment env(1, {}, {.header_ms = 200, .idle_ms = 5000});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  client->send("POST /once/x HTTP/1.1\r\n");
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].status, 408);
  EXPECT_EQ(client->responses[1].field("X-Chutevane-Attempt-Id"), "");
}

TEST(DownstreamConnections, OwnResponseToHeadHasNoBody) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  RequestOptions nowhere;
  nowhere.path = "/nowhere/";
  nowhere.method = "HEAD";
  const auto client = env.client();
  client->send(request_text("a", nowhere), true);
  client->send(request_text("b", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[0].status, 404);
  EXPECT_EQ(client->responses[0].body, "");
  EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
  EXPECT_EQ(client->unsolicited, "");
}

TEST(DownstreamConnections, ContinueIsSentOnceAndIsNotTheResponse) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  for (const char* id : {"a", "b"}) {
    client->responses.clear();
    client->interim_responses = 0;
    client->send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Chutevane-Attempt-Id: " + std::string(id) +
                 "\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    ASSERT_TRUE(env.loop.until([&] { return client->interim_responses == 1; }));
    client->send_more("bo");
    client->send_more("dy");
    ASSERT_TRUE(env.wait_for_responses(*client));
    EXPECT_EQ(client->responses[0].body, valid_body(RouteKind::non_idempotent, id));
    EXPECT_EQ(client->interim_responses, 1U);
    EXPECT_EQ(env.script.received.back().body, "body");
  }
}

// Pipelined requests that are never read must not turn the end of the connection into a reset that loses the
// last response.
TEST(DownstreamConnections, LastResponseIsCompleteDespitePipelinedRequests) {
  TestEnvironment env(1);
  const std::string large(6U << 20U, 'x');
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(response_text(200, request.attempt_id, large));
  };
  const auto client = env.client();
  RequestOptions last = non_idempotent_request();
  last.extra_fields = "Connection: close\r\n";
  client->stop_reading();
  client->send(request_text("a", last));
  // Pipelined before the response; the edge stops reading them at some point.
  RequestOptions ahead = non_idempotent_request();
  ahead.body.assign(1U << 20U, 'b');
  client->send_more(request_text("b", ahead));
  ASSERT_TRUE(env.loop.until([&] { return env.script.executions("a") == 1; }));
  env.loop.run_for(quiet_period);
  client->send_more(request_text("c", non_idempotent_request()));
  env.loop.run_for(quiet_period);
  client->resume_reading();
  ASSERT_TRUE(env.loop.until([&] { return client->closed || client->responses.size() == 1; }));
  ASSERT_EQ(client->responses.size(), 1U);
  EXPECT_EQ(client->responses[0].body.size(), large.size());
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_EQ(env.script.executions("b"), 0U);
}

// ---- graceful shutdown

// During a shutdown, requests that have arrived are answered, and responses are sent completely.
TEST(GracefulShutdown, PartiallySentResponseIsCompleted) {
  TestEnvironment env(1);
  const std::string large(16U << 20U, 'x');
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(response_text(200, request.attempt_id, large));
  };
  const auto client = env.client();
  client->stop_reading();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.loop.until([&] { return env.script.executions("a") == 1; }));
  env.loop.run_for(quiet_period);
  env.edge->begin_shutdown();
  env.loop.run_for(accept_period_end);
  EXPECT_FALSE(env.edge->finished());
  client->resume_reading();
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses[0].body.size(), large.size());
  EXPECT_TRUE(env.loop.until([&] { return env.edge->finished(); }));
}

TEST(GracefulShutdown, RequestThatHasArrivedIsNotReset) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  env.edge->begin_shutdown();
  env.loop.run_for(accept_period_end - Span::ms(150));
  client->send(request_text("b", non_idempotent_request()));
  env.loop.freeze(Span::ms(200));  // until after idle connections are closed
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
  EXPECT_FALSE(client->responses[1].keep_alive);
  EXPECT_TRUE(env.loop.until([&] { return env.edge->finished(); }));
}

// ---- time limits

// Long enough to read 16 MiB within a tenth of it, even in a build with sanitizers.
#if defined(__SANITIZE_ADDRESS__)
constexpr int idle_ms = 1500;
#else
constexpr int idle_ms = 500;
#endif

// Clients reuse a connection that has been idle for up to four fifths of the limit.
TEST(Limits, IdleConnectionIsUsedAgain) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  for (std::size_t i = 0; i < 4; ++i) {
    client->send(request_text(numbered("a", i), non_idempotent_request()));
    ASSERT_TRUE(env.wait_for_responses(*client, i + 1));
    env.loop.run_for(Span::ms(idle_ms * 0.8));
    ASSERT_FALSE(client->closed);
  }
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_FALSE(client->closed_mid_response);
}

// The idle time starts when the response has been sent completely, not with its first bytes.
TEST(Limits, IdleTimeStartsWhenTheResponseIsSent) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  const std::string large(16U << 20U, 'x');
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(response_text(200, request.attempt_id, large));
  };
  const auto client = env.client();
  client->reserve_buffer(large.size() * 2);
  client->stop_reading();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.loop.until([&] { return env.script.executions("a") == 1; }));
  env.loop.run_for(Span::ms(idle_ms * 0.7));
  client->resume_reading();
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses[0].body.size(), large.size());
  env.loop.run_for(Span::ms(idle_ms * 0.8));
  EXPECT_FALSE(client->closed);
}

// Clients rely on the current limit, so an increase during an idle period applies to that period too.
TEST(Limits, IncreasedLimitAppliesToCurrentIdleTime) {
  const LimitOptions longer{.header_ms = 300, .idle_ms = idle_ms * 4};
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  const TimePoint idle_since = env.loop.later.now();
  env.loop.run_for(Span::ms(idle_ms / 2.0));
  env.configure({}, longer);
  ASSERT_TRUE(env.wait_until_applied());
  env.loop.run_for(idle_since + Span::ms(longer.idle_ms * 0.8) - env.loop.later.now());
  ASSERT_FALSE(client->closed);
  client->send(request_text("b", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
}

// An increased limit for bodies applies to connections that are already open.
TEST(Limits, IncreasedBodyLimitAppliesToOpenConnections) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms, .body_bytes = 1000});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  env.configure({}, {.header_ms = 300, .idle_ms = idle_ms, .body_bytes = 8000});
  ASSERT_TRUE(env.wait_until_applied());
  RequestOptions larger = non_idempotent_request();
  larger.body = std::string(6000, 'x');
  client->send(request_text("b", larger));
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].status, 200);
}

// A process that was suspended for longer than the limit reads a request that arrived meanwhile, before it
// closes idle connections.
TEST(Limits, RequestThatArrivedDuringASuspensionIsRead) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  client->send(request_text("a", non_idempotent_request()));
  ASSERT_TRUE(env.wait_for_responses(*client));
  client->send(request_text("b", non_idempotent_request()));
  env.loop.freeze(Span::ms(idle_ms * 1.2));
  ASSERT_TRUE(env.wait_for_responses(*client, 2));
  EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
}

// The same for the rest of a request head.
TEST(Limits, HeadThatArrivedDuringASuspensionIsRead) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  env.respond_normally(RouteKind::non_idempotent);
  const auto client = env.client();
  const std::string whole = request_text("a", non_idempotent_request());
  client->send(whole.substr(0, 20));
  env.loop.run_for(Span::ms(50));
  client->send_more(whole.substr(20));
  env.loop.freeze(Span::ms(400));
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses[0].status, 200);
}

// The time limit for a head starts with its first byte, and further bytes do not extend it.
TEST(Limits, HeadMustArriveWithinItsTimeLimit) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = 5000});
  const auto client = env.client();
  client->send("POST /once/x HTTP/1.1\r\n");
  const TimePoint began = env.loop.later.now();
  for (int i = 0; i < 20 && client->responses.empty(); ++i) {
    client->send_more("X-A: 1\r\n");
    env.loop.run_for(Span::ms(50));
  }
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses[0].status, 408);
  const Span took = env.loop.later.now() - began;
  EXPECT_GE(took, Span::ms(295));
  EXPECT_LT(took, Span::ms(600));
  EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
}

// A connection on which nothing is sent is closed without a response.
TEST(Limits, SilentConnectionIsClosedWithoutAResponse) {
  TestEnvironment env(1, {}, {.header_ms = 300, .idle_ms = idle_ms});
  const auto client = env.client();
  const TimePoint began = env.loop.later.now();
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_GE(env.loop.later.now() - began, Span::ms(idle_ms - 10));
  EXPECT_TRUE(client->responses.empty() && client->unsolicited.empty());
}

// ---- the test environment itself

// Guards against an environment that fails to start: the ports of the edge's front and of its readiness were
// drawn one after the other, and were the same once in some 6,500 environments.
TEST(FreeAddresses, PortsDiffer) {
  constexpr std::size_t draws = 100, addresses_per_draw = 64;
  Loop loop;
  for (std::size_t draw = 0; draw < draws; ++draw) {
    std::set<std::uint16_t> ports;
    for (const sockaddr_in& address : free_addresses(loop.scheduler, addresses_per_draw))
      ports.insert(address.sin_port);
    ASSERT_EQ(ports.size(), addresses_per_draw);
  }
}

}  // namespace
}  // namespace chutevane::edge::harness
