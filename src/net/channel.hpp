// One TCP connection that tells its owner what comes: bytes in, bytes out, its end.
//
// The sink may close the channel from inside any call, but must not destroy it there: owners live in a
// TaskGroup, or put them aside until a later turn.
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
  class Observer {
   public:
    virtual void on_channel_open(Channel&) {}     // a connection that was asked for stands
    virtual void on_channel_data(Channel&) = 0;   // in() has more
    virtual void on_channel_flushed(Channel&) {}  // all that was written has gone out
    virtual void on_channel_closed(
        Channel&) = 0;  // no more will come, nothing goes out; told once, unless closed

   protected:
    ~Observer() = default;
  };

  Channel(Scheduler& scheduler, Observer& sink);
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
  // Bytes, or the peer's end, have arrived that the sink has not been told of yet.
  bool unread() const { return open() && !socket_.quiet(); }
  // Reads no more until told so: the peer is held up.
  void set_reading_paused(bool held);
  void close_when_flushed();  // ends once all is out
  // Ends the writing side once all is out, and reads on until the peer has ended too: closing with bytes
  // unread, or before they come, would be a reset that takes back what the peer has not received yet
  // (RFC 9112, 9.6). The owner discards what comes and bounds the time.
  void shutdown_write_when_flushed();
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
  Observer& sink_;
  Buffer in_, out_;
  bool up_ = false, held_ = false, last_ = false, last_written_ = false;
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
