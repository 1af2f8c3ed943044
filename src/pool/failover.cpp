#include "pool/failover.hpp"

#include <algorithm>
#include <cmath>

namespace chutevane::pool {
namespace {

constexpr Span step_every = Span::ms(100);  // shares are worked out anew
constexpr double evidence = 5.0;            // calls: fewer endings tell chance
constexpr double forget_most_per_s =
    0.002;                             // of the most ready: a fleet made smaller is whole again in minutes
constexpr double carried_well = 0.95;  // of endings: what a pool must do well to be trusted with its rate
constexpr double carried_fades_per_s = 0.01;  // of what is known: an hour-old peak says little
constexpr int well_again = 3;  // calls running that end well in a pool in doubt: chance is no longer likely
constexpr double rise_per_s = 5.0;  // of the way to a higher share: most of it within half a second

}  // namespace

Failover::Failover(const FailoverSpec& spec, const std::vector<double>& stated, std::uint64_t seed,
                   TimePoint now)
    : spec_(spec), chance_(seed), pools_(stated.size()), began_(now), stepped_(now) {
  for (std::size_t i = 0; i < stated.size(); ++i) pools_[i].stated = stated[i];
  pools_[0].share = pools_[0].kept = 1.0;
}

void Failover::ready(std::size_t pool, double endpoints, TimePoint now) {
  Pool& p = pools_[pool];
  p.ready = endpoints;
  p.most_ready = std::max(p.most_ready, endpoints);
  step(now);
}

void Failover::ended(std::size_t pool, bool well, TimePoint now) {
  step(now);
  Pool& p = pools_[pool];
  (well ? p.well : p.ill) += 1.0;
  p.well_running = well ? p.well_running + 1 : 0;
}

// 0 to 1: the part of a pool that is there. Endpoints and endings are two looks at the same loss: the worse
// one counts.
double Failover::judge(const Pool& p) const {
  if (p.ready <= 0.0) return 0.0;
  double part = p.most_ready > 0.0 ? p.ready / p.most_ready : 1.0;
  part = std::min(part, p.part);
  return std::min(1.0, part / spec_.whole_from);
}

// Calls/s that a pool is trusted with: what is stated, of the part that is ready; else what it has been seen
// to carry and a little more, and at first something for each endpoint. Guards against failover that turns
// one lost pool into two.
double Failover::trusted(const Pool& p) const {
  if (p.ready <= 0.0) return 0.0;
  if (p.stated > 0.0) return p.stated * (p.most_ready > 0.0 ? p.ready / p.most_ready : 1.0);
  return std::max(spec_.unknown_per_s * p.ready, p.carried * (1.0 + spec_.growth));
}

void Failover::step(TimePoint now) {
  const Span since = now - stepped_;
  if (since < step_every) return;
  stepped_ = now;
  const double seconds = std::min(10.0, since.as_ms() / 1000.0);
  const double fade = std::exp(-since.as_ms() / spec_.memory.as_ms());
  double best = 0.0, ready = 0.0, asked = 0.0;
  for (Pool& p : pools_) {
    p.most_ready = std::max(p.ready, p.most_ready * (1.0 - forget_most_per_s * seconds));
    const double endings = p.well + p.ill, rate = rate_of(p, now);
    // What it has been seen to do well it can do again; a little more is tried while it does.
    p.carried *= 1.0 - carried_fades_per_s * seconds;
    if (endings >= evidence && p.well >= carried_well * endings) p.carried = std::max(p.carried, rate);
    // What is known of a pool stays known while it gets hardly any calls. Guards against a silent one that is
    // taken for whole again as soon as its failures have faded, time after time.
    if (endings >= evidence)
      p.part = p.well / endings;
    else if (p.well_running >= well_again)
      p.part = 1.0;
    p.health = judge(p);
    asked += rate;
    p.well *= fade, p.ill *= fade, p.asked *= fade;
    best = std::max(best, p.health);
    ready += p.ready;
  }
  panic_ = best < spec_.panic_below && ready > 0.0;
  if (panic_) {
    for (Pool& p : pools_) p.share = p.kept = p.ready / ready;
    return;
  }
  // By health: each pool takes of what the ones before it leave. Away from a pool quickly, back to an earlier
  // one slowly: a pool that flaps does not move its calls each time.
  double left = 1.0, sum = 0.0;
  for (const Pool& p : pools_) {
    sum += left * p.health;
    left -= left * p.health;
  }
  double higher = 0.0, wanted_higher = 0.0, placed = 0.0;  // shares up to here: as kept, wanted, new
  left = 1.0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& p = pools_[i];
    // Where all together lack something, what nobody has room for goes to each by what it has.
    wanted_higher += sum > 0.0 ? left * p.health / sum : i == 0 ? 1.0 : 0.0;
    left -= left * p.health;
    higher += p.kept;
    double next = wanted_higher > higher
                      ? std::min(wanted_higher, higher + spec_.return_per_s * seconds)
                      : higher + (wanted_higher - higher) * std::min(1.0, rise_per_s * seconds);
    if (i + 1 == pools_.size()) next = 1.0;
    p.kept = std::max(0.0, next - placed);
    placed = std::max(placed, next);
  }
  // By trust: what a pool is not known to carry stays with the first one, also when that is lost: its
  // balancer refuses at once. This takes effect at once, in both directions.
  double rest = 1.0;
  for (std::size_t i = pools_.size(); i-- > 1;) {
    Pool& p = pools_[i];
    p.share = asked > 0.0 ? std::min(p.kept, trusted(p) / asked) : p.kept;
    rest -= p.share;
  }
  pools_[0].share = std::max(0.0, rest);
  // A pool in doubt goes on getting a few calls, at the cost of the one that has most.
  for (Pool& p : pools_) {
    const double probes = asked > 0.0 ? std::min(0.5, spec_.probe_per_s / asked) : 0.0;
    if (p.part >= spec_.whole_from || p.ready <= 0.0 || p.share >= probes) continue;
    Pool& most = *std::max_element(pools_.begin(), pools_.end(),
                                   [](const Pool& x, const Pool& y) { return x.share < y.share; });
    if (&most == &p) continue;
    const double given = std::min(probes - p.share, most.share);
    p.share += given;
    most.share -= given;
  }
}

// Calls/s that a pool is sent of late.
double Failover::rate_of(const Pool& p, TimePoint now) const {
  // Not the whole memory has been filled yet at the start.
  const double filled = 1.0 - std::exp(std::max(step_every, now - began_) / spec_.memory * -1.0);
  return p.asked / (spec_.memory.as_ms() / 1000.0 * filled);
}

bool Failover::has_room(std::size_t pool, TimePoint now) {
  step(now);
  const Pool& p = pools_[pool];
  return p.ready > 0.0 && (pool == 0 || rate_of(p, now) < trusted(p));
}

void Failover::sent(std::size_t pool, TimePoint now) {
  step(now);
  pools_[pool].asked += 1.0;
}

std::size_t Failover::choose(TimePoint now) {
  step(now);
  const double draw = chance_.unit();
  double sum = 0.0;
  std::size_t at = pools_.size() - 1;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    sum += pools_[i].share;
    if (draw < sum) {
      at = i;
      break;
    }
  }
  pools_[at].asked += 1.0;
  return at;
}

}  // namespace chutevane::pool
