/// A weighted split of traffic by a stable hash.
///
/// Uses weighted rendezvous hashing: each pair of key and target has its own pseudorandom number. So a client
/// stays with its target, raising a target's weight moves only the share that the target gains, and all
/// processes split in the same way without shared state.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::pool {

struct SplitTarget {
  std::string name;     // seeds the hash, so that a target's keys do not depend on its index
  double weight = 1.0;  // relative to the other targets; not a percentage
};

class TrafficSplit {
 public:
  TrafficSplit() = default;
  explicit TrafficSplit(std::span<const SplitTarget> targets);
  /// Returns the index of the target for this key, among those with a positive weight; 0 if there is none.
  std::size_t choose(std::string_view key) const;
  /// Returns a target for a request without a key. `draw` is a uniform random number in [0, 1).
  std::size_t choose(double draw) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct Target {
    std::uint64_t seed = 0;  // hash of the target's name
    double weight = 0.0;
  };
  std::vector<Target> targets_;
  double total_weight_ = 0.0;
};

}  // namespace chutevane::pool
