/// Log lines of one event, limited in rate and size. Dropped lines are counted, and the count is appended to
/// the next line that is written.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "chutevane/types.hpp"
#include "common/log.hpp"

namespace chutevane::common {

class RateLimitedLog {
 public:
  /// `event` is a stable name; it must outlive this object.
  RateLimitedLog(std::string_view event, int max_lines_per_second)
      : event_(event), max_lines_(max_lines_per_second) {}

  /// Returns true if a line may be written now. Otherwise counts it as dropped, so the caller need not format
  /// it.
  bool admits(TimePoint now) {
    if (now - second_started_at_ >= Span::ms(1000)) {
      second_started_at_ = now;
      lines_ = 0;
    }
    if (lines_ < max_lines_) return true;
    ++dropped_;
    return false;
  }
  /// Writes a line, truncated to 500 bytes. May be called only after admits() has returned true.
  void line(std::string detail) {
    ++lines_;
    if (detail.size() > max_line_bytes) detail.resize(max_line_bytes);
    if (dropped_ > 0) detail += " left_out=" + std::to_string(dropped_);
    dropped_ = 0;
    log_warning(event_, detail);
  }

 private:
  static constexpr std::size_t max_line_bytes = 500;
  const std::string_view event_;
  const int max_lines_;  // per second
  int lines_ = 0;        // in the current second
  TimePoint second_started_at_;
  std::uint64_t dropped_ = 0;  // lines dropped since the last one that was written
};

}  // namespace chutevane::common
