/// Failover between the pools of a service: selects the pool that a call is sent to first. Does no I/O.
///
/// Pools are ordered by priority. A pool's health is its fraction of ready endpoints or of successful calls,
/// whichever is lower, divided by `healthy_threshold`, at most 1. As it falls, the pool's calls move to the
/// next pool quickly and in proportion, but never more than the next pool is known to sustain; they move back
/// slowly. Within a pool its balancer selects the endpoint, and may reject the call.
#pragma once

#include <cstdint>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane::pool {

struct FailoverConfig {
  /// A pool is healthy if its fractions of ready endpoints and of successful calls are at least this. The
  /// remainder up to 1 is its spare capacity. The operator's file calls this setting `whole_from`.
  double healthy_threshold = 0.8;
  /// Time constant of the exponential decay of a pool's results.
  Span memory = Span::ms(1000);
  /// Fraction of all calls by which the share of a recovered pool grows per second.
  double return_per_s = 0.05;
  /// A pool may exceed its proven rate by this fraction of that rate.
  double growth = 0.2;
  /// Calls/s per ready endpoint that a pool without a stated rate may get whatever its proven rate is.
  double unknown_per_s = 5.0;
  /// If no pool's health reaches this, calls are distributed in proportion to the ready endpoints.
  double panic_threshold = 0.5;
  /// Calls/s that an unhealthy pool still gets, to detect its recovery.
  double probe_per_s = 2.0;
};

class Failover {
 public:
  /// `stated_rates` has one entry per pool, at least one; index 0 has the highest priority. Each is the rate,
  /// in calls/s, that the operator states for the healthy pool; 0: not stated.
  Failover(const FailoverConfig& config, const std::vector<double>& stated_rates, std::uint64_t seed,
           TimePoint now);

  /// Returns the pool for a new call, and counts the call as sent there.
  std::size_t choose(TimePoint now);
  /// Returns true if a pool may get a call that failed in another one. Its sender must call record_sent().
  bool has_capacity(std::size_t pool, TimePoint now);
  void record_sent(std::size_t pool, TimePoint now);
  /// Records that a call has ended in the pool.
  void record_end(std::size_t pool, bool succeeded, TimePoint now);
  void set_ready(std::size_t pool, double endpoints, TimePoint now);

  // For logs and tests
  double health(std::size_t pool) const { return pools_[pool].health; }  // 0 to 1
  double share(std::size_t pool) const { return pools_[pool].share; }    // fraction of all calls
  bool panic() const { return panic_; }

 private:
  struct Pool {
    double ready = 0.0;                    // number of ready endpoints
    double max_ready = 0.0;                // recent maximum of `ready`: the size of the complete pool
    double succeeded = 0.0, failed = 0.0;  // ended calls, decaying
    double sent = 0.0;                     // calls sent, decaying; gives the rate
    double success_ratio = 1.0;            // last measured
    int successes_in_row = 0;
    double proven_rate = 0.0;  // calls/s that the pool has been seen to sustain
    double stated_rate = 0.0;  // calls/s that the operator states; 0: not stated
    double health = 1.0;
    double health_share = 0.0;  // fraction of all calls by health: falls quickly, returns slowly
    double share = 0.0;         // fraction of all calls, limited by the sustainable rate
  };
  void update(TimePoint now);
  void update_results(Pool& pool, double seconds, double fade, TimePoint now);
  void share_by_ready_endpoints(double ready);
  void share_by_health(double seconds);
  void limit_to_sustainable_rates(double total_rate);
  void reserve_probes(double total_rate);
  double health_of(const Pool& pool) const;
  double sustainable_rate(const Pool& pool) const;
  double sent_rate(const Pool& pool, TimePoint now) const;

  FailoverConfig config_;
  Pcg random_;
  std::vector<Pool> pools_;
  TimePoint started_at_, updated_at_;
  bool panic_ = false;
};

}  // namespace chutevane::pool
