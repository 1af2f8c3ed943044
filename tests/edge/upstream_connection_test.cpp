/// Connections to endpoints that hold, or may hold, bytes of another exchange: no answer goes to a request
/// that it does not belong to, and no byte of a request is taken for another.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr std::size_t large_body = 8U << 20U;  // bytes: more than the sockets' buffers take
constexpr Span aftermath = Span::ms(60);       // for what must not come
constexpr Span ends_within = Span::ms(1000);   // of a connection that carries nothing more

// One endpoint, so that the next request meets the connection of the one before, where that was kept.
class ConnectionReuse : public ::testing::Test {
 protected:
  Answer once(const std::string& id) { return scene.ask(id, request_of(Kind::non_idempotent)); }
  Answer again(const std::string& id) { return scene.ask(id, request_of(Kind::idempotent)); }
  std::size_t connection_of(const std::string& id) const {
    for (const ReceivedRequest& request : scene.script.received) {
      if (request.attempt_id == id) return request.connection;
    }
    return 0;
  }
  // `id` is answered by these bytes, all others well.
  void answer_with(const std::string& id, const std::string& bytes) {
    scene.script.on_request = [id, bytes](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(request.attempt_id == id ? bytes
                                               : good_answer(Kind::non_idempotent, request.attempt_id));
    };
  }
  // Exactly its own answer, and exactly one run.
  void expect_own(const Answer& got, const std::string& id) {
    EXPECT_EQ(got.status, 200) << id;
    EXPECT_EQ(got.body, good_body(Kind::non_idempotent, id));
    EXPECT_EQ(got.field("X-Chutevane-Attempt-Id"), id);
    EXPECT_EQ(scene.script.executions(id), 1U);
  }
  // At once: not only when it has rested for long.
  void expect_ended(std::size_t connection) {
    EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(connection); }, ends_within));
  }
  Scene scene{1};
};

TEST_F(ConnectionReuse, GoodConnectionIsKept) {
  scene.answer_well(Kind::non_idempotent);
  expect_own(once("a"), "a");
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

// The rest of a request whose answer came early must not stand before the next one.
TEST_F(ConnectionReuse, EarlyAnswerEndsTheConnection) {
  scene.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    if (id != "early") return;
    connection.stop_reading();
    connection.send(good_answer(Kind::non_idempotent, id));
  };
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id != "early") connection.send(good_answer(Kind::non_idempotent, request.attempt_id));
  };
  RequestOptions options = request_of(Kind::non_idempotent);
  options.body.assign(large_body, 'b');
  const Answer early = scene.ask("early", options);
  EXPECT_EQ(early.status, 200);
  EXPECT_EQ(early.body, good_body(Kind::non_idempotent, "early"));
  EXPECT_EQ(scene.script.executions("early"), 0U);
  const Answer next = once("next");
  expect_own(next, "next");
  EXPECT_EQ(connection_of("next"), 2U);
  ScriptedConnection* const first = scene.script.connection(1);
  if (first != nullptr) first->resume_reading();
  expect_ended(1);
  EXPECT_EQ(scene.script.executions("early"), 0U);  // it never came whole
}

// A rejection before the request is written whole: proven not run, and it never comes whole there.
TEST_F(ConnectionReuse, EarlyRejectionIsProof) {
  scene.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    connection.stop_reading();
    connection.send(rejection(503, id));
  };
  RequestOptions options = request_of(Kind::non_idempotent);
  options.body.assign(large_body, 'b');
  EXPECT_EQ(scene.ask("early", options).status, 503);
  if (ScriptedConnection* const first = scene.script.connection(1)) first->resume_reading();
  expect_ended(1);
  EXPECT_EQ(scene.script.executions("early"), 0U);
}

// It answers and closes while the request is still being written: what it said counts, not the failed write.
TEST_F(ConnectionReuse, RejectionBeforeTheResetOfAWriteIsRead) {
  scene.script.on_head = [](ScriptedConnection& connection, const std::string& id) {
    connection.send(rejection(503, id));
    connection.close();  // with most of the request unread: a reset
  };
  RequestOptions options = request_of(Kind::non_idempotent);
  options.body.assign(large_body, 'b');
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string id = numbered("early", i);
    EXPECT_EQ(scene.ask(id, options).status, 503);
    EXPECT_EQ(scene.script.executions(id), 0U);
  }
}

TEST_F(ConnectionReuse, SurplusAnswerBehindTheWholeOneEndsTheConnection) {
  answer_with("a", good_answer(Kind::non_idempotent, "a") + good_answer(Kind::non_idempotent, "a"));
  expect_own(once("a"), "a");
  expect_own(once("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST_F(ConnectionReuse, SurplusAnswerOnAnIdleConnectionEndsIt) {
  scene.answer_well(Kind::non_idempotent);
  expect_own(once("a"), "a");
  scene.script.connection(1)->send(good_answer(Kind::non_idempotent, "a"));
  expect_own(once("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

// The edge has not been told of them yet when it takes the next request.
TEST_F(ConnectionReuse, BytesThatNobodyHasReadEndAnIdleConnection) {
  for (const std::string& bytes : {good_answer(Kind::non_idempotent, "a"), std::string("no answer")}) {
    SCOPED_TRACE(bytes);
    Scene fresh(1);
    fresh.answer_well(Kind::non_idempotent);
    const auto client = fresh.client();
    client->send(request_text("a", request_of(Kind::non_idempotent)));
    ASSERT_TRUE(fresh.answered(*client));
    // Both lie in the edge's sockets before its next turn, the request first.
    client->send(request_text("b", request_of(Kind::non_idempotent)));
    fresh.script.connection(1)->send(bytes);
    ASSERT_TRUE(fresh.answered(*client, 2));
    EXPECT_EQ(client->answers[1].status, 200);
    EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
    ASSERT_EQ(fresh.script.received.size(), 2U);
    EXPECT_NE(fresh.script.received[0].connection, fresh.script.received[1].connection);
  }
}

// Behind the request of another, in the place of its answer.
TEST_F(ConnectionReuse, SurplusAnswerInTheNextOnesPlaceIsSkipped) {
  for (const std::string& surplus :
       {answer(200, "a", "of a"), answer(503, "a", "of a"), rejection(503, "a"), rejection(421, "a"),
        answer(404, "a", "of a"), whole_stream("a", {"of a"})}) {
    SCOPED_TRACE(surplus);
    Scene fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      if (request.attempt_id == "b") connection.send(surplus);
      connection.send(good_answer(Kind::non_idempotent, request.attempt_id));
    };
    for (const char* id : {"a", "b", "c"}) {
      const Answer got = fresh.ask(id, request_of(Kind::non_idempotent));
      EXPECT_EQ(got.status, 200);
      EXPECT_EQ(got.body, good_body(Kind::non_idempotent, id));
      EXPECT_EQ(fresh.script.heads[id], 1U);
    }
    // Where one surplus answer came, others may follow.
    EXPECT_EQ(fresh.script.received[0].connection, fresh.script.received[1].connection);
    EXPECT_NE(fresh.script.received[1].connection, fresh.script.received[2].connection);
  }
}

TEST_F(ConnectionReuse, SurplusAnswersWithoutEndAreNoAnswer) {
  std::string many;
  for (int i = 0; i < 10; ++i) many += answer(200, "a", "of a");
  scene.answer_well(Kind::non_idempotent);
  expect_own(once("a"), "a");
  answer_with("b", many);
  EXPECT_EQ(once("b").status, 502);
  expect_ended(1);
}

// An answer that does not say whose it is proves nothing on a connection that has carried another request.
TEST_F(ConnectionReuse, AnswerWithoutIdIsNobodysOnAReusedConnection) {
  for (const std::string& nameless :
       {rejection(503, ""), rejection(421, ""), rejection(429, ""), answer(421, "", ""),
        answer(200, "", "of another"), answer(404, "", "of another"), answer(500, "", "of another")}) {
    SCOPED_TRACE(nameless);
    Scene two(2, {.timeout_ms = 4000, .max_attempts = 2});
    two.answer_well(Kind::non_idempotent);
    // Both endpoints have a connection that has carried a request.
    const auto both_met = [&] {
      const auto& received = two.script.received;
      return std::any_of(received.begin(), received.end(),
                         [&](const ReceivedRequest& r) { return r.endpoint != received.front().endpoint; });
    };
    for (std::size_t i = 0; !both_met() && i < 50; ++i) {
      const auto one = two.client(), other = two.client();
      one->send(request_text(numbered("a", i), request_of(Kind::non_idempotent)));
      other->send(request_text(numbered("b", i), request_of(Kind::non_idempotent)));
      ASSERT_TRUE(two.answered(*one) && two.answered(*other));
    }
    two.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest&) {
      connection.send(nameless);
    };
    const Answer got = two.ask("victim", request_of(Kind::non_idempotent));
    EXPECT_EQ(got.status, 502);
    EXPECT_EQ(got.field("X-Chutevane-Server-Seal"), "");
    two.loop.run_for(aftermath);
    EXPECT_EQ(two.script.heads["victim"], 1U);
  }
}

// On a fresh one there is nobody else whose it could be: an endpoint that is full need not read the id.
TEST_F(ConnectionReuse, RejectionWithoutIdCountsOnAFreshConnection) {
  answer_with("a", rejection(503, ""));
  EXPECT_EQ(once("a").status, 503);
  EXPECT_EQ(scene.script.heads["a"], 1U);
}

// Requests without an id cannot be told apart by their answers: none follows another on a connection, and
// none takes an answer that names somebody else.
TEST_F(ConnectionReuse, RequestsWithoutIdShareNoConnection) {
  scene.answer_well(Kind::non_idempotent);
  EXPECT_EQ(once("").body, good_body(Kind::non_idempotent, ""));
  EXPECT_EQ(once("").body, good_body(Kind::non_idempotent, ""));
  EXPECT_EQ(scene.script.accepted, 2U);
  answer_with("", answer(200, "somebody", "of somebody"));
  EXPECT_EQ(scene
                .ask("",
                     [] {
                       RequestOptions options = request_of(Kind::non_idempotent);
                       options.time_remaining_ms = 300;
                       return options;
                     }())
                .status,
            504);
}

TEST_F(ConnectionReuse, AnswerAfterTheDeadlineGoesToNobody) {
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id != "late") connection.send(good_answer(Kind::non_idempotent, request.attempt_id));
  };
  RequestOptions options = request_of(Kind::non_idempotent);
  options.time_remaining_ms = 150;
  expect_own(once("a"), "a");
  EXPECT_EQ(scene.ask("late", options).status, 504);
  if (ScriptedConnection* const first = scene.script.connection(1))
    first->send(good_answer(Kind::non_idempotent, "late"));
  expect_ended(1);
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("b"), 2U);
}

TEST_F(ConnectionReuse, InterimAnswersAreNotTheAnswer) {
  const std::string continued = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n";
  answer_with("a", continued + hints + hints + good_answer(Kind::non_idempotent, "a"));
  expect_own(once("a"), "a");
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
  // One that nobody waits for is a byte of no request.
  scene.script.connection(1)->send(continued);
  expect_own(once("c"), "c");
  EXPECT_NE(connection_of("a"), connection_of("c"));
}

// Nobody has asked to speak another protocol: what follows is no HTTP.
TEST_F(ConnectionReuse, SwitchingProtocolsIsNoAnswer) {
  answer_with(
      "a", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + good_answer(Kind::non_idempotent, "a"));
  EXPECT_EQ(once("a").status, 502);
  expect_ended(1);
}

TEST_F(ConnectionReuse, BrokenChunkEndsTheConnection) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: a\r\nX-Chutevane-Server-Seal: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& broken :
       {std::string("zz\r\nabc\r\n0\r\n\r\n"), std::string("3\r\nabcd\r\n0\r\n\r\n"),
        std::string("-3\r\nabc\r\n0\r\n\r\n"), std::string("3\r\nabc\r\nxx\r\n\r\n"),
        std::string("ffffffffffffffffff\r\nabc\r\n0\r\n\r\n")}) {
    SCOPED_TRACE(broken);
    Scene fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(request.attempt_id == "a" ? head + broken
                                                : good_answer(Kind::non_idempotent, request.attempt_id));
    };
    EXPECT_EQ(fresh.ask("a", request_of(Kind::non_idempotent)).status, 502);
    EXPECT_TRUE(fresh.loop.until([&] { return fresh.script.ended.contains(1); }));
    EXPECT_EQ(fresh.ask("b", request_of(Kind::non_idempotent)).body, good_body(Kind::non_idempotent, "b"));
    EXPECT_EQ(fresh.script.heads["a"], 1U);
  }
}

// Part of the stream is at the client: it must not look whole, nor go on from another run.
TEST_F(ConnectionReuse, BrokenChunkInAStreamBreaksItOff) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_text(1, "one")));
  };
  const auto client = scene.client();
  client->send(request_text("a", request_of(Kind::streaming)));
  ASSERT_TRUE(scene.loop.until([&] { return !client->partial_body.empty(); }));
  scene.script.connection(1)->send("zz\r\n" + chunk(event_text(2, "two")) + last_chunk);
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(client->answers.empty() && client->ended_midway);
  EXPECT_EQ(client->partial_body, event_text(1, "one"));
  expect_ended(1);
}

TEST_F(ConnectionReuse, TrailerIsPartOfItsAnswer) {
  answer_with("a",
              "HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: a\r\nX-Chutevane-Server-Seal: s\r\n"
              "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk(good_body(Kind::non_idempotent, "a")) +
                  "0\r\nX-Sum: 1\r\nX-Chutevane-Attempt-Id: b\r\nContent-Length: 7\r\n\r\n");
  expect_own(once("a"), "a");
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

class Bodiless : public ConnectionReuse {
 protected:
  Answer asked(const std::string& method, const std::string& id) {
    RequestOptions options = request_of(Kind::non_idempotent);
    options.method = method;
    options.time_remaining_ms = 1000;
    return scene.ask(id, options);
  }
  static std::string head_of(int status, const std::string& id, const std::string& fields) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Chutevane-Attempt-Id: " + id +
           "\r\nX-Chutevane-Server-Seal: s\r\n" + fields + "\r\n";
  }
};

// The length of an answer to HEAD is not that of bytes behind it.
TEST_F(Bodiless, AnswerToHeadHasNoBody) {
  answer_with("a", head_of(200, "a", "Content-Length: 5\r\n"));
  const Answer got = asked("HEAD", "a");
  EXPECT_EQ(got.status, 200);
  EXPECT_EQ(got.body, "");
  EXPECT_EQ(got.field("Content-Length"), "5");
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
}

TEST_F(Bodiless, BodyBehindAnAnswerToHeadIsNobodys) {
  answer_with("a", head_of(200, "a", "Content-Length: 5\r\n") + "hello");
  EXPECT_EQ(asked("HEAD", "a").status, 200);
  expect_own(once("b"), "b");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST_F(Bodiless, BodyBehind204And304IsNobodys) {
  for (const int status : {204, 304}) {
    SCOPED_TRACE(status);
    Scene fresh(1);
    fresh.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(request.attempt_id == "a" ? head_of(status, "a", "Content-Length: 5\r\n") + "hello"
                                                : good_answer(Kind::non_idempotent, request.attempt_id));
    };
    const auto client = fresh.client();
    client->send(request_text("a", request_of(Kind::non_idempotent)));
    client->send(request_text("b", request_of(Kind::non_idempotent)));
    ASSERT_TRUE(fresh.answered(*client, 2));
    EXPECT_EQ(client->answers[0].status, status);
    EXPECT_EQ(client->answers[0].body, "");
    EXPECT_EQ(client->answers[1].body, good_body(Kind::non_idempotent, "b"));
    EXPECT_EQ(client->unasked, "");
    EXPECT_NE(fresh.script.received[0].connection, fresh.script.received[1].connection);
  }
}

// It comes a moment later, when the next request is already on its way: those bytes begin no answer.
TEST_F(Bodiless, LateBodyOf204SpoilsNoOther) {
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "a") return connection.send(head_of(204, "a", ""));
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Chutevane-Server-Seal: s\r\n\r\nhello");
  };
  EXPECT_EQ(once("a").status, 204);
  EXPECT_EQ(once("b").status, 502);
  EXPECT_EQ(scene.script.heads["b"], 1U);
}

// ---- an endpoint's own end of a connection

TEST_F(ConnectionReuse, ConnectionCloseIsHeeded) {
  answer_with("a", good_answer(Kind::non_idempotent, "a", "Connection: close\r\n"));
  expect_own(once("a"), "a");
  expect_ended(1);
  expect_own(once("b"), "b");
}

TEST_F(ConnectionReuse, TimeOfKeepAliveIsHeeded) {
  answer_with("a", good_answer(Kind::non_idempotent, "a", "Keep-Alive: timeout=1\r\n"));
  expect_own(once("a"), "a");
  expect_own(once("b"), "b");
  EXPECT_EQ(connection_of("a"), connection_of("b"));
  const TimePoint began = scene.loop.later.now();
  EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(1); }));
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(1000));
}

// An endpoint may drop an idle connection from its memory: the next request on it is reset. It may have run.
TEST_F(ConnectionReuse, ResetOfAReusedConnectionIsNoProof) {
  scene.answer_well(Kind::non_idempotent);
  expect_own(once("a"), "a");
  scene.script.on_bytes = [](ScriptedConnection& connection) {
    if (connection.number() == 1) connection.reset();
  };
  const Answer got = once("b");
  EXPECT_EQ(got.status, 502);
  scene.loop.run_for(aftermath);
  EXPECT_EQ(scene.script.heads["b"], 0U);
  expect_own(once("c"), "c");
}

TEST_F(ConnectionReuse, ResetOfAReusedConnectionIsRepeatedWhereItMayBe) {
  scene.answer_well(Kind::idempotent);
  ASSERT_EQ(again("a").status, 200);
  scene.script.on_bytes = [](ScriptedConnection& connection) {
    if (connection.number() == 1) connection.reset();
  };
  expect_own(again("b"), "b");
}

// ---- an address that is another instance's now

TEST_F(ConnectionReuse, AddressOfAnotherInstanceGetsNewConnections) {
  scene.answer_well(Kind::non_idempotent);
  expect_own(once("a"), "a");
  scene.listed.front().id = "i-other";
  scene.list_endpoints();
  ASSERT_TRUE(scene.in_force());
  expect_ended(1);
  expect_own(once("b"), "b");
  EXPECT_EQ(scene.script.received.back().target_instance, "i-other");
  EXPECT_NE(connection_of("a"), connection_of("b"));
}

TEST(Instance, AnotherInstanceAnswers421AndTheRequestGoesOn) {
  Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.target_instance != request.endpoint)
      return connection.send(answer(421, request.attempt_id, ""));
    connection.send(good_answer(Kind::non_idempotent, request.attempt_id));
  };
  scene.listed[0].id = "i-gone";  // its address has been given to i-1
  scene.list_endpoints();
  ASSERT_TRUE(scene.in_force());
  for (std::size_t i = 0; i < 8; ++i) {
    const std::string id = numbered("a", i);
    const Answer got = scene.ask(id, request_of(Kind::non_idempotent));
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, good_body(Kind::non_idempotent, id));
  }
}

}  // namespace
}  // namespace chutevane::edge::harness
