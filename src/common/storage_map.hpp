/// Computes how many replicas may be missing according to the storage map. No I/O.
///
/// A turn is acknowledged once more disks have it than may be lost. From then on, in every version of the
/// map, the disks of the map's nodes and absent nodes together have at least that many replicas of the turn,
/// minus one for each node whose disk was replaced. A node is complete once it has pulled all replicas that
/// are placed on it. Once all nodes are complete in the same version, every replica group has all of its
/// turns, and the marks of replaced disks and the absent nodes are removed from the map. docs/state.md proves
/// this; model/absent.pml checks it for every order of steps.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/messages.hpp"

namespace chutevane::common {

/// Returns the number of nodes in the map whose disk was lost and whose replicas are not restored yet.
inline std::size_t replaced_disks(const RegisterValue& value) {
  return static_cast<std::size_t>(std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                                [](const StorageNode& node) { return node.disk_replaced; }));
}

/// Returns the number of replicas of a turn that may be missing at the nodes of the map: those on lost disks,
/// and those on absent nodes, which may come back.
inline std::size_t missing_replicas(const RegisterValue& value) {
  return replaced_disks(value) + value.absent_nodes.size();
}

}  // namespace chutevane::common
