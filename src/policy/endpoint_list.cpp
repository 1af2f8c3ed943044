/// Updates the known endpoints from endpoint lists, and decides which of them may get a call. After a start
/// or an ejection the calls in flight at an endpoint are capped, and while it warms up their rate is limited
/// by a token bucket (slow start).
#include <algorithm>
#include <vector>

#include "base/mix_bits.hpp"
#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double slow_start_depth = 0.3;  // fraction of the window's budget that one burst may use
constexpr double min_slow_start_rate =
    1.0;  // calls/s of all sidecars together; even idle ones then measure the endpoint

// Returns the fraction of a warm endpoint's load that this one can take: rises from `slow_start_share` to 1.
double Balancer::State::slow_start_factor(const Endpoint& endpoint, TimePoint now) const {
  const Span age = now - endpoint.started_at;
  if (endpoint.started_at <= TimePoint() || age >= slow_start_duration) return 1.0;
  return slow_start_share + (1.0 - slow_start_share) * std::max(0.0, age / slow_start_duration);
}

bool Balancer::State::is_permitted(const Call& call, Endpoint& endpoint, TimePoint now) {
  if (!endpoint.is_ready()) return false;
  if (call.first_executed >= 0 && !is_in_retry_scope(call, endpoint, now)) return false;
  if (endpoint.concurrency_cap >= 0.0 && endpoint.in_flight >= endpoint.concurrency_cap) return false;
  if (slow_start_factor(endpoint, now) >= 1.0) return true;
  refill_slow_start_tokens(endpoint, now);
  return endpoint.slow_start_tokens >= 1.0;
}

// All sidecars together must not overload a cold endpoint. Each sidecar therefore limits its calls there to
// its mean rate per endpoint times the slow start factor, in bursts well below the window's limit. The mean
// is taken over the ready endpoints of the subset if the endpoint is in it, otherwise over all ready ones.
void Balancer::State::refill_slow_start_tokens(Endpoint& endpoint, TimePoint now) {
  const int sharing = endpoint.is_in_subset ? subset_ready_count : ready_count;
  const double rate = std::max(min_slow_start_rate / sidecar_count,
                               arrival_rate / std::max(1, sharing) * slow_start_factor(endpoint, now));
  const double depth = std::max(1.0, slow_start_budget_share * rate * slow_start_window.as_ms() / 1000.0 *
                                         slow_start_burst * slow_start_depth);
  const Span elapsed = now - endpoint.slow_start_refilled_at;
  endpoint.slow_start_tokens =
      std::min(depth, endpoint.slow_start_tokens + slow_start_budget_share * rate * elapsed.as_ms() / 1000.0);
  endpoint.slow_start_refilled_at = now;
}

// If removal from the list is not binding, the list may be wrong: an endpoint without failures is kept until
// its own calls fail. This costs one failed call for each endpoint that is really gone.
void Balancer::State::remove_endpoint(Endpoint& endpoint, TimePoint now) {
  endpoint.is_unlisted = !is_removal_binding && endpoint.is_ready() && endpoint.consecutive_failures == 0 &&
                         endpoint.ejection_pause == Span() && !is_silent(endpoint, now);
  if (!endpoint.is_unlisted) endpoint.availability = Availability::gone;
}

// Returns the index of a slot whose endpoint is gone and is referenced by no current call, or of a new slot.
std::uint32_t Balancer::State::allocate_endpoint() {
  std::vector<bool> is_referenced(endpoints.size() + 1, false);
  for (std::uint32_t i = 0; i < calls.size(); ++i) {
    for (std::size_t n = 0; calls[i].in_use && n < calls[i].dispatch_count; ++n)
      is_referenced[calls[i].dispatches[n].endpoint] = true;
  }
  std::uint32_t at = 0;
  while (at < endpoints.size() && (is_referenced[at] || endpoints[at].availability != Availability::gone))
    ++at;
  if (at == endpoints.size()) {
    endpoints.emplace_back();
    return at;
  }
  endpoint_index.erase(endpoints[at].id);
  endpoints[at] = Endpoint();
  return at;
}

void Balancer::State::update_endpoint(Endpoint& endpoint, const ListedEndpoint& entry, TimePoint now) {
  endpoint.is_unlisted = false;
  const bool is_new_process = !endpoint.is_ready() || entry.started_at != endpoint.started_at;
  if (entry.availability == Availability::ready && is_new_process) {
    // Nothing that was learned about the previous process holds for this one.
    const int in_flight_before = endpoint.in_flight;
    endpoint = Endpoint();
    endpoint.response_times = WindowedHistogram(estimate.config().window);
    endpoint.in_flight = in_flight_before;
    endpoint.active_since = endpoint.slow_start_refilled_at = now;
    endpoint.started_at = entry.started_at;
    // If budgets are far below one call per window, the random value decides which sidecar calls first.
    endpoint.slow_start_tokens = random.unit();
    if (slow_start_factor(endpoint, now) < 1.0) endpoint.concurrency_cap = initial_concurrency_cap;
  }
  endpoint.id = entry.id;
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.model = entry.model;
  endpoint.ring_hash = mix_bits(entry.stable_id != 0 ? entry.stable_id : entry.id);
  if (model_latency_ms.size() <= endpoint.model) {
    const double first_model = model_latency_ms.empty() ? 0.0 : model_latency_ms[0];
    model_latency_ms.resize(endpoint.model + 1U, first_model);
  }
  endpoint.availability = entry.availability;
}

Answers Balancer::State::update_endpoints(ListKind kind, std::span<const ListedEndpoint> entries,
                                          TimePoint now) {
  if (kind == ListKind::failed) {
    // Jitter keeps sidecars whose subscriptions broke at the same time from retrying at the same time.
    subscribe_at = now + subscribe_backoff * (0.5 + random.unit());
    subscribe_backoff = std::min(max_subscribe_backoff, subscribe_backoff * 2.0);
    return answers;
  }
  if (kind == ListKind::cached && must_subscribe) {
    answers.add(Verdict::subscribe);
  } else {
    subscribe_backoff = initial_subscribe_backoff;
  }
  std::vector<bool> is_listed(endpoints.size(), false);
  for (const ListedEndpoint& entry : entries) {
    std::uint32_t at = endpoint_index.find(entry.id);
    if (at == IdIndex::none) {
      if (entry.availability == Availability::gone) continue;
      at = allocate_endpoint();
      endpoint_index.put(entry.id, at);
    }
    if (at < is_listed.size()) is_listed[at] = true;
    if (entry.availability == Availability::gone) {
      remove_endpoint(endpoints[at], now);
    } else {
      update_endpoint(endpoints[at], entry, now);
    }
  }
  for (std::size_t i = 0; kind != ListKind::changes && i < is_listed.size(); ++i) {
    if (!is_listed[i]) remove_endpoint(endpoints[i], now);
  }
  update_weights(now);
  serve_waiting(now);
  return answers;
}

}  // namespace chutevane
