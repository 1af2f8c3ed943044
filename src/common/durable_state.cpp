/// Recovery, checkpoints and changes of a durable state. The header describes the protocol.
#include "common/durable_state.hpp"

#include <cstring>

#include "common/invariant.hpp"

namespace chutevane::common {

absl::StatusOr<DurableState::Recovered> DurableState::recover() {
  recovery_failed_ = true;  // until the end of this function
  current_slot_ = 1;
  number_ = 0;
  log_size_ = 0;
  absl::StatusOr<SlotScan> slots = scan_slots();
  if (!slots.ok()) return slots.status();
  if (!slots->newest) {
    recovery_failed_ = false;
    // A damaged slot without a complete one was either never in effect, or its loss exceeds the faults that
    // are tolerated.
    return slots->damaged ? absl::DataLossError(name_) : absl::NotFoundError(name_);
  }
  current_slot_ = slots->newest->slot;
  number_ = slots->newest->number;
  if (absl::Status s = sync_current_files(); !s.ok()) return s;
  absl::StatusOr<std::vector<std::string>> changes = read_log();
  if (!changes.ok()) return changes.status();
  recovery_failed_ = false;
  return Recovered{std::move(slots->newest->state), *std::move(changes)};
}

absl::StatusOr<DurableState::SlotScan> DurableState::scan_slots() {
  SlotScan out;
  for (int slot = 0; slot < 2; ++slot) {
    const absl::StatusOr<std::string> content = disk_.read(slot_file(slot));
    if (absl::IsNotFound(content.status())) continue;
    if (!content.ok()) return content.status();
    const std::vector<std::string> records = parse_frames(*content, 0).records;
    if (records.empty() || records[0].size() < number_bytes) {
      out.damaged = out.damaged || !content->empty();
      continue;
    }
    std::uint64_t number = 0;
    std::memcpy(&number, records[0].data(), number_bytes);
    if (out.newest && number < out.newest->number) continue;
    out.newest = Checkpoint{slot, number, records[0].substr(number_bytes)};
  }
  return out;
}

absl::Status DurableState::sync_current_files() {
  for (const std::string& file : {slot_file(current_slot_), log_file(current_slot_)}) {
    absl::Status synced = disk_.sync(file);
    if (!synced.ok() && !absl::IsNotFound(synced)) return synced;  // the log may not exist yet
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> DurableState::read_log() {
  const std::string log = log_file(current_slot_);
  const absl::StatusOr<std::string> content = disk_.read(log);
  if (absl::IsNotFound(content.status())) return std::vector<std::string>();
  if (!content.ok()) return content.status();
  ParsedFrames frames = parse_frames(*content, number_);
  log_size_ = frames.valid_size;
  if (content->size() > log_size_) {
    if (absl::Status s = disk_.truncate(log, log_size_); !s.ok()) return s;
    if (absl::Status s = disk_.sync(log); !s.ok()) return s;
  }
  return std::move(frames.records);
}

absl::Status DurableState::write_checkpoint(std::string_view state) {
  if (recovery_failed_) return absl::FailedPreconditionError(name_ + ": the stored state could not be read");
  const int slot = 1 - current_slot_;
  const std::uint64_t number = number_ + 1;
  needs_checkpoint_ = true;
  if (absl::Status s = write_slot(slot, number, state); !s.ok()) return s;
  needs_checkpoint_ = false;
  current_slot_ = slot;
  number_ = number;
  log_size_ = 0;
  return absl::OkStatus();
}

absl::Status DurableState::write_slot(int slot, std::uint64_t number, std::string_view state) {
  const std::string log = log_file(slot);
  // The log is emptied first: once the slot is complete, a recovery reads its log.
  if (absl::Status s = disk_.truncate(log, 0); !s.ok()) return s;
  if (absl::Status s = disk_.sync(log); !s.ok()) return s;
  const std::string file = slot_file(slot);
  std::string record(number_bytes, '\0');
  std::memcpy(record.data(), &number, number_bytes);
  record.append(state);
  if (absl::Status s = disk_.truncate(file, 0); !s.ok()) return s;
  if (absl::Status s = disk_.append(file, frame_record(record, 0)); !s.ok()) return s;
  return disk_.sync(file);
}

absl::Status DurableState::append_change(std::string_view change) {
  if (recovery_failed_) return absl::FailedPreconditionError(name_ + ": the stored state could not be read");
  if (needs_checkpoint_)
    return absl::FailedPreconditionError(
        name_ + ": a checkpoint must be written first, because the last operation failed");
  const std::string log = log_file(current_slot_);
  const std::string frame = frame_record(change, number_);
  needs_checkpoint_ = true;
  if (absl::Status s = disk_.append(log, frame); !s.ok()) return s;
  if (absl::Status s = disk_.sync(log); !s.ok()) return s;
  needs_checkpoint_ = false;
  // Callers write a checkpoint once the log is full, so only one change may exceed the limit.
  check_invariant(Invariant::log_is_bounded, log_size_ <= max_log_bytes_,
                  [&] { return log + " has " + std::to_string(log_size_) + " bytes before a change"; });
  log_size_ += frame.size();
  return absl::OkStatus();
}

}  // namespace chutevane::common
