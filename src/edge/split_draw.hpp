// Which service of a route's split takes the next request: by weight, at points that are spread evenly over
// the whole, so that each gets its share within two requests and not only on average.
#pragma once

#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "common/configuration.hpp"

namespace chutevane::edge {

class SplitDraw {
 public:
  // The place in `split` of the service that takes the next request. Begins at a random point: sidecars that
  // know nothing of each other meet the shares together, too.
  std::size_t next(const std::vector<common::Weighted>& split, Pcg& random) {
    point_ = point_ ? *point_ + golden_ratio : random.unit();
    if (*point_ >= 1) *point_ -= 1;
    double sum = 0;
    for (const common::Weighted& part : split) sum += part.weight;
    double rest = *point_ * sum;
    std::size_t last = split.size() - 1;
    for (std::size_t i = 0; i < split.size(); ++i) {
      if (split[i].weight <= 0) continue;
      last = i;
      rest -= split[i].weight;
      if (rest < 0) break;
    }
    return last;
  }

 private:
  // Multiples of it, without their whole part, leave the smallest gaps for any number of them (Weyl).
  static constexpr double golden_ratio = 0.6180339887498949;
  std::optional<double> point_;  // 0 to 1
};

}  // namespace chutevane::edge
