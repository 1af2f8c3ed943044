/// When this process came to know each hold of a lock and each put, by its own steady clock. No I/O.
///
/// The replicated state names no time, so no clock of one machine is ever compared with another's. Each
/// controller measures by itself instead:
///
/// - *The end of a hold.* A holder counts its time from the moment at which it sent its call. A controller
///   comes to know the grant after that. So once the granted time has passed by the controller's steady
///   clock since it came to know the grant, the holder's own time has passed too, whichever controller
///   granted it, and whether or not this one is the leader. Each grant has an id of its own: a renewal that
///   this controller has not seen yet is another grant, whose time begins when it is seen. So is one that
///   was found for a time, never chosen, and carried out again for another time.
/// - *The age of a put.* A watcher that resumes got its revision from some controller at the time of the put
///   or later. History is dropped only by a controller that has known the put for `history_retention`, which
///   exceeds what watchers are promised by more than a controller that serves watchers can be behind. A put
///   that was found but never chosen may have had the same revision: it is another put, whose time does not
///   count.
///
/// What is in the state when a process starts counts as known since the start: it was granted, or put,
/// before.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "chutevane/types.hpp"
#include "control/coordination/state.hpp"

namespace chutevane::control::coordination {

class LocalTimes {
 public:
  /// `history_retention`: for how long a put is kept after it came to be known here.
  explicit LocalTimes(Span history_retention) : history_retention_(history_retention) {}

  /// The state has been seen, whether it is chosen yet or not. `now` never falls.
  void observe(const State& state, TimePoint now);

  /// Whether the holder's time has certainly passed. The lock must have been observed.
  bool has_expired(const std::string& name, const Lock& lock, TimePoint now) const;
  /// What is left at most of the holder's time. The lock must have been observed.
  Span time_left(const std::string& name, const Lock& lock, TimePoint now) const;
  /// Up to which revision the history of that group may be dropped; 0: none.
  std::int64_t droppable_revision(const std::string& group, TimePoint now) const;

 private:
  struct KnownGrant {
    std::uint64_t id = 0;
    std::int64_t number = 0;
    std::string holder;
    std::int64_t hold_ms = 0;
    TimePoint since;
  };
  struct KnownRevision {
    std::int64_t revision = 0;
    std::uint64_t put_hash = 0;  ///< of its key and value
    TimePoint since;
  };
  static bool is_in_history(const KnownRevision& known, const KeyGroup& group);
  static bool is_grant(const KnownGrant& known, const Lock& lock);
  /// Since when the newest grant of the lock is known. Nothing: it has not been observed.
  std::optional<TimePoint> known_since(const std::string& name, const Lock& lock) const;
  void observe_group(const std::string& prefix, const KeyGroup& group, TimePoint now);

  const Span history_retention_;
  std::map<std::string, KnownGrant> grants_;                    // by lock
  std::map<std::string, std::deque<KnownRevision>> revisions_;  // by group, rising
};

}  // namespace chutevane::control::coordination
