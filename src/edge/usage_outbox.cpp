#include "edge/usage_outbox.hpp"

namespace chutevane::edge {

void UsageOutbox::add(const common::CommitUsage& message, TimePoint now) {
  drop_expired(now);
  if (kept_.size() == max_kept_usages) kept_.pop_front();
  kept_.push_back({message, now});
}

std::vector<common::CommitUsage> UsageOutbox::recent(TimePoint now) {
  drop_expired(now);
  std::vector<common::CommitUsage> out;
  out.reserve(kept_.size());
  for (const Kept& kept : kept_) out.push_back(kept.message);
  return out;
}

void UsageOutbox::drop_expired(TimePoint now) {
  while (!kept_.empty() && now - kept_.front().added_at > usage_retention) kept_.pop_front();
}

}  // namespace chutevane::edge
