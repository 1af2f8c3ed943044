#include "quota_lease/max_min_division.hpp"

#include <algorithm>
#include <numeric>

namespace chutevane::quota_lease {

std::vector<double> divide_max_min(double total, std::span<const Demand> demands) {
  std::vector<double> amounts(demands.size(), 0.0);
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // Sorted by demand per weight, each demand is either met or gets its weighted share of the remainder, and a
  // demand that is met leaves its surplus to those after it. So one pass is enough.
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demands[a].amount * demands[b].weight < demands[b].amount * demands[a].weight;
  });
  double remaining = total;
  double remaining_weight = 0.0;
  for (const Demand& demand : demands) remaining_weight += demand.weight;
  for (const std::size_t i : order) {
    if (remaining_weight <= 0.0) break;
    amounts[i] = std::max(0.0, std::min(demands[i].amount, remaining * demands[i].weight / remaining_weight));
    remaining -= amounts[i];
    remaining_weight -= demands[i].weight;
  }
  return amounts;
}

}  // namespace chutevane::quota_lease
