#include "ctl/data_folder.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>

#include "common/durable_state.hpp"
#include "common/record_framing.hpp"
#include "storage/replica_store.hpp"
#include "storage/segment_log.hpp"

namespace chutevane::ctl {
namespace {

constexpr int max_readings = 5;  // of a folder that changes meanwhile: a process writes some times a second

/// Changes whenever the file does.
struct FileVersion {
  off_t size = 0;
  timespec time{};
  ino_t inode = 0;
  bool operator==(const FileVersion& other) const {
    return size == other.size && time.tv_sec == other.time.tv_sec && time.tv_nsec == other.time.tv_nsec &&
           inode == other.inode;
  }
};
using FileVersions = std::map<std::string, FileVersion>;  // by name

absl::StatusOr<FileVersions> file_versions(const std::string& folder) {
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(folder.c_str()), &::closedir);
  if (!dir) return absl::ErrnoToStatus(errno, folder);
  FileVersions out;
  while (const dirent* entry = ::readdir(dir.get())) {
    struct stat info {};
    if (entry->d_name[0] == '.' || ::fstatat(::dirfd(dir.get()), entry->d_name, &info, 0) != 0) continue;
    if (S_ISREG(info.st_mode)) out[entry->d_name] = {info.st_size, info.st_mtim, info.st_ino};
  }
  return out;
}

absl::StatusOr<std::string> read_file(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return absl::ErrnoToStatus(errno, path);
  struct stat info {};
  absl::Status error = ::fstat(fd, &info) == 0 ? absl::OkStatus() : absl::ErrnoToStatus(errno, path);
  // As long as it was then: what is appended meanwhile is left out.
  std::string out(error.ok() ? static_cast<std::size_t>(info.st_size) : 0, '\0');
  std::size_t offset = 0;
  while (error.ok() && offset < out.size()) {
    const ssize_t count = ::pread(fd, out.data() + offset, out.size() - offset, static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) error = absl::ErrnoToStatus(errno, path);
    if (count <= 0) break;
    offset += static_cast<std::size_t>(count);
  }
  ::close(fd);
  if (!error.ok()) return error;
  out.resize(offset);
  return out;
}

/// The name of the DurableState that this is a file of; empty: of none.
std::string state_name(const std::string& name) {
  for (std::string state : {"acceptor", "control", "coordination", "coordination-epoch", "map", "storage"}) {
    for (const std::string kind : {".slot0", ".slot1", ".log0", ".log1"}) {
      if (name == state + kind) return state;
    }
  }
  return "";
}

template <class Record>
RecordState read_state(common::Disk& disk, const std::string& name, Record& into) {
  common::DurableState state(disk, name);
  const auto recovered = state.recover();
  if (absl::IsNotFound(recovered.status())) return RecordState::absent;
  if (!recovered.ok() || !common::decode(recovered->checkpoint, into)) return RecordState::unreadable;
  for (const std::string& change : recovered->changes) {
    if (!common::decode(change, into)) return RecordState::unreadable;
  }
  return RecordState::readable;
}

/// The log of the coordination register has changes, and no whole records.
RecordState read_coordination(common::Disk& disk, FolderContents& into) {
  common::DurableState state(disk, "coordination");
  const auto recovered = state.recover();
  if (absl::IsNotFound(recovered.status())) return RecordState::absent;
  if (!recovered.ok() || !common::decode(recovered->checkpoint, into.coordination))
    return RecordState::unreadable;
  for (const std::string& change : recovered->changes) {
    common::AcceptorChange decoded;
    if (!common::decode(change, decoded)) return RecordState::unreadable;
  }
  into.coordination_changes = recovered->changes.size();
  return RecordState::readable;
}

/// What the files themselves show: sizes, segments, torn ends, and files that do not belong here.
void classify_files(const std::map<std::string, std::string>& files, FolderContents& out) {
  for (const auto& [name, text] : files) {
    out.file_bytes += text.size();
    const auto segment = storage::SegmentLog::parse_file_name(name);
    if (segment) {
      const common::ParsedFrames frames = storage::SegmentLog::parse_file(text, *segment);
      const std::size_t good_size = frames.valid_size;
      out.segments.push_back({*segment, text.size(), frames.records.size()});
      if (good_size < text.size()) out.torn_tails.push_back({name, good_size, text.size() - good_size});
    } else if (state_name(name).empty()) {
      out.unknown_files.push_back(name);
    } else if (name.find(".slot") != std::string::npos) {
      // The write of the older slot may have been cut short.
      const std::size_t good_size = common::parse_frames(text, 0).valid_size;
      if (good_size < text.size()) out.torn_tails.push_back({name, good_size, text.size() - good_size});
    }
  }
  std::sort(out.segments.begin(), out.segments.end(),
            [](const Segment& a, const Segment& b) { return a.number < b.number; });
}

}  // namespace

absl::StatusOr<DiskSnapshot> DiskSnapshot::of(common::Disk& disk) {
  DiskSnapshot out;
  for (const std::string& name : disk.list_files()) {
    absl::StatusOr<std::string> text = disk.read(name);
    if (!text.ok()) return text.status();
    out.files_[name] = *std::move(text);
  }
  return out;
}

absl::StatusOr<DiskSnapshot> DiskSnapshot::of_folder(const std::string& path) {
  const std::string prefix = path + "/";
  for (int reading = 1;; ++reading) {
    const absl::StatusOr<FileVersions> before = file_versions(path);
    if (!before.ok()) return before.status();
    DiskSnapshot out;
    for (const auto& [name, version] : *before) {
      absl::StatusOr<std::string> text = read_file(prefix + name);
      if (absl::IsNotFound(text.status())) continue;  // the process has removed it: the versions differ
      if (!text.ok()) return text.status();
      out.files_[name] = *std::move(text);
    }
    const absl::StatusOr<FileVersions> after = file_versions(path);
    if (!after.ok()) return after.status();
    out.changed_while_read_ = *before != *after;
    if (!out.changed_while_read_ || reading == max_readings) return out;
  }
}

std::vector<std::string> DiskSnapshot::list_files() {
  std::vector<std::string> out;
  for (const auto& [name, text] : files_) out.push_back(name);
  return out;
}

absl::StatusOr<std::string> DiskSnapshot::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  return found->second;
}

absl::Status DiskSnapshot::append(const std::string& name, std::string_view) {
  return absl::FailedPreconditionError(name + ": only looked at");
}

absl::Status DiskSnapshot::truncate(const std::string& name, std::size_t size) {
  const auto found = files_.find(name);
  if (found == files_.end() || found->second.size() < size) return absl::FailedPreconditionError(name);
  torn_tails_.push_back({name, size, found->second.size() - size});
  found->second.resize(size);
  return absl::OkStatus();
}

absl::Status DiskSnapshot::sync(const std::string&) { return absl::OkStatus(); }

absl::Status DiskSnapshot::remove(const std::string& name) {
  return absl::FailedPreconditionError(name + ": only looked at");
}

absl::StatusOr<FolderContents> read_contents(DiskSnapshot snapshot) {
  FolderContents out;
  out.changed_while_read = snapshot.changed_while_read();
  classify_files(snapshot.files(), out);
  out.acceptor_state = read_state(snapshot, "acceptor", out.acceptor);
  out.controller_state = read_state(snapshot, "control", out.controller);
  out.storage_node_state = read_state(snapshot, "storage", out.storage_node);
  out.coordination_state = read_coordination(snapshot, out);
  out.torn_tails.insert(out.torn_tails.end(), snapshot.torn_tails().begin(), snapshot.torn_tails().end());
  storage::ReplicaStore store(snapshot, static_cast<std::size_t>(-1));
  if (absl::Status opened = store.recover(TimePoint()); !opened.ok()) return opened;
  store.for_each_turn("", [&](const common::Turn& turn) {
    out.turns.push_back(turn);
    return true;
  });
  store.for_each_account("", [&](const common::Account& account) {
    out.accounts.push_back(account);
    return true;
  });
  out.turn_bytes = store.turn_bytes();
  return out;
}

}  // namespace chutevane::ctl
