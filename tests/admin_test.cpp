/// The administration port: counters, readiness, and draining.
#include "helpers.hpp"
#include "json/value.hpp"

namespace chutevane::sidecar {
namespace {

struct AdminBench : SidecarBench {
  AdminBench() : SidecarBench("\"seed\"", "\"admin_addr\":\"127.0.0.1:0\",\"seed\"") {}
  Peer connect() { return Peer::to(*sidecar->admin_address()); }
  // The complete response to one request.
  std::string request(const std::string& method, const std::string& path) {
    Peer p = connect();
    p.say(method + " /control/" + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(until([&] { return p.over(); }));
    return p.heard;
  }
  bool is_affirmed(const std::string& method, const std::string& path) {
    return request(method, path).starts_with("HTTP/1.1 200");
  }
  json::Value counters() {
    const std::string answer = request("GET", "counters");
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  }
  double counter(const char* name) { return counters().find(name)->number; }
  double result_count(const char* track, const char* how) {
    return counters().find("results")->find(track)->find(how)->number;
  }
  bool wait_for(Span span) {
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

TEST(Admin, AMalformedRequestIsRejectedAndHasNoEffect) {
  AdminBench bench;
  EXPECT_TRUE(bench.is_affirmed("GET", "ready"));
  EXPECT_TRUE(bench.request("GET", "nowhere").starts_with("HTTP/1.1 404"));
  EXPECT_NE(bench.request("POST", "out-of-service").find("Allow: PUT"), std::string::npos);
  Peer bad = bench.connect(), long_one = bench.connect();
  bad.say("nonsense\r\n\r\n");
  EXPECT_TRUE(bench.hears(bad, "HTTP/1.1 400"));
  long_one.say("GET / HTTP/1.1\r\nA: " + std::string(9000, 'a'));
  EXPECT_TRUE(bench.hears(long_one, "HTTP/1.1 431"));
  EXPECT_TRUE(bench.ready());
}

// How far the process is from full service, and what it started from.
TEST(Admin, ReportsStartupProgress) {
  AdminBench bench;
  const auto told = [&] {
    const std::string answer = bench.request("GET", "coming-back");
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  };
  EXPECT_EQ(told().find("state")->text, "learning");
  EXPECT_EQ(told().find("from")->text, "nothing");
  EXPECT_GE(told().find("up_ms")->number, 0.0);
}

// Connections that are held open without a complete request, more of them than there may be, do not keep
// operators out.
TEST(Admin, RespondsBesideConnectionsWithoutACompleteRequest) {
  AdminBench bench;
  std::vector<Peer> held;
  for (int i = 0; i < 60; ++i) {
    held.push_back(bench.connect());
    held.back().say("GET /control/re");
  }
  const TimePoint from = bench.scheduler.now();
  EXPECT_TRUE(bench.is_affirmed("GET", "ready"));
  EXPECT_LT(bench.scheduler.now() - from, Span::ms(500));
}

TEST(Admin, EachAnswerIsCountedOnceByClassAndHow) {
  AdminBench bench;
  Peer endpoint;
  Peer caller = bench.call(request_text("a", "plan"), endpoint);
  EXPECT_EQ(bench.counter("outstanding"), 1.0);
  EXPECT_EQ(bench.counter("forwards"), 1.0);
  endpoint.say(answer_text("one"));
  ASSERT_TRUE(bench.hears(caller, "one"));
  caller.say(request_text("b", "sale"));
  ASSERT_TRUE(bench.hears(endpoint, "X-Request-ID: b"));
  endpoint.leave();
  ASSERT_TRUE(bench.hears(caller, "HTTP/1.1 502"));
  bench.endpoint.close();
  caller.say(request_text("c", "sale"));
  ASSERT_TRUE(bench.hears(caller, "HTTP/1.1 503"));
  EXPECT_EQ(bench.result_count("plan", "succeeded"), 1.0);
  EXPECT_EQ(bench.result_count("sale", "aborted"), 1.0);
  EXPECT_EQ(bench.result_count("sale", "declined"), 1.0);
  EXPECT_EQ(bench.counter("outstanding"), 0.0);
  EXPECT_EQ(bench.counter("forwards"), 2.0);
  EXPECT_EQ(bench.counter("discovered"), 1.0);
  EXPECT_EQ(bench.counter("ejected"), 1.0);
}

// Out of service: no at once, calls are served on, then connections end, idle ones too, and it listens on.
TEST(Service, OutOfItEmptiesTheSidecarAndInEndsThat) {
  AdminBench bench;
  Peer idle = bench.caller();
  idle.say("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(bench.hears(idle, "ready"));
  EXPECT_TRUE(bench.is_affirmed("PUT", "out-of-service"));
  EXPECT_TRUE(bench.is_affirmed("PUT", "out-of-service"));
  EXPECT_FALSE(bench.ready());
  EXPECT_FALSE(bench.is_affirmed("GET", "ready"));
  Peer endpoint;
  Peer late = bench.call(request_text("a", "plan"), endpoint);
  endpoint.say(answer_text("one"));
  EXPECT_TRUE(bench.hears(late, "one"));
  EXPECT_FALSE(late.has("Connection: close"));
  ASSERT_TRUE(bench.wait_for(Span::ms(650)));
  late.say(request_text("b", "plan"));
  ASSERT_TRUE(bench.hears(endpoint, "X-Request-ID: b"));
  endpoint.say(answer_text("two"));
  EXPECT_TRUE(bench.hears(late, "Connection: close"));
  EXPECT_TRUE(bench.until([&] { return idle.over(); }));
  EXPECT_TRUE(bench.is_affirmed("PUT", "in-service"));
  EXPECT_TRUE(bench.ready());
  EXPECT_FALSE(bench.sidecar->finished());
}

TEST(Service, InItUndoesADrainThatHasJustBegunAndNoEnd) {
  AdminBench bench;
  EXPECT_TRUE(bench.is_affirmed("PUT", "out-of-service"));
  EXPECT_TRUE(bench.is_affirmed("PUT", "in-service"));
  ASSERT_TRUE(bench.wait_for(Span::ms(700)));
  Peer kept = bench.caller();
  kept.say("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(bench.hears(kept, "ready"));
  EXPECT_FALSE(kept.has("Connection: close"));
  EXPECT_TRUE(bench.is_affirmed("PUT", "out-of-service"));
  bench.sidecar->shut_down(Span::ms(1500));
  EXPECT_FALSE(bench.is_affirmed("PUT", "in-service"));
  EXPECT_FALSE(bench.ready());
  EXPECT_TRUE(bench.until([&] { return bench.sidecar->finished(); }));
}

}  // namespace
}  // namespace chutevane::sidecar
