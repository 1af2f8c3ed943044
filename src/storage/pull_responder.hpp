/// The sending side of a state transfer (storage/state_transfer.hpp): one reply to one PullRequest.
#pragma once

#include <cstddef>
#include <string>

#include "common/messages.hpp"
#include "storage/replica_store.hpp"
#include "storage/served_map.hpp"

namespace chutevane::storage {

/// The node that replies, and what it replies from.
struct PullSource {
  const ReplicaStore& store;
  const ServedMap& map;
  const std::string& node;
  const std::string& disk;
  std::size_t tolerated_losses;
};

/// What `request.node` is to hold by the map and this node has, behind `request.after_id`, as much as fits
/// into a reply: accounts, or ids of turns, or the turns whose ids are in the request.
///
/// Only while both go by the same map (otherwise the reply says which of the two is behind): from then on
/// this node accepts nothing under an earlier map, so the requester misses nothing; and under a later map the
/// requester may be assigned less, while edges still ask it by its own. A node that the map names with
/// another disk is no source (`not_ready`): what that disk held is not on this one.
///
/// The reply may contain what is not durable here yet. Send it after the next commit: had this node lost it
/// then, the requester would hold the only replica of something that counts as stored elsewhere.
common::PullReply make_pull_reply(const common::PullRequest& request, const PullSource& source);

}  // namespace chutevane::storage
