/// Executes calls on the state of the coordination service. No I/O.
///
/// The result of a call depends on the state and on which holds have expired by the clock of the proposing
/// controller. The proposer computes it once, and the register agrees on the resulting state, so no other
/// controller evaluates the call again by its own clock.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "chutevane/types.hpp"
#include "control/coordination/call.hpp"
#include "control/coordination/local_times.hpp"
#include "control/coordination/state.hpp"

namespace chutevane::control::coordination {

/// Limits of the tables. A call that would exceed one is answered with `limit_reached`.
struct Limits {
  std::size_t max_names = 10'000;          ///< locks and numbers together, and keys of all groups
  std::size_t max_history_events = 5'000;  ///< of one group
};

/// The state of one proposal. A batch of calls is applied to it in order.
class StateMachine {
 public:
  /// `state` is the state to start from, and must have been observed by `times`. `times` must outlive this
  /// object.
  StateMachine(State state, const LocalTimes& times, TimePoint now, const Limits& limits = {});

  /// Executes one call. The answer is valid once the resulting state has been chosen.
  Answer apply(const Call& call);
  /// Drops history that watchers no longer need, but only of groups that apply() has changed, so that
  /// truncation alone never creates a new state.
  void truncate_history();

  /// Returns true if state() differs from the initial state.
  bool has_changed() const { return has_changed_; }
  const State& state() const { return state_; }

 private:
  Answer acquire_lock(const Call& call);
  static Answer repeated_acquisition(const Lock& lock, const Call& call);
  std::int64_t granted_ms(const Call& call, const Lock& lock) const;
  Answer renew_lock(const Call& call);
  Answer release_lock(const Call& call);
  Answer next_number(const Call& call);
  Answer put_key(const Call& call);
  /// Adds the put to its group and returns its revision.
  std::int64_t add_put(const std::string& prefix, const Call& call);
  Answer get_key(const Call& call) const;
  Answer get_group_revision(const Call& call) const;
  bool are_names_full() const;
  bool are_keys_full() const;
  bool is_history_full(const std::string& prefix, const KeyGroup& group) const;

  State state_;
  const LocalTimes& times_;
  const TimePoint now_;
  const Limits limits_;
  bool has_changed_ = false;
  std::set<std::string> changed_groups_;
};

}  // namespace chutevane::control::coordination
