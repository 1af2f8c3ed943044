/// Operators' changes that are chosen and wait until the members of this controller have them. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// A queue in the order of the values' numbers: a change is reported only after those before it.
class PendingAcknowledgements {
 public:
  using Callback = std::function<void()>;

  /// `number`: of the chosen value, rising from call to call. `callback` runs once it is acknowledged, at
  /// `deadline` at the latest; it does not run from within this call.
  void add(std::int64_t number, TimePoint deadline, Callback callback);

  /// Runs the callbacks that are due, the oldest first. To be called whenever a member has acknowledged, has
  /// gone, or a deadline has passed. `is_acknowledged(number)`: whether all members concerned have that
  /// value.
  void complete(TimePoint now, const std::function<bool(std::int64_t number)>& is_acknowledged);

 private:
  /// A change that waits.
  struct Pending {
    std::int64_t number = 0;
    TimePoint deadline;
    Callback callback;
  };
  std::deque<Pending> pending_;
};

}  // namespace chutevane::control
