#include <gtest/gtest.h>

#include "lab/listener.hpp"
#include "net/socket.hpp"
#include "network_simulation/simulator.hpp"

namespace chutevane::network_simulation {
namespace {

using net::Socket;
using net::Waker;

constexpr std::uint32_t ip_a = 127U << 24U | 1, ip_b = 127U << 24U | 2;

sockaddr_in address(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(ip);
  return out;
}

/// A program: a scheduler in a simulated process.
struct TestProgram {
  TestProgram(Simulator& simulator, const char* name, std::uint32_t ip, std::size_t descriptors = 100)
      : process(simulator.process(name, ip)), scheduler(process) {
    process.run(
        scheduler,
        [this] {
          scheduler.turn();
          return true;
        },
        descriptors);
  }
  ~TestProgram() { process.kill(); }
  Process& process;
  net::Scheduler scheduler;
};

/// One end of a connection: writes all that it is given, keeps all that arrives and how the connection ended.
struct TestClient {
  explicit TestClient(TestProgram& program)
      : waker(program.scheduler), socket(program.scheduler, waker), task(run()) {
    task.start();
  }
  net::Task run() {
    while (true) {
      // A hang-up stays set: one that waits for it after the end would never wait again.
      const Waker::Bits end = ended || broken || refused ? 0 : Waker::hung_up;
      const Waker::Bits bits = co_await waker.wait(Waker::readable | Waker::writable | Waker::own | end);
      if (!socket.open()) continue;
      if ((bits & (Waker::writable | Waker::hung_up)) != 0) up = up || socket.connected();
      std::size_t written = 0;
      if (up && !out.empty()) {
        if (socket.write(out, written) == Socket::Result::later) ++full;
        out.erase(0, written);
      }
      if (!reads) continue;
      net::Buffer buffer;
      const Socket::Result result = socket.read(buffer);
      in.append(buffer.bytes().data(), buffer.size());
      if (up && result == Socket::Result::ended) ended = true;
      if (up && result == Socket::Result::broken) broken = true;
      if (!up && (bits & Waker::hung_up) != 0) refused = true;
    }
  }
  void send(const std::string& text) {
    out += text;
    waker.set(Waker::own);
  }
  Waker waker;
  Socket socket;
  std::string out, in;
  bool up = false, reads = true, ended = false, broken = false, refused = false;
  int full = 0;
  net::Task task;
};

/// A client process and a server process with a listener on port 80.
struct ConnectedPair : lab::Acceptor {
  explicit ConnectedPair(const NetworkConditions& chances = {}, std::size_t descriptors = 100)
      : simulator(7, chances, trace),
        a(simulator, "a", ip_a),
        b(simulator, "b", ip_b, descriptors),
        client(a),
        server(b),
        listener(b.scheduler, *this) {
    listener.open(address(ip_b, 80));
  }
  void accepted(int fd) override {
    if (server.socket.open()) {  // kept open: what exhausts
      spare.push_back(fd);
      return;
    }
    server.socket.adopt(fd);
    server.up = true;
  }
  void connect() {
    EXPECT_TRUE(client.socket.connect(address(ip_b, 80)));
    EXPECT_TRUE(run_until([&] { return client.up && server.socket.open(); }));
  }
  template <class F>
  bool run_until(F done, Span within = Span::ms(10000)) {
    const TimePoint last = simulator.now() + within;
    simulator.schedule_ready_processes();
    while (!done() && simulator.now() < last && simulator.run_next_event()) {
    }
    return done();
  }
  void run_for(Span time) {
    bool over = false;
    simulator.run_after(time, [&] { over = true; });
    run_until([&] { return over; }, time * 2.0);
  }
  Trace trace;
  Simulator simulator;
  TestProgram a, b;
  TestClient client, server;
  lab::Listener listener;
  std::vector<int> spare;
};

TEST(NetworkSimulation, DeliversBytesInOrderDespiteSplitsAndSmallBuffers) {
  NetworkConditions chances;
  chances.split_probability = 1.0;
  chances.retransmit_probability = 0.2;
  chances.min_buffer_size = chances.max_buffer_size = 64;
  ConnectedPair pair(chances);
  pair.connect();
  std::string text;
  for (int i = 0; i < 2000; ++i) text += std::to_string(i) + ",";
  pair.client.send(text);
  EXPECT_TRUE(pair.run_until([&] { return pair.server.in.size() == text.size(); }, Span::ms(600000)));
  EXPECT_EQ(pair.server.in, text);
  EXPECT_GT(pair.client.full, 10) << "a buffer of 64 bytes must have been full";
}

TEST(NetworkSimulation, AStalledReaderBlocksItsWriter) {
  NetworkConditions chances;
  chances.min_buffer_size = chances.max_buffer_size = 1000;
  ConnectedPair pair(chances);
  pair.connect();
  pair.server.reads = false;
  pair.client.send(std::string(10000, 'x'));
  pair.run_for(Span::ms(5000));
  EXPECT_EQ(pair.client.out.size(), 8000U) << "as much is out as both buffers hold";
  pair.server.reads = true;
  pair.server.send("");
  EXPECT_TRUE(pair.run_until([&] { return pair.server.in.size() == 10000; }));
}

TEST(NetworkSimulation, APartitionDelaysBytesUntilItHeals) {
  ConnectedPair pair;
  pair.connect();
  pair.simulator.block(pair.a.process.number(), pair.b.process.number());
  pair.client.send("old");
  pair.server.send("back");
  pair.run_for(Span::ms(30000));
  EXPECT_EQ(pair.server.in, "");
  EXPECT_EQ(pair.client.in, "back") << "only one direction was blocked";
  pair.simulator.unblock(pair.a.process.number(), pair.b.process.number());
  EXPECT_TRUE(pair.run_until([&] { return pair.server.in == "old"; }, Span::ms(1000)));
}

TEST(NetworkSimulation, AResetDuringAPartitionIsLostAndTheNextBytesAreAnsweredByAReset) {
  ConnectedPair pair;
  pair.connect();
  pair.simulator.block(pair.b.process.number(), pair.a.process.number());
  pair.server.socket.reset();
  pair.run_for(Span::ms(100));
  pair.simulator.unblock(pair.b.process.number(), pair.a.process.number());
  pair.run_for(Span::ms(5000));
  EXPECT_FALSE(pair.client.broken) << "a reset is sent once";
  pair.client.send("anyone?");
  EXPECT_TRUE(pair.run_until([&] { return pair.client.broken; }));
}

TEST(NetworkSimulation, TheFinIsReadAfterTheLastByte) {
  ConnectedPair pair;
  pair.connect();
  pair.server.send("last words");
  pair.run_for(Span::ms(10));
  pair.server.socket.close();
  EXPECT_TRUE(pair.run_until([&] { return pair.client.ended; }));
  EXPECT_EQ(pair.client.in, "last words");
}

TEST(NetworkSimulation, ClosingWithUnreadBytesResets) {
  ConnectedPair pair;
  pair.connect();
  pair.server.reads = false;
  pair.client.send("unread");
  pair.run_for(Span::ms(10));
  pair.server.socket.close();
  EXPECT_TRUE(pair.run_until([&] { return pair.client.broken; }));
  EXPECT_FALSE(pair.client.ended);
}

TEST(NetworkSimulation, AConnectIsRefusedWithoutListenerAndUnansweredWithoutPower) {
  ConnectedPair pair;
  EXPECT_TRUE(pair.client.socket.connect(address(ip_b, 81)));
  EXPECT_TRUE(pair.run_until([&] { return pair.client.refused; }, Span::ms(100)));
  pair.b.process.set_powered_off(true);
  TestClient other(pair.a);
  EXPECT_TRUE(other.socket.connect(address(ip_b, 80)));
  pair.run_for(Span::ms(60000));
  EXPECT_FALSE(other.up || other.refused);
}

TEST(NetworkSimulation, APowerLossNotifiesNoPeer) {
  ConnectedPair pair;
  pair.connect();
  pair.b.process.set_powered_off(true);
  pair.b.process.lose_power();
  pair.client.send("hello?");
  pair.run_for(Span::ms(60000));
  EXPECT_FALSE(pair.client.ended || pair.client.broken);
  pair.b.process.set_powered_off(false);  // it has power again, and knows nothing of the connection
  pair.client.send("hello?");
  pair.simulator.block(pair.a.process.number(), pair.b.process.number());
  pair.simulator.unblock(pair.a.process.number(), pair.b.process.number());
  EXPECT_TRUE(pair.run_until([&] { return pair.client.broken; }));
}

TEST(NetworkSimulation, AKilledProcessClosesItsConnections) {
  ConnectedPair pair;
  pair.connect();
  pair.b.process.kill();
  EXPECT_TRUE(pair.run_until([&] { return pair.client.ended || pair.client.broken; }, Span::ms(100)));
}

TEST(NetworkSimulation, APausedProcessReadsLaterWhatItsKernelReceived) {
  ConnectedPair pair;
  pair.connect();
  pair.b.process.pause(Span::ms(2000));
  pair.client.send("wait for me");
  pair.run_for(Span::ms(1900));
  EXPECT_EQ(pair.server.in, "");
  EXPECT_TRUE(pair.client.out.empty()) << "the kernel has taken it";
  EXPECT_TRUE(pair.run_until([&] { return pair.server.in == "wait for me"; }, Span::ms(200)));
}

TEST(NetworkSimulation, AcceptFailsWithoutFreeDescriptors) {
  ConnectedPair pair({}, 3);  // the listener and two connections
  pair.connect();
  TestClient second(pair.a), third(pair.a);
  EXPECT_TRUE(second.socket.connect(address(ip_b, 80)));
  EXPECT_TRUE(third.socket.connect(address(ip_b, 80)));
  pair.run_for(Span::ms(500));
  EXPECT_EQ(pair.spare.size(), 1U) << "the third waits in the queue";
  EXPECT_EQ(pair.b.process.open_descriptors(), 3U);
  pair.server.socket.close();
  EXPECT_TRUE(pair.run_until([&] { return pair.server.socket.open(); })) << "room for the one that waited";
}

TEST(NetworkSimulation, ReportsTheDelayOfReceivedBytes) {
  NetworkConditions chances;
  chances.min_delay = Span::ms(40), chances.mean_delay = Span::ms(40);
  chances.max_turn_delay = Span::us(1);
  ConnectedPair pair(chances);
  pair.connect();
  pair.client.send("x");
  EXPECT_TRUE(pair.run_until([&] { return pair.server.in == "x"; }));
  EXPECT_NEAR(pair.server.socket.way().as_ms(), 40.0, 1.0);
}

}  // namespace
}  // namespace chutevane::network_simulation
