/// POSIX implementation of Disk. The header describes the contract.
#include "common/posix_disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace chutevane::common {
namespace {

absl::Status errno_status(const std::string& path) { return absl::ErrnoToStatus(errno, path); }

}  // namespace

PosixDisk::~PosixDisk() {
  for (const auto& [name, file] : files_) ::close(file.descriptor);
}

std::vector<std::string> PosixDisk::list_files() {
  std::vector<std::string> out;
  DIR* const directory = ::opendir(directory_.c_str());
  if (directory == nullptr) return out;
  while (const dirent* const entry = ::readdir(directory)) {
    if (entry->d_name[0] != '.') out.emplace_back(entry->d_name);
  }
  ::closedir(directory);
  return out;
}

absl::StatusOr<int> PosixDisk::open(const std::string& name, OpenMode mode) {
  const auto found = files_.find(name);
  if (found != files_.end()) return found->second.descriptor;
  const std::string path = directory_ + "/" + name;
  const int create = mode == OpenMode::create ? O_CREAT : 0;
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC | create, 0644);
  if (descriptor < 0) return errno_status(path);
  files_[name].descriptor = descriptor;
  return descriptor;
}

absl::StatusOr<std::string> PosixDisk::read(const std::string& name) {
  const absl::StatusOr<int> descriptor = open(name, OpenMode::existing);
  if (!descriptor.ok()) return descriptor.status();
  struct stat info {};
  if (::fstat(*descriptor, &info) != 0) return errno_status(name);
  std::string out(static_cast<std::size_t>(info.st_size), '\0');
  std::size_t offset = 0;
  while (offset < out.size()) {
    const ssize_t count =
        ::pread(*descriptor, out.data() + offset, out.size() - offset, static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno_status(name);
    if (count == 0) break;
    offset += static_cast<std::size_t>(count);
  }
  out.resize(offset);
  return out;
}

absl::Status PosixDisk::append(const std::string& name, std::string_view bytes) {
  const absl::StatusOr<int> descriptor = open(name, OpenMode::create);
  if (!descriptor.ok()) return descriptor.status();
  if (::lseek(*descriptor, 0, SEEK_END) < 0) return errno_status(name);
  while (!bytes.empty()) {
    const ssize_t count = ::write(*descriptor, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno_status(name);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return absl::OkStatus();
}

absl::Status PosixDisk::truncate(const std::string& name, std::size_t size) {
  const absl::StatusOr<int> descriptor = open(name, OpenMode::create);
  if (!descriptor.ok()) return descriptor.status();
  return ::ftruncate(*descriptor, static_cast<off_t>(size)) == 0 ? absl::OkStatus() : errno_status(name);
}

absl::Status PosixDisk::sync(const std::string& name) {
  const absl::StatusOr<int> descriptor = open(name, OpenMode::existing);
  if (!descriptor.ok()) return descriptor.status();
  if (::fdatasync(*descriptor) != 0) return errno_status(name);
  return files_[name].name_durable ? absl::OkStatus() : sync_directory();
}

absl::Status PosixDisk::sync_directory() {
  const int descriptor = ::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return errno_status(directory_);
  absl::Status synced = ::fsync(descriptor) == 0 ? absl::OkStatus() : errno_status(directory_);
  ::close(descriptor);
  if (!synced.ok()) return synced;
  for (auto& [name, file] : files_) file.name_durable = true;
  return absl::OkStatus();
}

absl::Status PosixDisk::remove(const std::string& name) {
  const auto found = files_.find(name);
  if (found != files_.end()) {
    ::close(found->second.descriptor);
    files_.erase(found);
  }
  const std::string path = directory_ + "/" + name;
  return ::unlink(path.c_str()) == 0 || errno == ENOENT ? absl::OkStatus() : errno_status(path);
}

}  // namespace chutevane::common
