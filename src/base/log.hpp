/// Log lines of the sidecar: to standard error, limited in rate.
#pragma once

#include <functional>
#include <string_view>

namespace chutevane {

/// Writes one line, printf-style. Lines over the rate limit are counted and dropped.
void log_line(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// Sends all lines to `sink` instead, until an empty one is given. For simulated processes.
using LogSink = std::function<void(std::string_view line)>;
void send_log_to(LogSink sink);

}  // namespace chutevane
