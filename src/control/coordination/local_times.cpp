/// Implements LocalTimes.
#include "control/coordination/local_times.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::control::coordination {
namespace {

/// Margin for the different rates of two machines' steady clocks: 1 ms per second, and at least 10 ms.
constexpr double clock_rate_margin = 0.001;
constexpr Span min_expiry_margin = Span::ms(10);

std::uint64_t hash_of(const PutEvent& put) {
  const std::uint64_t key_hash = XXH3_64bits(put.key.data(), put.key.size());
  return XXH3_64bits_withSeed(put.value.data(), put.value.size(), key_hash);
}

}  // namespace

void LocalTimes::observe(const State& state, TimePoint now) {
  for (const auto& [name, lock] : state.locks) {
    KnownGrant& known = grants_[name];
    if (!is_grant(known, lock)) known = {lock.grant_id, lock.grant_number, lock.holder, lock.hold_ms, now};
  }
  for (const auto& [prefix, group] : state.groups) observe_group(prefix, group, now);
}

// The revisions of a history have no gaps, so the position of a put follows from its revision.
bool LocalTimes::is_in_history(const KnownRevision& known, const KeyGroup& group) {
  if (known.revision > group.revision) return false;
  if (group.history.empty() || known.revision < group.history.front().revision) return true;
  const auto index = static_cast<std::size_t>(known.revision - group.history.front().revision);
  return index < group.history.size() && hash_of(group.history[index]) == known.put_hash;
}

void LocalTimes::observe_group(const std::string& prefix, const KeyGroup& group, TimePoint now) {
  std::deque<KnownRevision>& known = revisions_[prefix];
  while (!known.empty() && !is_in_history(known.back(), group)) known.pop_back();
  const bool is_new = known.empty() || known.back().revision < group.revision;
  if (is_new)
    known.push_back({group.revision, group.history.empty() ? 0 : hash_of(group.history.back()), now});
  const std::int64_t oldest = group.history.empty() ? group.revision : group.history.front().revision;
  while (known.size() > 1 && known.front().revision < oldest) known.pop_front();
}

bool LocalTimes::is_grant(const KnownGrant& known, const Lock& lock) {
  return known.id == lock.grant_id && known.number == lock.grant_number && known.holder == lock.holder &&
         known.hold_ms == lock.hold_ms;
}

std::optional<TimePoint> LocalTimes::known_since(const std::string& name, const Lock& lock) const {
  const auto found = grants_.find(name);
  const bool is_known = found != grants_.end() && is_grant(found->second, lock);
  return is_known ? std::optional(found->second.since) : std::nullopt;
}

bool LocalTimes::has_expired(const std::string& name, const Lock& lock, TimePoint now) const {
  const std::optional<TimePoint> since = known_since(name, lock);
  if (!since) return false;
  const Span hold = Span::ms(static_cast<double>(lock.hold_ms));
  const Span margin = std::max(min_expiry_margin, hold * clock_rate_margin);
  return now - *since > hold + margin;
}

Span LocalTimes::time_left(const std::string& name, const Lock& lock, TimePoint now) const {
  const Span hold = Span::ms(static_cast<double>(lock.hold_ms));
  const std::optional<TimePoint> since = known_since(name, lock);
  return since ? std::max(Span(), hold - (now - *since)) : hold;
}

std::int64_t LocalTimes::droppable_revision(const std::string& group, TimePoint now) const {
  const auto found = revisions_.find(group);
  if (found == revisions_.end()) return 0;
  std::int64_t out = 0;
  for (const KnownRevision& known : found->second) {
    if (now - known.since <= history_retention_) break;
    out = known.revision;
  }
  return out;
}

}  // namespace chutevane::control::coordination
