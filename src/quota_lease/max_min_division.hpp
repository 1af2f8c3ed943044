/// Weighted max-min fair division of a quantity among demands.
#pragma once

#include <span>
#include <vector>

namespace chutevane::quota_lease {

struct Demand {
  double amount = 0.0;  ///< the most that can be used, in the unit of the total
  double weight = 1.0;  ///< positive; of two unmet demands, one with twice the weight gets twice as much
};

/// Divides `total` among `demands`. Returns one amount per demand, in the same order.
///
/// Weighted max-min fairness: no demand gets more than it asked for, and none could get more without lowering
/// the amount of another that has less in proportion to its weight. The amounts add up to at most `total`,
/// and to less if the demands do.
[[nodiscard]] std::vector<double> divide_max_min(double total, std::span<const Demand> demands);

}  // namespace chutevane::quota_lease
