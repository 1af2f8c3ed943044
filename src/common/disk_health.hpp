/// Tracks whether a process's disk accepts writes, by the outcome of the latest write.
#pragma once

#include "absl/status/status.h"
#include "common/log.hpp"

namespace chutevane::common {

/// Logs each change of state: `disk.failed` with the error, `disk.works` once a write succeeds again. Not
/// thread-safe.
class DiskHealth {
 public:
  /// Records the outcome of a durable write. Returns is_healthy().
  bool record_outcome(const absl::Status& outcome) {
    if (outcome.ok() == healthy_) return healthy_;
    healthy_ = outcome.ok();
    if (healthy_) {
      log_info("disk.works", "writes succeed again");
    } else {
      log_event(Level::error, "disk.failed", outcome.ToString());
    }
    return healthy_;
  }
  /// Returns true if the latest write succeeded, or if there was none yet.
  bool is_healthy() const { return healthy_; }

 private:
  bool healthy_ = true;
};

}  // namespace chutevane::common
