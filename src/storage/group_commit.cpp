/// Implements GroupCommit and its retries.
#include "storage/group_commit.hpp"

namespace chutevane::storage {
namespace {

constexpr Span commit_retry_interval = Span::ms(100);

}  // namespace

void GroupCommit::after_commit(std::function<void()> done) {
  waiting_.push_back(std::move(done));
  if (scheduled_) return;
  scheduled_ = true;
  timers_.after(Span(), [this] { commit(); });
}

void GroupCommit::commit() {
  const bool was_healthy = disk_health_.is_healthy();
  const TimePoint began = timers_.now();
  const absl::Status committed = store_.commit(began);
  ++commit_count_;
  commit_time_ = commit_time_ + (timers_.now() - began);
  if (!disk_health_.record_outcome(committed)) {
    if (was_healthy) on_health_change_(true);
    timers_.after(commit_retry_interval, [this] { commit(); });
    return;
  }
  if (!was_healthy) on_health_change_(false);
  scheduled_ = false;
  std::vector<std::function<void()>> done;
  done.swap(waiting_);
  for (const auto& callback : done) callback();
}

}  // namespace chutevane::storage
