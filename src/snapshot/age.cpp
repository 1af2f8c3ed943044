#include "snapshot/age.hpp"

namespace chutevane::snapshot {
namespace {

constexpr Span reading_apart = Span::ms(50);        // between the readings of one stamp
constexpr Span longest = Span::ms(30.0 * 86400e3);  // a clock that had not been set yet tells of years

}  // namespace

Age age(const Stamp& written, const Stamp& now) {
  if (written.boot.empty() || now.boot.empty()) return {};
  if (written.boot == now.boot) {
    const Span span = now.up - written.up;
    return span < Span() ? Age{} : Age{Surety::sure, span};
  }
  const Span span = now.unix_time - written.unix_time;
  if (span + reading_apart < now.up || span > longest) return {};
  return {Surety::likely, std::max(span, now.up)};
}

}  // namespace chutevane::snapshot
