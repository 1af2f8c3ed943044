/// \file
/// Counts the replicas of a turn at the simulated storage machines, to check what every step of the tier has
/// to preserve: each member of a turn's replica group has the turn, or does not state that it is complete,
/// and a quorum has it or still fetches it. A replica that is missing at a node that calls itself complete is
/// never fetched, and is not noticed until disks are lost.
#pragma once

#include <cstddef>
#include <string>

#include "tier_simulation/deployment.hpp"

namespace chutevane::tier_simulation {

/// The members of a turn's replica group under the newest map that any storage machine serves.
struct ReplicaCount {
  std::int64_t map_version = 0;
  std::size_t group_size = 0;
  std::size_t holding = 0;     ///< have the turn
  std::size_t incomplete = 0;  ///< lack it, and do not state that they are complete; also those that are down
  std::string lacking;         ///< names of those that lack it although they state that they are complete

  [[nodiscard]] bool is_quorum() const;
  [[nodiscard]] std::string describe() const;
};

/// Counts the replicas of the turn in the group of `program`.
ReplicaCount count_replicas(const Deployment& deployment, const std::string& program,
                            const std::string& turn_id);

}  // namespace chutevane::tier_simulation
