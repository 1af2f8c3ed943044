// All decisions of chutevane. The interface is include/chutevane/balancer.hpp.
//
// docs/design.md has the design (caps, cutoffs, shares) and the why of all that follows. Beside it stand:
//  1. admission: the first tier holds calls in flight to a limit that follows lateness, reports and payoff
//  2. fresh cap: a fresh or returning endpoint has a cap that grows with its answers, a cold one a budget
//  3. outliers: an endpoint whose high quantile is far above its fellows' gets one call at a time
//  4. silence: one that answers nothing while its fellows do is passed over and tried again after pauses
//  5. retry budget: dispatches again are a bounded share of the calls; 6. short waits, the best paid first
// Two rules that some deployments state are kept too: calls of a key in turn, and a budget of dispatches.
#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <numeric>

#include "state.hpp"

namespace chutevane {
namespace {

// --- Constants: unit and why this size -------------------------------------------------------------
// The design's
constexpr double cap_multiple = 3.0;               // x p95; the source's default
constexpr double cap_quantile = 0.95;              // the source's default
constexpr Span estimate_window = Span::ms(10000);  // the design page's
constexpr std::uint32_t estimate_samples = 20;     // done dispatches; the source's default
constexpr Span cap_floor = Span::ms(50);           // the source's default: one scheduling hiccup
constexpr double starved_cuts = 0.2;               // cuts per done: more is no longer a tail being trimmed
constexpr Span solve_every = Span::ms(2000);       // the design page's
constexpr double latency_gain = 0.1;               // per answer: smooths over about 20 answers
constexpr double pass_over_factor = 1.2;  // x mean in flight: what is "well above" where endpoints choke
constexpr double pass_over_extra = 0.5;   // calls: at a mean near 0, an endpoint with one out is passed over
constexpr int draws = 4;                  // tries at the share draw before the least loaded is taken
constexpr double near_most = 16.0;    // more draws for an endpoint in the own zone: few crossings are left
constexpr double near_slow = 0.5;     // of all zones' mean speed: an own zone so slow is not preferred
constexpr double near_fair = 0.8;     // of the same: preferred in full; zones differ by chance up to this
constexpr double arc_least = 3.0;     // endpoints: two may fail and two are left to choose from
constexpr double arc_answers = 50.0;  // in the window, from each endpoint of the arc: enough to judge it well
constexpr double arc_uses = 10.0;     // in the window, of each endpoint, where a connection serves one call
constexpr std::size_t arcs = 3;       // own arcs tried, one after the other, before all of the ring
constexpr std::size_t key_places = 32;  // endpoints tried for a key: a popular one warms them all
constexpr double key_spread = 4.0;  // endpoints per mean endpoint's load that a key brings: warm work is less
constexpr double model_gain = 0.02;  // per answer: the mean of some 50
constexpr double key_gain = 0.005;   // per call: popularity over the last 200
constexpr double held_full = 1.2;    // calls an endpoint, reported: with more there is no room to grow into
constexpr double full_held = 4.0;    // x limit_least: taken as held by one that turns calls away
constexpr Span held_holds = Span::ms(2000);  // a report older than that tells nothing of the load
constexpr Span tell_pause = Span::ms(500);   // between news of one endpoint: as old as reports are
constexpr double tell_scale = 16.0;          // news are whole numbers
constexpr double busy_edge = 0.02;           // a core that is never idle counts as 50 calls held
// Admission
constexpr Span limit_every = Span::ms(250);  // long enough for some tens of answers on a busy sidecar
constexpr double limit_least = 2.5;   // calls at work per endpoint over all sidecars: fewer idle its cores
constexpr double own_unknown = 0.36;  // of an answer's time spent at the endpoint itself, if it does not tell
constexpr double late_at = 0.6;       // of the soft limit: answers beyond it warn of lateness
constexpr double late_share = 0.2;    // of answers in a step: more lowers the limit
constexpr double late_gain = 0.04;    // per answer: the share of about the last 25
constexpr int trial_answers = 25;  // that a remembered limit is tried by: as many as late_gain looks back on
constexpr double limit_cut = 0.9;  // factor per step: halves in under 2 s
constexpr double limit_growth = 0.02;  // per step when it binds: a tenth a second, as crowding shows late
constexpr double busy_gain = 0.05;     // per answer that tells: the mean of some 20
constexpr Span told_memory = Span::ms(1000);  // so long a sidecar that hears little goes by what it heard
constexpr double room_gain = 0.05;            // per step: the room reported over some 5 s
constexpr double room_kept = 0.5;             // of it, whatever lateness says: all sidecars then cut alike
constexpr double used_calm = 0.8;    // of what may be in use: under that the cores do not make answers late
constexpr double used_ahead = 1.5;   // x limit: so far may calls run ahead of reports that tell of room
constexpr double used_jammed = 1.2;  // what a time-out or a full queue tells, for want of a report
constexpr double busy_most = 0.88;   // of the cores, reported: busier than that there is no room to grow into
constexpr double payoff_slope = 0.2;                 // of the limit, per doubling of payoff over the mean
constexpr double level_low = 0.2, level_high = 1.3;  // bounds of a call's part of the limit
constexpr double mean_out_gain = 0.03;               // per look: the mean over about 1.5 s, some answer times
constexpr double mean_spread = 2.0;    // standard deviations of a Poisson count: what is still chance
constexpr double mean_pull = 4.0;      // a mean off by a quarter of the limit moves the bound by the whole
constexpr double mean_gain = 0.01;     // per call: payoff mean over about the last 100
constexpr double payoff_prior = 5.0;   // calls that the tracks' mean counts for at the start
constexpr double same_left = 0.01;     // of the client timeout: transit varies by less
constexpr double usual_decay = 0.995;  // per call: the usual wait is learnt over some 200 calls
constexpr double usual_sure = 10.0;    // calls with the usual wait before others count as repeats
// Endpoints
constexpr double fresh_start = 1.0;            // call in flight: enough to hear whether it answers
constexpr double fresh_growth = 0.2;           // per answer: doubles in about 4 round trips
constexpr double fresh_done = 3.0;             // x mean in flight: then the cap is lifted
constexpr double cold_depth = 0.3;             // of the window's budget that may go out in one burst
constexpr double cold_least = 1.0;             // sends/s of all sidecars: lets idle ones hear from it at all
constexpr double outlier_quantile = 0.9;       // high enough for tails, low enough for few answers
constexpr double outlier_factor = 3.0;         // x fellows' median: machines of one tier differ by 2 to 3
constexpr std::uint32_t outlier_samples = 15;  // answers in the window before an endpoint is judged
constexpr int misses_allowed = 3;              // in a row: chance errors are rare and alone
constexpr Span bar_first = Span::ms(500);      // about the time a passing fault takes to show it passed
constexpr Span bar_most = Span::ms(4000);      // a returned endpoint is found this soon
constexpr Span full_pause = Span::ms(50);      // a full queue drains a few calls in this time
constexpr double silence_factor = 1.5;         // x p95 without any answer with two or more out
constexpr double silence_alone = 2.5;          // x p95 with a single one out: it may just be a long call
// Connections refused, or dropped unseen
constexpr double refused_gain = 0.1;          // per dispatch: the part of the last 10 or so
constexpr double refused_most = 0.3;          // of the dispatches: single endpoints that are down are fewer
constexpr Span idle_least = Span::ms(500);    // no network drops what was used just before
constexpr double idle_margin = 0.8;           // of the idle time that one was lost at
constexpr Span idle_doubt = Span::ms(20000);  // after a loss; new connections cost endpoints work
// Again and waiting
constexpr double retry_share = 0.2;          // dispatches again per API call
constexpr double retry_depth = 20.0;         // dispatches: a sidecar's calls on one endpoint that dies
constexpr double wait_part = 0.15;           // of the soft limit: leaves most of it for the answer
constexpr Span look_every = Span::ms(50);    // how often silence and waits are looked at
constexpr Span clock_grain = Span::ms(1);    // what times lose by being cut to whole microseconds, amply
constexpr Span answer_guard = Span::ms(25);  // waits end this long before the client timeout
constexpr Span subscribe_first = Span::ms(500), subscribe_most = Span::ms(8000);  // pause after a failed ask

// Spreads ids over all bits; the same everywhere (the finalizer of splitmix64).
std::uint64_t mixed(std::uint64_t v) {
  v = (v ^ (v >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  v = (v ^ (v >> 27U)) * 0x94d049bb133111ebULL;
  return v ^ (v >> 31U);
}

}  // namespace

bool Balancer::State::measured(TimePoint now) { return times.count(now) >= estimate_samples; }

// The floor of the admission limit. A call that waits on deeper tiers keeps no core busy.
double Balancer::State::least_limit() const {
  return limit_least / own_part / sidecars * std::max(1.0, ready_warm);
}

Balancer::State::State(const Settings& s, std::uint64_t seed, TimePoint now) : settings(s), chance(seed) {
  first_tier = settings.number("tier") == 0;
  can_cancel = settings.flag("allowed.cancel");
  can_come_back = settings.flag("allowed.retry_after");
  marks_repeats = settings.has("client_habits.marks_retry") && settings.flag("client_habits.marks_retry");
  gone_binds = !settings.has("rules.drain_binds_alone") || !settings.flag("rules.drain_binds_alone");
  must_subscribe = settings.text("discovery") == "subscribe";
  if (settings.has("zone") && settings.has("penalties.cross_zone") &&
      settings.number("penalties.cross_zone") > 0.0)
    own_zone = static_cast<int>(settings.number("zone"));
  sidecars = std::max(1.0, settings.number("sidecars"));
  seat = settings.has("me") ? std::clamp(settings.number("me") / sidecars, 0.0, 1.0) : mixed(seed) * 0x1p-64;
  can_tell = settings.has("allowed.may_tell") && settings.flag("allowed.may_tell");
  will_tell = settings.has("report.how") && settings.text("report.how") == "inline";
  one_layer = settings.has("layers") && settings.text("layers").find(',') == std::string::npos;
  warm_keys = settings.has("extra.warm_keys") && settings.flag("extra.warm_keys");
  shared_connections =
      settings.has("allowed.streams_per_conn") && settings.number("allowed.streams_per_conn") > 1.0;
  own_parts = !shared_connections && !warm_keys && own_zone < 0 && sidecars > arc_least;
  cold_share = settings.number("rules.cold_share");
  fall_multiple = settings.number("rules.fall_multiple");
  fall_window = settings.span("rules.fall_ms");
  warm_after = settings.span("rules.warm_after_ms");
  most_come_back = settings.span("allowed.max_retry_after_ms");
  most_dispatches =
      static_cast<std::uint8_t>(std::clamp(settings.number("allowed.max_dispatches"), 1.0, 8.0));
  for (int i = 0; i < settings.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    Track t;
    t.soft_limit = settings.span(at + "soft_limit_ms");
    t.client_timeout = settings.span(at + "client_timeout_ms");
    t.payoff = settings.number(at + "payoff");
    t.late_payoff = settings.number(at + "late_payoff");
    const std::string& effect = settings.text(at + "effect");
    t.effect = effect == "replayable"   ? Effect::replayable
               : effect == "referenced" ? Effect::referenced
                                        : Effect::single_use;
    if (t.effect == Effect::referenced) {
      const std::string& group = settings.text(at + "repeat_group");
      t.group = group == "all" ? Group::all : group == "zone" ? Group::zone : Group::cell;
      t.repeat_window = settings.span(at + "repeat_window_ms");
    }
    t.in_turn = settings.has(at + "in_turn") && settings.flag(at + "in_turn");
    tracks.push_back(t);
  }
  if (settings.has("rules.settle_after_doubt_ms"))
    settle_after_doubt = settings.span("rules.settle_after_doubt_ms");
  if (settings.has("rules.resend_span_ms")) {
    resend_span = std::max(clock_grain, settings.span("rules.resend_span_ms"));
    resend_free = settings.has("rules.budget_free") ? settings.number("rules.budget_free") : 0.0;
    resend_ratio = settings.has("rules.resend_ratio") ? settings.number("rules.resend_ratio") : 0.0;
  }
  if (tracks.empty()) throw SettingError("tracks.count", "no track: '" + settings.text("tracks.count") + "'");
  for (const Track& t : tracks) payoff_mean += t.payoff / static_cast<double>(tracks.size());
  waits.resize(tracks.size());
  solve_at = look_at = step_at = rate_since = now;
  times = cuts = WindowedHistogram(estimate_window);
  own_part = one_layer ? 1.0 : own_unknown;
  retry_tokens = retry_depth;
  payoff_seen = payoff_prior;
  subscribe_pause = subscribe_first;
  answers.reserve(64);
}

// --- The design: cap, cutoffs, shares, draw --------------------------------------------------------

Span Balancer::State::cap(const Call& c, TimePoint now) {
  Span least = std::min(tracks[c.track].client_timeout, c.timeout - now);
  if (!measured(now) || starved) return least;
  return std::min(least, std::max(cap_floor, times.quantile(cap_quantile, now) * cap_multiple));
}

double Balancer::State::warmth(const Endpoint& e, TimePoint now) const {
  if (e.came_up <= TimePoint() || now - e.came_up >= warm_after) return 1.0;
  return cold_share + (1.0 - cold_share) * std::max(0.0, (now - e.came_up) / warm_after);
}

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
  const auto all = static_cast<std::size_t>(ready_count);
  spread = ready_count;
  own = {0, ring.size()};
  if (!shared_connections && !own_parts && now >= scarce_until) return;
  own.from = static_cast<std::size_t>(seat * static_cast<double>(ring.size()));
  // What has come since the last solve counts at once: a hot sidecar would crowd a narrow part for seconds.
  const double since = std::max((now - rate_since) / limit_every, 1.0) * limit_every.as_ms() / 1000.0;
  const double uses = shared_connections || now < scarce_until ? arc_answers : arc_uses;
  const double known = std::max(rate, step_arrivals / since) * estimate_window.as_ms() / 1000.0 / uses;
  const auto wanted =
      static_cast<std::size_t>(std::max({arc_least, known, arc_least * ready_count / sidecars}));
  for (Endpoint& e : endpoints) e.in_part = false;
  std::size_t have = 0;
  for (own.size = 0; own.size < ring.size() && have < wanted; ++own.size) {
    Endpoint& e = endpoints[ring[(own.from + own.size) % ring.size()]];
    e.in_part = true;
    have += e.ready() && (e.bar == Span() || now < scarce_until) ? 1U : 0U;
  }
  spread = static_cast<int>(std::min(all, have));
}

// Passed over by its last report, for the part of the calls that is too much: the rest still hears from it.
bool Balancer::State::crowded(const Endpoint& e, TimePoint now) {
  return now - e.held_at < held_holds && e.held > held_high() && chance.unit() * e.held > held_high();
}

double Balancer::State::held_high() const {
  return std::max(limit_least, pass_over_factor * mean_held + pass_over_extra);
}

// The part of the recent calls that were about this key; little where it is none of the popular ones.
double Balancer::State::popularity(std::uint64_t key) {
  std::size_t at = keys.size(), least = 0;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    keys[i].weight *= 1.0 - key_gain;
    if (keys[i].key == key) at = i;
    if (keys[i].weight < keys[least].weight) least = i;
  }
  if (at == keys.size()) keys[at = least] = {key, 0.0};
  return keys[at].weight += key_gain;
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
    const double u = (static_cast<double>(mixed(c.key ^ e.mark) >> 11U) + 0.5) * 0x1p-53;
    std::pair<double, std::size_t> at{-std::log(u) * std::max(1e-9, models[e.model]) / warmth(e, now), i};
    // Most are none of the best: a busy sidecar's CPU goes here.
    for (auto b = at < best.back() ? best.begin() : best.end(); b != best.end(); ++b) {
      if (at < *b) std::swap(at, *b);
    }
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
  double sum = 0.0, near_sum = 0.0;
  int heard = 0, near_heard = 0;
  std::vector<double> tails;
  const double before = ready_warm;
  ready_count = 0;
  ready_warm = 0.0;
  order();
  for (Endpoint& e : endpoints) {
    if (!e.ready()) continue;
    ++ready_count;
    ready_warm += warmth(e, now);
    if (e.latency_ms > 0.0) sum += 1.0 / e.latency_ms, ++heard;
    if (e.latency_ms > 0.0 && e.zone == own_zone) near_sum += 1.0 / e.latency_ms, ++near_heard;
    if (e.times.count(now) >= outlier_samples)
      tails.push_back(e.times.quantile(outlier_quantile, now).as_ms());
  }
  // The limit is per warm endpoint. Guards those left of a lost zone, and a growing fleet of cold ones.
  if (before > 0.0 && ready_count > 0) limit *= ready_warm / before;
  const double mean = heard > 0 ? sum / heard : 1.0;
  // Guards against keeping to a zone that has lost machines, or is sent more than its part, until it chokes.
  const double fair = near_heard > 0 ? near_sum / near_heard / mean : 1.0;
  const double keep = std::clamp((fair - near_slow) / (near_fair - near_slow), 0.0, 1.0);
  near_draws = own_zone < 0 ? 0 : static_cast<int>(near_most * keep);
  double typical = 0.0;
  if (tails.size() >= 3) {
    std::nth_element(tails.begin(), tails.begin() + static_cast<long>(tails.size() / 2), tails.end());
    typical = tails[tails.size() / 2];
  }
  double total = 0.0;
  shares.clear();
  for (const std::uint32_t i : ring) {
    Endpoint& e = endpoints[i];
    const bool was = e.outlier;
    e.outlier = typical > 0.0 && e.times.count(now) >= outlier_samples &&
                e.times.quantile(outlier_quantile, now).as_ms() > outlier_factor * typical;
    if (e.outlier != was)
      say("endpoint %012llx %s", static_cast<unsigned long long>(e.id),
          e.outlier ? "answers far slower than its fellows" : "answers like its fellows again");
    const double spare = shared_connections ? 1.0 / (1.0 + e.held) : 1.0;
    if (e.ready()) total += (e.latency_ms > 0.0 ? 1.0 / e.latency_ms : mean) * warmth(e, now) * spare;
    shares.push_back(total);
  }
  const double cut = cuts.count(now), done = times.count(now);
  const bool was = starved;
  starved = cut > starved_cuts * std::max(1.0, done);
  if (starved != was)
    say(starved ? "cuts starve the estimate: full timeouts" : "estimate bounds dispatches again");
  const double seconds = (now - rate_since).as_ms() / 1000.0;
  if (seconds > 0.5) {
    const double seen = step_arrivals / seconds;
    rate = rate > 0.0 ? 0.5 * (rate + seen) : seen;
    step_arrivals = 0;
    rate_since = now;
  }
  solve_at = now + solve_every;
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

// Its connection has idled as long as one that was lost: a new one is needed.
bool Balancer::State::doubted(const Endpoint& e, TimePoint now) const {
  return now - idle_lost_at < idle_doubt && e.in_flight == 0 && e.last_used > TimePoint() &&
         now - e.last_used >= idle_safe;
}

bool Balancer::State::spare_connection(const Endpoint& e, TimePoint now) const {
  return e.connections > e.in_flight && !doubted(e, now);
}

bool Balancer::State::tried(const Call& c, std::size_t endpoint) const {
  return std::any_of(c.dispatches.begin(), c.dispatches.begin() + c.sent,
                     [&](const Dispatch& d) { return d.endpoint == endpoint; });
}

int Balancer::State::draw(const Call& c, const Arc& part, TimePoint now) {
  if (part.size == 0) return -1;
  const double high = pass_over_factor * in_flight / std::max(1, spread) + pass_over_extra;
  const auto mass = [&](std::size_t n) {  // of the first n of the ring, run round it as often as need be
    return static_cast<double>(n / shares.size()) * shares.back() +
           (n % shares.size() ? shares[n % shares.size() - 1] : 0.0);
  };
  const double before = mass(part.from), total = mass(part.from + part.size) - before;
  // Where crossing zones is priced, a draw outside the own zone is kept back while some more are made.
  int far = -1, last = draws - 1;
  for (int n = 0; n <= last && total > 0.0; ++n) {
    const auto at = std::upper_bound(shares.begin(), shares.end(),
                                     std::fmod(before + chance.unit() * total, shares.back()));
    const auto i =
        ring[static_cast<std::size_t>(std::min<long>(at - shares.begin(), std::ssize(shares) - 1))];
    Endpoint& e = endpoints[i];
    if (e.in_flight > high || crowded(e, now) || tried(c, i) || !healthy(e, now) || !open_by_rules(c, e, now))
      continue;
    // Guards against new connections, which cost and may fail: those that have one to spare come first.
    if (own_parts && !spare_connection(e, now) && (n < draws - 1 || now < scarce_until)) continue;
    if (near_draws == 0 || e.zone == own_zone) return static_cast<int>(i);
    if (far < 0) far = static_cast<int>(i), last = n + near_draws;
  }
  if (far >= 0) return far;
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

// --- Endpoints -------------------------------------------------------------------------------------

// What no judgement of health may set aside: drains, cold endpoints, and repeats within their group.
bool Balancer::State::open_by_rules(const Call& c, const Endpoint& e, TimePoint now) {
  if (!e.ready()) return false;
  if (c.bound_to >= 0 && !within_repeats(c, e, now)) return false;
  if (e.fresh_cap >= 0.0 && e.in_flight >= e.fresh_cap) return false;
  if (warmth(e, now) >= 1.0) return true;
  fill_cold(const_cast<Endpoint&>(e), now);
  return e.cold_tokens >= 1.0;
}

// Guards against a cold endpoint pushed over by all sidecars: each sends its own mean rate per endpoint, by
// how warm it must be, in bursts well under the window; outside its own part it is one of all.
void Balancer::State::fill_cold(Endpoint& e, TimePoint now) {
  const double per_s =
      std::max(cold_least / sidecars, rate / std::max(1, e.in_part ? spread : ready_count) * warmth(e, now));
  const double depth =
      std::max(1.0, cold_part * per_s * fall_window.as_ms() / 1000.0 * fall_multiple * cold_depth);
  e.cold_tokens = std::min(depth, e.cold_tokens + cold_part * per_s * (now - e.cold_filled).as_ms() / 1000.0);
  e.cold_filled = now;
}

bool Balancer::State::healthy(const Endpoint& e, TimePoint now) {
  if (now < e.barred_until || (e.outlier && e.in_flight > 0)) return false;
  return all_silent || !silent(e, now);
}

bool Balancer::State::silent(const Endpoint& e, TimePoint now) {
  if (e.in_flight == 0 || !measured(now)) return false;
  const Span patience =
      times.quantile(cap_quantile, now) * (e.in_flight > 1 ? silence_factor : silence_alone);
  return now - e.quiet_since > std::max(cap_floor, patience);
}

void Balancer::State::miss(Endpoint& e, TimePoint now, const char* what, int weight) {
  e.misses += weight;
  if (e.misses < misses_allowed || now < e.barred_until) return;
  if (e.bar == Span()) say("endpoint %012llx passed over: %s", static_cast<unsigned long long>(e.id), what);
  e.bar = std::clamp(e.bar * 2.0, bar_first, bar_most);
  e.barred_until = now + e.bar;
  e.fresh_cap = fresh_start;
  if (e.unlisted) e.availability = Availability::gone;
}

// Dropped unseen while it idled, for all one can know: not the endpoint's fault, but doubted for a while.
// Silence is held against a connection only where many calls share it: else it may be the endpoint's.
bool Balancer::State::dropped(const Endpoint& e, const Dispatch& d, bool reset, TimePoint now) {
  if ((!shared_connections && !reset) || d.idle < idle_least || e.quiet_since > d.sent) return false;
  idle_safe =
      now - idle_lost_at < idle_doubt ? std::min(idle_safe, d.idle * idle_margin) : d.idle * idle_margin;
  idle_lost_at = now;
  return true;
}

void Balancer::State::tell_use(double part, TimePoint now) {
  used += (part - used) * (told ? std::clamp((now - told_at) / told_memory, busy_gain, 1.0) : 1.0);
  told_at = now;
}

void Balancer::State::learn(Endpoint& e, const Dispatch& d, const DispatchEnd& end, TimePoint now) {
  --e.in_flight;
  --in_flight;
  double speed_ms = 0.0;
  if (end.outcome == Outcome::done)
    e.last_used = now, e.connections = std::max(e.connections, e.in_flight + 1);
  if (end.outcome == Outcome::reset || end.outcome == Outcome::timed_out || end.outcome == Outcome::cancelled)
    e.connections = std::max(0, e.connections - 1);
  if (end.outcome == Outcome::not_connected) e.connections = e.in_flight;
  refused += ((end.outcome == Outcome::not_connected ? 1.0 : 0.0) - refused) * refused_gain;
  if ((warm_keys || own_parts) && refused > refused_most) scarce_until = now + idle_doubt;
  switch (end.outcome) {
    case Outcome::done:
      times.add(end.elapsed, now);
      e.times.add(end.elapsed, now);
      speed_ms = end.load.service_ms > 0.0 ? end.load.service_ms : end.elapsed.as_ms();
      e.latency_ms += (speed_ms - e.latency_ms) * (e.latency_ms > 0.0 ? latency_gain : 1.0);
      std::replace(models.begin(), models.end(), 0.0, speed_ms);  // unheard ones are taken for like it
      models[e.model] += (speed_ms - models[e.model]) * model_gain;
      if (e.bar > Span()) say("endpoint %012llx answers again", static_cast<unsigned long long>(e.id));
      e.misses = 0;
      e.bar = Span();
      e.quiet_since = now;
      if (end.load.busy >= 0.0 || end.load.held >= 0.0) {
        const double part = end.load.busy >= 0.0 ? end.load.busy / busy_most : end.load.held / held_full;
        tell_use(part, now);
        told = true;
        // How busy the cores are tells of calls held as one queue would have them.
        const double holds =
            end.load.held >= 0.0 ? end.load.held : end.load.busy / (1.0 + busy_edge - end.load.busy);
        mean_held += (holds - mean_held) * busy_gain;
        e.held = holds;
        e.held_at = now;
        if (can_tell && warm_keys && holds > held_high() && now - e.told_at > tell_pause) {
          push(Verdict::tell, 0, static_cast<std::uint32_t>(holds * tell_scale), e.id);
          e.told_at = now;
        }
      }
      if (e.fresh_cap >= 0.0) {
        e.fresh_cap += fresh_growth;
        const double enough = fresh_done * (in_flight + 1.0) / std::max(1, spread);
        if (e.fresh_cap > std::max(2.0, enough) && warmth(e, now) >= 1.0) e.fresh_cap = -1.0;
      }
      break;
    case Outcome::turned_away:
      e.quiet_since = now;
      e.barred_until = std::max(e.barred_until, now + full_pause);
      if (told) e.held = full_held * limit_least, e.held_at = now, tell_use(used_jammed, now);
      break;
    case Outcome::timed_out:
      if (d.cut) cuts.add(end.elapsed, now);
      // A wait shorter than most answers take tells of the caller, not of the endpoint.
      if (dropped(e, d, false, now) || (measured(now) && end.elapsed < times.quantile(cap_quantile, now)))
        break;
      if (told) tell_use(used_jammed, now);  // a jam answers nothing, and reports come with answers
      miss(e, now, "dispatches time out");
      break;
    case Outcome::not_connected: miss(e, now, "no connection", misses_allowed); break;  // no chance error
    case Outcome::reset:
      // At once, before any work could be done: the connection was gone before the call came.
      if (!dropped(e, d, end.elapsed < cap_floor, now)) miss(e, now, "connections break");
      break;
    case Outcome::cancelled:
      if (d.rescued && !dropped(e, d, false, now)) miss(e, now, "silent");
      break;
    case Outcome::error:  // three running are the endpoint's own: failing fast, it would draw the most calls
      e.quiet_since = now;
      if (++e.misses >= misses_allowed && now >= e.barred_until)
        e.barred_until = now + (e.bar = std::clamp(e.bar * 2.0, bar_first, bar_most));
      break;
    case Outcome::not_sent: break;
  }
}

// Guards against a list that is wrong, where only draining binds: one without a failure against it is kept
// until its own calls fail. Harm: one call for each that is gone indeed.
void Balancer::State::called_gone(Endpoint& e, TimePoint now) {
  e.unlisted = !gone_binds && e.ready() && e.misses == 0 && e.bar == Span() && !silent(e, now);
  if (!e.unlisted) e.availability = Availability::gone;
}

// For a new endpoint: the place of one that is gone and that no call in hand was sent to, or a new place.
std::uint32_t Balancer::State::free_place() {
  std::vector<bool> named(endpoints.size() + 1, false);
  for (std::uint32_t i = 0; i < calls.size(); ++i) {
    for (std::size_t n = 0; calls[i].in_use && n < calls[i].sent; ++n)
      named[calls[i].dispatches[n].endpoint] = true;
  }
  std::uint32_t at = 0;
  while (at < endpoints.size() && (named[at] || endpoints[at].availability != Availability::gone)) ++at;
  if (at == endpoints.size()) return endpoints.emplace_back(), at;
  endpoint_index.erase(endpoints[at].id);
  endpoints[at] = Endpoint();
  return at;
}

Answers Balancer::listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now) {
  State& s = *state_;
  s.answers.clear();
  if (kind == ListKind::failed) {
    // The pause is drawn so that sidecars whose subscriptions broke together do not ask together.
    s.subscribe_at = now + s.subscribe_pause * (0.5 + s.chance.unit());
    s.subscribe_pause = std::min(subscribe_most, s.subscribe_pause * 2.0);
    return s.answers;
  }
  if (kind == ListKind::cached && s.must_subscribe) {
    s.push(Verdict::subscribe);
  } else {
    s.subscribe_pause = subscribe_first;
  }
  std::vector<bool> named(s.endpoints.size(), false);
  for (const ListedEndpoint& l : entries) {
    std::uint32_t at = s.endpoint_index.find(l.id);
    if (at == IdIndex::none) {
      if (l.availability == Availability::gone) continue;
      s.endpoint_index.put(l.id, at = s.free_place());
    }
    if (at < named.size()) named[at] = true;
    Endpoint& e = s.endpoints[at];
    if (l.availability == Availability::gone) {
      s.called_gone(e, now);
      continue;
    }
    e.unlisted = false;
    // A fresh start: nothing that was known of the process before it holds.
    if (l.availability == Availability::ready && (!e.ready() || l.came_up != e.came_up)) {
      const int out = e.in_flight;
      e = Endpoint();
      e.times = WindowedHistogram(estimate_window);
      e.in_flight = out;
      e.quiet_since = e.cold_filled = now;
      e.came_up = l.came_up;
      e.cold_tokens = s.chance.unit();  // far under one a window: chance says who is first
      if (s.warmth(e, now) < 1.0) e.fresh_cap = fresh_start;
    }
    e.id = l.id;
    e.zone = l.zone, e.cell = l.cell;
    e.mark = mixed(l.mark != 0 ? l.mark : l.id);
    e.model = l.model;
    if (s.models.size() <= e.model) s.models.resize(e.model + 1U, s.models.empty() ? 0.0 : s.models[0]);
    e.availability = l.availability;
  }
  for (std::size_t i = 0; kind != ListKind::changes && i < named.size(); ++i) {
    if (!named[i]) s.called_gone(s.endpoints[i], now);
  }
  s.solve(now);
  s.serve_waiting(now);
  return s.answers;
}

std::vector<Learnt> Balancer::learnt() const {
  std::vector<Learnt> out;
  for (const Endpoint& e : state_->endpoints)
    if (e.ready() && e.latency_ms > 0.0) out.push_back({e.id, e.came_up, e.latency_ms});
  return out;
}

void Balancer::recall(std::span<const Learnt> known, TimePoint now) {
  for (const Learnt& l : known) {
    const std::uint32_t at = state_->endpoint_index.find(l.endpoint);
    if (at == IdIndex::none) continue;
    Endpoint& e = state_->endpoints[at];
    if (e.ready() && e.came_up == l.came_up && e.latency_ms <= 0.0) e.latency_ms = l.latency_ms;
  }
  state_->solve(now);
}

Carried Balancer::carried(TimePoint now) const {
  Carried out{state_->limit, state_->rate, state_->late_part, state_->retry_tokens};
  for (std::size_t i = 0; i < out.times_ms.size() && state_->measured(now); ++i)
    out.times_ms[i] =
        state_->times.quantile((i + 0.5) / static_cast<double>(out.times_ms.size()), now).as_ms();
  return out;
}

void Balancer::carry(const Carried& c, TimePoint now) {
  State& s = *state_;
  s.limit = c.limit, s.rate = c.rate, s.late_part = c.late_part, s.on_trial = c.on_trial ? trial_answers : 0;
  s.retry_tokens = std::clamp(c.retry_tokens, 0.0, retry_depth);
  for (const double ms : c.times_ms) {
    if (ms > 0.0) s.times.add(Span::ms(ms), now);
  }
  for (Endpoint& e : s.endpoints) e.cold_tokens = c.budgets_spent ? 0.0 : e.cold_tokens;
}

void Balancer::share(double part) { state_->cold_part = part; }

std::size_t Balancer::avoided(TimePoint now) const {
  std::size_t out = 0;
  for (const Endpoint& e : state_->endpoints) out += e.ready() && (e.bar > Span() || state_->silent(e, now));
  return out;
}

bool Balancer::usable(EndpointId endpoint) const {
  const std::uint32_t at = state_->endpoint_index.find(endpoint);
  return at != IdIndex::none && state_->endpoints[at].ready();
}

std::size_t Balancer::endpoints_kept() const { return state_->endpoints.size(); }

// --- API calls -------------------------------------------------------------------------------------

bool Balancer::State::within_repeats(const Call& c, const Endpoint& e, TimePoint now) const {
  const Track& t = tracks[c.track];
  if (t.effect == Effect::replayable) return true;
  if (t.effect == Effect::single_use || now - c.bound_since >= t.repeat_window) return false;
  const Dispatch& first = c.dispatches[static_cast<std::size_t>(c.bound_to)];
  return t.group == Group::all || (t.group == Group::zone ? first.zone == e.zone : first.cell == e.cell);
}

bool Balancer::State::may_go_again(const Call& c, TimePoint now) {
  const Track& t = tracks[c.track];
  if (c.sent + c.sent_elsewhere >= most_dispatches) return false;
  if (c.bound_to >= 0 && t.effect != Effect::replayable) {
    if (t.effect == Effect::single_use || now - c.bound_since >= t.repeat_window) return false;
  }
  return resends_left(now) > rescuing && worth_sending(c, Span(), now);
}

// A retry that cannot end in time is skipped (the design); where late answers pay nothing, in soft time.
bool Balancer::State::worth_sending(const Call& c, Span wait, TimePoint now) {
  Span left = c.timeout - now;
  if (first_tier && tracks[c.track].late_payoff <= 0.0) left = std::min(left, c.soft_end - now);
  return left - wait > (measured(now) ? times.quantile(0.5, now) : Span());
}

// --- Further rules: calls of a key in turn, a budget of dispatches ----------------------------------

// Guards the order of calls with one key: all of them stand in a line, and only its first is sent. One that
// would come too late behind those before it is turned away now, so that a popular key's line stays short.
Answer Balancer::State::line_up(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  std::uint32_t l = line_index.find(c.key);
  if (l == Line::none) {
    line_index.put(c.key, l = lines.take());
    lines[l].key = c.key, lines[l].in_use = true;
  }
  Line& line = lines[l];
  c.line = l;
  (line.last == Line::none ? line.first : calls[line.last].behind) = at;
  line.last = at;
  const Span each = measured(now) ? std::max(cap_floor, times.quantile(0.5, now)) : cap_floor;
  const Span wait = each * line.length++ + std::max(Span(), line.rests_until - now);
  if (wait == Span()) return place(at, now);
  c.queued = true;
  calls_out -= c.coming ? 0 : 1;
  c.wait_until = c.timeout - answer_guard - look_every;
  if (c.wait_until <= now || !worth_sending(c, wait, now)) return give_up(at, now, true);
  Answer a;
  a.verdict = Verdict::wait, a.call = c.id, a.until = c.wait_until;
  return a;
}

// The line ends with its last call, once its rest is over too.
void Balancer::State::leave_line(std::uint32_t at, TimePoint now) {
  const std::uint32_t l = std::exchange(calls[at].line, Line::none);
  Line& line = lines[l];
  const std::uint32_t after = calls[at].behind;
  const bool was_first = line.first == at;
  if (was_first) {
    line.first = after;
    if (after == Line::none) line.last = Line::none;
  } else {
    std::uint32_t before = line.first;
    while (calls[before].behind != at) before = calls[before].behind;
    calls[before].behind = after;
    if (after == Line::none) line.last = before;
  }
  --line.length;
  if (was_first && now >= line.rests_until) turns.push_back(l);
}

void Balancer::State::take_turn(std::uint32_t l, TimePoint now) {
  Line& line = lines[l];
  if (!line.in_use || now < line.rests_until) return;
  if (line.first == Line::none) {
    line_index.erase(line.key);
    line.in_use = false;
    return lines.give_back(l);
  }
  const std::uint32_t at = line.first;
  if (!std::exchange(calls[at].queued, false)) return;
  calls_out += calls[at].coming ? 0 : 1;
  const Answer a = place(at, now);
  if (a.verdict != Verdict::wait) answers.push_back(a);
}

void Balancer::State::serve_lines(TimePoint now) {
  for (; !rests.empty() && rests.front().first <= now; rests.pop_front())
    turns.push_back(rests.front().second);
  while (!turns.empty()) {
    const std::uint32_t l = turns.back();
    turns.pop_back();
    take_turn(l, now);
  }
}

// A call that waits for its turn is answered while its client can still use it, wherever it stands.
void Balancer::State::give_up_queued(TimePoint now) {
  for (std::uint32_t l = 0; l < lines.size(); ++l) {
    for (std::uint32_t at = lines[l].in_use ? lines[l].first : Line::none; at != Line::none;) {
      const Call& c = calls[at];
      const std::uint32_t next = c.behind;
      if (c.queued && (now >= c.wait_until || !worth_sending(c, Span(), now)))
        answers.push_back(give_up(at, now, true));
      at = next;
    }
  }
}

void Balancer::State::count_taken(TimePoint now, std::uint32_t more) {
  const std::int64_t slice = static_cast<std::int64_t>((now - TimePoint()) / resend_span * resend_slices);
  if (slice - taken_slice >= static_cast<std::int64_t>(resend_slices)) taken.fill(0), taken_slice = slice;
  for (; taken_slice < slice; ++taken_slice)
    taken[static_cast<std::size_t>(taken_slice + 1) % resend_slices] = 0;
  taken[static_cast<std::size_t>(slice) % resend_slices] += more;
}

// Dispatches beyond a call's first that the stated budget leaves. Calls count while the whole of their slice
// lies within the span, so that it is never more than the rule allows.
int Balancer::State::resends_left(TimePoint now) {
  if (resend_free < 0.0) return std::numeric_limits<int>::max();
  count_taken(now, 0);
  while (!resends.empty() && now - resends.front() > resend_span + clock_grain) resends.pop_front();
  const double known = std::accumulate(taken.begin(), taken.end(), 0.0);
  return static_cast<int>(resend_free + resend_ratio * known) - static_cast<int>(resends.size());
}

Answer Balancer::State::give_up(std::uint32_t at, TimePoint now, bool crowded) {
  Call& c = calls[at];
  const Track& t = tracks[c.track];
  Answer a;
  a.call = c.id;
  const bool may_reject = c.bound_to < 0 || t.effect == Effect::replayable ||
                          (t.effect == Effect::referenced && t.group == Group::all);
  a.verdict = may_reject && c.out == 0 ? Verdict::reject : Verdict::break_off;
  if (t.effect == Effect::replayable) a.verdict = Verdict::reject;
  if (a.verdict == Verdict::reject && can_come_back)
    a.span = crowded ? most_come_back : most_come_back * 0.25;
  finish(at, now);
  return a;
}

Answer Balancer::State::send(std::uint32_t at, int endpoint, TimePoint now) {
  Call& c = calls[at];
  Endpoint& e = endpoints[static_cast<std::size_t>(endpoint)];
  Answer a;
  a.verdict = Verdict::dispatch, a.call = c.id, a.endpoint = e.id;
  a.number = c.sent;
  a.span = cap(c, now);
  // Guards rule 2: a connection may take longer to come up than the reference is remembered.
  if (c.bound_to >= 0 && tracks[c.track].effect == Effect::referenced)
    a.until = c.bound_since + tracks[c.track].repeat_window;
  const Span idle = e.in_flight > 0 || e.last_used == TimePoint() ? Span() : now - e.last_used;
  a.fresh = doubted(e, now);
  e.last_used = now;
  Dispatch& d = c.dispatches[c.sent++];
  d = {static_cast<std::uint32_t>(endpoint), now, e.zone, e.cell, true, a.span < c.timeout - now, false, {}};
  d.idle = a.fresh ? Span() : idle;
  if (resend_free >= 0.0 && c.sent + c.sent_elsewhere > 1) resends.push_back(now);
  ++c.out;
  c.waiting = false;
  if (e.in_flight++ == 0) e.quiet_since = now;
  ++in_flight;
  if (warmth(e, now) < 1.0) e.cold_tokens -= 1.0;
  return a;
}

Answer Balancer::State::place(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (c.timeout <= now) return give_up(at, now, false);
  if (c.sent + c.sent_elsewhere > 0 && resends_left(now) < 1) return give_up(at, now, false);
  const int endpoint = pick(c, now);
  if (endpoint >= 0) return send(at, endpoint, now);
  return hold_or_give_up(at, now);
}

// No endpoint takes it now: it is held for a moment if that leaves time for the answer.
Answer Balancer::State::hold_or_give_up(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (!c.waiting) {
    c.waiting = true;
    c.wait_until =
        std::min(now + tracks[c.track].soft_limit * wait_part, c.timeout - answer_guard - look_every);
    if (ready_count > 0 && c.wait_until > now) waiting.push_back(at);
  }
  if (ready_count == 0 || c.wait_until <= now) return give_up(at, now, true);
  Answer a;
  a.verdict = Verdict::wait, a.call = c.id, a.until = c.wait_until;
  return a;
}

void Balancer::State::finish(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (c.over) return;
  c.over = true;
  c.waiting = false;
  calls_out -= c.coming || c.queued ? 0 : 1;
  c.queued = false;
  if (can_cancel && c.sent > 0 && c.dispatches[c.sent - 1U].out) push(Verdict::cancel, c.id, c.sent - 1U);
  settle(at, now);
}

// The place is reused once the client has its answer and every dispatch has ended.
void Balancer::State::settle(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (!c.over || c.out > 0 || !c.in_use) return;
  if (c.line != Line::none) leave_line(at, now);
  if (std::find(waiting.begin(), waiting.end(), at) != waiting.end()) std::erase(waiting, at);
  call_index.erase(c.id);
  c.in_use = false;
  calls.give_back(at);
}

void Balancer::State::serve_waiting(TimePoint now) {
  if (waiting.empty()) return;
  std::erase_if(waiting, [&](std::uint32_t at) { return !calls[at].waiting; });
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](std::uint32_t a, std::uint32_t b) { return calls[a].payoff > calls[b].payoff; });
  for (std::size_t i = 0; i < waiting.size();) {
    const std::uint32_t at = waiting[i];
    const std::size_t before = waiting.size();
    const Answer a = place(at, now);
    if (a.verdict != Verdict::wait) {
      answers.push_back(a);
      if (waiting.size() == before) waiting.erase(waiting.begin() + static_cast<long>(i));
    } else {
      ++i;
    }
  }
}

// Calls at an endpoint that alone is silent go elsewhere where their track permits, before their soft limit.
void Balancer::State::rescue(TimePoint now) {
  int quiet = 0;
  for (const Endpoint& e : endpoints) quiet += e.ready() && silent(e, now) ? 1 : 0;
  all_silent = quiet * 2 > ready_count;
  if (quiet == 0 || all_silent || !can_cancel) return;
  for (std::uint32_t at = 0; at < calls.size(); ++at) {
    Call& c = calls[at];
    if (!c.in_use || c.over || c.out != 1 || c.sent == 0 || retry_tokens < 1.0) continue;
    Dispatch& d = c.dispatches[c.sent - 1U];
    Endpoint& e = endpoints[d.endpoint];
    if (!d.out || d.rescued || tracks[c.track].effect != Effect::replayable) continue;
    const bool old = now - d.sent >= times.quantile(cap_quantile, now);
    if (!silent(e, now) || !old || !may_go_again(c, now)) continue;
    d.rescued = true;
    ++rescuing;
    push(Verdict::cancel, c.id, c.sent - 1U);
    retry_tokens -= 1.0;
  }
}

// --- Admission (first tier) ------------------------------------------------------------------------

// How long ago the client first tried, by its stated wait: repeats past their soft limit pay nothing.
Span Balancer::State::age_of(const ApiCall& call) {
  const Span whole = tracks[call.track].client_timeout;
  UsualWait& w = waits[call.track];
  std::size_t at = 0, least = 0;
  const auto same = [&](Span a, Span b) { return std::abs((a - b) / whole) <= same_left; };
  for (std::size_t i = 0; i < w.guesses.size(); ++i) {
    w.guesses[i].weight *= usual_decay;
    if (w.guesses[i].weight < w.guesses[least].weight) least = i;
  }
  while (at < w.guesses.size() && !same(w.guesses[at].left, call.left)) ++at;
  if (at == w.guesses.size()) w.guesses[at = least] = {call.left, 0.0};
  w.guesses[at].weight += 1.0;
  if (w.guesses[at].weight > 2.0 * w.guesses[w.usual].weight) w.usual = at;
  if (((at == w.usual || marks_repeats) && !call.repeated) || w.guesses[w.usual].weight < usual_sure)
    return Span();
  return std::max(Span(), whole - call.left);
}

// Deeper tiers turn nothing away early: work is already in the call, and its caller was admitted.
bool Balancer::State::admitted(const Call& c) {
  if (!first_tier) return true;
  // Repeats only: with a median over a track's soft limit its first tries would all be turned away for good.
  const Span whole = tracks[c.track].soft_limit, useful = c.soft_end - c.arrived;
  if (tracks[c.track].late_payoff <= 0.0 && useful < std::min(whole, times.quantile(0.5, c.arrived)))
    return false;
  const double above = std::log2(std::max(1e-6, c.payoff / std::max(1e-6, payoff_mean)));
  const double level = std::clamp(1.0 + payoff_slope * above, level_low, level_high);
  // It holds the mean of the calls in flight: as a bound on the moment it turned away half idle tiers.
  const double ahead = told && used < 1.0 ? used_ahead : 1.0;  // reports lag by a second or two
  const double room = std::max(limit, least_limit()) * level * ahead;
  if (will_tell && !told) return true;
  const double chance_off = mean_spread * std::sqrt(room);
  if (calls_out - 1 < room + std::clamp((room - mean_out) * mean_pull, -chance_off, chance_off)) return true;
  limited = true;
  return false;
}

void Balancer::State::count_answer(const Call& c, bool done, TimePoint now) {
  // A call whose caller waits too little for a late answer is none, however it ends.
  if (!first_tier || c.timeout - c.arrived < tracks[c.track].soft_limit * late_at) return;
  ++step_ends;
  const bool late = !done || (now - c.arrived) / tracks[c.track].soft_limit > late_at;
  late_part += ((late ? 1.0 : 0.0) - late_part) * late_gain;
  // Guards endpoints that choke against a limit from before: it falls to the floor, and is learnt anew.
  if (on_trial > 0 && (--on_trial, late) && ++trial_late > late_share * trial_answers) limit = on_trial = 0;
}

void Balancer::State::step_limit(TimePoint now) {
  step_at = now + limit_every;
  // While endpoints report room the calls in flight may grow by it: the floor counts all sidecars alike.
  if (told && used < 1.0) room_told += (mean_out / std::max(0.25, used) - room_told) * room_gain;
  const double least = std::max(least_limit(), room_told * room_kept);
  limit = std::max({limit, least, told && used < 1.0 ? mean_out / std::max(0.25, used) : 0.0});
  // Answers late while the endpoints report room are not late by crowding: fewer calls would not mend it.
  if (step_ends > 0 && late_part > late_share && (!told || used > used_calm)) {
    limit = std::max(least, std::min<double>(limit, step_peak) * limit_cut);
  } else if (limited && step_ends > 0 && used < 1.0) {  // no answer, no evidence of room
    limit += limit * limit_growth;
  }
  widen(now);
  step_ends = 0;
  step_peak = calls_out;
  limited = false;
}

// --- Events ----------------------------------------------------------------------------------------

void Balancer::State::push(Verdict verdict, CallId call, std::uint32_t number, EndpointId endpoint) {
  Answer& a = answers.emplace_back();
  a.verdict = verdict, a.call = call, a.number = number, a.endpoint = endpoint;
}

void Balancer::State::say(const char* format, ...) {
  push(Verdict::log);
  va_list args;
  va_start(args, format);
  std::vsnprintf(answers.back().text.data(), answers.back().text.size(), format, args);
  va_end(args);
}

void Balancer::State::tick(TimePoint now) {
  if (now >= subscribe_at) {
    subscribe_at = TimePoint::never();
    push(Verdict::subscribe);
  }
  if (now >= solve_at) solve(now);
  if (now >= step_at) step_limit(now);
  serve_lines(now);
  if (now >= look_at) {
    look_at = now + look_every;
    mean_out += (calls_out - mean_out) * mean_out_gain;
    rescue(now);
    if (lines.size() > 0) give_up_queued(now), serve_lines(now);
    serve_waiting(now);
  }
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed, TimePoint now)
    : state_(std::make_unique<State>(settings, seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

TimePoint Balancer::next_wake() const {
  const TimePoint rested = state_->rests.empty() ? TimePoint::never() : state_->rests.front().first;
  return std::min({state_->solve_at, state_->look_at, state_->subscribe_at, rested});
}

Answer Balancer::arrived(const ApiCall& given, TimePoint now) {
  State& s = *state_;
  s.answers.clear();
  ApiCall call = given;
  call.track = std::min(call.track, static_cast<std::uint32_t>(s.tracks.size() - 1));
  const std::uint32_t at = s.calls.take();
  Call& c = s.calls[at];
  c.id = call.id;
  c.track = call.track, c.key = call.key, c.coming = call.coming;
  if (s.warm_keys && c.key != 0) c.popularity = s.popularity(c.key);
  c.arrived = c.moved_at = now;
  c.timeout = now + call.left;
  c.soft_end = now + s.tracks[c.track].soft_limit - call.elsewhere.spent;
  c.sent_elsewhere = call.elsewhere.dispatches;
  c.in_use = true;
  s.call_index.put(call.id, at);
  c.payoff = s.tracks[c.track].payoff;
  s.payoff_seen = std::min(1.0 / mean_gain, s.payoff_seen + 1.0);
  s.payoff_mean += (c.payoff - s.payoff_mean) / s.payoff_seen;
  if (!call.elsewhere.was && s.resend_free >= 0.0) s.count_taken(now, 1);
  if (!call.elsewhere.was) s.retry_tokens = std::min(retry_depth, s.retry_tokens + retry_share);
  ++s.step_arrivals;
  s.calls_out += c.coming ? 0 : 1;
  s.step_peak = std::max(s.step_peak, s.calls_out);
  if (s.first_tier && !call.elsewhere.was) c.soft_end = c.soft_end - s.age_of(call);
  if (!s.admitted(c)) return s.give_up(at, now, true);
  // Guards the retry budget: one that may have run in another pool is a dispatch again here.
  if (call.elsewhere.may_have_run && s.retry_tokens < 1.0) return s.give_up(at, now, false);
  if (call.elsewhere.may_have_run) s.retry_tokens -= 1.0;
  return s.tracks[c.track].in_turn && c.key != 0 ? s.line_up(at, now) : s.place(at, now);
}

Answers Balancer::ended(const DispatchEnd& end, TimePoint now) {
  State& s = *state_;
  s.answers.clear();
  const std::uint32_t at = s.call_index.find(end.call);
  if (at == IdIndex::none || end.number >= s.calls[at].sent) return s.answers;
  Call& c = s.calls[at];
  Dispatch& d = c.dispatches[end.number];
  if (!d.out) return s.answers;
  d.out = false;
  --c.out;
  s.rescuing -= d.rescued ? 1 : 0;
  if (end.outcome == Outcome::not_sent && end.number + c.sent_elsewhere > 0) {
    const auto sent = std::find(s.resends.begin(), s.resends.end(), d.sent);
    if (sent != s.resends.end()) s.resends.erase(sent);
  }
  if (c.line != Line::none && (end.outcome == Outcome::timed_out || end.outcome == Outcome::reset ||
                               end.outcome == Outcome::cancelled)) {
    s.lines[c.line].rests_until = now + s.settle_after_doubt + clock_grain;
    s.rests.emplace_back(s.lines[c.line].rests_until, c.line);
  }
  s.learn(s.endpoints[d.endpoint], d, end, now);
  const bool ran = end.outcome != Outcome::not_sent && end.outcome != Outcome::not_connected &&
                   end.outcome != Outcome::turned_away;
  // What may have run binds the call from the send of the first such dispatch.
  if (ran && c.bound_to < 0) {
    c.bound_to = static_cast<int>(end.number);
    c.bound_since = d.sent;
  }
  if (c.over) {
    s.settle(at, now);
  } else if (end.call_over) {
    s.count_answer(c, end.outcome == Outcome::done, now);
    s.finish(at, now);
  } else if (c.out == 0) {
    const bool free = !ran || d.rescued;
    if (!end.last && s.may_go_again(c, now) && (free || s.retry_tokens >= 1.0)) {
      if (!free) s.retry_tokens -= 1.0;
      const Answer a = s.place(at, now);
      if (a.verdict != Verdict::wait) s.answers.push_back(a);
    } else {
      s.count_answer(c, false, now);
      s.answers.push_back(s.give_up(at, now, false));
    }
  }
  s.serve_lines(now);
  s.serve_waiting(now);
  return s.answers;
}

// Guards a large request against its own length: while it comes neither its client nor its endpoint waits.
void Balancer::moved(CallId call, bool last, TimePoint now) {
  const std::uint32_t at = state_->call_index.find(call);
  if (at == IdIndex::none) return;
  Call& c = state_->calls[at];
  if (last && std::exchange(c.coming, false)) state_->calls_out += c.over || c.queued ? 0 : 1;
  const Span later = now - std::exchange(c.moved_at, now);
  c.arrived = c.arrived + later, c.timeout = c.timeout + later, c.soft_end = c.soft_end + later;
  if (c.sent == 0) return;
  Dispatch& d = c.dispatches[c.sent - 1U];
  d.sent = state_->endpoints[d.endpoint].quiet_since = now;
}

void Balancer::broke(EndpointId endpoint, TimePoint now) {
  const std::uint32_t at = state_->endpoint_index.find(endpoint);
  if (at != IdIndex::none) state_->miss(state_->endpoints[at], now, "answers break");
}

Answers Balancer::client_left(CallId call, TimePoint now) {
  State& s = *state_;
  s.answers.clear();
  const std::uint32_t at = s.call_index.find(call);
  if (at == IdIndex::none || s.calls[at].over) return s.answers;
  s.finish(at, now);
  s.serve_lines(now);
  s.serve_waiting(now);
  return s.answers;
}

void Balancer::told(EndpointId endpoint, std::uint32_t news, TimePoint now) {
  State& s = *state_;
  const std::uint32_t at = s.endpoint_index.find(endpoint);
  if (at == IdIndex::none) return;
  Endpoint& e = s.endpoints[at];
  e.held = news / tell_scale;
  e.held_at = e.told_at = now;
}

Answers Balancer::woken(TimePoint now) {
  state_->answers.clear();
  state_->tick(now);
  return state_->answers;
}

}  // namespace chutevane
