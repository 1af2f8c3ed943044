#include "common/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

#include "common/invariant.hpp"

namespace chutevane::common {
namespace {

absl::Status error(const std::string& what) { return absl::ErrnoToStatus(errno, what); }

constexpr std::size_t frame_head = 16;           // bytes: size, checksum
constexpr std::size_t record_most = 64U << 20U;  // bytes

std::uint64_t sum(std::string_view bytes, std::uint64_t salt) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), salt);
}

}  // namespace

std::string Disk::generate_id() {
  std::ifstream random("/dev/urandom", std::ios::binary);
  std::uint64_t bits[2] = {};
  random.read(reinterpret_cast<char*>(bits), sizeof bits);
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(bits[0]),
                static_cast<unsigned long long>(bits[1]));
  return text;
}

FolderDisk::~FolderDisk() {
  for (const auto& [name, file] : files_) ::close(file.descriptor);
}

std::vector<std::string> FolderDisk::list_files() {
  std::vector<std::string> out;
  DIR* dir = ::opendir(folder_.c_str());
  if (dir == nullptr) return out;
  while (const dirent* entry = ::readdir(dir)) {
    if (entry->d_name[0] != '.') out.emplace_back(entry->d_name);
  }
  ::closedir(dir);
  return out;
}

absl::StatusOr<int> FolderDisk::open(const std::string& name, bool make) {
  const auto found = files_.find(name);
  if (found != files_.end()) return found->second.descriptor;
  const std::string path = folder_ + "/" + name;
  const int fd = ::open(path.c_str(), O_RDWR | O_CLOEXEC | (make ? O_CREAT : 0), 0644);
  if (fd < 0) return error(path);
  files_[name].descriptor = fd;
  return fd;
}

absl::StatusOr<std::string> FolderDisk::read(const std::string& name) {
  const absl::StatusOr<int> fd = open(name, false);
  if (!fd.ok()) return fd.status();
  struct stat info {};
  if (::fstat(*fd, &info) != 0) return error(name);
  std::string out(static_cast<std::size_t>(info.st_size), '\0');
  std::size_t at = 0;
  while (at < out.size()) {
    const ssize_t got = ::pread(*fd, out.data() + at, out.size() - at, static_cast<off_t>(at));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return error(name);
    if (got == 0) break;
    at += static_cast<std::size_t>(got);
  }
  out.resize(at);
  return out;
}

absl::Status FolderDisk::append(const std::string& name, std::string_view bytes) {
  const absl::StatusOr<int> fd = open(name, true);
  if (!fd.ok()) return fd.status();
  if (::lseek(*fd, 0, SEEK_END) < 0) return error(name);
  while (!bytes.empty()) {
    const ssize_t put = ::write(*fd, bytes.data(), bytes.size());
    if (put < 0 && errno == EINTR) continue;
    if (put < 0) return error(name);
    bytes.remove_prefix(static_cast<std::size_t>(put));
  }
  return absl::OkStatus();
}

absl::Status FolderDisk::truncate(const std::string& name, std::size_t size) {
  const absl::StatusOr<int> fd = open(name, true);
  if (!fd.ok()) return fd.status();
  return ::ftruncate(*fd, static_cast<off_t>(size)) == 0 ? absl::OkStatus() : error(name);
}

absl::Status FolderDisk::sync(const std::string& name) {
  const absl::StatusOr<int> fd = open(name, false);
  if (!fd.ok()) return fd.status();
  if (::fdatasync(*fd) != 0) return error(name);
  return files_[name].name_lasts ? absl::OkStatus() : sync_folder();
}

// Covers the names of all files that are there by now.
absl::Status FolderDisk::sync_folder() {
  const int fd = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return error(folder_);
  const absl::Status synced = ::fsync(fd) == 0 ? absl::OkStatus() : error(folder_);
  ::close(fd);
  if (!synced.ok()) return synced;
  for (auto& [name, file] : files_) file.name_lasts = true;
  return absl::OkStatus();
}

absl::Status FolderDisk::remove(const std::string& name) {
  const auto found = files_.find(name);
  if (found != files_.end()) {
    ::close(found->second.descriptor);
    files_.erase(found);
  }
  const std::string path = folder_ + "/" + name;
  return ::unlink(path.c_str()) == 0 || errno == ENOENT ? absl::OkStatus() : error(path);
}

std::vector<std::string> MemoryDisk::list_files() {
  std::vector<std::string> out;
  for (const auto& [name, file] : files_) out.push_back(name);
  return out;
}

absl::StatusOr<std::string> MemoryDisk::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  return found->second.now;
}

absl::Status MemoryDisk::append(const std::string& name, std::string_view bytes) {
  const bool no_power = meets(DiskFault::no_power), full = meets(DiskFault::full);
  ++steps_;
  if (no_power) return absl::UnavailableError("no power");
  if (full && !files_.contains(name)) return absl::ResourceExhaustedError(name);
  const std::string_view written = full ? bytes.substr(0, bytes.size() / 2) : bytes;
  File& file = files_[name];
  file.now.append(written);
  file.since.push_back({.is_cut = false, .size = 0, .bytes = std::string(written)});
  return full ? absl::ResourceExhaustedError(name) : absl::OkStatus();
}

absl::Status MemoryDisk::truncate(const std::string& name, std::size_t size) {
  const bool no_power = meets(DiskFault::no_power), full = meets(DiskFault::full);
  ++steps_;
  if (no_power) return absl::UnavailableError("no power");
  if (full && !files_.contains(name)) return absl::ResourceExhaustedError(name);
  File& file = files_[name];
  file.now.resize(size, '\0');
  file.since.push_back({.is_cut = true, .size = size, .bytes = {}});
  return absl::OkStatus();
}

absl::Status MemoryDisk::sync(const std::string& name) {
  const bool no_power = meets(DiskFault::no_power);
  const bool loses = meets(DiskFault::sync_loses), unsure = meets(DiskFault::sync_unsure);
  ++steps_;
  if (no_power) return absl::UnavailableError("no power");
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  File& file = found->second;
  if (loses) {
    for (Write& w : file.since) w.lost = true;
  }
  if (loses || unsure) return absl::DataLossError(name);
  file.synced = replayed(std::move(file.synced), file.since,
                         [](const Write& w) { return w.lost ? Fate::missing : Fate::whole; });
  if (!file.lasts) removed_.clear();  // the folder is synced for its name
  file.lasts = true;
  file.since.clear();
  return absl::OkStatus();
}

absl::Status MemoryDisk::remove(const std::string& name) {
  const bool no_power = meets(DiskFault::no_power);
  ++steps_;
  if (no_power) return absl::UnavailableError("no power");
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::OkStatus();
  if (found->second.lasts) removed_[name] = found->second.synced;
  files_.erase(found);
  return absl::OkStatus();
}

std::string MemoryDisk::replayed(std::string content, const std::vector<Write>& writes,
                                 const std::function<Fate(const Write&)>& fate_of) {
  std::size_t end = content.size();
  for (const Write& w : writes) {
    const Fate fate = fate_of(w);
    if (w.is_cut) {
      if (fate != Fate::missing) content.resize(w.size, '\0');
      end = w.size;
      continue;
    }
    // Missing in the middle leaves zeros before what came later.
    const std::size_t size = fate == Fate::missing ? 0
                             : fate == Fate::torn  ? w.bytes.size() / 2
                                                   : w.bytes.size();
    const std::string part = w.bytes.substr(0, size);
    if (!part.empty()) {
      if (content.size() < end) content.resize(end, '\0');
      content.replace(end, std::min(content.size() - end, part.size()), part);
    }
    end += w.bytes.size();
  }
  return content;
}

void MemoryDisk::power_cycle(std::uint64_t luck) {
  fail_from_ = works_from_ = never;
  const auto draw = [&] {
    luck = luck * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<Fate>((luck >> 33U) % 3);
  };
  for (auto it = files_.begin(); it != files_.end();) {
    File& file = it->second;
    if (!file.lasts && draw() == Fate::missing) {
      it = files_.erase(it);
      continue;
    }
    const std::string after = replayed(std::move(file.synced), file.since, [&](const Write& w) {
      const Fate fate = draw();
      return w.lost ? Fate::missing : fate;
    });
    file = {after, after, true, {}};
    ++it;
  }
  for (const auto& [name, content] : removed_) {
    if (!files_.contains(name) && draw() == Fate::missing) files_[name] = {content, content, true, {}};
  }
  removed_.clear();
}

std::string framed(std::string_view record, std::uint64_t salt) {
  std::string out(frame_head, '\0');
  const std::uint64_t size = record.size(), check = sum(record, salt ^ size);
  std::memcpy(out.data(), &size, 8);
  std::memcpy(out.data() + 8, &check, 8);
  out.append(record);
  return out;
}

std::vector<std::string> unframed(std::string_view file, std::uint64_t salt, std::size_t* good_size) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while (file.size() - at >= frame_head) {
    std::uint64_t size = 0, check = 0;
    std::memcpy(&size, file.data() + at, 8);
    std::memcpy(&check, file.data() + at + 8, 8);
    if (size > record_most || file.size() - at - frame_head < size) break;
    const std::string_view record = file.substr(at + frame_head, size);
    if (sum(record, salt ^ size) != check) break;
    out.emplace_back(record);
    at += frame_head + size;
  }
  if (good_size != nullptr) *good_size = at;
  return out;
}

absl::StatusOr<DurableState::Recovered> DurableState::recover() {
  Recovered out;
  unread_ = true;  // until it is read to its end
  current_ = 1;
  number_ = 0;
  log_size_ = 0;
  bool found = false, spoilt = false;
  for (int slot = 0; slot < 2; ++slot) {
    const absl::StatusOr<std::string> file_text = disk_.read(file("slot", slot));
    if (absl::IsNotFound(file_text.status())) continue;
    if (!file_text.ok()) return file_text.status();
    const std::vector<std::string> records = unframed(*file_text, 0);
    if (records.empty() || records[0].size() < 8) {
      spoilt = spoilt || !file_text->empty();
      continue;
    }
    std::uint64_t number = 0;
    std::memcpy(&number, records[0].data(), 8);
    if (found && number < number_) continue;
    found = true;
    number_ = number;
    current_ = slot;
    out.checkpoint = records[0].substr(8);
  }
  // Never a state that was told of: the first write of all had not come to its end.
  // What a process before left behind may be read from memory alone: it lasts before anything rests on it.
  if (found) {
    for (const char* kind : {"slot", "log"}) {
      const absl::Status s = disk_.sync(file(kind, current_));
      if (!s.ok() && !absl::IsNotFound(s)) return s;  // it may have no log
    }
  }
  if (!found) {
    unread_ = false;
    return spoilt ? absl::DataLossError(name_) : absl::NotFoundError(name_);
  }
  const std::string log = file("log", current_);
  const absl::StatusOr<std::string> text = disk_.read(log);
  if (!text.ok() && !absl::IsNotFound(text.status())) return text.status();
  if (text.ok()) {
    out.changes = unframed(*text, number_, &log_size_);
    // What is behind the last good record would hide what is appended next.
    if (text->size() > log_size_) {
      if (absl::Status s = disk_.truncate(log, log_size_); !s.ok()) return s;
      if (absl::Status s = disk_.sync(log); !s.ok()) return s;
    }
  }
  unread_ = false;
  return out;
}

absl::Status DurableState::write_checkpoint(std::string_view checkpoint) {
  if (unread_) return absl::FailedPreconditionError(name_ + ": what the disk holds could not be read");
  const int next = 1 - current_;
  std::string record(8, '\0');
  const std::uint64_t number = number_ + 1;
  std::memcpy(record.data(), &number, 8);
  record.append(checkpoint);
  const std::string slot = file("slot", next), log = file("log", next);
  needs_checkpoint_ = true;
  if (absl::Status s = disk_.truncate(log, 0); !s.ok()) return s;
  if (absl::Status s = disk_.sync(log); !s.ok()) return s;
  if (absl::Status s = disk_.truncate(slot, 0); !s.ok()) return s;
  if (absl::Status s = disk_.append(slot, framed(record, 0)); !s.ok()) return s;
  if (absl::Status s = disk_.sync(slot); !s.ok()) return s;
  needs_checkpoint_ = false;
  current_ = next;
  number_ = number;
  log_size_ = 0;
  return absl::OkStatus();
}

absl::Status DurableState::append_change(std::string_view change) {
  if (unread_) return absl::FailedPreconditionError(name_ + ": what the disk holds could not be read");
  if (needs_checkpoint_)
    return absl::FailedPreconditionError(name_ + ": a whole state has to be written first");
  const std::string log = file("log", current_);
  const std::string record = framed(change, number_);
  needs_checkpoint_ = true;
  if (absl::Status s = disk_.append(log, record); !s.ok()) return s;
  if (absl::Status s = disk_.sync(log); !s.ok()) return s;
  needs_checkpoint_ = false;
  // Whoever appends writes a whole state once the log is long: one change may come on top.
  check_invariant(Invariant::log_is_bounded, log_size_ <= log_most,
                  [&] { return log + " has " + std::to_string(log_size_) + " bytes before a change"; });
  log_size_ += record.size();
  return absl::OkStatus();
}

}  // namespace chutevane::common
