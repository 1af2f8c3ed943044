/// One client's connection: HTTP/1.1 requests, read and answered one after the other.
///
/// States: reading a request (or waiting for one), serving it (ProxiedRequest), closing (the last response is
/// on its way, then the client's end is awaited), closed. What a client sends ahead is read only after the
/// response before it. The connection bounds how long a request may take to come and how long the client may
/// be idle; both limits are those of the configuration in force.
///
/// This class owns the framing of responses; which response is sent, and when, is the request's part.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "edge/proxied_request.hpp"
#include "edge/request_failure.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class DataPlane;

/// Owned by the data plane's group of connections. Not thread-safe.
class DownstreamConnection final : net::Channel::Observer {
 public:
  explicit DownstreamConnection(DataPlane& plane);
  ~DownstreamConnection();
  /// Takes over an accepted socket.
  void adopt(int fd) { channel_.adopt(fd); }
  std::size_t group_index = 0;

  /// Whether nothing of a request has come and nothing of a response has still to go out.
  bool is_idle() const { return state_ == State::reading && channel_.unsent() == 0 && channel_.quiet(); }
  bool has_open_attempt() const { return request_->has_open_attempt(); }
  /// Closes the connection at once; a request in progress fails with `cause`. Idempotent.
  void close(FailureCause cause);

  // ---- for the request in progress

  /// Status line, headers, and `Connection: close` where this is the last response.
  void write_head(int status, const std::vector<std::pair<std::string, std::string>>& headers);
  /// Ends the head and writes the body, unless the method or the status forbids one. `content_length`: of the
  /// body that a GET would get, where the method is HEAD.
  void write_body(int status, std::string_view method, std::string_view body, std::size_t content_length);
  /// Ends the head of a response whose body follows in chunks.
  void begin_chunks();
  void write_chunk(std::string_view bytes);
  /// Ends a body in chunks: the response is complete.
  void end_chunks();
  /// Hands to the socket what was written.
  void flush() { channel_.flush(); }
  /// The response is complete: the next request is read, or the connection ends.
  void on_request_finished();
  /// Resets the connection, so that a response of which a part is out can't pass for complete.
  void reset(FailureCause cause);
  /// Counts and logs a failure; `status` of the edge's own response, 0: the connection ends without one.
  void record_failure(FailureCause cause, int status);

 private:
  enum class State : std::uint8_t { reading, serving, closing, closed };

  void on_channel_data(net::Channel&) override;
  void on_channel_flushed(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;

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

  DataPlane& plane_;
  net::Channel channel_;
  http::Parser parser_;
  State state_ = State::reading;
  bool is_persistent_ = true;                // false: the connection ends with the response in progress
  bool is_awaiting_head_ = false;            // what timer_ bounds, while a request comes
  bool is_continue_sent_ = false;            // 100 Continue, for the request that is being read
  net::TimerQueue::Handle timer_;            // of reading and idling; the request has one of its own
  std::unique_ptr<ProxiedRequest> request_;  // in progress, or the last one; never null
};

}  // namespace chutevane::edge
