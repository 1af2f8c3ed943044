// Whether a process's disk takes what is written, as far as the last try tells; logs each change of that.
#pragma once

#include "absl/status/status.h"
#include "common/log.hpp"

namespace chutevane::common {

class DiskHealth {
 public:
  // The outcome of an order to the disk; true where it has lasted.
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
  bool is_healthy() const { return healthy_; }

 private:
  bool healthy_ = true;
};

}  // namespace chutevane::common
