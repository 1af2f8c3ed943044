// Which storage sidecars hold a program's turns and budget: agreed by hashing over the map, so that nobody
// has to be asked, and that a member more or less moves only its own part.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::storage {

// As many as bear the losses with a majority left; fewer where there are no more.
inline std::size_t replica_group_size(std::size_t losses) { return 2 * losses + 1; }
inline std::size_t quorum_size(std::size_t group) { return group / 2 + 1; }

// Places in `storage nodes`, the nearest first. Those that leave get nothing new.
inline std::vector<std::size_t> replica_group(std::string_view program,
                                              const std::vector<common::StorageNode>& storage_nodes,
                                              std::size_t losses) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t i = 0; i < storage_nodes.size(); ++i) {
    if (storage_nodes[i].draining) continue;
    const std::string& node = storage_nodes[i].node;
    ranked.emplace_back(
        XXH3_64bits_withSeed(program.data(), program.size(), XXH3_64bits(node.data(), node.size())), i);
  }
  std::sort(ranked.begin(), ranked.end());
  // One of each zone before a second of any: a zone that goes takes no more of a group than it must.
  std::vector<std::size_t> out;
  const auto used = [&](const std::string& zone) {
    return std::count_if(out.begin(), out.end(),
                         [&](std::size_t i) { return storage_nodes[i].zone == zone; });
  };
  for (std::ptrdiff_t round = 0; out.size() < std::min(replica_group_size(losses), ranked.size()); ++round) {
    for (const auto& [rank, i] : ranked) {
      if (out.size() == replica_group_size(losses)) break;
      if (std::find(out.begin(), out.end(), i) == out.end() && used(storage_nodes[i].zone) <= round)
        out.push_back(i);
    }
  }
  return out;
}

// What a storage sidecar answers.
enum class ReplicaStatus : std::int64_t {
  ok,
  caller_map_stale,   // it has a later map than the caller
  replica_map_stale,  // it has not got the caller's map yet
  not_ready,          // it is still bootstrapping under this map
  not_found,          // no such turn here, and it would have it if it had been stored here
  indeterminate,      // not here, and it may be elsewhere
  out_of_capacity,    // no room
};
constexpr std::size_t replica_status_count = static_cast<std::size_t>(ReplicaStatus::out_of_capacity) + 1;

constexpr std::string_view name_of(ReplicaStatus status) {
  constexpr std::string_view names[replica_status_count] = {"yes",     "moved",  "behind", "unready",
                                                            "unknown", "unsure", "full"};
  return names[static_cast<std::size_t>(status)];
}

}  // namespace chutevane::storage
