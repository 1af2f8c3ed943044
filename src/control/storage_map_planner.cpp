#include "control/storage_map_planner.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "common/storage_map.hpp"
#include "control/replica_count.hpp"
#include "control/retirement.hpp"

namespace chutevane::control {
namespace {

using common::Member;
using common::RegisterValue;
using common::RetiredNode;
using common::StorageNode;

const Member* find_storage_member(const std::vector<Member>& live, const std::string& node) {
  const auto found = std::find_if(live.begin(), live.end(), [&](const Member& member) {
    return member.plane == "storage" && member.node == node;
  });
  return found == live.end() ? nullptr : &*found;
}

std::string key_of(const char* what, const StorageNode& node) { return what + node.node + " " + node.disk; }

/// Adds a member that is not in the map. An earlier request to retire it remains in force, even if the node
/// was gone in between. If the node is on the list of absent nodes, it returns with its replicas, or its disk
/// counts as replaced. Returns true if the member was added.
bool add_node(RegisterValue& value, const Member& member) {
  const RetiredNode* const retirement = find_retirement(value, member.node);
  if (member.draining || (retirement != nullptr && retirement->completed)) return false;
  StorageNode node;
  node.node = member.node;
  node.disk = member.disk;
  node.address = member.address;
  node.zone = member.zone;
  node.draining = retirement != nullptr;
  node.bootstrapping = true;
  const auto absent = std::find_if(value.absent_nodes.begin(), value.absent_nodes.end(),
                                   [&](const StorageNode& other) { return other.node == member.node; });
  if (absent != value.absent_nodes.end()) {
    node.disk_replaced = absent->disk_replaced || absent->disk != member.disk;
    value.absent_nodes.erase(absent);
  }
  value.storage_nodes.push_back(std::move(node));
  return true;
}

/// Updates the disk and the address of a node in the map. Returns true if they have changed. The zone stays,
/// as the replica groups depend on it: a node whose zone has changed is drained first.
bool update_identity(StorageNode& node, const Member& member) {
  if (node.disk == member.disk && node.address == member.address) return false;
  // The replicas were lost with the former disk, and the nodes that take over must know of that loss.
  node.disk_replaced = node.disk_replaced || node.disk != member.disk;
  node.disk = member.disk;
  node.address = member.address;
  return true;
}

/// Marks a node as draining if it is to be retired, if it got SIGTERM and its disk may be lost with it, or if
/// it has to join again in another zone, so that the others take over first. Clears the mark if the node was
/// only restarted: it is bootstrapping then, because it has missed what was stored meanwhile. Returns true if
/// the mark has changed.
bool update_draining(RegisterValue& value, StorageNode& node, const Member& member, std::size_t losses) {
  const bool is_retiring = find_retirement(value, node.node) != nullptr;
  const bool enough_stay = staying_node_count(value, node.node) >= replicas_for(losses);
  const bool is_leaving = member.draining || member.zone != node.zone;
  const bool draining = is_retiring || (is_leaving && enough_stay);
  if (draining == node.draining) return false;
  node.draining = draining;
  node.bootstrapping = node.bootstrapping || !draining;
  return true;
}

/// Returns true if the node has taken over all replicas that this map assigns to it, on the disk that the map
/// names.
bool is_complete(const RegisterValue& value, const StorageNode& node, const std::vector<Member>& live) {
  const Member* const member = find_storage_member(live, node.node);
  return member != nullptr && member->disk == node.disk && member->complete_map_version >= value.map_version;
}

/// Returns true if all nodes that are not draining are complete. They then have all that the draining ones
/// hold.
bool are_staying_complete(const RegisterValue& value, const std::vector<Member>& live) {
  return std::all_of(value.storage_nodes.begin(), value.storage_nodes.end(), [&](const StorageNode& node) {
    return node.draining || is_complete(value, node, live);
  });
}

/// Clears marks and absent nodes whose replicas have been rebuilt. Once all staying nodes are complete, every
/// replica group has all of its turns. Before that, a replaced disk counts as rebuilt once its own node is
/// complete, and only if no absent node's replicas are needed and no node is bootstrapping or draining.
/// Returns true if the change warrants a new map.
bool clear_repaired(RegisterValue& value, const std::vector<Member>& live) {
  const std::size_t missing_before = common::missing_replicas(value);
  if (are_staying_complete(value, live)) {
    value.absent_nodes.clear();
    for (StorageNode& node : value.storage_nodes) node.disk_replaced = node.bootstrapping = false;
    return missing_before > 0;
  }
  if (!value.absent_nodes.empty()) return false;
  for (StorageNode& node : value.storage_nodes)
    node.bootstrapping = node.bootstrapping && !is_complete(value, node, live);
  const bool is_moving =
      std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                  [](const StorageNode& node) { return node.bootstrapping || node.draining; });
  if (is_moving) return false;
  for (StorageNode& node : value.storage_nodes)
    node.disk_replaced = node.disk_replaced && !is_complete(value, node, live);
  return common::missing_replicas(value) < missing_before;
}

/// Removes the first draining node, and marks a request to retire it as completed. Returns false if no node
/// is draining.
bool remove_drained_node(RegisterValue& value) {
  const auto found = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [](const StorageNode& node) { return node.draining; });
  if (found == value.storage_nodes.end()) return false;
  for (RetiredNode& retired : value.retired_nodes)
    retired.completed = retired.completed || retired.node == found->node;
  value.storage_nodes.erase(found);
  return true;
}

/// Returns the members whose disk works. A member whose disk fails stores nothing and counts as absent.
std::vector<Member> with_working_disk(const std::vector<Member>& members) {
  std::vector<Member> out;
  std::copy_if(members.begin(), members.end(), std::back_inserter(out),
               [](const Member& member) { return !member.disk_failing; });
  return out;
}

}  // namespace

/// Returns the timeout for an absent node. It is shorter if the node is not needed, since its replica groups
/// get one reply fewer until it is removed.
Span StorageMapPlanner::absence_timeout(std::size_t staying, TimePoint now) const {
  if (last_join_ && now - *last_join_ < successor_window) return succeeded_node_absence_timeout;
  return staying > replicas_for(losses_) ? surplus_node_absence_timeout : storage_node_absence_timeout;
}

/// Adds new members and updates known ones. Returns true if the map has changed.
bool StorageMapPlanner::update_nodes(RegisterValue& value, const std::vector<Member>& live, TimePoint now) {
  bool has_changed = false;
  for (const Member& member : live) {
    if (member.plane != "storage") continue;
    const auto known = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                    [&](const StorageNode& node) { return node.node == member.node; });
    if (known == value.storage_nodes.end()) {
      if (!add_node(value, member)) continue;
      last_join_ = now;
      has_changed = true;
    } else {
      has_changed |= update_identity(*known, member);
      has_changed |= update_draining(value, *known, member, losses_);
    }
  }
  return has_changed;
}

/// Moves nodes that were out of contact for longer than their timeout to the list of absent nodes. Returns
/// true if the map has changed.
///
/// An absent node may return with the only replicas that are left, or never return. It is removed only if the
/// other nodes can rebuild its replicas without it, that is, if no more disks are lost, absent or out of
/// contact than `losses`. It stays on the list until they have done so, as its replicas may be needed if
/// another disk is lost in the meantime.
bool StorageMapPlanner::remove_absent_nodes(RegisterValue& value, const std::vector<Member>& live,
                                            TimePoint now) {
  const auto is_silent = [&](const StorageNode& node) {
    return find_storage_member(live, node.node) == nullptr;
  };
  std::vector<StorageNode> overdue;
  for (const StorageNode& node : value.storage_nodes) {
    const Span timeout = absence_timeout(staying_node_count(value, node.node), now);
    if (absence_.update(key_of("storage_node ", node), !is_silent(node), timeout, now))
      overdue.push_back(node);
  }
  bool has_changed = false;
  for (const StorageNode& node : overdue) {
    const auto silent_count = static_cast<std::size_t>(
        std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(), is_silent));
    if (common::missing_replicas(value) + silent_count > losses_) break;
    if (staying_node_count(value, node.node) < replicas_for(losses_)) continue;
    std::erase_if(value.storage_nodes, [&](const StorageNode& other) { return other.node == node.node; });
    value.absent_nodes.push_back(node);
    has_changed = true;
  }
  return has_changed;
}

bool StorageMapPlanner::has_expired(const char* what, const StorageNode& node, bool is_present,
                                    TimePoint now) {
  return absence_.update(key_of(what, node), is_present, replica_expiry_, now);
}

/// Stops waiting for replicas that have expired: those of absent nodes, of replaced disks, and of nodes that
/// have been out of contact for that long. Returns true if the map has changed.
bool StorageMapPlanner::drop_expired_replicas(RegisterValue& value, const std::vector<Member>& live,
                                              TimePoint now) {
  bool has_changed = std::erase_if(value.absent_nodes, [&](const StorageNode& node) {
                       return has_expired("absent ", node, false, now);
                     }) > 0;
  for (std::size_t i = 0; i < value.storage_nodes.size();) {
    StorageNode& node = value.storage_nodes[i];
    const bool was_replaced = node.disk_replaced;
    node.disk_replaced = node.disk_replaced && !has_expired("lost disk ", node, false, now);
    has_changed |= was_replaced != node.disk_replaced;
    const bool is_present = find_storage_member(live, node.node) != nullptr;
    const bool is_overdue = has_expired("away ", node, is_present, now);
    if (is_overdue && staying_node_count(value, node.node) >= replicas_for(losses_)) {
      value.storage_nodes.erase(value.storage_nodes.begin() + static_cast<std::ptrdiff_t>(i));
      has_changed = true;
    } else {
      ++i;
    }
  }
  return has_changed;
}

std::optional<RegisterValue> StorageMapPlanner::plan(const RegisterValue& current,
                                                     const std::vector<Member>& members, TimePoint now) {
  const std::vector<Member> live = with_working_disk(members);
  RegisterValue next = current;
  bool has_changed = clear_repaired(next, live);
  has_changed |= update_nodes(next, live, now);
  has_changed |= remove_absent_nodes(next, live, now);
  has_changed |= drop_expired_replicas(next, live, now);
  if (!has_changed) has_changed = are_staying_complete(next, live) && remove_drained_node(next);
  if (!has_changed) return std::nullopt;
  ++next.map_version;
  return next;
}

}  // namespace chutevane::control
