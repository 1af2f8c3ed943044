// The one owner of a descriptor: it is watched from open() on, and given back in close() alone.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/buffer.hpp"
#include "net/scheduler.hpp"

namespace chutevane::net {

// "a.b.c.d:port"
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string text_of(const sockaddr_in& address);

class Socket {
 public:
  enum class Result { some, later, ended, broken };

  Socket(Scheduler& scheduler, Waker& waker) : scheduler_(scheduler), waker_(waker) {}
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool open() const { return fd_ >= 0; }
  int descriptor() const { return fd_; }  // stays this one's
  void adopt(int fd);                     // takes over a descriptor that does not block
  bool connect(const sockaddr_in& to);    // begins; `writable` or `hung_up` tells how it went
  bool connected() const;                 // after `writable`: whether it came up
  void listen(const sockaddr_in& at);     // throws std::system_error
  void backlog(int most);                 // connections that may come up and wait to be accepted, from now on
  int accept(bool& exhausted);            // a descriptor, or -1; `exhausted`: no descriptors are left
  // What there is; of much a part, at most about so many bytes, and `readable` stays set.
  Result read(Buffer& into, std::size_t most = 16 * 1024);
  // Reads and throws away; counts what there was. False: no more will come.
  bool discard(Buffer& room, std::size_t& bytes);
  Result write(std::span<const char> bytes, std::size_t& written);
  bool quiet() const;      // nothing to read, not ended either
  bool has_bytes() const;  // there is something to read
  Span way(bool of_first = false) const { return scheduler_.system().way(fd_, of_first); }  // see System
  std::optional<sockaddr_in> local() const;
  std::optional<sockaddr_in> peer() const;
  void end_writing();  // the peer reads to the end of what was written
  void reset();        // ends the connection with a reset, whatever is still on its way
  void close();

 private:
  void release(bool with_reset);
  Scheduler& scheduler_;
  Waker& waker_;
  int fd_ = -1;
  std::uint32_t source_ = 0;
};

}  // namespace chutevane::net
