#include "pool/split.hpp"

#include <xxhash.h>

#include <cmath>

namespace chutevane::pool {

Split::Split(std::span<const Side> sides) {
  for (const Side& s : sides) {
    sides_.push_back({XXH3_64bits(s.name.data(), s.name.size()), s.weight});
    total_ += s.weight;
  }
}

std::size_t Split::choose(std::string_view key) const {
  std::size_t best = 0;
  double best_score = -1.0;
  for (std::size_t i = 0; i < sides_.size(); ++i) {
    if (sides_[i].weight <= 0.0) continue;
    const std::uint64_t h = XXH3_64bits_withSeed(key.data(), key.size(), sides_[i].seed);
    const double unit = (static_cast<double>(h >> 11U) + 0.5) * 0x1p-53;  // (0, 1)
    const double score = sides_[i].weight / -std::log(unit);
    if (score > best_score) best_score = score, best = i;
  }
  return best;
}

std::size_t Split::choose(double draw) const {
  double left = draw * total_;
  std::size_t last = 0;
  for (std::size_t i = 0; i < sides_.size(); ++i) {
    if (sides_[i].weight <= 0.0) continue;
    last = i;
    if (left < sides_[i].weight) return i;
    left -= sides_[i].weight;
  }
  return last;
}

}  // namespace chutevane::pool
