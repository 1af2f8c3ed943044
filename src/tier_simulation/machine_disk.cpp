#include "tier_simulation/machine_disk.hpp"

#include <cstdio>

namespace chutevane::tier_simulation {
namespace {

absl::Status io_error(const std::string& name) {
  return absl::UnavailableError(name + ": input/output error");
}

}  // namespace

absl::StatusOr<std::string> DiskHandle::read(const std::string& name) {
  if (failing()) return io_error(name);
  return disk_->contents.read(name);
}

// A full disk takes half of what is written, so that the write is torn.
absl::Status DiskHandle::append(const std::string& name, std::string_view bytes) {
  if (failing()) return io_error(name);
  if (disk_->fault == DiskFault::full) {
    if (absl::Status s = disk_->contents.append(name, bytes.substr(0, bytes.size() / 2)); !s.ok()) return s;
    return absl::ResourceExhaustedError(name + ": no space left on device");
  }
  return disk_->contents.append(name, bytes);
}

absl::Status DiskHandle::truncate(const std::string& name, std::size_t size) {
  if (failing()) return io_error(name);
  return disk_->contents.truncate(name, size);
}

absl::Status DiskHandle::sync(const std::string& name) {
  if (failing()) return io_error(name);
  if (disk_->sync_duration > Span()) block_process_(disk_->sync_duration);
  return disk_->contents.sync(name);
}

absl::Status DiskHandle::remove(const std::string& name) {
  if (failing()) return io_error(name);
  return disk_->contents.remove(name);
}

std::string DiskHandle::generate_id() {
  char text[33];
  std::snprintf(text, sizeof text, "%08x%08x%08x%08x", disk_->id_generator.next(), disk_->id_generator.next(),
                disk_->id_generator.next(), disk_->id_generator.next());
  return text;
}

}  // namespace chutevane::tier_simulation
