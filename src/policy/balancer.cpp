/// The events of include/chutevane/balancer.hpp, composed of the methods that balancer_state.hpp lists.
/// docs/design.md describes the design and its reasons.
#include "chutevane/balancer.hpp"

#include <algorithm>
#include <utility>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double retry_tokens_per_call = 0.2;
constexpr double mean_value_gain = 0.01;        // weight of a call: averages about the last 100
constexpr double mean_in_progress_gain = 0.03;  // weight per look_interval: averages about 1.5 s

// --- State: events

Answers Balancer::State::end_event(TimePoint now) {
  serve_key_queues(now);
  serve_waiting(now);
  return answers;
}

void Balancer::State::run_timers(TimePoint now) {
  if (now >= subscribe_at) {
    subscribe_at = TimePoint::never();
    answers.add(Verdict::subscribe);
  }
  if (now >= weights.next_update_at()) update_weights(now);
  if (now >= next_limit_update_at) update_limit(now);
  serve_key_queues(now);
  if (now < next_look_at) return;
  next_look_at = now + look_interval;
  mean_in_progress += (calls_in_progress - mean_in_progress) * mean_in_progress_gain;
  cancel_calls_at_silent_endpoints(now);
  if (key_queues.size() > 0) {
    expire_queued(now);
    serve_key_queues(now);
  }
  serve_waiting(now);
}

std::uint32_t Balancer::State::add_call(const ApiCall& request, TimePoint now) {
  const std::uint32_t index = calls.take();
  Call& call = calls[index];
  call.id = request.id;
  call.track = std::min(request.track, static_cast<std::uint32_t>(tracks.size() - 1));
  call.key = request.key;
  call.is_uploading = request.is_uploading;
  call.arrived_at = call.progressed_at = now;
  call.deadline = now + request.time_left;
  call.target_deadline = now + tracks[call.track].latency_target - request.prior_attempts.spent;
  call.dispatched_elsewhere = request.prior_attempts.dispatches;
  call.value = tracks[call.track].value;
  call.in_use = true;
  if (has_warm_keys && call.key != 0) call.key_popularity = key_popularity(call.key);
  call_index.put(request.id, index);
  return index;
}

Answer Balancer::State::admit(std::uint32_t index, const ApiCall& request, TimePoint now) {
  const Call& call = calls[index];
  if (!is_admitted(call)) return reject(index, now, true);
  if (request.prior_attempts.may_have_run) {
    // It may have been executed in another pool, so sending it is a retry and takes a retry token.
    if (retry_tokens < 1.0) return reject(index, now, false);
    retry_tokens -= 1.0;
  }
  if (tracks[call.track].is_ordered_by_key && call.key != 0) return enqueue_by_key(index, now);
  return dispatch_or_wait(index, now);
}

void Balancer::State::end_dispatch(Call& call, Dispatch& dispatch, const DispatchEnd& end, TimePoint now) {
  dispatch.is_in_flight = false;
  --call.in_flight_count;
  pending_retries -= dispatch.is_abandoned ? 1 : 0;
  if (end.outcome == Outcome::not_sent && end.number + call.dispatched_elsewhere > 0) {
    // It was counted as a retry when it was dispatched, but was never sent.
    const auto sent = std::find(recent_retries.begin(), recent_retries.end(), dispatch.sent_at);
    if (sent != recent_retries.end()) recent_retries.erase(sent);
  }
  const bool may_still_run =
      end.outcome == Outcome::timed_out || end.outcome == Outcome::reset || end.outcome == Outcome::cancelled;
  if (call.key_queue != KeyQueue::none && may_still_run) {
    KeyQueue& queue = key_queues[call.key_queue];
    queue.blocked_until = now + unknown_end_delay + clock_granularity;
    blocked_queues.emplace_back(queue.blocked_until, call.key_queue);
  }
  learn_from(endpoints[dispatch.endpoint], dispatch, end, now);
}

// Retries or rejects a call whose attempt has ended without a response for the client.
void Balancer::State::continue_call(std::uint32_t index, const Dispatch& dispatch, const DispatchEnd& end,
                                    bool may_have_run, TimePoint now) {
  const Call& call = calls[index];
  if (call.in_flight_count > 0) return;
  const bool is_free = !may_have_run || dispatch.is_abandoned;  // needs no retry token
  if (!end.cannot_retry && may_dispatch_again(call, now) && (is_free || retry_tokens >= 1.0)) {
    if (!is_free) retry_tokens -= 1.0;
    answers.add_final(dispatch_or_wait(index, now));
  } else {
    record_result(call, false, now);
    answers.push_back(reject(index, now, false));
  }
}

// --- Balancer

Balancer::Balancer(const Settings& settings, std::uint64_t seed, TimePoint now)
    : state_(std::make_unique<State>(settings, seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

TimePoint Balancer::next_wake() const {
  const State& s = *state_;
  const TimePoint unblocked = s.blocked_queues.empty() ? TimePoint::never() : s.blocked_queues.front().first;
  return std::min({s.weights.next_update_at(), s.next_look_at, s.subscribe_at, unblocked});
}

Answers Balancer::on_endpoint_list(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now) {
  return state_->begin_event().update_endpoints(kind, entries, now);
}

Answer Balancer::on_call(const ApiCall& request, TimePoint now) {
  State& s = state_->begin_event();
  const std::uint32_t index = s.add_call(request, now);
  Call& call = s.calls[index];
  s.value_samples = std::min(1.0 / mean_value_gain, s.value_samples + 1.0);
  s.mean_value += (call.value - s.mean_value) / s.value_samples;
  if (!request.prior_attempts.is_rerouted) {
    if (s.free_retries >= 0.0) s.recent_calls.add(1, now);
    s.retry_tokens = std::min(max_retry_tokens, s.retry_tokens + retry_tokens_per_call);
  }
  ++s.arrivals_since_rate;
  s.calls_in_progress += call.is_uploading ? 0 : 1;
  s.max_in_progress_in_step = std::max(s.max_in_progress_in_step, s.calls_in_progress);
  if (s.is_first_tier && !request.prior_attempts.is_rerouted)
    call.target_deadline = call.target_deadline - s.time_since_first_try(call.track, request);
  return s.admit(index, request, now);
}

Answers Balancer::on_dispatch_end(const DispatchEnd& end, TimePoint now) {
  State& s = state_->begin_event();
  const std::uint32_t index = s.call_index.find(end.call);
  if (index == IdIndex::none || end.number >= s.calls[index].dispatch_count) return s.answers;
  Call& call = s.calls[index];
  Dispatch& dispatch = call.dispatches[end.number];
  if (!dispatch.is_in_flight) return s.answers;
  s.end_dispatch(call, dispatch, end, now);
  const bool may_have_run = end.outcome != Outcome::not_sent && end.outcome != Outcome::not_connected &&
                            end.outcome != Outcome::rejected;
  if (may_have_run && call.first_executed < 0) {
    call.first_executed = static_cast<int>(end.number);
    call.executed_since = dispatch.sent_at;
  }
  if (call.is_over) {
    s.release_if_ended(index, now);
  } else if (end.call_over) {
    s.record_result(call, end.outcome == Outcome::done, now);
    s.finish(index, now);
  } else {
    s.continue_call(index, dispatch, end, may_have_run, now);
  }
  return s.end_event(now);
}

// The time that a large request takes to arrive counts neither against the client's deadline nor against the
// endpoint.
void Balancer::on_upload_progress(CallId id, bool last, TimePoint now) {
  State& s = *state_;
  const std::uint32_t index = s.call_index.find(id);
  if (index == IdIndex::none) return;
  Call& call = s.calls[index];
  if (last && std::exchange(call.is_uploading, false))
    s.calls_in_progress += call.is_over || call.is_queued ? 0 : 1;
  const Span elapsed = now - std::exchange(call.progressed_at, now);
  call.arrived_at = call.arrived_at + elapsed;
  call.deadline = call.deadline + elapsed;
  call.target_deadline = call.target_deadline + elapsed;
  if (call.dispatch_count == 0) return;
  Dispatch& dispatch = call.dispatches[call.dispatch_count - 1U];
  dispatch.sent_at = s.endpoints[dispatch.endpoint].active_since = now;
}

void Balancer::on_response_broken(EndpointId id, TimePoint now) {
  if (Endpoint* endpoint = state_->find_endpoint(id))
    state_->record_failure(*endpoint, now, "responses break off");
}

Answers Balancer::on_client_disconnect(CallId id, TimePoint now) {
  State& s = state_->begin_event();
  const std::uint32_t index = s.call_index.find(id);
  if (index == IdIndex::none || s.calls[index].is_over) return s.answers;
  s.finish(index, now);
  return s.end_event(now);
}

void Balancer::on_published_load(EndpointId id, std::uint32_t load, TimePoint now) {
  Endpoint* endpoint = state_->find_endpoint(id);
  if (endpoint == nullptr) return;
  endpoint->reported_load = load / published_load_scale;
  endpoint->load_reported_at = endpoint->load_published_at = now;
}

Answers Balancer::on_timer(TimePoint now) {
  state_->begin_event().run_timers(now);
  return state_->answers;
}

void Balancer::set_slow_start_share(double share) { state_->slow_start_budget_share = share; }

std::size_t Balancer::avoided_endpoint_count(TimePoint now) const {
  std::size_t count = 0;
  for (const Endpoint& endpoint : state_->endpoints) {
    if (!endpoint.is_ready()) continue;
    if (endpoint.ejection_pause > Span() || state_->is_silent(endpoint, now)) ++count;
  }
  return count;
}

bool Balancer::is_usable(EndpointId id) const {
  const Endpoint* endpoint = state_->find_endpoint(id);
  return endpoint != nullptr && endpoint->is_ready();
}

std::size_t Balancer::endpoint_slot_count() const { return state_->endpoints.size(); }

}  // namespace chutevane
