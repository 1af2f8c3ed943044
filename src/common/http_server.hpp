/// An HTTP/1.1 server for operators, readiness checks and metrics, not for client traffic.
///
/// Each request is handled once it has arrived completely; responses have bodies of known length. Everything
/// runs on the scheduler's thread.
///
/// States of a connection: reading (a request, or waiting for one), serving (the handler has not replied),
/// closing (sending the last response, then waiting for the client to close). The connection ends with the
/// response to a request that could not be read, and what the client sends after such a request is dropped.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/connection_limiter.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::common {

struct HttpResponse {
  int status = 200;
  /// The Content-Type is JSON if the body begins with `{`, otherwise plain text.
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};  ///< additional header fields
};

/// Limits for the clients of a server.
struct HttpServerLimits {
  std::size_t body_bytes = 64 * 1024;  ///< of a request
  std::size_t connections = 64;        ///< open at the same time
  /// Time until a request is complete, or until the next progress_unit of it has arrived; and the time in
  /// which a client must have read as much of its response.
  Span progress = Span::ms(30000);
  Span idle = Span::ms(120000);  ///< between two requests
};

class HttpServer {
 public:
  /// Sends the response to one request. It may be called after the handler has returned, but not after the
  /// server is destroyed. It has no effect if the connection has ended or if it has been called before.
  using Reply = std::function<void(HttpResponse)>;
  /// Called for each complete request. The next request of a connection waits until the previous one has been
  /// replied to. `request` is valid until the handler returns or replies.
  using Handler = std::function<void(const http::Parser& request, Reply reply)>;

  /// Requests with a body larger than the limit are rejected with 413, malformed requests with the status
  /// that the parser determines, and a request that is not complete in time with 408. If the memory budget of
  /// `scheduler` is full, requests that have not arrived completely are rejected with 503. `port` names the
  /// server in logs and metrics. `scheduler` must outlive this object.
  HttpServer(net::Scheduler& scheduler, std::string port, const HttpServerLimits& limits, Handler handler);
  /// Throws std::system_error if the address cannot be bound.
  void listen(const sockaddr_in& at) { listener_.listen(at); }
  /// Returns the listening address, or std::nullopt if the server does not listen.
  std::optional<sockaddr_in> address() const { return listener_.address(); }
  const ConnectionLimiter& connections() const { return limiter_; }

 private:
  class Connection final : net::Channel::Observer, public ConnectionLimiter::Connection {
   public:
    explicit Connection(HttpServer& server);
    ~Connection();
    std::size_t group_index = 0;  ///< belongs to the server's TaskGroup

    void on_shed(ShedCause cause) override;
    std::size_t held_bytes() const override { return channel_.held_bytes(); }
    bool has_unread_bytes() const override { return channel_.unread(); }

   private:
    friend class HttpServer;
    enum class State : std::uint8_t { reading, serving, closing, closed };
    /// Handles the requests that have arrived, up to the first one that is not replied to immediately.
    void process_requests();
    /// Returns false if the next request has not arrived completely.
    bool handle_next_request();
    void serve_request();
    void await_rest_of_request();
    /// Answers a request that was not read completely, and ends the connection.
    void reject(int status, std::string_view reason);
    /// Frees the memory of the request that the handler was called with.
    void release_request();
    void write_response(const HttpResponse& response);
    void respond(const HttpResponse& response);
    void begin_closing();
    void close();
    void start_timer(Span limit);
    void on_timeout();
    void on_channel_data(net::Channel&) override;
    void on_channel_flushed(net::Channel&) override;
    void on_channel_closed(net::Channel&) override { close(); }
    HttpServer& server_;
    net::Channel channel_;
    http::Parser parser_;
    std::uint64_t id_;
    std::uint64_t request_number_ = 0;  // number of the newest request
    State state_ = State::reading;
    std::size_t received_bytes_ = 0;  // of the request that is being read, as last counted
    std::size_t unsent_bytes_ = 0;    // of responses, as last counted
    bool keep_alive_ = true;
    bool is_request_held_ = false;  // the input still begins with the request that is being served
    bool processing_ = false;       // process_requests() is running
    net::TimerQueue::Handle timer_;
  };
  void accept(int fd);

  net::Scheduler& scheduler_;
  net::TimerQueue timers_;
  const HttpServerLimits limits_;
  Handler handler_;
  ConnectionLimiter limiter_;
  net::Listener listener_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Connection*> connections_;  // by id
  net::TaskGroup<Connection> tasks_;
};

}  // namespace chutevane::common
