/// Weighted traffic splitting: chooses the service for the next request of a route.
///
/// Successive requests take the points of a golden-ratio sequence on [0, 1), which is divided between the
/// services in proportion to their weights. The points are evenly distributed from the start, so each service
/// is within two requests of its share at any time. Independent random draws would meet the shares only on
/// average.
#pragma once

#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "common/configuration.hpp"

namespace chutevane::edge {

/// The splitter of one route. Not thread-safe.
class TrafficSplitter {
 public:
  /// Returns the index in `split` of the service for the next request. `split` must not be empty and may
  /// change between calls. The first point is drawn from `random`, so that independent processes meet the
  /// weights jointly.
  std::size_t next(const std::vector<common::Weighted>& split, Pcg& random) {
    advance(random);
    double weight_sum = 0;
    for (const common::Weighted& target : split) weight_sum += target.weight;
    double remaining = *point_ * weight_sum;
    std::size_t chosen = split.size() - 1;
    for (std::size_t i = 0; i < split.size(); ++i) {
      if (split[i].weight <= 0) continue;
      chosen = i;
      remaining -= split[i].weight;
      if (remaining < 0) break;
    }
    return chosen;
  }

 private:
  void advance(Pcg& random) {
    point_ = point_ ? *point_ + golden_ratio : random.unit();
    if (*point_ >= 1) *point_ -= 1;
  }

  // Its multiples modulo 1 leave the smallest gaps for any number of points (Weyl).
  static constexpr double golden_ratio = 0.6180339887498949;
  std::optional<double> point_;  // in [0, 1); empty before the first request
};

}  // namespace chutevane::edge
