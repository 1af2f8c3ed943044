/// Load balancing for one service: how long an attempt may take, whether a retry is worth it, and which
/// endpoint gets it. No I/O. Time is passed with every call, so that tests control it.
///
/// Time-outs and retries (after NResilience; docs/design.md, departures in docs/system.md):
///  - attempt_timeout(): the least of the route's timeout, the time that the client still waits, and three
///    times the 95th percentile of the latencies of the last 10 s, 50 ms at least. The third term applies
///    only where another attempt may follow, where 20 responses or more were observed, and while attempts
///    that it ended do not starve the estimate that it is made from.
///  - is_expired(): no time is left, nothing is sent.
///  - allows_retry(): less time is left than the median attempt takes, no retry.
///
/// Choice of the endpoint, choose_endpoint():
///  - Candidates are all but those that the request has met already (AttemptContext::avoid) and those that
///    are ejected after failures (300 ms, doubling to 5 s). Where more are ejected than not, the fault is
///    hardly theirs: nobody is excluded.
///  - The subset: attempts go to the first endpoints of an order of this process's own, its zone first, as
///    many that each has half an attempt in flight on the mean, three at least. Each connection has a price,
///    and what is known of a few endpoints is more recent.
///  - By cost: requests that name the blocks of their prompt, on routes with affinity, go where they cost
///    the least: placement_cost(), in tokens of prefill (EngineModel has the terms). Endpoints outside the
///    subset cost a connection more.
///  - By weight: all others are drawn at random by weights inverse to the smoothed latency, which are
///    recomputed every 2 s; endpoints with well above the mean in flight are passed over. The subset is left
///    only where it is nearly full.
///
/// What is known of an endpoint: this process's own attempts in flight, their latencies, consecutive
/// failures, the blocks of prompts that were sent there (PrefixCacheIndex), and the load that its responses
/// report. Such a report is used in two ways that give different results: a weighted draw counts it in full
/// for 2 s and not at all after that (recent_load), a cost lets it fade towards the mean of all endpoints
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
#include "policy/estimate.hpp"
#include "policy/shares.hpp"

namespace chutevane::edge {

/// A request as the balancer sees it: what decides where its next attempt goes, and what the balancer itself
/// keeps of the attempt in flight. One per request, owned by the caller, used for its attempts one after the
/// other.
struct AttemptContext {
  bool has_affinity = false;        ///< its route prefers endpoints that have its prompt cached
  std::vector<PromptBlock> prompt;  ///< blocks of the prompt, in order; empty: not known
  double body_bytes = 0;
  std::vector<std::string> avoid;  ///< ids of endpoints that have rejected or failed it

  // Written by on_attempt_sent() and read until on_attempt_ended(), also through a const reference.
  mutable double pending_prefill_tokens = 0;  ///< that its endpoint has still to read
  mutable std::optional<TimePoint> sent_at{};
};

/// How an attempt ended, for the estimates of the service and of its endpoint.
enum class AttemptOutcome : std::uint8_t {
  served,
  failed,    ///< connection lost, invalid response, server error, or no response within the route's timeout
  rejected,  ///< the endpoint has proven that it did not execute it
  adaptive_timeout,  ///< ended by the measured term of attempt_timeout(): no failure of the endpoint
  cancelled,         ///< the client is gone
};

/// The balancer of one service in one process. Not thread-safe. For each attempt: choose_endpoint(),
/// on_attempt_sent(), perhaps on_response(), and exactly one on_attempt_ended().
class ServiceBalancer {
 public:
  /// `zone`: of this process. `seed`: of the random draws and of the order of the subset.
  ServiceBalancer(std::string zone, std::uint64_t seed);

  /// An endpoint of the service as the endpoint list has it.
  struct EndpointInfo {
    std::string id;
    std::string zone;
    std::size_t capacity = 0;  ///< slots: requests that it runs at once
  };
  /// Replaces the endpoints that may be chosen. What was learned of those that stay is kept.
  void update_endpoints(const std::vector<EndpointInfo>& endpoints, TimePoint now);
  /// The service's engine: tokens of its KV cache, and requests per batch (0: the endpoint's capacity).
  void set_engine(double kv_cache_tokens, std::size_t batch_size) {
    kv_cache_tokens_ = kv_cache_tokens;
    batch_size_ = static_cast<double>(batch_size);
  }
  bool empty() const { return endpoints_.empty(); }

  /// Time-out of an attempt that is sent now. `may_retry`: another attempt may follow it; only then may it be
  /// shorter than `route_timeout` and `time_left` allow.
  Span attempt_timeout(Span route_timeout, Span time_left, bool may_retry, TimePoint now);
  static bool is_expired(Span time_left) { return time_left <= Span(); }
  /// Whether a retry can be expected to end in time. Not asked for first attempts.
  bool allows_retry(Span time_left, TimePoint now);

  /// The endpoint for an attempt; nothing where all are to be avoided.
  [[nodiscard]] std::optional<std::string> choose_endpoint(const AttemptContext& attempt, TimePoint now);
  void on_attempt_sent(const std::string& id, const AttemptContext& attempt, TimePoint now);
  /// `latency`: from sending to the first event of a stream, or to the end of any other response.
  void on_response(const std::string& id, const AttemptContext& attempt, Span latency, TimePoint now);
  void on_attempt_ended(const std::string& id, const AttemptContext& attempt, AttemptOutcome outcome,
                        TimePoint now);
  /// An endpoint's response has reported how many requests run and wait there, from all processes.
  void on_load_report(const std::string& id, double running, double waiting, TimePoint now);

  /// Attempts of this process in flight at the endpoints of the list.
  double in_flight() const;
  /// Whether more than half of all slots are known to be taken.
  bool is_crowded() const;

 private:
  struct EndpointState {
    std::string id;
    std::string zone;
    std::size_t capacity = 0;
    double in_flight = 0;               // attempts of this process
    double pending_prefill_tokens = 0;  // of this process's prompts, that it has still to read
    double smoothed_latency_ms = 0;     // 0: none observed yet
    double other_requests = 0;          // of other processes, by its last report
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
  std::vector<EndpointState> endpoints_;                // the subset is at its front
  std::unordered_map<std::string, std::size_t> index_;  // by id, into endpoints_
  Estimate estimate_;
  WindowedCount recent_attempts_{attempt_window};
  double mean_attempt_ms_ = 0;  // smoothed; 0: none has ended yet
  Shares shares_{TimePoint()};
};

}  // namespace chutevane::edge
