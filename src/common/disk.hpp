/// The interface between durable state and the file system: a flat directory of files that can be appended
/// to, truncated and synced.
///
/// A power failure (or a kernel crash) may undo any part of what was not synced. A crash of the process alone
/// undoes nothing. Code that guarantees durability must therefore sync before it acknowledges a write, and
/// after a restart must sync what the previous process may have left unsynced before it answers from it.
///
/// Implementations: PosixDisk (a directory of the machine), MemoryDisk (in memory, with fault injection, for
/// tests and the simulation), and wrappers of these in the simulation and in chutevane-ctl.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace chutevane::common {

/// Not thread-safe. Calls block until the operating system has completed them. After an error the content of
/// the file is undefined until it has been truncated, or read and synced, successfully.
class Disk {
 public:
  virtual ~Disk() = default;

  /// Returns the names of all files, in no particular order; empty also if the directory cannot be read.
  [[nodiscard]] virtual std::vector<std::string> list_files() = 0;
  /// Returns the whole content. NotFound means that the file does not exist; after any other error it may
  /// exist but cannot be read at the moment.
  [[nodiscard]] virtual absl::StatusOr<std::string> read(const std::string& name) = 0;
  /// Appends to the file, which is created if it does not exist. Durable after the next sync().
  [[nodiscard]] virtual absl::Status append(const std::string& name, std::string_view bytes) = 0;
  /// Sets the size in bytes. A file that does not exist is created; a shorter one is extended with zeros.
  /// Durable after the next sync().
  [[nodiscard]] virtual absl::Status truncate(const std::string& name, std::size_t size) = 0;
  /// Makes all earlier appends and truncations of this file, and its directory entry, durable.
  [[nodiscard]] virtual absl::Status sync(const std::string& name) = 0;
  /// Removes the file; returns OK also if it does not exist. Until a new file on the same disk has been
  /// synced, a power failure may bring a removed file back with the content of its last sync.
  [[nodiscard]] virtual absl::Status remove(const std::string& name) = 0;

  /// Returns a new disk id: 128 random bits as 32 hexadecimal digits. The simulation overrides this function
  /// to make runs reproducible.
  virtual std::string generate_id();
};

}  // namespace chutevane::common
