/// A small state that survives crashes and losses of power: checkpoints in two alternating slots, and a log
/// of changes beside each.
///
/// A state NAME has up to four files, which are never renamed or removed:
///
///   NAME.slot0, NAME.slot1   one frame each: number of the checkpoint (8 bytes), then the whole state
///   NAME.log0,  NAME.log1    frames, a change each, since the checkpoint in the slot of the same digit
///
/// Numbers rise by one with each checkpoint. A new checkpoint goes into the slot that is not in use, after
/// the log beside it was emptied and synced; it is in force once its frame is synced. Until then the other
/// slot and its log are untouched, so at every moment at least one slot is complete. recover() takes the
/// complete slot with the highest number, and the changes in its log. Frames of a log are salted with the
/// number of their checkpoint (common/record_framing.hpp): if a loss of power undoes the truncation of a log,
/// its old frames are not mistaken for changes to the new checkpoint.
///
/// After an operation that failed it is not known what it has left on disk: the next recovery may see its
/// effect or not, both are consistent. A change appended behind such a remainder could be hidden by it, or
/// end up in the log of a checkpoint that a recovery does not choose. So only a checkpoint may follow, into
/// the same spare slot, until one succeeds. Its number is above everything that the failed operation can have
/// left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/disk.hpp"
#include "common/record_framing.hpp"

namespace chutevane::common {

/// Not thread-safe. Every call blocks until the disk has answered.
class DurableState {
 public:
  /// `disk` outlives this object. `name` begins the names of the files.
  /// `max_log_bytes`: a log above this size is full.
  DurableState(Disk& disk, std::string name, std::size_t max_log_bytes = default_max_log_bytes)
      : disk_(disk), name_(std::move(name)), max_log_bytes_(max_log_bytes) {}

  /// What a recovery has found.
  struct Recovered {
    std::string checkpoint;            ///< the state as it was written
    std::vector<std::string> changes;  ///< to apply to it, the oldest first
  };
  /// Reads the newest state, and syncs it first: what an earlier process has written without a sync must not
  /// vanish after somebody was told of it. Truncates a damaged end of the log, so that it does not hide what
  /// is appended.
  ///
  /// NotFound: no state was ever written. DataLoss: there are slots, and none is complete. After both, a
  /// checkpoint may be written. Any other error is the disk's: the newest state may be in the file that could
  /// not be read, so every write is refused (FailedPrecondition) until a recovery succeeds.
  [[nodiscard]] absl::StatusOr<Recovered> recover();

  /// Replaces the whole state. Durable once this returns OK; after an error the previous state or this one
  /// survives, never a mix.
  [[nodiscard]] absl::Status write_checkpoint(std::string_view state);
  /// Appends to the log of the newest checkpoint. Durable once this returns OK. FailedPrecondition while
  /// needs_checkpoint(). Callers write a checkpoint once is_log_full().
  [[nodiscard]] absl::Status append_change(std::string_view change);

  /// An operation has failed and no checkpoint has succeeded since.
  bool needs_checkpoint() const { return needs_checkpoint_; }
  bool is_log_full() const { return log_size_ > max_log_bytes_; }

  /// Bound on the bytes of all four files, where a state and a change have at most so many bytes each.
  static constexpr std::size_t max_disk_bytes(std::size_t state, std::size_t change) {
    return 2 * (state + record_overhead) + 2 * (default_max_log_bytes + change + record_overhead);
  }

 private:
  /// A log of this size is read again within some milliseconds.
  static constexpr std::size_t default_max_log_bytes = std::size_t{512} * 1024;
  static constexpr std::size_t number_bytes = sizeof(std::uint64_t);
  static constexpr std::size_t record_overhead = frame_header_bytes + number_bytes;

  /// The content of a slot.
  struct Checkpoint {
    int slot = 0;
    std::uint64_t number = 0;
    std::string state;
  };
  /// What the slots have: the newest complete one. `damaged`: a slot has content and is not complete.
  struct SlotScan {
    std::optional<Checkpoint> newest;
    bool damaged = false;
  };
  absl::StatusOr<SlotScan> scan_slots();
  absl::Status sync_current_files();
  /// Changes of the current log, whose damaged end is truncated. Sets `log_size_`.
  absl::StatusOr<std::vector<std::string>> read_log();
  absl::Status write_slot(int slot, std::uint64_t number, std::string_view state);

  std::string slot_file(int slot) const { return name_ + ".slot" + std::to_string(slot); }
  std::string log_file(int slot) const { return name_ + ".log" + std::to_string(slot); }

  Disk& disk_;
  const std::string name_;
  const std::size_t max_log_bytes_;
  int current_slot_ = 1;  // so that the first checkpoint goes to slot 0
  std::uint64_t number_ = 0;
  std::size_t log_size_ = 0;
  bool needs_checkpoint_ = false;
  bool recovery_failed_ = false;
};

}  // namespace chutevane::common
