/// The interface between durable state and the file system: one flat directory of files that are appended to,
/// truncated and synced.
///
/// A loss of power (or a crash of the kernel) undoes any part of what was not synced. A crash of the process
/// alone undoes nothing. Code that claims durability therefore syncs before it answers, and syncs again what
/// a previous process may have written without a sync, before it answers from that.
///
/// Implementations: PosixDisk (a directory of the machine), MemoryDisk (a disk in memory with faults, for
/// tests and the simulation), and views of these in the simulation and in chutevane-ctl.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace chutevane::common {

/// Not thread-safe. Calls block until the operating system has answered. After an error the state of the file
/// is undefined until it is truncated, or read and synced, again.
class Disk {
 public:
  virtual ~Disk() = default;

  /// Names of all files, in no particular order. Empty also where the directory cannot be read.
  [[nodiscard]] virtual std::vector<std::string> list_files() = 0;
  /// The whole content. NotFound: there is no such file; any other error: it may be there and is unreadable
  /// now.
  [[nodiscard]] virtual absl::StatusOr<std::string> read(const std::string& name) = 0;
  /// Writes behind the end of the file, which is created where there is none. Durable after the next sync().
  [[nodiscard]] virtual absl::Status append(const std::string& name, std::string_view bytes) = 0;
  /// Sets the size in bytes; a file that is missing is created, a shorter one filled up with zeros. Durable
  /// after the next sync().
  [[nodiscard]] virtual absl::Status truncate(const std::string& name, std::size_t size) = 0;
  /// All earlier appends and truncations of this file, and the file's name, are durable once this returns OK.
  [[nodiscard]] virtual absl::Status sync(const std::string& name) = 0;
  /// OK also where there is no such file. A loss of power may bring a removed file back, as it was when it
  /// was synced last, until a new file of the same disk has been synced.
  [[nodiscard]] virtual absl::Status remove(const std::string& name) = 0;

  /// A new identity for a disk: 128 random bits as 32 hexadecimal digits. The simulation overrides it, so
  /// that a run is reproducible.
  virtual std::string generate_id();
};

}  // namespace chutevane::common
