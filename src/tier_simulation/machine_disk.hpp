/// \file
/// The disk of a simulated machine, which outlives its processes and has faults of its own.
#pragma once

#include <functional>
#include <memory>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/memory_disk.hpp"

namespace chutevane::tier_simulation {

enum class DiskFault : std::uint8_t { none, failing, full };

/// What a machine keeps across incarnations of its process.
struct MachineDisk {
  explicit MachineDisk(std::uint64_t seed) : id_generator(seed) {}
  common::MemoryDisk contents;
  Pcg id_generator;  ///< the machine's source of random numbers
  DiskFault fault = DiskFault::none;
  Span sync_duration;  ///< above zero: a slow disk that blocks the process at each sync
};

/// The disk as one incarnation sees it.
class DiskHandle final : public common::Disk {
 public:
  /// `block_process` stops the process for the given time, since its one thread waits for the disk.
  DiskHandle(std::shared_ptr<MachineDisk> disk, std::function<void(Span)> block_process)
      : disk_(std::move(disk)), block_process_(std::move(block_process)) {}
  std::vector<std::string> list_files() override { return disk_->contents.list_files(); }
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;
  std::string generate_id() override;

 private:
  bool failing() const { return disk_->fault == DiskFault::failing; }
  std::shared_ptr<MachineDisk> disk_;
  std::function<void(Span)> block_process_;
};

}  // namespace chutevane::tier_simulation
