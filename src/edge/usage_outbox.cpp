/// UsageOutbox: insertion and expiry of messages.
#include "edge/usage_outbox.hpp"

namespace chutevane::edge {

void UsageOutbox::add(const common::CommitUsage& message, TimePoint now) {
  drop_expired(now);
  if (entries_.size() == max_retained_usages) entries_.pop_front();
  entries_.push_back({message, now});
}

std::vector<common::CommitUsage> UsageOutbox::recent(TimePoint now) {
  drop_expired(now);
  std::vector<common::CommitUsage> out;
  out.reserve(entries_.size());
  for (const Entry& entry : entries_) out.push_back(entry.message);
  return out;
}

void UsageOutbox::drop_expired(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().added_at > usage_retention) entries_.pop_front();
}

}  // namespace chutevane::edge
