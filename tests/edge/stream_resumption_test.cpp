/// Resumption of streams at another endpoint: the client gets one response with the head of the first
/// endpoint and increasing event ids, nothing missing and nothing repeated, wherever the first endpoint
/// fails.
#include <gtest/gtest.h>

#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr int event_tokens = 15;
constexpr int event_count = 4;
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
  RequestOptions out = request_of(RouteKind::streaming);
  out.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,120\r\n";
  return out;
}

class StreamResumptionTest : public ::testing::Test {
 protected:
  StreamResumptionTest()
      : env(3, {.timeout_ms = 1500, .max_attempts = 2, .resumable = true, .tokens_per_event = event_tokens}) {
  }
  // Sends the events after the requested Last-Event-Id, up to event `last`.
  static void send_events(ScriptedConnection& connection, const ReceivedRequest& request, int last) {
    const int first = request.last_event.empty() ? 1 : std::stoi(request.last_event) + 1;
    connection.send(stream_head(request.attempt_id, "X-From: " + request.endpoint + "\r\n") +
                    chunks(first, last));
  }
  static void serve(ScriptedConnection& connection, const ReceivedRequest& request) {
    send_events(connection, request, event_count);
    connection.send(last_chunk);
  }
  TestEnvironment env;
};

TEST_F(StreamResumptionTest, ResumesAfterTheLastEvent) {
  for (const bool with_reset : {false, true}) {
    for (int broken_after = 1; broken_after <= event_count; ++broken_after) {
      SCOPED_TRACE(broken_after);
      const std::string attempt =
          numbered(with_reset ? "reset" : "closed", static_cast<std::size_t>(broken_after));
      const std::size_t before = env.script.received.size();
      std::size_t request_count = 0;
      env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
        if (++request_count > 1) return serve(connection, request);
        send_events(connection, request, broken_after);
        // Delayed until the edge has read the events.
        env.loop.later.after(Span::ms(20), [&connection, with_reset] {
          if (with_reset) return connection.reset();
          connection.close();
        });
      };
      const Response response = env.send_request(attempt, with_budget());
      EXPECT_EQ(response.status, 200);
      EXPECT_TRUE(response.is_complete);
      EXPECT_EQ(response.body, events(1, event_count));
      ASSERT_EQ(env.script.received.size(), before + 2);
      const ReceivedRequest& first = env.script.received[before];
      const ReceivedRequest& second = env.script.received[before + 1];
      EXPECT_NE(first.endpoint, second.endpoint);
      EXPECT_EQ(first.last_event, "");
      EXPECT_EQ(second.last_event, std::to_string(broken_after));
      EXPECT_EQ(response.field("X-From"), first.endpoint);
      EXPECT_TRUE(env.loop.until([&] { return env.storage->committed.contains(attempt); }));
      EXPECT_EQ(env.storage->committed[attempt], event_count * event_tokens);
    }
  }
}

// An incomplete event is not forwarded.
TEST_F(StreamResumptionTest, IncompleteEventIsDropped) {
  bool first = true;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    connection.send(stream_head(request.attempt_id) + chunk(event_of(1)) + chunk("id: 2\ndata: pie"));
    connection.close();
  };
  EXPECT_EQ(env.send_request(id, with_budget()).body, events(1, event_count));
}

// The client's own Last-Event-Id is forwarded, and replaced by the id of the last event that the edge has
// forwarded.
TEST_F(StreamResumptionTest, AClientThatResumesItself) {
  bool first = true;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    send_events(connection, request, 3);
    connection.close();
  };
  RequestOptions options = with_budget();
  options.extra_fields += "Last-Event-Id: 1\r\n";
  EXPECT_EQ(env.send_request(id, options).body, events(2, event_count));
  ASSERT_EQ(env.script.received.size(), 2U);
  EXPECT_EQ(env.script.received[0].last_event, "1");
  EXPECT_EQ(env.script.received[1].last_event, "3");
}

TEST_F(StreamResumptionTest, FailureBeforeTheFirstEventRestartsTheStream) {
  bool first = true;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (!std::exchange(first, false)) return serve(connection, request);
    connection.send(stream_head(request.attempt_id));
    connection.close();
  };
  EXPECT_EQ(env.send_request(id, with_budget()).body, events(1, event_count));
  ASSERT_EQ(env.script.received.size(), 2U);
  EXPECT_EQ(env.script.received[1].last_event, "");
}

// maxAttempts applies to the whole response: the second failure resets the client, and the forwarded events
// count.
TEST_F(StreamResumptionTest, SecondFailureResetsTheClient) {
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    send_events(connection, request, request.last_event.empty() ? 1 : 2);
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->closed_mid_response);
  EXPECT_EQ(env.script.heads[id], 2U);
  EXPECT_TRUE(env.loop.until([&] { return env.storage->committed.contains(id); }));
  EXPECT_EQ(env.storage->committed[id], 2 * event_tokens);
}

// If the endpoint restarts the stream instead of continuing it, repeated events are not forwarded.
TEST_F(StreamResumptionTest, RestartedStreamIsNotJoined) {
  bool first = true;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunks(1, 2));
    if (std::exchange(first, false)) return connection.close();
    connection.send(chunks(3, 4) + last_chunk);
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->responses.empty());
  EXPECT_EQ(client->partial_body, events(1, 2));
}

// Without event ids the stream can't be resumed.
TEST_F(StreamResumptionTest, StreamWithoutIdsIsReset) {
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk("data: one\n\n"));
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_EQ(env.script.heads[id], 1U);
}

// A rejection or another status in reply to a resumption does not become a part of the response.
TEST_F(StreamResumptionTest, OnlyAStreamContinuesAStream) {
  // A rejection counts as an attempt.
  env.configure({.timeout_ms = 1500, .max_attempts = 3, .resumable = true}, {});
  ASSERT_TRUE(env.wait_until_applied());
  std::size_t request_count = 0;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (++request_count == 2) return connection.send(rejection(503, request.attempt_id));
    if (request_count == 3) return serve(connection, request);
    send_events(connection, request, 2);
    connection.close();
  };
  EXPECT_EQ(env.send_request(id, with_budget()).body, events(1, event_count));
  EXPECT_EQ(request_count, 3U);
  request_count = 0;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    if (++request_count > 1) return connection.send(response_text(500, request.attempt_id, "broken"));
    send_events(connection, request, 2);
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text("next", with_budget()));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_EQ(client->partial_body, events(1, 2));
}

TEST(StreamResumption, NotResumableRouteIsReset) {
  TestEnvironment env(3, {.timeout_ms = 1500, .max_attempts = 2});
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(stream_head(request.attempt_id) + chunk(event_of(1)));
    connection.close();
  };
  const auto client = env.client();
  client->send(request_text(id, with_budget()));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_EQ(env.script.heads[id], 1U);
}

}  // namespace
}  // namespace chutevane::edge::harness
