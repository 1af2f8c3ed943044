// What the map of storage nodes says of copies that may be missing. No I/O.
//
// A turn counts as kept once more disks have it than may be lost. From then on, at every map: the disks that
// the map can name, those of its nodes and those of absent ones, hold as many copies of it as that, less one
// for each node that is marked as having lost its disk. A node that has taken over all that is its own is
// whole; once all are whole by one map, every group has all of its turns, and marks and absent nodes are
// taken out of the map. docs/state.md has the argument, model/absent.pml every order of steps.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/messages.hpp"

namespace chutevane::common {

// Nodes of the map whose disk was lost and not made up for yet.
inline std::size_t replaced_disks(const RegisterValue& value) {
  return static_cast<std::size_t>(std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                                [](const StorageNode& node) { return node.disk_replaced; }));
}

// Copies of a turn that may be missing at the nodes of the map: of lost disks, and of nodes that were given
// up while they were silent and may come back.
inline std::size_t missing_replicas(const RegisterValue& value) {
  return replaced_disks(value) + value.absent_nodes.size();
}

}  // namespace chutevane::common
