/// Operators' changes that have been chosen and await acknowledgement by the members of this controller. No
/// I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// A queue in the order of the values' numbers. A change is reported only after all changes before it.
class PendingAcknowledgements {
 public:
  using Callback = std::function<void()>;

  /// Adds a change. `number`: number of the chosen value, which must not fall from call to call. `callback`
  /// runs from complete() once the value is acknowledged or `deadline` has passed; not from within this call.
  void add(std::int64_t number, TimePoint deadline, Callback callback);

  /// Runs the callbacks that are due, the oldest first. Must be called whenever a member has acknowledged a
  /// value or closed its session, and when a deadline has passed. `is_acknowledged(number)`: returns true if
  /// all members concerned have the value of that number.
  void complete(TimePoint now, const std::function<bool(std::int64_t number)>& is_acknowledged);

 private:
  /// A change that awaits acknowledgement.
  struct Pending {
    std::int64_t number = 0;
    TimePoint deadline;
    Callback callback;
  };
  std::deque<Pending> pending_;
};

}  // namespace chutevane::control
