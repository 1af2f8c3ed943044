/// Determines which storage nodes hold the replicas of a program's turns and budget (placement).
///
/// Uses rendezvous hashing (highest random weight): every node and every edge ranks the nodes of the storage
/// map by a hash of program and node name, and takes the first ones. This needs no communication, and the
/// result does not depend on the order of the map. Adding or removing a node moves only that node's replicas.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/messages.hpp"
#include "storage/replica_status.hpp"  // included for callers, which need both headers

namespace chutevane::storage {

/// Returns the number of nodes in a replica group: a majority remains after `tolerated_losses` losses.
inline std::size_t replica_group_size(std::size_t tolerated_losses) { return 2 * tolerated_losses + 1; }

/// Returns the size of a majority: any two quorums of a group of `group_size` nodes share a member.
inline std::size_t quorum_size(std::size_t group_size) { return group_size / 2 + 1; }

/// Returns the indices into `storage_nodes` of the nodes that hold the program's replicas, in order of
/// preference. Draining nodes hold no replicas. The result has fewer than replica_group_size() elements if
/// there are not enough nodes.
///
/// Replicas are spread over zones: no zone gets a second replica before every zone has one, so that the loss
/// of a zone removes as few replicas as possible.
inline std::vector<std::size_t> replica_group(std::string_view program,
                                              const std::vector<common::StorageNode>& storage_nodes,
                                              std::size_t tolerated_losses) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranking;
  for (std::size_t i = 0; i < storage_nodes.size(); ++i) {
    if (storage_nodes[i].draining) continue;
    const std::string& node = storage_nodes[i].node;
    const std::uint64_t node_seed = XXH3_64bits(node.data(), node.size());
    ranking.emplace_back(XXH3_64bits_withSeed(program.data(), program.size(), node_seed), i);
  }
  std::sort(ranking.begin(), ranking.end());
  std::vector<std::size_t> group;
  const auto replicas_in_zone = [&](const std::string& zone) {
    return std::count_if(group.begin(), group.end(),
                         [&](std::size_t index) { return storage_nodes[index].zone == zone; });
  };
  const std::size_t group_size = replica_group_size(tolerated_losses);
  for (std::ptrdiff_t round = 0; group.size() < std::min(group_size, ranking.size()); ++round) {
    for (const auto& [rank, i] : ranking) {
      if (group.size() == group_size) break;
      const bool chosen = std::find(group.begin(), group.end(), i) != group.end();
      if (!chosen && replicas_in_zone(storage_nodes[i].zone) <= round) group.push_back(i);
    }
  }
  return group;
}

/// Returns true if a change of the storage map from `before` to `after` may place replicas on `node` that
/// were not placed on it before.
///
/// Which nodes hold replicas, and in which zones, determines every replica group. A node that starts to hold
/// replicas only takes them from others. The others therefore gain replicas only if a node stops to hold
/// them, or holds them in another zone.
inline bool may_gain_replicas(const std::string& node, const std::vector<common::StorageNode>& before,
                              const std::vector<common::StorageNode>& after) {
  const auto holds_replicas_in = [](const std::vector<common::StorageNode>& storage_nodes,
                                    const common::StorageNode& wanted) {
    return std::any_of(storage_nodes.begin(), storage_nodes.end(), [&](const common::StorageNode& other) {
      return !other.draining && other.node == wanted.node && other.zone == wanted.zone;
    });
  };
  const auto own = std::find_if(after.begin(), after.end(),
                                [&](const common::StorageNode& other) { return other.node == node; });
  if (own == after.end() || own->draining) return false;
  if (!holds_replicas_in(before, *own)) return true;
  return std::any_of(before.begin(), before.end(), [&](const common::StorageNode& other) {
    return !other.draining && !holds_replicas_in(after, other);
  });
}

}  // namespace chutevane::storage
