/// The HTTP server on real sockets: each reply reaches its own request, on one connection or many and in any
/// order of the replies, and is dropped if the connection is closed.
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
using chutevane::common::ShedCause;
using chutevane::http::Parser;

namespace {

/// A server whose replies are triggered by the test, by the target of the request.
struct TestServer {
  TestServer() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server.listen(at);
  }
  void turn(const std::function<bool()>& done) {
    const auto end = scheduler.now() + Span::ms(3000);
    while (!done() && scheduler.now() < end) {
      timers.after(Span::ms(2), [] {});
      scheduler.turn();
    }
  }
  bool has_request(const std::string& target) {
    turn([&] { return pending.contains(target); });
    return pending.contains(target);
  }
  void reply_to(const std::string& target) { pending.at(target)({200, "to " + target, {}}); }

  chutevane::net::Epoll system;
  chutevane::net::Scheduler scheduler{system};
  chutevane::net::TimerQueue timers{scheduler};
  std::map<std::string, HttpServer::Reply> pending;
  std::size_t requests = 0;
  bool reply_immediately = false;
  HttpServer server{
      scheduler, "test", {.body_bytes = 1U << 20U}, [this](const Parser& request, HttpServer::Reply reply) {
        ++requests;
        const std::string target(request.target());
        if (reply_immediately) return reply({200, "to " + target, {}});
        pending[target] = std::move(reply);
      }};
};

class Connection {
 public:
  explicit Connection(TestServer& server)
      : server_(server), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in at = *server.server.address();
    CHECK_EQUAL(0, ::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at));
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void send_request(const std::string& target) { send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"); }
  void send(const std::string& text) {
    CHECK_EQUAL(static_cast<ssize_t>(text.size()), ::write(fd_, text.data(), text.size()));
  }
  /// Returns the bodies of `count` responses. No more bytes may follow them.
  std::vector<std::string> receive_bodies(std::size_t count) {
    std::vector<std::string> out;
    server_.turn([&] {
      read();
      while (const auto body = next_body()) out.push_back(*body);
      return out.size() >= count;
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
  TestServer& server_;
  int fd_;
  std::string in_;
};

std::string target(std::size_t i) { return numbered("/order/", static_cast<long long>(i)); }

}  // namespace

TEST_GROUP(HttpServerReplies) { TestServer server; };

TEST(HttpServerReplies, EightConnectionsWithRepliesInAnyOrder) {
  std::vector<std::unique_ptr<Connection>> connections;
  for (std::size_t i = 0; i < 8; ++i) {
    connections.push_back(std::make_unique<Connection>(server));
    connections.back()->send_request(target(i));
  }
  for (std::size_t i = 0; i < 8; ++i) CHECK_TRUE(server.has_request(target(i)));
  for (const std::size_t i : {5U, 0U, 7U, 2U, 1U, 6U, 4U, 3U}) server.reply_to(target(i));
  for (std::size_t i = 0; i < 8; ++i) {
    const auto received = connections[i]->receive_bodies(1);
    CHECK_EQUAL(static_cast<std::size_t>(1), received.size());
    STRCMP_EQUAL(("to " + target(i)).c_str(), received[0].c_str());
  }
}

// Requests on one connection are handled one after another.
TEST(HttpServerReplies, EightOnOneConnection) {
  Connection connection(server);
  for (std::size_t i = 0; i < 8; ++i) connection.send_request(target(i));
  for (std::size_t i = 0; i < 8; ++i) {
    CHECK_TRUE(server.has_request(target(i)));
    CHECK_EQUAL(i + 1, server.requests);
    server.reply_to(target(i));
  }
  const auto received = connection.receive_bodies(8);
  CHECK_EQUAL(static_cast<std::size_t>(8), received.size());
  for (std::size_t i = 0; i < 8; ++i) STRCMP_EQUAL(("to " + target(i)).c_str(), received[i].c_str());
}

// Guards against recursion for each of many pipelined requests that are replied to synchronously.
TEST(HttpServerReplies, ThousandsOfSynchronousReplies) {
  server.reply_immediately = true;
  Connection connection(server);
  for (std::size_t i = 0; i < 3000; ++i) connection.send_request(target(i));
  const auto received = connection.receive_bodies(3000);
  CHECK_EQUAL(static_cast<std::size_t>(3000), received.size());
  STRCMP_EQUAL(("to " + target(2999)).c_str(), received.back().c_str());
}

// The connection is closed before its reply. The next connection, which may have the same descriptor, must
// receive only its own reply.
TEST(HttpServerReplies, AReplyToAClosedConnectionIsDropped) {
  auto gone = std::make_unique<Connection>(server);
  gone->send_request(target(1));
  CHECK_TRUE(server.has_request(target(1)));
  gone->close();
  Connection next(server);
  next.send_request(target(2));
  CHECK_TRUE(server.has_request(target(2)));
  server.reply_to(target(1));
  server.reply_to(target(2));
  const auto received = next.receive_bodies(1);
  CHECK_EQUAL(static_cast<std::size_t>(1), received.size());
  STRCMP_EQUAL(("to " + target(2)).c_str(), received[0].c_str());
}

// A second reply to a request must not become the reply to the next request.
TEST(HttpServerReplies, ASecondReplyIsDropped) {
  Connection connection(server);
  connection.send_request(target(1));
  connection.send_request(target(2));
  CHECK_TRUE(server.has_request(target(1)));
  server.reply_to(target(1));
  CHECK_TRUE(server.has_request(target(2)));
  server.reply_to(target(1));
  server.reply_to(target(2));
  const auto received = connection.receive_bodies(2);
  CHECK_EQUAL(static_cast<std::size_t>(2), received.size());
  STRCMP_EQUAL(("to " + target(1)).c_str(), received[0].c_str());
  STRCMP_EQUAL(("to " + target(2)).c_str(), received[1].c_str());
}

// What follows a request that was refused is not taken for the next request. Guards against a server that
// answers the same bytes again and again.
TEST(HttpServerReplies, WhatFollowsARefusedRequestIsDropped) {
  for (const char* refused :
       {"POST /a HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", "no request\r\n\r\n"}) {
    Connection connection(server);
    connection.send(refused + std::string(64 * 1024, 'x'));
    CHECK_TRUE(connection.receive_bodies(1).size() == 1);
    Connection other(server);
    other.send_request(target(1));
    CHECK_TRUE(server.has_request(target(1)));
    server.reply_to(target(1));
    CHECK_TRUE(other.receive_bodies(1).size() == 1);
    server.pending.clear();
  }
  CHECK_EQUAL(static_cast<std::size_t>(3), server.requests);
}

// A body that stops short gives way to the next one when the budget is full, and its client is told so.
TEST(HttpServerReplies, AnIncompleteBodyGivesWayWhenMemoryIsFull) {
  constexpr std::size_t body = 100 * 1024;  // bytes
  server.scheduler.buffer_budget().set_limit(body + body / 2);
  Connection stalled(server);
  stalled.send("POST /a HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(body, 'x'));
  server.turn([&] { return server.scheduler.buffer_budget().bytes() > body; });
  Connection next(server);
  next.send("POST /b HTTP/1.1\r\nContent-Length: 102400\r\n\r\n" + std::string(body, 'x'));
  CHECK_TRUE(server.has_request("/b"));
  server.reply_to("/b");
  CHECK_TRUE(next.receive_bodies(1).size() == 1);
  const auto received = stalled.receive_bodies(1);
  CHECK_TRUE(received.size() == 1 && received[0] == "too much is being received");
  CHECK_EQUAL(static_cast<std::uint64_t>(1), server.server.connections().shed_count(ShedCause::memory));
}
