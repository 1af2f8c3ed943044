// Which pool a call goes to first, without I/O: pools in order of priority, each judged by how its calls end
// and by its ready endpoints. What a pool lacks goes to the next one, rising in step with what is missing,
// returning slowly, and never more than the next pool is known to carry.
//
// It chooses between pools only; within one the balancer decides as ever, and may refuse.
#pragma once

#include <cstdint>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane::pool {

struct FailoverSpec {
  // A pool counts as whole down to this part of its endpoints and of its calls done: spare room that is
  // there.
  double whole_from = 0.8;
  Span memory = Span::ms(1000);  // of how calls end: a pool is judged by about the last so many
  double return_per_s = 0.05;    // of all calls: how fast a share comes back to a pool that is whole again
  double growth = 0.2;           // of what a pool carries well: so much more it is tried with
  double unknown_per_s = 5.0;    // calls for each ready endpoint of a pool of which nothing is known
  double panic_below = 0.5;      // all pools below this part: spread over all, by their ready endpoints
  double probe_per_s = 2.0;      // calls that a pool in doubt still gets: what tells that it is back
};

class Failover {
 public:
  // The pool of place 0 is the first choice.
  // One pool at least. `stated`: calls/s that the operator says each pool carries when whole; 0: not stated.
  Failover(const FailoverSpec& spec, const std::vector<double>& stated, std::uint64_t seed, TimePoint now);

  // The pool for a call that comes now.
  std::size_t choose(TimePoint now);
  // Whether a pool may be sent one more call that another has given up, and that it was.
  bool has_room(std::size_t pool, TimePoint now);
  void sent(std::size_t pool, TimePoint now);
  // A call that was in that pool has ended; `well`: done, or the caller's own doing.
  void ended(std::size_t pool, bool well, TimePoint now);
  // How many endpoints a pool has ready, each counted for what it can do by now.
  void ready(std::size_t pool, double endpoints, TimePoint now);

  // For logs and explanations.
  double health(std::size_t pool) const { return pools_[pool].health; }
  double share(std::size_t pool) const { return pools_[pool].share; }
  bool panic() const { return panic_; }

 private:
  struct Pool {
    double ready = 0.0, most_ready = 0.0;  // the most of late: what a whole pool has
    double well = 0.0, ill = 0.0;          // calls ended, fading
    double asked = 0.0;                    // calls sent to it, fading: its rate
    double part = 1.0;                     // of its calls that end well, as last seen
    int well_running = 0;                  // since one last ended ill
    double carried = 0.0;                  // calls/s that it has been seen to carry
    double stated = 0.0;                   // the same as the operator says; 0: not said
    double health = 1.0;
    double kept = 0.0;   // of all calls, by health: falls quickly, returns slowly
    double share = 0.0;  // of that, what it is trusted with
  };
  void step(TimePoint now);
  double judge(const Pool& p) const;
  double trusted(const Pool& p) const;
  double rate_of(const Pool& p, TimePoint now) const;

  FailoverSpec spec_;
  Pcg chance_;
  std::vector<Pool> pools_;
  TimePoint began_, stepped_;
  bool panic_ = false;
};

}  // namespace chutevane::pool
