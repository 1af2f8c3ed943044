/// What the storage map says of replicas that may be missing. No I/O.
///
/// A turn is acknowledged once more disks have it than may be lost. From then on, by every version of the
/// map: the disks of its nodes and of its absent nodes have as many replicas of it as that, less one for each
/// node whose disk was replaced. A node that has pulled all replicas that are placed on it is complete; once
/// all nodes are complete by one version, every replica group has all of its turns, and the marks of replaced
/// disks and the absent nodes are removed from the map. docs/state.md has the argument, model/absent.pml
/// every order of steps.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/messages.hpp"

namespace chutevane::common {

/// Nodes of the map whose disk was lost, and whose replicas are not restored yet.
inline std::size_t replaced_disks(const RegisterValue& value) {
  return static_cast<std::size_t>(std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                                [](const StorageNode& node) { return node.disk_replaced; }));
}

/// Replicas of a turn that may be missing at the nodes of the map: those of lost disks, and those of absent
/// nodes, which may come back.
inline std::size_t missing_replicas(const RegisterValue& value) {
  return replaced_disks(value) + value.absent_nodes.size();
}

}  // namespace chutevane::common
