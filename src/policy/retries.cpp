/// Whether a call is sent again. Three bounds hold together: what its idempotency permits, a bucket of tokens
/// that is filled by calls (so that retries stay a fraction of the load), and the budget that some
/// deployments state.
#include <algorithm>
#include <limits>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

// Of a call that may have been executed: whether it may go nowhere again.
bool Balancer::State::is_retry_forbidden(const Call& call, TimePoint now) const {
  const Track& track = tracks[call.track];
  return track.idempotency == Idempotency::non_idempotent ||
         (track.idempotency == Idempotency::keyed && now - call.executed_since >= track.idempotency_window);
}

// Of a call that may have been executed: whether the endpoint recognises it.
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

// By the median response time. Where late responses have no value, the time to the latency target counts in
// place of the time to the deadline.
bool Balancer::State::can_be_served_in_time(const Call& call, Span wait, TimePoint now) {
  Span remaining = call.deadline - now;
  if (is_first_tier && tracks[call.track].late_value <= 0.0)
    remaining = std::min(remaining, call.target_deadline - now);
  return remaining - wait > estimate.median(now);
}

// What the stated budget leaves of dispatches beyond a call's first. Calls count while the whole of their
// slice lies within the window, so that it is never more than the rule allows.
int Balancer::State::remaining_retry_budget(TimePoint now) {
  if (free_retries < 0.0) return std::numeric_limits<int>::max();
  while (!recent_retries.empty() && now - recent_retries.front() > retry_window + clock_granularity)
    recent_retries.pop_front();
  return static_cast<int>(free_retries + retry_ratio * recent_calls.sum(now)) -
         static_cast<int>(recent_retries.size());
}

// Calls at an endpoint that alone is silent are cancelled, to be sent elsewhere, before their latency target.
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
