/// A Disk that is a directory of the machine.
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
/// carry the path and the code of errno (absl::ErrnoToStatus).
///
/// The name of a new file is durable only once its directory was synced. sync() does that for every file
/// whose directory entry this process has not synced yet, also for files that an earlier process has created:
/// it may have been killed in between.
class PosixDisk final : public Disk {
 public:
  /// `directory` exists; it is not created here.
  explicit PosixDisk(std::string directory) : directory_(std::move(directory)) {}
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  /// Files whose names begin with a dot are left out.
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
    bool name_durable = false;  // the directory was synced since this process opened or created the file
  };
  /// The descriptor, which stays owned by `files_`.
  absl::StatusOr<int> open(const std::string& name, OpenMode mode);
  /// Makes the names of all files that exist by now durable.
  absl::Status sync_directory();

  const std::string directory_;
  std::map<std::string, File> files_;  // open ones, by name
};

}  // namespace chutevane::common
