/// The durable record of the map that a node has served under: `map.slot0` and `map.slot1`.
///
/// Before a node reserves, stores or hands out anything under a map, the version of the map is on disk;
/// looking up turns does not wait for it. A process that is started anew then does not go back to an earlier
/// map, which a controller that lags may still push: what was answered under the later one must stand. Nor
/// does it have to transfer its state again where it is pushed the very map under which it was complete: it
/// is like a node that was silent for a while, and what it has missed lies at a quorum of each group.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/messages.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::storage {

/// Not thread-safe. `disk` and `timers` outlive it.
class ServedMapRecord {
 public:
  ServedMapRecord(common::Disk& disk, net::TimerQueue& timers) : timers_(timers), file_(disk, "map") {}

  /// Reads the record. One that is missing, cannot be decoded or was written for another disk counts as none.
  /// An error: the disk cannot be read now.
  [[nodiscard]] absl::Status recover(const std::string& disk_id);
  /// Replaces the record; tried again until the disk accepts it. `complete`: all that is this node's own by
  /// the map of that version is on its disk.
  void write(std::int64_t version, bool complete);

  /// The newest record is not durable yet: nothing may be reserved, stored or handed out.
  bool is_pending() const { return pending_; }
  /// Of the newest record; 0: there is none.
  std::int64_t version() const { return record_.map_version; }
  /// The node was complete under the map of that version, and that is durable.
  bool was_complete_at(std::int64_t version) const {
    return !pending_ && record_.complete && record_.map_version == version;
  }

 private:
  void write_now();

  net::TimerQueue& timers_;
  common::DurableState file_;
  common::MapRecord record_;  // as it is on disk, or is to be
  bool pending_ = false;
};

}  // namespace chutevane::storage
