/// Tests placement: group sizes, spread over zones, and how few replicas a change of the map moves.
#include "storage/placement.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "unit.hpp"

using chutevane::common::StorageNode;
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
