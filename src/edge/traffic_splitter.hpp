/// Chooses the service that takes the next request of a route whose traffic is split by weight.
///
/// Successive requests take the points of a golden-ratio sequence on [0, 1), which is divided between the
/// services in proportion to their weights. Such points are spread evenly from the first one on: each service
/// is within two requests of its share at any time, where independent random draws keep it only on the mean.
#pragma once

#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "common/configuration.hpp"

namespace chutevane::edge {

/// State of one route. Not thread-safe.
class TrafficSplitter {
 public:
  /// Index in `split` of the service that takes the next request. `split` may differ from call to call, and
  /// must not be empty. `random` is drawn from once, for the first point: processes that know nothing of each
  /// other keep to the weights together.
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

  // Its multiples modulo 1 leave the smallest gaps for any number of them (Weyl).
  static constexpr double golden_ratio = 0.6180339887498949;
  std::optional<double> point_;  // 0 to 1
};

}  // namespace chutevane::edge
