/// What a storage node says about one request: the `verdict` of its replies.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chutevane::storage {

/// The values are on the wire (api/storage.avsc): add at the end, never renumber. `label_of` are the names in
/// metrics and logs, which operators know them by.
///
/// Every request names the version of the storage map that its sender goes by. A node answers only under that
/// same version; otherwise one of the two is behind, and the caller asks again a little later.
enum class ReplicaStatus : std::int64_t {
  ok,
  caller_map_stale,   ///< the node has a later map than the caller
  replica_map_stale,  ///< the node has not received the caller's map yet
  not_ready,          ///< the node is still fetching from its peers what it needs in order to answer this
  not_found,  ///< the node has no such turn, and it would have it had it been one of those asked to store it
  indeterminate,    ///< the node has no such turn, and cannot tell yet whether a peer has
  out_of_capacity,  ///< the node stores no more turns, or its disk accepts no writes
};
constexpr std::size_t replica_status_count = static_cast<std::size_t>(ReplicaStatus::out_of_capacity) + 1;

constexpr std::string_view label_of(ReplicaStatus status) {
  constexpr std::array<std::string_view, replica_status_count> labels = {
      "yes", "moved", "behind", "unready", "unknown", "unsure", "full"};
  return labels[static_cast<std::size_t>(status)];
}

}  // namespace chutevane::storage
