/// The sending side of a state transfer (storage/state_transfer.hpp): builds the reply to a PullRequest.
#pragma once

#include <cstddef>
#include <string>

#include "common/messages.hpp"
#include "storage/replica_store.hpp"
#include "storage/served_map.hpp"

namespace chutevane::storage {

/// The replying node and the data that its replies are built from. Nothing is owned.
struct PullSource {
  const ReplicaStore& store;
  const ServedMap& map;
  const std::string& node;
  const std::string& disk;
  std::size_t tolerated_losses;
};

/// Returns the part of this node's data that the map assigns to `request.node`, starting after
/// `request.after_id` and limited in size. Depending on the request, the reply contains accounts, ids of
/// turns, or the turns whose ids are in `request.wanted_ids`.
///
/// The reply has data only if both nodes use the same map version; otherwise its verdict says which of the
/// two is behind. Once this node uses that version, it accepts nothing under an earlier one, so the requester
/// misses nothing. A later map is no substitute: it may assign less to the requester, while edges still query
/// the requester by its own map. If the map lists this node with another disk, the verdict is `not_ready`,
/// because the data of that disk is not on this one.
///
/// The reply may contain data that is not durable here yet, so the caller must send it only after the next
/// commit. Otherwise this node could lose the data, and the requester would hold the only replica of
/// something that counts as stored on other nodes.
common::PullReply make_pull_reply(const common::PullRequest& request, const PullSource& source);

}  // namespace chutevane::storage
