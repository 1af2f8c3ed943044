/// One connection to an endpoint: HTTP/1.1, one request at a time, reused while that is safe.
///
/// States: connecting, then in turn busy (a ResponseHandler waits for a response) and idle (listed in
/// Endpoint::idle_connections), at last closed. A response is matched to its request by
/// X-Chutevane-Attempt-Id, which endpoints return: a surplus response to an earlier request is skipped and
/// never passed on. Whatever leaves the connection in doubt closes it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class UpstreamPool;
struct Endpoint;

/// Why there is no complete response, as far as it matters for sending the request again.
enum class UpstreamFailure : std::uint8_t {
  not_sent,         ///< not one byte of the request went out: it has not run
  connection_lost,  ///< or an invalid response: it may have run
};

/// Receives the response to one request. Each call may cancel the request (UpstreamConnection::cancel); after
/// on_response_complete() or on_response_failed() the connection no longer belongs to it.
class ResponseHandler {
 public:
  /// `response` is valid during the call.
  virtual void on_response_head(const http::Parser& response) = 0;
  virtual void on_response_body(std::string_view bytes) = 0;
  virtual void on_response_complete() = 0;
  virtual void on_response_failed(UpstreamFailure failure) = 0;

 protected:
  ~ResponseHandler() = default;
};

/// A request as it is sent to an endpoint.
struct UpstreamRequest {
  std::string head;        ///< as it is written, with its empty line
  std::string_view body;   ///< copied before UpstreamPool::send() returns
  std::string attempt_id;  ///< empty: none, and the connection serves no further request
  bool is_head = false;    ///< method HEAD: no body follows the response's Content-Length
};

/// Created and owned by an UpstreamPool, which it tells of its end. Not thread-safe.
class UpstreamConnection final : net::Channel::Observer {
 public:
  UpstreamConnection(UpstreamPool& pool, net::Scheduler& scheduler, net::TimerQueue& timers,
                     std::shared_ptr<Endpoint> endpoint);
  std::size_t group_index = 0;

  /// Writes the request once the connection is established, or at once. The handler may be called before this
  /// returns.
  void send(ResponseHandler& handler, UpstreamRequest request);
  /// Begins to connect; the request that waits fails if that takes too long. False: it has failed already.
  bool connect(const sockaddr_in& address);
  /// Closes the connection; its handler gets no further call. Whether any of the request may have gone out.
  bool cancel();
  /// Closes the connection without a call of the handler. Idempotent.
  void close();

  bool is_closed() const { return is_closed_; }
  bool serves(const ResponseHandler& handler) const { return handler_ == &handler; }
  /// Whether an idle connection is still open and the endpoint has not sent what nobody asked for.
  bool is_reusable() const { return channel_.up() && channel_.quiet(); }
  Endpoint& endpoint() const { return *endpoint_; }

 private:
  // Whether the input should be looked at again.
  enum class Step : std::uint8_t { again, wait };

  void on_channel_open(net::Channel&) override;
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void write_request();

  void process_input();
  Step read_head();
  Step read_interim_head(http::Progress progress);
  Step deliver_head();
  Step read_body();
  Step end_response();
  bool is_for_other_request() const;
  bool may_be_surplus() const;
  bool ends_only_by_close() const;
  void read_keep_alive();

  void complete();
  void fail(UpstreamFailure failure);
  Step fail_response();

  UpstreamPool& pool_;
  net::TimerQueue& timers_;
  const std::shared_ptr<Endpoint> endpoint_;
  net::Channel channel_;
  http::Parser parser_;
  ResponseHandler* handler_ = nullptr;  // null: idle
  std::string unsent_request_;
  std::string attempt_id_;
  std::size_t requests_written_ = 0;  // on this connection, the current one included
  std::size_t skipped_responses_ = 0;
  bool is_head_request_ = false;
  bool is_request_written_ = false;
  bool is_head_read_ = false;
  bool is_skipping_ = false;  // the response that is being read is another request's
  bool is_persistent_ = true;
  bool is_closed_ = false;
  Span idle_timeout_;
  net::TimerQueue::Handle timer_;  // connecting, or idle
};

}  // namespace chutevane::edge
