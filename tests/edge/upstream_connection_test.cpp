/// Upstream connections that contain, or may contain, bytes of another request or response: no response is
/// delivered to the wrong request, and no byte of a request becomes part of another.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr std::size_t large_body = 8U << 20U;     // bytes; larger than the socket buffers
constexpr Span quiet_period = Span::ms(60);       // for events that must not happen
constexpr Span max_close_delay = Span::ms(1000);  // for closing a connection that is not reusable

// Uses a single endpoint, so that a request reuses the connection of the previous one if it is still open.
class ConnectionReuse : public ::testing::Test {
 protected:
  Response send_non_idempotent(const std::string& id) {
    return env.send_request(id, request_of(RouteKind::non_idempotent));
  }
  Response send_idempotent(const std::string& id) {
    return env.send_request(id, request_of(RouteKind::idempotent));
  }
  std::size_t connection_of(const std::string& id) const {
    for (const ReceivedRequest& request : env.script.received) {
      if (request.attempt_id == id) return request.connection;
    }
    return 0;
  }
  // Responds to the request `id` with these bytes, and to all others with a valid response.
  void respond_with(const std::string& id, const std::string& bytes) {
    env.script.on_request = [id, bytes](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(
          request.attempt_id == id ? bytes : valid_response(RouteKind::non_idempotent, request.attempt_id));
    };
  }
  // Expects the request's own response and exactly one execution.
  void expect_own(const Response& response, const std::string& id) {
    EXPECT_EQ(response.status, 200) << id;
    EXPECT_EQ(response.body, valid_body(RouteKind::non_idempotent, id));
    EXPECT_EQ(response.field("X-Chutevane-Attempt-Id"), id);
    EXPECT_EQ(env.script.executions(id), 1U);
  }
  // Expects that the connection is closed immediately, not only by the idle timeout.
  void expect_closed(std::size_t connection) {
    EXPECT_TRUE(
        env.loop.until([&] { return env.script.closed_connections.contains(connection); }, max_close_delay));
  }
  TestEnvironment env{1};
};

TEST_F(ConnectionReuse, ReusableConnectionIsReused) {
  env.respond_normally(RouteKind::non_idempotent);
  expect_own(send_non_idempotent("a"), "a");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

// If a response arrives early, the unsent rest of its request must not precede the next request.
TEST_F(ConnectionReuse, EarlyResponseClosesTheConnection) {
  env.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    if (id != "early") return;
    connection.stop_reading();
    connection.send(valid_response(RouteKind::non_idempotent, id));
  };
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id != "early")
      connection.send(valid_response(RouteKind::non_idempotent, request.attempt_id));
  };
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.body.assign(large_body, 'b');
  const Response early = env.send_request("early", options);
  EXPECT_EQ(early.status, 200);
  EXPECT_EQ(early.body, valid_body(RouteKind::non_idempotent, "early"));
  EXPECT_EQ(env.script.executions("early"), 0U);
  const Response next = send_non_idempotent("next");
  expect_own(next, "next");
  EXPECT_EQ(connection_of("next"), 2U);
  ScriptedConnection* const first = env.script.connection(1);
  if (first != nullptr) first->resume_reading();
  expect_closed(1);
  EXPECT_EQ(env.script.executions("early"), 0U);  // never received completely
}

// An endpoint rejects a request before it is completely written. It has provably not run, and the rest is not
// sent.
TEST_F(ConnectionReuse, EarlyRejectionIsProof) {
  env.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    connection.stop_reading();
    connection.send(rejection(503, id));
  };
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.body.assign(large_body, 'b');
  EXPECT_EQ(env.send_request("early", options).status, 503);
  if (ScriptedConnection* const first = env.script.connection(1)) first->resume_reading();
  expect_closed(1);
  EXPECT_EQ(env.script.executions("early"), 0U);
}

// An endpoint responds and closes while the request is being written: the response counts, not the failed
// write.
TEST_F(ConnectionReuse, RejectionBeforeTheResetOfAWriteIsRead) {
  env.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    connection.send(rejection(503, id));
    connection.close();  // unread bytes of the request cause a reset
  };
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.body.assign(large_body, 'b');
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string id = numbered("early", i);
    EXPECT_EQ(env.send_request(id, options).status, 503);
    EXPECT_EQ(env.script.executions(id), 0U);
  }
}

TEST_F(ConnectionReuse, SurplusResponseAfterTheCompleteOneClosesTheConnection) {
  respond_with(
      "a", valid_response(RouteKind::non_idempotent, "a") + valid_response(RouteKind::non_idempotent, "a"));
  expect_own(send_non_idempotent("a"), "a");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST_F(ConnectionReuse, SurplusResponseOnAnIdleConnectionClosesIt) {
  env.respond_normally(RouteKind::non_idempotent);
  expect_own(send_non_idempotent("a"), "a");
  env.script.connection(1)->send(valid_response(RouteKind::non_idempotent, "a"));
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

// The edge has not read the surplus bytes yet when it chooses a connection for the next request.
TEST_F(ConnectionReuse, UnreadBytesCloseAnIdleConnection) {
  for (const std::string& bytes :
       {valid_response(RouteKind::non_idempotent, "a"), std::string("no answer")}) {
    SCOPED_TRACE(bytes);
    TestEnvironment fresh(1);
    fresh.respond_normally(RouteKind::non_idempotent);
    const auto client = fresh.client();
    client->send(request_text("a", request_of(RouteKind::non_idempotent)));
    ASSERT_TRUE(fresh.wait_for_responses(*client));
    // Both arrive in the edge's sockets before the next iteration of the loop, the request first.
    client->send(request_text("b", request_of(RouteKind::non_idempotent)));
    fresh.script.connection(1)->send(bytes);
    ASSERT_TRUE(fresh.wait_for_responses(*client, 2));
    EXPECT_EQ(client->responses[1].status, 200);
    EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
    ASSERT_EQ(fresh.script.received.size(), 2U);
    EXPECT_NE(fresh.script.received[0].connection, fresh.script.received[1].connection);
  }
}

// A surplus response to the previous request arrives where the response to the next one is expected.
TEST_F(ConnectionReuse, SurplusResponseBeforeTheNextOneIsSkipped) {
  for (const std::string& surplus :
       {response_text(200, "a", "of a"), response_text(503, "a", "of a"), rejection(503, "a"),
        rejection(421, "a"), response_text(404, "a", "of a"), complete_stream("a", {"of a"})}) {
    SCOPED_TRACE(surplus);
    TestEnvironment fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (request.attempt_id == "b") connection.send(surplus);
      connection.send(valid_response(RouteKind::non_idempotent, request.attempt_id));
    };
    for (const char* id : {"a", "b", "c"}) {
      const Response response = fresh.send_request(id, request_of(RouteKind::non_idempotent));
      EXPECT_EQ(response.status, 200);
      EXPECT_EQ(response.body, valid_body(RouteKind::non_idempotent, id));
      EXPECT_EQ(fresh.script.heads[id], 1U);
    }
    // Further surplus responses may follow, so the connection is not reused again.
    EXPECT_EQ(fresh.script.received[0].connection, fresh.script.received[1].connection);
    EXPECT_NE(fresh.script.received[1].connection, fresh.script.received[2].connection);
  }
}

TEST_F(ConnectionReuse, TooManySurplusResponsesAreAnError) {
  std::string many;
  for (int i = 0; i < 10; ++i) many += response_text(200, "a", "of a");
  env.respond_normally(RouteKind::non_idempotent);
  expect_own(send_non_idempotent("a"), "a");
  respond_with("b", many);
  EXPECT_EQ(send_non_idempotent("b").status, 502);
  expect_closed(1);
}

// A response without an id proves nothing on a connection that has carried another request.
TEST_F(ConnectionReuse, ResponseWithoutIdIsInvalidOnAReusedConnection) {
  for (const std::string& response_without_id :
       {rejection(503, ""), rejection(421, ""), rejection(429, ""), response_text(421, "", ""),
        response_text(200, "", "of another"), response_text(404, "", "of another"),
        response_text(500, "", "of another")}) {
    SCOPED_TRACE(response_without_id);
    TestEnvironment two(2, {.timeout_ms = 4000, .max_attempts = 2});
    two.respond_normally(RouteKind::non_idempotent);
    // Ensures that both endpoints have a connection that has carried a request.
    const auto both_used = [&] {
      const auto& received = two.script.received;
      return std::any_of(received.begin(), received.end(),
                         [&](const ReceivedRequest& r) { return r.endpoint != received.front().endpoint; });
    };
    for (std::size_t i = 0; !both_used() && i < 50; ++i) {
      const auto one = two.client(), other = two.client();
      one->send(request_text(numbered("a", i), request_of(RouteKind::non_idempotent)));
      other->send(request_text(numbered("b", i), request_of(RouteKind::non_idempotent)));
      ASSERT_TRUE(two.wait_for_responses(*one) && two.wait_for_responses(*other));
    }
    two.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
      connection.send(response_without_id);
    };
    const Response response = two.send_request("victim", request_of(RouteKind::non_idempotent));
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.field("X-Chutevane-Server-Seal"), "");
    two.loop.run_for(quiet_period);
    EXPECT_EQ(two.script.heads["victim"], 1U);
  }
}

// On a new connection the response can't belong to another request: an endpoint at capacity need not parse
// the id.
TEST_F(ConnectionReuse, RejectionWithoutIdIsValidOnANewConnection) {
  respond_with("a", rejection(503, ""));
  EXPECT_EQ(send_non_idempotent("a").status, 503);
  EXPECT_EQ(env.script.heads["a"], 1U);
}

// Responses to requests without an id can't be matched: such requests never share a connection, and none
// accepts a response with the id of another request.
TEST_F(ConnectionReuse, RequestsWithoutIdNeverShareAConnection) {
  env.respond_normally(RouteKind::non_idempotent);
  EXPECT_EQ(send_non_idempotent("").body, valid_body(RouteKind::non_idempotent, ""));
  EXPECT_EQ(send_non_idempotent("").body, valid_body(RouteKind::non_idempotent, ""));
  EXPECT_EQ(env.script.accepted, 2U);
  respond_with("", response_text(200, "somebody", "of somebody"));
  EXPECT_EQ(env.send_request("",
                             [] {
                               RequestOptions options = request_of(RouteKind::non_idempotent);
                               options.time_remaining_ms = 300;
                               return options;
                             }())
                .status,
            504);
}

TEST_F(ConnectionReuse, ResponseAfterTheDeadlineIsDropped) {
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id != "late")
      connection.send(valid_response(RouteKind::non_idempotent, request.attempt_id));
  };
  RequestOptions options = request_of(RouteKind::non_idempotent);
  options.time_remaining_ms = 150;
  expect_own(send_non_idempotent("a"), "a");
  EXPECT_EQ(env.send_request("late", options).status, 504);
  if (ScriptedConnection* const first = env.script.connection(1))
    first->send(valid_response(RouteKind::non_idempotent, "late"));
  expect_closed(1);
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("b"), 2U);
}

TEST_F(ConnectionReuse, InterimResponsesAreSkipped) {
  const std::string continued = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n";
  respond_with("a", continued + hints + hints + valid_response(RouteKind::non_idempotent, "a"));
  expect_own(send_non_idempotent("a"), "a");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
  // An interim response on an idle connection is unsolicited.
  env.script.connection(1)->send(continued);
  expect_own(send_non_idempotent("c"), "c");
  EXPECT_NE(connection_of("a"), connection_of("c"));
}

// The edge never asks to switch protocols, so the bytes after a 101 are not HTTP.
TEST_F(ConnectionReuse, SwitchingProtocolsIsAnError) {
  respond_with("a", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" +
                        valid_response(RouteKind::non_idempotent, "a"));
  EXPECT_EQ(send_non_idempotent("a").status, 502);
  expect_closed(1);
}

TEST_F(ConnectionReuse, MalformedChunkClosesTheConnection) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: a\r\nX-Chutevane-Server-Seal: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& broken :
       {std::string("zz\r\nabc\r\n0\r\n\r\n"), std::string("3\r\nabcd\r\n0\r\n\r\n"),
        std::string("-3\r\nabc\r\n0\r\n\r\n"), std::string("3\r\nabc\r\nxx\r\n\r\n"),
        std::string("ffffffffffffffffff\r\nabc\r\n0\r\n\r\n")}) {
    SCOPED_TRACE(broken);
    TestEnvironment fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(request.attempt_id == "a"
                          ? head + broken
                          : valid_response(RouteKind::non_idempotent, request.attempt_id));
    };
    EXPECT_EQ(fresh.send_request("a", request_of(RouteKind::non_idempotent)).status, 502);
    EXPECT_TRUE(fresh.loop.until([&] { return fresh.script.closed_connections.contains(1); }));
    EXPECT_EQ(fresh.send_request("b", request_of(RouteKind::non_idempotent)).body,
              valid_body(RouteKind::non_idempotent, "b"));
    EXPECT_EQ(fresh.script.heads["a"], 1U);
  }
}

// The client has a part of the stream. It must not look complete, nor be continued from another execution.
TEST_F(ConnectionReuse, MalformedChunkInAStreamResetsTheClient) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
  };
  const auto client = env.client();
  client->send(request_text("a", request_of(RouteKind::streaming)));
  ASSERT_TRUE(env.loop.until([&] { return !client->partial_body.empty(); }));
  env.script.connection(1)->send("zz\r\n" + chunk(event_text(2, "two")) + last_chunk);
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->responses.empty() && client->closed_mid_response);
  EXPECT_EQ(client->partial_body, event_text(1, "one"));
  expect_closed(1);
}

TEST_F(ConnectionReuse, TrailerIsPartOfItsResponse) {
  respond_with("a",
               "HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: a\r\nX-Chutevane-Server-Seal: s\r\n"
               "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   chunk(valid_body(RouteKind::non_idempotent, "a")) +
                   "0\r\nX-Sum: 1\r\nX-Chutevane-Attempt-Id: b\r\nContent-Length: 7\r\n\r\n");
  expect_own(send_non_idempotent("a"), "a");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

class Bodiless : public ConnectionReuse {
 protected:
  Response send_with_method(const std::string& method, const std::string& id) {
    RequestOptions options = request_of(RouteKind::non_idempotent);
    options.method = method;
    options.time_remaining_ms = 1000;
    return env.send_request(id, options);
  }
  static std::string head_of(int status, const std::string& id, const std::string& fields) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Chutevane-Attempt-Id: " + id +
           "\r\nX-Chutevane-Server-Seal: s\r\n" + fields + "\r\n";
  }
};

// The Content-Length of a response to HEAD does not mean that a body follows.
TEST_F(Bodiless, ResponseToHeadHasNoBody) {
  respond_with("a", head_of(200, "a", "Content-Length: 5\r\n"));
  const Response response = send_with_method("HEAD", "a");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "");
  EXPECT_EQ(response.field("Content-Length"), "5");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

TEST_F(Bodiless, BodyAfterAResponseToHeadClosesTheConnection) {
  respond_with("a", head_of(200, "a", "Content-Length: 5\r\n") + "hello");
  EXPECT_EQ(send_with_method("HEAD", "a").status, 200);
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST_F(Bodiless, BodyAfter204And304ClosesTheConnection) {
  for (const int status : {204, 304}) {
    SCOPED_TRACE(status);
    TestEnvironment fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(request.attempt_id == "a"
                          ? head_of(status, "a", "Content-Length: 5\r\n") + "hello"
                          : valid_response(RouteKind::non_idempotent, request.attempt_id));
    };
    const auto client = fresh.client();
    client->send(request_text("a", request_of(RouteKind::non_idempotent)));
    client->send(request_text("b", request_of(RouteKind::non_idempotent)));
    ASSERT_TRUE(fresh.wait_for_responses(*client, 2));
    EXPECT_EQ(client->responses[0].status, status);
    EXPECT_EQ(client->responses[0].body, "");
    EXPECT_EQ(client->responses[1].body, valid_body(RouteKind::non_idempotent, "b"));
    EXPECT_EQ(client->unsolicited, "");
    EXPECT_NE(fresh.script.received[0].connection, fresh.script.received[1].connection);
  }
}

// The body of a 204 arrives when the next request has already been sent; it must not be taken for a response.
TEST_F(Bodiless, LateBodyOf204IsNotAResponse) {
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "a") return connection.send(head_of(204, "a", ""));
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Chutevane-Server-Seal: s\r\n\r\nhello");
  };
  EXPECT_EQ(send_non_idempotent("a").status, 204);
  EXPECT_EQ(send_non_idempotent("b").status, 502);
  EXPECT_EQ(env.script.heads["b"], 1U);
}

// ---- connections closed by the endpoint

TEST_F(ConnectionReuse, ConnectionCloseIsHonored) {
  respond_with("a", valid_response(RouteKind::non_idempotent, "a", "Connection: close\r\n"));
  expect_own(send_non_idempotent("a"), "a");
  expect_closed(1);
  expect_own(send_non_idempotent("b"), "b");
}

TEST_F(ConnectionReuse, KeepAliveTimeoutIsHonored) {
  respond_with("a", valid_response(RouteKind::non_idempotent, "a", "Keep-Alive: timeout=1\r\n"));
  expect_own(send_non_idempotent("a"), "a");
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
  const TimePoint began = env.loop.later.now();
  EXPECT_TRUE(env.loop.until([&] { return env.script.closed_connections.contains(1); }));
  EXPECT_LT(env.loop.later.now() - began, Span::ms(1000));
}

// An endpoint may forget an idle connection and reset it on the next request. That request may have run.
TEST_F(ConnectionReuse, ResetOfAReusedConnectionIsNoProof) {
  env.respond_normally(RouteKind::non_idempotent);
  expect_own(send_non_idempotent("a"), "a");
  env.script.on_bytes = [](ScriptedConnection& connection) {
    if (connection.number() == 1) connection.reset();
  };
  const Response response = send_non_idempotent("b");
  EXPECT_EQ(response.status, 502);
  env.loop.run_for(quiet_period);
  EXPECT_EQ(env.script.heads["b"], 0U);
  expect_own(send_non_idempotent("c"), "c");
}

TEST_F(ConnectionReuse, ResetOfAReusedConnectionIsRetriedIfIdempotent) {
  env.respond_normally(RouteKind::idempotent);
  ASSERT_EQ(send_idempotent("a").status, 200);
  env.script.on_bytes = [](ScriptedConnection& connection) {
    if (connection.number() == 1) connection.reset();
  };
  expect_own(send_idempotent("b"), "b");
}

// ---- addresses that now belong to another instance

TEST_F(ConnectionReuse, AddressOfAnotherInstanceGetsNewConnections) {
  env.respond_normally(RouteKind::non_idempotent);
  expect_own(send_non_idempotent("a"), "a");
  env.listed.front().id = "i-other";
  env.list_endpoints();
  ASSERT_TRUE(env.wait_until_applied());
  expect_closed(1);
  expect_own(send_non_idempotent("b"), "b");
  EXPECT_EQ(env.script.received.back().target_instance, "i-other");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST(Instance, RequestIsRetriedAfter421OfAnotherInstance) {
  TestEnvironment env(2, {.timeout_ms = 4000, .max_attempts = 2});
  env.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.target_instance != request.endpoint)
      return connection.send(response_text(421, request.attempt_id, ""));
    connection.send(valid_response(RouteKind::non_idempotent, request.attempt_id));
  };
  env.listed[0].id = "i-gone";  // its address now belongs to i-1
  env.list_endpoints();
  ASSERT_TRUE(env.wait_until_applied());
  for (std::size_t i = 0; i < 8; ++i) {
    const std::string id = numbered("a", i);
    const Response response = env.send_request(id, request_of(RouteKind::non_idempotent));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, valid_body(RouteKind::non_idempotent, id));
  }
}

}  // namespace
}  // namespace chutevane::edge::harness
