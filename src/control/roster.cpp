#include "control/roster.hpp"

#include <algorithm>
#include <iterator>

#include "common/storage_map.hpp"

namespace chutevane::control {

using common::Acceptor;
using common::Member;
using common::RegisterValue;
using common::StorageNode;

bool Roster::lost(const std::string& key, bool seen, Span after, TimePoint now) {
  const auto [at, fresh] = last_seen_.emplace(key, now);
  if (seen) at->second = now;
  return now - at->second > after;
}

std::optional<std::vector<Acceptor>> Roster::acceptors(const RegisterValue& chosen,
                                                       const std::vector<LiveController>& live,
                                                       TimePoint now) {
  std::vector<Acceptor> next = chosen.acceptors;
  const auto is = [](const Acceptor& a, const LiveController& c) {
    return a.address == c.address && (a.disk == c.disk || (a.disk.empty() && c.first));
  };
  std::vector<LiveController> free;
  for (const LiveController& c : live) {
    if (c.ready && std::none_of(next.begin(), next.end(), [&](const Acceptor& a) { return is(a, c); }))
      free.push_back(c);
  }
  bool changed = false;
  const auto take = [&](Acceptor& place, std::size_t which) {
    place = {free[which].address, free[which].disk};
    free.erase(free.begin() + static_cast<std::ptrdiff_t>(which));
    changed = true;
  };
  const auto here = [&](const Acceptor& a) {
    return std::any_of(live.begin(), live.end(), [&](const LiveController& c) { return is(a, c); });
  };
  // The same machine with another disk: what its place promised is lost for good.
  for (Acceptor& a : next) {
    const auto again = std::find_if(free.begin(), free.end(),
                                    [&](const LiveController& c) { return c.address == a.address; });
    if (!here(a) && again != free.end()) take(a, static_cast<std::size_t>(again - free.begin()));
  }
  // Only then others, and none whose address has a place: it would count as two.
  const auto other = [&] {
    return std::find_if(free.begin(), free.end(), [&](const LiveController& c) {
      return std::none_of(next.begin(), next.end(),
                          [&](const Acceptor& a) { return a.address == c.address; });
    });
  };
  // One that leaves may take its disk with it: its place is another's before it goes, not after.
  const auto leaves = [&](const Acceptor& a) {
    return std::any_of(live.begin(), live.end(),
                       [&](const LiveController& c) { return is(a, c) && !c.ready; });
  };
  for (Acceptor& a : next) {
    const bool gone = lost("acceptor " + a.address + " " + a.disk, here(a), acceptor_lost_after, now);
    const bool replace = leaves(a) || (gone && !here(a));
    if (replace && other() != free.end()) take(a, static_cast<std::size_t>(other() - free.begin()));
  }
  while (next.size() < copies_for(losses_) && other() != free.end()) {
    const auto which = static_cast<std::size_t>(other() - free.begin());
    next.emplace_back();
    take(next.back(), which);
  }
  // An even number bears no more losses than one fewer.
  if (changed && next.size() > 1 && next.size() % 2 == 0 && next.size() < copies_for(losses_)) {
    next.pop_back();
    if (next == chosen.acceptors) changed = false;
  }
  // Names the disks of the first set, which is known by its addresses alone.
  if (!changed) return std::nullopt;
  for (Acceptor& a : next) {
    for (const LiveController& c : live) {
      if (a.disk.empty() && is(a, c)) a.disk = c.disk;
    }
  }
  return next;
}

namespace {

bool stays(const StorageNode& c) { return !c.draining; }

std::size_t staying_without(const RegisterValue& value, const std::string& node) {
  return static_cast<std::size_t>(
      std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                    [&](const StorageNode& c) { return stays(c) && c.node != node; }));
}

const Member* storage_member(const std::vector<Member>& live, const std::string& node) {
  const auto found = std::find_if(live.begin(), live.end(),
                                  [&](const Member& m) { return m.plane == "storage" && m.node == node; });
  return found == live.end() ? nullptr : &*found;
}

const common::RetiredNode* order_to_empty(const RegisterValue& value, const std::string& node) {
  const auto found = std::find_if(value.retired_nodes.begin(), value.retired_nodes.end(),
                                  [&](const common::RetiredNode& r) { return r.node == node; });
  return found == value.retired_nodes.end() ? nullptr : &*found;
}

// One that the map does not name comes in. An order to empty it stands, also where it was gone in between.
// Where it was given up and its copies are still needed, it brings them back, or has lost them.
bool join(RegisterValue& value, const Member& m) {
  const common::RetiredNode* const order = order_to_empty(value, m.node);
  if (m.draining || (order != nullptr && order->completed)) return false;
  StorageNode node{m.node, m.disk, m.address, m.zone, order != nullptr, false, true};
  const auto absent = std::find_if(value.absent_nodes.begin(), value.absent_nodes.end(),
                                   [&](const StorageNode& c) { return c.node == m.node; });
  if (absent != value.absent_nodes.end()) {
    node.disk_replaced = absent->disk_replaced || absent->disk != m.disk;
    value.absent_nodes.erase(absent);
  }
  value.storage_nodes.push_back(std::move(node));
  return true;
}

// One that the map names has another disk or address by now.
bool rename(StorageNode& c, const Member& m) {
  if (c.disk == m.disk && c.address == m.address) return false;
  // Its copies went with the disk of before: whoever takes over has to know of that loss.
  const bool lost = c.disk_replaced || c.disk != m.disk;
  c = {m.node, m.disk, m.address, m.zone, c.draining, lost, c.bootstrapping};
  return true;
}

// One that got SIGTERM may take its disk with it: the others take over while it is there, as for an order to
// empty it. One that was only started again is back in its place.
bool follow_its_end(RegisterValue& value, StorageNode& c, const Member& m, std::size_t losses) {
  const bool ordered = order_to_empty(value, c.node) != nullptr;
  const bool leaving = ordered || (m.draining && staying_without(value, c.node) >= copies_for(losses));
  if (leaving == c.draining) return false;
  c.draining = leaving;
  return true;
}

bool is_whole(const RegisterValue& value, const StorageNode& c, const std::vector<Member>& live) {
  const Member* const m = storage_member(live, c.node);
  return m != nullptr && m->disk == c.disk && m->complete_map_version >= value.map_version;
}

// Whether all that stay have what the leaving ones hold, by this map and on the disks that it names.
bool taken_over(const RegisterValue& value, const std::vector<Member>& live) {
  return std::all_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                     [&](const StorageNode& c) { return !stays(c) || is_whole(value, c, live); });
}

// Takes out of the map what has been made up for. Once all that stay are whole by it, every group has all of
// its turns. Before that a lost disk is made up for by its own node alone, where nobody is away whose copies
// were needed, and nobody has come or leaves that has not got, or given, its part. True where a map without
// it is worth its number.
bool settle(RegisterValue& value, const std::vector<Member>& live) {
  const std::size_t before = common::missing_replicas(value);
  if (taken_over(value, live)) {
    value.absent_nodes.clear();
    for (StorageNode& c : value.storage_nodes) c.disk_replaced = c.bootstrapping = false;
    return before > 0;
  }
  if (!value.absent_nodes.empty()) return false;
  for (StorageNode& c : value.storage_nodes) c.bootstrapping = c.bootstrapping && !is_whole(value, c, live);
  const bool moving = std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [](const StorageNode& c) { return c.bootstrapping || c.draining; });
  if (moving) return false;
  for (StorageNode& c : value.storage_nodes) c.disk_replaced = c.disk_replaced && !is_whole(value, c, live);
  return common::missing_replicas(value) < before;
}

// The first that leaves is given up, and an order to empty it is completed.
bool give_up_emptied(RegisterValue& value) {
  const auto found = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [](const StorageNode& c) { return !stays(c); });
  if (found == value.storage_nodes.end()) return false;
  for (common::RetiredNode& r : value.retired_nodes) r.completed = r.completed || r.node == found->node;
  value.storage_nodes.erase(found);
  return true;
}

}  // namespace

// With one to spare it is not waited for: groups that it stands in have one answer less meanwhile. Where one
// came of late, that may be its successor: the next loss may come when the successor has had its time, so the
// copies of the silent one are made anew before.
Span Roster::silent_most(std::size_t staying, TimePoint now) const {
  if (came_ && now - *came_ < newcomer_recent) return storage_node_replaced_after;
  return staying > copies_for(losses_) ? storage_node_spared_after : storage_node_lost_after;
}

// A silent node may come back with the only copies that are left, or never. It is given up only where those
// who stay can make up for it without it: while fewer disks are lost, absent or silent than may be. It is
// remembered as absent until they have; it may have to bring its copies back if a disk is lost meanwhile.
bool Roster::drop_silent(RegisterValue& value, const std::vector<Member>& live, TimePoint now) {
  const auto silent = [&](const StorageNode& c) { return storage_member(live, c.node) == nullptr; };
  std::vector<StorageNode> gone;
  for (const StorageNode& c : value.storage_nodes) {
    const Span after = silent_most(staying_without(value, c.node), now);
    if (lost("storage_node " + c.node + " " + c.disk, !silent(c), after, now)) gone.push_back(c);
  }
  bool changed = false;
  for (const StorageNode& c : gone) {
    const auto all_silent = static_cast<std::size_t>(
        std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(), silent));
    if (common::missing_replicas(value) + all_silent > losses_) break;
    if (staying_without(value, c.node) < copies_for(losses_)) continue;
    std::erase_if(value.storage_nodes, [&](const StorageNode& one) { return one.node == c.node; });
    value.absent_nodes.push_back(c);
    changed = true;
  }
  return changed;
}

bool Roster::forget_outlived(RegisterValue& value, const std::vector<Member>& live, TimePoint now) {
  bool changed = false;
  const auto outlived = [&](const std::string& what, const StorageNode& c) {
    return lost(what + c.node + " " + c.disk, false, outlived_after_, now);
  };
  changed |=
      std::erase_if(value.absent_nodes, [&](const StorageNode& c) { return outlived("absent ", c); }) > 0;
  for (std::size_t i = 0; i < value.storage_nodes.size();) {
    StorageNode& c = value.storage_nodes[i];
    const bool was_lost = c.disk_replaced;
    c.disk_replaced = c.disk_replaced && !outlived("lost disk ", c);
    changed |= was_lost != c.disk_replaced;
    const bool silent = storage_member(live, c.node) == nullptr;
    const bool away_for_long = lost("away " + c.node + " " + c.disk, !silent, outlived_after_, now);
    if (away_for_long && staying_without(value, c.node) >= copies_for(losses_)) {
      value.storage_nodes.erase(value.storage_nodes.begin() + static_cast<std::ptrdiff_t>(i));
      changed = true;
    } else {
      ++i;
    }
  }
  return changed;
}

std::optional<RegisterValue> Roster::storage_nodes(const RegisterValue& chosen,
                                                   const std::vector<Member>& members, TimePoint now) {
  // One whose disk fails keeps nothing: it counts as gone.
  std::vector<Member> live;
  std::copy_if(members.begin(), members.end(), std::back_inserter(live),
               [](const Member& m) { return !m.disk_failing; });
  RegisterValue next = chosen;
  bool changed = settle(next, live);
  for (const Member& m : live) {
    if (m.plane != "storage") continue;
    const auto same = std::find_if(next.storage_nodes.begin(), next.storage_nodes.end(),
                                   [&](const StorageNode& c) { return c.node == m.node; });
    if (same == next.storage_nodes.end()) {
      if (!join(next, m)) continue;
      came_ = now;
      changed = true;
    } else {
      changed |= rename(*same, m);
      changed |= follow_its_end(next, *same, m, losses_);
    }
  }
  changed |= drop_silent(next, live, now);
  changed |= forget_outlived(next, live, now);
  if (!changed) changed = taken_over(next, live) && give_up_emptied(next);
  if (!changed) return std::nullopt;
  ++next.map_version;
  return next;
}

RetireVerdict retire(RegisterValue& value, const std::string& node, std::size_t losses) {
  for (const common::RetiredNode& r : value.retired_nodes) {
    if (r.node == node) return RetireVerdict::known;
  }
  const auto found = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [&](const StorageNode& c) { return c.node == node; });
  if (found == value.storage_nodes.end()) return RetireVerdict::unknown;
  if (staying_without(value, node) < copies_for(losses)) return RetireVerdict::too_few;
  found->draining = true;
  value.retired_nodes.push_back({node, false});
  ++value.map_version;
  return RetireVerdict::taken;
}

}  // namespace chutevane::control
