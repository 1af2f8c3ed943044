/// A deterministic in-memory Disk with fault injection, for tests and the simulation.
///
/// It models the worst behaviour that is tolerated of a real disk: at a power failure each write since the
/// last sync is independently complete, missing or torn, a new file whose directory entry was not synced may
/// disappear, and a removed file may come back. append(), truncate(), sync() and remove() each count as one
/// step; a fault is active for a range of steps, so that a test can repeat the same work with a fault at
/// every step.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/disk.hpp"

namespace chutevane::common {

/// The effect of an injected fault on the steps that it covers. Reads always succeed.
enum class DiskFault : std::uint8_t {
  /// Every step fails (Unavailable) and has no effect.
  no_power,
  /// An append writes half of its bytes and fails (ResourceExhausted), and no file can be created. Existing
  /// files can be truncated and synced.
  full,
  /// A sync fails (DataLoss), and the writes that it should have covered are lost, even if a later sync
  /// succeeds.
  sync_drops_writes,
  /// A sync fails (DataLoss). The writes that it should have covered may or may not be durable, and a later
  /// sync covers them.
  sync_outcome_unknown,
};

/// Not thread-safe. Copies are independent, so that a test can try several power failures from one state.
class MemoryDisk : public Disk {
 public:
  /// Larger than the number of any step.
  static constexpr auto no_step = static_cast<std::size_t>(-1);

  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

  /// Makes every step from number `step` on fail with DiskFault::no_power; 0 is the first step of this disk.
  /// `no_step` ends the fault without losing unsynced writes, as after a process was killed.
  void lose_power_at(std::size_t step) { inject_fault(DiskFault::no_power, step, no_step); }
  /// Applies `fault` to the steps from `first` up to but not including `end`. Replaces an earlier fault.
  void inject_fault(DiskFault fault, std::size_t first, std::size_t end) {
    fault_ = fault;
    fault_begin_ = first;
    fault_end_ = end;
  }
  /// Returns the number of steps so far, including failed ones.
  std::size_t step_count() const { return step_count_; }
  /// Simulates a power failure and a restart, and ends all faults. `seed` determines which unsynced writes
  /// survive.
  void power_cycle(std::uint64_t seed);

 private:
  /// An append or a truncation that was not synced.
  struct Write {
    bool is_truncation = false;
    std::size_t size = 0;  // size of the file after a truncation
    std::string bytes;     // bytes of an append
    bool dropped = false;  // dropped by DiskFault::sync_drops_writes
  };
  /// The effect of a power failure on one write. The random draw depends on the order of the enumerators.
  enum class WriteOutcome : std::uint8_t { missing, torn, complete };
  /// The current and the durable content of a file.
  struct File {
    std::string durable;        // content that survives a power failure
    std::string current;        // content returned by read()
    bool name_durable = false;  // the directory has been synced since the file was created
    std::vector<Write> unsynced;
  };

  /// Counts a step and returns the fault that applies to it, if any.
  std::optional<DiskFault> begin_step();
  /// Applies `writes` to `content`, each with its outcome. A missing append before a surviving one leaves
  /// zeros.
  static std::string replay(std::string content, const std::vector<Write>& writes,
                            const std::function<WriteOutcome(const Write&)>& outcome_of);

  std::map<std::string, File> files_;
  std::map<std::string, std::string> removed_;  // durable content of files whose removal is not durable
  std::size_t step_count_ = 0;
  std::size_t fault_begin_ = no_step;
  std::size_t fault_end_ = no_step;
  DiskFault fault_ = DiskFault::no_power;
};

}  // namespace chutevane::common
