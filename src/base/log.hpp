// The one place that writes log lines: to standard error, so many a second at most.
#pragma once

namespace chutevane {

void log_line(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace chutevane
