/// Whether a process's disk accepts writes, judged by the outcome of the latest one.
#pragma once

#include "absl/status/status.h"
#include "common/log.hpp"

namespace chutevane::common {

/// Logs each change: `disk.failed` with the error, `disk.works` once a write succeeds again. Not thread-safe.
class DiskHealth {
 public:
  /// The outcome of a write that had to be durable. Returns is_healthy().
  bool record_outcome(const absl::Status& outcome) {
    if (outcome.ok() == healthy_) return healthy_;
    healthy_ = outcome.ok();
    if (healthy_) {
      log_info("disk.works", "it takes writes again");
    } else {
      log_event(Level::error, "disk.failed", outcome.ToString());
    }
    return healthy_;
  }
  /// True before the first outcome.
  bool is_healthy() const { return healthy_; }

 private:
  bool healthy_ = true;
};

}  // namespace chutevane::common
