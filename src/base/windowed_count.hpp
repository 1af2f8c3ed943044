/// A count over a sliding window, in time slices that expire one by one. A slice counts only while all of it
/// is within the window.
#pragma once

#include <array>
#include <cstdint>
#include <numeric>

#include "chutevane/types.hpp"

namespace chutevane {

class WindowedCount {
 public:
  static constexpr std::size_t slices = 64;

  explicit WindowedCount(Span window = Span::ms(1000)) : window_(window) {}
  void add(std::uint32_t more, TimePoint now) {
    const std::int64_t slice = static_cast<std::int64_t>((now - TimePoint()) / window_ * slices);
    if (slice - latest_ >= static_cast<std::int64_t>(slices)) counts_.fill(0), latest_ = slice;
    for (; latest_ < slice; ++latest_) counts_[static_cast<std::size_t>(latest_ + 1) % slices] = 0;
    counts_[static_cast<std::size_t>(slice) % slices] += more;
  }
  double sum(TimePoint now) {
    add(0, now);
    return std::accumulate(counts_.begin(), counts_.end(), 0.0);
  }

 private:
  Span window_;
  std::array<std::uint32_t, slices> counts_{};
  std::int64_t latest_ = 0;  // number of the latest slice
};

}  // namespace chutevane
