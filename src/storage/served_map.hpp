/// The storage map that a node uses: its version, and the nodes that programs are placed on.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "storage/replica_status.hpp"

namespace chutevane::storage {

/// The storage map, as a part of the newest register value (common::RegisterValue) received.
struct ServedMap {
  std::int64_t version = 0;  ///< 0 if none was received since the process started
  std::vector<common::StorageNode> nodes;

  /// Returns `ok` if the caller uses the same map version as this node; otherwise says which one is behind.
  ReplicaStatus check(std::int64_t caller_version) const {
    if (caller_version < version) return ReplicaStatus::caller_map_stale;
    if (caller_version > version) return ReplicaStatus::replica_map_stale;
    return ReplicaStatus::ok;
  }
  /// Returns null if the map does not contain the node.
  const common::StorageNode* find(const std::string& node) const {
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const common::StorageNode& other) { return other.node == node; });
    return found == nodes.end() ? nullptr : &*found;
  }
  /// Returns true if the map contains this node with this disk.
  bool contains(const std::string& node, const std::string& disk) const {
    return std::any_of(nodes.begin(), nodes.end(), [&](const common::StorageNode& other) {
      return other.node == node && other.disk == disk;
    });
  }
};

}  // namespace chutevane::storage
