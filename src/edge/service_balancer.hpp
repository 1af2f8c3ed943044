/// Client-side load balancing for one service: sets the timeout of each attempt, decides whether a retry is
/// worthwhile, and chooses the endpoint. Performs no I/O. The caller passes the current time to every call,
/// so tests control the clock.
///
/// Timeouts and retries (after NResilience; docs/design.md, departures in docs/system.md):
///  - attempt_timeout() returns the smallest of the route's timeout, the time that the client still waits,
///    and the adaptive timeout: three times the 95th percentile of the latencies of the last 10 s, at least
///    50 ms. The adaptive timeout applies only if another attempt may follow, at least 20 responses were
///    observed, and it has not cut off so many responses that its estimate could only decrease
///    (LatencyEstimate::update_starved).
///  - is_expired() returns true if no time is left; nothing is sent then.
///  - allows_retry() returns false if less time is left than the median attempt takes.
///
/// Endpoint selection, choose_endpoint():
///  - Candidates are all endpoints except those that have rejected or failed the request
///    (AttemptContext::avoid) and those that are ejected after failures (for 300 ms, doubling up to 5 s). If
///    more of the endpoints that need not be avoided are ejected than not, the cause is probably not the
///    endpoints, and the ejected ones are candidates too.
///  - Subsetting: each process orders the endpoints in its own way, with its own zone first, and sends to the
///    first ones. The subset is sized so that each endpoint has half an attempt in flight on average, with a
///    minimum of three. A small subset saves connections and keeps the load reports of its endpoints recent.
///  - Selection by cost: requests that list the blocks of their prompt, on routes with affinity, go to the
///    endpoint with the lowest placement_cost(), in tokens of prefill (see EngineModel for the terms). An
///    endpoint outside the subset costs an additional connection.
///  - Selection by weight: all other requests go to a random endpoint, weighted by the inverse of its
///    smoothed latency. Weights are recomputed every 2 s. Endpoints with well above the mean number of
///    requests in flight are skipped. A candidate outside the subset is chosen only if those inside are
///    nearly full.
///
/// State per endpoint: the attempts of this process in flight, their latencies, consecutive failures, the
/// prompt blocks that were sent there (PrefixCacheIndex), and the load that its responses report. The two
/// kinds of selection use a load report differently: a weighted draw counts it in full for 2 s and ignores it
/// after that (recent_load); a cost lets it decay towards the mean of all endpoints
/// (EngineModel::expected_other_requests).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/pcg.hpp"
#include "base/windowed_count.hpp"
#include "chutevane/types.hpp"
#include "edge/engine_model.hpp"
#include "edge/prefix_cache_index.hpp"
#include "policy/latency_estimate.hpp"
#include "policy/latency_weights.hpp"

namespace chutevane::edge {

/// The properties of a request that determine where its next attempt goes, and the balancer's own bookkeeping
/// for the attempt in flight. There is one per request; the caller owns it and reuses it for successive
/// attempts.
struct AttemptContext {
  bool has_affinity = false;        ///< the route prefers endpoints that have the prompt cached
  std::vector<PromptBlock> prompt;  ///< blocks of the prompt in order; empty if unknown
  double body_bytes = 0;
  std::vector<std::string> avoid;  ///< ids of endpoints that have rejected or failed this request

  // Written by on_attempt_sent() and read until on_attempt_ended(), also through a const reference.
  mutable double pending_prefill_tokens = 0;  ///< prompt tokens that the endpoint has not processed yet
  mutable std::optional<TimePoint> sent_at{};
};

/// How an attempt ended. The balancer updates the statistics of the service and of the endpoint with it.
enum class AttemptOutcome : std::uint8_t {
  served,
  failed,    ///< connection lost, invalid response, server error, or no response within the route's timeout
  rejected,  ///< the endpoint has proven that it did not execute the request
  adaptive_timeout,  ///< ended by the adaptive timeout; does not count as a failure of the endpoint
  cancelled,         ///< the client has disconnected
};

/// The balancer of one service in one process. Not thread-safe. For each attempt the caller calls
/// choose_endpoint(), on_attempt_sent(), on_response() if there is one, and on_attempt_ended() exactly once.
class ServiceBalancer {
 public:
  /// `zone` is the zone of this process. `seed` determines the random draws and the order of endpoints.
  ServiceBalancer(std::string zone, std::uint64_t seed);

  /// An endpoint of the service, from the endpoint list.
  struct EndpointInfo {
    std::string id;
    std::string zone;
    std::size_t capacity = 0;  ///< slots: number of requests that it runs concurrently
  };
  /// Replaces the endpoints that may be chosen. Endpoints that remain keep their statistics.
  void update_endpoints(const std::vector<EndpointInfo>& endpoints, TimePoint now);
  /// Sets the properties of the service's engine: the size of its KV cache in tokens, and the number of
  /// requests per batch (0 means the endpoint's capacity).
  void set_engine(double kv_cache_tokens, std::size_t batch_size) {
    kv_cache_tokens_ = kv_cache_tokens;
    batch_size_ = static_cast<double>(batch_size);
  }
  bool empty() const { return endpoints_.empty(); }

  /// Returns the timeout of an attempt that is sent now. `may_retry` is true if another attempt may follow;
  /// only then may the timeout be shorter than both `route_timeout` and `time_left`.
  Span attempt_timeout(Span route_timeout, Span time_left, bool may_retry, TimePoint now);
  static bool is_expired(Span time_left) { return time_left <= Span(); }
  /// Returns true if a retry can be expected to finish in `time_left`. Not called for first attempts.
  bool allows_retry(Span time_left, TimePoint now);

  /// Returns the id of the endpoint for an attempt, or std::nullopt if all endpoints are to be avoided.
  [[nodiscard]] std::optional<std::string> choose_endpoint(const AttemptContext& attempt, TimePoint now);
  void on_attempt_sent(const std::string& id, const AttemptContext& attempt, TimePoint now);
  /// `latency` is the time from sending the request to the first event of a stream, or to the end of any
  /// other response.
  void on_response(const std::string& id, const AttemptContext& attempt, Span latency, TimePoint now);
  void on_attempt_ended(const std::string& id, const AttemptContext& attempt, AttemptOutcome outcome,
                        TimePoint now);
  /// Records the load that an endpoint reported in a response: the requests of all processes that run and
  /// wait there.
  void on_load_report(const std::string& id, double running, double waiting, TimePoint now);

  /// Returns the number of attempts of this process in flight at the listed endpoints.
  double in_flight() const;
  /// Returns true if more than half of all slots are known to be in use.
  bool is_crowded() const;

 private:
  struct EndpointState {
    std::string id;
    std::string zone;
    std::size_t capacity = 0;
    double in_flight = 0;               // attempts of this process
    double pending_prefill_tokens = 0;  // tokens of this process's prompts that are not processed yet
    double smoothed_latency_ms = 0;     // 0 until a latency has been observed
    double other_requests = 0;          // requests of other processes, from the last load report
    bool has_load_report = false;
    TimePoint load_reported_at;
    TimePoint ejected_until;
    double consecutive_failures = 0;
    PrefixCacheIndex prefix_cache;
  };

  EndpointState* find(const std::string& id);
  void update_weights(TimePoint now);
  std::vector<std::size_t> candidates(const AttemptContext& attempt, TimePoint now) const;
  std::size_t subset_size(TimePoint now);

  std::string choose_by_weight(const std::vector<std::size_t>& candidates, TimePoint now);
  std::optional<std::size_t> least_loaded_in_subset(std::size_t subset, const std::vector<bool>& is_candidate,
                                                    TimePoint now) const;
  static double recent_load(const EndpointState& endpoint, TimePoint now);

  std::string choose_by_cost(const std::vector<std::size_t>& candidates, const AttemptContext& attempt,
                             TimePoint now);
  double placement_cost(const EndpointState& endpoint, const AttemptContext& attempt, TimePoint now) const;
  double expected_other_requests(const EndpointState& endpoint, TimePoint now) const;

  void observe_duration(const AttemptContext& attempt, AttemptOutcome outcome, TimePoint now);
  static void complete_prefill(EndpointState& endpoint, const AttemptContext& attempt);
  static void eject(EndpointState& endpoint, TimePoint now);

  static constexpr Span attempt_window = Span::ms(10000);

  const std::string zone_;
  const std::uint64_t seed_;
  Pcg random_;
  double kv_cache_tokens_ = 0;
  double batch_size_ = 0;
  EngineModel model_;
  std::vector<EndpointState> endpoints_;                // the subset comes first
  std::unordered_map<std::string, std::size_t> index_;  // endpoint id -> index in endpoints_
  LatencyEstimate estimate_;
  WindowedCount recent_attempts_{attempt_window};
  double mean_attempt_ms_ = 0;  // smoothed; 0 until an attempt has ended
  LatencyWeights weights_{TimePoint()};
};

}  // namespace chutevane::edge
