/// Snapshots in files, and this machine's clocks.
#pragma once

#include <memory>
#include <string>

#include "snapshot/snapshot_store.hpp"

namespace chutevane::snapshot {

/// Keeps the newest generation at `path`, the one before at `path`.1; one that was moved away lies at
/// `path`.broken.
///
/// A thread of the store's own writes `path`.new, syncs it, renames it over the newest generation (renamed to
/// .1 before) and syncs the folder: at every moment a complete generation has one of the two names. Two
/// processes of a sidecar may run at a time, and by mistake two sidecars may have the same path: whoever
/// holds the lock of `path`.lock writes, the other one fails and tries again with its next snapshot.
///
/// Errors of the disk never throw; they are counted and keep their message in StoreCounters.
[[nodiscard]] std::unique_ptr<SnapshotStore> open_file_store(const std::string& path);

/// The boot id is empty where the machine does not tell it.
[[nodiscard]] ClockReading read_machine_clock();

}  // namespace chutevane::snapshot
