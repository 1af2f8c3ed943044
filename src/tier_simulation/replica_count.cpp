#include "tier_simulation/replica_count.hpp"

#include "storage/placement.hpp"

namespace chutevane::tier_simulation {
namespace {

/// Returns the newest map that any storage machine serves; version 0 if none does.
storage::ServedMap newest_map(const Deployment& deployment) {
  storage::ServedMap out;
  for (const Machine* machine : deployment.machines_of(Role::storage)) {
    const storage::StoragePlane* const plane = machine->storage();
    if (plane != nullptr && plane->served_map().version > out.version) out = plane->served_map();
  }
  return out;
}

}  // namespace

bool ReplicaCount::is_quorum() const {
  return map_version == 0 || holding + incomplete >= storage::quorum_size(group_size);
}

std::string ReplicaCount::describe() const {
  return "map " + std::to_string(map_version) + ", held by " + std::to_string(holding) + ", incomplete " +
         std::to_string(incomplete) + " of " + std::to_string(group_size) + ", lacking at" + lacking;
}

ReplicaCount count_replicas(const Deployment& deployment, const std::string& program,
                            const std::string& turn_id) {
  const storage::ServedMap map = newest_map(deployment);
  ReplicaCount out;
  out.map_version = map.version;
  for (const std::size_t i :
       storage::replica_group(program, map.nodes, deployment.shape().tolerated_losses)) {
    ++out.group_size;
    const Machine* const machine = deployment.find(map.nodes[i].node);
    const storage::StoragePlane* const plane = machine == nullptr ? nullptr : machine->storage();
    if (plane != nullptr && plane->holds_turn(turn_id)) {
      ++out.holding;
    } else if (plane == nullptr || plane->served_map().version < map.version || !plane->is_complete()) {
      ++out.incomplete;
    } else {
      out.lacking += " " + map.nodes[i].node;
    }
  }
  return out;
}

}  // namespace chutevane::tier_simulation
