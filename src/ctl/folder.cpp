#include "ctl/folder.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>

#include "common/durable_state.hpp"
#include "common/record_framing.hpp"
#include "storage/store.hpp"

namespace chutevane::ctl {
namespace {

constexpr int readings_most = 5;  // of a folder that changes meanwhile: a process writes some times a second

struct Stamp {
  off_t size = 0;
  timespec time{};
  ino_t inode = 0;
  bool operator==(const Stamp& o) const {
    return size == o.size && time.tv_sec == o.time.tv_sec && time.tv_nsec == o.time.tv_nsec &&
           inode == o.inode;
  }
};
using Stamps = std::map<std::string, Stamp>;

absl::StatusOr<Stamps> stamps_of(const std::string& folder) {
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(folder.c_str()), &::closedir);
  if (!dir) return absl::ErrnoToStatus(errno, folder);
  Stamps out;
  while (const dirent* entry = ::readdir(dir.get())) {
    struct stat info {};
    if (entry->d_name[0] == '.' || ::fstatat(::dirfd(dir.get()), entry->d_name, &info, 0) != 0) continue;
    if (S_ISREG(info.st_mode)) out[entry->d_name] = {info.st_size, info.st_mtim, info.st_ino};
  }
  return out;
}

absl::StatusOr<std::string> contents_of(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return absl::ErrnoToStatus(errno, path);
  struct stat info {};
  absl::Status error = ::fstat(fd, &info) == 0 ? absl::OkStatus() : absl::ErrnoToStatus(errno, path);
  // As long as it was then: one that grows meanwhile is not run after.
  std::string out(error.ok() ? static_cast<std::size_t>(info.st_size) : 0, '\0');
  std::size_t at = 0;
  while (error.ok() && at < out.size()) {
    const ssize_t got = ::pread(fd, out.data() + at, out.size() - at, static_cast<off_t>(at));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) error = absl::ErrnoToStatus(errno, path);
    if (got <= 0) break;
    at += static_cast<std::size_t>(got);
  }
  ::close(fd);
  if (!error.ok()) return error;
  out.resize(at);
  return out;
}

// Which of a state's files this is; empty: none.
std::string state_of(const std::string& name) {
  for (const std::string state : {"acceptor", "control", "storage"}) {
    for (const std::string kind : {".slot0", ".slot1", ".log0", ".log1"}) {
      if (name == state + kind) return state;
    }
  }
  return "";
}

template <class Record>
Presence read_state(common::Disk& disk, const std::string& name, Record& into) {
  common::DurableState slots(disk, name);
  const auto got = slots.recover();
  if (absl::IsNotFound(got.status())) return Presence::none;
  if (!got.ok() || !common::decode(got->checkpoint, into)) return Presence::lost;
  for (const std::string& change : got->changes) {
    if (!common::decode(change, into)) return Presence::lost;
  }
  return Presence::whole;
}

}  // namespace

absl::StatusOr<Snapshot> Snapshot::of(common::Disk& disk) {
  Snapshot out;
  for (const std::string& name : disk.list_files()) {
    absl::StatusOr<std::string> text = disk.read(name);
    if (!text.ok()) return text.status();
    out.files_[name] = *std::move(text);
  }
  return out;
}

absl::StatusOr<Snapshot> Snapshot::of_folder(const std::string& path) {
  for (int reading = 1;; ++reading) {
    const absl::StatusOr<Stamps> before = stamps_of(path);
    if (!before.ok()) return before.status();
    Snapshot out;
    for (const auto& [name, stamp] : *before) {
      absl::StatusOr<std::string> text = contents_of(path + "/" + name);
      if (absl::IsNotFound(text.status())) continue;  // the process has removed it: the stamps differ
      if (!text.ok()) return text.status();
      out.files_[name] = *std::move(text);
    }
    const absl::StatusOr<Stamps> after = stamps_of(path);
    if (!after.ok()) return after.status();
    out.moving_ = *before != *after;
    if (!out.moving_ || reading == readings_most) return out;
  }
}

std::vector<std::string> Snapshot::list_files() {
  std::vector<std::string> out;
  for (const auto& [name, text] : files_) out.push_back(name);
  return out;
}

absl::StatusOr<std::string> Snapshot::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  return found->second;
}

absl::Status Snapshot::append(const std::string& name, std::string_view) {
  return absl::FailedPreconditionError(name + ": only looked at");
}

absl::Status Snapshot::truncate(const std::string& name, std::size_t size) {
  const auto found = files_.find(name);
  if (found == files_.end() || found->second.size() < size) return absl::FailedPreconditionError(name);
  torn_.push_back({name, size, found->second.size() - size});
  found->second.resize(size);
  return absl::OkStatus();
}

absl::Status Snapshot::sync(const std::string&) { return absl::OkStatus(); }

absl::Status Snapshot::remove(const std::string& name) {
  return absl::FailedPreconditionError(name + ": only looked at");
}

absl::StatusOr<Holdings> holdings_of(Snapshot snapshot) {
  Holdings out;
  out.moving = snapshot.moving();
  for (const auto& [name, text] : snapshot.files()) {
    out.file_bytes += text.size();
    const auto segment = storage::Store::segment_of(name);
    if (segment) {
      std::size_t good = 0;
      const std::size_t records = storage::Store::records(text, *segment, &good).size();
      out.segments.push_back({*segment, text.size(), records});
      if (good < text.size()) out.torn.push_back({name, good, text.size() - good});
    } else if (state_of(name).empty()) {
      out.unknown.push_back(name);
    } else if (name.find(".slot") != std::string::npos) {
      // The older slot may be one whose writing was cut short.
      const std::size_t good = common::parse_frames(text, 0).valid_size;
      if (good < text.size()) out.torn.push_back({name, good, text.size() - good});
    }
  }
  std::sort(out.segments.begin(), out.segments.end(),
            [](const Segment& a, const Segment& b) { return a.number < b.number; });
  out.has_acceptor = read_state(snapshot, "acceptor", out.acceptor);
  out.has_controller = read_state(snapshot, "control", out.controller);
  out.has_storage_node = read_state(snapshot, "storage", out.storage_node);
  out.torn.insert(out.torn.end(), snapshot.torn().begin(), snapshot.torn().end());
  storage::Store store(snapshot, static_cast<std::size_t>(-1));
  if (absl::Status s = store.open(TimePoint()); !s.ok()) return s;
  store.each_turn("", [&](const common::Turn& turn) {
    out.turns.push_back(turn);
    return true;
  });
  store.each_account("", [&](const common::Account& account) {
    out.accounts.push_back(account);
    return true;
  });
  out.turn_bytes = store.bytes();
  return out;
}

}  // namespace chutevane::ctl
