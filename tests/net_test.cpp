#include "helpers.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::net {
namespace {

constexpr Waker::Bits one = Waker::own, two = Waker::own << 1U;

Task note(Waker& waker, Waker::Bits mask, std::vector<Waker::Bits>& seen) {
  while (true) {
    const Waker::Bits bits = co_await waker.wait(mask);
    seen.push_back(bits);
  }
}

Task note_once(Waker& waker, Waker::Bits mask, std::vector<Waker::Bits>& seen) {  // a hang-up stays set
  seen.push_back(co_await waker.wait(mask));
}

// A socket of ours and the other end of its connection.
struct Connected : Loop {
  Connected() {
    EXPECT_TRUE(socket.connect(port.at));
    EXPECT_TRUE(until([&] { return port.take(peer); }));
  }
  Port port;
  Waker waker{scheduler};
  Socket socket{scheduler, waker};
  Peer peer;
};

TEST(Scheduler, TimersFireInOrder) {
  Loop loop;
  std::vector<Waker::Bits> seen;
  Waker waker(loop.scheduler);
  Timer late(loop.scheduler, waker, one), early(loop.scheduler, waker, two), never(loop.scheduler, waker, 64);
  Task task = note(waker, one | two | 64, seen);
  task.start();
  const TimePoint now = loop.scheduler.now();
  late.set(now + Span::ms(4));
  never.set(now + Span::ms(2));
  early.set(now + Span::ms(50));
  early.set(now + Span::ms(1));  // moved
  never.cancel();
  EXPECT_TRUE(loop.until([&] { return seen.size() == 2; }));
  EXPECT_EQ(seen, (std::vector<Waker::Bits>{two, one}));
  EXPECT_EQ(early.due(), TimePoint::never());
}

// Guards deadlines against a long batch of reads: what is due is handled before what has come in.
TEST(Scheduler, WhatIsDueGoesBeforeWhatHasComeIn) {
  Connected c;
  std::vector<Waker::Bits> seen;
  Timer timer(c.scheduler, c.waker, one);
  Task task = note(c.waker, one | Waker::readable, seen);
  task.start();
  timer.set(c.scheduler.now());
  c.peer.say("x");
  EXPECT_TRUE(c.until([&] { return seen.size() == 2; }));
  EXPECT_EQ(seen, (std::vector<Waker::Bits>{one, Waker::readable}));
}

// Guards against a turn that comes late and acts for a peer that has left meanwhile: its end goes before what
// is due, and before what others have said.
TEST(Scheduler, APeersEndGoesBeforeWhatIsDue) {
  Connected stays;
  std::vector<Waker::Bits> seen;
  Waker gone(stays.scheduler);
  Socket to_gone(stays.scheduler, gone);
  Peer leaver;
  ASSERT_TRUE(to_gone.connect(stays.port.at));
  ASSERT_TRUE(stays.until([&] { return stays.port.take(leaver); }));
  Timer timer(stays.scheduler, stays.waker, one);
  Task acts = note(stays.waker, one | Waker::readable, seen), hears = note_once(gone, Waker::hung_up, seen);
  acts.start();
  hears.start();
  stays.peer.say("x");
  leaver.leave();
  timer.set(stays.scheduler.now());
  stays.scheduler.turn();
  ASSERT_GE(seen.size(), 2U);
  EXPECT_EQ(seen.front(), Waker::hung_up);
}

// Guards against resuming a coroutine whose owner went away after it was woken.
TEST(Scheduler, WhatIsGoneIsNotResumed) {
  Loop loop;
  std::vector<Waker::Bits> seen;
  auto waker = std::make_unique<Waker>(loop.scheduler);
  auto task = std::make_unique<Task>(note(*waker, one, seen));
  task->start();
  waker->set(one);
  task.reset();
  waker.reset();
  loop.tick.set(loop.scheduler.now());
  loop.scheduler.turn();
  EXPECT_TRUE(seen.empty());
}

// Guards against a FIN that comes with the last bytes: edge-triggered events do not tell of it again.
TEST(Socket, AnEndThatComesWithTheLastBytesIsSeen) {
  Connected c;
  c.peer.say("last words");
  c.peer.leave();
  Buffer buffer;
  ASSERT_TRUE(c.until([&] { return c.waker.has(Waker::hung_up); }));
  EXPECT_EQ(c.socket.read(buffer), Socket::Result::some);
  EXPECT_EQ(buffer.size(), 10U);
  EXPECT_TRUE(c.waker.wait(Waker::readable | Waker::hung_up).await_ready());
  EXPECT_EQ(c.socket.read(buffer), Socket::Result::ended);
}

TEST(Socket, ARefusedConnectionIsNoConnection) {
  Loop loop;
  Port port;
  port.close();
  Waker waker(loop.scheduler);
  Socket socket(loop.scheduler, waker);
  if (!socket.connect(port.at)) return;  // refused at once
  ASSERT_TRUE(loop.until([&] { return waker.has(Waker::writable | Waker::hung_up); }));
  EXPECT_FALSE(socket.connected());
}

// Guards the memory and the other connections against a peer that sends without end.
TEST(Socket, MuchIsReadInParts) {
  Connected c;
  const std::string part(64 * 1024, 'x');
  Buffer buffer;
  std::size_t taken = 0;
  const auto read = [&] {
    const bool some = c.socket.read(buffer) == Socket::Result::some;
    EXPECT_LE(buffer.size(), 600U * 1024U);
    taken += buffer.size();
    buffer.consume(buffer.size());
    return some;
  };
  for (int i = 0; i < 8; ++i) {
    c.peer.say(part);
    while (read()) {
    }
  }
  EXPECT_TRUE(c.until([&] { return !read() && taken == 8 * part.size(); }));
}

TEST(Address, IsRead) {
  EXPECT_TRUE(parse_address("127.0.0.1:8000"));
  for (const char* bad : {"127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "host:80", ":80", "127.0.0.1:8x"})
    EXPECT_FALSE(parse_address(bad)) << bad;
}

}  // namespace
}  // namespace chutevane::net
