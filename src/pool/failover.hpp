/// Which of a service's pools a call goes to first. No I/O.
///
/// Pools are ordered by priority. Each is judged by the share of its endpoints that are ready and by the
/// share of its calls that succeed, whichever is worse. What a pool lacks goes to the next: at once in step
/// with the loss, back slowly, and never more than the next pool is known to sustain. Inside a pool its
/// balancer decides, and may reject.
#pragma once

#include <cstdint>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane::pool {

struct FailoverConfig {
  /// A pool is healthy down to this fraction of its endpoints and of its successful calls: the spare capacity
  /// that it has. In the operator's file: `whole_from`.
  double healthy_threshold = 0.8;
  /// The time constant with which a pool's results fade.
  Span memory = Span::ms(1000);
  /// Of all calls, by how much the share of a recovered pool grows in a second.
  double return_per_s = 0.05;
  /// How much above its proven rate a pool is tried with, as a fraction of it.
  double growth = 0.2;
  /// Calls/s for each ready endpoint of a pool of which no rate is known.
  double unknown_per_s = 5.0;
  /// When no pool's health reaches this, calls are spread over all pools by their ready endpoints.
  double panic_threshold = 0.5;
  /// Calls/s that an unhealthy pool goes on getting: by these its recovery is seen.
  double probe_per_s = 2.0;
};

class Failover {
 public:
  /// At least one pool; index 0 has the highest priority. `stated_rates`: calls/s that the operator says each
  /// pool sustains when healthy; 0: not stated.
  Failover(const FailoverConfig& config, const std::vector<double>& stated_rates, std::uint64_t seed,
           TimePoint now);

  /// The pool for a new call, which counts as sent there.
  std::size_t choose(TimePoint now);
  /// Whether a pool may get one more call that another has given up. If it does, record_sent() follows.
  bool has_capacity(std::size_t pool, TimePoint now);
  void record_sent(std::size_t pool, TimePoint now);
  /// A call has ended in that pool.
  void record_end(std::size_t pool, bool succeeded, TimePoint now);
  void set_ready(std::size_t pool, double endpoints, TimePoint now);

  // For logs and tests
  double health(std::size_t pool) const { return pools_[pool].health; }  // 0 to 1
  double share(std::size_t pool) const { return pools_[pool].share; }    // of all calls
  bool panic() const { return panic_; }

 private:
  struct Pool {
    double ready = 0.0;                    // endpoints
    double max_ready = 0.0;                // the most of late: what a complete pool has
    double succeeded = 0.0, failed = 0.0;  // calls ended, fading
    double sent = 0.0;                     // calls, fading: its rate follows
    double success_ratio = 1.0;            // as last measured
    int successes_in_row = 0;
    double proven_rate = 0.0;  // calls/s that it has been seen to sustain
    double stated_rate = 0.0;  // the same as the operator says; 0: not stated
    double health = 1.0;
    double health_share = 0.0;  // of all calls, by health: falls quickly, returns slowly
    double share = 0.0;         // of that, what its rate allows
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
