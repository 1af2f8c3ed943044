// What net/ asks of the machine below it: time, readiness, sockets, signals. Nothing above net/ sees it.
//
// Two implement it: Epoll, the machine itself, and a simulated process (src/network_simulation), on a clock and a
// network of its own under a seed. Descriptors are the implementation's numbers, not below 0. What fails
// returns a negative errno; nothing here throws or blocks but wait().
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>

#include "chutevane/types.hpp"

namespace chutevane::net {

class System {
 public:
  // What a descriptor tells; the values are the Waker's.
  static constexpr std::uint32_t readable = 1, writable = 2, hung_up = 4;
  struct Event {
    std::uint64_t tag = 0;  // as it was watched with
    std::uint32_t bits = 0;
  };

  virtual ~System() = default;
  // Microseconds of Unix time that only move forward: no step of the system's clock moves a deadline.
  virtual TimePoint now() const = 0;
  // Waits until something has changed, at most so long, rounded up to a millisecond; the number of events.
  virtual std::size_t wait(std::span<Event> into, Span most) = 0;
  // Changes are told once each (edge-triggered), beginning with how it is now.
  virtual bool watch(int fd, std::uint64_t tag) = 0;
  virtual void unwatch(int fd) = 0;

  // Sockets that do not block, over IPv4 and TCP.
  virtual int connect(const sockaddr_in& to) = 0;  // a descriptor, perhaps before it has come up
  virtual int connect_error(int fd) = 0;           // 0 once it has come up
  virtual int listen(const sockaddr_in& at) = 0;
  virtual void backlog(int fd, int most) = 0;
  virtual int accept(int fd) = 0;
  virtual long receive(int fd, std::span<char> into) = 0;  // 0: the peer has ended
  virtual long peek(int fd) = 0;                           // as receive(), of one byte that stays
  virtual long send(int fd, std::span<const char> from) = 0;
  // How long the last byte of what was read last had been on its way, or its first, where that is known: in a
  // world.
  virtual Span way(int, bool /*of_first*/) const { return Span(); }
  virtual std::optional<sockaddr_in> local(int fd) const = 0;
  virtual std::optional<sockaddr_in> peer(int fd) const = 0;
  virtual void end_writing(int fd) = 0;
  virtual void close(int fd, bool with_reset) = 0;

  // The process's signals as a descriptor that becomes readable; from here on no handler gets them.
  virtual int open_signals(std::initializer_list<int> numbers) = 0;
  virtual int next_signal(int fd) = 0;  // 0: none has come
  // Asks for so many descriptors, and tells how many there are.
  virtual std::size_t descriptors(std::size_t wanted) = 0;
};

}  // namespace chutevane::net
