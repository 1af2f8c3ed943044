#include "tier_simulation/coordination_checker.hpp"

#include <algorithm>
#include <utility>

namespace chutevane::tier_simulation {
namespace {

std::string group_of(const std::string& key) { return key.substr(0, key.find('.') + 1); }

bool is_rejected(const CoordinationChecker::Put& put) {
  const bool is_refused = put.attempts > 0 && put.refused_attempts == put.attempts;
  return put.has_mismatch || (is_refused && !put.is_acknowledged);
}

std::string describe(const CoordinationChecker::Put& put) {
  return put.key + " = " + put.value + " (appliesTo " + std::to_string(put.applies_to) + ")";
}

}  // namespace

CoordinationChecker::CoordinationChecker(Span history,
                                         std::function<void(const std::string&, const std::string&)> report)
    : history_(history), report_(std::move(report)) {}

// ---- Locks

CoordinationChecker::LockCall CoordinationChecker::begin_lock_call(const std::string& lock,
                                                                   const std::string& holder, TimePoint now,
                                                                   Span hold) {
  return {lock, holder, now, hold, locks_[lock].newest_fence};
}

bool CoordinationChecker::record_grant(const LockCall& call, std::int64_t fence, TimePoint now) {
  LockHistory& lock = locks_[call.lock];
  const std::string text = call.lock + ": " + call.holder + " is given fence " + std::to_string(fence);
  if (fence <= call.min_fence)
    report_("coordination-one", text + ", " + std::to_string(call.min_fence) + " was given before it asked");
  const auto [given, is_new] = lock.holders.try_emplace(fence, call.holder);
  if (!is_new) report_("coordination-one", text + ", which " + given->second + " has");
  lock.newest_fence = std::max(lock.newest_fence, fence);
  const TimePoint until = call.sent + call.hold;
  if (until <= now) return false;
  check_other_holders(call, now);
  lock.holds[call.holder] = {fence, until};
  return true;
}

bool CoordinationChecker::record_renewal(const LockCall& call, std::int64_t fence, TimePoint now) {
  LockHistory& lock = locks_[call.lock];
  if (fence < call.min_fence)
    report_("coordination-one", call.lock + ": " + call.holder + " renews fence " + std::to_string(fence) +
                                    " after " + std::to_string(call.min_fence) + " was given");
  const auto hold = lock.holds.find(call.holder);
  if (hold == lock.holds.end() || hold->second.fence != fence) return false;
  if (hold->second.until <= now) {
    lock.holds.erase(hold);
    return false;
  }
  check_other_holders(call, now);
  hold->second.until = call.sent + call.hold;
  return true;
}

void CoordinationChecker::check_other_holders(const LockCall& call, TimePoint now) {
  for (const auto& [holder, hold] : locks_[call.lock].holds) {
    if (holder == call.holder || hold.until <= now) continue;
    report_("coordination-one", call.lock + ": " + call.holder + " and " + holder + " hold it at once");
  }
}

void CoordinationChecker::end_hold(const std::string& lock, const std::string& holder) {
  locks_[lock].holds.erase(holder);
}

// ---- Numbers

CoordinationChecker::NumberCall CoordinationChecker::begin_number(const std::string& name) const {
  const auto found = numbers_.find(name);
  return {name, found == numbers_.end() ? 0 : found->second.newest};
}

void CoordinationChecker::record_number(const NumberCall& call, std::int64_t number) {
  NumberHistory& history = numbers_[call.name];
  const std::string text = call.name + ": " + std::to_string(number);
  if (number <= call.newest)
    report_("coordination-order", text + " after " + std::to_string(call.newest) + " was given");
  if (!history.given.insert(number).second) report_("coordination-order", text + " is given twice");
  history.newest = std::max(history.newest, number);
}

// ---- Keys

CoordinationChecker::Put& CoordinationChecker::begin_put(const std::string& key, const std::string& value,
                                                         std::int64_t applies_to) {
  std::unique_ptr<Put>& put = puts_[value];
  put = std::make_unique<Put>();
  put->key = key;
  put->value = value;
  put->applies_to = applies_to;
  put->min_revision = newest_revision(group_of(key));
  return *put;
}

CoordinationChecker::Reading CoordinationChecker::begin_read(const std::string& key) const {
  Reading out{key, 0, 0};
  const auto group = groups_.find(group_of(key));
  if (group == groups_.end()) return out;
  out.group_revision = group->second.newest;
  const auto seen = group->second.revisions.find(key);
  if (seen != group->second.revisions.end()) out.key_revision = *seen->second.rbegin();
  return out;
}

CoordinationChecker::Reading CoordinationChecker::begin_attempt(Put& put) const {
  ++put.attempts;
  return begin_read(put.key);
}

void CoordinationChecker::record_put(Put& put, std::int64_t revision) {
  put.is_acknowledged = true;
  bind(put.key, put.value, revision);
}

void CoordinationChecker::record_mismatch(Put& put, const Reading& reading, std::int64_t revision) {
  put.has_mismatch = true;
  if (revision < reading.key_revision || revision == put.applies_to)
    report_(stale_rule_, describe(put) + ": 412 names " + std::to_string(revision) + ", the key had " +
                             std::to_string(reading.key_revision));
  GroupHistory& group = groups_[group_of(put.key)];
  group.newest = std::max(group.newest, revision);
  group.reads.push_back({reading, revision, true});
}

void CoordinationChecker::record_read(const Reading& reading, std::int64_t revision,
                                      const std::string& value) {
  if (revision > 0) bind(reading.key, value, revision);
  if (revision < reading.key_revision)
    report_(stale_rule_, reading.key + " is read at " + std::to_string(revision) + " after " +
                             std::to_string(reading.key_revision) + " was seen");
  groups_[group_of(reading.key)].reads.push_back({reading, revision, false});
}

/// A value was seen under a revision.
void CoordinationChecker::bind(const std::string& key, const std::string& value, std::int64_t revision) {
  const std::string text = key + " has " + value + " at " + std::to_string(revision);
  const auto found = puts_.find(value);
  if (found == puts_.end() || found->second->key != key)
    return report_("coordination-mixed", text + ", which nobody put there");
  Put& put = *found->second;
  if (put.revision != 0 && put.revision != revision)
    report_("coordination-mixed", text + ", before it was at " + std::to_string(put.revision));
  if (revision <= put.min_revision)
    report_("coordination-order",
            text + ", put after " + std::to_string(put.min_revision) + " was seen in its group");
  put.revision = revision;
  GroupHistory& group = groups_[group_of(key)];
  const auto [other, is_new] = group.puts.try_emplace(revision, &put);
  if (!is_new && other->second != &put)
    report_("coordination-order", text + ", which " + describe(*other->second) + " has as well");
  group.revisions[key].insert(revision);
  group.newest = std::max(group.newest, revision);
}

// ---- Watches

CoordinationChecker::Watch CoordinationChecker::begin_watch(const std::string& group, std::int64_t after,
                                                            TimePoint got_at) const {
  return {group, after, got_at, newest_revision(group)};
}

void CoordinationChecker::record_watch(const Watch& watch, const std::vector<Event>& events,
                                       std::int64_t revision) {
  const std::string text = "watch of " + watch.group + " after " + std::to_string(watch.after);
  if (watch.after == 0) {
    if (revision < watch.newest)
      report_(stale_rule_, text + ": revision " + std::to_string(revision) + ", " +
                               std::to_string(watch.newest) + " was seen");
  } else if (revision < watch.after) {
    report_("coordination-order", text + " goes back to " + std::to_string(revision));
  }
  WatchedSpan span{watch.after, watch.after == 0 ? 0 : revision, {}};
  std::int64_t last = watch.after;
  for (const Event& event : events) {
    if (event.revision <= last || event.revision > revision)
      report_("coordination-order", text + ": event " + std::to_string(event.revision) + " behind " +
                                        std::to_string(last) + ", up to " + std::to_string(revision));
    last = event.revision;
    span.revisions.insert(event.revision);
    bind(event.key, event.value, event.revision);
  }
  GroupHistory& group = groups_[watch.group];
  group.newest = std::max(group.newest, revision);
  group.watched.push_back(std::move(span));
}

void CoordinationChecker::record_gone(const Watch& watch, TimePoint now) {
  const Span age = now - watch.got_at;
  if (age >= history_) return;
  report_("coordination-lost", "watch of " + watch.group + ": 410 for " + std::to_string(watch.after) +
                                   ", got " + std::to_string(age.as_ms()) + " ms before");
}

std::int64_t CoordinationChecker::newest_revision(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.newest;
}

// ---- At the end

void CoordinationChecker::finish() {
  for (const auto& [name, group] : groups_) {
    for (const SeenRead& read : group.reads) check_read(group, read);
    check_watched(name, group);
  }
  for (const auto& [value, put] : puts_) {
    if (put->revision != 0) check_put(groups_[group_of(put->key)], *put);
  }
}

void CoordinationChecker::check_put(const GroupHistory& group, const Put& put) {
  if (is_rejected(put)) report_("coordination-refused", describe(put) + " was rejected, and is shown");
  if (put.applies_to < 0) return;
  const std::set<std::int64_t>& revisions = group.revisions.at(put.key);
  const auto next = revisions.upper_bound(put.applies_to);
  if (next != revisions.end() && *next < put.revision)
    report_("coordination-order", describe(put) + " at " + std::to_string(put.revision) + " succeeds over " +
                                      std::to_string(*next));
}

void CoordinationChecker::check_read(const GroupHistory& group, const SeenRead& read) {
  const std::string& key = read.reading.key;
  const auto put = group.puts.find(read.revision);
  if (read.is_mismatch && read.revision > 0) {
    const bool is_of_key = put != group.puts.end() ? put->second->key == key : has_open_put(key);
    if (!is_of_key)
      report_("coordination-mixed",
              key + ": 412 names " + std::to_string(read.revision) + ", which no put gave the key");
  }
  const auto revisions = group.revisions.find(key);
  if (revisions == group.revisions.end()) return;
  const auto next = revisions->second.upper_bound(read.revision);
  if (next != revisions->second.end() && *next <= read.reading.group_revision)
    report_("coordination-stale", key + " is at " + std::to_string(read.revision) + " though " +
                                      std::to_string(read.reading.group_revision) +
                                      " of its group was seen, and it had " + std::to_string(*next));
}

void CoordinationChecker::check_watched(const std::string& name, const GroupHistory& group) {
  for (const WatchedSpan& span : group.watched) {
    for (auto put = group.puts.upper_bound(span.after); put != group.puts.end() && put->first <= span.until;
         ++put) {
      if (span.revisions.contains(put->first)) continue;
      report_("coordination-order", "watch of " + name + " after " + std::to_string(span.after) + " up to " +
                                        std::to_string(span.until) + " skips " + std::to_string(put->first));
    }
  }
}

/// Whether a put to the key may have taken effect without having been seen.
bool CoordinationChecker::has_open_put(const std::string& key) const {
  return std::any_of(puts_.begin(), puts_.end(), [&](const auto& entry) {
    const Put& put = *entry.second;
    return put.key == key && put.revision == 0 && !is_rejected(put);
  });
}

}  // namespace chutevane::tier_simulation
