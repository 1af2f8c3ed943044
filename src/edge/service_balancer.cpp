/// ServiceBalancer: subsetting, weighted random selection, and selection by cost.
#include "edge/service_balancer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::edge {
namespace {

constexpr double other_zone_weight = 0.6;             // factor for the weight of endpoints in other zones
constexpr double attempts_per_subset_endpoint = 0.5;  // mean number in flight
constexpr std::size_t min_subset_size = 3;            // one may fail while another one is loaded
constexpr double nearly_full_fraction = 0.75;         // of the capacity; below it no request waits for a slot
constexpr double duration_gain = 0.05;                // per attempt; smooths over about 40 attempts
constexpr double cross_zone_tokens_per_byte = 0.2;    // cost of a byte to another zone, in tokens of prefill
constexpr double new_connection_ms = 20;  // round trips and cost of a connection outside the subset
constexpr double cost_tolerance = 0.5;    // tokens; costs that differ by less are considered equal
constexpr Span load_report_max_age = Span::ms(2000);  // for a weighted draw
constexpr Span first_ejection = Span::ms(300);  // after the first failure; doubles with each further failure
constexpr Span max_ejection = Span::ms(5000);
constexpr double max_ejection_doublings = 5;
constexpr double prefix_cache_fraction = 0.8;  // of the KV cache; running requests use the rest
constexpr double min_latency_ms = 0.1;

// Rendezvous hashing: orders endpoints in a way that depends only on the key.
std::uint64_t rank(const std::string& id, std::uint64_t key) {
  return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

}  // namespace

ServiceBalancer::ServiceBalancer(std::string zone, std::uint64_t seed)
    : zone_(std::move(zone)), seed_(seed), random_(seed) {}

ServiceBalancer::EndpointState* ServiceBalancer::find(const std::string& id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &endpoints_[found->second];
}

void ServiceBalancer::update_endpoints(const std::vector<EndpointInfo>& endpoints, TimePoint now) {
  std::vector<EndpointState> updated;
  for (const EndpointInfo& info : endpoints) {
    EndpointState* const known = find(info.id);
    EndpointState state = known != nullptr ? std::move(*known) : EndpointState{};
    state.id = info.id;
    state.zone = info.zone;
    state.capacity = info.capacity;
    updated.push_back(std::move(state));
  }
  // Each process uses a different order. Otherwise all processes would share one subset, or each would need a
  // connection to every endpoint.
  const auto is_far = [&](const EndpointState& endpoint) { return endpoint.zone != zone_; };
  std::sort(updated.begin(), updated.end(), [&](const EndpointState& left, const EndpointState& right) {
    return std::pair(is_far(left), rank(left.id, seed_)) < std::pair(is_far(right), rank(right.id, seed_));
  });
  endpoints_ = std::move(updated);
  index_.clear();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) index_[endpoints_[i].id] = i;
  weights_.begin_update(now);  // clears the weights, so that update_weights() recomputes them
  update_weights(now);
}

double ServiceBalancer::in_flight() const {
  double sum = 0;
  for (const EndpointState& endpoint : endpoints_) sum += endpoint.in_flight;
  return sum;
}

// ---- timeouts and retries

Span ServiceBalancer::attempt_timeout(Span route_timeout, Span time_left, bool may_retry, TimePoint now) {
  const Span upper_bound = std::min(route_timeout, time_left);
  if (!may_retry) return upper_bound;
  estimate_.update_starved(now);
  return estimate_.attempt_timeout(upper_bound, now);
}

bool ServiceBalancer::allows_retry(Span time_left, TimePoint now) {
  return !is_expired(time_left) && time_left >= estimate_.median(now);
}

// ---- endpoint selection

void ServiceBalancer::update_weights(TimePoint now) {
  if (now < weights_.next_update_at() && weights_.size() == endpoints_.size()) return;
  weights_.begin_update(now);
  for (const EndpointState& endpoint : endpoints_)
    weights_.add_measured_latency(endpoint.smoothed_latency_ms);
  for (const EndpointState& endpoint : endpoints_) {
    const double zone_weight = endpoint.zone == zone_ ? 1.0 : other_zone_weight;
    weights_.add_weight(weights_.speed(endpoint.smoothed_latency_ms) * zone_weight);
  }
}

std::optional<std::string> ServiceBalancer::choose_endpoint(const AttemptContext& attempt, TimePoint now) {
  update_weights(now);
  const std::vector<std::size_t> open = candidates(attempt, now);
  if (open.empty()) return std::nullopt;
  if (attempt.has_affinity && !attempt.prompt.empty()) return choose_by_cost(open, attempt, now);
  return choose_by_weight(open, now);
}

// Returns indexes into endpoints_. Ejected endpoints come last, if they are included at all.
std::vector<std::size_t> ServiceBalancer::candidates(const AttemptContext& attempt, TimePoint now) const {
  std::vector<std::size_t> open;
  std::vector<std::size_t> ejected;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const EndpointState& endpoint = endpoints_[i];
    if (std::find(attempt.avoid.begin(), attempt.avoid.end(), endpoint.id) != attempt.avoid.end()) continue;
    (endpoint.ejected_until > now ? ejected : open).push_back(i);
  }
  if (open.empty() || open.size() < ejected.size()) open.insert(open.end(), ejected.begin(), ejected.end());
  return open;
}

std::size_t ServiceBalancer::subset_size(TimePoint now) {
  // Little's law: rate times duration. No duration is known before the first attempt has ended.
  const double mean_in_flight = mean_attempt_ms_ > 0
                                    ? recent_attempts_.sum(now) * mean_attempt_ms_ / attempt_window.as_ms()
                                    : in_flight();
  const auto wanted = static_cast<std::size_t>(std::ceil(mean_in_flight / attempts_per_subset_endpoint));
  return std::min(endpoints_.size(), std::max(min_subset_size, wanted));
}

// Tries, in this order: a weighted draw from the subset, the least loaded endpoint of the subset, a weighted
// draw from all endpoints, and the candidate with the lowest load relative to its speed.
std::string ServiceBalancer::choose_by_weight(const std::vector<std::size_t>& candidates, TimePoint now) {
  double in_flight = 0;
  std::vector<bool> is_candidate(endpoints_.size());
  for (const std::size_t i : candidates) {
    in_flight += recent_load(endpoints_[i], now);
    is_candidate[i] = true;
  }
  const double max_load = weights_.overload_threshold(in_flight, static_cast<int>(candidates.size()));
  const auto fit = [&](std::size_t index, int) {
    return is_candidate[index] && recent_load(endpoints_[index], now) <= max_load
               ? LatencyWeights::Fit::accepted
               : LatencyWeights::Fit::rejected;
  };
  const std::size_t subset = subset_size(now);
  if (const int drawn = weights_.draw(RingRange{0, subset}, random_, 0, fit); drawn >= 0)
    return endpoints_[static_cast<std::size_t>(drawn)].id;
  if (const auto least = least_loaded_in_subset(subset, is_candidate, now)) return endpoints_[*least].id;
  if (subset < weights_.size()) {
    const int drawn = weights_.draw(RingRange{0, weights_.size()}, random_, 0, fit);
    if (drawn >= 0) return endpoints_[static_cast<std::size_t>(drawn)].id;
  }
  const auto expected_delay = [&](std::size_t index) {
    const EndpointState& endpoint = endpoints_[index];
    return (recent_load(endpoint, now) + 1) / weights_.speed(endpoint.smoothed_latency_ms);
  };
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [&](std::size_t left, std::size_t right) { return expected_delay(left) < expected_delay(right); });
  return endpoints_[*least].id;
}

// Called if every endpoint of the subset is above the overload threshold. Returns std::nullopt only if all of
// them are nearly full: while slots are free no request waits, and a connection outside the subset has a
// cost.
std::optional<std::size_t> ServiceBalancer::least_loaded_in_subset(std::size_t subset,
                                                                   const std::vector<bool>& is_candidate,
                                                                   TimePoint now) const {
  std::optional<std::size_t> least;
  for (std::size_t i = 0; i < subset; ++i) {
    const double load = recent_load(endpoints_[i], now);
    if (!is_candidate[i] || load >= nearly_full_fraction * static_cast<double>(endpoints_[i].capacity))
      continue;
    if (!least || load < recent_load(endpoints_[*least], now)) least = i;
  }
  return least;
}

double ServiceBalancer::recent_load(const EndpointState& endpoint, TimePoint now) {
  const bool is_recent = now - endpoint.load_reported_at < load_report_max_age;
  return endpoint.in_flight + (is_recent ? endpoint.other_requests : 0);
}

double ServiceBalancer::expected_other_requests(const EndpointState& endpoint, TimePoint now) const {
  if (!endpoint.has_load_report) return model_.mean_other_requests();
  return model_.expected_other_requests(endpoint.other_requests, now - endpoint.load_reported_at);
}

// Returns the time that the request costs at the endpoint, expressed as the number of prompt tokens that
// could be processed in that time.
double ServiceBalancer::placement_cost(const EndpointState& endpoint, const AttemptContext& attempt,
                                       TimePoint now) const {
  const double uncached = endpoint.prefix_cache.uncached_tokens(attempt.prompt);
  const double others = expected_other_requests(endpoint, now);
  const double running = endpoint.in_flight + others;
  const double slots = batch_size_ > 0 ? batch_size_ : static_cast<double>(endpoint.capacity);
  double cost =
      uncached * (1 + running) + endpoint.pending_prefill_tokens + running * model_.mean_prefill_tokens();
  cost += model_.expected_wait_ms(endpoint.in_flight, others, slots) / model_.prefill_ms_per_token();
  if (endpoint.zone != zone_) cost += attempt.body_bytes * cross_zone_tokens_per_byte;
  return cost;
}

// Among endpoints of equal cost, a hash of the prompt's first block decides. All processes then choose the
// same endpoint, so that the prompt is processed and cached only once.
std::string ServiceBalancer::choose_by_cost(const std::vector<std::size_t>& candidates,
                                            const AttemptContext& attempt, TimePoint now) {
  double least_cost = 0;
  std::uint64_t least_rank = 0;
  std::size_t chosen = candidates.front();
  const std::uint64_t key = attempt.prompt.front().id;
  const std::size_t subset = std::min(subset_size(now), candidates.size());
  const double connection_cost = new_connection_ms / model_.prefill_ms_per_token();
  for (std::size_t position = 0; position < candidates.size(); ++position) {
    const bool is_in_subset = position < subset;
    if (!is_in_subset && least_cost <= connection_cost) break;
    const EndpointState& endpoint = endpoints_[candidates[position]];
    const double cost = placement_cost(endpoint, attempt, now) + (is_in_subset ? 0 : connection_cost);
    const std::uint64_t endpoint_rank = rank(endpoint.id, key);
    if (position == 0 || cost < least_cost - cost_tolerance ||
        (cost < least_cost + cost_tolerance && endpoint_rank < least_rank)) {
      least_cost = cost;
      least_rank = endpoint_rank;
      chosen = candidates[position];
    }
  }
  return endpoints_[chosen].id;
}

// ---- feedback from attempts

void ServiceBalancer::on_attempt_sent(const std::string& id, const AttemptContext& attempt, TimePoint now) {
  EndpointState* const endpoint = find(id);
  if (endpoint == nullptr) return;
  endpoint->in_flight += 1;
  recent_attempts_.add(1, now);
  attempt.sent_at = now;
  attempt.pending_prefill_tokens = endpoint->prefix_cache.uncached_tokens(attempt.prompt);
  endpoint->pending_prefill_tokens += attempt.pending_prefill_tokens;
  for (const PromptBlock& block : attempt.prompt)
    endpoint->prefix_cache.touch(block.id, block.tokens, kv_cache_tokens_ * prefix_cache_fraction);
}

void ServiceBalancer::on_response(const std::string& id, const AttemptContext& attempt, Span latency,
                                  TimePoint now) {
  estimate_.record_response(latency, now);
  if (!attempt.prompt.empty()) model_.observe_prefill(attempt.pending_prefill_tokens, latency);
  EndpointState* const endpoint = find(id);
  if (endpoint == nullptr) return;
  weights_.smooth(endpoint->smoothed_latency_ms, std::max(latency.as_ms(), min_latency_ms));
  endpoint->consecutive_failures = 0;
  endpoint->ejected_until = TimePoint();
  complete_prefill(*endpoint, attempt);
}

void ServiceBalancer::on_attempt_ended(const std::string& id, const AttemptContext& attempt,
                                       AttemptOutcome outcome, TimePoint now) {
  if (outcome == AttemptOutcome::adaptive_timeout) estimate_.record_adaptive_timeout(Span::ms(1), now);
  observe_duration(attempt, outcome, now);
  EndpointState* const endpoint = find(id);
  if (endpoint == nullptr) return;
  endpoint->in_flight = std::max(0.0, endpoint->in_flight - 1);
  // Prevents rounding errors, and tokens of attempts that ended before their prefill, from accumulating.
  if (endpoint->in_flight < 0.5) endpoint->pending_prefill_tokens = 0;
  if (outcome == AttemptOutcome::served) return;
  complete_prefill(*endpoint, attempt);
  if (outcome == AttemptOutcome::failed) eject(*endpoint, now);
}

void ServiceBalancer::complete_prefill(EndpointState& endpoint, const AttemptContext& attempt) {
  const double read_tokens = std::exchange(attempt.pending_prefill_tokens, 0.0);
  endpoint.pending_prefill_tokens = std::max(0.0, endpoint.pending_prefill_tokens - read_tokens);
}

void ServiceBalancer::eject(EndpointState& endpoint, TimePoint now) {
  endpoint.consecutive_failures += 1;
  const double factor = std::exp2(std::min(endpoint.consecutive_failures - 1, max_ejection_doublings));
  endpoint.ejected_until = now + std::min(max_ejection, first_ejection * factor);
}

void ServiceBalancer::observe_duration(const AttemptContext& attempt, AttemptOutcome outcome, TimePoint now) {
  if (!attempt.sent_at) return;
  const Span duration = now - *std::exchange(attempt.sent_at, std::nullopt);
  const double gain = mean_attempt_ms_ > 0 ? duration_gain : 1.0;
  mean_attempt_ms_ += (duration.as_ms() - mean_attempt_ms_) * gain;
  if (outcome == AttemptOutcome::served && !attempt.prompt.empty()) model_.observe_slot_time(duration);
}

void ServiceBalancer::on_load_report(const std::string& id, double running, double waiting, TimePoint now) {
  EndpointState* const endpoint = find(id);
  if (endpoint == nullptr) return;
  endpoint->other_requests = std::max(0.0, running + waiting - endpoint->in_flight);
  endpoint->has_load_report = true;
  endpoint->load_reported_at = now;
  model_.observe_other_requests(endpoint->other_requests);
}

bool ServiceBalancer::is_crowded() const {
  double taken = 0;
  double capacity = 0;
  for (const EndpointState& endpoint : endpoints_) {
    taken += endpoint.in_flight + endpoint.other_requests;
    capacity += static_cast<double>(endpoint.capacity);
  }
  return capacity > 0 && taken > capacity / 2;
}

}  // namespace chutevane::edge
