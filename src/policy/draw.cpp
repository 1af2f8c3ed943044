// Which endpoint a call goes to: parts of the ring, shares, warm keys, passing over the loaded.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double near_most = 16.0;    // more draws for an endpoint in the own zone: few crossings are left
constexpr double near_slow = 0.5;     // of all zones' mean speed: an own zone so slow is not preferred
constexpr double near_fair = 0.8;     // of the same: preferred in full; zones differ by chance up to this
constexpr double arc_answers = 50.0;  // in the window, from each endpoint of the arc: enough to judge it well
constexpr double arc_uses = 10.0;     // in the window, of each endpoint, where a connection serves one call
constexpr std::size_t arcs = 3;       // own arcs tried, one after the other, before all of the ring
constexpr std::size_t key_places = 32;  // endpoints tried for a key: a popular one warms them all
constexpr double key_spread = 4.0;  // endpoints per mean endpoint's load that a key brings: warm work is less
constexpr double key_gain = 0.005;  // per call: popularity over the last 200
constexpr Span held_holds = Span::ms(2000);    // a report older than that tells nothing of the load
constexpr double outlier_quantile = 0.9;       // high enough for tails, low enough for few answers
constexpr double outlier_factor = 3.0;         // x fellows' median: machines of one tier differ by 2 to 3
constexpr std::uint32_t outlier_samples = 15;  // answers in the window before an endpoint is judged

// Where sidecars keep to parts of the ring it is ordered by a hash: what fails together lies apart.
void Balancer::State::order() {
  ring.resize(endpoints.size());
  std::iota(ring.begin(), ring.end(), 0U);
  if (!shared_connections && !warm_keys && !own_parts) return;
  std::sort(ring.begin(), ring.end(),
            [&](std::uint32_t a, std::uint32_t b) { return endpoints[a].mark < endpoints[b].mark; });
}

// As many endpoints as this sidecar's calls can tell of, and enough that all sidecars cover each: guards
// against hundreds of connections unused, and against endpoints that are met once a minute and never known.
void Balancer::State::widen(TimePoint now) {
  spread = ready_count;
  own = {0, ring.size()};
  if (!shared_connections && !own_parts && now >= scarce_until) return;
  own.from = static_cast<std::size_t>(seat * static_cast<double>(ring.size()));
  // What has come since the last solve counts at once: a hot sidecar would crowd a narrow part for seconds.
  const double since = std::max((now - rate_since) / limit_every, 1.0) * limit_every.as_ms() / 1000.0;
  const double uses = shared_connections || now < scarce_until ? arc_answers : arc_uses;
  const double known = std::max(rate, step_arrivals / since) * estimate.spec().window.as_ms() / 1000.0 / uses;
  const auto wanted =
      static_cast<std::size_t>(std::max({arc_least, known, arc_least * ready_count / sidecars}));
  for (Endpoint& e : endpoints) e.in_part = false;
  std::size_t have = 0;
  for (own.size = 0; own.size < ring.size() && have < wanted; ++own.size) {
    Endpoint& e = endpoints[ring[(own.from + own.size) % ring.size()]];
    e.in_part = true;
    have += e.ready() && (e.bar == Span() || now < scarce_until) ? 1U : 0U;
  }
  spread = std::min(ready_count, static_cast<int>(have));
}

// Passed over by its last report, for the part of the calls that is too much: the rest still hears from it.
bool Balancer::State::crowded(const Endpoint& e, TimePoint now) {
  return now - e.held_at < held_holds && e.held > held_high() && chance.unit() * e.held > held_high();
}

double Balancer::State::held_high() const { return std::max(limit_least, shares.pass_over(mean_held, 1)); }

// The part of the recent calls that were about this key; little where it is none of the popular ones.
double Balancer::State::popularity(std::uint64_t key) {
  return keys[remember(keys, 1.0 - key_gain, {key, 0.0}, [&](const KeyCount& k) { return k.key == key; })]
             .weight += key_gain;
}

// The endpoint for a call with a key, alike at all sidecars: a warm one has less work. -1: draw from all.
int Balancer::State::keyed(const Call& c, TimePoint now) {
  const auto wanted =
      static_cast<std::size_t>(std::clamp(c.popularity * key_spread * ready_count, 1.0, key_places - 1.0));
  std::array<std::pair<double, std::size_t>, key_places> best;
  best.fill({1e300, 0});
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const Endpoint& e = endpoints[i];
    if (!e.ready()) continue;
    const double u = (static_cast<double>(mix_bits(c.key ^ e.mark) >> 11U) + 0.5) * 0x1p-53;
    std::pair<double, std::size_t> at{-std::log(u) * std::max(1e-9, models[e.model]) / warmth(e, now), i};
    // Most are none of the best: a busy sidecar's CPU goes here.
    for (auto b = at < best.back() ? best.begin() : best.end(); b != best.end(); ++b)
      if (at < *b) std::swap(at, *b);
  }
  // Any of as many as the key is popular for; crowded if all are: others would have the whole work to do.
  const auto first = static_cast<std::size_t>(chance.unit() * static_cast<double>(wanted));
  for (int pass = 0; pass < 2; ++pass) {
    for (std::size_t n = 0; n < (pass == 0 ? wanted : key_places); ++n) {
      const auto [rank, i] = best[pass == 0 ? (first + n) % wanted : n];
      if (rank >= 1e300) continue;
      Endpoint& e = endpoints[i];
      if (pass == 0 && crowded(e, now)) continue;
      if (!tried(c, i) && healthy(e, now) && open_by_rules(c, e, now)) return static_cast<int>(i);
    }
  }
  return -1;
}

void Balancer::State::solve(TimePoint now) {
  double near_sum = 0.0, near_heard = 0.0;
  std::vector<double> tails;
  const double before = ready_warm;
  ready_count = 0;
  ready_warm = 0.0;
  order();
  shares.begin(now);
  for (Endpoint& e : endpoints) {
    if (!e.ready()) continue;
    ++ready_count;
    ready_warm += warmth(e, now);
    shares.hear(e.latency_ms);
    if (e.latency_ms > 0.0 && e.zone == own_zone) near_sum += 1.0 / e.latency_ms, ++near_heard;
    if (e.times.count(now) >= outlier_samples)
      tails.push_back(e.times.quantile(outlier_quantile, now).as_ms());
  }
  // The limit is per warm endpoint. Guards those left of a lost zone, and a growing fleet of cold ones.
  if (before > 0.0 && ready_count > 0) limit *= ready_warm / before;
  // Guards against keeping to a zone that has lost machines, or is sent more than its part, until it chokes.
  const double fair = near_heard > 0 ? near_sum / near_heard / shares.mean_speed() : 1.0;
  const double keep = std::clamp((fair - near_slow) / (near_fair - near_slow), 0.0, 1.0);
  near_draws = own_zone < 0 ? 0 : static_cast<int>(near_most * keep);
  double typical = 0.0;
  if (tails.size() >= 3) {
    std::nth_element(tails.begin(), tails.begin() + static_cast<long>(tails.size() / 2), tails.end());
    typical = tails[tails.size() / 2];
  }
  for (const std::uint32_t i : ring) {
    Endpoint& e = endpoints[i];
    const bool was = e.outlier;
    e.outlier = typical > 0.0 && e.times.count(now) >= outlier_samples &&
                e.times.quantile(outlier_quantile, now).as_ms() > outlier_factor * typical;
    if (e.outlier != was)
      answers.say_of(e.id,
                     e.outlier ? "answers far slower than its fellows" : "answers like its fellows again");
    const double spare = shared_connections ? 1.0 / (1.0 + e.held) : 1.0;
    shares.add(e.ready() ? shares.speed(e.latency_ms) * warmth(e, now) * spare : 0.0);
  }
  const bool was = estimate.starved();
  if (estimate.starve(now) != was)
    answers.say(was ? "estimate bounds dispatches again" : "cuts starve the estimate: full timeouts");
  const double seconds = (now - rate_since).as_ms() / 1000.0;
  if (seconds > 0.5) {
    const double seen = step_arrivals / seconds;
    rate = rate > 0.0 ? 0.5 * (rate + seen) : seen;
    step_arrivals = 0;
    rate_since = now;
  }
  widen(now);
}

int Balancer::State::pick(const Call& c, TimePoint now) {
  if (shares.size() != endpoints.size()) solve(now);
  // Guards endpoints that accept few connections against sidecars that all want one everywhere.
  if (warm_keys && c.key != 0 && now >= scarce_until) {
    const int at = keyed(c, now);
    if (at >= 0) return at;
  }
  for (Arc part = own; part.size < ring.size() && part.from < own.from + arcs * own.size;
       part.from += part.size) {
    const int at = draw(c, part, now);
    if (at >= 0) return at;
  }
  return draw(c, {own.from, ring.size()}, now);
}

bool Balancer::State::tried(const Call& c, std::size_t endpoint) const {
  return std::any_of(c.dispatches.begin(), c.dispatches.begin() + c.sent,
                     [&](const Dispatch& d) { return d.endpoint == endpoint; });
}

int Balancer::State::draw(const Call& c, const Arc& part, TimePoint now) {
  if (part.size == 0) return -1;
  const double high = shares.pass_over(in_flight, spread);
  // Where crossing zones is priced, a draw outside the own zone is kept back while some more are made.
  const int drawn = shares.draw(part, chance, near_draws, [&](std::size_t place, int n) {
    const std::uint32_t i = ring[place];
    const Endpoint& e = endpoints[i];
    if (e.in_flight > high || crowded(e, now) || tried(c, i) || !healthy(e, now) || !open_by_rules(c, e, now))
      return Shares::Fit::no;
    // Guards against new connections, which cost and may fail: those that have one to spare come first.
    const bool last = n >= shares.spec().draws - 1 && now >= scarce_until;
    if (own_parts && !spare_connection(e, now) && !last) return Shares::Fit::no;
    return near_draws == 0 || e.zone == own_zone ? Shares::Fit::yes : Shares::Fit::far;
  });
  if (drawn >= 0) return static_cast<int>(ring[static_cast<std::size_t>(drawn)]);
  // Only loaded or closed ones: the least loaded that may be used. Where most are unhealthy all are slow.
  int best = -1, unhealthy = 0, ready = 0;
  double best_load = 0.0;
  for (int pass = 0; pass < 2 && best < 0; ++pass) {
    if (pass == 1 && unhealthy * 2 <= ready) break;
    for (std::size_t n = 0; n < part.size; ++n) {
      const std::uint32_t i = ring[(part.from + n) % ring.size()];
      Endpoint& e = endpoints[i];
      if (!e.ready()) continue;
      const bool well = healthy(e, now);
      ready += pass == 0 ? 1 : 0;
      unhealthy += pass == 0 && !well ? 1 : 0;
      if ((pass == 0 && !well) || !open_by_rules(c, e, now)) continue;
      if (own_parts && now < scarce_until && e.in_flight > e.connections) continue;  // one is being made
      double load = (e.in_flight + 1) * std::max(1.0, e.latency_ms) + (tried(c, i) ? 1e9 : 0.0);
      if (own_parts && now < scarce_until && !spare_connection(e, now)) load += 1e6;
      if (best < 0 || load < best_load) best = static_cast<int>(i), best_load = load;
    }
  }
  return best;
}

}  // namespace chutevane
