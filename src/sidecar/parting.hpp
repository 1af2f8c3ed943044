// Whether a caller's connection ends with its rejection, so that it is opened anew where there may be room.
// Without I/O.
//
// Those who come from a front spread over the sidecars as they connect, and stay where they are: after a mass
// restart most sit at whoever was up first, or at whoever survived, which refuse while their fellows idle.
// Bounded, so that a fleet that is full everywhere does not have its callers walk in circles.
#pragma once

#include <algorithm>

#include "chutevane/types.hpp"

namespace chutevane::sidecar {

class Parting {
 public:
  // Of the connections that are held, so much a second at most; 0: none ever.
  explicit Parting(double part_per_s) : part_per_s_(part_per_s) {}
  bool may_go(std::size_t held, TimePoint now) {
    const double per_s = part_per_s_ * static_cast<double>(held);
    const double seconds = std::min(1.0, (now - filled_).as_ms() / 1000.0);
    filled_ = now;
    tokens_ = std::min(std::max(1.0, per_s * burst_s), tokens_ + per_s * seconds);
    if (per_s <= 0.0 || tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double burst_s = 0.25;  // of that rate at once: a limit's step
  double part_per_s_, tokens_ = 0.0;
  TimePoint filled_;
};

}  // namespace chutevane::sidecar
