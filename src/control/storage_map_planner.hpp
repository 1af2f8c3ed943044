/// Plans the map of storage nodes: which nodes hold the replicas of turns and accounts. No I/O.
///
/// The leader of the role `roster` calls plan() with each tick and submits the result as a change of the
/// register. A node of the map is `bootstrapping` until it has taken over what is its own, `draining` while
/// the others take over from it, and `disk_replaced` where its disk replaced one whose replicas are still
/// missing. A node that was removed while its replicas were needed stays on the list of `absent` nodes until
/// the others have made up for them (common/storage_map.hpp, docs/state.md).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/absence_tracker.hpp"

namespace chutevane::control {

/// A storage node that was out of contact for longer is removed from the map: as long as an acceptor's
/// replacement may take, since a node that was only restarted comes back with its disk.
constexpr Span storage_node_absence_timeout = Span::ms(4000);
/// ... where more nodes are left without it than bear the losses.
constexpr Span surplus_node_absence_timeout = Span::ms(1500);
/// ... where a node joined within `successor_window`: it may be the successor of the absent one, and the next
/// loss may come when the successor has had its time.
constexpr Span succeeded_node_absence_timeout = Span::ms(800);
constexpr Span successor_window = Span::ms(30000);

/// An absent disk is not waited for any more after this time, where turns are not retained for longer: what
/// it holds has expired by then. Accounts live as long.
constexpr Span min_replica_expiry = Span::ms(180000);

/// Plans from what it is given; it remembers only who was present when, and when a node last joined.
class StorageMapPlanner {
 public:
  /// `losses`: storage nodes that may be lost at once.
  explicit StorageMapPlanner(std::size_t losses) : losses_(losses) {}

  /// The longest retention of turns in the configuration: a disk that was absent for longer holds nothing
  /// that anybody may still ask for.
  void set_longest_retention(Span retention) {
    replica_expiry_ = retention > min_replica_expiry ? retention : min_replica_expiry;
  }
  /// Starts to watch anew; to be called when this controller becomes the leader.
  void restart() {
    absence_.clear();
    last_join_.reset();
  }

  /// The value with the next map, or nothing where the current one should stay. To be called regularly, as it
  /// notes who is present. `members`: all members in contact with any controller.
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
