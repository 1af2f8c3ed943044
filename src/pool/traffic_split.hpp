/// A weighted split of traffic by a stable hash. No I/O.
///
/// Weighted rendezvous hashing: each key has a draw of its own for each target, so a client stays with its
/// target, raising one target's weight moves to it just the share that it gains, and every process splits
/// alike without any state.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::pool {

struct SplitTarget {
  std::string name;     // what the draws go by: the same name draws the same, whatever its index
  double weight = 1.0;  // absolute, not a percentage
};

class TrafficSplit {
 public:
  TrafficSplit() = default;
  explicit TrafficSplit(std::span<const SplitTarget> targets);
  /// The index of the target for this key, among those with a weight; 0 if there is none.
  std::size_t choose(std::string_view key) const;
  /// The same for a request without a key, from a uniform draw in [0, 1).
  std::size_t choose(double draw) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct Target {
    std::uint64_t seed = 0;  // the hash of its name
    double weight = 0.0;
  };
  std::vector<Target> targets_;
  double total_weight_ = 0.0;
};

}  // namespace chutevane::pool
