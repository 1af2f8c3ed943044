/// One connection of a client: reads a request, hands it to the router, writes the response, and begins anew.
///
/// The connection is driven by one coroutine, run(). All its waits are there, one for each step of a request:
/// the request's head and body, the response, writing it, what is left of the request, lingering at the end.
/// A step is a pair of functions: `wait_for_...()` or `write_...()` does what can be done at once and returns
/// the events to wait for, none when the step is over; `on_...()` takes the events that have come.
///
/// The buffer holds the request, then the response in its place; a pipelined request waits behind both.
/// Bodies over max_buffered_body() go through a BodyPipe instead, in either direction.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"
#include "sidecar/connection_limits.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/downstream_request.hpp"
#include "sidecar/request_ids.hpp"

namespace chutevane::sidecar {

class Listener;

/// Closed by its peer, by a time-out or by its listener; then its coroutine ends and the listener destroys
/// it.
class DownstreamConnection final : public DownstreamRequest {
 public:
  /// Owned by `listener`, which outlives it; takes over the descriptor `fd`.
  DownstreamConnection(net::Scheduler& scheduler, Listener& listener, int fd);
  ~DownstreamConnection();

  const http::Parser& request() const override { return parser_; }
  sockaddr_in peer() const override { return socket_.peer().value_or(sockaddr_in{}); }
  const std::shared_ptr<BodyPipe>& body() const override { return request_body_; }
  void on_response(const http::Parser& response) override;
  void on_response_started(const http::Parser& response, const std::shared_ptr<BodyPipe>& body) override;
  void on_rejected(Span retry_after, const pool::AttemptHistory& history) override;
  void on_aborted(bool timed_out, const pool::AttemptHistory& history) override;

  std::size_t group_index = 0;

 private:
  friend class Listener;
  using Bits = net::Waker::Bits;
  // Events beside the socket's: the timer is due, the response is in the buffer, the listener has closed the
  // connection, the other end of a body pipe has moved.
  static constexpr Bits due = net::Waker::own, responded = net::Waker::own << 1U,
                        closed = net::Waker::own << 2U, pipe_moved = net::Waker::own << 3U;

  net::Task run();

  // The steps of a request, in their order.
  void prepare_for_request();
  Bits wait_for_request();
  void on_request_event(Bits events);
  void handle_request();
  Bits wait_for_response();
  void on_response_event(Bits events);
  void abandon_call();
  void start_writing();
  Bits write_response();
  Bits write_response_body();
  void on_write_event(Bits events);
  void finish_response();
  Bits wait_for_request_rest();
  void on_request_rest_event(Bits events);
  void start_lingering();
  Bits wait_for_peer_close() const;
  void on_linger_event(Bits events);
  void become_idle();
  void close();

  bool must_stream_request() const;
  void start_streaming_request();
  void note_request_progress();
  bool expects_continue() const { return parser_.find("Expect") == "100-continue"; }
  [[nodiscard]] bool send_continue();
  Bits receive_request_body();
  TimePoint body_deadline() const;
  Span body_time_at_min_rate() const;

  void route_request();
  void submit_call(ApiCall call, std::uint32_t route);
  void end_call_without_response();
  template <class Write>
  void respond(Write write);
  void reply_locally(int status, std::string_view text);
  void reject_unreadable(int status, std::string_view text);
  void end_outstanding();
  void record_result(RequestResult result);

  DownstreamClose close_stage() const;
  /// Since when nothing is owed on the connection; nothing: it may not be closed for a new one.
  std::optional<TimePoint> evictable_since() const;
  bool is_idle() const { return call_ == 0 && unwritten_ == 0 && !parser_.begun(); }

  net::Scheduler& scheduler_;
  Listener& listener_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_{http::Side::request, message_limits};

  bool is_usable_ = true;    // false: the peer is gone or too slow, or the listener has closed the connection
  bool is_last_ = false;     // the connection ends with this response
  bool has_served_ = false;  // at least one request
  bool is_lingering_ = false;  // the last response is out; the peer may still be sending what nobody reads
  bool left_in_call_ = false;  // its client left while a call was in flight
  const TimePoint accepted_at_;
  TimePoint idle_since_;
  std::size_t lingered_bytes_ = 0;

  // The request
  http::Progress progress_ = http::Progress::more;
  bool request_started_ = false;    // its first byte has come
  bool request_timed_out_ = false;  // before its last
  bool head_seen_ = false;
  bool sent_continue_ = false;      // 100 Continue went out for it
  bool withheld_continue_ = false;  // it goes out once the request has been routed
  bool was_pipelined_ = false;      // it came whole behind the one before
  std::size_t request_bytes_ = 0;   // of it, at the buffer's front
  TimePoint request_since_, body_since_, last_read_at_;
  // Of a streamed request: its head, where its body goes, whether all of it has come.
  std::string head_;
  std::shared_ptr<BodyPipe> request_body_;
  bool body_received_ = false;
  bool reads_body_ = false;  // while the response is awaited: the pipe has room for more of it

  // The call
  CallId call_ = 0;  // 0: none in flight
  std::uint32_t track_ = 0;
  RequestIdClaim request_id_;
  bool is_outstanding_ = false;  // the request is counted as accepted and not ended

  // The response
  std::size_t unwritten_ = 0;  // bytes of it at the buffer's front
  // Of a streamed response: where its body comes from, the pieces that are being written, its framing.
  std::shared_ptr<BodyPipe> response_body_;
  net::Buffer pieces_;
  bool is_chunked_ = false, last_piece_out_ = false;

  net::Task task_;
};

}  // namespace chutevane::sidecar
