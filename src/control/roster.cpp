#include "control/roster.hpp"

#include <algorithm>

namespace chutevane::control {

using market::Acceptor;
using market::Member;
using market::StorageNode;
using market::Value;

bool Roster::lost(const std::string& key, bool seen, Span after, TimePoint now) {
  const auto [at, fresh] = last_seen_.emplace(key, now);
  if (seen) at->second = now;
  return now - at->second > after;
}

std::optional<std::vector<Acceptor>> Roster::acceptors(const Value& chosen,
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
  for (Acceptor& a : next) {
    const bool gone = lost("acceptor " + a.address + " " + a.disk, here(a), acceptor_lost_after, now);
    if (gone && !here(a) && other() != free.end()) take(a, static_cast<std::size_t>(other() - free.begin()));
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

std::optional<Value> Roster::storage_nodes(const Value& chosen, const std::vector<Member>& live,
                                           TimePoint now) {
  Value next = chosen;
  bool changed = false;
  const auto retired = [&](const std::string& node) {
    return std::any_of(next.retired.begin(), next.retired.end(),
                       [&](const market::Retired& r) { return r.node == node && r.completed; });
  };
  for (const Member& m : live) {
    if (m.plane != "storage" || m.disk_failing || retired(m.node)) continue;
    const auto same = std::find_if(next.storage_nodes.begin(), next.storage_nodes.end(),
                                   [&](const StorageNode& c) { return c.node == m.node; });
    if (same == next.storage_nodes.end()) {
      // An order to empty it stands, also where it was gone in between.
      const bool ordered = std::any_of(next.retired.begin(), next.retired.end(),
                                       [&](const market::Retired& r) { return r.node == m.node; });
      next.storage_nodes.push_back({m.node, m.disk, m.address, m.zone, ordered, false});
      changed = true;
    } else if (same->disk != m.disk || same->address != m.address) {
      // Its copies went with the disk of before: whoever takes over has to know of that loss.
      *same = {m.node, m.disk, m.address, m.zone, same->leaving, same->lost || same->disk != m.disk};
      changed = true;
    }
  }
  const auto present = [&](const StorageNode& c) {
    // One whose disk fails keeps nothing: it is counted as gone.
    return std::any_of(live.begin(), live.end(), [&](const Member& m) {
      return m.plane == "storage" && m.node == c.node && !m.disk_failing;
    });
  };
  for (std::size_t i = 0; i < next.storage_nodes.size();) {
    const StorageNode& c = next.storage_nodes[i];
    const auto staying =
        std::count_if(next.storage_nodes.begin(), next.storage_nodes.end(),
                      [&](const StorageNode& other) { return !other.leaving && other.node != c.node; });
    // With one to spare it is not waited for: groups that it stands in have one answer less meanwhile.
    const bool spare = static_cast<std::size_t>(staying) > copies_for(losses_);
    const bool gone = lost("storage_node " + c.node + " " + c.disk, present(c),
                           spare ? storage_node_spared_after : storage_node_lost_after, now);
    if (gone && static_cast<std::size_t>(staying) >= copies_for(losses_)) {
      next.storage_nodes.erase(next.storage_nodes.begin() + static_cast<std::ptrdiff_t>(i));
      changed = true;
    } else {
      ++i;
    }
  }
  // Emptied: all that stay have what lay there.
  for (std::size_t i = 0; i < next.storage_nodes.size();) {
    const StorageNode c = next.storage_nodes[i];
    const bool safe =
        c.leaving && !changed &&
        std::all_of(next.storage_nodes.begin(), next.storage_nodes.end(), [&](const StorageNode& other) {
          return other.leaving || std::any_of(live.begin(), live.end(), [&](const Member& m) {
                   return m.node == other.node && m.disk == other.disk && m.whole >= chosen.map;
                 });
        });
    if (!safe) {
      ++i;
      continue;
    }
    next.storage_nodes.erase(next.storage_nodes.begin() + static_cast<std::ptrdiff_t>(i));
    for (market::Retired& r : next.retired) r.completed = r.completed || r.node == c.node;
    changed = true;
    break;
  }
  if (!changed) return std::nullopt;
  ++next.map;
  return next;
}

RetireVerdict retire(Value& value, const std::string& node, std::size_t losses) {
  for (const market::Retired& r : value.retired) {
    if (r.node == node) return RetireVerdict::known;
  }
  const auto found = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [&](const StorageNode& c) { return c.node == node; });
  if (found == value.storage_nodes.end()) return RetireVerdict::unknown;
  const auto staying = std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                     [](const StorageNode& c) { return !c.leaving; });
  if (static_cast<std::size_t>(staying - 1) < copies_for(losses)) return RetireVerdict::too_few;
  found->leaving = true;
  value.retired.push_back({node, false});
  ++value.map;
  return RetireVerdict::taken;
}

}  // namespace chutevane::control
