/// The sidecar's log: lines on standard error, limited in rate.
#pragma once

#include <functional>
#include <string_view>

namespace chutevane {

/// Writes one line, printf-style. Lines above the rate limit are dropped; the next line states their number.
void log_line(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// Sends all lines to a sink instead of standard error, without a rate limit. An empty sink restores standard
/// error. For simulated processes.
using LogSink = std::function<void(std::string_view line)>;
void set_log_sink(LogSink sink);

}  // namespace chutevane
