/// Reads a data folder without writing to it, also while the process that owns it is running.
///
/// All files are copied into memory first; the code that opens a state then works on that copy. Opening a
/// state truncates a torn end, so each truncation of the copy reveals one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/disk.hpp"
#include "common/messages.hpp"

namespace chutevane::ctl {

/// Bytes at the end of a file that are no complete record: what a write that was cut short left.
struct TornTail {
  std::string file;
  std::size_t offset = 0;  ///< the file is good up to here
  std::size_t bytes = 0;   ///< behind it
};

/// A copy of a disk in memory. A truncation is applied to the copy and recorded as a torn end; any other
/// change fails.
class DiskSnapshot final : public common::Disk {
 public:
  /// Of another disk, of which only names and contents are read.
  static absl::StatusOr<DiskSnapshot> of(common::Disk& disk);
  /// Of a folder, whose files are opened read-only. It is read again, some times, if a file changed
  /// meanwhile.
  static absl::StatusOr<DiskSnapshot> of_folder(const std::string& path);

  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

  const std::map<std::string, std::string>& files() const { return files_; }
  const std::vector<TornTail>& torn_tails() const { return torn_tails_; }
  /// Files changed at each attempt: they may be of more than one moment.
  bool changed_while_read() const { return changed_while_read_; }

 private:
  std::map<std::string, std::string> files_;  // contents by name
  std::vector<TornTail> torn_tails_;
  bool changed_while_read_ = false;
};

/// A segment of the storage log.
struct Segment {
  std::uint64_t number = 0;
  std::size_t bytes = 0;
  std::size_t records = 0;
};

/// What there is of a state.
enum class RecordState : std::uint8_t {
  absent,
  readable,
  unreadable,  ///< it was written, and no copy of it can be read
};

/// All that a data folder has. A record's struct is meaningful where its state is `readable`.
struct FolderContents {
  RecordState acceptor_state = RecordState::absent;
  RecordState controller_state = RecordState::absent;
  RecordState storage_node_state = RecordState::absent;
  RecordState coordination_state = RecordState::absent;  ///< of the acceptor of the coordination register
  common::AcceptorRecord acceptor;
  common::ControllerRecord controller;
  common::StorageNodeRecord storage_node;
  common::AcceptorRecord coordination;   ///< as of its checkpoint
  std::size_t coordination_changes = 0;  ///< in its log, since that
  std::vector<Segment> segments;         ///< by number
  std::vector<common::Turn> turns;       ///< by id
  std::vector<common::Account> accounts;
  std::size_t turn_bytes = 0;  ///< as a storage sidecar counts them against its capacity
  std::size_t file_bytes = 0;  ///< of all files
  std::vector<TornTail> torn_tails;
  std::vector<std::string> unknown_files;  ///< that no program of the tier writes
  bool changed_while_read = false;
};

/// An error: the storage log cannot be opened.
absl::StatusOr<FolderContents> read_contents(DiskSnapshot snapshot);

}  // namespace chutevane::ctl
