/// A histogram of durations over a sliding window, for quantiles. It has logarithmic buckets, and time slices
/// that expire one by one.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane {

class WindowedHistogram {
 public:
  static constexpr int buckets = 96;
  static constexpr int slices = 5;

  WindowedHistogram() : WindowedHistogram(Span::ms(1000)) {}
  explicit WindowedHistogram(Span window) : slice_(window * (1.0 / slices)) {}
  /// Records a duration. Durations under 1 ms share a bucket; above, the bounds double every six buckets.
  void add(Span value, TimePoint now) {
    advance(now);
    const int b = bucket(value.as_ms());
    ++counts_[static_cast<std::size_t>(current_)][static_cast<std::size_t>(b)];
    ++sums_[static_cast<std::size_t>(b)];
    ++total_;
  }
  /// Returns the number of durations within the window.
  std::uint32_t count(TimePoint now) {
    advance(now);
    return total_;
  }
  /// Returns the q-quantile, 0 <= q <= 1, interpolated within its bucket; zero if the window is empty.
  Span quantile(double q, TimePoint now) {
    advance(now);
    const double want = q * total_;
    double seen = 0;
    for (int b = 0; b < buckets; ++b) {
      const double n = sums_[static_cast<std::size_t>(b)];
      if (n > 0 && seen + n >= want)
        return Span::ms(lower(b) + (lower(b + 1) - lower(b)) * (want - seen) / n);
      seen += n;
    }
    return Span();
  }

 private:
  static constexpr double first_ms = 1.0;
  static double lower(int b) { return b == 0 ? 0.0 : first_ms * std::exp2((b - 1) / 6.0); }
  static int bucket(double v) {
    return v < first_ms ? 0 : std::min(buckets - 1, 1 + static_cast<int>(std::log2(v / first_ms) * 6.0));
  }
  void advance(TimePoint now) {
    if (now < slice_end_) return;
    const double behind = (now - slice_end_) / slice_;
    const int steps = behind >= slices ? slices : 1 + static_cast<int>(behind);
    for (int i = 0; i < steps; ++i) {
      current_ = (current_ + 1) % slices;
      auto& old = counts_[static_cast<std::size_t>(current_)];
      for (std::size_t b = 0; b < buckets; ++b) {
        sums_[b] -= old[b];
        total_ -= old[b];
      }
      old.fill(0);
    }
    slice_end_ = behind >= slices ? now + slice_ : slice_end_ + slice_ * steps;
  }
  Span slice_;
  TimePoint slice_end_;
  int current_ = 0;
  std::uint32_t total_ = 0;
  std::array<std::array<std::uint16_t, buckets>, slices> counts_{};
  std::array<std::uint32_t, buckets> sums_{};
};

}  // namespace chutevane
