/// Remembers which endpoints were lately reported as draining or gone.
///
/// Discovery may come back from a failure with an older list, in which they still serve. An endpoint that has
/// been told to drain does not take that back, so its last known state wins over an older list for a while.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"

namespace chutevane::sidecar {

class RecentRemovals {
 public:
  /// An entry of a list that is not stale.
  void record(const discovery::EndpointEntry& entry, TimePoint now) {
    if (entry.availability == Availability::ready) {
      removals_.erase(entry.id);
    } else if (removals_.size() < max_entries) {
      removals_[entry.id] = {entry.availability, entry.came_up, now};
    }
  }
  /// The availability to assume for an entry of a stale list.
  Availability availability_of(const discovery::EndpointEntry& entry) const {
    const auto found = removals_.find(entry.id);
    if (found == removals_.end()) return entry.availability;
    // A process that has started since is another one. Of an endpoint that is gone no start is stated.
    const Removal& removal = found->second;
    if (removal.availability == Availability::draining && removal.started_at != entry.came_up)
      return entry.availability;
    return removal.availability;
  }
  void expire(TimePoint now) {
    std::erase_if(removals_, [&](const auto& one) { return now - one.second.reported_at > retention; });
  }

 private:
  /// By then a drain is over, and a rollback of discovery too.
  static constexpr Span retention = Span::ms(60000);
  /// A release of several tiers at once; more are not remembered.
  static constexpr std::size_t max_entries = 4096;
  struct Removal {
    Availability availability = Availability::gone;
    TimePoint started_at;  // of the endpoint's process, as discovery states it
    TimePoint reported_at;
  };
  std::map<std::string, Removal> removals_;  // by discovery's ids
};

}  // namespace chutevane::sidecar
