// One TCP connection that tells its owner what comes: bytes in, bytes out, its end.
//
// The sink may close the channel from inside any call, but must not destroy it there: owners live in a Crew,
// or put them aside until a later turn.
#pragma once

#include <functional>
#include <string_view>

#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::net {

class Channel {
 public:
  class Sink {
   public:
    virtual void channel_up(Channel&) {}       // a connection that was asked for stands
    virtual void channel_came(Channel&) = 0;   // in() has more
    virtual void channel_drained(Channel&) {}  // all that was written has gone out
    virtual void channel_gone(Channel&) = 0;  // no more will come, nothing goes out; told once, unless closed

   protected:
    ~Sink() = default;
  };

  Channel(Scheduler& scheduler, Sink& sink);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Once each: takes over a connection that stands, or asks for one. False: there is no descriptor for it.
  void adopt(int fd);
  bool connect(const sockaddr_in& to);

  Buffer& in() { return in_; }
  std::size_t in_size() const { return in_.size(); }
  Buffer& out() { return out_; }  // flush() after appending
  void write(std::string_view bytes) {
    out_.append(bytes);
    flush();
  }
  void flush();
  std::size_t unsent() const { return out_.size(); }
  bool open() const { return socket_.open(); }
  bool up() const { return up_ && open(); }
  bool quiet() const { return in_.empty() && socket_.quiet(); }
  // Reads no more until told so: the peer is held up.
  void hold(bool held);
  void end_when_written();  // ends once all is out
  void close() { end(false); }
  void reset() { end(true); }
  std::optional<sockaddr_in> peer() const { return socket_.peer(); }

 private:
  static constexpr Waker::Bits stirred = Waker::own, ended = Waker::own << 1U;
  Task run(bool connecting);
  bool push_out();
  void read_rest();
  void end(bool with_reset);
  void gone();

  Waker waker_;
  Socket socket_;
  Sink& sink_;
  Buffer in_, out_;
  bool up_ = false, held_ = false, last_ = false;
  Task task_;
};

// Accepts connections on one address.
class Listener {
 public:
  Listener(Scheduler& scheduler, std::function<void(int fd)> taken);
  void listen(const sockaddr_in& at);  // throws std::system_error
  void close() { socket_.close(); }
  std::optional<sockaddr_in> address() const { return socket_.local(); }

 private:
  Task run();
  Waker waker_;
  Socket socket_;
  std::function<void(int)> taken_;
  Task task_;
};

}  // namespace chutevane::net
