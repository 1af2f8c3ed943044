// A weighted split between pools by a stable hash, without I/O: a caller stays on its side, and a change of
// one weight moves callers only to that pool or from it.
//
// Weights are absolute, and each caller has a draw of its own for each pool (weighted rendezvous hashing):
// raising one pool's weight moves to it just the share that it gains, whatever the others are.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::pool {

struct Side {
  std::string name;  // what the draw goes by: the same name draws the same everywhere, whatever its place
  double weight = 1.0;
};

class Split {
 public:
  Split() = default;
  explicit Split(std::span<const Side> sides);
  // The side of whoever has this key; of the sides with a weight. 0 when there is one side.
  std::size_t choose(std::string_view key) const;
  // The side for somebody without a key, from a draw in [0, 1).
  std::size_t choose(double draw) const;
  std::size_t size() const { return sides_.size(); }

 private:
  struct Kept {
    std::uint64_t seed = 0;
    double weight = 0.0;
  };
  std::vector<Kept> sides_;
  double total_ = 0.0;
};

}  // namespace chutevane::pool
