/// Admission control at the first tier: a limit on the calls in progress, adjusted by lateness, load reports
/// and the value of calls. As in congestion control, the limit grows gradually while responses are in time
/// and calls are being rejected, and is cut by a factor while too many responses are late.
#include <algorithm>
#include <cmath>

#include "base/remembered.hpp"
#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double late_threshold = 0.6;     // fraction of the latency target above which a result is late
constexpr double max_late_fraction = 0.2;  // fraction of late results above which the limit is lowered
constexpr double late_gain = 0.04;         // weight of a result: averages about the last 25
constexpr double limit_decrease = 0.9;     // factor per step: halves the limit in under 2 s
// Fraction of the limit per step while it rejects calls: a tenth per second, since overload shows late.
constexpr double limit_increase = 0.02;
constexpr double capacity_gain = 0.05;     // weight per step: averages the reported capacity over about 5 s
constexpr double kept_capacity = 0.5;      // fraction kept despite late results: all sidecars cut at once
constexpr double low_utilization = 0.8;    // below it late responses are not due to a lack of cores
constexpr double min_utilization = 0.25;   // lowest utilization that a capacity is inferred from
constexpr double report_lag_factor = 1.5;  // multiple of the limit allowed since reports lag by 1 to 2 s
constexpr double value_slope = 0.2;        // fraction of the limit per doubling of the value over the mean
constexpr double min_value_level = 0.2, max_value_level = 1.3;  // fractions of the limit, by a call's value
constexpr double chance_deviations = 2.0;  // standard deviations of a Poisson count that chance explains
// Factor on the deviation of the mean: a mean off by a quarter of the limit moves the bound by the whole.
constexpr double mean_correction = 4.0;
constexpr double same_timeout_tolerance = 0.01;  // fraction of the client timeout; transit varies by less
constexpr double timeout_decay = 0.995;          // per call: learns the usual timeout over about 200 calls
constexpr double min_usual_weight = 10.0;  // calls with the usual timeout before others count as retries

// The lower bound of the limit. Calls that wait for deeper tiers occupy no core, so it grows with the part of
// the response time that is spent there.
double Balancer::State::min_limit() const {
  return min_calls_per_endpoint / own_time_fraction / sidecar_count * std::max(1.0, warm_ready_count);
}

// Infers how long ago the client first tried from the timeout that it states, since a retry past its latency
// target has no value. Returns zero for a first try.
Span Balancer::State::time_since_first_try(std::uint32_t track, const ApiCall& request) {
  using Candidate = TimeoutStatistics::Candidate;
  const Span client_timeout = tracks[track].client_timeout;
  TimeoutStatistics& statistics = timeout_statistics[track];
  const auto is_same = [&](const Candidate& candidate) {
    return std::abs((candidate.timeout - request.time_left) / client_timeout) <= same_timeout_tolerance;
  };
  const std::size_t at =
      find_or_replace(statistics.candidates, timeout_decay, {request.time_left, 0.0}, is_same);
  statistics.candidates[at].weight += 1.0;
  if (statistics.candidates[at].weight > 2.0 * statistics.candidates[statistics.usual].weight)
    statistics.usual = at;
  const bool may_be_first = at == statistics.usual || clients_mark_retries;
  if (may_be_first && !request.is_marked_retry) return Span();
  if (statistics.candidates[statistics.usual].weight < min_usual_weight) return Span();
  return std::max(Span(), client_timeout - request.time_left);
}

// Deeper tiers reject no calls early: the call was admitted at the first tier and work has gone into it.
bool Balancer::State::is_admitted(const Call& call) {
  if (!is_first_tier) return true;
  const Track& track = tracks[call.track];
  // Rejects retries only: if the median exceeded a track's latency target, all of its first tries would be
  // rejected, permanently.
  const Span useful = call.target_deadline - call.arrived_at;
  if (track.late_value <= 0.0 &&
      useful < std::min(track.latency_target, estimate.quantile(0.5, call.arrived_at)))
    return false;
  const double above_mean = std::log2(std::max(1e-6, call.value / std::max(1e-6, mean_value)));
  const double level = std::clamp(1.0 + value_slope * above_mean, min_value_level, max_value_level);
  const double ahead = has_load_reports && utilization < 1.0 ? report_lag_factor : 1.0;
  const double bound = std::max(limit, min_limit()) * level * ahead;
  if (expects_load_reports && !has_load_reports) return true;
  // The limit bounds the mean number of calls in progress. As a bound on the current number it would reject
  // calls at tiers that are half idle.
  const double chance = chance_deviations * std::sqrt(bound);
  const double correction = std::clamp((bound - mean_in_progress) * mean_correction, -chance, chance);
  if (calls_in_progress - 1 < bound + correction) return true;
  has_rejected_in_step = true;
  return false;
}

void Balancer::State::record_result(const Call& call, bool is_served, TimePoint now) {
  const Span target = tracks[call.track].latency_target;
  // A call whose client times out before a response could be late tells nothing about lateness.
  if (!is_first_tier || call.deadline - call.arrived_at < target * late_threshold) return;
  ++results_in_step;
  const bool is_late = !is_served || (now - call.arrived_at) / target > late_threshold;
  late_fraction += ((is_late ? 1.0 : 0.0) - late_fraction) * late_gain;
  // A restored limit that admits too many calls is reset to the lower bound at once and learned again.
  if (trial_results_left == 0) return;
  --trial_results_left;
  if (is_late && ++late_trial_results > max_late_fraction * trial_results) limit = trial_results_left = 0;
}

void Balancer::State::update_limit(TimePoint now) {
  next_limit_update_at = now + limit_update_interval;
  const bool has_spare_capacity = has_load_reports && utilization < 1.0;
  const double inferred_capacity = mean_in_progress / std::max(min_utilization, utilization);
  // While endpoints report spare capacity, calls in progress may grow into it. The lower bound alone would
  // give every sidecar the same share, whatever its load.
  if (has_spare_capacity) reported_capacity += (inferred_capacity - reported_capacity) * capacity_gain;
  const double floor = std::max(min_limit(), reported_capacity * kept_capacity);
  limit = std::max({limit, floor, has_spare_capacity ? inferred_capacity : 0.0});
  // Responses that are late while cores are idle are not caused by overload: fewer calls would not help.
  const bool may_be_overloaded = !has_load_reports || utilization > low_utilization;
  if (results_in_step > 0 && late_fraction > max_late_fraction && may_be_overloaded) {
    limit = std::max(floor, std::min<double>(limit, max_in_progress_in_step) * limit_decrease);
  } else if (has_rejected_in_step && results_in_step > 0 && utilization < 1.0) {
    limit += limit * limit_increase;  // without a result there is no evidence of capacity
  }
  update_subset(now);
  results_in_step = 0;
  max_in_progress_in_step = calls_in_progress;
  has_rejected_in_step = false;
}

}  // namespace chutevane
