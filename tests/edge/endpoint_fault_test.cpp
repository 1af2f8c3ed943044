/// Fault injection: a stall, a reset or a close at every point of a request, for each kind of route. A
/// request that is not idempotent is sent again only if it has certainly not run, and the client is never
/// told that a request has not run if it may have.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <tuple>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr int timeout_ms = 400;                // of the routes, in tests that wait for it
constexpr int ample_timeout_ms = 4000;         // of the routes, in other tests
constexpr Span timer_tolerance = Span::ms(5);  // for the rounding of timers
constexpr Span max_overrun = Span::ms(250);    // after a route's timeout
constexpr Span quiet_period = Span::ms(60);    // for a second attempt that must not happen
constexpr std::size_t large_body = 8U << 20U;  // bytes; larger than the socket buffers

enum class Point : std::uint8_t {
  accepted,
  body_partly_written,
  request_complete,
  first_response_byte,
  response_head,
  mid_response
};
enum class Fault : std::uint8_t { reset, close, stall };

std::string name_of(Point point) {
  switch (point) {
    case Point::accepted: return "accepted";
    case Point::body_partly_written: return "body_partly_written";
    case Point::request_complete: return "request_complete";
    case Point::first_response_byte: return "first_response_byte";
    case Point::response_head: return "response_head";
    case Point::mid_response: return "mid_response";
  }
  return "";
}

std::string name_of(Fault fault) {
  switch (fault) {
    case Fault::reset: return "reset";
    case Fault::close: return "close";
    case Fault::stall: return "stall";
  }
  return "";
}

bool claims_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

void inject(ScriptedConnection& connection, Fault fault) {
  switch (fault) {
    case Fault::reset: return connection.reset();
    case Fault::close: return connection.close();
    case Fault::stall: return connection.stop_reading();
  }
}

// Returns the part of the response that the endpoint sends before the fault.
std::string sent_before(Point point, RouteKind kind, const std::string& attempt_id) {
  const std::string whole = valid_response(kind, attempt_id);
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  switch (point) {
    case Point::first_response_byte: return whole.substr(0, 1);
    case Point::response_head: return whole.substr(0, head);
    case Point::mid_response:
      if (is_streaming(kind)) return stream_head(attempt_id) + chunk(event_text(1, "one of " + attempt_id));
      return whole.substr(0, head + 3);
    case Point::accepted:
    case Point::body_partly_written:
    case Point::request_complete: break;
  }
  return "";
}

class EndpointFaultTest : public ::testing::TestWithParam<std::tuple<Point, Fault, RouteKind>> {
 protected:
  // Injects the fault into the first connection that reaches the point; all other requests get valid
  // responses.
  void install_fault(TestEnvironment& env, Point point, Fault fault, RouteKind kind) {
    EndpointScript& script = env.script;
    script.on_request = [this, point, fault, kind](ScriptedConnection& connection,
                                                   const ReceivedRequest& request) {
      if (std::exchange(injected_, true)) return connection.send(valid_response(kind, request.attempt_id));
      connection.send(sent_before(point, kind, request.attempt_id));
      // The bytes sent are in the edge's socket before the fault, so the edge reads them first.
      inject(connection, fault);
    };
    if (point == Point::accepted) {
      script.on_accept = [this, fault](ScriptedConnection& connection) {
        if (!std::exchange(injected_, true)) inject_at_accept(connection, fault);
      };
    } else if (point == Point::body_partly_written) {
      script.on_head = [this, fault](ScriptedConnection& connection, const std::string&) {
        if (!std::exchange(injected_, true)) inject(connection, fault);
      };
    }
  }
  void inject_at_accept(ScriptedConnection& connection, Fault fault) {
    if (fault == Fault::stall) return connection.stop_reading();
    pending_connection_ = &connection;
    pending_fault_ = fault;
  }
  bool injected_ = false;
  ScriptedConnection* pending_connection_ = nullptr;
  Fault pending_fault_ = Fault::reset;
};

TEST_P(EndpointFaultTest, IsRetriedOnlyIfSafe) {
  const auto [point, fault, kind] = GetParam();
  const bool is_stalled = fault == Fault::stall;
  TestEnvironment env(2, {.timeout_ms = is_stalled ? timeout_ms : ample_timeout_ms, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(kind));
  install_fault(env, point, fault, kind);
  if (point == Point::accepted && fault != Fault::stall) {
    // The endpoint closes the connection before it has read a byte.
    env.script.on_bytes = [this](ScriptedConnection& connection) {
      if (&connection == std::exchange(pending_connection_, nullptr)) inject(connection, pending_fault_);
    };
  }
  RequestOptions options = request_of(kind);
  if (point == Point::body_partly_written) options.body.assign(large_body, 'b');
  const std::string id = "victim";
  const auto client = env.client();
  const TimePoint asked = env.loop.later.now();
  client->send(request_text(id, options));
  ASSERT_TRUE(env.loop.until([&] { return injected_; }));
  const TimePoint injected_at = env.loop.later.now();
  ASSERT_TRUE(env.loop.until([&] { return !client->responses.empty() || client->closed; }));
  const TimePoint over = env.loop.later.now();
  env.loop.run_for(quiet_period);
  EXPECT_EQ(client->unsolicited, "");

  const std::size_t heads = env.script.heads[id];
  if (is_stalled) {
    // A stall does not end the request early; it ends at the route's timeout.
    EXPECT_GE(over - asked, Span::ms(timeout_ms) - timer_tolerance);
    EXPECT_LT(over - injected_at, Span::ms(timeout_ms) + max_overrun);
    EXPECT_LE(heads, 1U);
  }
  if (is_streaming(kind) && point == Point::mid_response) {
    // The client has a part of the response, which must not look complete.
    EXPECT_TRUE(client->responses.empty());
    EXPECT_TRUE(client->closed_mid_response);
    EXPECT_EQ(client->partial_body, event_text(1, "one of victim"));
    EXPECT_EQ(heads, 1U);
  } else {
    ASSERT_EQ(client->responses.size(), 1U);
    const Response& response = client->responses.front();
    if (kind == RouteKind::idempotent && !is_stalled) {
      EXPECT_EQ(response.status, 200);
      EXPECT_EQ(response.body, valid_body(kind, id));
      EXPECT_LE(heads, 2U);
    } else {
      EXPECT_FALSE(claims_not_run(response.status)) << response.status;
      EXPECT_EQ(response.status, is_stalled ? 504 : 502);
      EXPECT_EQ(response.field("X-Chutevane-Server-Seal"), "");
      EXPECT_LE(heads, point == Point::accepted ? 0U : 1U);
    }
  }
  if (kind == RouteKind::turn) {
    // A request that may have run counts in full.
    EXPECT_EQ(env.storage->reserved.count(id), 1U);
    EXPECT_EQ(env.storage->committed.count(id), 0U);
    EXPECT_EQ(env.storage->stored_turns.count(id), 0U);
  }

  // The next request gets its own response.
  env.script.on_accept = nullptr;
  env.script.on_bytes = nullptr;
  env.script.on_head = nullptr;
  const Response next = env.send_request("next", request_of(kind));
  EXPECT_EQ(next.status, 200);
  EXPECT_EQ(next.body, valid_body(kind, "next"));
  EXPECT_EQ(env.script.executions("next"), 1U);
}

INSTANTIATE_TEST_SUITE_P(AllPoints, EndpointFaultTest,
                         ::testing::Combine(::testing::Values(Point::accepted, Point::body_partly_written,
                                                              Point::request_complete,
                                                              Point::first_response_byte,
                                                              Point::response_head, Point::mid_response),
                                            ::testing::Values(Fault::reset, Fault::close, Fault::stall),
                                            ::testing::ValuesIn(all_kinds)),
                         [](const auto& row) {
                           return name_of(std::get<0>(row.param)) + "_" + name_of(std::get<1>(row.param)) +
                                  "_" + name_of(std::get<2>(row.param));
                         });

// ---- failures before anything was sent, and rejections with proof

class RouteKindTest : public ::testing::TestWithParam<RouteKind> {};
INSTANTIATE_TEST_SUITE_P(AllKinds, RouteKindTest, ::testing::ValuesIn(all_kinds),
                         [](const auto& row) { return name_of(row.param); });

TEST_P(RouteKindTest, RefusedConnectionIsProvenUnsent) {
  const RouteKind kind = GetParam();
  TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(kind));
  env.respond_normally(kind);
  env.endpoints[0]->stop_listening();
  for (int i = 0; i < 8; ++i) {
    const std::string id = numbered("a", static_cast<std::size_t>(i));
    const Response response = env.send_request(id, request_of(kind));
    EXPECT_EQ(response.status, 200) << id;
    EXPECT_EQ(response.body, valid_body(kind, id));
    EXPECT_EQ(env.script.heads[id], 1U);
  }
  env.endpoints[1]->stop_listening();
  // Established connections are still usable, so they are closed here.
  while (env.script.connections.size() > 0) env.script.connections[0].close();
  const Response none = env.send_request("none", request_of(kind));
  EXPECT_EQ(none.status, 503);
  EXPECT_NE(none.field("Retry-After"), "");
  EXPECT_EQ(env.script.heads["none"], 0U);
  if (kind == RouteKind::turn) {
    EXPECT_EQ(env.storage->committed["none"], 0);
  }
}

// The endpoint's accept queue is full, so it does not even refuse connections.
TEST_P(RouteKindTest, UnansweredConnectIsProvenUnsent) {
  const RouteKind kind = GetParam();
  TestEnvironment env(1, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(kind));
  env.respond_normally(kind);
  const SilentAddress silent;
  env.listed.front().id = "i-silent";
  env.listed.front().address = net::text_of(silent.address());
  env.list_endpoints();
  ASSERT_TRUE(env.wait_until_applied());
  const TimePoint began = env.loop.later.now();
  const Response none = env.send_request("none", request_of(kind));
  EXPECT_EQ(none.status, 503);
  EXPECT_LT(env.loop.later.now() - began, Span::ms(4000));
  if (kind == RouteKind::turn) {
    EXPECT_EQ(env.storage->committed.count("none"), 1U);
  }
}

// A rejection with proof is retried at another endpoint, up to maxAttempts. After that the client is told
// that the request has not run.
TEST_P(RouteKindTest, RejectionWithProofIsRetried) {
  const RouteKind kind = GetParam();
  for (const std::string& proof :
       {rejection(503, "a"), rejection(429, "a"), rejection(421, "a"), response_text(421, "a", "")}) {
    SCOPED_TRACE(proof);
    TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
    ASSERT_TRUE(env.prepare_previous_turn(kind));
    env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(env.script.heads["a"] == 1 ? proof : valid_response(kind, request.attempt_id));
    };
    const Response response = env.send_request("a", request_of(kind));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, valid_body(kind, "a"));
    EXPECT_EQ(env.script.reached["a"].size(), 2U);
  }
}

TEST_P(RouteKindTest, RejectedByAllIsReportedAsNotRun) {
  const RouteKind kind = GetParam();
  TestEnvironment env(4, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(kind));
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(rejection(503, request.attempt_id));
  };
  const Response response = env.send_request("a", request_of(kind));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.field("X-Chutevane-Server-Seal"), "");
  EXPECT_NE(response.field("Retry-After"), "");
  EXPECT_EQ(env.script.heads["a"], 2U);
  if (kind == RouteKind::turn) {
    ASSERT_TRUE(env.loop.until([&] { return env.storage->committed.contains("a"); }));
    EXPECT_EQ(env.storage->committed["a"], 0);
  }
}

// The head of a rejection is sufficient proof, whatever happens to its body.
TEST_P(RouteKindTest, RejectionWithTruncatedBodyIsProof) {
  const RouteKind kind = GetParam();
  TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(kind));
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (env.script.heads["a"] > 1) return connection.send(valid_response(kind, request.attempt_id));
    const std::string whole = rejection(503, request.attempt_id);
    connection.send(whole.substr(0, whole.size() - 2));
    connection.close();
  };
  const Response response = env.send_request("a", request_of(kind));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, valid_body(kind, "a"));
}

// A status that claims that the request has not run is not forwarded without the endpoint's proof.
TEST_P(RouteKindTest, StatusWithoutProofIsNotForwarded) {
  const RouteKind kind = GetParam();
  if (kind == RouteKind::idempotent) return;  // may run again, so the claim does not matter
  for (const int status : {503, 429, 408, 402}) {
    if (status == 402 && kind != RouteKind::turn) continue;  // concerns requests with a budget only
    SCOPED_TRACE(status);
    TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
    ASSERT_TRUE(env.prepare_previous_turn(kind));
    env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(response_text(status, request.attempt_id, "ran"));
    };
    const Response response = env.send_request("a", request_of(kind));
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.field("X-Chutevane-Server-Seal"), "");
    env.loop.run_for(quiet_period);
    EXPECT_EQ(env.script.heads["a"], 1U);
  }
}

// ---- limits

TEST(AttemptLimits, NoMoreEndpointsThanMaxAttempts) {
  for (const int most : {1, 2, 3}) {
    SCOPED_TRACE(most);
    TestEnvironment env(5, {.timeout_ms = 4000, .max_attempts = most});
    env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest&) {
      connection.reset();
    };
    const Response response = env.send_request("a", request_of(RouteKind::idempotent));
    EXPECT_EQ(response.status, 502);
    env.loop.run_for(quiet_period);
    EXPECT_EQ(env.script.reached["a"].size(), static_cast<std::size_t>(most));
    EXPECT_EQ(env.script.heads["a"], static_cast<std::size_t>(most));
  }
}

// Rejected attempts and attempts that ran count together.
TEST(AttemptLimits, RejectionsCountAsAttempts) {
  TestEnvironment env(5, {.timeout_ms = 4000, .max_attempts = 3});
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (env.script.heads["a"] % 2 == 1) return connection.send(rejection(503, request.attempt_id));
    connection.reset();
  };
  env.send_request("a", request_of(RouteKind::idempotent));
  env.loop.run_for(quiet_period);
  EXPECT_EQ(env.script.heads["a"], 3U);
}

// A request whose attempt is ended by the adaptive timeout is retried at another endpoint, and the late
// response is dropped.
TEST(AttemptLimits, LateResponseAfterAdaptiveTimeoutIsDropped) {
  TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
  env.respond_normally(RouteKind::idempotent);
  for (std::size_t i = 0; i < 30; ++i)
    ASSERT_EQ(env.send_request(numbered("warm", i), request_of(RouteKind::idempotent)).status, 200);
  std::size_t slow = 0;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "slow" && slow == 0) {
      slow = connection.number();
      return;
    }
    connection.send(valid_response(RouteKind::idempotent, request.attempt_id));
  };
  const auto client = env.client();
  client->send(request_text("slow", request_of(RouteKind::idempotent)));
  ASSERT_TRUE(env.wait_for_responses(*client));
  EXPECT_EQ(client->responses.front().body, valid_body(RouteKind::idempotent, "slow"));
  // The connection of the timed-out attempt is closed, so a late response can't be delivered.
  EXPECT_TRUE(env.loop.until([&] { return env.script.closed_connections.contains(slow); }));
  for (std::size_t i = 0; i < 10; ++i) {
    const std::string id = numbered("then", i);
    EXPECT_EQ(env.send_request(id, request_of(RouteKind::idempotent)).body,
              valid_body(RouteKind::idempotent, id));
  }
}

// An edge that has just started waits for its configuration, but not beyond the client's deadline.
TEST(AttemptLimits, UnconfiguredEdgeRespondsWithinTheClientsTime) {
  TestEnvironment env(1, {}, {}, TestEnvironment::Configured::no);
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.time_remaining_ms = 300;
  const TimePoint began = env.loop.later.now();
  const Response response = env.send_request("a", options);
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.field("Retry-After"), "");
  EXPECT_LT(env.loop.later.now() - began, Span::ms(options.time_remaining_ms));
}

// The client has time left, but the timeout of the route is unknown: a response is due half a second after
// the shortest possible timeout.
TEST(AttemptLimits, UnconfiguredEdgeRespondsBeforeAnyRouteTimeout) {
  TestEnvironment env(1, {}, {}, TestEnvironment::Configured::no);
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.time_remaining_ms = 20000;
  const TimePoint began = env.loop.later.now();
  const Response response = env.send_request("a", options);
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.field("Retry-After"), "");
  EXPECT_LT(env.loop.later.now() - began, Span::ms(500));
}

// The route's timeout starts when the request is complete and also applies while storage does not reply.
TEST(AttemptLimits, UnresponsiveStorageDoesNotExceedTheTimeout) {
  TestEnvironment env(1, {.timeout_ms = timeout_ms, .max_attempts = 2});
  ASSERT_TRUE(env.prepare_previous_turn(RouteKind::turn));
  env.respond_normally(RouteKind::turn);
  env.storage->silent_on_reserve = true;
  TimePoint began = env.loop.later.now();
  EXPECT_EQ(env.send_request("a", request_of(RouteKind::turn)).status, 503);
  EXPECT_LT(env.loop.later.now() - began, Span::ms(timeout_ms) + max_overrun);
  EXPECT_EQ(env.script.heads["a"], 0U);
  env.storage->silent_on_reserve = false;
  env.storage->silent_on_store = true;
  began = env.loop.later.now();
  const auto client = env.client();
  client->send(request_text("b", request_of(RouteKind::turn)));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_LT(env.loop.later.now() - began, Span::ms(timeout_ms) + max_overrun);
  EXPECT_TRUE(client->closed_mid_response);
  EXPECT_TRUE(client->responses.empty());
  EXPECT_EQ(env.script.heads["b"], 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
