/// Remote procedure calls between the system's own processes over long-lived TCP connections.
///
/// RpcClient connects, and reconnects with backoff; RpcServer accepts connections. They exchange frames
/// (common/frame.hpp): requests, which have one reply each, and notifications, which have none. Calls are
/// never retried: a call without a reply may have been executed.
///
/// Everything runs on the scheduler's thread. Callbacks run inside the scheduler's turn; they may start calls
/// and close connections, but must not destroy the RpcClient or RpcServer that calls them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "common/avro.hpp"
#include "common/frame.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::common {

class RpcClient final : net::Channel::Observer {
 public:
  /// Receives the encoded reply, which is valid during the call, or an error.
  using ReplyCallback = std::function<void(absl::StatusOr<std::string_view>)>;
  using MessageCallback = std::function<void(std::uint8_t kind, std::string_view record)>;

  /// Starts connecting immediately. `seed` makes the jitter of the backoff differ between clients.
  /// `scheduler` and `timers` must outlive this object.
  RpcClient(net::Scheduler& scheduler, net::TimerQueue& timers, const sockaddr_in& to, std::uint64_t seed);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  const sockaddr_in& to() const { return to_; }
  /// Returns true while a connection is established.
  bool up() const { return channel_ && channel_->up(); }
  /// Returns the number of bytes that were written but not yet sent.
  std::size_t unsent() const { return channel_ ? channel_->unsent() : 0; }
  /// Sets the callback for each time a connection is established.
  void on_up(std::function<void()> callback) { on_up_ = std::move(callback); }
  /// Sets the callback for each time an established connection is lost. It runs after the connection's calls
  /// have failed.
  void on_down(std::function<void()> callback) { on_down_ = std::move(callback); }
  /// Sets the callback for notifications from the server.
  void on_message(MessageCallback callback) { on_message_ = std::move(callback); }

  /// Sends a request. `done` is called exactly once, unless the client is destroyed first: with the reply, or
  /// with Unavailable (the connection was lost), DeadlineExceeded (no reply within `timeout`) or DataLoss
  /// (the reply cannot be decoded). A failed call may nevertheless have been executed. A request made before
  /// the connection is established is sent once it is, within its timeout.
  template <class Reply, class M>
  void call(const M& message, Span timeout, std::function<void(absl::StatusOr<Reply>)> done) {
    call_raw(M::kind, encoded(message), timeout,
             [done = std::move(done)](absl::StatusOr<std::string_view> record) {
               if (!record.ok()) return done(record.status());
               Reply reply;
               if (!decode(*record, reply)) return done(absl::DataLossError("the reply cannot be decoded"));
               done(std::move(reply));
             });
  }
  /// Sends a notification, or drops it if no connection is established.
  template <class M>
  void send(const M& message) {
    if (up()) write_frame(M::kind, frame::MessageType::notification, 0, encoded(message));
  }
  /// Returns the time since bytes were last received, or since the connection attempt began. Used to detect a
  /// peer that is gone without having closed the connection.
  Span time_since_receive() const { return timers_.now() - received_at_; }
  /// Resets the connection, fails its calls and connects again after the backoff.
  void reconnect();

 private:
  struct Call {
    std::uint8_t kind = 0;
    std::string record;  // encoded request; empty once it has been sent
    ReplyCallback done;
    net::TimerQueue::Handle timeout;
    TimePoint started_at;
  };

  void call_raw(std::uint8_t kind, std::string record, Span timeout, ReplyCallback done);
  void on_timeout(std::uint64_t number);
  void on_reply(std::uint64_t number, std::string_view record);
  void write_frame(std::uint8_t kind, frame::MessageType type, std::uint64_t number, std::string_view record);
  void connect();
  void schedule_reconnect();
  void fail_pending_calls();
  void on_channel_open(net::Channel&) override;
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const sockaddr_in to_;
  std::unique_ptr<net::Channel> channel_;
  // Closed, but destroyed only at the next connection attempt: its coroutine may be running.
  std::unique_ptr<net::Channel> closed_channel_;
  net::TimerQueue::Handle retry_timer_, connect_timeout_timer_;
  Span backoff_;
  std::uint64_t random_, last_number_ = 0;
  TimePoint received_at_;
  std::map<std::uint64_t, Call> calls_;  // by call number
  std::function<void()> on_up_, on_down_;
  MessageCallback on_message_;
};

class RpcServer {
 public:
  /// One accepted connection, owned by the server. It is destroyed soon after it is closed: to reply later,
  /// store its id() and call find().
  class Connection final : net::Channel::Observer {
   public:
    explicit Connection(RpcServer& server);
    /// Sends the reply to a request. `number` is the call number that was passed to the handler.
    template <class M>
    void reply(std::uint64_t number, const M& message) {
      write_frame(M::kind, frame::MessageType::reply, number, encoded(message));
    }
    /// Sends a notification.
    template <class M>
    void send(const M& message) {
      send_record(M::kind, encoded(message));
    }
    /// Sends an encoded notification. Used to encode a notification once for several connections.
    void send_record(std::uint8_t kind, std::string_view record) {
      write_frame(kind, frame::MessageType::notification, 0, record);
    }
    void close();
    std::uint64_t id() const { return id_; }
    /// Returns the number of bytes that were written but not yet sent.
    std::size_t unsent() const { return channel_.unsent(); }
    std::size_t group_index = 0;  ///< belongs to the server's TaskGroup

   private:
    friend class RpcServer;
    void write_frame(std::uint8_t kind, frame::MessageType type, std::uint64_t number,
                     std::string_view record);
    void on_channel_data(net::Channel&) override;
    void on_channel_closed(net::Channel&) override;
    RpcServer& rpc_server_;
    net::Channel channel_;
    std::uint64_t id_;
  };
  /// `number` is the call number for the reply, or 0 for a notification.
  using Handler = std::function<void(Connection&, std::uint64_t number, std::string_view record)>;

  explicit RpcServer(net::Scheduler& scheduler);
  /// Throws std::system_error if the address cannot be bound.
  void listen(const sockaddr_in& at);
  /// Sets the handler for requests and notifications of type M, at most one for each type. Records that
  /// cannot be decoded, and kinds without a handler, are dropped: the call fails by its timeout.
  template <class M>
  void on(std::function<void(Connection&, std::uint64_t number, M& message)> handler) {
    handlers_[M::kind] = [handler = std::move(handler)](Connection& connection, std::uint64_t number,
                                                        std::string_view record) {
      M message;
      if (decode(record, message)) handler(connection, number, message);
    };
  }
  /// Sets the callback that is called once for each connection that has ended.
  void on_close(std::function<void(Connection&)> callback) { on_close_ = std::move(callback); }
  /// Returns the connection with that id, or nullptr if it has ended.
  Connection* find(std::uint64_t id) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second;
  }

 private:
  net::Scheduler& scheduler_;
  net::Listener listener_;
  std::unordered_map<std::uint8_t, Handler> handlers_;  // by record kind
  std::function<void(Connection&)> on_close_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Connection*> connections_;  // by id
  net::TaskGroup<Connection> tasks_;
};

}  // namespace chutevane::common
