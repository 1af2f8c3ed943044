#include "ctl/wire.hpp"

#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <memory>
#include <thread>

#include "http/parser.hpp"
#include "http/writer.hpp"
#include "net/buffer.hpp"

namespace chutevane::ctl {
namespace {

// Over a configuration of 8 MiB, the most that a sidecar takes, with what JSON may add to it.
constexpr http::Limits answer_limits{.head = 64 * 1024, .body = 16U << 20U, .fields = 100};
constexpr std::size_t read_most = 64 * 1024;  // bytes at a time

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  const int fd_;
};

struct Waits {
  MachineClock clock;
  Span silence;
  TimePoint end;
  // Waits for one of these events. False: it stayed silent for too long, or the time is over.
  bool for_event(int fd, short events) {
    const TimePoint until = std::min(end, clock.now() + silence);
    while (true) {
      const double left = (until - clock.now()).as_ms();
      if (left <= 0) return false;
      pollfd one{fd, events, 0};
      const int got = ::poll(&one, 1, static_cast<int>(std::ceil(left)));
      if (got > 0) return true;
      if (got < 0 && errno != EINTR) return false;
    }
  }
};

using Found = std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)>;

Found look_up(const std::string& host, const std::string& port, std::string& why) {
  addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICSERV;
  addrinfo* out = nullptr;
  const int got = ::getaddrinfo(host.c_str(), port.c_str(), &hints, &out);
  if (got != 0) why = ::gai_strerror(got);
  return {got == 0 ? out : nullptr, &::freeaddrinfo};
}

int connected(const addrinfo* at, Waits& waits, std::string& why) {
  for (; at != nullptr; at = at->ai_next) {
    const int fd = ::socket(at->ai_family, at->ai_socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      why = std::strerror(errno);
      continue;
    }
    int error = ::connect(fd, at->ai_addr, at->ai_addrlen) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
      socklen_t size = sizeof error;
      if (!waits.for_event(fd, POLLOUT)) {
        error = ETIMEDOUT;
      } else if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
      }
    }
    if (error == 0) return fd;
    why = std::strerror(error);
    ::close(fd);
  }
  return -1;
}

std::string request_text(const std::string& address, const Ask& ask) {
  net::Buffer out;
  http::Writer writer(out);
  writer.request_line(ask.method, ask.target).field("Host", address).field("Connection", "close");
  for (const auto& [name, value] : ask.fields) writer.field(name, value);
  if (ask.method == "GET") {
    writer.no_body();
  } else {
    writer.body(ask.body);
  }
  return {out.bytes().data(), out.size()};
}

}  // namespace

void split_address(const std::string& address, std::string& host, std::string& port) {
  const std::size_t colon = address.rfind(':');
  host = address.substr(0, colon);
  port = colon == std::string::npos ? "" : address.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
}

absl::StatusOr<Answer> Wire::exchange(const std::string& address, const Ask& ask, Span silence, Span most) {
  Waits waits{{}, silence, {}};
  waits.end = waits.clock.now() + most;
  std::string host, port, why;
  split_address(address, host, port);
  const Found found = look_up(host, port, why);
  const Descriptor fd(found ? connected(found.get(), waits, why) : -1);
  if (fd.get() < 0) return absl::NotFoundError(address + ": no connection: " + why);

  const auto broken = [&](const std::string& what) { return absl::UnavailableError(address + ": " + what); };
  const std::string request = request_text(address, ask);
  for (std::string_view rest = request; !rest.empty();) {
    const ssize_t put = ::send(fd.get(), rest.data(), rest.size(), MSG_NOSIGNAL);
    if (put >= 0) {
      rest.remove_prefix(static_cast<std::size_t>(put));
    } else if (errno == EAGAIN) {
      if (!waits.for_event(fd.get(), POLLOUT)) return broken("took no more of the request");
    } else if (errno != EINTR) {
      break;  // an answer may have come before it was read whole, such as a 413
    }
  }
  http::Parser parser(http::Side::response, answer_limits);
  std::string in;
  std::array<char, read_most> room;
  bool over = false;
  while (!over) {
    const ssize_t got = ::recv(fd.get(), room.data(), room.size(), 0);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0 && errno == EAGAIN) {
      if (!waits.for_event(fd.get(), POLLIN))
        return broken(in.empty() ? "silent" : "silent within its answer");
      continue;
    }
    // A body without a length would pass for whole.
    if (got < 0) return broken(in.empty() ? "broken off" : "broken off within its answer");
    over = got == 0;
    if (got > 0) in.append(room.data(), static_cast<std::size_t>(got));
    if (over && in.empty()) return broken("closed without an answer");
    http::Progress progress = parser.feed(std::span<char>(in), over);
    while (progress == http::Progress::complete && parser.status() >= 100 && parser.status() < 200) {
      in.erase(0, parser.size());
      parser.reset();
      progress = in.empty() && !over ? http::Progress::more : parser.feed(std::span<char>(in), over);
    }
    if (progress == http::Progress::failed) return broken("no HTTP: " + std::string(parser.error()));
    if (progress == http::Progress::more && !over && waits.clock.now() < waits.end) continue;
    if (progress != http::Progress::complete) return broken("ended within its answer");
    Answer out;
    out.status = parser.status();
    out.body = parser.body();
    for (std::size_t i = 0; i < parser.fields(); ++i)
      out.fields.emplace_back(parser.field(i).name, parser.field(i).value);
    return out;
  }
  return broken("ended within its answer");
}

TimePoint MachineClock::now() {
  using namespace std::chrono;
  return TimePoint() + Span::us(duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count());
}

void MachineClock::pause(Span span) { std::this_thread::sleep_for(std::chrono::microseconds(span.as_us())); }

}  // namespace chutevane::ctl
