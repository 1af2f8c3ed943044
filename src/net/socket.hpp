/// A non-blocking TCP socket, the only owner of its descriptor: watched from connect(), listen() or adopt()
/// on, and closed in close() or reset() alone.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/buffer.hpp"
#include "net/scheduler.hpp"

namespace chutevane::net {

/// Reads "a.b.c.d:port"; nothing where the text is something else.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string text_of(const sockaddr_in& address);

class Socket {
 public:
  /// The outcome of a read or write.
  enum class Result {
    some,    ///< bytes were moved
    later,   ///< would block: wait for `readable` or `writable`
    ended,   ///< the peer has ended its side
    broken,  ///< the connection has failed
  };

  Socket(Scheduler& scheduler, Waker& waker) : scheduler_(scheduler), waker_(waker) {}
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool open() const { return fd_ >= 0; }
  /// Still owned by the socket.
  int descriptor() const { return fd_; }
  /// Takes ownership of a non-blocking descriptor.
  void adopt(int fd);
  /// Begins to connect; `writable` or `hung_up` tells that it has ended. False: there is no descriptor for
  /// it.
  bool connect(const sockaddr_in& to);
  /// After `writable`: whether the connection was established.
  bool connected() const;
  /// Throws std::system_error.
  void listen(const sockaddr_in& at);
  /// Limits the connections that wait to be accepted, from now on.
  void backlog(int max_pending);
  /// A descriptor, which the caller owns, or -1; `exhausted`: no descriptors are left.
  int accept(bool& exhausted);
  /// Appends what has arrived, up to about `most` bytes; `readable` stays set where more is left.
  Result read(Buffer& into, std::size_t most = 16 * 1024);
  /// Reads and drops what has arrived, adding its size to `bytes`. False: no more will come.
  bool discard(Buffer& room, std::size_t& bytes);
  Result write(std::span<const char> bytes, std::size_t& written);
  /// Nothing has arrived, neither bytes nor the peer's end.
  bool quiet() const;
  /// There are bytes to read.
  bool has_bytes() const;
  Span way(bool of_first = false) const { return scheduler_.system().way(fd_, of_first); }  // see System
  std::optional<sockaddr_in> local() const;
  std::optional<sockaddr_in> peer() const;
  /// Half-closes: the peer reads to the end of what was written.
  void end_writing();
  /// Closes with a reset: what is in flight is lost.
  void reset();
  void close();

 private:
  void release(bool with_reset);
  Scheduler& scheduler_;
  Waker& waker_;
  int fd_ = -1;
  std::uint32_t source_ = 0;
};

}  // namespace chutevane::net
