/// Hot restart: two processes of one sidecar on one address, the successor started under load.
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

ino_t inode_of(const std::string& path) {
  struct stat about {};
  return ::stat(path.c_str(), &about) == 0 ? about.st_ino : 0;
}

struct ProcessPair : Loop {
  ProcessPair() {
    folder = ::testing::TempDir() + "chutevane-" + std::to_string(::getpid()) + "-" +
             ::testing::UnitTest::GetInstance()->current_test_info()->name();
    std::filesystem::create_directories(folder);
    Port free;
    address = free.at;
    config = config_text("127.0.0.1:2", endpoint.text());
    const std::string any = "\"listen\":\"127.0.0.1:0\"";
    config.replace(config.find(any), any.size(), "\"listen\":\"" + free.text() + "\"");
  }
  ~ProcessPair() {
    stop(predecessor), stop(successor);
    std::filesystem::remove_all(folder);
  }
  pid_t start() {
    const pid_t child = ::fork();
    if (child == 0) {
      ::close_range(3, ~0U, 0);  // the peers of this test are not the child's to hold open
      int status = 9;
      try {
        status = serve([&] { return config::read(config, no_environment); }, folder);
      } catch (const std::exception&) {  // as the program does
      }
      ::_exit(status);
    }
    return child;
  }
  void stop(pid_t& process) {
    if (process > 0 && ::kill(process, SIGKILL) == 0) ::waitpid(process, nullptr, 0);
    process = -1;
  }
  int status_of(pid_t process) {
    int status = -1;
    return until([&] { return ::waitpid(process, &status, WNOHANG) == process; }) && WIFEXITED(status)
               ? WEXITSTATUS(status)
               : -1;
  }
  bool ready() {
    Peer p = Peer::to(address);
    p.say("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    until([&] { return p.over(); });
    return p.has("HTTP/1.1 200");
  }
  bool wait_until_serving() { return socket_inode(), ready(); }  // the socket is there once it serves
  // A process that serves, then its successor beside it.
  bool start_both() {
    predecessor = start();
    if (!wait_until_serving()) return false;
    return start_successor();
  }
  bool start_successor() {
    const auto before = socket_inode();
    successor = start();
    return wait_for_takeover(before);
  }
  // Successors find the newest process's socket there once it serves.
  bool wait_for_takeover(ino_t before) {
    const std::string socket_path = folder + "/chutevane-n0.sock";
    return until([&] { return inode_of(socket_path) != before; });
  }
  ino_t socket_inode() {
    const std::string socket_path = folder + "/chutevane-n0.sock";
    until([&] { return std::filesystem::exists(socket_path); });
    return inode_of(socket_path);
  }
  Port endpoint;
  std::string folder, config;
  sockaddr_in address{};
  pid_t predecessor = -1, successor = -1;
};

// No connection is refused or reset from one process to the next, and the predecessor's requests are
// answered.
TEST(HotRestart, ASuccessorTakesTheCallersOverAndTheOldOneEnds) {
  ProcessPair pair;
  pair.predecessor = pair.start();
  ASSERT_TRUE(pair.wait_until_serving());
  Peer kept = Peer::to(pair.address), served;
  kept.say(request_text("a", "plan"));
  ASSERT_TRUE(pair.until([&] { return pair.endpoint.take(served); }));
  ASSERT_TRUE(pair.until([&] { return served.has("X-Request-ID: a"); }));
  ASSERT_TRUE(pair.start_successor());
  ::kill(pair.predecessor, SIGTERM);
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(pair.ready()) << i;
  served.say(answer_text("one"));
  EXPECT_TRUE(pair.until([&] { return kept.has("one"); }));
  EXPECT_TRUE(kept.has("Connection: close"));
  kept.leave();
  EXPECT_EQ(pair.status_of(pair.predecessor), 0);
  pair.predecessor = -1;
  EXPECT_TRUE(pair.ready());
}

TEST(HotRestart, ASuccessorThatDiesLeavesTheOldOneServing) {
  ProcessPair pair;
  ASSERT_TRUE(pair.start_both());
  pair.stop(pair.successor);
  ASSERT_TRUE(pair.ready());
  ASSERT_TRUE(pair.start_successor());  // and the next one finds it
  ::kill(pair.successor, SIGTERM);
  EXPECT_EQ(pair.status_of(pair.successor), 0);
  pair.successor = -1;
  EXPECT_TRUE(pair.ready());
}

TEST(HotRestart, WhatADeadProcessLeftIsNoObstacle) {
  ProcessPair pair;
  pair.predecessor = pair.start();
  ASSERT_TRUE(pair.wait_until_serving());
  pair.stop(pair.predecessor);
  ASSERT_TRUE(pair.start_successor());
  EXPECT_TRUE(pair.ready());
}

// Two successors would share what one is to have alone.
TEST(HotRestart, ASecondSuccessorIsToldSo) {
  Loop loop;
  const std::string socket_path = ::testing::TempDir() + "chutevane-second-" + std::to_string(::getpid());
  Port held;
  hot_restart::HotRestartChannel channel(
      loop.scheduler, socket_path,
      [&] {
        return hot_restart::TransferPayload{{held.descriptor()}, "text"};
      },
      [] {});
  channel.listen();
  channel.announce(true);
  hot_restart::ReceivedTransfer first, second;
  const auto asked = [&](hot_restart::ReceivedTransfer& into) {
    std::thread asker([&] { into = hot_restart::request_transfer(socket_path, Span::ms(2000)); });
    loop.until([&, n = 0]() mutable { return ++n > 50; });
    asker.join();
  };
  asked(first);
  EXPECT_EQ(first.listeners.size(), 1U);
  EXPECT_EQ(first.state, "text");
  asked(second);
  EXPECT_TRUE(second.is_refused);
  EXPECT_TRUE(second.listeners.empty());
}

TEST(HotRestart, DamageToWhatIsHandedOnIsNamed) {
  SidecarBench b;
  const std::string text = b.sidecar->serialize_state();
  EXPECT_NO_THROW(b.sidecar->restore_state(text));
  EXPECT_THROW(b.sidecar->restore_state(text.substr(0, text.size() / 2)), snapshot::FormatError);
  snapshot::Snapshot other = snapshot::parse(text);
  other.deployment = "tier 1: plan";
  EXPECT_THROW(b.sidecar->restore_state(snapshot::serialize(other)), snapshot::FormatError);
}

}  // namespace
}  // namespace chutevane::sidecar
