/// Where snapshots are kept: an interface, and what its users may count on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "snapshot/snapshot_format.hpp"

namespace chutevane::snapshot {

struct StoreCounters {
  std::uint64_t written = 0;
  std::uint64_t failed = 0;
  std::uint64_t superseded = 0;  ///< replaced by a newer one before the write of it began: the disk is slow
  std::string last_error;        ///< of the last write that failed
};

/// Keeps the two newest generations. Belongs to one thread; writing does not block it.
class SnapshotStore {
 public:
  virtual ~SnapshotStore() = default;
  [[nodiscard]] virtual ClockReading now() const = 0;
  /// The serialized generations that exist, newest first, each of at most max_snapshot_bytes + 1 bytes.
  [[nodiscard]] virtual std::vector<std::string> read_generations() = 0;
  /// Moves the newest generation away, since it cannot be parsed; it is kept for inspection.
  virtual void quarantine_newest() = 0;
  /// Writes the snapshot soon. One that still waits is replaced by the next.
  virtual void save(Snapshot snapshot) = 0;
  /// Waits until all that was saved is on disk, for a bounded time.
  virtual void flush() = 0;
  [[nodiscard]] virtual StoreCounters counters() const = 0;
};

}  // namespace chutevane::snapshot
