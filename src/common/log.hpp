/// The log of a process: JSON lines, at most 50 per second. There is no per-request logging.
///
/// There is one log per process, and it must be used on one thread. Lines before open_log() are discarded, so
/// that tests are silent.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chutevane::common {

enum class Level : std::uint8_t { info, warning, error };

/// Starts logging to standard output. Each line contains `node` and `role` (the program's name).
void open_log(std::string_view node, std::string_view role);
/// Logs a line. `event` is a stable name that tools may match; `detail` is human-readable text. Lines above
/// the rate limit are dropped and counted.
void log_event(Level level, std::string_view event, std::string_view detail);
inline void log_info(std::string_view event, std::string_view detail) {
  log_event(Level::info, event, detail);
}
inline void log_warning(std::string_view event, std::string_view detail) {
  log_event(Level::warning, event, detail);
}
/// Returns the number of lines dropped by the rate limit since the process started.
std::uint64_t log_lines_dropped();
/// Receives log lines instead of standard output; used by simulations.
using LogSink = std::function<void(Level level, std::string_view event, std::string_view detail)>;
/// Redirects log lines to `sink`; nullptr restores standard output.
void set_log_sink(LogSink sink);
/// Returns one formatted log line, without a line terminator.
std::string log_line_of(std::string_view level, std::string_view node, std::string_view role,
                        std::string_view event, std::string_view detail, std::int64_t unix_ms);

}  // namespace chutevane::common
