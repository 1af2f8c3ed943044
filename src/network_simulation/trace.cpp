#include "network_simulation/trace.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace chutevane::network_simulation {
namespace {

constexpr std::size_t max_line_size = 1200;  // bytes: a log line and its prefix

}  // namespace

void Trace::record(TimePoint at, const char* format, ...) {
  if (!sink_) return;
  char buffer[max_line_size];
  const int prefix_size = std::snprintf(buffer, sizeof buffer, "%.6f ", at.as_ms() / 1000.0);
  va_list arguments;
  va_start(arguments, format);
  const int text_size = std::vsnprintf(
      buffer + prefix_size, sizeof buffer - static_cast<std::size_t>(prefix_size), format, arguments);
  va_end(arguments);
  const std::size_t wanted_size = static_cast<std::size_t>(prefix_size + std::max(0, text_size));
  sink_({buffer, std::min(sizeof buffer - 1, wanted_size)});
}

}  // namespace chutevane::network_simulation
