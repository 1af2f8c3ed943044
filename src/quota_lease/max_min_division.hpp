/// Weighted max-min fair division of one quantity among demands. Pure function, no I/O.
#pragma once

#include <span>
#include <vector>

namespace chutevane::quota_lease {

/// What one party asks for.
struct Demand {
  double amount = 0.0;  ///< the most it can use, in the unit of the total
  double weight =
      1.0;  ///< positive; of two unsatisfied demands, one with twice the weight gets twice as much
};

/// Divides `total` among `demands`; the result has one amount per demand, in the same order.
///
/// Weighted max-min fairness: no demand gets more than it asked for, and none could get more without
/// lowering the amount of one that has less in proportion to its weight. What nobody demands is not given
/// out, so the amounts may add up to less than `total`, never to more.
[[nodiscard]] std::vector<double> divide_max_min(double total, std::span<const Demand> demands);

}  // namespace chutevane::quota_lease
