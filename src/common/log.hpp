/// The log of a process: JSON lines, at most 50 a second. Nothing is logged for each request.
///
/// One log a process, to be used on one thread. Before open_log() lines are dropped, so that tests are
/// silent.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chutevane::common {

enum class Level : std::uint8_t { info, warning, error };

/// Begins to log, to standard output. `node` and `role` (the program's name) stand in each line.
void open_log(std::string_view node, std::string_view role);
/// `event`: a stable name that tools may search for; `detail`: text for people. Lines above the rate limit
/// are only counted.
void log_event(Level level, std::string_view event, std::string_view detail);
inline void log_info(std::string_view event, std::string_view detail) {
  log_event(Level::info, event, detail);
}
inline void log_warning(std::string_view event, std::string_view detail) {
  log_event(Level::warning, event, detail);
}
/// Lines that the rate limit has dropped since the process started.
std::uint64_t log_lines_dropped();
/// Receives lines instead of standard output, in simulations.
using LogSink = std::function<void(Level level, std::string_view event, std::string_view detail)>;
/// nullptr: lines go to standard output again.
void set_log_sink(LogSink sink);
/// One line as it is written, without the line's end.
std::string log_line_of(std::string_view level, std::string_view node, std::string_view role,
                        std::string_view event, std::string_view detail, std::int64_t unix_ms);

}  // namespace chutevane::common
