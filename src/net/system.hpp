/// The operating system as src/net uses it: time, readiness, sockets, signals. Nothing above src/net calls
/// it.
///
/// Two classes implement it: Epoll, on this machine, and a simulated process on a simulated clock and network
/// under a seed. Descriptors are the implementation's numbers, 0 or above. Calls that fail return a negative
/// errno. Nothing here throws, and only wait() blocks.
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
  /// Events of a descriptor; the values are the Waker's bits.
  static constexpr std::uint32_t readable = 1, writable = 2, hung_up = 4;
  struct Event {
    std::uint64_t tag = 0;  ///< as given to watch()
    std::uint32_t bits = 0;
  };

  virtual ~System() = default;
  /// Microseconds of Unix time, monotonic: no step of the system's clock moves a deadline.
  virtual TimePoint now() const = 0;
  /// Blocks until there is an event, or for `most`, rounded up to a millisecond. Returns the number of
  /// events.
  virtual std::size_t wait(std::span<Event> into, Span most) = 0;
  /// Reports changes of readiness from now on, edge-triggered, beginning with the present state.
  virtual bool watch(int fd, std::uint64_t tag) = 0;
  virtual void unwatch(int fd) = 0;

  // Non-blocking TCP sockets over IPv4.
  /// A descriptor; the connection may still be in progress.
  virtual int connect(const sockaddr_in& to) = 0;
  /// 0 once the connection is established.
  virtual int connect_error(int fd) = 0;
  virtual int listen(const sockaddr_in& at) = 0;
  virtual void backlog(int fd, int most) = 0;
  virtual int accept(int fd) = 0;
  /// The number of bytes; 0: the peer has ended.
  virtual long receive(int fd, std::span<char> into) = 0;
  /// As receive() for one byte, without consuming it.
  virtual long peek(int fd) = 0;
  virtual long send(int fd, std::span<const char> from) = 0;
  /// How long the last byte, or the first, of what was read last was in flight: known in simulations, else
  /// zero.
  virtual Span way(int, bool /*of_first*/) const { return Span(); }
  virtual std::optional<sockaddr_in> local(int fd) const = 0;
  virtual std::optional<sockaddr_in> peer(int fd) const = 0;
  virtual void end_writing(int fd) = 0;
  virtual void close(int fd, bool with_reset) = 0;

  /// The process's signals as a descriptor that becomes readable; their handlers are not called any more.
  virtual int open_signals(std::initializer_list<int> numbers) = 0;
  /// 0: none has come.
  virtual int next_signal(int fd) = 0;
  /// Raises the limit on descriptors as far as it may; returns the limit.
  virtual std::size_t descriptors(std::size_t wanted) = 0;
};

}  // namespace chutevane::net
