/// Fetches the missing ancestors of a turn that this node was asked to store.
///
/// A node that stores a turn also stores every turn of its chain (the turns that it continues), so that the
/// ancestors are retained here for as long as the turn is. An ancestor is missing here if this node was
/// unreachable, or not in the replica group, when the ancestor was stored, or if it has expired. Missing
/// ancestors are fetched from the other nodes of the storage map, one node at a time: first the replica group
/// of the turn's program, which mostly is that of its ancestors too. An ancestor that has
/// expired at all of them is only known to the edge, which sends it again (ReplicaStatus::chain_incomplete).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"
#include "common/messages.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "net/timer_queue.hpp"
#include "storage/peer_clients.hpp"
#include "storage/replica_store.hpp"
#include "storage/served_map.hpp"

namespace chutevane::storage {

/// Whether this node had the whole chain of a turn that it was asked to store.
enum class ChainOutcome : std::uint8_t {
  complete,    ///< all ancestors were here
  fetched,     ///< missing ancestors were fetched from other nodes
  incomplete,  ///< an ancestor is missing here, and no other node has sent it
};
constexpr std::size_t chain_outcome_count = static_cast<std::size_t>(ChainOutcome::incomplete) + 1;

/// Returns the name of the outcome in metrics.
constexpr std::string_view label_of(ChainOutcome outcome) {
  constexpr std::array<std::string_view, chain_outcome_count> labels = {"complete", "fetched", "incomplete"};
  return labels[static_cast<std::size_t>(outcome)];
}

/// Fetches missing ancestors from peers. All referenced objects must outlive this one.
class AncestorFetcher {
 public:
  /// `tolerated_losses` determines the size of replica groups.
  AncestorFetcher(net::TimerQueue& timers, ReplicaStore& store, PeerClients& peers, const ServedMap& map,
                  std::string own_node, std::size_t tolerated_losses)
      : timers_(timers),
        store_(store),
        peers_(peers),
        map_(map),
        own_node_(std::move(own_node)),
        tolerated_losses_(tolerated_losses) {}

  /// Receives whether the chain is complete in the store.
  using Done = std::function<void(bool is_complete)>;
  /// Calls `done(true)` once the chain of `turn`, which must already be in the store, is complete here and is
  /// retained for as long as the turn. Calls `done(false)` if an ancestor is still missing once every other
  /// node was asked for it, or after `fetch_time_limit`: no other node may have it, or the store may have no
  /// capacity for it. The caller must not acknowledge the turn then. Calls `done` before it returns if no
  /// ancestor is missing.
  void complete_chain(const common::Turn& turn, Done done);

  /// Writes the metric family `chutevane_storage_chains`.
  void write_metrics(common::MetricsWriter& out) const;

 private:
  static constexpr int max_log_lines_per_second = 10;

  struct Fetch;  ///< state of the fetch for one chain
  void request_next(const std::shared_ptr<Fetch>& fetch);
  /// Returns the addresses of all other nodes, those of the program's replica group in front.
  std::deque<std::string> peers_by_preference(const std::string& program) const;
  void record_end(const Fetch& fetch);
  void on_reply(const std::shared_ptr<Fetch>& fetch, const absl::StatusOr<common::FindTurnReply>& reply);

  net::TimerQueue& timers_;
  ReplicaStore& store_;
  PeerClients& peers_;
  const ServedMap& map_;
  const std::string own_node_;
  const std::size_t tolerated_losses_;
  std::array<std::uint64_t, chain_outcome_count> outcomes_{};
  common::RateLimitedLog incomplete_log_{"storage.chain_incomplete", max_log_lines_per_second};
};

}  // namespace chutevane::storage
