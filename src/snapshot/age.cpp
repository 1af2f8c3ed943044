#include "snapshot/age.hpp"

namespace chutevane::snapshot {
namespace {

constexpr Span max_reading_skew = Span::ms(50);               // between the readings of the three clocks
constexpr Span max_estimated_age = Span::ms(30.0 * 86400e3);  // a clock that was never set is off by years

}  // namespace

Age age_of(const ClockReading& written, const ClockReading& now) {
  if (written.boot_id.empty() || now.boot_id.empty()) return {};
  if (written.boot_id == now.boot_id) {
    const Span duration = now.uptime - written.uptime;
    return duration < Span() ? Age{} : Age{AgeConfidence::exact, duration};
  }
  const Span duration = now.unix_time - written.unix_time;
  if (duration + max_reading_skew < now.uptime || duration > max_estimated_age) return {};
  return {AgeConfidence::estimated, std::max(duration, now.uptime)};
}

}  // namespace chutevane::snapshot
