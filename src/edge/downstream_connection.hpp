/// A client's connection. It reads HTTP/1.1 requests and answers them one after the other.
///
/// States: reading (a request, or waiting for one), serving (ProxiedRequest), closing (sending the last
/// response, then waiting for the client to close), closed. Pipelined requests are read only after the
/// previous response. The connection limits how long a request may take to arrive and how long the client may
/// be idle; both limits come from the current configuration.
///
/// This class implements the framing of responses. The request decides which response is sent and when.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/connection_limiter.hpp"
#include "edge/proxied_request.hpp"
#include "edge/request_failure.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class DataPlane;

/// Owned by the data plane's connection group. Not thread-safe.
class DownstreamConnection final : net::Channel::Observer, public common::ConnectionLimiter::Connection {
 public:
  explicit DownstreamConnection(DataPlane& plane);
  ~DownstreamConnection();
  /// Takes over an accepted socket.
  void adopt(int fd) { channel_.adopt(fd); }
  std::size_t group_index = 0;

  // ---- common::ConnectionLimiter::Connection

  void on_shed(common::ShedCause cause) override;
  std::size_t held_bytes() const override { return channel_.held_bytes(); }
  bool has_unread_bytes() const override { return channel_.unread(); }

  /// Returns true if no part of a request has arrived and no part of a response is waiting to be sent.
  bool is_idle() const { return state_ == State::reading && channel_.unsent() == 0 && channel_.quiet(); }
  bool has_open_attempt() const { return request_->has_open_attempt(); }
  /// Closes the connection immediately. A request in progress fails with `cause`. Idempotent.
  void close(FailureCause cause);

  // ---- for the request in progress

  /// Writes the status line, the headers, and `Connection: close` if this is the last response.
  void write_head(int status, const std::vector<std::pair<std::string, std::string>>& headers);
  /// Ends the head and writes the body, unless the method or the status forbids one. `content_length` is used
  /// if there is no body: for HEAD, it is the size of the body that a GET would receive.
  void write_body(int status, std::string_view method, std::string_view body, std::size_t content_length);
  /// Ends the head of a response with a chunked body.
  void begin_chunks();
  void write_chunk(std::string_view bytes);
  /// Ends a chunked body, which completes the response.
  void end_chunks();
  /// Writes the buffered output to the socket.
  void flush();
  /// Returns true if the client has yet to read so much that nothing more should be forwarded to it.
  bool has_unread_response() const { return channel_.unsent() > max_unsent_bytes; }
  /// Ends other connections if the memory budget is full. Returns false if it is full nevertheless.
  bool make_room();
  /// Reads the next request or ends the connection. Called when the response is complete.
  void on_request_finished();
  /// Resets the connection, so that the client can't mistake a partial response for a complete one.
  void reset(FailureCause cause);
  /// Counts and logs a failure. `status` is that of the edge's own response, or 0 if the connection ends
  /// without one.
  void record_failure(FailureCause cause, int status);

 private:
  enum class State : std::uint8_t { reading, serving, closing, closed };

  void on_channel_data(net::Channel&) override;
  void on_channel_flushed(net::Channel&) override;
  void on_channel_progress(net::Channel&, std::size_t bytes) override;
  void on_channel_closed(net::Channel&) override;

  using Phase = common::ConnectionLimiter::Phase;
  void set_phase(Phase phase);
  // Counts what was received of the request that is being read.
  void count_progress();
  void read_request();
  void await_rest_of_request(bool had_head);
  void serve_request();
  void reject_unread(FailureCause cause, int status, std::string_view text);
  void read_pipelined();

  void start_request_timer();
  void on_request_timeout();
  void start_idle_timer(Span limit, Span elapsed = Span());
  void on_idle_timeout(Span limit, std::size_t unsent_before);
  Span idle_limit() const;
  http::Limits request_limits() const;

  void on_closed(FailureCause cause);

  static constexpr std::size_t max_unsent_bytes = 64 * 1024;  // before nothing more is read for the client

  DataPlane& plane_;
  net::Channel channel_;
  http::Parser parser_;
  State state_ = State::reading;
  bool is_persistent_ = true;                // if false, the connection ends with the current response
  bool is_awaiting_head_ = false;            // timer_ limits the time of the head rather than of the body
  bool is_continue_sent_ = false;            // 100 Continue was sent for the request that is being read
  std::size_t received_bytes_ = 0;           // of the request that is being read, as last counted
  net::TimerQueue::Handle timer_;            // for reading and idling; the request has its own timer
  std::unique_ptr<ProxiedRequest> request_;  // the current or the last request; never null
};

}  // namespace chutevane::edge
