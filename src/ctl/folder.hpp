// Looks at a data folder without writing, also beside the process that uses it.
//
// A folder is read whole first; what opens it then works on that copy in memory. Opening a state cuts a torn
// end off, so each cut tells of one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/disk.hpp"
#include "common/messages.hpp"

namespace chutevane::ctl {

struct Torn {
  std::string file;
  std::size_t at = 0, bytes = 0;  // good up to there; what is behind
};

// A copy of a disk. Cuts are made in the copy and kept as torn ends; any other change is refused.
class Snapshot final : public common::Disk {
 public:
  // What is read from another disk, which is only asked for names and contents.
  static absl::StatusOr<Snapshot> of(common::Disk& disk);
  // Opens files to read alone. Read again where a running process changed one meanwhile.
  static absl::StatusOr<Snapshot> of_folder(const std::string& path);

  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

  const std::map<std::string, std::string>& files() const { return files_; }
  const std::vector<Torn>& torn() const { return torn_; }
  bool moving() const { return moving_; }  // its parts may be of more than one moment

 private:
  std::map<std::string, std::string> files_;
  std::vector<Torn> torn_;
  bool moving_ = false;
};

struct Segment {
  std::uint64_t number = 0;
  std::size_t bytes = 0, records = 0;
};

enum class Presence : std::uint8_t { none, whole, lost };

struct Holdings {
  Presence has_acceptor = Presence::none, has_controller = Presence::none, has_storage_node = Presence::none;
  common::AcceptorRecord acceptor;
  common::ControllerRecord controller;
  common::StorageNodeRecord storage_node;
  std::vector<Segment> segments;
  std::vector<common::Turn> turns;  // by their ids
  std::vector<common::Account> accounts;
  std::size_t turn_bytes = 0;  // as a storage node counts them against its room
  std::size_t file_bytes = 0;
  std::vector<Torn> torn;
  std::vector<std::string> unknown;  // files that no program of the tier writes
  bool moving = false;
};

// An error: a file that is there cannot be read.
absl::StatusOr<Holdings> holdings_of(Snapshot snapshot);

}  // namespace chutevane::ctl
