/// The durable record of the newest map that a node has used: the files `map.slot0` and `map.slot1`.
///
/// A node makes the version of a map durable before it reserves tokens, stores turns or answers a PullRequest
/// under that map; lookups of turns do not wait for it. After a restart, the node therefore does not go back
/// to an earlier map, which a controller that lags may still push: answers given under the later map must
/// remain valid. If the node receives the very map under which it was complete, it does not transfer its
/// state again either. It is then in the state of a node that was unreachable for a while, and a quorum of
/// each group has whatever it missed.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/messages.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::storage {

/// Reads and writes the record. Not thread-safe. `disk` and `timers` must outlive this object.
class ServedMapRecord {
 public:
  ServedMapRecord(common::Disk& disk, net::TimerQueue& timers) : timers_(timers), file_(disk, "map") {}

  /// Reads the record. A record that is missing, cannot be decoded or was written for another disk counts as
  /// absent. Returns an error if the disk cannot be read now.
  [[nodiscard]] absl::Status recover(const std::string& disk_id);
  /// Replaces the record, with retries until the disk accepts it. `complete` says that everything that the
  /// map of that version assigns to this node is on its disk.
  void write(std::int64_t version, bool complete);

  /// Returns true while the newest record is not durable. Until then the node must not reserve tokens, store
  /// turns or answer a PullRequest.
  bool is_pending() const { return pending_; }
  /// Returns the map version of the newest record, or 0 if there is none.
  std::int64_t version() const { return record_.map_version; }
  /// Returns true if the node was complete under the map of that version, and the record of it is durable.
  bool was_complete_at(std::int64_t version) const {
    return !pending_ && record_.complete && record_.map_version == version;
  }

 private:
  void write_now();

  net::TimerQueue& timers_;
  common::DurableState file_;
  common::MapRecord record_;  // as it is on disk, or will be
  bool pending_ = false;
};

}  // namespace chutevane::storage
