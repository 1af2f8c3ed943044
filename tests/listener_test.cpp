/// The bound on clients' connections, and how they end.
#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

// Guards the descriptors: at the bound the longest idle connection makes room.
TEST(Listener, TheLongestIdleGoesAtTheBound) {
  SidecarBench b("1024", "64");
  std::vector<Peer> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(b.caller());
    callers.back().say(get_ready);
    ASSERT_TRUE(b.hears(callers.back(), "ready"));
  }
  EXPECT_TRUE(callers.front().over());
  EXPECT_FALSE(callers.back().over());
  EXPECT_EQ(b.sidecar->counters().downstream_evicted, 8U);
}

// As many callers as there is room for, each in the middle of a request, and one that waits to be accepted.
struct AllBusy : SidecarBench {
  AllBusy() : SidecarBench("1024", "64") {
    for (int i = 0; i < 33; ++i) {
      callers.push_back(caller());
      callers.back().say(i < 32 ? "GET /ready HTTP/1.1\r\n" : get_ready);
    }
    EXPECT_TRUE(until([&] { return sidecar->counters().downstream_accepted == 32; }));
    until([n = 0]() mutable { return ++n > 10; });  // some turns more
    EXPECT_FALSE(callers.back().has("ready"));
    EXPECT_EQ(sidecar->counters().downstream_accepted, 32U);
  }
  std::vector<Peer> callers;
};

TEST(Listener, AcceptingGoesOnWhenOneLeaves) {
  AllBusy b;
  b.callers.front().leave();
  EXPECT_TRUE(b.hears(b.callers.back(), "ready"));
  EXPECT_EQ(b.sidecar->counters().downstream_evicted, 0U);
}

// Guards against a pause that lasts until a connection is closed, while there are idle ones again.
TEST(Listener, AcceptingGoesOnWhenOneFallsIdle) {
  AllBusy b;
  b.callers.front().say("\r\n");
  EXPECT_TRUE(b.hears(b.callers.back(), "ready"));
  EXPECT_TRUE(b.callers.front().has("ready"));
  EXPECT_EQ(b.sidecar->counters().downstream_evicted, 1U);
}

// Guards those who wait to be accepted against peers whose requests never end.
TEST(Listener, ARequestThatDoesNotEndMakesRoom) {
  SidecarBench b("1024", "64");
  std::vector<Peer> slow;
  for (int i = 0; i < 32; ++i) {
    slow.push_back(b.caller());
    slow.back().say("POST /api HTTP/1.1\r\n");
  }
  Peer caller = b.caller();
  caller.say(get_ready);
  EXPECT_TRUE(b.hears(caller, "ready"));
  EXPECT_EQ(b.sidecar->counters().downstream_evicted, 1U);
}

// Guards an answer that ends its connection: what the peer sent meanwhile must not turn the end into a reset.
TEST(Listener, TheLastAnswerIsNotLostToUnreadBytes) {
  SidecarBench b;
  Peer caller = b.caller();
  caller.say("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(b.hears(caller, "ready"));
  caller.say(get_ready);
  EXPECT_TRUE(b.until([&] { return caller.over(); }));
  caller.say("x");  // a reset would have made this an error
}

// Guards endpoints against work that nobody waits for: a caller that left while its request waited to be
// accepted, by a close or a reset, and one behind whose request another waits.
TEST(Listener, ARequestWhoseCallerHasLeftIsNotSentOn) {
  for (const bool reset : {false, true}) {
    SidecarBench b;
    Peer endpoint;
    {
      Peer gone = b.caller();
      gone.say(request_text("gone", "sale") + request_text("behind", "plan"));
      if (reset) gone.reset();
    }
    Peer caller = b.call(request_text("stays", "plan"), endpoint);
    EXPECT_EQ(endpoint.heard.find("gone"), std::string::npos);
    EXPECT_TRUE(endpoint.has("X-Request-ID: stays"));
    EXPECT_EQ(b.sidecar->counters().dispatches, 1U);
    EXPECT_EQ(b.sidecar->counters().outstanding, 1U);
    endpoint.say(answer_text("served"));
    EXPECT_TRUE(b.hears(caller, "served"));
    Peer again;  // the id is free, though its first call was never taken
    Peer same = b.caller();
    same.say(request_text("gone", "plan"));
    ASSERT_TRUE(b.hears(endpoint, "X-Request-ID: gone"));
  }
}

}  // namespace
}  // namespace chutevane::sidecar
