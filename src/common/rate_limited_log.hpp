/// Log lines of one event, limited in rate and size. Lines above the limit are counted, and the count is
/// added to the next line that is written.
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
  /// `event`: a stable name, which must outlive this.
  RateLimitedLog(std::string_view event, int max_lines_per_second)
      : event_(event), max_lines_(max_lines_per_second) {}

  /// Whether a line may be written now. If not, it counts as left out, and its text need not be made.
  bool admits(TimePoint now) {
    if (now - second_began_ >= Span::ms(1000)) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ < max_lines_) return true;
    ++left_out_;
    return false;
  }
  /// Writes a line, cut to 500 bytes. Only after admits() was true.
  void line(std::string detail) {
    ++lines_;
    if (detail.size() > max_line_bytes) detail.resize(max_line_bytes);
    if (left_out_ > 0) detail += " left_out=" + std::to_string(left_out_);
    left_out_ = 0;
    log_warning(event_, detail);
  }

 private:
  static constexpr std::size_t max_line_bytes = 500;
  const std::string_view event_;
  const int max_lines_;  // in a second
  int lines_ = 0;        // in this second
  TimePoint second_began_;
  std::uint64_t left_out_ = 0;  // since the last line
};

}  // namespace chutevane::common
