/// Records when each key was last present, so that a brief absence is not taken for a loss. No I/O.
#pragma once

#include <map>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// Tracks presence by keys that the caller chooses, such as a node name and a disk. Keys are kept until
/// clear().
class AbsenceTracker {
 public:
  /// Records whether `key` is present now. Returns true if it has been absent for longer than `timeout`. A
  /// new key counts as present until now.
  bool update(const std::string& key, bool is_present, Span timeout, TimePoint now) {
    const auto [last_present, is_new] = last_present_.emplace(key, now);
    if (is_present) last_present->second = now;
    return now - last_present->second > timeout;
  }
  /// Removes all keys, so that no earlier absence counts.
  void clear() { last_present_.clear(); }

 private:
  std::map<std::string, TimePoint> last_present_;
};

}  // namespace chutevane::control
