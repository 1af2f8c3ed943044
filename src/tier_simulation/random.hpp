/// \file
/// The random generator of plans, and random numbers of 64 bits.
#pragma once

#include <cmath>
#include <cstdint>
#include <initializer_list>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane::tier_simulation {

/// Two draws, the first in the upper half.
inline std::uint64_t draw_bits(Pcg& random) {
  const std::uint64_t upper = random.next();
  return upper << 32U | random.next();
}

/// Draws the parameters of a plan. The sequence of draws is part of what a seed means.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15ULL + 0x51a7) {}

  /// Uniform over [0, 1).
  double unit() { return random_.unit(); }
  bool happens(double probability) { return unit() < probability; }
  std::uint64_t bits() { return draw_bits(random_); }
  std::size_t below(std::size_t n) { return random_.next() % n; }
  Span uniform(double min_ms, double max_ms) { return Span::ms(min_ms + (max_ms - min_ms) * unit()); }
  /// Uniform over the orders of magnitude between the two.
  Span log_uniform(double min_ms, double max_ms) {
    return Span::ms(min_ms * std::pow(max_ms / min_ms, unit()));
  }
  template <class T>
  T choose(std::initializer_list<T> from) {
    return *(from.begin() + below(from.size()));
  }

 private:
  Pcg random_;
};

}  // namespace chutevane::tier_simulation
