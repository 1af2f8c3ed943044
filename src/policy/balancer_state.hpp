/// The state of a balancer and the methods that decide on it. An instance is used by one thread, and every
/// method gets the time from its caller.
///
/// The methods are defined by subject:
///
///     balancer.cpp            the events of include/chutevane/balancer.hpp
///     learned_state.cpp       state that is handed over to the next process
///     settings.cpp            reading of the deployment's settings
///     call_lifecycle.cpp      dispatch, wait, rejection and end of a call
///     key_ordering.cpp        serial execution of calls with the same key
///     admission.cpp           the limit on calls in progress
///     retries.cpp             whether a call is retried
///     endpoint_list.cpp       the known endpoints, and which of them the rules permit
///     endpoint_selection.cpp  the endpoint that a call is sent to
///     health.cpp              endpoint health, learned from ended attempts
#pragma once

#include <array>
#include <deque>
#include <utility>
#include <vector>

#include "base/answer_list.hpp"
#include "base/pcg.hpp"
#include "base/settings_reader.hpp"
#include "base/slab.hpp"
#include "base/windowed_count.hpp"
#include "chutevane/balancer.hpp"
#include "policy/call_state.hpp"
#include "policy/endpoint_state.hpp"
#include "policy/latency_estimate.hpp"
#include "policy/latency_weights.hpp"

namespace chutevane {

struct Balancer::State {
  /// Throws SettingError if a required setting is missing or malformed.
  State(const Settings& deployment, std::uint64_t seed, TimePoint now);

  // --- Events (balancer.cpp)
  /// Clears the answers to the previous event.
  State& begin_event() {
    answers.clear();
    return *this;
  }
  /// Dispatches queued and waiting calls that the event has unblocked; returns the event's answers.
  Answers end_event(TimePoint now);
  /// Runs everything that is due at `now`.
  void run_timers(TimePoint now);
  std::uint32_t add_call(const ApiCall& request, TimePoint now);
  Answer admit(std::uint32_t call, const ApiCall& request, TimePoint now);
  void end_dispatch(Call& call, Dispatch& dispatch, const DispatchEnd& end, TimePoint now);
  void continue_call(std::uint32_t call, const Dispatch& dispatch, const DispatchEnd& end, bool may_have_run,
                     TimePoint now);

  // --- Lifecycle of a call (call_lifecycle.cpp); `call` is an index into `calls`
  Answer dispatch_or_wait(std::uint32_t call, TimePoint now);
  Answer dispatch(std::uint32_t call, std::uint32_t endpoint, TimePoint now);
  Answer wait_or_reject(std::uint32_t call, TimePoint now);
  /// Ends the call with a final answer. `is_overload` makes the client's retry delay longer.
  Answer reject(std::uint32_t call, TimePoint now, bool is_overload);
  void serve_waiting(TimePoint now);
  /// Marks the call as over for the client, and cancels its attempt in flight.
  void finish(std::uint32_t call, TimePoint now);
  /// Frees the call's slot if the call is over and none of its attempts is in flight.
  void release_if_ended(std::uint32_t call, TimePoint now);

  // --- Calls of one key (key_ordering.cpp); `queue` is an index into `key_queues`
  Answer enqueue_by_key(std::uint32_t call, TimePoint now);
  void leave_key_queue(std::uint32_t call, TimePoint now);
  void start_next_of_queue(std::uint32_t queue, TimePoint now);
  void serve_key_queues(TimePoint now);
  void expire_queued(TimePoint now);
  /// Returns the link accessor that IntrusiveQueue needs: it maps a call to the next one in its key's queue.
  auto next_in_queue() {
    return [this](std::uint32_t call) -> std::uint32_t& { return calls[call].next_in_queue; };
  }

  // --- Admission (admission.cpp)
  bool is_admitted(const Call& call);
  Span time_since_first_try(std::uint32_t track, const ApiCall& request);
  void record_result(const Call& call, bool is_served, TimePoint now);
  void update_limit(TimePoint now);
  double min_limit() const;

  // --- Retries (retries.cpp)
  bool may_dispatch_again(const Call& call, TimePoint now);
  bool can_be_served_in_time(const Call& call, Span wait, TimePoint now);
  int remaining_retry_budget(TimePoint now);
  bool is_retry_forbidden(const Call& call, TimePoint now) const;
  bool is_in_retry_scope(const Call& call, const Endpoint& endpoint, TimePoint now) const;
  void cancel_calls_at_silent_endpoints(TimePoint now);

  // --- Known endpoints (endpoint_list.cpp)
  Answers update_endpoints(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now);
  void update_endpoint(Endpoint& endpoint, const ListedEndpoint& entry, TimePoint now);
  void remove_endpoint(Endpoint& endpoint, TimePoint now);
  std::uint32_t allocate_endpoint();
  Endpoint* find_endpoint(EndpointId id) {
    const std::uint32_t at = endpoint_index.find(id);
    return at == IdIndex::none ? nullptr : &endpoints[at];
  }
  /// Returns true if the rules permit sending the call to the endpoint: drains, slow start and the scope of
  /// retries. These rules hold even when health is ignored.
  bool is_permitted(const Call& call, Endpoint& endpoint, TimePoint now);
  double slow_start_factor(const Endpoint& endpoint, TimePoint now) const;
  void refill_slow_start_tokens(Endpoint& endpoint, TimePoint now);

  // --- Endpoint selection (endpoint_selection.cpp); the result is an index, or -1 if there is none
  int select_endpoint(const Call& call, TimePoint now);
  int select_by_key(const Call& call, TimePoint now);
  int select_from(const Call& call, const RingRange& range, TimePoint now);
  int draw_from(const Call& call, const RingRange& range, TimePoint now);
  int least_loaded_of(const Call& call, const RingRange& range, TimePoint now);
  int least_loaded_where(const Call& call, const RingRange& range, bool needs_health, TimePoint now);
  bool are_most_unhealthy(const RingRange& range, TimePoint now);
  bool was_tried(const Call& call, std::size_t endpoint) const;
  bool is_passed_over_by_load(const Endpoint& endpoint, TimePoint now);
  double high_reported_load() const;
  double key_popularity(std::uint64_t key);
  void update_weights(TimePoint now);
  void update_ready_figures(TimePoint now);
  void update_outliers_and_weights(double typical_tail_ms, TimePoint now);
  void update_arrival_rate(TimePoint now);
  void order_ring();
  void update_subset(TimePoint now);

  // --- Health (health.cpp)
  bool is_healthy(const Endpoint& endpoint, TimePoint now);
  bool is_silent(const Endpoint& endpoint, TimePoint now);
  bool is_connection_suspect(const Endpoint& endpoint, TimePoint now) const;
  bool has_spare_connection(const Endpoint& endpoint, TimePoint now) const;
  void learn_from(Endpoint& endpoint, const Dispatch& dispatch, const DispatchEnd& end, TimePoint now);
  void count_connections(Endpoint& endpoint, Outcome outcome, TimePoint now);
  void learn_from_timeout(Endpoint& endpoint, const Dispatch& dispatch, const DispatchEnd& end,
                          TimePoint now);
  void learn_from_response(Endpoint& endpoint, const DispatchEnd& end, TimePoint now);
  void learn_from_load_report(Endpoint& endpoint, const LoadReport& report, TimePoint now);
  void record_failure(Endpoint& endpoint, TimePoint now, const char* what, int weight = 1);
  bool is_idle_connection_loss(const Endpoint& endpoint, const Dispatch& dispatch, bool is_immediate_reset,
                               TimePoint now);
  void record_utilization(double utilization, TimePoint now);

  // --- From the settings
  const SettingsReader settings;
  Pcg random;
  bool is_first_tier;       ///< clients call this tier; admission control applies only here
  bool is_removal_binding;  ///< endpoints removed from the list get no calls; otherwise only drained ones
  bool can_cancel;          ///< attempts can be cancelled
  bool can_send_retry_after;
  bool must_subscribe;  ///< the endpoint list has to be subscribed to
  bool clients_mark_retries;
  bool can_publish_load = false;  ///< loads can be published to other sidecars
  bool has_warm_keys = false;     ///< calls are cheaper at an endpoint that has served their key before
  bool is_only_tier = false;      ///< all of the response time is spent at the endpoint
  bool expects_load_reports = false;
  bool has_shared_connections = false;  ///< a connection carries many calls at a time
  /// Connections carry one call at a time and crossing zones is free: the sidecar prefers a subset of the
  /// endpoints, to keep few connections in use.
  bool uses_subset = false;
  double ring_position = 0.0;  ///< start of this sidecar's subset on the ring, in [0, 1)
  int own_zone = -1;           ///< -1: crossing zones is free
  double sidecar_count;
  double slow_start_share;  ///< capacity of an endpoint that just started, as a fraction of a warm one's
  Span slow_start_duration;
  double slow_start_burst;  ///< multiple of the rate, over the window below, that overloads the endpoint
  Span slow_start_window;
  double slow_start_budget_share = 1.0;  ///< this process's fraction of the sidecar's budgets
  Span max_retry_after;
  std::uint8_t max_dispatches;
  std::vector<Track> tracks;
  Span unknown_end_delay;      ///< delay of a key's next call after an attempt of unknown outcome
  double free_retries = -1.0;  ///< retry budget within the window; negative: no budget is set
  double retry_ratio = 0.0;    ///< additional retry budget for each call in the window
  Span retry_window;

  // --- Endpoints
  std::vector<Endpoint> endpoints;
  IdIndex endpoint_index;
  std::vector<double> model_latency_ms;  ///< smoothed, by machine model; 0: not measured
  std::vector<std::uint32_t> ring;       ///< endpoint indices in an order that all sidecars share
  LatencyWeights weights;                ///< selection weights, by position on the ring
  RingRange subset;                      ///< the range of the ring that calls without a warm key prefer
  int subset_ready_count = 0;
  int ready_count = 0;
  double warm_ready_count = 0.0;  ///< sum of the ready endpoints' slow start factors
  int zone_draws = 0;             ///< additional draws to find an endpoint in the own zone
  bool are_most_silent = false;   ///< most endpoints are silent, so silence does not count against one
  std::array<KeyPopularity, 64> popular_keys;

  // --- Connections
  double refused_fraction = 0.0;       ///< smoothed fraction of dispatches that got no connection
  TimePoint connections_scarce_until;  ///< until then the sidecar stays within its subset
  Span safe_idle_time;                 ///< a connection that has been idle for less is reused
  TimePoint idle_loss_at = TimePoint::at_ms(-1e9);  ///< when a loss of an idle connection was last found

  // --- Calls
  Slab<Call> calls;
  IdIndex call_index;
  std::vector<std::uint32_t> waiting;                 ///< calls that are waiting for an endpoint
  std::vector<TimeoutStatistics> timeout_statistics;  ///< by track
  Slab<KeyQueue> key_queues;
  IdIndex key_queue_index;                                         ///< by key
  std::deque<std::pair<TimePoint, std::uint32_t>> blocked_queues;  ///< unblocking times and queues, in order
  std::vector<std::uint32_t> runnable_queues;                      ///< queues whose first call may be sent
  int calls_in_progress = 0;  ///< calls with an attempt in flight, or waiting for an endpoint
  int in_flight = 0;          ///< attempts in flight

  // --- Retries
  double retry_tokens = 0.0;
  std::deque<TimePoint> recent_retries;  ///< times of the retries within the retry window
  WindowedCount recent_calls;            ///< number of calls within the retry window
  int pending_retries = 0;               ///< abandoned attempts whose calls will be retried

  // --- Admission
  LatencyEstimate estimate;
  double limit = 0.0;          ///< limit on the mean number of calls in progress
  double mean_value = 0.0;     ///< mean value of recent calls
  double value_samples = 0.0;  ///< number of calls in `mean_value`
  double arrival_rate = 0.0;   ///< calls/s
  TimePoint rate_measured_at;
  double mean_in_progress = 0.0;  ///< smoothed calls_in_progress
  double late_fraction = 0.0;     ///< smoothed fraction of results that were late
  double utilization = 0.0;       ///< smoothed fraction of the endpoints' usable capacity that is in use
  TimePoint utilization_measured_at;
  bool has_load_reports = false;
  double mean_reported_load = 0.0;  ///< smoothed calls in an endpoint, by its load reports
  double reported_capacity = 0.0;   ///< smoothed calls in progress that the endpoints have capacity for
  double own_time_fraction = 0.0;   ///< fraction of the response time that is spent at the endpoint itself
  int results_in_step = 0, max_in_progress_in_step = 0, arrivals_since_rate = 0;
  bool has_rejected_in_step = false;
  int trial_results_left = 0;  ///< results until a restored limit is trusted; 0: it is trusted
  int late_trial_results = 0;

  // --- Timers
  TimePoint next_look_at, next_limit_update_at;
  TimePoint subscribe_at = TimePoint::never();
  Span subscribe_backoff;

  AnswerList answers;  ///< answers to the current event
};

}  // namespace chutevane
