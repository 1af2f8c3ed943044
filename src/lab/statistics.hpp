// Figures from samples: quantiles, and what a difference is worth.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace chutevane::lab {

double mean(std::span<const double> values);  // 0 of none

// Of latencies in milliseconds: buckets a hundredth apart from a microsecond to an hour, so that memory is
// bounded and the error is under 1%.
class LatencyTable {
 public:
  void add(double ms);
  void add(const LatencyTable& other);
  std::uint64_t count() const { return count_; }
  double quantile(double q) const;  // 0 of none

 private:
  std::vector<std::uint32_t> counts_;
  std::uint64_t count_ = 0;
};

struct Interval {
  double mean = 0.0, low = 0.0, high = 0.0;
};

// The mean with a bootstrap interval of 95%, by the percentile method; the same seed gives the same. With
// fewer than two values the interval is the mean.
Interval bootstrap(std::span<const double> values, std::uint64_t seed, int rounds = 4000);

}  // namespace chutevane::lab
