/// One connection to an endpoint. It carries one dispatch at a time and is reused while it is idle.
///
/// As in downstream_connection.hpp, one coroutine drives the connection and holds all its waits: the connect,
/// writing the request, the response, its streamed body, idling. `wait_for_...()` and `write_...()` return
/// the events to wait for, none when the step is over.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string>
#include <vector>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"
#include "sidecar/body_pipe.hpp"
#include "sidecar/connection_limits.hpp"
#include "sidecar/dispatch.hpp"

namespace chutevane::sidecar {

class UpstreamConnection;
class UpstreamPool;

/// An endpoint as the pool knows it.
struct UpstreamEndpoint {
  EndpointId id = 0;
  std::string discovery_id, address_text;
  sockaddr_in address{};
  Availability availability = Availability::gone;
  std::uint32_t address_changes = 0;
  std::size_t connections = 0;                        // all of them, idle or not
  std::vector<UpstreamConnection*> idle_connections;  // the one that became idle last is last
};

class UpstreamConnection {
 public:
  /// Owned by `pool`, which outlives it, as the endpoint does.
  UpstreamConnection(net::Scheduler& scheduler, UpstreamPool& pool, UpstreamEndpoint& endpoint);
  ~UpstreamConnection();

  std::size_t group_index = 0;

 private:
  friend class UpstreamPool;
  using Bits = net::Waker::Bits;
  // Events beside the socket's: the timer is due, the idle connection has been given a dispatch, the pool has
  // closed the connection, the other end of a body pipe has moved.
  static constexpr Bits due = net::Waker::own, dispatched = net::Waker::own << 1U,
                        closed = net::Waker::own << 2U, pipe_moved = net::Waker::own << 3U;
  /// The order is that of Counters::outcomes_by_stage; `streaming` ends no dispatch.
  enum class Stage : std::uint8_t { connecting, writing, reading, idle, closed, streaming };

  net::Task run();

  // The steps of a dispatch, in their order.
  Bits start_connecting();
  void on_connect_event(Bits events);
  void start_writing();
  Bits write_request();
  void on_write_event(Bits events);
  bool finish_request();
  Bits wait_for_response();
  void on_response_event(Bits events);
  bool start_delivery();
  bool start_streaming();
  Bits wait_for_body();
  void on_body_event(Bits events);
  bool finish_delivery();
  bool finish_response();
  bool finish_streaming();
  bool resume(Bits events);
  void close();

  void assign(const Dispatch& dispatch, const http::Parser& request, const std::shared_ptr<BodyPipe>& body);
  bool may_still_write();
  void note_body_progress();
  void skip_interim_responses();
  bool must_stream_response() const;
  /// Tells the observer how the dispatch in hand ended; does nothing without one.
  void report(Outcome outcome, const http::Parser* response = nullptr);
  bool has_written() const { return written_bytes_ > 0; }
  void release_request_body();

  net::Scheduler& scheduler_;
  UpstreamPool& pool_;
  UpstreamEndpoint& endpoint_;  // stays while it has connections
  // Of the endpoint's address changes when this was opened: after another the connection leads elsewhere.
  const std::uint32_t address_changes_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;  // the request, then its response
  http::Parser parser_{http::Side::response, message_limits};
  Stage stage_ = Stage::connecting;
  bool is_usable_ = false;
  TimePoint idle_since_;

  // The dispatch, and its request
  Dispatch dispatch_;
  bool is_busy_ = false;  // with a dispatch whose end has not been reported
  bool to_head_ = false;  // the response will have a length but no body
  std::size_t written_bytes_ = 0;
  std::shared_ptr<BodyPipe> request_body_;  // of a streamed request
  bool is_chunked_ = false, last_piece_written_ = false;
  bool waits_for_body_ = false;  // the client has sent no more of it
  TimePoint progress_reported_at_;

  // The response
  http::Progress progress_ = http::Progress::more;
  Outcome failure_ = Outcome::reset;         // what it is if the response does not come
  std::shared_ptr<BodyPipe> response_body_;  // of a streamed response
  std::size_t receivable_ = 0;               // bytes of it that may be read now; 0: the client's pace

  net::Task task_;
};

}  // namespace chutevane::sidecar
