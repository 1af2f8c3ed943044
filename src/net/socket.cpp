#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

namespace chutevane::net {
namespace {

constexpr std::size_t read_least = 4096;      // bytes of room for one read: a common message whole
constexpr std::size_t read_most = 16 * 1024;  // bytes at a time: no peer fills the memory or the turn

bool later(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      ::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &out.sin_addr) != 1)
    return std::nullopt;
  return out;
}

void Socket::adopt(int fd) {
  close();
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fd_ = fd;
  source_ = scheduler_.watch(fd, waker_);
}

bool Socket::connect(const sockaddr_in& to) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const int got = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (got != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return false;
  }
  adopt(fd);
  return true;
}

bool Socket::connected() const {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

void Socket::listen(const sockaddr_in& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, SOMAXCONN) != 0) {
    const int error = errno;
    ::close(fd);
    throw std::system_error(error, std::generic_category(), "listen");
  }
  adopt(fd);
}

void Socket::backlog(int most) { ::listen(fd_, most); }

int Socket::accept(bool& exhausted) {
  exhausted = false;
  while (true) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) return fd;
    if (later(errno)) return -1;
    exhausted = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (exhausted || errno == EBADF || errno == EINVAL) return -1;
    // Anything else is that one connection's trouble.
  }
}

Socket::Result Socket::read(Buffer& into) {
  bool any = false;
  const std::size_t before = into.size();
  while (into.size() - before < read_most) {
    const std::span<char> room = into.room(read_least);
    const ssize_t got = ::recv(fd_, room.data(), room.size(), 0);
    if (got > 0) {
      into.added(static_cast<std::size_t>(got));
      any = true;
      if (static_cast<std::size_t>(got) < room.size()) return Result::some;
    } else if (got == 0) {
      return any ? Result::some : Result::ended;
    } else if (errno != EINTR) {
      if (any) return Result::some;
      // Hung up and nothing to read is the end: guards against a reader that asks again and again.
      return later(errno) && !waker_.has(Waker::hung_up) ? Result::later : Result::broken;
    }
  }
  waker_.set(Waker::readable);
  return Result::some;
}

Socket::Result Socket::write(std::span<const char> bytes, std::size_t& written) {
  written = 0;
  while (written < bytes.size()) {
    const ssize_t put = ::send(fd_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (put >= 0) {
      written += static_cast<std::size_t>(put);
    } else if (errno != EINTR) {
      return later(errno) ? Result::later : Result::broken;
    }
  }
  return Result::some;
}

bool Socket::quiet() const {
  char byte = 0;
  return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && later(errno);
}

bool Socket::has_bytes() const {
  char byte = 0;
  return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::optional<sockaddr_in> Socket::local() const {
  sockaddr_in out{};
  socklen_t size = sizeof out;
  if (::getsockname(fd_, reinterpret_cast<sockaddr*>(&out), &size) != 0) return std::nullopt;
  return out;
}

std::optional<sockaddr_in> Socket::peer() const {
  sockaddr_in out{};
  socklen_t size = sizeof out;
  if (::getpeername(fd_, reinterpret_cast<sockaddr*>(&out), &size) != 0) return std::nullopt;
  return out;
}

void Socket::end_writing() { ::shutdown(fd_, SHUT_WR); }

void Socket::reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void Socket::close() {
  if (fd_ < 0) return;
  scheduler_.unwatch(fd_, source_);
  ::close(fd_);
  fd_ = -1;
}

}  // namespace chutevane::net
