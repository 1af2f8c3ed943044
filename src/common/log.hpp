// The log of a process: JSON lines by easylogging++, bounded in rate, none on the ordinary path.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chutevane::common {

enum class Level : std::uint8_t { info, warning, error };

// To standard output, with the sidecar's name in each line.
void open_log(std::string_view node, std::string_view role);
// `event` is a stable name, `detail` is for people. Over 50 lines a second of one process are counted only.
void log_event(Level level, std::string_view event, std::string_view detail);
inline void log_info(std::string_view event, std::string_view detail) {
  log_event(Level::info, event, detail);
}
inline void log_warning(std::string_view event, std::string_view detail) {
  log_event(Level::warning, event, detail);
}
// Lines of this process that its bound has left out, since its start.
std::uint64_t log_lines_dropped();
// Where lines go instead of standard output, in simulations; none: to standard output.
using LogSink = std::function<void(Level level, std::string_view event, std::string_view detail)>;
void set_log_sink(LogSink sink);
// One line in JSON, as it is written: for tests and readers of logs.
std::string log_line_of(std::string_view level, std::string_view node, std::string_view role,
                        std::string_view event, std::string_view detail, std::int64_t unix_ms);

}  // namespace chutevane::common
