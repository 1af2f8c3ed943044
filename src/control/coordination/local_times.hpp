/// Times at which this process first observed each grant of a lock and each put, by its own steady clock. No
/// I/O.
///
/// The replicated state contains no times, so that clocks of different machines are never compared. Instead,
/// each controller measures time by itself:
///
/// - *Expiry of a hold.* A holder measures its hold from the moment when it sent its call, and a controller
///   observes the grant after that moment. Once the granted time has passed on the controller's steady clock
///   since it observed the grant, the hold has expired for its holder too, whichever controller granted it,
///   and whether or not this one is the leader. Each grant has its own id: a renewal that this controller has
///   not observed yet is a different grant, whose time starts when it is observed. The same holds for a grant
///   that was read with one duration, never chosen, and executed again with another.
/// - *Age of a put.* A watcher that resumes received its revision from some controller at the time of the put
///   or later. A controller drops history only after it has known the put for `history_retention`. This
///   exceeds the time promised to watchers by more than a controller that serves watchers can lag behind. A
///   put that was read but never chosen may have had the same revision; it is a different put, and its time
///   does not count.
///
/// Everything in the state at the start of a process counts as known since the start, because it was granted
/// or put before.
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

/// Records when grants and puts were first observed. Not thread-safe.
class LocalTimes {
 public:
  /// `history_retention` is how long a put is kept after it was first observed here.
  explicit LocalTimes(Span history_retention) : history_retention_(history_retention) {}

  /// Records the grants and puts of a state, whether or not it is chosen yet. `now` must never decrease.
  void observe(const State& state, TimePoint now);

  /// Returns true if the hold has certainly expired. Returns false if the grant was not observed.
  bool has_expired(const std::string& name, const Lock& lock, TimePoint now) const;
  /// Returns the maximum time left of the hold. This is the whole hold if the grant was not observed.
  Span time_left(const std::string& name, const Lock& lock, TimePoint now) const;
  /// Returns the revision up to which the history of the group may be dropped; 0 if none.
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
    std::uint64_t put_hash = 0;  ///< hash of its key and value
    TimePoint since;
  };
  /// Returns true if the group has that put or has dropped it.
  static bool is_in_history(const KnownRevision& known, const KeyGroup& group);
  static bool is_grant(const KnownGrant& known, const Lock& lock);
  /// Returns when the newest grant of the lock was first observed, or std::nullopt if it was not.
  std::optional<TimePoint> known_since(const std::string& name, const Lock& lock) const;
  void observe_group(const std::string& prefix, const KeyGroup& group, TimePoint now);

  const Span history_retention_;
  std::map<std::string, KnownGrant> grants_;                    // by lock
  std::map<std::string, std::deque<KnownRevision>> revisions_;  // by group, in ascending order
};

}  // namespace chutevane::control::coordination
