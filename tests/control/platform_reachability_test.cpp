// Tests of PlatformReachability: a leader that cannot reach the platform steps down if a peer can, and stays
// if no peer can.
#include "control/platform_reachability.hpp"

#include <set>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::platform_unreached_limit;
using chutevane::control::PlatformReachability;

TEST_GROUP(PlatformReachabilityOfALeader) {
  PlatformReachability reachability;
  TimePoint now = TimePoint::at_ms(50000);
  void setup() override { reachability.on_reached(now); }

  // Returns the number of questions within `span`, all answered by peers that cannot reach the platform.
  int questions(Span span, std::size_t peers) {
    int out = 0;
    for (const TimePoint end = now + span; now < end; now = now + Span::ms(100)) {
      if (!reachability.should_ask_peer(true, now)) continue;
      reachability.next_peer(peers, now);
      CHECK_FALSE(reachability.on_reply(false, now));
      ++out;
    }
    return out;
  }
};

TEST(PlatformReachabilityOfALeader, NoPeerIsAskedWhileThePlatformIsReached) {
  for (int i = 0; i < 100; ++i, now = now + Span::ms(600)) {
    CHECK_FALSE(reachability.should_ask_peer(true, now));
    reachability.on_reached(now);
  }
}

TEST(PlatformReachabilityOfALeader, StepsDownIfAPeerReachesThePlatform) {
  CHECK_FALSE(reachability.should_ask_peer(true, now + platform_unreached_limit - Span::ms(1)));
  now = now + platform_unreached_limit;
  CHECK_FALSE(reachability.should_ask_peer(false, now));
  CHECK_TRUE(reachability.should_ask_peer(true, now));
  reachability.next_peer(2, now);
  CHECK_FALSE(reachability.should_ask_peer(true, now));  // one question at a time
  CHECK_TRUE(reachability.on_reply(true, now));
}

// All peers are asked in turn within one round.
TEST(PlatformReachabilityOfALeader, AllPeersAreAskedInTurn) {
  now = now + platform_unreached_limit;
  std::set<std::size_t> asked;
  for (int i = 0; i < 4; ++i) {
    CHECK_TRUE(reachability.should_ask_peer(true, now));
    asked.insert(reachability.next_peer(4, now));
    CHECK_FALSE(reachability.on_reply(false, now));
  }
  CHECK_EQUAL(static_cast<std::size_t>(4), asked.size());
  CHECK_FALSE(reachability.should_ask_peer(true, now));
}

// If no peer reaches the platform, the leader stays and asks less and less often.
TEST(PlatformReachabilityOfALeader, StaysIfNoPeerReachesThePlatform) {
  const int first_minute = questions(Span::ms(60000), 2);
  const int second_minute = questions(Span::ms(60000), 2);
  CHECK_TRUE(first_minute > 4 && first_minute < 16);
  CHECK_TRUE(second_minute > 2 && second_minute <= 8);
  // After a successful fetch the pauses start again from the minimum.
  reachability.on_reached(now);
  CHECK_EQUAL(0, questions(platform_unreached_limit, 2));
  CHECK_TRUE(questions(Span::ms(3000), 2) >= 2);
}

// The leader reached the platform again while it was asking a peer.
TEST(PlatformReachabilityOfALeader, LeaderThatRecoversStays) {
  now = now + platform_unreached_limit;
  reachability.next_peer(2, now);
  reachability.on_reached(now + Span::ms(300));
  CHECK_FALSE(reachability.on_reply(true, now + Span::ms(400)));
}
