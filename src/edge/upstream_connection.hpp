/// A connection to an endpoint: HTTP/1.1, one request at a time, reused as long as that is safe.
///
/// States: connecting, then alternately busy (a ResponseHandler waits for a response) and idle (listed in
/// Endpoint::idle_connections), finally closed. Responses are matched to requests by X-Chutevane-Attempt-Id,
/// which endpoints return: a surplus response to an earlier request is skipped and never forwarded. The
/// connection is closed whenever its state is uncertain.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class UpstreamPool;
struct Endpoint;

/// Why there is no complete response. Determines whether the request may be sent again.
enum class UpstreamFailure : std::uint8_t {
  not_sent,         ///< no byte of the request was sent, so it has not run
  connection_lost,  ///< connection lost or invalid response; the request may have run
};

/// Receives the response to one request. Each callback may cancel the request (UpstreamConnection::cancel).
/// After on_response_complete() or on_response_failed() the handler must not use the connection any more.
class ResponseHandler {
 public:
  /// `response` is valid only during the call.
  virtual void on_response_head(const http::Parser& response) = 0;
  virtual void on_response_body(std::string_view bytes) = 0;
  virtual void on_response_complete() = 0;
  virtual void on_response_failed(UpstreamFailure failure) = 0;

 protected:
  ~ResponseHandler() = default;
};

/// A request to send to an endpoint.
struct UpstreamRequest {
  std::string head;  ///< the formatted head, including the empty line
  /// The parts of the body. The bytes must stay valid until the response is complete, has failed or the
  /// request is cancelled.
  std::vector<std::string_view> body;
  std::string attempt_id;  ///< empty if there is none; the connection is then not reused
  bool is_head = false;    ///< the method is HEAD, so the response has no body despite its Content-Length
};

/// A connection created and owned by an UpstreamPool, which it notifies when it closes. Not thread-safe.
class UpstreamConnection final : net::Channel::Observer {
 public:
  UpstreamConnection(UpstreamPool& pool, net::Scheduler& scheduler, net::TimerQueue& timers,
                     std::shared_ptr<Endpoint> endpoint);
  std::size_t group_index = 0;

  /// Writes the request as soon as the connection is established. The handler may be called before this
  /// returns.
  void send(ResponseHandler& handler, UpstreamRequest request);
  /// Starts connecting. The waiting request fails if that takes too long. Returns false if it has already
  /// failed.
  bool connect(const sockaddr_in& address);
  /// While paused, nothing of the response is read, so that TCP's flow control stops the endpoint.
  void set_reading_paused(bool paused) { channel_.set_reading_paused(paused); }
  /// Closes the connection without further calls to the handler. Returns true if any part of the request may
  /// have been sent.
  bool cancel();
  /// Closes the connection without calling the handler. Idempotent.
  void close();

  bool is_closed() const { return is_closed_; }
  bool serves(const ResponseHandler& handler) const { return handler_ == &handler; }
  /// Returns true if an idle connection is still open and the endpoint has not sent unsolicited bytes.
  bool is_reusable() const { return channel_.up() && channel_.quiet(); }
  Endpoint& endpoint() const { return *endpoint_; }

 private:
  // Whether to continue processing the input or to wait for more.
  enum class Step : std::uint8_t { again, wait };

  void on_channel_open(net::Channel&) override;
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void on_channel_flushed(net::Channel&) override { write_body(); }
  void write_request();
  // Writes as much of the body as may wait to be sent.
  void write_body();

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
  ResponseHandler* handler_ = nullptr;  // null while idle
  std::string unsent_head_;
  std::vector<std::string_view> unsent_body_;  // the parts that were not written yet, the next one last
  std::string attempt_id_;
  std::size_t requests_written_ = 0;  // on this connection, including the current request
  std::size_t skipped_responses_ = 0;
  bool is_head_request_ = false;
  bool is_request_written_ = false;
  bool is_head_read_ = false;
  bool is_skipping_ = false;  // the response that is being read belongs to another request
  bool is_persistent_ = true;
  bool is_closed_ = false;
  Span idle_timeout_;
  net::TimerQueue::Handle timer_;  // connect timeout or idle timeout
};

}  // namespace chutevane::edge
