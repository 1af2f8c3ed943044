/// Endpoint selection: a subset of the ring, weighted random selection by latency, key affinity by rendezvous
/// hashing, and the skipping of loaded endpoints.
#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

#include "base/mix_bits.hpp"
#include "base/remembered.hpp"
#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double max_zone_draws = 16.0;  // draws for an endpoint in the own zone, so that few calls leave it
// Relative to the mean speed of all zones: an own zone this slow is not preferred at all, and one at normal
// speed is preferred in full. Zones differ by chance down to the normal speed.
constexpr double slow_zone_speed = 0.5;
constexpr double normal_zone_speed = 0.8;
// Responses per endpoint in the window that are enough to judge it well, where connections are shared and
// where a connection carries one call at a time.
constexpr double shared_connection_responses = 50.0;
constexpr double single_connection_responses = 10.0;
constexpr std::size_t subset_count = 3;  // ranges as long as the subset that are tried before the whole ring
constexpr std::size_t max_key_endpoints = 32;  // endpoints tried for a key; a popular key warms them all
// Endpoints per mean endpoint's load that a key brings. Calls of a warm key take less work.
constexpr double key_spread = 4.0;
constexpr double key_gain = 0.005;  // weight of a call: popularity over the last 200
constexpr Span load_report_lifetime = Span::ms(2000);
constexpr double tail_quantile = 0.9;   // high enough for tails, low enough to measure from few responses
constexpr double outlier_factor = 3.0;  // multiple of the peers' median; machines of a tier differ by 2 to 3
constexpr std::uint32_t min_tail_samples = 15;  // responses in the window before an endpoint is judged
constexpr std::size_t min_tails = 3;            // endpoints with a measured tail before any is an outlier
constexpr double min_rate_seconds = 0.5;        // shortest time over which a rate is measured
constexpr double rate_gain = 0.5;

// Costs that rank an endpoint behind all others, but that still allow its selection.
constexpr double already_tried_cost = 1e9;
constexpr double new_connection_cost = 1e6;

// --- The ring and this sidecar's subset

// Where sidecars use subsets the ring is ordered by a hash, so that endpoints that fail together are not
// neighbors.
void Balancer::State::order_ring() {
  ring.resize(endpoints.size());
  std::iota(ring.begin(), ring.end(), 0U);
  if (!has_shared_connections && !has_warm_keys && !uses_subset) return;
  std::sort(ring.begin(), ring.end(), [&](std::uint32_t a, std::uint32_t b) {
    return endpoints[a].ring_hash < endpoints[b].ring_hash;
  });
}

// Selects as many endpoints as this sidecar's calls can measure, and enough for all sidecars together to
// cover each one. A larger subset would mean hundreds of idle connections, and endpoints that are called once
// a minute and never measured.
void Balancer::State::update_subset(TimePoint now) {
  subset_ready_count = ready_count;
  subset = {0, ring.size()};
  const bool are_connections_scarce = now < connections_scarce_until;
  if (!has_shared_connections && !uses_subset && !are_connections_scarce) return;
  subset.from = static_cast<std::size_t>(ring_position * static_cast<double>(ring.size()));
  // Calls that have arrived since the rate was measured count at once. Otherwise a sidecar whose load rises
  // would overload a narrow subset for seconds.
  const Span step = limit_update_interval;
  const double seconds = std::max((now - rate_measured_at) / step, 1.0) * step.as_ms() / 1000.0;
  const double responses_needed = has_shared_connections || are_connections_scarce
                                      ? shared_connection_responses
                                      : single_connection_responses;
  const double rate = std::max(arrival_rate, arrivals_since_rate / seconds);
  const double measurable = rate * estimate.config().window.as_ms() / 1000.0 / responses_needed;
  const double covering = min_subset_size * ready_count / sidecar_count;
  const auto wanted = static_cast<std::size_t>(std::max({min_subset_size, measurable, covering}));
  for (Endpoint& endpoint : endpoints) endpoint.is_in_subset = false;
  std::size_t usable_count = 0;
  for (subset.size = 0; subset.size < ring.size() && usable_count < wanted; ++subset.size) {
    Endpoint& endpoint = endpoints[ring[(subset.from + subset.size) % ring.size()]];
    endpoint.is_in_subset = true;
    const bool is_usable =
        endpoint.is_ready() && (endpoint.ejection_pause == Span() || are_connections_scarce);
    usable_count += is_usable ? 1U : 0U;
  }
  subset_ready_count = std::min(ready_count, static_cast<int>(usable_count));
}

// --- Statistics that are updated together, about every two seconds

void Balancer::State::update_weights(TimePoint now) {
  order_ring();
  update_ready_figures(now);
  std::vector<double> tails;
  for (Endpoint& endpoint : endpoints) {
    if (endpoint.is_ready() && endpoint.response_times.count(now) >= min_tail_samples)
      tails.push_back(endpoint.response_times.quantile(tail_quantile, now).as_ms());
  }
  double typical_tail_ms = 0.0;
  if (tails.size() >= min_tails) {
    const auto median = tails.begin() + static_cast<long>(tails.size() / 2);
    std::nth_element(tails.begin(), median, tails.end());
    typical_tail_ms = *median;
  }
  update_outliers_and_weights(typical_tail_ms, now);
  const bool was_starved = estimate.is_starved();
  if (estimate.update_starved(now) != was_starved)
    answers.add_log(was_starved ? "adaptive attempt timeouts are in use again"
                                : "adaptive timeouts cut off too many responses: using client timeouts");
  update_arrival_rate(now);
  update_subset(now);
}

void Balancer::State::update_ready_figures(TimePoint now) {
  double own_zone_speed = 0.0;
  double own_zone_count = 0.0;
  const double warm_before = warm_ready_count;
  ready_count = 0;
  warm_ready_count = 0.0;
  weights.begin_update(now);
  for (const Endpoint& endpoint : endpoints) {
    if (!endpoint.is_ready()) continue;
    ++ready_count;
    warm_ready_count += slow_start_factor(endpoint, now);
    weights.add_measured_latency(endpoint.latency_ms);
    if (endpoint.latency_ms > 0.0 && endpoint.zone == own_zone) {
      own_zone_speed += 1.0 / endpoint.latency_ms;
      ++own_zone_count;
    }
  }
  // The limit scales with the number of warm endpoints: the endpoints that remain after the loss of a zone
  // must not get all of its calls, nor must a growing number of cold ones.
  if (warm_before > 0.0 && ready_count > 0) limit *= warm_ready_count / warm_before;
  // The preference for the own zone fades as that zone gets slow, because it has lost machines or gets more
  // than its share of calls, so that preferring it does not overload it.
  const double relative_speed =
      own_zone_count > 0 ? own_zone_speed / own_zone_count / weights.mean_speed() : 1.0;
  const double preference =
      std::clamp((relative_speed - slow_zone_speed) / (normal_zone_speed - slow_zone_speed), 0.0, 1.0);
  zone_draws = own_zone < 0 ? 0 : static_cast<int>(max_zone_draws * preference);
}

void Balancer::State::update_outliers_and_weights(double typical_tail_ms, TimePoint now) {
  for (const std::uint32_t i : ring) {
    Endpoint& endpoint = endpoints[i];
    const bool was_outlier = endpoint.is_outlier;
    endpoint.is_outlier =
        typical_tail_ms > 0.0 && endpoint.response_times.count(now) >= min_tail_samples &&
        endpoint.response_times.quantile(tail_quantile, now).as_ms() > outlier_factor * typical_tail_ms;
    if (endpoint.is_outlier != was_outlier)
      answers.add_endpoint_log(endpoint.id, endpoint.is_outlier ? "latency outlier: far slower than its peers"
                                                                : "no longer a latency outlier");
    const double spare = has_shared_connections ? 1.0 / (1.0 + endpoint.reported_load) : 1.0;
    const double weight = weights.speed(endpoint.latency_ms) * slow_start_factor(endpoint, now) * spare;
    weights.add_weight(endpoint.is_ready() ? weight : 0.0);
  }
}

void Balancer::State::update_arrival_rate(TimePoint now) {
  const double seconds = (now - rate_measured_at).as_ms() / 1000.0;
  if (seconds <= min_rate_seconds) return;
  const double measured = arrivals_since_rate / seconds;
  arrival_rate = arrival_rate > 0.0 ? rate_gain * (arrival_rate + measured) : measured;
  arrivals_since_rate = 0;
  rate_measured_at = now;
}

// --- Load and keys

// Returns true if the endpoint is to be skipped for its last reported load. The chance of it rises with the
// load, so that some calls still bring a new report.
bool Balancer::State::is_passed_over_by_load(const Endpoint& endpoint, TimePoint now) {
  if (now - endpoint.load_reported_at >= load_report_lifetime) return false;
  if (endpoint.reported_load <= high_reported_load()) return false;
  return random.unit() * endpoint.reported_load > high_reported_load();
}

double Balancer::State::high_reported_load() const {
  return std::max(min_calls_per_endpoint, weights.overload_threshold(mean_reported_load, 1));
}

// Returns the fraction of the recent calls with this key. It is small unless the key is a popular one.
double Balancer::State::key_popularity(std::uint64_t key) {
  const auto is_same = [&](const KeyPopularity& popular) { return popular.key == key; };
  const std::size_t at = find_or_replace(popular_keys, 1.0 - key_gain, {key, 0.0}, is_same);
  return popular_keys[at].weight += key_gain;
}

// Selects by weighted rendezvous hashing, so that all sidecars send a key to the same endpoints: an endpoint
// that has served the key before needs less work for it.
int Balancer::State::select_by_key(const Call& call, TimePoint now) {
  using Ranked = std::pair<double, std::size_t>;  // the lower the better; index
  constexpr double unranked = 1e300;
  const auto wanted = static_cast<std::size_t>(
      std::clamp(call.key_popularity * key_spread * ready_count, 1.0, max_key_endpoints - 1.0));
  std::array<Ranked, max_key_endpoints> best;
  best.fill({unranked, 0});
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const Endpoint& endpoint = endpoints[i];
    if (!endpoint.is_ready()) continue;
    const double uniform =
        (static_cast<double>(mix_bits(call.key ^ endpoint.ring_hash) >> 11U) + 0.5) * 0x1p-53;
    const double latency_ms = std::max(1e-9, model_latency_ms[endpoint.model]);
    Ranked ranked{-std::log(uniform) * latency_ms / slow_start_factor(endpoint, now), i};
    // Most endpoints are not among the best and skip the inner loop, which takes much of a busy sidecar's
    // time.
    for (auto b = ranked < best.back() ? best.begin() : best.end(); b != best.end(); ++b)
      if (ranked < *b) std::swap(ranked, *b);
  }
  const auto first = static_cast<std::size_t>(random.unit() * static_cast<double>(wanted));
  const auto is_usable = [&](const Ranked& ranked) {
    if (was_tried(call, ranked.second)) return false;
    Endpoint& endpoint = endpoints[ranked.second];
    return is_healthy(endpoint, now) && is_permitted(call, endpoint, now);
  };
  // Select among as many endpoints as the key's popularity calls for.
  for (std::size_t n = 0; n < wanted; ++n) {
    const Ranked& ranked = best[(first + n) % wanted];
    if (ranked.first >= unranked || is_passed_over_by_load(endpoints[ranked.second], now)) continue;
    if (is_usable(ranked)) return static_cast<int>(ranked.second);
  }
  // All of these are loaded: select another of the best, or one of these despite its load. For endpoints
  // ranked lower the key would be cold.
  for (const Ranked& ranked : best) {
    if (ranked.first < unranked && is_usable(ranked)) return static_cast<int>(ranked.second);
  }
  return -1;
}

// --- Selection

int Balancer::State::select_endpoint(const Call& call, TimePoint now) {
  if (weights.size() != endpoints.size()) update_weights(now);
  // Key affinity needs a connection to every endpoint, so it is off while connections are scarce.
  if (has_warm_keys && call.key != 0 && now >= connections_scarce_until) {
    const int endpoint = select_by_key(call, now);
    if (endpoint >= 0) return endpoint;
  }
  for (RingRange range = subset;
       range.size < ring.size() && range.from < subset.from + subset_count * subset.size;
       range.from += range.size) {
    const int endpoint = select_from(call, range, now);
    if (endpoint >= 0) return endpoint;
  }
  return select_from(call, {subset.from, ring.size()}, now);
}

bool Balancer::State::was_tried(const Call& call, std::size_t endpoint) const {
  return std::any_of(call.dispatches.begin(), call.dispatches.begin() + call.dispatch_count,
                     [&](const Dispatch& dispatch) { return dispatch.endpoint == endpoint; });
}

int Balancer::State::select_from(const Call& call, const RingRange& range, TimePoint now) {
  if (range.size == 0) return -1;
  const int drawn = draw_from(call, range, now);
  return drawn >= 0 ? drawn : least_loaded_of(call, range, now);
}

int Balancer::State::draw_from(const Call& call, const RingRange& range, TimePoint now) {
  const double overload = weights.overload_threshold(in_flight, subset_ready_count);
  const int position = weights.draw(range, random, zone_draws, [&](std::size_t at, int draw) {
    using Fit = LatencyWeights::Fit;
    const std::uint32_t index = ring[at];
    Endpoint& endpoint = endpoints[index];
    if (endpoint.in_flight > overload || is_passed_over_by_load(endpoint, now) || was_tried(call, index) ||
        !is_healthy(endpoint, now) || !is_permitted(call, endpoint, now))
      return Fit::rejected;
    // New connections cost endpoints work and may fail, so endpoints with a spare connection come first.
    const bool is_last_draw = draw >= weights.config().max_draws - 1 && now >= connections_scarce_until;
    if (uses_subset && !has_spare_connection(endpoint, now) && !is_last_draw) return Fit::rejected;
    return zone_draws == 0 || endpoint.zone == own_zone ? Fit::accepted : Fit::remote;
  });
  return position >= 0 ? static_cast<int>(ring[static_cast<std::size_t>(position)]) : -1;
}

// Selects the least loaded endpoint that is permitted, after the draw has found none. If most endpoints are
// unhealthy the cause is not theirs alone, and health is ignored.
int Balancer::State::least_loaded_of(const Call& call, const RingRange& range, TimePoint now) {
  const int healthy = least_loaded_where(call, range, true, now);
  if (healthy >= 0 || !are_most_unhealthy(range, now)) return healthy;
  return least_loaded_where(call, range, false, now);
}

bool Balancer::State::are_most_unhealthy(const RingRange& range, TimePoint now) {
  int ready = 0;
  int unhealthy = 0;
  for (std::size_t n = 0; n < range.size; ++n) {
    const Endpoint& endpoint = endpoints[ring[(range.from + n) % ring.size()]];
    if (!endpoint.is_ready()) continue;
    ++ready;
    unhealthy += is_healthy(endpoint, now) ? 0 : 1;
  }
  return unhealthy * 2 > ready;
}

int Balancer::State::least_loaded_where(const Call& call, const RingRange& range, bool needs_health,
                                        TimePoint now) {
  const bool avoids_connecting = uses_subset && now < connections_scarce_until;
  int best = -1;
  double best_load = 0.0;
  for (std::size_t n = 0; n < range.size; ++n) {
    const std::uint32_t index = ring[(range.from + n) % ring.size()];
    Endpoint& endpoint = endpoints[index];
    if (!endpoint.is_ready() || (needs_health && !is_healthy(endpoint, now))) continue;
    if (!is_permitted(call, endpoint, now)) continue;
    const bool is_connecting = endpoint.in_flight > endpoint.connections;
    if (avoids_connecting && is_connecting) continue;
    double load = (endpoint.in_flight + 1) * std::max(1.0, endpoint.latency_ms) +
                  (was_tried(call, index) ? already_tried_cost : 0.0);
    if (avoids_connecting && !has_spare_connection(endpoint, now)) load += new_connection_cost;
    if (best >= 0 && load >= best_load) continue;
    best = static_cast<int>(index);
    best_load = load;
  }
  return best;
}

}  // namespace chutevane
