/// The transport over loopback: against a peer that is scripted byte by byte, and against a real control
/// sidecar.
#include "ctl/http_transport.hpp"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "common/configuration.hpp"
#include "common/log.hpp"
#include "common/memory_disk.hpp"
#include "control/control_plane.hpp"
#include "ctl/run.hpp"
#include "scripted_control.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

namespace {

/// Listens on a free port of loopback.
class Listening {
 public:
  Listening() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    static_cast<void>(::bind(fd_, reinterpret_cast<sockaddr*>(&at), size));
    ::listen(fd_, 8);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  ~Listening() { close(); }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int accept() const { return ::accept(fd_, nullptr, nullptr); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  int port = 0;

 private:
  int fd_;
};

/// Accepts one connection, reads the header of a request, writes these pieces, and closes.
class Peer {
 public:
  explicit Peer(std::vector<std::string> pieces, bool stays_silent = false, bool resets = false)
      : thread_([this, pieces = std::move(pieces), stays_silent, resets] {
          const int fd = listening.accept();
          char c = 0;
          while (received.find("\r\n\r\n") == std::string::npos && ::read(fd, &c, 1) == 1) received += c;
          for (const std::string& piece : pieces) (void)!::write(fd, piece.data(), piece.size());
          if (stays_silent) {
            // Until the client has closed.
            while (::read(fd, &c, 1) > 0) {
            }
          }
          if (resets) {
            // Once what was written is there.
            const linger at_once{1, 0};
            int unsent = 1;
            while (::ioctl(fd, SIOCOUTQ, &unsent) == 0 && unsent > 0) std::this_thread::yield();
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
          }
          ::close(fd);
        }) {}
  ~Peer() { join(); }
  void join() {
    if (thread_.joinable()) thread_.join();
  }
  Listening listening;
  std::string received;

 private:
  std::thread thread_;
};

constexpr Span second = Span::ms(1000);

}  // namespace

TEST_GROUP(http_transport) {
  HttpTransport transport;
  absl::StatusOr<ctl::Response> send(Peer & peer, const Request& request = {"GET", "/x"},
                                     Span idle = second) {
    auto out = transport.exchange(peer.listening.address(), request, {idle, Span::ms(5000)});
    peer.join();
    return out;
  }
};

TEST(http_transport, a_response_in_any_two_pieces) {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
  for (std::size_t at = 1; at < whole.size(); at += 7) {
    Peer peer({whole.substr(0, at), whole.substr(at)});
    const auto got = send(peer);
    CHECK(got.ok());
    LONGS_EQUAL(200, got->status);
    STRCMP_EQUAL("hello", got->body.c_str());
    STRCMP_EQUAL("b", got->find("x-a")->c_str());
  }
}

TEST(http_transport, chunks_a_body_without_length_and_an_interim_response) {
  Peer chunked({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"});
  STRCMP_EQUAL("abcde", send(chunked)->body.c_str());
  Peer open_end({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "rest"});
  STRCMP_EQUAL("rest", send(open_end)->body.c_str());
  Peer interim({"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"});
  LONGS_EQUAL(204, send(interim)->status);
}

TEST(http_transport, the_request_is_complete) {
  Peer peer({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
  CHECK(send(peer, {"POST", "/v1/x", {{"X-Base", "5"}}, "body"}).ok());
  CHECK(peer.received.starts_with("POST /v1/x HTTP/1.1\r\n"));
  for (const std::string& line :
       {"Host: " + peer.listening.address(), std::string("X-Base: 5"), std::string("Content-Length: 4")})
    CHECK(peer.received.find("\r\n" + line + "\r\n") != std::string::npos);
}

TEST(http_transport, an_incomplete_response_is_an_error) {
  for (const std::string text :
       {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
        "nonsense\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}) {
    Peer peer({text});
    const auto got = send(peer);
    CHECK_TRUE_TEXT(absl::IsUnavailable(got.status()), text.c_str());
    CHECK(std::string(got.status().message()).starts_with(peer.listening.address()));
  }
}

// Without a length only an orderly end says that a body is whole.
TEST(http_transport, a_reset_within_a_body_is_no_end) {
  Peer peer({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "half"}, false, true);
  CHECK(absl::IsUnavailable(send(peer).status()));
}

TEST(http_transport, an_idle_timeout_ends_it) {
  Peer peer({"HTTP/1.1 200 OK\r\n"}, true);
  const auto got = send(peer, {"GET", "/x"}, Span::ms(30));
  CHECK(absl::IsUnavailable(got.status()));
  CHECK(got.status().message().find("silent") != std::string::npos);
}

TEST(http_transport, a_missing_connection_is_reported_as_such) {
  Listening gone;
  const std::string address = gone.address();
  gone.close();
  CHECK(absl::IsNotFound(transport.exchange(address, {"GET", "/x"}, {second, second}).status()));
}

TEST(http_transport, addresses_are_split) {
  const HostAndPort numeric = split_address("[::1]:80");
  STRCMP_EQUAL("::1", numeric.host.c_str());
  STRCMP_EQUAL("80", numeric.port.c_str());
  STRCMP_EQUAL("core-1.example", split_address("core-1.example:8144").host.c_str());
}

// A lone controller, a majority of itself, driven in a thread of its own.
TEST(http_transport, against_a_control_sidecar) {
  Listening control, inner;
  common::ProcessSettings settings;
  settings.node = "core-1";
  settings.ip = "127.0.0.1";
  settings.zone = "z";
  settings.initial_start = true;
  settings.first_port = static_cast<std::uint16_t>(inner.port);
  settings.last_port = static_cast<std::uint16_t>(inner.port + 1);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(control.port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  settings.control = at;
  settings.seeds = {at};
  const std::string address = control.address();
  control.close();
  inner.close();
  std::atomic<bool> opened = false, over = false;
  std::thread sidecar([&] {
    net::Scheduler scheduler;
    control::ControlPlane plane(scheduler, settings, std::make_unique<common::MemoryDisk>());
    opened = plane.open().ok();
    while (opened && !over) scheduler.turn();
  });
  std::ostringstream out, err;
  SystemClock clock;
  const auto run = [&](const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    Environment environment{out, err, transport, clock, address, "0"};
    return ctl::run(arguments, environment);
  };
  const auto has = [&](const std::string& part) { return out.str().find(part) != std::string::npos; };
  const TemporaryFile first(configuration_3);
  std::string text = configuration_3;
  text.replace(text.find("6000"), 4, "7000");
  const TemporaryFile other(text);
  text.replace(text.find(":3,"), 3, ":8,");
  const TemporaryFile later(text);
  const std::string hash = common::hash_text(common::hash_of(configuration_3));

  const int history_of_none = run({"config", "history", "--json"});
  const bool none_told = has(R"({"taken":[],"version":0})");
  const int put = run({"config", "put", first.path(), "--base", "0"});
  const int again = run({"config", "put", first.path(), "--base", "0"});
  const int not_above = run({"config", "put", other.path()});
  const bool is_400 = err.str().find(": 400: ") != std::string::npos;
  const int wrong_base = run({"config", "put", later.path(), "--base", "1"});
  const bool is_412 = err.str().find(": 412: ") != std::string::npos;
  const int diff = run({"config", "diff", later.path()});
  const int put_later = run({"config", "put", later.path()});
  const int got = run({"config", "get"});
  const bool same = out.str() == text;
  const int history = run({"config", "history"});
  const bool told =
      has("3        " + hash) && has("8        " + common::hash_text(common::hash_of(text)) + "  in force");
  // Unclear (3) at first: a control machine that has just started does not know who is there.
  const std::vector<std::string> retire_nobody = {"retire", "start", "nobody", "--deadline-s", "1"};
  int unknown = 3;
  for (int tries = 0; tries < 10 && unknown == 3; ++tries) unknown = run(retire_nobody);
  const int status = run({"status"});
  over = true;
  sidecar.join();
  CHECK(opened);
  LONGS_EQUAL(0, history_of_none);
  CHECK(none_told);
  LONGS_EQUAL(0, put);
  LONGS_EQUAL(0, again);
  LONGS_EQUAL(1, not_above);
  CHECK(is_400);
  LONGS_EQUAL(1, wrong_base);
  CHECK(is_412);
  LONGS_EQUAL(1, diff);
  LONGS_EQUAL(0, put_later);
  LONGS_EQUAL(0, got);
  CHECK(same);
  LONGS_EQUAL(0, history);
  CHECK(told);
  LONGS_EQUAL(1, unknown);
  LONGS_EQUAL(0, status);
}
