/// Tests placement: group sizes, spread over zones, and how few replicas a change of the map moves.
#include "storage/placement.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "unit.hpp"

using chutevane::common::StorageNode;
using chutevane::storage::may_gain_replicas;
using chutevane::storage::quorum_size;
using chutevane::storage::replica_group;
using chutevane::storage::replica_group_size;

namespace {

std::vector<StorageNode> storage_nodes(int count) {
  std::vector<StorageNode> out;
  for (int i = 0; i < count; ++i) out.push_back({numbered("storage-", i), "d", "a", "z", false});
  return out;
}

/// Returns the names of the nodes in the program's replica group.
std::set<std::string> group_names(const std::string& program, const std::vector<StorageNode>& all,
                                  std::size_t losses) {
  std::set<std::string> out;
  for (const std::size_t i : replica_group(program, all, losses)) out.insert(all[i].node);
  return out;
}

}  // namespace

TEST_GROUP(Placement){};

TEST(Placement, GroupSizes) {
  CHECK_EQUAL(static_cast<std::size_t>(1), replica_group_size(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), replica_group_size(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), replica_group_size(2));
  for (std::size_t losses = 0; losses < 4; ++losses) {
    const std::size_t group = replica_group_size(losses);
    CHECK_TRUE(quorum_size(group) > losses);  // a quorum survives the losses with at least one member
    CHECK_TRUE(group - losses >= quorum_size(group));  // the remaining nodes still form a quorum
    for (int n = 0; n < 9; ++n) {
      const std::vector<StorageNode> all = storage_nodes(n);
      const auto got = replica_group("program", all, losses);
      CHECK_EQUAL(std::min(group, static_cast<std::size_t>(n)), got.size());
      CHECK_EQUAL(got.size(), std::set<std::size_t>(got.begin(), got.end()).size());
    }
  }
}

// The loss of a zone removes no more replicas of a group than necessary.
TEST(Placement, SpreadsReplicasOverZones) {
  std::vector<StorageNode> all = storage_nodes(9);
  for (std::size_t i = 0; i < all.size(); ++i) all[i].zone = numbered("z", static_cast<int>(i % 3));
  for (int p = 0; p < 200; ++p) {
    std::map<std::string, int> zones;
    for (const std::size_t i : replica_group(numbered("p", p), all, 1)) ++zones[all[i].zone];
    CHECK_EQUAL(3U, zones.size());
    zones.clear();
    for (const std::size_t i : replica_group(numbered("p", p), all, 2)) ++zones[all[i].zone];
    for (const auto& [zone, n] : zones) CHECK_WHERE(n <= 2, zone);  // five replicas over three zones
  }
  // If all nodes of a zone are draining, the other zones provide the whole group.
  for (StorageNode& node : all) node.draining = node.zone == "z0";
  CHECK_EQUAL(3U, replica_group("p", all, 1).size());
}

// All processes compute the same groups, whatever the order of the map.
TEST(Placement, OrderOfTheMapDoesNotMatter) {
  std::vector<StorageNode> all = storage_nodes(8);
  std::map<int, std::set<std::string>> before;
  for (int p = 0; p < 200; ++p) before[p] = group_names(numbered("p", p), all, 1);
  std::reverse(all.begin(), all.end());
  for (int p = 0; p < 200; ++p) CHECK_TRUE(before[p] == group_names(numbered("p", p), all, 1));
}

// An added node takes its fair share of replicas, and no replica moves between the other nodes; removing it
// is the same change backwards.
TEST(Placement, AddedNodeMovesOnlyItsShare) {
  for (int n = 3; n < 12; ++n) {
    const std::vector<StorageNode> fewer = storage_nodes(n), more = storage_nodes(n + 1);
    const std::string added = more.back().node;
    int moved = 0;
    constexpr int programs = 2000;
    for (int p = 0; p < programs; ++p) {
      const auto before = group_names(numbered("p", p), fewer, 1),
                 after = group_names(numbered("p", p), more, 1);
      if (before == after) continue;
      ++moved;
      CHECK_TRUE(after.contains(added));
      std::set<std::string> unchanged;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::inserter(unchanged, unchanged.end()));
      CHECK_EQUAL(static_cast<std::size_t>(2), unchanged.size());
    }
    const double share = static_cast<double>(moved) / programs, fair = 3.0 / (n + 1);
    CHECK_WHERE(share > fair * 0.85 && share < fair * 1.15, numbered("of ", n));
  }
}

TEST(Placement, SpreadsReplicasEvenly) {
  const std::vector<StorageNode> all = storage_nodes(7);
  std::map<std::string, int> replicas;
  for (int p = 0; p < 7000; ++p) {
    for (const std::string& node : group_names(numbered("p", p), all, 1)) ++replicas[node];
  }
  for (const StorageNode& node : all) CHECK_TRUE(replicas[node.node] > 2700 && replicas[node.node] < 3300);
}

// A draining node is in no group, and the other members of its groups stay.
TEST(Placement, DrainingNodesHoldNoReplicas) {
  std::vector<StorageNode> all = storage_nodes(6), draining = all;
  draining[2].draining = true;
  std::vector<StorageNode> without = all;
  without.erase(without.begin() + 2);
  for (int p = 0; p < 2000; ++p) {
    const std::string program = numbered("p", p);
    const auto after = group_names(program, draining, 1);
    CHECK_FALSE(after.contains(all[2].node));
    CHECK_TRUE(after == group_names(program, without, 1));
    for (const std::string& node : group_names(program, all, 1)) {
      if (node != all[2].node) CHECK_TRUE(after.contains(node));
    }
  }
  for (StorageNode& node : draining) node.draining = true;
  CHECK_TRUE(replica_group("p", draining, 1).empty());
}

// Guards against a node that states that it is complete although a change of the map has placed replicas on
// it: whatever the change, may_gain_replicas() says so wherever the groups themselves do.
TEST(Placement, WhoGainsReplicasIsKnown) {
  std::mt19937 random(1);
  const auto below = [&](int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
  const auto draw_map = [&] {
    std::vector<StorageNode> out = storage_nodes(3 + below(5));
    for (StorageNode& node : out) {
      node.zone = numbered("z", below(3));
      node.draining = below(5) == 0;
    }
    return out;
  };
  // Most changes are small: one node joins, goes, drains, stays after all, or comes back in another zone.
  const auto draw_change = [&](std::vector<StorageNode> map) {
    const auto at = static_cast<std::size_t>(below(static_cast<int>(map.size())));
    switch (below(5)) {
      case 0: map.erase(map.begin() + static_cast<std::ptrdiff_t>(at)); break;
      case 1: map.push_back({"storage-new", "d", "a", numbered("z", below(4)), false}); break;
      case 2: map[at].draining = !map[at].draining; break;
      case 3: map[at].zone = numbered("z", below(4)); break;
      default: map = draw_map(); break;
    }
    return map;
  };
  int gains = 0, none = 0;
  for (int round = 0; round < 600; ++round) {
    const std::vector<StorageNode> before = draw_map(), after = draw_change(before);
    for (const StorageNode& node : after) {
      if (may_gain_replicas(node.node, before, after)) {
        ++gains;
        continue;
      }
      ++none;
      for (int p = 0; p < 40; ++p) {
        const std::string program = numbered("p", p);
        const bool gained = group_names(program, after, 1).contains(node.node) &&
                            !group_names(program, before, 1).contains(node.node);
        CHECK_FALSE(gained);
      }
    }
  }
  CHECK_TRUE(gains > 300 && none > 300);
}

// Not each change is one in which the others gain: it would cost a transfer at each node.
TEST(Placement, OnlyTheNodeThatJoinsOrStaysGainsReplicas) {
  const std::vector<StorageNode> four = storage_nodes(4), five = storage_nodes(5);
  CHECK_TRUE(may_gain_replicas(five[4].node, four, five));
  CHECK_FALSE(may_gain_replicas(five[0].node, four, five));
  CHECK_TRUE(may_gain_replicas(five[0].node, five, four));
  std::vector<StorageNode> draining = five;
  draining[2].draining = true;
  CHECK_TRUE(may_gain_replicas(five[2].node, draining, five));  // it stays after all
  CHECK_FALSE(may_gain_replicas(five[0].node, draining, five));
  CHECK_FALSE(may_gain_replicas(five[2].node, five, draining));  // nothing is placed on it
  CHECK_TRUE(may_gain_replicas(five[0].node, five, draining));
  std::vector<StorageNode> gone = five;
  gone.erase(gone.begin() + 2);
  CHECK_FALSE(may_gain_replicas(five[0].node, draining, gone));  // the drained one goes: groups stay
  CHECK_FALSE(may_gain_replicas(five[2].node, draining, gone));
}
