// An endpoint's machine without I/O: cores that work off jobs, a queue before them, warmth after a start, and
// what takes part of it away. Time is handed in; nothing here waits.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::lab {

struct MachineSpec {
  int cores = 1;
  std::size_t queue = 100;  // jobs that may wait; one more is turned away
  double cold_share = 1.0;  // of the full speed right after a start
  Span warm_after;          // when the full speed is reached, evenly from the cold share
};

class Machine {
 public:
  using JobId = std::uint64_t;

  // `came_up`: zero for a machine that has long been warm.
  Machine(const MachineSpec& spec, TimePoint came_up) : spec_(spec), came_up_(came_up) {}

  // Takes a job of so many milliseconds on one warm core; false when the queue is full.
  bool offer(JobId job, double work_ms, TimePoint now);
  // Nobody waits for it any more: it leaves the queue, or its core goes on to the next one.
  void withdraw(JobId job, TimePoint now);
  // From `now` on a core does its work at so many times its speed (slow), and so many cores are left.
  void burden(double speed, double cores_left, TimePoint now);
  // A dead machine's work is gone.
  void clear() { running_.clear(), queue_.clear(), begun_.clear(), ended_.clear(); }

  // Moves on to `now`. What has begun and ended since the last call is in begun() and ended(), in order.
  void advance(TimePoint now);
  const std::vector<JobId>& begun() const { return begun_; }
  const std::vector<JobId>& ended() const { return ended_; }
  void taken_note() { begun_.clear(), ended_.clear(); }
  // When the next job ends if nothing else happens; never, when none runs.
  TimePoint next_end() const;

  double warmth(TimePoint now) const;  // 0 to 1
  std::size_t waiting() const { return queue_.size(); }
  std::size_t running() const { return running_.size(); }

 private:
  struct Job {
    JobId id = 0;
    double left_ms = 0.0;  // of work on one warm core
  };
  double speed(TimePoint now) const;  // work done per millisecond on one core
  void fill();

  MachineSpec spec_;
  TimePoint came_up_, at_;
  double slow_speed_ = 1.0, cores_left_ = 1e9;
  std::vector<Job> running_;
  std::deque<Job> queue_;
  std::vector<JobId> begun_, ended_;
};

}  // namespace chutevane::lab
