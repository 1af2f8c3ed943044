#include "ctl/http_transport.hpp"

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

// A configuration may have 8 MiB in a sidecar; JSON may add to it.
constexpr http::Limits response_limits{.head = 64 * 1024, .body = 16U << 20U, .fields = 100};
constexpr std::size_t receive_size = 64 * 1024;  // bytes at a time

/// Owns a file descriptor.
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

/// The time that is left to an exchange.
class Deadline {
 public:
  explicit Deadline(ExchangeLimits limits) : idle_(limits.idle), end_(clock_.now() + limits.total) {}
  bool is_over() { return clock_.now() >= end_; }
  /// False: the event did not come in time.
  bool wait_for(int fd, short events) {
    const TimePoint until = std::min(end_, clock_.now() + idle_);
    while (true) {
      const double left_ms = (until - clock_.now()).as_ms();
      if (left_ms <= 0) return false;
      pollfd polled{fd, events, 0};
      const int ready = ::poll(&polled, 1, static_cast<int>(std::ceil(left_ms)));
      if (ready > 0) return true;
      if (ready < 0 && errno != EINTR) return false;
    }
  }

 private:
  SystemClock clock_;
  Span idle_;
  TimePoint end_;
};

using AddressList = std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)>;

/// Empty: `error` says why.
AddressList resolve(const HostAndPort& address, std::string& error) {
  addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICSERV;
  addrinfo* out = nullptr;
  const int code = ::getaddrinfo(address.host.c_str(), address.port.c_str(), &hints, &out);
  if (code != 0) error = ::gai_strerror(code);
  return {code == 0 ? out : nullptr, &::freeaddrinfo};
}

/// 0, or the errno of the failure.
int finish_connecting(int fd, Deadline& deadline) {
  if (!deadline.wait_for(fd, POLLOUT)) return ETIMEDOUT;
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

/// A socket that is connected to the first address that accepts; -1: `error` says why the last one did not.
int connect_to_any(const addrinfo* address, Deadline& deadline, std::string& error) {
  for (; address != nullptr; address = address->ai_next) {
    const int fd = ::socket(address->ai_family, address->ai_socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      error = std::strerror(errno);
      continue;
    }
    int code = ::connect(fd, address->ai_addr, address->ai_addrlen) == 0 ? 0 : errno;
    if (code == EINPROGRESS) code = finish_connecting(fd, deadline);
    if (code == 0) return fd;
    error = std::strerror(code);
    ::close(fd);
  }
  return -1;
}

std::string request_text(const std::string& address, const Request& request) {
  net::Buffer out;
  http::Writer writer(out);
  writer.request_line(request.method, request.target).field("Host", address).field("Connection", "close");
  for (const auto& [name, value] : request.fields) writer.field(name, value);
  if (request.method == "GET") {
    writer.no_body();
  } else {
    writer.body(request.body);
  }
  return {out.bytes().data(), out.size()};
}

/// Sends the text, or as much as the peer accepts: a connection that is broken off may still have a response,
/// such as a 413. False: the peer accepted nothing for too long.
bool send_request(int fd, std::string_view text, Deadline& deadline) {
  while (!text.empty()) {
    const ssize_t sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      text.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN) {
      if (!deadline.wait_for(fd, POLLOUT)) return false;
    } else if (errno != EINTR) {
      break;
    }
  }
  return true;
}

Response response_of(const http::Parser& parser) {
  Response out;
  out.status = parser.status();
  out.body = parser.body();
  for (std::size_t i = 0; i < parser.fields(); ++i)
    out.fields.emplace_back(parser.field(i).name, parser.field(i).value);
  return out;
}

/// Appends what comes next to `in`. False: the peer has closed the connection in good order.
absl::StatusOr<bool> receive_some(int fd, Deadline& deadline, std::string& in) {
  std::array<char, receive_size> chunk;
  while (true) {
    const ssize_t received = ::recv(fd, chunk.data(), chunk.size(), 0);
    if (received > 0) in.append(chunk.data(), static_cast<std::size_t>(received));
    if (received >= 0) return received > 0;
    if (errno == EINTR) continue;
    const char* const where = in.empty() ? "" : " within its answer";
    // An error is no end: a body without a length would pass for complete.
    if (errno != EAGAIN) return absl::UnavailableError(std::string("broken off") + where);
    if (!deadline.wait_for(fd, POLLIN)) return absl::UnavailableError(std::string("silent") + where);
  }
}

/// Parses what has come, and removes interim responses (1xx) from it.
http::Progress parse_final_response(http::Parser& parser, std::string& in, bool is_closed) {
  http::Progress progress = parser.feed(std::span<char>(in), is_closed);
  while (progress == http::Progress::complete && parser.status() >= 100 && parser.status() < 200) {
    in.erase(0, parser.size());
    parser.reset();
    progress = in.empty() && !is_closed ? http::Progress::more : parser.feed(std::span<char>(in), is_closed);
  }
  return progress;
}

/// Reads one response. The messages of its errors do not name the address.
absl::StatusOr<Response> receive_response(int fd, Deadline& deadline) {
  http::Parser parser(http::Side::response, response_limits);
  std::string in;
  while (true) {
    const auto is_open = receive_some(fd, deadline, in);
    if (!is_open.ok()) return is_open.status();
    if (!*is_open && in.empty()) return absl::UnavailableError("closed without an answer");
    const http::Progress progress = parse_final_response(parser, in, !*is_open);
    if (progress == http::Progress::complete) return response_of(parser);
    if (progress == http::Progress::failed)
      return absl::UnavailableError("no HTTP: " + std::string(parser.error()));
    if (!*is_open || deadline.is_over()) return absl::UnavailableError("ended within its answer");
  }
}

}  // namespace

HostAndPort split_address(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  HostAndPort out{address.substr(0, colon), colon == std::string::npos ? "" : address.substr(colon + 1)};
  const std::string& host = out.host;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    out.host = host.substr(1, host.size() - 2);
  return out;
}

absl::StatusOr<Response> HttpTransport::exchange(const std::string& address, const Request& request,
                                                 ExchangeLimits limits) {
  Deadline deadline(limits);
  std::string error;
  const AddressList addresses = resolve(split_address(address), error);
  const Descriptor fd(addresses ? connect_to_any(addresses.get(), deadline, error) : -1);
  if (fd.get() < 0) return absl::NotFoundError(address + ": no connection: " + error);
  if (!send_request(fd.get(), request_text(address, request), deadline))
    return absl::UnavailableError(address + ": took no more of the request");
  absl::StatusOr<Response> response = receive_response(fd.get(), deadline);
  if (response.ok()) return response;
  return absl::UnavailableError(address + ": " + std::string(response.status().message()));
}

TimePoint SystemClock::now() {
  using namespace std::chrono;
  return TimePoint() + Span::us(duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count());
}

void SystemClock::sleep(Span span) { std::this_thread::sleep_for(std::chrono::microseconds(span.as_us())); }

}  // namespace chutevane::ctl
