#include "snapshot/startup_progress.hpp"

#include "json/value.hpp"

namespace chutevane::snapshot {

void StartupProgress::update(const RequestCounts& counts, TimePoint now) {
  if (is_full_ || now - last_sample_ < sample_interval) return;
  const auto requests = static_cast<double>(counts.requests - last_counts_.requests);
  const auto rejected = static_cast<double>(counts.rejected - last_counts_.rejected);
  if (rejected > max_rejected_fraction * requests) last_failed_sample_ = now;
  last_sample_ = now;
  last_counts_ = counts;
  is_full_ = now - last_failed_sample_ >= window;
}

std::string StartupProgress::to_json(TimePoint now) const {
  json::Writer out;
  out.open('{').key("state").text(is_full_ ? "full" : "learning");
  out.key("up_ms").real((now - started_at_).as_ms());
  out.key(is_full_ ? "took_ms" : "refused_last_ms").real(time_to_full_service().as_ms());
  out.key("from").text(source_);
  return out.close('}').result();
}

}  // namespace chutevane::snapshot
