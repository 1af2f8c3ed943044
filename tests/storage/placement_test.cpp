/// Placement of replica groups: sizes, zones, and how little a change of the map moves.
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

/// The nodes of the program's replica group.
std::set<std::string> group_names(const std::string& program, const std::vector<StorageNode>& all,
                                  std::size_t losses) {
  std::set<std::string> out;
  for (const std::size_t i : replica_group(program, all, losses)) out.insert(all[i].node);
  return out;
}

}  // namespace

TEST_GROUP(Placement){};

TEST(Placement, SizesOfGroups) {
  CHECK_EQUAL(static_cast<std::size_t>(1), replica_group_size(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), replica_group_size(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), replica_group_size(2));
  for (std::size_t losses = 0; losses < 4; ++losses) {
    const std::size_t group = replica_group_size(losses);
    CHECK_TRUE(quorum_size(group) > losses);           // one of a majority is left
    CHECK_TRUE(group - losses >= quorum_size(group));  // and a majority without the lost
    for (int n = 0; n < 9; ++n) {
      const std::vector<StorageNode> all = storage_nodes(n);
      const auto got = replica_group("program", all, losses);
      CHECK_EQUAL(std::min(group, static_cast<std::size_t>(n)), got.size());
      CHECK_EQUAL(got.size(), std::set<std::size_t>(got.begin(), got.end()).size());
    }
  }
}

// A zone that goes takes no more of a group than it must.
TEST(Placement, OneOfEachZoneFirst) {
  std::vector<StorageNode> all = storage_nodes(9);
  for (std::size_t i = 0; i < all.size(); ++i) all[i].zone = numbered("z", static_cast<int>(i % 3));
  for (int p = 0; p < 200; ++p) {
    std::map<std::string, int> zones;
    for (const std::size_t i : replica_group(numbered("p", p), all, 1)) ++zones[all[i].zone];
    CHECK_EQUAL(3U, zones.size());
    zones.clear();
    for (const std::size_t i : replica_group(numbered("p", p), all, 2)) ++zones[all[i].zone];
    for (const auto& [zone, n] : zones) CHECK_WHERE(n <= 2, zone);  // five over three zones
  }
  // Where a zone has none left, the others fill up.
  for (StorageNode& c : all) c.draining = c.zone == "z0";
  CHECK_EQUAL(3U, replica_group("p", all, 1).size());
}

// Agreed by all, whatever order the map has.
TEST(Placement, OrderOfTheMapDoesNotMatter) {
  std::vector<StorageNode> all = storage_nodes(8);
  std::map<int, std::set<std::string>> before;
  for (int p = 0; p < 200; ++p) before[p] = group_names(numbered("p", p), all, 1);
  std::reverse(all.begin(), all.end());
  for (int p = 0; p < 200; ++p) CHECK_TRUE(before[p] == group_names(numbered("p", p), all, 1));
}

// One member more takes its own part and moves nothing else; one fewer gives back only what was its own.
TEST(Placement, OneNodeMoreMovesOnlyItsPart) {
  for (int n = 3; n < 12; ++n) {
    const std::vector<StorageNode> fewer = storage_nodes(n), more = storage_nodes(n + 1);
    const std::string fresh = more.back().node;
    int moved = 0;
    constexpr int programs = 2000;
    for (int p = 0; p < programs; ++p) {
      const auto before = group_names(numbered("p", p), fewer, 1),
                 after = group_names(numbered("p", p), more, 1);
      if (before == after) continue;
      ++moved;
      CHECK_TRUE(after.contains(fresh));
      std::set<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::inserter(kept, kept.end()));
      CHECK_EQUAL(static_cast<std::size_t>(2), kept.size());
    }
    const double part = static_cast<double>(moved) / programs, fair = 3.0 / (n + 1);
    CHECK_WHERE(part > fair * 0.85 && part < fair * 1.15, numbered("of ", n));
  }
}

TEST(Placement, EvenlySpread) {
  const std::vector<StorageNode> all = storage_nodes(7);
  std::map<std::string, int> replicas;
  for (int p = 0; p < 7000; ++p) {
    for (const std::string& node : group_names(numbered("p", p), all, 1)) ++replicas[node];
  }
  for (const StorageNode& c : all) CHECK_TRUE(replicas[c.node] > 2700 && replicas[c.node] < 3300);
}

// A node that drains gets nothing new, and the others of a group stay.
TEST(Placement, DrainingNodesGetNothing) {
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
  for (StorageNode& c : draining) c.draining = true;
  CHECK_TRUE(replica_group("p", draining, 1).empty());
}
