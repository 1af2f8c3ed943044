/// Every point at which a silence, a reset or a close may strike a call, for each kind of route: what may not
/// be repeated is proven unsent before it goes out again, and never promised not to have run once it may
/// have.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <tuple>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr int timeout_ms = 400;                // of the routes, where it is to be waited for
constexpr int ample_timeout_ms = 4000;         // of the routes, where it is not
constexpr Span early = Span::ms(5);            // rounding of timers
constexpr Span held_too_long = Span::ms(250);  // past a route's timeout: what a request held so long costs
constexpr Span aftermath = Span::ms(60);       // for a second send that must not come
constexpr std::size_t large_body = 8U << 20U;  // bytes: more than the sockets' buffers take

enum class Point : std::uint8_t {
  accepted,
  body_partly_written,
  request_whole,
  first_byte,
  answer_head,
  mid_answer
};
enum class Strike : std::uint8_t { reset, close, silence };

std::string name_of(Point point) {
  switch (point) {
    case Point::accepted: return "accepted";
    case Point::body_partly_written: return "body_partly_written";
    case Point::request_whole: return "request_whole";
    case Point::first_byte: return "first_byte";
    case Point::answer_head: return "answer_head";
    case Point::mid_answer: return "mid_answer";
  }
  return "";
}

std::string name_of(Strike strike) {
  switch (strike) {
    case Strike::reset: return "reset";
    case Strike::close: return "close";
    case Strike::silence: return "silence";
  }
  return "";
}

bool promises_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

void hit(ScriptedConnection& connection, Strike strike) {
  switch (strike) {
    case Strike::reset: return connection.reset();
    case Strike::close: return connection.close();
    case Strike::silence: return connection.stop_reading();
  }
}

// What an endpoint sends of its answer before the strike.
std::string sent_before(Point point, Kind kind, const std::string& attempt_id) {
  const std::string whole = good_answer(kind, attempt_id);
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  switch (point) {
    case Point::first_byte: return whole.substr(0, 1);
    case Point::answer_head: return whole.substr(0, head);
    case Point::mid_answer:
      if (streams(kind)) return stream_head(attempt_id) + chunk(event_text(1, "one of " + attempt_id));
      return whole.substr(0, head + 3);
    case Point::accepted:
    case Point::body_partly_written:
    case Point::request_whole: break;
  }
  return "";
}

class EndpointFaultTest : public ::testing::TestWithParam<std::tuple<Point, Strike, Kind>> {
 protected:
  // The first connection that the victim comes to is struck; whatever else comes is answered well.
  void play(Scene& scene, Point point, Strike strike, Kind kind) {
    EndpointScript& script = scene.script;
    script.on_request = [this, point, strike, kind](ScriptedConnection& connection,
                                                    const ReceivedRequest& request) {
      if (std::exchange(struck_, true)) return connection.send(good_answer(kind, request.attempt_id));
      connection.send(sent_before(point, kind, request.attempt_id));
      // Once the edge has read what was sent: the bytes lie in its socket before the end does.
      hit(connection, strike);
    };
    if (point == Point::accepted) {
      script.on_accept = [this, strike](ScriptedConnection& connection) {
        if (!std::exchange(struck_, true)) strike_at_accept(connection, strike);
      };
    } else if (point == Point::body_partly_written) {
      script.on_head = [this, strike](ScriptedConnection& connection, const std::string&) {
        if (!std::exchange(struck_, true)) hit(connection, strike);
      };
    }
  }
  void strike_at_accept(ScriptedConnection& connection, Strike strike) {
    if (strike == Strike::silence) return connection.stop_reading();
    ending_ = &connection;
    ending_strike_ = strike;
  }
  bool struck_ = false;
  ScriptedConnection* ending_ = nullptr;
  Strike ending_strike_ = Strike::reset;
};

TEST_P(EndpointFaultTest, IsSentAgainOnlyWhereItMayBe) {
  const auto [point, strike, kind] = GetParam();
  const bool silent = strike == Strike::silence;
  Scene scene(2, {.timeout_ms = silent ? timeout_ms : ample_timeout_ms, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(kind));
  play(scene, point, strike, kind);
  if (point == Point::accepted && strike != Strike::silence) {
    // Ended by the endpoint before it has read a byte.
    scene.script.on_bytes = [this](ScriptedConnection& connection) {
      if (&connection == std::exchange(ending_, nullptr)) hit(connection, ending_strike_);
    };
  }
  RequestOptions options = request_of(kind);
  if (point == Point::body_partly_written) options.body.assign(large_body, 'b');
  const std::string id = "victim";
  const auto client = scene.client();
  const TimePoint asked = scene.loop.later.now();
  client->send(request_text(id, options));
  ASSERT_TRUE(scene.loop.until([&] { return struck_; }));
  const TimePoint struck_at = scene.loop.later.now();
  ASSERT_TRUE(scene.loop.until([&] { return !client->answers.empty() || client->ended; }));
  const TimePoint over = scene.loop.later.now();
  scene.loop.run_for(aftermath);
  EXPECT_EQ(client->unasked, "");

  const std::size_t heads = scene.script.heads[id];
  if (silent) {
    // Its silence is no reason to end it sooner, and the route's timeout is when it ends.
    EXPECT_GE(over - asked, Span::ms(timeout_ms) - early);
    EXPECT_LT(over - struck_at, Span::ms(timeout_ms) + held_too_long);
    EXPECT_LE(heads, 1U);
  }
  if (streams(kind) && point == Point::mid_answer) {
    // Part of it is at the client: it must not look whole.
    EXPECT_TRUE(client->answers.empty());
    EXPECT_TRUE(client->ended_midway);
    EXPECT_EQ(client->partial_body, event_text(1, "one of victim"));
    EXPECT_EQ(heads, 1U);
  } else {
    ASSERT_EQ(client->answers.size(), 1U);
    const Answer& answer = client->answers.front();
    if (kind == Kind::idempotent && !silent) {
      EXPECT_EQ(answer.status, 200);
      EXPECT_EQ(answer.body, good_body(kind, id));
      EXPECT_LE(heads, 2U);
    } else {
      EXPECT_FALSE(promises_not_run(answer.status)) << answer.status;
      EXPECT_EQ(answer.status, silent ? 504 : 502);
      EXPECT_EQ(answer.field("X-Chutevane-Server-Seal"), "");
      EXPECT_LE(heads, point == Point::accepted ? 0U : 1U);
    }
  }
  if (kind == Kind::turn) {
    // What may have run counts at its most.
    EXPECT_EQ(scene.storage->reserved.count(id), 1U);
    EXPECT_EQ(scene.storage->settled.count(id), 0U);
    EXPECT_EQ(scene.storage->kept.count(id), 0U);
  }

  // The next caller gets its own answer.
  scene.script.on_accept = nullptr;
  scene.script.on_bytes = nullptr;
  scene.script.on_head = nullptr;
  const Answer next = scene.ask("next", request_of(kind));
  EXPECT_EQ(next.status, 200);
  EXPECT_EQ(next.body, good_body(kind, "next"));
  EXPECT_EQ(scene.script.executions("next"), 1U);
}

INSTANTIATE_TEST_SUITE_P(AllPoints, EndpointFaultTest,
                         ::testing::Combine(::testing::Values(Point::accepted, Point::body_partly_written,
                                                              Point::request_whole, Point::first_byte,
                                                              Point::answer_head, Point::mid_answer),
                                            ::testing::Values(Strike::reset, Strike::close, Strike::silence),
                                            ::testing::ValuesIn(all_kinds)),
                         [](const auto& row) {
                           return name_of(std::get<0>(row.param)) + "_" + name_of(std::get<1>(row.param)) +
                                  "_" + name_of(std::get<2>(row.param));
                         });

// ---- before anything was sent, and what an endpoint proves

class KindTest : public ::testing::TestWithParam<Kind> {};
INSTANTIATE_TEST_SUITE_P(AllKinds, KindTest, ::testing::ValuesIn(all_kinds),
                         [](const auto& row) { return name_of(row.param); });

TEST_P(KindTest, RefusedConnectionIsProvenUnsent) {
  const Kind kind = GetParam();
  Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(kind));
  scene.answer_well(kind);
  scene.endpoints[0]->stop_listening();
  for (int i = 0; i < 8; ++i) {
    const std::string id = numbered("a", static_cast<std::size_t>(i));
    const Answer got = scene.ask(id, request_of(kind));
    EXPECT_EQ(got.status, 200) << id;
    EXPECT_EQ(got.body, good_body(kind, id));
    EXPECT_EQ(scene.script.heads[id], 1U);
  }
  scene.endpoints[1]->stop_listening();
  // Connections that stand are still good: they end with the endpoint's own.
  while (scene.script.crew.size() > 0) scene.script.crew[0].close();
  const Answer none = scene.ask("none", request_of(kind));
  EXPECT_EQ(none.status, 503);
  EXPECT_NE(none.field("Retry-After"), "");
  EXPECT_EQ(scene.script.heads["none"], 0U);
  if (kind == Kind::turn) {
    EXPECT_EQ(scene.storage->settled["none"], 0);
  }
}

// Its queue of connections is full: it does not even refuse.
TEST_P(KindTest, SilentConnectIsProvenUnsent) {
  const Kind kind = GetParam();
  Scene scene(1, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(kind));
  scene.answer_well(kind);
  const SilentAddress silent;
  scene.listed.front().id = "i-silent";
  scene.listed.front().address = net::text_of(silent.address());
  scene.list_endpoints();
  ASSERT_TRUE(scene.in_force());
  const TimePoint began = scene.loop.later.now();
  const Answer none = scene.ask("none", request_of(kind));
  EXPECT_EQ(none.status, 503);
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(4000));
  if (kind == Kind::turn) {
    EXPECT_EQ(scene.storage->settled.count("none"), 1U);
  }
}

// An endpoint's proof lets another take it, up to maxAttempts; then the client is told that it has not run.
TEST_P(KindTest, ProvenRejectionGoesToAnother) {
  const Kind kind = GetParam();
  for (const std::string& proof :
       {rejection(503, "a"), rejection(429, "a"), rejection(421, "a"), answer(421, "a", "")}) {
    SCOPED_TRACE(proof);
    Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
    ASSERT_TRUE(scene.prepare(kind));
    scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(scene.script.heads["a"] == 1 ? proof : good_answer(kind, request.attempt_id));
    };
    const Answer got = scene.ask("a", request_of(kind));
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, good_body(kind, "a"));
    EXPECT_EQ(scene.script.reached["a"].size(), 2U);
  }
}

TEST_P(KindTest, AllRejectingIsAPromise) {
  const Kind kind = GetParam();
  Scene scene(4, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(kind));
  scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(rejection(503, request.attempt_id));
  };
  const Answer got = scene.ask("a", request_of(kind));
  EXPECT_EQ(got.status, 503);
  EXPECT_EQ(got.field("X-Chutevane-Server-Seal"), "");
  EXPECT_NE(got.field("Retry-After"), "");
  EXPECT_EQ(scene.script.heads["a"], 2U);
  if (kind == Kind::turn) {
    ASSERT_TRUE(scene.loop.until([&] { return scene.storage->settled.contains("a"); }));
    EXPECT_EQ(scene.storage->settled["a"], 0);
  }
}

// The head of a rejection is its proof, whatever becomes of its body.
TEST_P(KindTest, RejectionThatBreaksInItsBodyIsProof) {
  const Kind kind = GetParam();
  Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(kind));
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (scene.script.heads["a"] > 1) return connection.send(good_answer(kind, request.attempt_id));
    const std::string whole = rejection(503, request.attempt_id);
    connection.send(whole.substr(0, whole.size() - 2));
    connection.close();
  };
  const Answer got = scene.ask("a", request_of(kind));
  EXPECT_EQ(got.status, 200);
  EXPECT_EQ(got.body, good_body(kind, "a"));
}

// A status that promises, without the endpoint's proof, is not passed on as a promise.
TEST_P(KindTest, StatusWithoutProofIsNoPromise) {
  const Kind kind = GetParam();
  if (kind == Kind::idempotent) return;  // may run again: nothing rests on the promise
  for (const int status : {503, 429, 408, 402}) {
    if (status == 402 && kind != Kind::turn) continue;  // promises something of a budget alone
    SCOPED_TRACE(status);
    Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
    ASSERT_TRUE(scene.prepare(kind));
    scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
      connection.send(answer(status, request.attempt_id, "ran"));
    };
    const Answer got = scene.ask("a", request_of(kind));
    EXPECT_EQ(got.status, 502);
    EXPECT_EQ(got.field("X-Chutevane-Server-Seal"), "");
    scene.loop.run_for(aftermath);
    EXPECT_EQ(scene.script.heads["a"], 1U);
  }
}

// ---- bounds

TEST(Bounds, NoMoreEndpointsThanMaxAttempts) {
  for (const int most : {1, 2, 3}) {
    SCOPED_TRACE(most);
    Scene scene(5, {.timeout_ms = 4000, .max_attempts = most});
    scene.script.on_request = [](ScriptedConnection& connection, const ReceivedRequest&) {
      connection.reset();
    };
    const Answer got = scene.ask("a", request_of(Kind::idempotent));
    EXPECT_EQ(got.status, 502);
    scene.loop.run_for(aftermath);
    EXPECT_EQ(scene.script.reached["a"].size(), static_cast<std::size_t>(most));
    EXPECT_EQ(scene.script.heads["a"], static_cast<std::size_t>(most));
  }
}

// Rejections and runs count together.
TEST(Bounds, RejectionsCountAsAttempts) {
  Scene scene(5, {.timeout_ms = 4000, .max_attempts = 3});
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (scene.script.heads["a"] % 2 == 1) return connection.send(rejection(503, request.attempt_id));
    connection.reset();
  };
  scene.ask("a", request_of(Kind::idempotent));
  scene.loop.run_for(aftermath);
  EXPECT_EQ(scene.script.heads["a"], 3U);
}

// An attempt that is cut by the measured ceiling goes on elsewhere, and its late answer to nobody.
TEST(Bounds, LateAnswerAfterTheCutGoesToNobody) {
  Scene scene(2, {.timeout_ms = 4000, .max_attempts = 2});
  scene.answer_well(Kind::idempotent);
  for (std::size_t i = 0; i < 30; ++i)
    ASSERT_EQ(scene.ask(numbered("warm", i), request_of(Kind::idempotent)).status, 200);
  std::size_t slow = 0;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (request.attempt_id == "slow" && slow == 0) {
      slow = connection.number();
      return;
    }
    connection.send(good_answer(Kind::idempotent, request.attempt_id));
  };
  const auto client = scene.client();
  client->send(request_text("slow", request_of(Kind::idempotent)));
  ASSERT_TRUE(scene.answered(*client));
  EXPECT_EQ(client->answers.front().body, good_body(Kind::idempotent, "slow"));
  // The connection of the attempt that was cut is over: what the endpoint says on it reaches nobody.
  EXPECT_TRUE(scene.loop.until([&] { return scene.script.ended.contains(slow); }));
  for (std::size_t i = 0; i < 10; ++i) {
    const std::string id = numbered("then", i);
    EXPECT_EQ(scene.ask(id, request_of(Kind::idempotent)).body, good_body(Kind::idempotent, id));
  }
}

// An edge that has just started waits for its configuration, but not past the client's time.
TEST(Bounds, EdgeThatKnowsNothingYetAnswersInTime) {
  Scene scene(1, {}, {}, Scene::Informed::no);
  RequestOptions options = request_of(Kind::non_idempotent);
  options.time_remaining_ms = 300;
  const TimePoint began = scene.loop.later.now();
  const Answer got = scene.ask("a", options);
  EXPECT_EQ(got.status, 503);
  EXPECT_NE(got.field("Retry-After"), "");
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(options.time_remaining_ms));
}

// The client has time, and no configuration says how long the route may take: an answer is due half a second
// after the shortest timeout that there may be.
TEST(Bounds, EdgeThatKnowsNoRouteAnswersBeforeAnyRoutesTimeIsOver) {
  Scene scene(1, {}, {}, Scene::Informed::no);
  RequestOptions options = request_of(Kind::non_idempotent);
  options.time_remaining_ms = 20000;
  const TimePoint began = scene.loop.later.now();
  const Answer got = scene.ask("a", options);
  EXPECT_EQ(got.status, 503);
  EXPECT_NE(got.field("Retry-After"), "");
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(500));
}

// The route's timeout counts from the whole request on, also where storage is silent.
TEST(Bounds, SilentStorageIsNotWaitedForBeyondTheTimeout) {
  Scene scene(1, {.timeout_ms = timeout_ms, .max_attempts = 2});
  ASSERT_TRUE(scene.prepare(Kind::turn));
  scene.answer_well(Kind::turn);
  scene.storage->silent_on_reserve = true;
  TimePoint began = scene.loop.later.now();
  EXPECT_EQ(scene.ask("a", request_of(Kind::turn)).status, 503);
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(timeout_ms) + held_too_long);
  EXPECT_EQ(scene.script.heads["a"], 0U);
  scene.storage->silent_on_reserve = false;
  scene.storage->silent_on_keep = true;
  began = scene.loop.later.now();
  const auto client = scene.client();
  client->send(request_text("b", request_of(Kind::turn)));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_LT(scene.loop.later.now() - began, Span::ms(timeout_ms) + held_too_long);
  EXPECT_TRUE(client->ended_midway);
  EXPECT_TRUE(client->answers.empty());
  EXPECT_EQ(scene.script.heads["b"], 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
