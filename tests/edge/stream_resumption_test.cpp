/// Streams that may be taken up elsewhere: one answer with its first endpoint's head, ids that rise, nothing
/// missing and nothing twice, wherever the first endpoint is lost.
#include <gtest/gtest.h>

#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr int event_tokens = 15;
constexpr int events_in_all = 4;
const std::string id = "asked";

std::string event_of(int number) {
  return event_text(number, numbered("piece ", static_cast<std::size_t>(number)));
}
std::string events(int first, int last) {
  std::string out;
  for (int number = first; number <= last; ++number) out += event_of(number);
  return out;
}
std::string chunks(int first, int last) {
  std::string out;
  for (int number = first; number <= last; ++number) out += chunk(event_of(number));
  return out;
}

RequestOptions with_budget() {
  RequestOptions out = request_of(Kind::streaming);
  out.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  return out;
}

class StreamResumptionTest : public ::testing::Test {
 protected:
  StreamResumptionTest()
      : scene(3,
              {.timeout_ms = 1500, .max_attempts = 2, .resumable = true, .tokens_per_event = event_tokens}) {}
  // An endpoint that goes on as it is asked to, up to `last` of its events.
  static void go_on(ScriptedConnection& connection, const ReceivedRequest& request, int last) {
    const int first = request.last_event.empty() ? 1 : std::stoi(request.last_event) + 1;
    connection.send(stream_head(request.attempt_id, "X-From: " + request.endpoint + "\r\n") +
                    chunks(first, last));
  }
  static void serve(ScriptedConnection& connection, const ReceivedRequest& request) {
    go_on(connection, request, events_in_all);
    connection.send(last_chunk);
  }
  Scene scene;
};

TEST_F(StreamResumptionTest, ResumesWhereItBroke) {
  for (const bool with_reset : {false, true}) {
    for (int broken_after = 1; broken_after <= events_in_all; ++broken_after) {
      SCOPED_TRACE(broken_after);
      const std::string attempt =
          numbered(with_reset ? "reset" : "closed", static_cast<std::size_t>(broken_after));
      const std::size_t before = scene.script.received.size();
      std::size_t come = 0;
      scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
        if (++come > 1) return serve(connection, request);
        go_on(connection, request, broken_after);
        // Once the edge has read what was sent: the bytes lie in its socket before the end does.
        scene.loop.later.after(Span::ms(20), [&connection, with_reset] {
          if (with_reset) return connection.reset();
          connection.close();
        });
      };
      const Answer got = scene.ask(attempt, with_budget());
      EXPECT_EQ(got.status, 200);
      EXPECT_TRUE(got.whole);
      EXPECT_EQ(got.body, events(1, events_in_all));
      ASSERT_EQ(scene.script.received.size(), before + 2);
      const ReceivedRequest& first = scene.script.received[before];
      const ReceivedRequest& second = scene.script.received[before + 1];
      EXPECT_NE(first.endpoint, second.endpoint);
      EXPECT_EQ(first.last_event, "");
      EXPECT_EQ(second.last_event, std::to_string(broken_after));
      EXPECT_EQ(got.field("X-From"), first.endpoint);
      EXPECT_TRUE(scene.loop.until([&] { return scene.storage->settled.contains(attempt); }));
      EXPECT_EQ(scene.storage->settled[attempt], events_in_all * event_tokens);
    }
  }
}

// What has come of an event that was not whole is no part of the answer.
TEST_F(StreamResumptionTest, HalfAnEventIsDropped) {
  bool first = true;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    connection.send(stream_head(request.attempt_id) + chunk(event_of(1)) + chunk("id: 2\ndata: pie"));
    connection.close();
  };
  EXPECT_EQ(scene.ask(id, with_budget()).body, events(1, events_in_all));
}

// The client's own Last-Event-Id goes along; what the edge has passed on since takes its place.
TEST_F(StreamResumptionTest, AClientThatResumesItself) {
  bool first = true;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    go_on(connection, request, 3);
    connection.close();
  };
  RequestOptions options = with_budget();
  options.extra_fields += "Last-Event-Id: 1\r\n";
  EXPECT_EQ(scene.ask(id, options).body, events(2, events_in_all));
  ASSERT_EQ(scene.script.received.size(), 2U);
  EXPECT_EQ(scene.script.received[0].last_event, "1");
  EXPECT_EQ(scene.script.received[1].last_event, "3");
}

TEST_F(StreamResumptionTest, BrokenBeforeItsFirstEventItIsSentAnew) {
  bool first = true;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    connection.send(stream_head(request.attempt_id));
    connection.close();
  };
  EXPECT_EQ(scene.ask(id, with_budget()).body, events(1, events_in_all));
  ASSERT_EQ(scene.script.received.size(), 2U);
  EXPECT_EQ(scene.script.received[1].last_event, "");
}

// maxAttempts holds for one answer: the second break is the client's, and what it was handed is counted.
TEST_F(StreamResumptionTest, BrokenTwiceItIsReset) {
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    go_on(connection, request, request.last_event.empty() ? 1 : 2);
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(client->ended_midway);
  EXPECT_EQ(scene.script.heads[id], 2U);
  EXPECT_TRUE(scene.loop.until([&] { return scene.storage->settled.contains(id); }));
  EXPECT_EQ(scene.storage->settled[id], 2 * event_tokens);
}

// An endpoint that begins again in place of going on: a piece that comes twice is no answer.
TEST_F(StreamResumptionTest, ARunThatDoesNotGoOnIsNotJoined) {
  bool first = true;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunks(1, 2));
    if (std::exchange(first, false)) return connection.close();
    connection.send(chunks(3, 4) + last_chunk);
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_TRUE(client->answers.empty());
  EXPECT_EQ(client->partial_body, events(1, 2));
}

// Events without ids say nothing of where to go on.
TEST_F(StreamResumptionTest, WithoutIdsItIsReset) {
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk("data: one\n\n"));
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_EQ(scene.script.heads[id], 1U);
}

// One that turns the rest away, or answers it with another status, gives no part of this answer.
TEST_F(StreamResumptionTest, OnlyAStreamGoesOn) {
  // An endpoint that turns it away counts among those that it may be sent to.
  scene.configure({.timeout_ms = 1500, .max_attempts = 3, .resumable = true}, {});
  ASSERT_TRUE(scene.in_force());
  std::size_t come = 0;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (++come == 2) return connection.send(rejection(503, request.attempt_id));
    if (come == 3) return serve(connection, request);
    go_on(connection, request, 2);
    connection.close();
  };
  EXPECT_EQ(scene.ask(id, with_budget()).body, events(1, events_in_all));
  EXPECT_EQ(come, 3U);
  come = 0;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (++come > 1) return connection.send(answer(500, request.attempt_id, "broken"));
    go_on(connection, request, 2);
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text("next", with_budget()));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_EQ(client->partial_body, events(1, 2));
}

TEST(StreamResumption, WhereTheRouteDoesNotAllowItItIsReset) {
  Scene scene(3, {.timeout_ms = 1500, .max_attempts = 2});
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_of(1)));
    connection.close();
  };
  const auto client = scene.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(scene.loop.until([&] { return client->ended; }));
  EXPECT_EQ(scene.script.heads[id], 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
