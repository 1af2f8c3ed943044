// The operators' port on real sockets: each answer goes to the call that it belongs to, on one connection or
// many, whatever order the answers come in, and nowhere where the caller has gone.
#include "common/http_server.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/epoll.hpp"
#include "net/scheduler.hpp"
#include "net/timer_queue.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::common::HttpResponse;
using chutevane::common::HttpServer;
using chutevane::http::Parser;

namespace {

// A port whose answers are given when the test says so, by the target of the call.
struct Port {
  Port() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    port.listen(at);
  }
  void turn(const std::function<bool()>& enough) {
    const auto end = scheduler.now() + Span::ms(3000);
    while (!enough() && scheduler.now() < end) {
      later.after(Span::ms(2), [] {});
      scheduler.turn();
    }
  }
  bool came(const std::string& target) {
    turn([&] { return waiting.contains(target); });
    return waiting.contains(target);
  }
  void answer(const std::string& target) { waiting.at(target)({200, "to " + target, {}}); }

  chutevane::net::Epoll system;
  chutevane::net::Scheduler scheduler{system};
  chutevane::net::TimerQueue later{scheduler};
  std::map<std::string, HttpServer::Reply> waiting;
  std::size_t asked = 0;
  bool at_once = false;
  HttpServer port{scheduler, 1U << 20U, [this](const Parser& request, HttpServer::Reply reply) {
                    ++asked;
                    const std::string target(request.target());
                    if (at_once) return reply({200, "to " + target, {}});
                    waiting[target] = std::move(reply);
                  }};
};

class Caller {
 public:
  explicit Caller(Port& port) : port_(port), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in at = *port.port.address();
    CHECK_EQUAL(0, ::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at));
  }
  ~Caller() { close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void ask(const std::string& target) {
    const std::string text = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
    CHECK_EQUAL(static_cast<ssize_t>(text.size()), ::write(fd_, text.data(), text.size()));
  }
  // So many answers, by their bodies, and nothing more.
  std::vector<std::string> hear(std::size_t answers) {
    std::vector<std::string> out;
    port_.turn([&] {
      read();
      while (const auto body = next_body()) out.push_back(*body);
      return out.size() >= answers;
    });
    CHECK_TRUE(in_.empty());
    return out;
  }

 private:
  void read() {
    pollfd one{fd_, POLLIN, 0};
    char bytes[4096];
    while (::poll(&one, 1, 0) == 1) {
      const ssize_t n = ::read(fd_, bytes, sizeof bytes);
      if (n <= 0) return;
      in_.append(bytes, static_cast<std::size_t>(n));
    }
  }
  std::optional<std::string> next_body() {
    Parser parser(chutevane::http::Side::response, {});
    std::string copy = in_;
    if (parser.feed(copy) != chutevane::http::Progress::complete) return std::nullopt;
    std::string body(parser.body());
    in_.erase(0, parser.size());
    return body;
  }
  Port& port_;
  int fd_;
  std::string in_;
};

std::string target(std::size_t i) { return numbered("/order/", static_cast<long long>(i)); }

}  // namespace

TEST_GROUP(OperatorPort) { Port port; };

TEST(OperatorPort, EightConnectionsAnsweredInAnyOrder) {
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<Caller>(port));
    callers.back()->ask(target(i));
  }
  for (std::size_t i = 0; i < 8; ++i) CHECK_TRUE(port.came(target(i)));
  for (const std::size_t i : {5U, 0U, 7U, 2U, 1U, 6U, 4U, 3U}) port.answer(target(i));
  for (std::size_t i = 0; i < 8; ++i) {
    const auto heard = callers[i]->hear(1);
    CHECK_EQUAL(static_cast<std::size_t>(1), heard.size());
    STRCMP_EQUAL(("to " + target(i)).c_str(), heard[0].c_str());
  }
}

// On one connection they are handled one after the other.
TEST(OperatorPort, EightOnOneConnection) {
  Caller caller(port);
  for (std::size_t i = 0; i < 8; ++i) caller.ask(target(i));
  for (std::size_t i = 0; i < 8; ++i) {
    CHECK_TRUE(port.came(target(i)));
    CHECK_EQUAL(i + 1, port.asked);
    port.answer(target(i));
  }
  const auto heard = caller.hear(8);
  CHECK_EQUAL(static_cast<std::size_t>(8), heard.size());
  for (std::size_t i = 0; i < 8; ++i) STRCMP_EQUAL(("to " + target(i)).c_str(), heard[i].c_str());
}

// Thousands that wait in one buffer, each answered at once: no deeper for the last than for the first.
TEST(OperatorPort, ThousandsAnsweredAtOnce) {
  port.at_once = true;
  Caller caller(port);
  for (std::size_t i = 0; i < 3000; ++i) caller.ask(target(i));
  const auto heard = caller.hear(3000);
  CHECK_EQUAL(static_cast<std::size_t>(3000), heard.size());
  STRCMP_EQUAL(("to " + target(2999)).c_str(), heard.back().c_str());
}

// The caller has gone before its answer: the next connection, also one of the same descriptor, gets its own
// alone.
TEST(OperatorPort, AnAnswerToOneThatHasGoneGoesNowhere) {
  auto gone = std::make_unique<Caller>(port);
  gone->ask(target(1));
  CHECK_TRUE(port.came(target(1)));
  gone->close();
  Caller next(port);
  next.ask(target(2));
  CHECK_TRUE(port.came(target(2)));
  port.answer(target(1));
  port.answer(target(2));
  const auto heard = next.hear(1);
  CHECK_EQUAL(static_cast<std::size_t>(1), heard.size());
  STRCMP_EQUAL(("to " + target(2)).c_str(), heard[0].c_str());
}

// An answer that is given twice does not become the answer to the call behind it.
TEST(OperatorPort, ASecondAnswerGoesNowhere) {
  Caller caller(port);
  caller.ask(target(1));
  caller.ask(target(2));
  CHECK_TRUE(port.came(target(1)));
  port.answer(target(1));
  CHECK_TRUE(port.came(target(2)));
  port.answer(target(1));
  port.answer(target(2));
  const auto heard = caller.hear(2);
  CHECK_EQUAL(static_cast<std::size_t>(2), heard.size());
  STRCMP_EQUAL(("to " + target(1)).c_str(), heard[0].c_str());
  STRCMP_EQUAL(("to " + target(2)).c_str(), heard[1].c_str());
}
