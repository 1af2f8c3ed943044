#include "net/epoll.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>

namespace chutevane::net {
namespace {

constexpr std::size_t batch = 256;  // events taken in one turn

std::int64_t us_of(std::chrono::nanoseconds t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
}

int new_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

// Small messages go out at once.
void no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int fail(int fd) {
  const int error = errno;
  if (fd >= 0) ::close(fd);
  return -error;
}

long result(ssize_t got) { return got >= 0 ? static_cast<long>(got) : -static_cast<long>(errno); }

}  // namespace

Epoll::Epoll()
    : ahead_us_(us_of(std::chrono::system_clock::now().time_since_epoch()) -
                us_of(std::chrono::steady_clock::now().time_since_epoch())),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Epoll::~Epoll() { ::close(epoll_); }

TimePoint Epoll::now() const {
  return TimePoint() + Span::us(us_of(std::chrono::steady_clock::now().time_since_epoch()) + ahead_us_);
}

std::size_t Epoll::wait(std::span<Event> into, Span most) {
  std::array<epoll_event, batch> events;
  const int n = ::epoll_wait(epoll_, events.data(), static_cast<int>(std::min(batch, into.size())),
                             static_cast<int>(most.as_ms() + 0.999));
  for (int i = 0; i < n; ++i) {
    const epoll_event& e = events[static_cast<std::size_t>(i)];
    std::uint32_t bits = 0;
    if ((e.events & EPOLLIN) != 0) bits |= readable;
    if ((e.events & EPOLLOUT) != 0) bits |= writable;
    if ((e.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) bits |= hung_up | readable;
    into[static_cast<std::size_t>(i)] = {e.data.u64, bits};
  }
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool Epoll::watch(int fd, std::uint64_t tag) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = tag;
  return ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) == 0;
}

void Epoll::unwatch(int fd) { ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); }

int Epoll::connect(const sockaddr_in& to) {
  const int fd = new_socket();
  if (fd < 0) return -errno;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
    return fail(fd);
  no_delay(fd);
  return fd;
}

int Epoll::connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

int Epoll::listen(const sockaddr_in& at) {
  const int fd = new_socket();
  if (fd < 0) return -errno;
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, SOMAXCONN) != 0)
    return fail(fd);
  return fd;
}

void Epoll::backlog(int fd, int most) { ::listen(fd, most); }

int Epoll::accept(int fd) {
  const int got = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (got < 0) return -errno;
  no_delay(got);
  return got;
}

long Epoll::receive(int fd, std::span<char> into) { return result(::recv(fd, into.data(), into.size(), 0)); }

long Epoll::peek(int fd) {
  char byte = 0;
  return result(::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT));
}

long Epoll::send(int fd, std::span<const char> from) {
  return result(::send(fd, from.data(), from.size(), MSG_NOSIGNAL));
}

std::optional<sockaddr_in> Epoll::local(int fd) const {
  sockaddr_in out{};
  socklen_t size = sizeof out;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&out), &size) != 0) return std::nullopt;
  return out;
}

std::optional<sockaddr_in> Epoll::peer(int fd) const {
  sockaddr_in out{};
  socklen_t size = sizeof out;
  if (::getpeername(fd, reinterpret_cast<sockaddr*>(&out), &size) != 0) return std::nullopt;
  return out;
}

void Epoll::end_writing(int fd) { ::shutdown(fd, SHUT_WR); }

void Epoll::close(int fd, bool with_reset) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  if (with_reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(fd);
}

int Epoll::open_signals(std::initializer_list<int> numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (const int n : numbers) sigaddset(&set, n);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  const int fd = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  return fd < 0 ? -errno : fd;
}

int Epoll::next_signal(int fd) {
  signalfd_siginfo info{};
  return ::read(fd, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

std::size_t Epoll::descriptors(std::size_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  limit.rlim_cur = std::max(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, wanted));
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, 1U << 30U));
}

}  // namespace chutevane::net
