/// Implements ServedMapRecord: reads the record, and writes it with retries.
#include "storage/served_map_record.hpp"

#include <utility>

namespace chutevane::storage {
namespace {

constexpr Span write_retry_interval = Span::ms(100);

}  // namespace

absl::Status ServedMapRecord::recover(const std::string& disk_id) {
  const auto recovered = file_.recover();
  const bool none = absl::IsNotFound(recovered.status()) || absl::IsDataLoss(recovered.status());
  if (!recovered.ok() && !none) return recovered.status();
  const bool decoded = recovered.ok() && common::decode(recovered->checkpoint, record_);
  if (!decoded || record_.disk != disk_id) record_ = {disk_id, 0, false};
  return absl::OkStatus();
}

void ServedMapRecord::write(std::int64_t version, bool complete) {
  record_.map_version = version;
  record_.complete = complete;
  if (std::exchange(pending_, true)) return;  // the pending retry writes the new record
  write_now();
}

void ServedMapRecord::write_now() {
  if (file_.write_checkpoint(common::encoded(record_)).ok()) {
    pending_ = false;
    return;
  }
  timers_.after(write_retry_interval, [this] { write_now(); });
}

}  // namespace chutevane::storage
