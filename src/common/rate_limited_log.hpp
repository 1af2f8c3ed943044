// Log lines of one event, bounded in rate and size: what is left out is counted, and told with the next line.
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
  // `event`: a stable name, which outlives this. `lines_most`: in one second.
  RateLimitedLog(std::string_view event, int lines_most) : event_(event), lines_most_(lines_most) {}

  // Whether a line may go out now. Where not, it counts as left out: no text has to be made for it.
  bool admits(TimePoint now) {
    if (now - second_began_ >= Span::ms(1000)) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ < lines_most_) return true;
    ++left_out_;
    return false;
  }
  // After admits().
  void line(std::string detail) {
    ++lines_;
    if (detail.size() > size_most) detail.resize(size_most);
    if (left_out_ > 0) detail += " left_out=" + std::to_string(left_out_);
    left_out_ = 0;
    log_warning(event_, detail);
  }

 private:
  static constexpr std::size_t size_most = 500;  // bytes
  const std::string_view event_;
  const int lines_most_;
  int lines_ = 0;
  TimePoint second_began_;
  std::uint64_t left_out_ = 0;
};

}  // namespace chutevane::common
