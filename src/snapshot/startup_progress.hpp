/// Whether a process that has started has reached full service, by its own counters. No I/O.
#pragma once

#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::snapshot {

/// Counted since the start.
struct RequestCounts {
  std::uint64_t requests = 0;
  std::uint64_t rejected = 0;  ///< rejected or aborted, for whatever reason
};

/// Full service is reached once no sample of a whole `window` has found more than `max_rejected_fraction` of
/// the requests rejected. It is never lost again: later rejections do not come from the start.
class StartupProgress {
 public:
  static constexpr Span window = Span::ms(5000);
  static constexpr Span sample_interval = Span::ms(250);
  static constexpr double max_rejected_fraction = 0.01;  ///< of the requests since the sample before

  /// `source`: what the process started from, for operators: "nothing", or what was restored.
  void start(TimePoint now, std::string source) {
    started_at_ = last_failed_sample_ = last_sample_ = now;
    source_ = std::move(source);
  }
  /// May be called at any time; takes a sample when one is due.
  void update(const RequestCounts& counts, TimePoint now);
  [[nodiscard]] bool is_at_full_service() const { return is_full_; }
  /// From the start to the beginning of the window in which full service was reached. Before that: to the
  /// last sample with too many rejections.
  [[nodiscard]] Span time_to_full_service() const { return last_failed_sample_ - started_at_; }
  /// One object: state ("learning" or "full"), up_ms, took_ms or refused_last_ms, from.
  [[nodiscard]] std::string to_json(TimePoint now) const;

 private:
  RequestCounts last_counts_;
  TimePoint started_at_, last_failed_sample_, last_sample_;
  bool is_full_ = false;
  std::string source_;
};

}  // namespace chutevane::snapshot
