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
constexpr double rise_per_s = 5.0;            // of the way to a higher share: most of it within half a second

}  // namespace

Failover::Failover(const FailoverSpec& spec, const std::vector<double>& stated, std::uint64_t seed,
                   TimePoint now)
    : spec_(spec), chance_(seed), pools_(stated.size()), wanted_(stated.size()), stepped_(now) {
  for (std::size_t i = 0; i < stated.size(); ++i) pools_[i].stated = stated[i];
  if (!pools_.empty()) pools_[0].share = 1.0;
}

void Failover::ready(std::size_t pool, double endpoints, TimePoint now) {
  Pool& p = pools_[pool];
  p.ready = endpoints;
  p.most_ready = std::max(p.most_ready, endpoints);
  step(now);
}

void Failover::ended(std::size_t pool, bool well, TimePoint now) {
  step(now);
  (well ? pools_[pool].well : pools_[pool].ill) += 1.0;
}

// 0 to 1: the part of a pool that is there. Endpoints and endings are two looks at the same loss: the worse
// one counts.
double Failover::judge(const Pool& p) const {
  if (p.ready <= 0.0) return 0.0;
  double part = p.most_ready > 0.0 ? p.ready / p.most_ready : 1.0;
  const double endings = p.well + p.ill;
  if (endings >= evidence) part = std::min(part, p.well / endings);
  return std::min(1.0, part / spec_.whole_from);
}

// Calls/s that a pool is trusted with: what is stated, of the part that is ready; else what it has been seen
// to carry and a little more, and at first something for each endpoint. Guards against failover that turns
// one lost pool into two.
double Failover::trusted(const Pool& p) const {
  if (p.stated > 0.0) return p.stated * (p.most_ready > 0.0 ? p.ready / p.most_ready : 1.0);
  return std::max(spec_.unknown_per_s * p.ready, p.carried * (1.0 + spec_.growth));
}

void Failover::step(TimePoint now) {
  const Span since = now - stepped_;
  if (since < step_every) return;
  stepped_ = now;
  const double seconds = std::min(10.0, since.as_ms() / 1000.0);
  const double fade = std::exp(-since.as_ms() / spec_.memory.as_ms());
  const double window = spec_.memory.as_ms() / 1000.0;
  double best = 0.0, ready = 0.0;
  for (Pool& p : pools_) {
    p.most_ready = std::max(p.ready, p.most_ready * (1.0 - forget_most_per_s * seconds));
    const double endings = p.well + p.ill, rate = p.asked / window;
    // What it has been seen to do well it can do again; a little more is tried while it does.
    p.carried *= 1.0 - carried_fades_per_s * seconds;
    if (endings >= evidence && p.well >= carried_well * endings) p.carried = std::max(p.carried, rate);
    p.health = judge(p);
    p.well *= fade, p.ill *= fade, p.asked *= fade;
    best = std::max(best, p.health);
    ready += p.ready;
  }
  double asked = 0.0;
  for (const Pool& p : pools_) asked += p.asked / window;
  panic_ = best < spec_.panic_below && ready > 0.0;
  // Wanted shares: each pool takes of what the ones before it leave, as much as it is whole and known to
  // carry.
  double left = 1.0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& p = pools_[i];
    if (panic_) {
      wanted_[i] = p.ready / ready;
      continue;
    }
    double part = left * p.health;
    if (i > 0 && asked > 0.0) part = std::min(part, trusted(p) / asked);
    wanted_[i] = part;
    left -= part;
  }
  // What nobody is trusted with stays with the first pool that has anything ready: it knows how to refuse.
  if (!panic_ && left > 0.0) {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      if (pools_[i].ready <= 0.0 && i + 1 < pools_.size()) continue;
      wanted_[i] += left;
      break;
    }
  }
  // Away from a pool quickly, back to an earlier one slowly: a pool that flaps does not move its calls each
  // time.
  double higher = 0.0, wanted_higher = 0.0,
         placed = 0.0;  // shares of pools up to here: as they were, wanted, new
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    wanted_higher += wanted_[i];
    const double now_higher = higher + pools_[i].share;
    double next = wanted_higher;
    if (wanted_higher > now_higher)
      next = std::min(wanted_higher, now_higher + spec_.return_per_s * seconds);
    else
      next = now_higher + (wanted_higher - now_higher) * std::min(1.0, rise_per_s * seconds);
    if (panic_) next = wanted_higher;
    if (i + 1 == pools_.size()) next = 1.0;
    higher = now_higher;
    pools_[i].share = std::max(0.0, next - placed);
    placed = std::max(placed, next);
  }
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
