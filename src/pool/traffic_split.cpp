#include "pool/traffic_split.hpp"

#include <xxhash.h>

#include <cmath>

namespace chutevane::pool {

TrafficSplit::TrafficSplit(std::span<const SplitTarget> targets) {
  for (const SplitTarget& target : targets) {
    targets_.push_back({XXH3_64bits(target.name.data(), target.name.size()), target.weight});
    total_weight_ += target.weight;
  }
}

std::size_t TrafficSplit::choose(std::string_view key) const {
  std::size_t best = 0;
  double best_score = -1.0;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].weight <= 0.0) continue;
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), targets_[i].seed);
    const double unit = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;  // 53 bits, in (0, 1)
    const double score = targets_[i].weight / -std::log(unit);
    if (score > best_score) best_score = score, best = i;
  }
  return best;
}

std::size_t TrafficSplit::choose(double draw) const {
  double rest = draw * total_weight_;
  std::size_t last = 0;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].weight <= 0.0) continue;
    last = i;
    if (rest < targets_[i].weight) return i;
    rest -= targets_[i].weight;
  }
  return last;  // reached only by rounding errors
}

}  // namespace chutevane::pool
