/// One request of a client, from its last byte to the end of its response.
///
/// In turn, each step only where the request wants it:
///  1. route: the configuration in force is pinned, and with it the route, the service and the deadline;
///  2. the chain of turns that it continues is read from storage, and a budget is reserved there;
///  3. attempts (proxied_request_attempts.cpp): an endpoint is chosen and the request is sent;
///  4. the response is passed on (proxied_request_responses.cpp), a stream event by event, others whole;
///  5. a turn is stored; only then does its response end.
///
/// Further attempts. A request may be sent again as long as it has certainly not run: no byte of it went out,
/// or the endpoint's response proves it (X-Chutevane-Not-Executed, 421). Once it may have run
/// (`may_have_run_`), it is sent again only on idempotent routes, and on resumable ones from the last event
/// on that the client has. Everything else ends with 502 or 504, or with a reset where a part of the response
/// is out. 503 is answered only where it has not run and will not.
///
/// Ownership: the client's connection owns it, for as long as no further request begins. It is over when the
/// connection has been told (DownstreamConnection::on_request_finished, reset) or has told it (abort).
/// Callbacks of storage and of timers that come after that have no effect.
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

/// Not thread-safe. For each request: either start() or reject(), once.
class ProxiedRequest final : ResponseHandler {
 public:
  ProxiedRequest(DataPlane& plane, DownstreamConnection& connection);
  ~ProxiedRequest();

  /// The request was read completely.
  void start(ParsedClientRequest parsed);
  /// Answers a request that could not be read completely.
  void reject(FailureCause cause, int status, std::string_view text);
  /// The client's connection is closed: ends the attempt in flight, and gives back or commits the budget.
  void abort();

  /// Whether an attempt is counted as in flight at an endpoint.
  bool has_open_attempt() const { return attempt_.is_open; }
  const std::string& attempt_id() const { return request_.attempt_id; }
  /// Adds what is known of the request; the views are valid as long as it does not change.
  void add_to(FailureReport& report) const;

 private:
  enum class Stage : std::uint8_t {
    preparing,   // route, chain, budget
    attempting,  // an endpoint has the request, or is being chosen
    streaming,   // the first event of a stream has come
    storing,     // the turn is being stored
    finished,
  };
  // How the last attempt ended. It decides the cause that is reported.
  enum class AttemptResult : std::uint8_t {
    none,
    not_sent,
    connection_lost,
    invalid_response,
    timed_out,
    rejected,
    server_error,  // a status of 4xx or 5xx without a proof that it has not run
  };
  enum class RetryAfter : bool { no, yes };

  struct Attempt {
    UpstreamConnection* connection = nullptr;  // null: nothing is awaited from it
    std::string endpoint_id;
    TimePoint sent_at;
    bool is_open = false;               // the balancer counts it as in flight
    bool has_adaptive_timeout = false;  // shorter than the route and the client allow
    bool has_first_event = false;       // of a stream
    bool is_rejected = false;           // the head proves that it has not run
    bool is_invalid = false;            // what comes can't be passed on
    int status = 0;
    std::size_t stated_body_size = 0;                          // bytes, by the head
    std::vector<std::pair<std::string, std::string>> headers;  // to be passed on
    std::string body;                                          // of a stream: what is not passed on yet
  };

  // ---- preparation
  // For how long the request waits for what a process that has just started does not know yet.
  Span startup_wait_limit() const;
  void choose_route();
  void load_previous_turns();
  void on_previous_turns(const TurnChain& chain);
  void reserve_budget();
  void on_budget_reserved(ReservationResult result);
  bool needs_budget() const;
  TimePoint storage_deadline() const;

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
  void pass_on_response();
  void pass_on_events(bool is_end);
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
  // Of the events that were passed on; nothing: the configuration does not state how many an event has.
  std::optional<std::int64_t> tokens_passed_on() const;

  Span time_left() const;
  ServiceBalancer& balancer() const;
  // Wraps a callback that may come after the request is over: it has no effect then.
  template <class Callback>
  auto guarded(Callback callback) {
    return [guard = std::weak_ptr<int>(guard_), callback = std::move(callback)](auto&&... args) {
      if (!guard.expired()) callback(std::forward<decltype(args)>(args)...);
    };
  }

  DataPlane& plane_;
  DownstreamConnection& connection_;
  std::shared_ptr<int> guard_ = std::make_shared<int>();  // until the request is over
  Stage stage_ = Stage::preparing;
  net::TimerQueue::Handle timer_;  // of the preparation, then of the attempt

  ClientRequest request_;
  TimePoint received_at_;
  TimePoint deadline_;                                          // of the route and of the client
  bool is_counted_ = false;                                     // it was read completely, and is not finished
  std::shared_ptr<const common::Configuration> configuration_;  // in force when it began
  const common::Route* route_ = nullptr;                        // in configuration_
  std::string service_;
  bool is_stream_ = false;
  std::string body_;  // as endpoints get it: the previous turns and the client's body
  BudgetReservation budget_;

  AttemptContext placement_;
  Attempt attempt_;  // in flight, or the last one
  AttemptResult last_result_ = AttemptResult::none;
  std::size_t attempts_ = 0;  // of which a byte went out
  std::size_t tries_ = 0;     // and those that were not sent
  bool may_have_run_ = false;

  // What the client has of the response, from whichever attempts.
  bool is_head_written_ = false;  // of a stream
  std::size_t events_passed_on_ = 0;
  std::optional<std::int64_t> last_event_id_;
  std::string turn_output_;
};

}  // namespace chutevane::edge
