/// A small state that survives process crashes and power failures, stored as checkpoints in two alternating
/// slots and a write-ahead log of changes for each slot.
///
/// A state NAME has up to four files, which are never renamed or removed:
///
///   NAME.slot0, NAME.slot1   one frame each: number of the checkpoint (8 bytes), then the whole state
///   NAME.log0,  NAME.log1    one frame for each change since the checkpoint in the slot with the same digit
///
/// The number increases by one with each checkpoint. A new checkpoint is written to the slot that is not in
/// use, after that slot's log has been emptied and synced; it takes effect once its frame is synced. Until
/// then the other slot and its log are untouched, so at least one slot is complete at any time. recover()
/// takes the complete slot with the highest number, and the changes in its log. The frames of a log are
/// salted with the number of their checkpoint (common/record_framing.hpp): if a power failure undoes the
/// truncation of a log, its old frames are not mistaken for changes to the new checkpoint.
///
/// The effect of a failed operation on disk is unknown: the next recovery may see it or not, and both are
/// consistent. A change appended next could be hidden by a torn frame, or end up in the log of a checkpoint
/// that the recovery does not choose. Therefore only checkpoints may follow, to the slot that is not in use,
/// until one succeeds. It replaces a failed one there, and has a higher number than the slot in use.
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

/// Not thread-safe. Every call blocks until the disk has completed it.
class DurableState {
 public:
  /// `disk` must outlive this object. `name` is the prefix of the file names. is_log_full() returns true once
  /// the log is larger than `max_log_bytes`.
  DurableState(Disk& disk, std::string name, std::size_t max_log_bytes = default_max_log_bytes)
      : disk_(disk), name_(std::move(name)), max_log_bytes_(max_log_bytes) {}

  /// The result of a recovery.
  struct Recovered {
    std::string checkpoint;            ///< the state as passed to write_checkpoint()
    std::vector<std::string> changes;  ///< changes to apply to it, oldest first
  };
  /// Reads the newest state, and syncs it first: what an earlier process has written without a sync must not
  /// disappear after it has been reported to anyone. Truncates a damaged end of the log, which would
  /// otherwise hide later changes.
  ///
  /// Returns NotFound if no state was ever written, and DataLoss if there are slots but none is complete; a
  /// checkpoint may be written in both cases. Any other error comes from the disk: the newest state may be in
  /// the file that could not be read, so every write fails with FailedPrecondition until a recovery succeeds.
  [[nodiscard]] absl::StatusOr<Recovered> recover();

  /// Replaces the whole state. It is durable once this returns OK; after an error either the previous state
  /// or this one survives, never a mix.
  [[nodiscard]] absl::Status write_checkpoint(std::string_view state);
  /// Appends a change to the log of the newest checkpoint. It is durable once this returns OK. Returns
  /// FailedPrecondition if needs_checkpoint(). Callers must write a checkpoint once is_log_full().
  [[nodiscard]] absl::Status append_change(std::string_view change);

  /// Returns true if an operation has failed and no checkpoint has succeeded since.
  bool needs_checkpoint() const { return needs_checkpoint_; }
  bool is_log_full() const { return log_size_ > max_log_bytes_; }

  /// Returns the maximum total size in bytes of the four files, given the maximum sizes of a state and of a
  /// change.
  static constexpr std::size_t max_disk_bytes(std::size_t state, std::size_t change) {
    return 2 * (state + record_overhead) + 2 * (default_max_log_bytes + change + record_overhead);
  }

 private:
  /// Recovery reads a log of this size within some milliseconds.
  static constexpr std::size_t default_max_log_bytes = std::size_t{512} * 1024;
  static constexpr std::size_t number_bytes = sizeof(std::uint64_t);
  static constexpr std::size_t record_overhead = frame_header_bytes + number_bytes;

  /// The content of a slot.
  struct Checkpoint {
    int slot = 0;
    std::uint64_t number = 0;
    std::string state;
  };
  /// The result of reading both slots.
  struct SlotScan {
    std::optional<Checkpoint> newest;  // the newest complete checkpoint
    bool damaged = false;              // a slot is neither empty nor complete
  };
  absl::StatusOr<SlotScan> scan_slots();
  absl::Status sync_current_files();
  /// Returns the changes in the current log, and truncates its damaged end. Sets `log_size_`.
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
