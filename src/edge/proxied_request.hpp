/// One client request, from the receipt of its last byte to the end of its response.
///
/// The steps, each taken only if the request needs it:
///  1. Routing: pins the current configuration and determines the route, the service and the deadline.
///  2. Preparation: reads the chain of turns that the request continues from storage, and reserves a token
///     budget there.
///  3. Attempts (proxied_request_attempts.cpp): chooses an endpoint and sends the request.
///  4. Response (proxied_request_responses.cpp): forwards a stream event by event, any other response whole.
///  5. Persistence: stores a turn. The response ends only after that.
///
/// Retries. A request may be sent again as long as it has certainly not run: no byte of it was sent, or the
/// endpoint's response proves it (X-Chutevane-Not-Executed, 421). Once it may have run (`may_have_run_`), it
/// is retried only on idempotent routes, and on resumable routes from the last event that the client has. All
/// other requests end with 502 or 504, or with a connection reset if a part of the response has been sent. A
/// 503 response guarantees that the request has not run and will not run.
///
/// Ownership: the client's connection owns the request until the next request begins. The request is over
/// once it has notified the connection (DownstreamConnection::on_request_finished, reset) or the connection
/// has called abort(). Callbacks from storage and timers that run after that have no effect.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/configuration.hpp"
#include "edge/budget_reservation.hpp"
#include "edge/client_request.hpp"
#include "edge/request_failure.hpp"
#include "edge/service_balancer.hpp"
#include "edge/storage_client.hpp"
#include "edge/upstream_connection.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class DataPlane;
class DownstreamConnection;
struct ServerSentEvent;

/// Not thread-safe. Either start() or reject() is called, exactly once.
class ProxiedRequest final : ResponseHandler {
 public:
  ProxiedRequest(DataPlane& plane, DownstreamConnection& connection);
  ~ProxiedRequest();

  /// Processes a request that was read completely.
  void start(ParsedClientRequest parsed);
  /// Answers a request that could not be read completely.
  void reject(FailureCause cause, int status, std::string_view text);
  /// Reads on, after the client has read what was forwarded to it.
  void on_response_read();
  /// Ends the attempt in flight and releases or commits the budget. Called when the client's connection
  /// closes.
  void abort();

  /// Returns true while an attempt is counted as in flight at an endpoint.
  bool has_open_attempt() const { return attempt_.is_open; }
  const std::string& attempt_id() const { return request_.attempt_id; }
  /// Fills in the fields about this request. The views remain valid until the request changes.
  void add_to(FailureReport& report) const;

 private:
  enum class Stage : std::uint8_t {
    preparing,   // routing, reading previous turns, reserving a budget
    attempting,  // choosing an endpoint, or waiting for its response
    streaming,   // the first event of a stream has arrived
    storing,     // the turn is being stored
    finished,
  };
  // How the last attempt ended. Determines the reported failure cause.
  enum class AttemptResult : std::uint8_t {
    none,
    not_sent,
    connection_lost,
    invalid_response,
    timed_out,
    rejected,
    server_error,  // status 4xx or 5xx without proof that the request has not run
  };
  enum class RetryAfter : bool { no, yes };

  struct Attempt {
    UpstreamConnection* connection = nullptr;  // null if no response is pending
    std::string endpoint_id;
    TimePoint sent_at;
    bool is_open = false;               // the balancer counts it as in flight
    bool has_adaptive_timeout = false;  // the timeout is shorter than the route and the client allow
    bool has_first_event = false;       // the first event of the stream has arrived
    bool is_rejected = false;           // the response head proves that the request has not run
    bool is_invalid = false;            // the response can't be forwarded
    int status = 0;
    std::size_t stated_body_size = 0;                          // bytes, from Content-Length
    std::vector<std::pair<std::string, std::string>> headers;  // headers to forward
    std::string body;                                          // for a stream, the part not forwarded yet
    net::BufferCharge body_charge;
  };

  // ---- preparation
  // Returns how long the request may wait for the routing state of a process that has just started.
  Span startup_wait_limit() const;
  void choose_route();
  void load_previous_turns();
  void on_previous_turns(TurnChain chain);
  void reserve_budget();
  void on_budget_reserved(ReservationResult result);
  bool needs_budget() const;
  TimePoint storage_deadline() const;
  // Returns the parts of the body sent to endpoints: the previous turns, followed by the client's body.
  std::vector<std::string_view> body_parts() const;

  // ---- attempts (proxied_request_attempts.cpp)
  void start_attempt();
  std::size_t max_attempts() const;
  std::optional<FailureCause> attempt_denial(Span time_left, TimePoint now) const;
  FailureCause cause_without_endpoint() const;
  std::shared_ptr<Endpoint> choose_endpoint(TimePoint now);
  void begin_attempt(const Endpoint& endpoint, TimePoint now);
  Span start_attempt_timer(Span time_left, TimePoint now);
  UpstreamRequest make_upstream_request(Span time_left) const;
  void end_attempt(AttemptOutcome outcome);
  void on_attempt_timeout();
  void on_response_head(const http::Parser& response) override;
  void on_response_body(std::string_view bytes) override;
  void on_response_complete() override;
  void on_response_failed(UpstreamFailure failure) override;
  void drop_response();
  void release_response_body();
  void on_success();
  void on_error_status();
  bool claims_not_executed() const;
  void retry_after_failure(bool may_have_run);
  void resume_or_reset(FailureCause cause);
  void give_up(FailureCause cause_if_not_run);
  FailureCause cause_of_bad_gateway() const;
  FailureCause cause_of_reset() const;
  static std::string_view name_of(AttemptResult result);

  // ---- responses (proxied_request_responses.cpp)
  void pause_if_unread();
  void forward_response();
  void forward_events(bool is_end);
  void write_event(std::string_view text, const ServerSentEvent& event);
  void on_first_event(TimePoint now);
  void write_stream_head();
  void finish_stream();
  void store_turn();
  void on_turn_stored(bool is_stored);
  void respond(FailureCause cause, int status, std::string_view text,
               RetryAfter retry_after = RetryAfter::no);
  void reset(FailureCause cause);
  void finish();
  void commit_budget();
  void check_response_belongs() const;
  // Returns the number of tokens in the forwarded events, or std::nullopt if the configuration does not state
  // the number of tokens per event.
  std::optional<std::int64_t> forwarded_tokens() const;

  Span time_left() const;
  ServiceBalancer& balancer() const;
  // Wraps a callback so that it has no effect once the request is over.
  template <class Callback>
  auto guarded(Callback callback) {
    return [guard = std::weak_ptr<int>(guard_), callback = std::move(callback)](auto&&... args) {
      if (!guard.expired()) callback(std::forward<decltype(args)>(args)...);
    };
  }

  DataPlane& plane_;
  DownstreamConnection& connection_;
  std::shared_ptr<int> guard_ = std::make_shared<int>();  // reset when the request is over
  Stage stage_ = Stage::preparing;
  net::TimerQueue::Handle timer_;  // of the preparation, then of the current attempt

  ClientRequest request_;
  TimePoint received_at_;
  TimePoint deadline_;           // the earlier of the route's and the client's deadline
  bool is_in_progress_ = false;  // the request was read completely and has not finished
  std::shared_ptr<const common::Configuration> configuration_;  // the configuration at the time of routing
  const common::Route* route_ = nullptr;                        // points into configuration_
  std::string service_;
  bool is_stream_ = false;
  TurnList previous_turns_;  // the turns that the request continues; kept until its own turn is stored
  net::BufferCharge previous_turns_charge_;
  BudgetReservation budget_;

  AttemptContext placement_;
  Attempt attempt_;  // the attempt in flight, or the last one
  AttemptResult last_result_ = AttemptResult::none;
  std::size_t attempts_ = 0;  // attempts of which at least one byte was sent
  std::size_t tries_ = 0;     // all attempts, including those that were not sent
  bool may_have_run_ = false;

  // The part of the response that the client has received, from all attempts.
  bool is_head_written_ = false;  // the head of a stream
  std::size_t events_forwarded_ = 0;
  std::optional<std::int64_t> last_event_id_;
  std::string turn_output_;
};

}  // namespace chutevane::edge
