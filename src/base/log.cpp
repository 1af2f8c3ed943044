#include "base/log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <utility>

namespace chutevane {
namespace {

// Enough for the state changes of a busy sidecar; a higher rate would be a flood that hides them.
constexpr double lines_per_s = 20.0;
constexpr double max_burst_lines = 200.0;
constexpr std::size_t max_sink_line_bytes = 1024;  // including the terminating zero

LogSink sink;

}  // namespace

void set_log_sink(LogSink to) { sink = std::move(to); }

void log_line(const char* format, ...) {
  if (sink) {
    char line[max_sink_line_bytes];
    va_list args;
    va_start(args, format);
    const int size = std::vsnprintf(line, sizeof line, format, args);
    va_end(args);
    sink({line, std::min(sizeof line - 1, static_cast<std::size_t>(std::max(0, size)))});
    return;
  }
  using clock = std::chrono::steady_clock;
  static double tokens = max_burst_lines;
  static clock::time_point filled_at = clock::now();
  static unsigned long dropped_lines = 0;
  const clock::time_point now = clock::now();
  tokens = std::min(max_burst_lines,
                    tokens + std::chrono::duration<double>(now - filled_at).count() * lines_per_s);
  filled_at = now;
  if (tokens < 1.0) {
    ++dropped_lines;
    return;
  }
  tokens -= 1.0;
  const std::chrono::duration<double> unix_time = std::chrono::system_clock::now().time_since_epoch();
  std::fprintf(stderr, "%.3f ", unix_time.count());
  if (dropped_lines > 0) std::fprintf(stderr, "(%lu lines dropped) ", dropped_lines);
  dropped_lines = 0;
  va_list args;
  va_start(args, format);
  std::vfprintf(stderr, format, args);
  va_end(args);
  std::fputc('\n', stderr);
}

}  // namespace chutevane
