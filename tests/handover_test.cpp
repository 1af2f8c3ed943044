// A new version under load: two processes of one sidecar on one address.
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

const std::string get_ready = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

ino_t node_of(const std::string& path) {
  struct stat about {};
  return ::stat(path.c_str(), &about) == 0 ? about.st_ino : 0;
}

struct Two : Loop {
  Two() {
    folder = ::testing::TempDir() + "chutevane-" + std::to_string(::getpid()) + "-" +
             ::testing::UnitTest::GetInstance()->current_test_info()->name();
    std::filesystem::create_directories(folder);
    Port free;
    where = free.at;
    config = config_text("127.0.0.1:2", endpoint.text());
    const std::string any = "\"listen\":\"127.0.0.1:0\"";
    config.replace(config.find(any), any.size(), "\"listen\":\"" + free.text() + "\"");
  }
  ~Two() {
    stop(old_one), stop(new_one);
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
  void stop(pid_t& one) {
    if (one > 0 && ::kill(one, SIGKILL) == 0) ::waitpid(one, nullptr, 0);
    one = -1;
  }
  int status_of(pid_t one) {
    int status = -1;
    return until([&] { return ::waitpid(one, &status, WNOHANG) == one; }) && WIFEXITED(status)
               ? WEXITSTATUS(status)
               : -1;
  }
  bool ready() {
    Peer p = Peer::to(where);
    p.say("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    until([&] { return p.over(); });
    return p.has("HTTP/1.1 200");
  }
  bool comes_up() { return place_now(), ready(); }  // the place is there once it serves
  // One process serves, then a second one beside it.
  bool both() {
    old_one = start();
    if (!comes_up()) return false;
    return second();
  }
  bool second() {
    const auto before = place_now();
    new_one = start();
    return took_over(before);
  }
  // The place where successors ask is the newest one's once it serves.
  bool took_over(ino_t before) {
    const std::string place = folder + "/chutevane-n0.sock";
    return until([&] { return node_of(place) != before; });
  }
  ino_t place_now() {
    const std::string place = folder + "/chutevane-n0.sock";
    until([&] { return std::filesystem::exists(place); });
    return node_of(place);
  }
  Port endpoint;
  std::string folder, config;
  sockaddr_in where{};
  pid_t old_one = -1, new_one = -1;
};

// No connection is refused or reset from one process to the next, and what the old one had is answered.
TEST(Handover, ASuccessorTakesTheCallersOverAndTheOldOneEnds) {
  Two t;
  t.old_one = t.start();
  ASSERT_TRUE(t.comes_up());
  Peer kept = Peer::to(t.where), served;
  kept.say(request_text("a", "plan"));
  ASSERT_TRUE(t.until([&] { return t.endpoint.take(served); }));
  ASSERT_TRUE(t.until([&] { return served.has("X-Request-ID: a"); }));
  ASSERT_TRUE(t.second());
  ::kill(t.old_one, SIGTERM);
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(t.ready()) << i;
  served.say(answer_text("one"));
  EXPECT_TRUE(t.until([&] { return kept.has("one"); }));
  EXPECT_TRUE(kept.has("Connection: close"));
  kept.leave();
  EXPECT_EQ(t.status_of(t.old_one), 0);
  t.old_one = -1;
  EXPECT_TRUE(t.ready());
}

TEST(Handover, ASuccessorThatDiesLeavesTheOldOneServing) {
  Two t;
  ASSERT_TRUE(t.both());
  t.stop(t.new_one);
  ASSERT_TRUE(t.ready());
  ASSERT_TRUE(t.second());  // and the next one finds it
  ::kill(t.new_one, SIGTERM);
  EXPECT_EQ(t.status_of(t.new_one), 0);
  t.new_one = -1;
  EXPECT_TRUE(t.ready());
}

TEST(Handover, WhatADeadProcessLeftIsNoObstacle) {
  Two t;
  t.old_one = t.start();
  ASSERT_TRUE(t.comes_up());
  t.stop(t.old_one);
  ASSERT_TRUE(t.second());
  EXPECT_TRUE(t.ready());
}

// Guards the successor that starts: a second one would split what it is given.
TEST(Handover, ASecondSuccessorIsToldSo) {
  Loop loop;
  const std::string place = ::testing::TempDir() + "chutevane-second-" + std::to_string(::getpid());
  Port held;
  handover::Post post(
      loop.scheduler, place,
      [&] {
        return handover::Estate{{held.descriptor()}, "text"};
      },
      [] {});
  post.open();
  post.say(true);
  handover::Given first, second;
  const auto asked = [&](handover::Given& into) {
    std::thread asker([&] { into = handover::ask(place, Span::ms(2000)); });
    loop.until([&, n = 0]() mutable { return ++n > 50; });
    asker.join();
  };
  asked(first);
  EXPECT_EQ(first.listeners.size(), 1U);
  EXPECT_EQ(first.state, "text");
  asked(second);
  EXPECT_TRUE(second.busy);
  EXPECT_TRUE(second.listeners.empty());
}

TEST(Handover, DamageToWhatIsHandedOnIsNamed) {
  SidecarBench b;
  const std::string text = b.sidecar->serialize_state();
  EXPECT_NO_THROW(b.sidecar->restore_state(text));
  EXPECT_THROW(b.sidecar->restore_state(text.substr(0, text.size() / 2)), snapshot::FormError);
  snapshot::Content other = snapshot::read(text);
  other.deployment = "tier 1: plan";
  EXPECT_THROW(b.sidecar->restore_state(snapshot::write(other)), snapshot::FormError);
}

}  // namespace
}  // namespace chutevane::sidecar
