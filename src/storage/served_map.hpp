/// The storage map that a node goes by: its version, and the nodes among which programs are placed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "storage/replica_status.hpp"

namespace chutevane::storage {

/// Set from the register's value (common::RegisterValue), which has the map among other things.
struct ServedMap {
  std::int64_t version = 0;  ///< 0: none was received since the process started
  std::vector<common::StorageNode> nodes;

  /// Whether a request of a caller that goes by `caller_version` can be answered at all.
  ReplicaStatus check(std::int64_t caller_version) const {
    if (caller_version < version) return ReplicaStatus::caller_map_stale;
    if (caller_version > version) return ReplicaStatus::replica_map_stale;
    return ReplicaStatus::ok;
  }
  /// Null: the map does not name the node.
  const common::StorageNode* find(const std::string& node) const {
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const common::StorageNode& other) { return other.node == node; });
    return found == nodes.end() ? nullptr : &*found;
  }
  /// Whether the map names this node with this disk.
  bool names(const std::string& node, const std::string& disk) const {
    return std::any_of(nodes.begin(), nodes.end(), [&](const common::StorageNode& other) {
      return other.node == node && other.disk == disk;
    });
  }
};

}  // namespace chutevane::storage
