/// When a snapshot was written, and how old it is now, as far as that can be known. No I/O.
#pragma once

#include <string>

#include "chutevane/types.hpp"

namespace chutevane::snapshot {

/// One moment, read from three clocks at once. Setting a clock moves Unix time only.
struct ClockReading {
  std::string boot_id;  ///< names the start of the machine; empty: unknown
  Span uptime;          ///< since that start, suspended time included (CLOCK_BOOTTIME)
  TimePoint unix_time;
};

enum class AgeConfidence : std::uint8_t {
  unknown,    ///< no age: the snapshot is not to be used
  estimated,  ///< the machine has been started since: by Unix time, which nothing contradicts
  exact,      ///< by the uptime of one start of one machine
};

struct Age {
  AgeConfidence confidence = AgeConfidence::unknown;
  Span duration;  ///< meaningless where the confidence is unknown
};

/// The age at `now` of what was written at `written`. Unknown where the two contradict each other, so that a
/// clock that was set, a restored backup or a copy of another machine is not taken for recent: written in the
/// future of the same start; before this start by less time than it has been up; or longer ago than 30 days
/// by Unix time.
[[nodiscard]] Age age_of(const ClockReading& written, const ClockReading& now);

}  // namespace chutevane::snapshot
