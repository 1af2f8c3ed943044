/// A Disk in memory with injected faults, for tests and the simulation. Deterministic.
///
/// It models the worst that the deployment allows of a real disk: at a loss of power each write since the
/// last sync is there, missing or torn by itself, a new file whose name was not synced may be gone, and a
/// removed file may come back. append(), truncate(), sync() and remove() count as one step each; a fault is
/// active for a range of steps, so that a test can run the same work once for every step and break it there.
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

/// What an injected fault does to the steps that it covers. Reading always works.
enum class DiskFault : std::uint8_t {
  /// Every step fails (Unavailable) and does nothing.
  no_power,
  /// An append writes half of its bytes and fails (ResourceExhausted), and no file can be created. Truncating
  /// and syncing an existing file work.
  full,
  /// A sync fails (DataLoss), and what it should have covered never reaches the disk, whatever is synced
  /// later.
  sync_drops_writes,
  /// A sync fails (DataLoss). What it should have covered may be durable or not, and a later sync covers it.
  sync_outcome_unknown,
};

/// Not thread-safe. Copies are independent, so that a test can try several losses of power from one state.
class MemoryDisk : public Disk {
 public:
  /// Above every number of a step.
  static constexpr auto no_step = static_cast<std::size_t>(-1);

  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

  /// Every step from number `step` on (0: the first one ever) fails as on a machine without power. `no_step`
  /// ends the fault without a loss of power: what a killed process leaves to the next.
  void lose_power_at(std::size_t step) { inject_fault(DiskFault::no_power, step, no_step); }
  /// Steps from `first` up to, and without, `end` meet `fault`. Replaces an earlier fault.
  void inject_fault(DiskFault fault, std::size_t first, std::size_t end) {
    fault_ = fault;
    fault_begin_ = first;
    fault_end_ = end;
  }
  /// Steps so far, failed ones included.
  std::size_t step_count() const { return step_count_; }
  /// Power goes and comes back; faults end. `seed` decides which of the writes that were not synced survive.
  void power_cycle(std::uint64_t seed);

 private:
  /// An append or a truncation that was not synced.
  struct Write {
    bool is_truncation = false;
    std::size_t size = 0;  // of the file, after a truncation
    std::string bytes;     // of an append
    bool dropped = false;  // by DiskFault::sync_drops_writes
  };
  /// What a loss of power has made of one write. The order of the enumerators is that of the random draw.
  enum class WriteOutcome : std::uint8_t { missing, torn, complete };
  /// A file, as it is read now and as far as it is durable.
  struct File {
    std::string durable;        // what survives for sure
    std::string current;        // what read() returns
    bool name_durable = false;  // the directory was synced since the file was created
    std::vector<Write> unsynced;
  };

  /// Counts a step; the fault that it meets, if any.
  std::optional<DiskFault> begin_step();
  /// Applies `writes` to `content`, each with its outcome. A missing append in the middle leaves zeros.
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
