/// Implements StateMachine.
#include "control/coordination/state_machine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::control::coordination {
namespace {

/// Returns the revision of an earlier put of the same value to the same key, or 0 if the group has none.
std::int64_t earlier_revision(const KeyGroup& group, const Call& call) {
  const auto current = group.keys.find(call.name);
  if (current != group.keys.end() && current->second.value == call.value) return current->second.revision;
  const auto earlier = std::find_if(group.history.begin(), group.history.end(), [&](const PutEvent& event) {
    return event.key == call.name && event.value == call.value;
  });
  return earlier == group.history.end() ? 0 : earlier->revision;
}

}  // namespace

StateMachine::StateMachine(State state, const LocalTimes& times, TimePoint now, const Limits& limits)
    : state_(std::move(state)), times_(times), now_(now), limits_(limits) {}

Answer StateMachine::apply(const Call& call) {
  switch (call.operation) {
    case Operation::acquire_lock: return acquire_lock(call);
    case Operation::renew_lock: return renew_lock(call);
    case Operation::release_lock: return release_lock(call);
    case Operation::next_number: return next_number(call);
    case Operation::put_key: return put_key(call);
    case Operation::get_key: return get_key(call);
    case Operation::get_group_revision: return get_group_revision(call);
  }
  return {Outcome::unavailable, 0, ""};
}

bool StateMachine::are_names_full() const {
  return state_.locks.size() + state_.numbers.size() >= limits_.max_names;
}

bool StateMachine::are_keys_full() const {
  std::size_t keys = 0;
  for (const auto& [prefix, group] : state_.groups) keys += group.keys.size();
  return keys >= limits_.max_names;
}

/// Each acquisition gets a new fencing token, also one by the current holder, because a late release or
/// renewal of an earlier hold must not affect the new one. If the same call is executed again, it keeps its
/// token, and does not acquire the lock again if its hold was released in the meantime.
Answer StateMachine::acquire_lock(const Call& call) {
  const auto found = state_.locks.find(call.name);
  if (found == state_.locks.end() && are_names_full()) return {Outcome::limit_reached, 0, ""};
  if (found != state_.locks.end() && found->second.acquire_id == call.id)
    return repeated_acquisition(found->second, call);
  if (found != state_.locks.end() && !found->second.holder.empty()) {
    const Lock& held = found->second;
    const bool is_known_expired = call.expired_grant_number != 0 &&
                                  held.grant_number == call.expired_grant_number &&
                                  held.grant_id == call.expired_grant_id;
    const bool has_expired = is_known_expired || times_.has_expired(call.name, held, now_);
    const bool is_free = held.holder == call.holder || has_expired;
    if (!is_free) return {Outcome::held_by_other, 0, ""};
  }
  Lock& lock = state_.locks[call.name];
  lock.hold_ms = granted_ms(call, lock);
  lock.holder = call.holder;
  ++lock.fence;
  lock.grant_id = lock.acquire_id = call.id;
  ++lock.grant_number;
  has_changed_ = true;
  return {Outcome::done, lock.fence, ""};
}

/// Returns for how long the call is granted the lock from now on. This is never less than what is left of the
/// caller's earlier hold: if the answer is lost, the caller relies on the earlier hold.
std::int64_t StateMachine::granted_ms(const Call& call, const Lock& lock) const {
  const bool is_holder = lock.holder == call.holder;
  const Span left = is_holder ? times_.time_left(call.name, lock, now_) : Span();
  return static_cast<std::int64_t>(std::ceil(std::max(call.hold, left).as_ms()));
}

/// Returns the answer to a call that has already acquired the lock. The call changes nothing.
Answer StateMachine::repeated_acquisition(const Lock& lock, const Call& call) {
  if (lock.holder != call.holder) return {Outcome::held_by_other, 0, ""};
  return {Outcome::done, lock.fence, ""};
}

/// An expired hold is not renewed, even if the lock was not acquired by another holder yet: its holder
/// already considers it lost, and would block others without using the lock.
Answer StateMachine::renew_lock(const Call& call) {
  const auto found = state_.locks.find(call.name);
  if (found == state_.locks.end()) return {Outcome::held_by_other, 0, ""};
  Lock& lock = found->second;
  if (lock.holder != call.holder || lock.fence != call.fence) return {Outcome::held_by_other, 0, ""};
  if (lock.grant_id == call.id) return {Outcome::done, lock.fence, ""};
  if (times_.has_expired(call.name, lock, now_)) return {Outcome::held_by_other, 0, ""};
  lock.hold_ms = granted_ms(call, lock);
  lock.grant_id = call.id;
  ++lock.grant_number;
  has_changed_ = true;
  return {Outcome::done, lock.fence, ""};
}

Answer StateMachine::release_lock(const Call& call) {
  const auto found = state_.locks.find(call.name);
  if (found == state_.locks.end()) return {Outcome::done, 0, ""};
  Lock& lock = found->second;
  if (lock.holder != call.holder || lock.fence != call.fence) return {Outcome::done, 0, ""};
  lock.holder.clear();
  lock.grant_id = call.id;
  ++lock.grant_number;
  has_changed_ = true;
  return {Outcome::done, 0, ""};
}

Answer StateMachine::next_number(const Call& call) {
  const auto found = state_.numbers.find(call.name);
  if (found == state_.numbers.end() && are_names_full()) return {Outcome::limit_reached, 0, ""};
  const std::int64_t number = ++state_.numbers[call.name];
  has_changed_ = true;
  return {Outcome::done, number, ""};
}

/// If the history has a put of the same value to the same key, the call is a repetition. Its answer is the
/// revision of the first put, although the key may have got a newer value.
Answer StateMachine::put_key(const Call& call) {
  const std::optional<std::string> prefix = group_of(call.name);
  if (!prefix) return {Outcome::not_found, 0, ""};
  static const KeyGroup no_group;
  const auto found = state_.groups.find(*prefix);
  const KeyGroup& group = found == state_.groups.end() ? no_group : found->second;
  if (const std::int64_t earlier = earlier_revision(group, call); earlier != 0)
    return {Outcome::done, earlier, ""};
  const auto current = group.keys.find(call.name);
  const bool is_new_key = current == group.keys.end();
  const std::int64_t revision = is_new_key ? 0 : current->second.revision;
  if (call.applies_to != any_revision && revision != call.applies_to)
    return {Outcome::revision_mismatch, revision, ""};
  if (is_history_full(*prefix, group) || (is_new_key && are_keys_full()))
    return {Outcome::limit_reached, 0, ""};
  return {Outcome::done, add_put(*prefix, call), ""};
}

/// Puts that may be dropped do not count, because the next put drops them.
bool StateMachine::is_history_full(const std::string& prefix, const KeyGroup& group) const {
  if (group.history.size() < limits_.max_history_events) return false;
  return group.history.front().revision > times_.droppable_revision(prefix, now_);
}

std::int64_t StateMachine::add_put(const std::string& prefix, const Call& call) {
  KeyGroup& group = state_.groups[prefix];
  ++group.revision;
  group.keys[call.name] = {call.value, group.revision};
  group.history.push_back({call.name, call.value, group.revision});
  changed_groups_.insert(prefix);
  has_changed_ = true;
  return group.revision;
}

Answer StateMachine::get_key(const Call& call) const {
  const std::optional<std::string> prefix = group_of(call.name);
  if (!prefix) return {Outcome::not_found, 0, ""};
  const auto group = state_.groups.find(*prefix);
  if (group == state_.groups.end()) return {Outcome::not_found, 0, ""};
  const auto found = group->second.keys.find(call.name);
  if (found == group->second.keys.end()) return {Outcome::not_found, 0, ""};
  return {Outcome::done, found->second.revision, found->second.value};
}

Answer StateMachine::get_group_revision(const Call& call) const {
  const auto group = state_.groups.find(call.name);
  return {Outcome::done, group == state_.groups.end() ? 0 : group->second.revision, ""};
}

void StateMachine::truncate_history() {
  for (const std::string& prefix : changed_groups_) {
    KeyGroup& group = state_.groups[prefix];
    const std::int64_t droppable = times_.droppable_revision(prefix, now_);
    while (!group.history.empty() && group.history.front().revision <= droppable) group.history.pop_front();
  }
}

}  // namespace chutevane::control::coordination
