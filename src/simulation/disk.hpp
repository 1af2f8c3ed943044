// The disk of a simulated machine. It outlives the processes that use it and has faults of its own.
#pragma once

#include <functional>
#include <memory>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/memory_disk.hpp"

namespace chutevane::simulation {

enum class DiskTrouble : std::uint8_t { none, failing, full };

// What a machine keeps while its processes come and go.
struct MachineDisk {
  explicit MachineDisk(std::uint64_t seed) : identities(seed) {}
  common::MemoryDisk contents;
  Pcg identities;  // the machine's source of random numbers
  DiskTrouble trouble = DiskTrouble::none;
  Span sync_takes;  // above zero: a slow disk, the process stands still so long at each sync
};

// The view that one process has of its machine's disk.
class DiskHandle final : public common::Disk {
 public:
  // `stand_still` stops the process for so long: its one thread waits for the disk.
  DiskHandle(std::shared_ptr<MachineDisk> disk, std::function<void(Span)> stand_still)
      : disk_(std::move(disk)), stand_still_(std::move(stand_still)) {}
  std::vector<std::string> list_files() override { return disk_->contents.list_files(); }
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;
  std::string generate_id() override;

 private:
  bool failing() const { return disk_->trouble == DiskTrouble::failing; }
  std::shared_ptr<MachineDisk> disk_;
  std::function<void(Span)> stand_still_;
};

}  // namespace chutevane::simulation
