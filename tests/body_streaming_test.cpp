/// Large messages: streamed through bounded windows, both ways.
#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

constexpr std::size_t large = 3U << 20U;  // bytes: many windows

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
  // Says all of it, a part in each turn, while the other side hears.
  bool passes(Peer& from, const std::string& text, Peer& to, std::string_view until_heard) {
    std::size_t said = 0;
    return until([&] {
      if (said < text.size()) said += from.push(std::string_view(text).substr(said, 50000));
      return said == text.size() && to.has(until_heard);
    });
  }
  Peer begun(const std::string& id, Peer& endpoint_side, const std::string& framing) {
    Peer out = caller();
    out.say(head_of(id, framing));
    EXPECT_TRUE(until([&] { return endpoint.take(endpoint_side); }));
    return out;
  }
};

TEST(BodyStreaming, ALargeRequestGoesOnWhileItComesAndItsTimeCountsFromItsEnd) {
  BodyStreamingBench b;
  Peer endpoint;
  const std::string body = pattern(large) + "THE END";
  Peer caller = b.begun("a", endpoint, "Content-Length: " + std::to_string(body.size()));
  ASSERT_TRUE(b.passes(caller, body, endpoint, "THE END"));
  EXPECT_TRUE(endpoint.heard.ends_with("\r\n\r\n" + body));
  EXPECT_TRUE(endpoint.has("Content-Length: " + std::to_string(body.size())));
  endpoint.say(answer_text("taken"));
  EXPECT_TRUE(b.hears(caller, "taken"));
  caller.say(request_text("b", "plan"));  // both connections go on
  EXPECT_TRUE(b.hears(endpoint, "X-Request-ID: b"));
}

TEST(BodyStreaming, AChunkedRequestGoesOnInChunks) {
  BodyStreamingBench b;
  Peer endpoint;
  const std::string part = pattern(100000);
  Peer caller = b.caller();
  caller.say(head_of("a", "Transfer-Encoding: chunked"));
  std::string text;
  caller.say("186a0\r\n" + part + "\r\n");  // more than is held whole
  ASSERT_TRUE(b.until([&] { return b.endpoint.take(endpoint); }));
  for (int i = 0; i < 3; ++i) text += "186a0;x=y\r\n" + part + "\r\n";
  ASSERT_TRUE(b.passes(caller, text + "0\r\nT: 1\r\n\r\n", endpoint, "\r\n0\r\n\r\n"));
  http::Parser parser(http::Side::request, {.head = 16 * 1024, .body = 1U << 20U, .fields = 100});
  ASSERT_EQ(parser.feed({endpoint.heard.data(), endpoint.heard.size()}), http::Progress::complete);
  EXPECT_EQ(parser.body(), part + part + part + part);
}

TEST(BodyStreaming, ALargeAnswerBeginsBeforeItIsWholeAndIsBoundedInMemory) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  const std::string body = pattern(large) + "THE END";
  endpoint.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body.substr(0, 3));
  EXPECT_TRUE(b.hears(caller, "\r\n\r\n" + body.substr(0, 3)));
  EXPECT_EQ(b.sidecar->counters().completed, 1U);
  // Nobody reads on the other side: the window fills and reading stops.
  std::size_t said = 3;
  b.until([&, n = 0]() mutable {
    said += endpoint.push(std::string_view(body).substr(said));
    return ++n > 200;
  });
  EXPECT_LT(b.sidecar->buffer_budget().peak(), 400U * 1024U);
  ASSERT_TRUE(b.passes(endpoint, body.substr(said), caller, "THE END"));
  EXPECT_TRUE(caller.heard.ends_with(body));
  caller.say(request_text("b", "plan"));
  EXPECT_TRUE(b.hears(endpoint, "X-Request-ID: b"));
}

TEST(BodyStreaming, AnAnswerThatEndsWithItsConnectionGoesOnInChunks) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  const std::string body = pattern(300000) + "THE END";
  endpoint.say("HTTP/1.1 200 OK\r\n\r\n");
  ASSERT_TRUE(b.passes(endpoint, body, caller, "THE END"));
  EXPECT_FALSE(caller.has("\r\n0\r\n\r\n"));
  endpoint.leave();
  EXPECT_TRUE(b.hears(caller, "\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.has("Transfer-Encoding: chunked"));
}

// Guards rule 1: half an answer never looks whole.
TEST(BodyStreaming, AnAnswerThatBreaksIsCutShort) {
  for (const std::string framing : {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
    BodyStreamingBench b;
    Peer endpoint;
    Peer caller = b.call(request_text("a", "plan"), endpoint);
    const std::string part = pattern(100000);
    endpoint.say("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
    ASSERT_TRUE(
        b.passes(endpoint, (framing[0] == 'T' ? "186a0\r\n" : "") + part, caller, part.substr(90000)));
    endpoint.leave();
    EXPECT_TRUE(b.until([&] { return caller.over(); }));
    EXPECT_FALSE(caller.has("\r\n0\r\n\r\n"));
    EXPECT_LT(caller.heard.size(), 110000U);
  }
}

TEST(BodyStreaming, ACallerThatLeavesFreesTheEndpointAtOnce) {
  BodyStreamingBench b;
  Peer endpoint, second;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  endpoint.say("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\nabc");
  ASSERT_TRUE(b.hears(caller, "abc"));
  caller.leave();
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
  Peer sender = b.begun("b", second, "Content-Length: 3000000");
  sender.say(pattern(1000));
  ASSERT_TRUE(b.hears(second, "Content-Length: 3000000"));
  sender.leave();
  EXPECT_TRUE(b.until([&] { return second.over(); }));
}

// One that streams may go again only while all of it is held, and is rejected only if it never ran.
TEST(BodyStreaming, WhatIsNoLongerHeldDoesNotGoAgain) {
  BodyStreamingBench b;
  Peer endpoint, again;
  Peer caller = b.begun("a", endpoint, "Content-Length: 1000000");
  caller.say(pattern(1000));
  ASSERT_TRUE(b.until([&] { return endpoint.hear().heard.ends_with(pattern(1000)); }));
  endpoint.leave();
  ASSERT_TRUE(b.until([&] { return b.endpoint.take(again); }));  // its connection broke before its last byte
  ASSERT_TRUE(b.until([&] { return again.hear().heard.ends_with(pattern(1000)); }));
  const std::string rest = pattern(500000);
  ASSERT_TRUE(b.passes(caller, rest, again, rest.substr(450000)));
  again.leave();
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 503"));
}

TEST(BodyStreaming, OneThatWaitsForAWordIsToldToGoOn) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.begun("a", endpoint, "Content-Length: 100000\r\nExpect: 100-continue");
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  ASSERT_TRUE(b.passes(caller, pattern(100000), endpoint, pattern(100000)));
  EXPECT_FALSE(endpoint.has("Expect"));
  endpoint.say(answer_text("one"));
  EXPECT_TRUE(b.hears(caller, "one"));
}

// Guards places and memory: no pause, and no trickle, holds them.
TEST(BodyStreaming, ABodyThatStandsStillIsEnded) {
  BodyStreamingBench b;
  Peer endpoint;
  Peer caller = b.begun("a", endpoint, "Content-Length: 1000000");
  caller.say(pattern(1000));
  const TimePoint from = b.scheduler.now();
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 408"));
  EXPECT_LT(b.scheduler.now() - from, Span::ms(2500));
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
}

}  // namespace
}  // namespace chutevane::sidecar
