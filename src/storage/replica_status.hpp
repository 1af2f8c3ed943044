/// Status with which a storage node answers a request: the `verdict` field of its replies.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chutevane::storage {

/// Status of one request.
///
/// The values are part of the wire format (api/storage.avsc): add new ones at the end, and never renumber.
/// label_of() returns the names that metrics and logs use.
///
/// Every request carries the version of the storage map that its sender uses. A node answers only if it uses
/// the same version; otherwise one of the two is behind, and the caller retries a little later.
enum class ReplicaStatus : std::int64_t {
  ok,
  caller_map_stale,   ///< the node has a later map than the caller
  replica_map_stale,  ///< the node has not received the caller's map yet
  not_ready,          ///< the node is still fetching the data for this request from its peers
  not_found,          ///< the node has no such turn, so it was not among the nodes that stored it
  indeterminate,      ///< the node has no such turn, but a peer may have it
  out_of_capacity,    ///< the node stores no more turns, or its disk accepts no writes
  chain_incomplete,   ///< the node has the turn, but not all turns that it continues
};
constexpr std::size_t replica_status_count = static_cast<std::size_t>(ReplicaStatus::chain_incomplete) + 1;

/// Returns the name of the status in metrics and logs.
constexpr std::string_view label_of(ReplicaStatus status) {
  constexpr std::array<std::string_view, replica_status_count> labels = {
      "yes", "moved", "behind", "unready", "unknown", "unsure", "full", "incomplete"};
  return labels[static_cast<std::size_t>(status)];
}

}  // namespace chutevane::storage
