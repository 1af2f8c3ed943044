/// Remembers when peers were last present, to tell a brief absence from a loss. No I/O.
#pragma once

#include <map>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// By keys of the caller, such as a name and a disk. Keys stay known until clear().
class AbsenceTracker {
 public:
  /// Records whether `key` is present now. Returns whether it has been absent for longer than `timeout`; a
  /// key that is met for the first time counts as present until now.
  bool update(const std::string& key, bool is_present, Span timeout, TimePoint now) {
    const auto [last_present, is_new] = last_present_.emplace(key, now);
    if (is_present) last_present->second = now;
    return now - last_present->second > timeout;
  }
  /// Forgets all: what was missed before counts against nobody.
  void clear() { last_present_.clear(); }

 private:
  std::map<std::string, TimePoint> last_present_;
};

}  // namespace chutevane::control
