// What this machine adds by itself: how late the lab's timers are, and how long its disk takes to sync.
// Beside them a delay of the tier is read: where the disk stood still for a second, so did what waits for it.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "net/timer_queue.hpp"

namespace chutevane::lab::tier {

class OwnDelays {
 public:
  OwnDelays(net::TimerQueue& later, std::string file);  // a file beside the tier's data
  ~OwnDelays() { stop(); }
  OwnDelays(const OwnDelays&) = delete;
  OwnDelays& operator=(const OwnDelays&) = delete;
  void stop();
  // After stop().
  const std::vector<double>& lateness_ms() const { return lateness_ms_; }
  const std::vector<double>& sync_ms() const { return sync_ms_; }

 private:
  void tick(TimePoint due);
  void sync();
  net::TimerQueue& timers_;
  const std::string file_;
  std::vector<double> lateness_ms_;
  std::vector<double> sync_ms_;  // of the thread, until it has ended
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace chutevane::lab::tier
