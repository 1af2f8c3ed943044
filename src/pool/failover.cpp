#include "pool/failover.hpp"

#include <algorithm>
#include <cmath>

namespace chutevane::pool {
namespace {

constexpr Span update_interval = Span::ms(100);
constexpr double min_results = 5.0;  // ended calls; the success ratio of fewer is not significant
// Relative decay of `max_ready`: a pool that was scaled down counts as complete again within minutes.
constexpr double max_ready_decay_per_s = 0.002;
constexpr double proven_success_ratio = 0.95;     // success ratio from which a pool has proven its rate
constexpr double proven_rate_decay_per_s = 0.01;  // a rate of an hour ago tells little
constexpr int successes_for_recovery = 3;         // consecutive ones of an unhealthy pool: not by chance
// Fraction of the difference by which a share follows: most of it within half a second.
constexpr double failover_speed_per_s = 5.0;

}  // namespace

Failover::Failover(const FailoverConfig& config, const std::vector<double>& stated_rates, std::uint64_t seed,
                   TimePoint now)
    : config_(config), random_(seed), pools_(stated_rates.size()), started_at_(now), updated_at_(now) {
  for (std::size_t i = 0; i < stated_rates.size(); ++i) pools_[i].stated_rate = stated_rates[i];
  pools_[0].share = pools_[0].health_share = 1.0;
}

void Failover::set_ready(std::size_t pool, double endpoints, TimePoint now) {
  Pool& p = pools_[pool];
  p.ready = endpoints;
  p.max_ready = std::max(p.max_ready, endpoints);
  update(now);
}

void Failover::record_end(std::size_t pool, bool succeeded, TimePoint now) {
  update(now);
  Pool& p = pools_[pool];
  (succeeded ? p.succeeded : p.failed) += 1.0;
  p.successes_in_row = succeeded ? p.successes_in_row + 1 : 0;
}

void Failover::record_sent(std::size_t pool, TimePoint now) {
  update(now);
  pools_[pool].sent += 1.0;
}

bool Failover::has_capacity(std::size_t pool, TimePoint now) {
  update(now);
  const Pool& p = pools_[pool];
  return p.ready > 0.0 && (pool == 0 || sent_rate(p, now) < sustainable_rate(p));
}

std::size_t Failover::choose(TimePoint now) {
  update(now);
  const double draw = random_.unit();
  double sum = 0.0;
  std::size_t chosen = pools_.size() - 1;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    sum += pools_[i].share;
    if (draw < sum) {
      chosen = i;
      break;
    }
  }
  pools_[chosen].sent += 1.0;
  return chosen;
}

/// Ready endpoints and call results both reflect the same loss of capacity, so the worse of the two counts.
double Failover::health_of(const Pool& pool) const {
  if (pool.ready <= 0.0) return 0.0;
  const double ready_ratio = pool.max_ready > 0.0 ? pool.ready / pool.max_ready : 1.0;
  return std::min(1.0, std::min(ready_ratio, pool.success_ratio) / config_.healthy_threshold);
}

/// Returns the rate, in calls/s, that a pool may get: its stated rate, scaled by the ratio of its ready
/// endpoints. If none is stated it is the proven rate and a little more, and at least a small rate for each
/// endpoint. Without this bound failover would turn the loss of one pool into the loss of two.
double Failover::sustainable_rate(const Pool& pool) const {
  if (pool.ready <= 0.0) return 0.0;
  if (pool.stated_rate > 0.0)
    return pool.stated_rate * (pool.max_ready > 0.0 ? pool.ready / pool.max_ready : 1.0);
  return std::max(config_.unknown_per_s * pool.ready, pool.proven_rate * (1.0 + config_.growth));
}

/// Returns the rate, in calls/s, at which a pool has recently been sent calls.
double Failover::sent_rate(const Pool& pool, TimePoint now) const {
  // Shortly after the start the averaging window is only partly filled.
  const double filled = 1.0 - std::exp(std::max(update_interval, now - started_at_) / config_.memory * -1.0);
  return pool.sent / (config_.memory.as_ms() / 1000.0 * filled);
}

void Failover::update(TimePoint now) {
  const Span since = now - updated_at_;
  if (since < update_interval) return;
  updated_at_ = now;
  const double seconds = std::min(10.0, since.as_ms() / 1000.0);
  const double fade = std::exp(-since.as_ms() / config_.memory.as_ms());
  double best_health = 0.0, ready = 0.0, total_rate = 0.0;
  for (Pool& pool : pools_) {
    total_rate += sent_rate(pool, now);
    update_results(pool, seconds, fade, now);
    best_health = std::max(best_health, pool.health);
    ready += pool.ready;
  }
  panic_ = best_health < config_.panic_threshold && ready > 0.0;
  if (panic_) {
    share_by_ready_endpoints(ready);
    return;
  }
  share_by_health(seconds);
  limit_to_sustainable_rates(total_rate);
  reserve_probes(total_rate);
}

void Failover::update_results(Pool& pool, double seconds, double fade, TimePoint now) {
  pool.max_ready = std::max(pool.ready, pool.max_ready * (1.0 - max_ready_decay_per_s * seconds));
  const double results = pool.succeeded + pool.failed;
  pool.proven_rate *= 1.0 - proven_rate_decay_per_s * seconds;
  if (results >= min_results && pool.succeeded >= proven_success_ratio * results)
    pool.proven_rate = std::max(pool.proven_rate, sent_rate(pool, now));
  // While a pool gets hardly any calls its last ratio is kept. Otherwise a silent pool would count as healthy
  // again each time its failures have decayed.
  if (results >= min_results)
    pool.success_ratio = pool.succeeded / results;
  else if (pool.successes_in_row >= successes_for_recovery)
    pool.success_ratio = 1.0;
  pool.health = health_of(pool);
  pool.succeeded *= fade, pool.failed *= fade, pool.sent *= fade;
}

void Failover::share_by_ready_endpoints(double ready) {
  for (Pool& pool : pools_) pool.share = pool.health_share = pool.ready / ready;
}

/// Each pool gets the fraction given by its health of what the pools before it leave. Shares move away from a
/// pool quickly and back to one of higher priority slowly, so that a flapping pool does not move its calls
/// each time.
void Failover::share_by_health(double seconds) {
  double left = 1.0, sum = 0.0;
  for (const Pool& pool : pools_) {
    sum += left * pool.health;
    left -= left * pool.health;
  }
  // Cumulative shares up to each pool: the current ones, those that health calls for, and the new ones.
  double current = 0.0, wanted = 0.0, assigned = 0.0;
  left = 1.0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& pool = pools_[i];
    // If all pools together are not healthy enough, each also gets its part of the remainder.
    wanted += sum > 0.0 ? left * pool.health / sum : i == 0 ? 1.0 : 0.0;
    left -= left * pool.health;
    current += pool.health_share;
    double next = wanted > current
                      ? std::min(wanted, current + config_.return_per_s * seconds)
                      : current + (wanted - current) * std::min(1.0, failover_speed_per_s * seconds);
    if (i + 1 == pools_.size()) next = 1.0;
    pool.health_share = std::max(0.0, next - assigned);
    assigned = std::max(assigned, next);
  }
}

/// Takes effect at once, in both directions. The rate that the other pools are not known to sustain stays
/// with the first one, even if that pool is lost: its balancer rejects the calls without delay.
void Failover::limit_to_sustainable_rates(double total_rate) {
  double rest = 1.0;
  for (std::size_t i = pools_.size(); i-- > 1;) {
    Pool& pool = pools_[i];
    pool.share = total_rate > 0.0 ? std::min(pool.health_share, sustainable_rate(pool) / total_rate)
                                  : pool.health_share;
    rest -= pool.share;
  }
  pools_[0].share = std::max(0.0, rest);
}

/// Keeps a few calls going to each unhealthy pool, at the cost of the pool with the largest share.
void Failover::reserve_probes(double total_rate) {
  for (Pool& pool : pools_) {
    const double probes = total_rate > 0.0 ? std::min(0.5, config_.probe_per_s / total_rate) : 0.0;
    if (pool.success_ratio >= config_.healthy_threshold || pool.ready <= 0.0 || pool.share >= probes)
      continue;
    Pool& largest = *std::max_element(pools_.begin(), pools_.end(),
                                      [](const Pool& a, const Pool& b) { return a.share < b.share; });
    if (&largest == &pool) continue;
    const double given = std::min(probes - pool.share, largest.share);
    pool.share += given;
    largest.share -= given;
  }
}

}  // namespace chutevane::pool
