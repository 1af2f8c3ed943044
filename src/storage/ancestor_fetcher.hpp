/// Completes the chain of a turn that this node was asked to store.
///
/// A node that stores a turn stores all turns that it continues, so that these live as long as it does here
/// too. Those which are missing, because the node was not reached or not in the group when they were stored,
/// are fetched from the other nodes of the map, one after the other.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "common/messages.hpp"
#include "net/timer_queue.hpp"
#include "storage/peer_clients.hpp"
#include "storage/replica_store.hpp"
#include "storage/served_map.hpp"

namespace chutevane::storage {

/// All references outlive this object.
class AncestorFetcher {
 public:
  AncestorFetcher(net::TimerQueue& timers, ReplicaStore& store, PeerClients& peers, const ServedMap& map,
                  std::string own_node)
      : timers_(timers), store_(store), peers_(peers), map_(map), own_node_(std::move(own_node)) {}

  /// Calls `done` once the chain of `turn`, which is in the store, is complete here, or no other node has
  /// what is missing: a chain may begin with a turn that has expired everywhere. At once where nothing is
  /// missing.
  void complete_chain(const common::Turn& turn, std::function<void()> done);

 private:
  struct Fetch;  ///< one chain being completed
  void request_next(const std::shared_ptr<Fetch>& fetch);
  void on_reply(const std::shared_ptr<Fetch>& fetch, const absl::StatusOr<common::FindTurnReply>& reply);

  net::TimerQueue& timers_;
  ReplicaStore& store_;
  PeerClients& peers_;
  const ServedMap& map_;
  const std::string own_node_;
};

}  // namespace chutevane::storage
