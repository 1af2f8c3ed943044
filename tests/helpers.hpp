// What the tests share: settings, endpoints and a balancer with its list; a configuration, peers on
// loopback sockets and a sidecar between them.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "chutevane/balancer.hpp"
#include "sidecar/daemon.hpp"
#include "sidecar/sidecar.hpp"

namespace chutevane {

inline TimePoint at(double ms) { return TimePoint::at_ms(100000.0 + ms); }

// Two tracks: 0 pays 12, 1 pays 1 and has the effect given.
inline Settings settings(const std::string& effect = "replayable") {
  Settings s{{"tier", "0"},
             {"sidecars", "1"},
             {"discovery", "automatic"},
             {"allowed.probes", "false"},
             {"allowed.cancel", "true"},
             {"allowed.retry_after", "true"},
             {"allowed.max_retry_after_ms", "2000"},
             {"allowed.max_dispatches", "4"},
             {"rules.cold_share", "0.1"},
             {"rules.fall_multiple", "3"},
             {"rules.fall_ms", "1500"},
             {"rules.warm_after_ms", "20000"},
             {"tracks.count", "2"}};
  for (const std::string t : {"tracks.0.", "tracks.1."}) {
    s[t + "soft_limit_ms"] = "1000";
    s[t + "client_timeout_ms"] = "4000";
    s[t + "payoff"] = t == "tracks.0." ? "12" : "1";
    s[t + "late_payoff"] = "0";
    s[t + "effect"] = t == "tracks.0." ? "replayable" : effect;
    s[t + "repeat_group"] = "zone";
    s[t + "repeat_window_ms"] = "3000";
  }
  return s;
}

// The same towards the second tier, where calls come from an admitted caller.
inline Settings deeper(const std::string& effect = "replayable") {
  Settings s = settings(effect);
  s["tier"] = "1";
  return s;
}

// Endpoints 1..n, long up; the zone is the id's last bit.
inline std::vector<ListedEndpoint> endpoints(unsigned n) {
  std::vector<ListedEndpoint> out;
  for (unsigned i = 1; i <= n; ++i) {
    ListedEndpoint e;
    e.id = i;
    e.zone = static_cast<std::uint16_t>(i & 1U);
    out.push_back(e);
  }
  return out;
}

struct Bench {
  explicit Bench(unsigned n, const Settings& s = settings()) : balancer(s, 7, at(0)) {
    balancer.on_endpoint_list(ListKind::full, endpoints(n), at(0));
  }
  Answer call(CallId id, double when, std::uint32_t track = 0, double left = 4000) {
    return balancer.on_call({id, track, Span::ms(left), false}, at(when));
  }
  std::vector<Answer> end(const Answer& dispatch, Outcome outcome, double when, double elapsed = 100) {
    DispatchEnd e;
    e.call = dispatch.call;
    e.endpoint = dispatch.endpoint;
    e.number = dispatch.number;
    e.call_over = outcome == Outcome::done;
    e.outcome = outcome;
    e.elapsed = Span::ms(elapsed);
    const Answers got = balancer.on_dispatch_end(e, at(when));
    return {got.begin(), got.end()};
  }
  // n calls that are each done in `elapsed`, one after another, ending at `when`
  void history(int n, double elapsed, double when) {
    for (int i = 0; i < n; ++i) end(call(900000U + next++, when - elapsed), Outcome::done, when, elapsed);
  }
  Balancer balancer;
  CallId next = 0;
};

inline const Answer* find(const std::vector<Answer>& answers, Verdict v) {
  for (const Answer& a : answers) {
    if (a.verdict == v) return &a;
  }
  return nullptr;
}

// --- Sockets -----------------------------------------------------------------------------------------

inline const char* no_environment(const char*) { return nullptr; }

inline std::string list_text(const std::string& endpoint, const std::string& state = "SERVING",
                             int version = 1) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":"s-1","addr":")" +
         endpoint + R"(","zone":"a","cell":0,"state":")" + state + R"(","weight":1.0,"started_ms":0}]})";
}

// As the platform writes it. Two tracks: "plan" is replayable, "sale" single-use.
inline std::string config_text(const std::string& discovery = "127.0.0.1:2",
                               const std::string& endpoint = "127.0.0.1:3") {
  const auto track = [](const std::string& name, const std::string& effect) {
    return R"({"name":")" + name +
           R"(","target_ms":1000,"give_up_ms":4000,"points":1,"late_share":0,"effect":")" + effect +
           R"(","key_scope":"all","memory_span_ms":5000})";
  };
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"8c1f","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
         list_text(endpoint) +
         R"(,"settings":{"tier":0,"n_instances":1,"discovery":"automatic","zone":"b","zones":["a","b"],)"
         R"("allowed":{"probes":false,"cancel":true,"may_duplicate":false,"retry_after":true,)"
         R"("max_retry_after_ms":2000,"max_attempts":4,"connect_timeout_ms":250,"idle_close_ms":10000},)"
         R"("rules":{"cold_share":0.1,"fall_multiple":3,"fall_ms":1500,"warm_after_ms":20000},"classes":[)" +
         track("plan", "safe") + "," + track("sale", "unsafe") + "]}}";
}

inline const std::string get_ready = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

inline std::string request_text(const std::string& id, const std::string& track,
                                const std::string& wait = "4000m", const std::string& body = "abc") {
  const std::string head = " /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
                           "\r\nX-Priority-Class: " + track + "\r\nX-Timeout: " + wait + "\r\n";
  if (track == "plan") return "GET" + head + "\r\n";
  return "POST" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string answer_text(const std::string& body, const std::string& status = "200 OK",
                               const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// The other end of a connection. Never waits.
class Peer {
 public:
  explicit Peer(int fd = -1) : fd_(fd) {}
  Peer(Peer&& o) noexcept : heard(std::move(o.heard)), ended(o.ended), fd_(std::exchange(o.fd_, -1)) {}
  Peer& operator=(Peer&& o) noexcept {
    leave();
    heard = std::move(o.heard);
    ended = o.ended;
    fd_ = std::exchange(o.fd_, -1);
    return *this;
  }
  ~Peer() { leave(); }
  static Peer to(const sockaddr_in& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    return Peer(fd);
  }
  bool there() const { return fd_ >= 0; }
  void say(std::string_view text) {
    EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  std::size_t push(std::string_view text) {  // as much as goes
    return static_cast<std::size_t>(
        std::max<ssize_t>(0, ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL)));
  }
  Peer& hear() {
    char room[4096];
    ssize_t n = 0;
    while ((n = ::recv(fd_, room, sizeof room, MSG_DONTWAIT)) > 0)
      heard.append(room, static_cast<std::size_t>(n));
    ended = ended || n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return *this;
  }
  bool has(std::string_view text) { return hear().heard.find(text) != std::string::npos; }
  bool over() { return hear().ended; }
  void reset() {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    leave();
  }
  void leave() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  std::string heard;
  bool ended = false;

 private:
  int fd_;
};

class Port {
 public:
  explicit Port(int backlog = 128) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof any), 0);
    EXPECT_EQ(::listen(fd_, backlog), 0);
    socklen_t size = sizeof at;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  }
  ~Port() { close(); }
  std::string text() const { return "127.0.0.1:" + std::to_string(ntohs(at.sin_port)); }
  int descriptor() const { return fd_; }
  // Takes the next connection into `peer`, if there is one.
  bool take(Peer& peer) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd >= 0) peer = Peer(fd);
    return fd >= 0;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  sockaddr_in at{};

 private:
  int fd_;
};

struct Loop {
  net::Scheduler scheduler;
  net::Waker waker{scheduler};
  net::Timer tick{scheduler, waker, net::Waker::own};

  // Runs until it is so; false when that takes more than five seconds.
  template <class What>
  bool until(What what) {
    const auto late = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!what()) {
      if (std::chrono::steady_clock::now() > late) return false;
      tick.set(scheduler.now() + Span::ms(1));
      scheduler.turn();
    }
    return true;
  }
};

// A sidecar with one endpoint and discovery, both played by the test.
struct SidecarBench : Loop {
  explicit SidecarBench(const std::string& from = "1024", const std::string& to = "1024") {
    std::string text = config_text(discovery.text(), endpoint.text());
    const std::size_t found = text.find(from);
    EXPECT_NE(found, std::string::npos) << from;
    sidecar = std::make_unique<sidecar::Sidecar>(
        scheduler, config::read(text.replace(found, from.size(), to), no_environment));
    sidecar->listen();
  }
  Peer caller() { return Peer::to(*sidecar->address()); }
  // A caller whose request has come to `served`, on a new connection there.
  Peer call(const std::string& request, Peer& served) {
    Peer out = caller();
    out.say(request);
    EXPECT_TRUE(until([&] { return endpoint.take(served); }));
    EXPECT_TRUE(until([&] { return served.has("\r\n\r\n"); }));
    return out;
  }
  // Whether it comes to that answer.
  bool hears(Peer& peer, std::string_view text) {
    return until([&] { return peer.has(text); });
  }
  Port discovery, endpoint;
  std::unique_ptr<sidecar::Sidecar> sidecar;
};

}  // namespace chutevane
