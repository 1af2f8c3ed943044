/// The pseudorandom number generator PCG-XSH-RR: 64 bits of state, 32 bits of output (M. E. O'Neill, 2014).
/// Not cryptographically secure.
#pragma once

#include <cstdint>

namespace chutevane {

class Pcg {
 public:
  explicit Pcg(std::uint64_t seed) {
    next();
    state_ += seed;
    next();
  }
  std::uint32_t next() {
    const std::uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto x = static_cast<std::uint32_t>(((old >> 18U) ^ old) >> 27U);
    const auto r = static_cast<std::uint32_t>(old >> 59U);
    return (x >> r) | (x << ((32U - r) & 31U));
  }
  /// Returns a uniform random number in [0, 1).
  double unit() { return next() * 0x1p-32; }

 private:
  std::uint64_t state_ = 0;
};

}  // namespace chutevane
