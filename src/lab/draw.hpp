// Chance for the lab: streams that don't disturb one another, and the distributions that work is drawn from.
//
// Boost's distributions instead of the standard library's: theirs give the same draws on every machine.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane::lab {

struct Distribution {
  enum class Kind : std::uint8_t { fixed, exponential, lognormal, pareto };
  Kind kind = Kind::fixed;
  double mean = 0.0;
  double spread = 0.5;  // lognormal: sigma of the logarithm; pareto: the tail's exponent, over 1
};

// A generator that standard and Boost distributions take.
class Chance {
 public:
  using result_type = std::uint32_t;
  // Each purpose has its own `stream`: a fault more doesn't change who calls when.
  Chance(std::uint64_t seed, std::string_view stream);
  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return 0xffffffffU; }
  result_type operator()() { return pcg_.next(); }

  double unit() { return pcg_.unit(); }  // [0, 1)
  bool one_in(double probability) { return unit() < probability; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }
  double draw(const Distribution& from);

 private:
  Pcg pcg_;
};

}  // namespace chutevane::lab
