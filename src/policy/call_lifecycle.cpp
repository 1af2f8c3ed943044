/// The lifecycle of a call: dispatch, wait for an endpoint, rejection, end.
#include <algorithm>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

// Fraction of the latency target that a call may wait for an endpoint: leaves most of it for the response.
constexpr double max_wait_fraction = 0.15;
// Fraction of the maximum retry delay that is stated when the rejection is not due to overload.
constexpr double short_retry_after_fraction = 0.25;

Answer Balancer::State::dispatch_or_wait(std::uint32_t index, TimePoint now) {
  const Call& call = calls[index];
  const bool is_retry = call.dispatch_count + call.dispatched_elsewhere > 0;
  if (call.deadline <= now || (is_retry && remaining_retry_budget(now) < 1)) return reject(index, now, false);
  const int endpoint = select_endpoint(call, now);
  return endpoint >= 0 ? dispatch(index, static_cast<std::uint32_t>(endpoint), now)
                       : wait_or_reject(index, now);
}

Answer Balancer::State::dispatch(std::uint32_t index, std::uint32_t endpoint_at, TimePoint now) {
  Call& call = calls[index];
  Endpoint& endpoint = endpoints[endpoint_at];
  const Track& track = tracks[call.track];
  const Span remaining = call.deadline - now;
  Answer answer{
      .verdict = Verdict::dispatch, .call = call.id, .endpoint = endpoint.id, .number = call.dispatch_count};
  answer.span = estimate.attempt_timeout(std::min(track.client_timeout, remaining), now);
  // Connecting may take longer than the endpoints remember the call's idempotency key, in which case the call
  // would be executed a second time.
  if (call.first_executed >= 0 && track.idempotency == Idempotency::keyed)
    answer.until = call.executed_since + track.idempotency_window;
  answer.needs_new_connection = is_connection_suspect(endpoint, now);
  const bool has_idle_time =
      !answer.needs_new_connection && endpoint.in_flight <= 0 && endpoint.last_used_at != TimePoint();
  const Span idle = has_idle_time ? now - endpoint.last_used_at : Span();
  endpoint.last_used_at = now;
  call.dispatches[call.dispatch_count++] = {.endpoint = endpoint_at,
                                            .sent_at = now,
                                            .zone = endpoint.zone,
                                            .cell = endpoint.cell,
                                            .is_in_flight = true,
                                            .has_adaptive_timeout = answer.span < remaining,
                                            .is_abandoned = false,
                                            .connection_idle = idle};
  if (free_retries >= 0.0 && call.dispatch_count + call.dispatched_elsewhere > 1)
    recent_retries.push_back(now);
  ++call.in_flight_count;
  call.is_waiting = false;
  if (endpoint.in_flight++ == 0) endpoint.active_since = now;
  ++in_flight;
  if (slow_start_factor(endpoint, now) < 1.0) endpoint.slow_start_tokens -= 1.0;
  return answer;
}

// Handles a call that no endpoint can take now: lets it wait briefly if that leaves time for the response.
Answer Balancer::State::wait_or_reject(std::uint32_t index, TimePoint now) {
  Call& call = calls[index];
  if (!call.is_waiting) {
    call.is_waiting = true;
    call.wait_until = std::min(now + tracks[call.track].latency_target * max_wait_fraction,
                               call.deadline - response_margin - look_interval);
    if (ready_count > 0 && call.wait_until > now) waiting.push_back(index);
  }
  if (ready_count == 0 || call.wait_until <= now) return reject(index, now, true);
  return {.verdict = Verdict::wait, .call = call.id, .until = call.wait_until};
}

// Asks the client to retry only if the call cannot be executed twice: it was never sent, it is idempotent, or
// every endpoint knows its idempotency key.
Answer Balancer::State::reject(std::uint32_t index, TimePoint now, bool is_overload) {
  const Call& call = calls[index];
  const Track& track = tracks[call.track];
  const bool is_known_everywhere =
      track.idempotency == Idempotency::keyed && track.retry_scope == RetryScope::all;
  const bool is_safe = call.first_executed < 0 || is_known_everywhere;
  Answer answer{.verdict = Verdict::fail, .call = call.id};
  if (track.idempotency == Idempotency::idempotent || (is_safe && call.in_flight_count == 0))
    answer.verdict = Verdict::reject;
  if (answer.verdict == Verdict::reject && can_send_retry_after)
    answer.span = is_overload ? max_retry_after : max_retry_after * short_retry_after_fraction;
  finish(index, now);
  return answer;
}

// Dispatches waiting calls in order of value, the highest first.
void Balancer::State::serve_waiting(TimePoint now) {
  if (waiting.empty()) return;
  std::erase_if(waiting, [&](std::uint32_t index) { return !calls[index].is_waiting; });
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](std::uint32_t a, std::uint32_t b) { return calls[a].value > calls[b].value; });
  for (std::size_t i = 0; i < waiting.size();) {
    const std::size_t size_before = waiting.size();
    const Answer answer = dispatch_or_wait(waiting[i], now);
    answers.add_final(answer);
    if (answer.verdict == Verdict::wait) {
      ++i;
    } else if (waiting.size() == size_before) {  // otherwise the call has ended and was removed
      waiting.erase(waiting.begin() + static_cast<long>(i));
    }
  }
}

void Balancer::State::finish(std::uint32_t index, TimePoint now) {
  Call& call = calls[index];
  if (call.is_over) return;
  call.is_over = true;
  call.is_waiting = false;
  calls_in_progress -= call.is_uploading || call.is_queued ? 0 : 1;
  call.is_queued = false;
  if (can_cancel && call.dispatch_count > 0 && call.dispatches[call.dispatch_count - 1U].is_in_flight)
    answers.add(Verdict::cancel, call.id, call.dispatch_count - 1U);
  release_if_ended(index, now);
}

void Balancer::State::release_if_ended(std::uint32_t index, TimePoint now) {
  Call& call = calls[index];
  if (!call.is_over || call.in_flight_count > 0 || !call.in_use) return;
  if (call.key_queue != KeyQueue::none) leave_key_queue(index, now);
  std::erase(waiting, index);
  call_index.erase(call.id);
  call.in_use = false;
  calls.give_back(index);
}

}  // namespace chutevane
