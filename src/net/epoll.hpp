// The machine itself as a System: epoll, sockets, signalfd, the steady clock.
#pragma once

#include "net/system.hpp"

namespace chutevane::net {

class Epoll final : public System {
 public:
  Epoll();  // throws std::system_error
  ~Epoll() override;
  Epoll(const Epoll&) = delete;
  Epoll& operator=(const Epoll&) = delete;

  TimePoint now() const override;
  std::size_t wait(std::span<Event> into, Span most) override;
  bool watch(int fd, std::uint64_t tag) override;
  void unwatch(int fd) override;
  int connect(const sockaddr_in& to) override;
  int connect_error(int fd) override;
  int listen(const sockaddr_in& at) override;
  void backlog(int fd, int most) override;
  int accept(int fd) override;
  long receive(int fd, std::span<char> into) override;
  long peek(int fd) override;
  long send(int fd, std::span<const char> from) override;
  std::optional<sockaddr_in> local(int fd) const override;
  std::optional<sockaddr_in> peer(int fd) const override;
  void end_writing(int fd) override;
  void close(int fd, bool with_reset) override;
  int open_signals(std::initializer_list<int> numbers) override;
  int next_signal(int fd) override;
  std::size_t descriptors(std::size_t wanted) override;

 private:
  const std::int64_t ahead_us_;  // of Unix time over the steady clock, as this was made
  int epoll_ = -1;
};

}  // namespace chutevane::net
