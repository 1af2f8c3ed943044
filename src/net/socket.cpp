#include "net/socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>

namespace chutevane::net {
namespace {

constexpr std::size_t min_read_space = 4096;  // bytes of room for one read: a common message whole

bool later(long result) { return result == -EAGAIN || result == -EWOULDBLOCK; }

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

std::string text_of(const sockaddr_in& address) {
  char room[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, room, sizeof room);
  return std::string(room) + ":" + std::to_string(ntohs(address.sin_port));
}

void Socket::adopt(int fd) {
  close();
  fd_ = fd;
  source_ = scheduler_.watch(fd, waker_);
}

bool Socket::connect(const sockaddr_in& to) {
  const int fd = scheduler_.system().connect(to);
  if (fd >= 0) adopt(fd);
  return fd >= 0;
}

bool Socket::connected() const { return scheduler_.system().connect_error(fd_) == 0; }

void Socket::listen(const sockaddr_in& at) {
  const int fd = scheduler_.system().listen(at);
  if (fd < 0) throw std::system_error(-fd, std::generic_category(), "listen");
  adopt(fd);
}

void Socket::backlog(int max_pending) { scheduler_.system().backlog(fd_, max_pending); }

int Socket::accept(bool& exhausted) {
  exhausted = false;
  while (true) {
    const int fd = scheduler_.system().accept(fd_);
    if (fd >= 0) return fd;
    if (later(fd)) return -1;
    exhausted = fd == -EMFILE || fd == -ENFILE || fd == -ENOBUFS || fd == -ENOMEM;
    if (exhausted || fd == -EBADF || fd == -EINVAL) return -1;
    // Anything else is that one connection's failure.
  }
}

Socket::Result Socket::read(Buffer& into, std::size_t most) {
  bool any = false;
  const std::size_t before = into.size();
  while (into.size() - before < most) {
    std::span<char> room = into.room(std::min(min_read_space, most));
    // A buffer that has grown for one large message must not take in many at once.
    room = room.first(std::min(room.size(), std::max(most, min_read_space)));
    const long got = scheduler_.system().receive(fd_, room);
    if (got > 0) {
      into.added(static_cast<std::size_t>(got));
      any = true;
      if (static_cast<std::size_t>(got) < room.size()) return Result::some;
    } else if (got == 0) {
      return any ? Result::some : Result::ended;
    } else if (got != -EINTR) {
      if (any) return Result::some;
      // Hung up and nothing to read is the end: guards against a reader that asks again and again.
      return later(got) && !waker_.has(Waker::hung_up) ? Result::later : Result::broken;
    }
  }
  waker_.set(Waker::readable);
  return Result::some;
}

bool Socket::discard(Buffer& room, std::size_t& bytes) {
  if (!open()) return false;
  const Result result = read(room);
  bytes += room.size();
  room.consume(room.size());
  return result == Result::some || result == Result::later;
}

Socket::Result Socket::write(std::span<const char> bytes, std::size_t& written) {
  written = 0;
  while (written < bytes.size()) {
    const long put = scheduler_.system().send(fd_, bytes.subspan(written));
    if (put >= 0) {
      written += static_cast<std::size_t>(put);
    } else if (put != -EINTR) {
      return later(put) ? Result::later : Result::broken;
    }
  }
  return Result::some;
}

bool Socket::quiet() const { return later(scheduler_.system().peek(fd_)); }

bool Socket::has_bytes() const { return scheduler_.system().peek(fd_) > 0; }

std::optional<sockaddr_in> Socket::local() const { return scheduler_.system().local(fd_); }

std::optional<sockaddr_in> Socket::peer() const { return scheduler_.system().peer(fd_); }

void Socket::end_writing() { scheduler_.system().end_writing(fd_); }

void Socket::reset() { release(true); }

void Socket::close() { release(false); }

void Socket::release(bool with_reset) {
  if (fd_ < 0) return;
  scheduler_.unwatch(fd_, source_);
  scheduler_.system().close(fd_, with_reset);
  fd_ = -1;
}

}  // namespace chutevane::net
