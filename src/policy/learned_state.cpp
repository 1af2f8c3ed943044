/// Learned state that a process hands over to its successor, which then need not learn it again.
#include <algorithm>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

std::vector<LearnedLatency> Balancer::learned_latencies() const {
  std::vector<LearnedLatency> learned;
  for (const Endpoint& endpoint : state_->endpoints) {
    if (endpoint.is_ready() && endpoint.latency_ms > 0.0)
      learned.push_back({endpoint.id, endpoint.started_at, endpoint.latency_ms});
  }
  return learned;
}

void Balancer::restore_latencies(std::span<const LearnedLatency> known, TimePoint now) {
  for (const LearnedLatency& learned : known) {
    Endpoint* endpoint = state_->find_endpoint(learned.endpoint);
    if (endpoint == nullptr || !endpoint->is_ready()) continue;
    const bool is_same_process = endpoint->started_at == learned.started_at;
    if (is_same_process && endpoint->latency_ms <= 0.0) endpoint->latency_ms = learned.latency_ms;
  }
  state_->update_weights(now);
}

LearnedLoad Balancer::learned_load(TimePoint now) const {
  State& s = *state_;
  LearnedLoad load{s.limit, s.arrival_rate, s.late_fraction, s.retry_tokens};
  const auto count = static_cast<double>(load.times_ms.size());
  for (std::size_t i = 0; i < load.times_ms.size() && s.estimate.is_measured(now); ++i)
    load.times_ms[i] = s.estimate.quantile((static_cast<double>(i) + 0.5) / count, now).as_ms();
  return load;
}

void Balancer::restore_load(const LearnedLoad& load, TimePoint now) {
  State& s = *state_;
  s.limit = load.limit;
  s.arrival_rate = load.rate;
  s.late_fraction = load.late_fraction;
  s.trial_results_left = load.is_on_trial ? trial_results : 0;
  s.retry_tokens = std::clamp(load.retry_tokens, 0.0, max_retry_tokens);
  for (const double ms : load.times_ms) {
    if (ms > 0.0) s.estimate.record_response(Span::ms(ms), now);
  }
  if (!load.are_budgets_spent) return;
  for (Endpoint& endpoint : s.endpoints) endpoint.slow_start_tokens = 0.0;
}

}  // namespace chutevane
