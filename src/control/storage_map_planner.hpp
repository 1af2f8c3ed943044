/// Plans the map of storage nodes, which determines the nodes that hold the replicas of turns and accounts.
/// No I/O.
///
/// The leader of the role `roster` calls plan() with each tick and submits the result as a change of the
/// register. A node of the map is `bootstrapping` from when it is added, or is no longer draining, until it
/// has taken over the replicas assigned to it, `draining` while the others take over from it, and
/// `disk_replaced` if its disk replaced one whose replicas are still missing. A node that was removed while
/// its replicas were needed stays on the list of `absent` nodes until the others have rebuilt them
/// (common/storage_map.hpp, docs/state.md).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/absence_tracker.hpp"

namespace chutevane::control {

/// A storage node that is out of contact for longer is removed from the map. The timeout is as long as the
/// replacement of an acceptor may take, because a node that is only restarted returns with its disk.
constexpr Span storage_node_absence_timeout = Span::ms(4000);
/// The timeout for a node if, without it, more nodes are left than are needed to tolerate the losses.
constexpr Span surplus_node_absence_timeout = Span::ms(1500);
/// The timeout if any node joined within the last `successor_window`. It may replace the absent node,
/// and the next loss may follow as soon as the successor has had its time to catch up.
constexpr Span succeeded_node_absence_timeout = Span::ms(800);
constexpr Span successor_window = Span::ms(30000);

/// Minimum time for which the map waits for the replicas on an absent disk. After that time they have
/// expired, unless turns are retained for longer. Accounts have the same lifetime.
constexpr Span min_replica_expiry = Span::ms(180000);

/// Plans the next map from the arguments of plan(). Its only state is when each node was last present and
/// when a node last joined.
class StorageMapPlanner {
 public:
  /// `losses`: number of storage nodes that may be lost at the same time.
  explicit StorageMapPlanner(std::size_t losses) : losses_(losses) {}

  /// Sets the longest retention of turns in the configuration. A disk that was absent for longer holds
  /// nothing that may still be requested.
  void set_longest_retention(Span retention) {
    replica_expiry_ = retention > min_replica_expiry ? retention : min_replica_expiry;
  }
  /// Discards recorded absences and joins. Must be called when this controller becomes the leader.
  void restart() {
    absence_.clear();
    last_join_.reset();
  }

  /// Returns the value with the next map, or std::nullopt if the current one should stay. Must be called
  /// regularly, as it records who is present. `members`: all members in contact with any controller.
  std::optional<common::RegisterValue> plan(const common::RegisterValue& current,
                                            const std::vector<common::Member>& members, TimePoint now);

 private:
  bool update_nodes(common::RegisterValue& value, const std::vector<common::Member>& live, TimePoint now);
  bool remove_absent_nodes(common::RegisterValue& value, const std::vector<common::Member>& live,
                           TimePoint now);
  bool drop_expired_replicas(common::RegisterValue& value, const std::vector<common::Member>& live,
                             TimePoint now);
  bool has_expired(const char* what, const common::StorageNode& node, bool is_present, TimePoint now);
  Span absence_timeout(std::size_t staying, TimePoint now) const;

  const std::size_t losses_;
  AbsenceTracker absence_;
  std::optional<TimePoint> last_join_;  // when a node last joined the map
  Span replica_expiry_ = min_replica_expiry;
};

}  // namespace chutevane::control
