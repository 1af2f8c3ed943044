// Whether a process's disk takes what is written, as far as the last try tells; logs each change of that.
#pragma once

#include "absl/status/status.h"
#include "common/log.hpp"

namespace chutevane::common {

class DiskHealth {
 public:
  // The outcome of an order to the disk; true where it has lasted.
  bool note(const absl::Status& outcome) {
    if (outcome.ok() == works_) return works_;
    works_ = outcome.ok();
    if (works_) {
      log_info("disk.works", "it takes writes again");
    } else {
      log_event(Level::error, "disk.failed", outcome.ToString());
    }
    return works_;
  }
  bool works() const { return works_; }

 private:
  bool works_ = true;
};

}  // namespace chutevane::common
