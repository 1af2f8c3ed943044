/// Streaming of large request and response bodies through bounded buffers.
#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

constexpr std::size_t large_body_bytes = 3U << 20U;  // bytes; many times the buffer size

std::string pattern(std::size_t n) {
  std::string out(n, ' ');
  for (std::size_t i = 0; i < n; ++i) out[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  return out;
}

std::string head_of(const std::string& id, const std::string& framing) {
  return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: sale\r\nX-Timeout: 4000m\r\n" + framing + "\r\n\r\n";
}

struct BodyStreamingBench : SidecarBench {
  // Sends the whole text, a part in each iteration of the loop, while the other side receives.
  bool transfer(Peer& from, const std::string& text, Peer& to, std::string_view expected_end) {
    std::size_t sent = 0;
    return until([&] {
      if (sent < text.size()) sent += from.push(std::string_view(text).substr(sent, 50000));
      return sent == text.size() && to.has(expected_end);
    });
  }
  Peer begin_request(const std::string& id, Peer& endpoint_side, const std::string& framing) {
    Peer out = caller();
    out.say(head_of(id, framing));
    EXPECT_TRUE(until([&] { return endpoint.take(endpoint_side); }));
    return out;
  }
};

TEST(BodyStreaming, LargeRequestIsForwardedWhileItArrivesAndTimedFromItsEnd) {
  BodyStreamingBench b;
  Peer endpoint;
  const std::string body = pattern(large_body_bytes) + "THE END";
  Peer caller = b.begin_request("a", endpoint, "Content-Length: " + std::to_string(body.size()));
  ASSERT_TRUE(b.transfer(caller, body, endpoint, "THE END"));
  EXPECT_TRUE(endpoint.heard.ends_with("\r\n\r\n" + body));
  EXPECT_TRUE(endpoint.has("Content-Length: " + std::to_string(body.size())));
  endpoint.say(answer_text("taken"));
  EXPECT_TRUE(b.hears(caller, "taken"));
  caller.say(request_text("b", "plan"));  // both connections are reused
  EXPECT_TRUE(b.hears(endpoint, "X-Request-ID: b"));
}

TEST(BodyStreaming, ChunkedRequestIsForwardedInChunks) {
  BodyStreamingBench b;
  Peer endpoint;
  const std::string part = pattern(100000);
  Peer caller = b.caller();
  caller.say(head_of("a", "Transfer-Encoding: chunked"));
  std::string text;
  caller.say("186a0\r\n" + part + "\r\n");  // larger than the limit for buffering a whole body
  ASSERT_TRUE(b.until([&] { return b.endpoint.take(endpoint); }));
  for (int i = 0; i < 3; ++i) text += "186a0;x=y\r\n" + part + "\r\n";
  ASSERT_TRUE(b.transfer(caller, text + "0\r\nT: 1\r\n\r\n", endpoint, "\r\n0\r\n\r\n"));
  http::Parser parser(http::Side::request, {.head = 16 * 1024, .body = 1U << 20U, .fields = 100});
  ASSERT_EQ(parser.feed({endpoint.heard.data(), endpoint.heard.size()}), http::Progress::complete);
  EXPECT_EQ(parser.body(), part + part + part + part);
}

TEST(BodyStreaming, LargeResponseIsForwardedWhileItArrivesWithBoundedMemory) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  const std::string body = pattern(large_body_bytes) + "THE END";
  endpoint.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body.substr(0, 3));
  EXPECT_TRUE(b.hears(caller, "\r\n\r\n" + body.substr(0, 3)));
  EXPECT_EQ(b.sidecar->counters().completed, 1U);
  // The client does not read, so the buffer fills and the sidecar stops reading from the endpoint.
  std::size_t sent = 3;
  b.until([&, n = 0]() mutable {
    sent += endpoint.push(std::string_view(body).substr(sent));
    return ++n > 200;
  });
  EXPECT_LT(b.sidecar->buffer_budget().peak(), 400U * 1024U);
  ASSERT_TRUE(b.transfer(endpoint, body.substr(sent), caller, "THE END"));
  EXPECT_TRUE(caller.heard.ends_with(body));
  caller.say(request_text("b", "plan"));
  EXPECT_TRUE(b.hears(endpoint, "X-Request-ID: b"));
}

TEST(BodyStreaming, ResponseThatEndsWithItsConnectionIsForwardedInChunks) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  const std::string body = pattern(300000) + "THE END";
  endpoint.say("HTTP/1.1 200 OK\r\n\r\n");
  ASSERT_TRUE(b.transfer(endpoint, body, caller, "THE END"));
  EXPECT_FALSE(caller.has("\r\n0\r\n\r\n"));
  endpoint.leave();
  EXPECT_TRUE(b.hears(caller, "\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.has("Transfer-Encoding: chunked"));
}

// Guards against a truncated response that looks complete.
TEST(BodyStreaming, TruncatedResponseIsNotCompleted) {
  for (const std::string framing : {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
    BodyStreamingBench b;
    Peer endpoint;
    Peer caller = b.call(request_text("a", "plan"), endpoint);
    const std::string part = pattern(100000);
    endpoint.say("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
    ASSERT_TRUE(
        b.transfer(endpoint, (framing[0] == 'T' ? "186a0\r\n" : "") + part, caller, part.substr(90000)));
    endpoint.leave();
    EXPECT_TRUE(b.until([&] { return caller.over(); }));
    EXPECT_FALSE(caller.has("\r\n0\r\n\r\n"));
    EXPECT_LT(caller.heard.size(), 110000U);
  }
}

TEST(BodyStreaming, ClientDisconnectClosesTheEndpointConnection) {
  BodyStreamingBench b;
  Peer endpoint, second;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  endpoint.say("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\nabc");
  ASSERT_TRUE(b.hears(caller, "abc"));
  caller.leave();
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
  Peer sender = b.begin_request("b", second, "Content-Length: 3000000");
  sender.say(pattern(1000));
  ASSERT_TRUE(b.hears(second, "Content-Length: 3000000"));
  sender.leave();
  EXPECT_TRUE(b.until([&] { return second.over(); }));
}

// A streamed request may be retried only while all of it is still buffered, and 503 is returned only if it
// never ran.
TEST(BodyStreaming, NotRetriedOnceNoLongerBuffered) {
  BodyStreamingBench b;
  Peer endpoint, again;
  Peer caller = b.begin_request("a", endpoint, "Content-Length: 1000000");
  caller.say(pattern(1000));
  ASSERT_TRUE(b.until([&] { return endpoint.hear().heard.ends_with(pattern(1000)); }));
  endpoint.leave();
  ASSERT_TRUE(b.until(
      [&] { return b.endpoint.take(again); }));  // the connection closed before the last byte of the request
  ASSERT_TRUE(b.until([&] { return again.hear().heard.ends_with(pattern(1000)); }));
  const std::string rest = pattern(500000);
  ASSERT_TRUE(b.transfer(caller, rest, again, rest.substr(450000)));
  again.leave();
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 503"));
}

TEST(BodyStreaming, ExpectContinueIsAnswered) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.begin_request("a", endpoint, "Content-Length: 100000\r\nExpect: 100-continue");
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  ASSERT_TRUE(b.transfer(caller, pattern(100000), endpoint, pattern(100000)));
  EXPECT_FALSE(endpoint.has("Expect"));
  endpoint.say(answer_text("one"));
  EXPECT_TRUE(b.hears(caller, "one"));
}

// Guards against stalled or very slow bodies that occupy slots and memory.
TEST(BodyStreaming, StalledBodyTimesOut) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.begin_request("a", endpoint, "Content-Length: 1000000");
  caller.say(pattern(1000));
  const TimePoint from = b.scheduler.now();
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 408"));
  EXPECT_LT(b.scheduler.now() - from, Span::ms(2500));
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
}

}  // namespace
}  // namespace chutevane::sidecar
