/// A Disk backed by a directory of the file system.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/disk.hpp"

namespace chutevane::common {

/// Opens each file once and keeps the descriptor until the file is removed or the disk destroyed. Errors
/// contain the path and the status code for errno (absl::ErrnoToStatus).
///
/// The name of a new file is durable only once its directory has been synced. sync() therefore also syncs the
/// directory unless this process has done so since it opened the file. This includes files that an earlier
/// process created: it may have been killed before it synced the directory.
class PosixDisk final : public Disk {
 public:
  /// `directory` must exist; it is not created.
  explicit PosixDisk(std::string directory) : directory_(std::move(directory)) {}
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  /// Omits files whose names begin with a dot.
  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

 private:
  enum class OpenMode : std::uint8_t { existing, create };
  /// An open file.
  struct File {
    int descriptor = -1;        // owned
    bool name_durable = false;  // the directory has been synced since this process opened the file
  };
  /// Returns the file's descriptor, which remains owned by `files_`.
  absl::StatusOr<int> open(const std::string& name, OpenMode mode);
  /// Makes the names of all existing files durable.
  absl::Status sync_directory();

  const std::string directory_;
  std::map<std::string, File> files_;  // open ones, by name
};

}  // namespace chutevane::common
