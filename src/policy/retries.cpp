/// Decides whether a call is retried. Three bounds hold at the same time: the call's idempotency, a bucket of
/// tokens that calls fill (so that retries stay a fraction of the load), and the retry budget that some
/// deployments set.
#include <algorithm>
#include <limits>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

// Returns true if a call that may have been executed must not be sent to any endpoint again.
bool Balancer::State::is_retry_forbidden(const Call& call, TimePoint now) const {
  const Track& track = tracks[call.track];
  return track.idempotency == Idempotency::non_idempotent ||
         (track.idempotency == Idempotency::keyed && now - call.executed_since >= track.idempotency_window);
}

// Returns true if the endpoint would recognize a retry of a call that may have been executed.
bool Balancer::State::is_in_retry_scope(const Call& call, const Endpoint& endpoint, TimePoint now) const {
  const Track& track = tracks[call.track];
  if (track.idempotency == Idempotency::idempotent) return true;
  if (is_retry_forbidden(call, now)) return false;
  const Dispatch& first = call.dispatches[static_cast<std::size_t>(call.first_executed)];
  switch (track.retry_scope) {
    case RetryScope::all: return true;
    case RetryScope::zone: return first.zone == endpoint.zone;
    case RetryScope::cell: return first.cell == endpoint.cell;
  }
  return false;
}

bool Balancer::State::may_dispatch_again(const Call& call, TimePoint now) {
  if (call.dispatch_count + call.dispatched_elsewhere >= max_dispatches) return false;
  if (call.first_executed >= 0 && is_retry_forbidden(call, now)) return false;
  return remaining_retry_budget(now) > pending_retries && can_be_served_in_time(call, Span(), now);
}

// Judges by the median response time. If late responses have no value, the time to the latency target counts
// instead of the time to the deadline.
bool Balancer::State::can_be_served_in_time(const Call& call, Span wait, TimePoint now) {
  Span remaining = call.deadline - now;
  if (is_first_tier && tracks[call.track].late_value <= 0.0)
    remaining = std::min(remaining, call.target_deadline - now);
  return remaining - wait > estimate.median(now);
}

// Returns the number of retries that the deployment's budget still allows. Calls count only while the whole
// of their time slice is within the window, so the result never exceeds the rule.
int Balancer::State::remaining_retry_budget(TimePoint now) {
  if (free_retries < 0.0) return std::numeric_limits<int>::max();
  while (!recent_retries.empty() && now - recent_retries.front() > retry_window + clock_granularity)
    recent_retries.pop_front();
  return static_cast<int>(free_retries + retry_ratio * recent_calls.sum(now)) -
         static_cast<int>(recent_retries.size());
}

// Cancels calls at silent endpoints, so that they are retried elsewhere before their latency target. Does
// nothing if most endpoints are silent.
void Balancer::State::cancel_calls_at_silent_endpoints(TimePoint now) {
  int silent_count = 0;
  for (const Endpoint& endpoint : endpoints)
    silent_count += endpoint.is_ready() && is_silent(endpoint, now) ? 1 : 0;
  are_most_silent = silent_count * 2 > ready_count;
  if (silent_count == 0 || are_most_silent || !can_cancel) return;
  for (std::uint32_t index = 0; index < calls.size(); ++index) {
    const Call& call = calls[index];
    if (!call.in_use || call.is_over || call.in_flight_count != 1 || call.dispatch_count == 0) continue;
    if (retry_tokens < 1.0) continue;
    Dispatch& dispatch = calls[index].dispatches[call.dispatch_count - 1U];
    if (!dispatch.is_in_flight || dispatch.is_abandoned) continue;
    if (tracks[call.track].idempotency != Idempotency::idempotent) continue;
    if (!is_silent(endpoints[dispatch.endpoint], now)) continue;
    if (now - dispatch.sent_at < estimate.high(now) || !may_dispatch_again(call, now)) continue;
    dispatch.is_abandoned = true;
    ++pending_retries;
    answers.add(Verdict::cancel, call.id, call.dispatch_count - 1U);
    retry_tokens -= 1.0;
  }
}

}  // namespace chutevane
