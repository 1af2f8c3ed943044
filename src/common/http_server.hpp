/// An HTTP/1.1 server for operators, readiness checks and metrics, not for clients' traffic.
///
/// Requests are handled once they have arrived completely, and answered with bodies of known length. All of
/// it runs on the thread of its scheduler.
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
  /// With a Content-Type of JSON where it begins with `{`, else of plain text.
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};  ///< further header fields
};

class HttpServer {
 public:
  /// Sends the response to one request. It may be called later, even after the connection or the server's
  /// handling of it has ended (nothing happens then), but not after the server is destroyed. Further calls do
  /// nothing.
  using Reply = std::function<void(HttpResponse)>;
  /// Called for each complete request; a connection's next request waits until the one before is replied to.
  /// `request` is valid until the handler returns or replies.
  using Handler = std::function<void(const http::Parser& request, Reply reply)>;

  /// Requests with a larger body are rejected with 413, malformed ones with the status of the parser's error.
  /// `scheduler` must outlive this.
  HttpServer(net::Scheduler& scheduler, std::size_t max_body_bytes, Handler handler);
  /// Throws std::system_error where the address cannot be bound.
  void listen(const sockaddr_in& at) { listener_.listen(at); }
  /// Nothing: it does not listen.
  std::optional<sockaddr_in> address() const { return listener_.address(); }

 private:
  class Connection final : net::Channel::Observer {
   public:
    explicit Connection(HttpServer& server);
    std::size_t group_index = 0;  ///< belongs to the server's TaskGroup

   private:
    friend class HttpServer;
    /// Handles what has arrived, up to the first request whose response is still to come.
    void process_requests();
    /// False: the next request has not arrived completely.
    bool handle_next_request();
    void respond(const HttpResponse& response);
    void on_channel_data(net::Channel&) override { process_requests(); }
    void on_channel_closed(net::Channel&) override;
    HttpServer& server_;
    net::Channel channel_;
    http::Parser parser_;
    std::uint64_t id_;
    std::uint64_t request_number_ = 0;  // of the newest request
    bool request_pending_ = false;      // it has not been responded to
    bool keep_alive_ = true;
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
