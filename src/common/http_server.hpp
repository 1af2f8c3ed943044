/// An HTTP/1.1 server for operators, readiness checks and metrics, not for client traffic.
///
/// Each request is handled once it has arrived completely; responses have bodies of known length. Everything
/// runs on the scheduler's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"

namespace chutevane::common {

struct HttpResponse {
  int status = 200;
  /// The Content-Type is JSON if the body begins with `{`, otherwise plain text.
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};  ///< additional header fields
};

class HttpServer {
 public:
  /// Sends the response to one request. It may be called after the handler has returned, but not after the
  /// server is destroyed. It has no effect if the connection has ended or if it has been called before.
  using Reply = std::function<void(HttpResponse)>;
  /// Called for each complete request. The next request of a connection waits until the previous one has been
  /// replied to. `request` is valid until the handler returns or replies.
  using Handler = std::function<void(const http::Parser& request, Reply reply)>;

  /// Requests with a body larger than `max_body_bytes` are rejected with 413, malformed requests with the
  /// status that the parser determines. `scheduler` must outlive this object.
  HttpServer(net::Scheduler& scheduler, std::size_t max_body_bytes, Handler handler);
  /// Throws std::system_error if the address cannot be bound.
  void listen(const sockaddr_in& at) { listener_.listen(at); }
  /// Returns the listening address, or std::nullopt if the server does not listen.
  std::optional<sockaddr_in> address() const { return listener_.address(); }

 private:
  class Connection final : net::Channel::Observer {
   public:
    explicit Connection(HttpServer& server);
    std::size_t group_index = 0;  ///< belongs to the server's TaskGroup

   private:
    friend class HttpServer;
    /// Handles the requests that have arrived, up to the first one that is not replied to immediately.
    void process_requests();
    /// Returns false if the next request has not arrived completely.
    bool handle_next_request();
    void respond(const HttpResponse& response);
    void on_channel_data(net::Channel&) override;
    void on_channel_closed(net::Channel&) override;
    HttpServer& server_;
    net::Channel channel_;
    http::Parser parser_;
    std::uint64_t id_;
    std::uint64_t request_number_ = 0;  // number of the newest request
    bool request_pending_ = false;      // the newest request has not been replied to
    bool keep_alive_ = true;
    bool is_closing_ = false;  // the last response was sent or is being sent: what still arrives is dropped
    bool processing_ = false;  // process_requests() is running
  };
  net::Scheduler& scheduler_;
  const std::size_t max_body_bytes_;
  Handler handler_;
  net::Listener listener_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Connection*> connections_;  // by id
  net::TaskGroup<Connection> tasks_;
};

}  // namespace chutevane::common
