/// The model of a disk: steps, faults and power failures.
#include "common/memory_disk.hpp"

#include <algorithm>

namespace chutevane::common {

std::optional<DiskFault> MemoryDisk::begin_step() {
  const std::size_t step = step_count_++;
  if (step < fault_begin_ || step >= fault_end_) return std::nullopt;
  return fault_;
}

std::vector<std::string> MemoryDisk::list_files() {
  std::vector<std::string> out;
  out.reserve(files_.size());
  for (const auto& [name, file] : files_) out.push_back(name);
  return out;
}

absl::StatusOr<std::string> MemoryDisk::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  return found->second.current;
}

absl::Status MemoryDisk::append(const std::string& name, std::string_view bytes) {
  const std::optional<DiskFault> fault = begin_step();
  if (fault == DiskFault::no_power) return absl::UnavailableError("no power");
  const bool full = fault == DiskFault::full;
  if (full && !files_.contains(name)) return absl::ResourceExhaustedError(name);
  const std::string_view written = full ? bytes.substr(0, bytes.size() / 2) : bytes;
  File& file = files_[name];
  file.current.append(written);
  file.unsynced.push_back({.is_truncation = false, .size = 0, .bytes = std::string(written)});
  return full ? absl::ResourceExhaustedError(name) : absl::OkStatus();
}

absl::Status MemoryDisk::truncate(const std::string& name, std::size_t size) {
  const std::optional<DiskFault> fault = begin_step();
  if (fault == DiskFault::no_power) return absl::UnavailableError("no power");
  if (fault == DiskFault::full && !files_.contains(name)) return absl::ResourceExhaustedError(name);
  File& file = files_[name];
  file.current.resize(size, '\0');
  file.unsynced.push_back({.is_truncation = true, .size = size, .bytes = {}});
  return absl::OkStatus();
}

absl::Status MemoryDisk::sync(const std::string& name) {
  const std::optional<DiskFault> fault = begin_step();
  if (fault == DiskFault::no_power) return absl::UnavailableError("no power");
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::NotFoundError(name);
  File& file = found->second;
  if (fault == DiskFault::sync_drops_writes) {
    for (Write& write : file.unsynced) write.dropped = true;
    return absl::DataLossError(name);
  }
  if (fault == DiskFault::sync_outcome_unknown) return absl::DataLossError(name);
  file.durable = replay(std::move(file.durable), file.unsynced, [](const Write& write) {
    return write.dropped ? WriteOutcome::missing : WriteOutcome::complete;
  });
  if (!file.name_durable) removed_.clear();  // syncing a new file also syncs the directory
  file.name_durable = true;
  file.unsynced.clear();
  return absl::OkStatus();
}

absl::Status MemoryDisk::remove(const std::string& name) {
  if (begin_step() == DiskFault::no_power) return absl::UnavailableError("no power");
  const auto found = files_.find(name);
  if (found == files_.end()) return absl::OkStatus();
  if (found->second.name_durable) removed_[name] = found->second.durable;
  files_.erase(found);
  return absl::OkStatus();
}

std::string MemoryDisk::replay(std::string content, const std::vector<Write>& writes,
                               const std::function<WriteOutcome(const Write&)>& outcome_of) {
  std::size_t end = content.size();  // size of the file if every write so far had been complete
  for (const Write& write : writes) {
    const WriteOutcome outcome = outcome_of(write);
    if (write.is_truncation) {
      if (outcome != WriteOutcome::missing) content.resize(write.size, '\0');
      end = write.size;
      continue;
    }
    std::size_t survivors = write.bytes.size();
    if (outcome == WriteOutcome::missing) survivors = 0;
    if (outcome == WriteOutcome::torn) survivors = write.bytes.size() / 2;
    if (survivors > 0) {
      const std::string part = write.bytes.substr(0, survivors);
      if (content.size() < end) content.resize(end, '\0');
      content.replace(end, std::min(content.size() - end, part.size()), part);
    }
    end += write.bytes.size();
  }
  return content;
}

void MemoryDisk::power_cycle(std::uint64_t seed) {
  fault_begin_ = fault_end_ = no_step;
  const auto draw = [&] {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<WriteOutcome>((seed >> 33U) % 3);
  };
  for (auto it = files_.begin(); it != files_.end();) {
    File& file = it->second;
    if (!file.name_durable && draw() == WriteOutcome::missing) {
      it = files_.erase(it);
      continue;
    }
    const std::string survived = replay(std::move(file.durable), file.unsynced, [&](const Write& write) {
      const WriteOutcome outcome = draw();
      return write.dropped ? WriteOutcome::missing : outcome;
    });
    file = {survived, survived, true, {}};
    ++it;
  }
  for (const auto& [name, content] : removed_) {
    if (!files_.contains(name) && draw() == WriteOutcome::missing)
      files_[name] = {content, content, true, {}};
  }
  removed_.clear();
}

}  // namespace chutevane::common
