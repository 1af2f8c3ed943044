// The second address, and what is told there: figures, drains.
#include "helpers.hpp"
#include "json/value.hpp"

namespace chutevane::sidecar {
namespace {

struct Desk : SidecarBench {
  Desk() : SidecarBench("\"seed\"", "\"admin_addr\":\"127.0.0.1:0\",\"seed\"") {}
  Peer visitor() { return Peer::to(*sidecar->admin_address()); }
  // The whole answer to one call.
  std::string ask(const std::string& method, const std::string& path) {
    Peer p = visitor();
    p.say(method + " /control/" + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(until([&] { return p.over(); }));
    return p.heard;
  }
  bool yes(const std::string& method, const std::string& path) {
    return ask(method, path).starts_with("HTTP/1.1 200");
  }
  json::Value figures() {
    const std::string answer = ask("GET", "counters");
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  }
  double figure(const char* name) { return figures().find(name)->number; }
  double result(const char* track, const char* how) {
    return figures().find("results")->find(track)->find(how)->number;
  }
  bool pass(Span span) {
    const TimePoint from = scheduler.now();
    return until([&] { return scheduler.now() - from > span; });
  }
  bool ready() {
    Peer p = caller();
    p.say("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(until([&] { return p.over(); }));
    return p.has("HTTP/1.1 200");
  }
};

TEST(Admin, WhatDoesNotFitIsSaidSoAndHasNoEffect) {
  Desk d;
  EXPECT_TRUE(d.yes("GET", "ready"));
  EXPECT_TRUE(d.ask("GET", "nowhere").starts_with("HTTP/1.1 404"));
  EXPECT_NE(d.ask("POST", "out-of-service").find("Allow: PUT"), std::string::npos);
  Peer bad = d.visitor(), long_one = d.visitor();
  bad.say("nonsense\r\n\r\n");
  EXPECT_TRUE(d.hears(bad, "HTTP/1.1 400"));
  long_one.say("GET / HTTP/1.1\r\nA: " + std::string(9000, 'a'));
  EXPECT_TRUE(d.hears(long_one, "HTTP/1.1 431"));
  EXPECT_TRUE(d.ready());
}

// Staff ask how far a process is on its way to full service, and what it started from.
TEST(Admin, TellsHowFarItHasComeBack) {
  Desk d;
  const auto told = [&] {
    const std::string answer = d.ask("GET", "coming-back");
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  };
  EXPECT_EQ(told().find("state")->text, "learning");
  EXPECT_EQ(told().find("from")->text, "nothing");
  EXPECT_GE(told().find("up_ms")->number, 0.0);
}

// Guards staff against connections that are held with no whole call, more of them than there are places.
TEST(Admin, AnswersBesideThoseThatHoldTheirConnection) {
  Desk d;
  std::vector<Peer> held;
  for (int i = 0; i < 60; ++i) {
    held.push_back(d.visitor());
    held.back().say("GET /control/re");
  }
  const TimePoint from = d.scheduler.now();
  EXPECT_TRUE(d.yes("GET", "ready"));
  EXPECT_LT(d.scheduler.now() - from, Span::ms(500));
}

TEST(Admin, EachAnswerIsCountedOnceByClassAndHow) {
  Desk d;
  Peer endpoint;
  Peer caller = d.call(request_text("a", "plan"), endpoint);
  EXPECT_EQ(d.figure("outstanding"), 1.0);
  EXPECT_EQ(d.figure("forwards"), 1.0);
  endpoint.say(answer_text("one"));
  ASSERT_TRUE(d.hears(caller, "one"));
  caller.say(request_text("b", "sale"));
  ASSERT_TRUE(d.hears(endpoint, "X-Request-ID: b"));
  endpoint.leave();
  ASSERT_TRUE(d.hears(caller, "HTTP/1.1 502"));
  d.endpoint.close();
  caller.say(request_text("c", "sale"));
  ASSERT_TRUE(d.hears(caller, "HTTP/1.1 503"));
  EXPECT_EQ(d.result("plan", "succeeded"), 1.0);
  EXPECT_EQ(d.result("sale", "aborted"), 1.0);
  EXPECT_EQ(d.result("sale", "declined"), 1.0);
  EXPECT_EQ(d.figure("outstanding"), 0.0);
  EXPECT_EQ(d.figure("forwards"), 2.0);
  EXPECT_EQ(d.figure("discovered"), 1.0);
  EXPECT_EQ(d.figure("ejected"), 1.0);
}

// Out of service: no at once, calls are served on, then connections end, idle ones too, and it listens on.
TEST(Service, OutOfItEmptiesTheSidecarAndInEndsThat) {
  Desk d;
  Peer idle = d.caller();
  idle.say("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(d.hears(idle, "ready"));
  EXPECT_TRUE(d.yes("PUT", "out-of-service"));
  EXPECT_TRUE(d.yes("PUT", "out-of-service"));
  EXPECT_FALSE(d.ready());
  EXPECT_FALSE(d.yes("GET", "ready"));
  Peer endpoint;
  Peer late = d.call(request_text("a", "plan"), endpoint);
  endpoint.say(answer_text("one"));
  EXPECT_TRUE(d.hears(late, "one"));
  EXPECT_FALSE(late.has("Connection: close"));
  ASSERT_TRUE(d.pass(Span::ms(650)));
  late.say(request_text("b", "plan"));
  ASSERT_TRUE(d.hears(endpoint, "X-Request-ID: b"));
  endpoint.say(answer_text("two"));
  EXPECT_TRUE(d.hears(late, "Connection: close"));
  EXPECT_TRUE(d.until([&] { return idle.over(); }));
  EXPECT_TRUE(d.yes("PUT", "in-service"));
  EXPECT_TRUE(d.ready());
  EXPECT_FALSE(d.sidecar->finished());
}

TEST(Service, InItUndoesADrainThatHasJustBegunAndNoEnd) {
  Desk d;
  EXPECT_TRUE(d.yes("PUT", "out-of-service"));
  EXPECT_TRUE(d.yes("PUT", "in-service"));
  ASSERT_TRUE(d.pass(Span::ms(700)));
  Peer kept = d.caller();
  kept.say("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(d.hears(kept, "ready"));
  EXPECT_FALSE(kept.has("Connection: close"));
  EXPECT_TRUE(d.yes("PUT", "out-of-service"));
  d.sidecar->shut_down(Span::ms(1500));
  EXPECT_FALSE(d.yes("PUT", "in-service"));
  EXPECT_FALSE(d.ready());
  EXPECT_TRUE(d.until([&] { return d.sidecar->finished(); }));
}

}  // namespace
}  // namespace chutevane::sidecar
