/// A TCP connection with callbacks: bytes that have arrived, bytes that have gone out, its end.
///
/// Call order: connect() or adopt() once; then on_channel_open() (after connect() only), on_channel_data()
/// and on_channel_flushed() any number of times, and on_channel_closed() at most once. After close() or
/// reset() no callback follows.
///
/// An observer may close the channel from inside any callback, but must not destroy it there, since the
/// channel's coroutine is running: owners live in a TaskGroup, or set the channel aside until a later turn of
/// the scheduler.
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
  /// What a channel tells its owner.
  class Observer {
   public:
    /// connect() has succeeded.
    virtual void on_channel_open(Channel&) {}
    /// in() has more bytes.
    virtual void on_channel_data(Channel&) = 0;
    /// The socket has taken so many bytes that had to wait.
    virtual void on_channel_progress(Channel&, std::size_t /*bytes*/) {}
    /// All that was written has gone out.
    virtual void on_channel_flushed(Channel&) {}
    /// The connection has ended or failed: nothing more arrives or goes out. Called once, and not after
    /// close().
    virtual void on_channel_closed(Channel&) = 0;

   protected:
    ~Observer() = default;
  };

  /// `scheduler` and `observer` must outlive the channel.
  Channel(Scheduler& scheduler, Observer& observer);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Takes ownership of the descriptor of an established connection.
  void adopt(int fd);
  /// Begins to connect. False: there is no descriptor for it, and no callback will follow.
  [[nodiscard]] bool connect(const sockaddr_in& to);

  /// Bytes that have arrived; the observer consumes them.
  Buffer& in() { return in_; }
  std::size_t in_size() const { return in_.size(); }
  /// Memory of both buffers, in bytes.
  std::size_t held_bytes() const { return in_.capacity() + out_.capacity(); }
  /// Bytes that are to go out; call flush() after appending.
  Buffer& out() { return out_; }
  void write(std::string_view bytes) {
    out_.append(bytes);
    flush();
  }
  /// Writes what the socket takes at once; the rest follows by itself.
  void flush();
  /// Bytes that have not gone out yet.
  std::size_t unsent() const { return out_.size(); }
  bool open() const { return socket_.open(); }
  /// Established, and not closed since.
  bool up() const { return up_ && open(); }
  /// Nothing has arrived that was not consumed, the peer's end included.
  bool quiet() const { return in_.empty() && socket_.quiet(); }
  /// Bytes, or the peer's end, have arrived that the observer has not been told of yet.
  bool unread() const { return open() && !socket_.quiet(); }
  /// While paused nothing is read, so that TCP's flow control stops the peer.
  void set_reading_paused(bool paused);
  /// Limits the bytes that are read before the observer is told, about. The default suits a peer that is owed
  /// attention; less suits one that sends ahead of its turn.
  void set_read_quota(std::size_t bytes) { read_quota_ = bytes; }
  static constexpr std::size_t default_read_quota =
      64 * 1024;  // bytes in one turn: other connections have theirs
  /// Closes once all bytes have gone out; on_channel_closed() follows.
  void close_when_flushed();
  /// Ends the writing side once all bytes have gone out, and goes on reading until the peer has ended too.
  /// Closing with unread bytes would be a reset, which discards what the peer has not received yet (RFC
  /// 9112, 9.6). The owner consumes what arrives and limits the time.
  void shutdown_write_when_flushed();
  void close() { end(false); }
  /// Closes with a reset: what is in flight is lost.
  void reset() { end(true); }
  std::optional<sockaddr_in> peer() const { return socket_.peer(); }

 private:
  static constexpr Waker::Bits state_changed = Waker::own, ended = Waker::own << 1U;

  Task run(bool connecting);
  bool finish_connect();
  bool write_step();
  bool read_step();
  bool write_pending();
  void read_rest();
  void end(bool with_reset);
  void fail();

  Waker waker_;
  Socket socket_;
  Observer& observer_;
  Buffer in_, out_;
  std::size_t read_quota_ = default_read_quota;
  bool up_ = false, reading_paused_ = false, close_when_flushed_ = false,
       shutdown_write_when_flushed_ = false;
  Task task_;  // last: its frame refers to the members above
};

/// Accepts connections on one address and hands their descriptors over. While no descriptor is left, it tries
/// again in intervals: no event tells of one that has become free.
class Listener {
 public:
  /// `on_accept` gets the ownership of the descriptor.
  Listener(Scheduler& scheduler, std::function<void(int fd)> on_accept);
  /// Throws std::system_error where the address cannot be bound.
  void listen(const sockaddr_in& at);
  void close() { socket_.close(); }
  /// The bound address: tells the port where port 0 was asked for.
  std::optional<sockaddr_in> address() const { return socket_.local(); }

 private:
  Task run();
  static constexpr Waker::Bits retry_due = Waker::own;
  Waker waker_;
  Timer retry_;
  Socket socket_;
  std::function<void(int)> on_accept_;
  Scheduler& scheduler_;
  Task task_;
};

}  // namespace chutevane::net
