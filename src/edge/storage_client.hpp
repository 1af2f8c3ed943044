/// The edge's client of the storage nodes: reserves budgets before a request runs, stores a turn before its
/// response ends, and reads the chain of turns that a request continues.
///
/// Each program has a replica group of 2 x losses + 1 storage nodes, which the storage map gives
/// (docs/state.md). Of a write, as many nodes as a quorum and more than may be lost have it on disk before it
/// counts, all of them under the same map: a node that has it under an older map may be lost, and the node
/// that succeeds it may have copied the others' data before they had the write. Answers under two maps are
/// therefore never added up; an operation whose map is superseded starts over.
///
/// Each operation ends with exactly one call of its `done`, by its deadline or shortly after (tens of ms),
/// from the event loop or from inside the call that began it. Operations can't be cancelled.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "edge/turn_cache.hpp"
#include "edge/usage_outbox.hpp"

namespace chutevane::edge {

/// What came of a reservation.
enum class ReservationResult : std::uint8_t {
  granted,
  exhausted,    ///< others have reserved or used too much of the program's budget
  unavailable,  ///< no quorum has answered in time; some nodes may have the reservation
};

/// What came of a lookup.
enum class LookupResult : std::uint8_t {
  complete,
  not_found,    ///< proven: there is no such turn
  unavailable,  ///< could not be told in time
};

/// A turn and all that it continues.
struct TurnChain {
  LookupResult result = LookupResult::unavailable;
  std::vector<std::shared_ptr<const common::Turn>> turns;  ///< the oldest first; all of them only if complete
};

/// Not thread-safe: everything happens on the scheduler's thread. Must outlive its operations.
class StorageClient {
 public:
  /// `zone`: of this process, whose nodes are asked first. `tolerated_losses`: storage nodes that may be lost
  /// at once. `cache_bytes`: for turns that went through here. `seed`: of the pauses between attempts to
  /// connect.
  StorageClient(net::Scheduler& scheduler, net::TimerQueue& timers, std::string zone,
                std::size_t tolerated_losses, std::size_t cache_bytes, std::uint64_t seed);

  /// The storage nodes by the map of this version; an older version than the known one is ignored.
  void on_storage_map(std::int64_t map_version, const std::vector<common::StorageNode>& storage_nodes);
  /// Whether enough nodes are known to survive the tolerated losses.
  bool can_replicate() const;
  std::int64_t map_version() const { return map_version_; }

  /// Reserves `tokens` of the program's `budget` for the attempt, unless others have too much of it.
  void reserve(const std::string& program, const std::string& attempt_id, std::int64_t tokens,
               std::int64_t budget, TimePoint deadline, std::function<void(ReservationResult)> done);
  /// The attempt has used so many of the reserved tokens. Sent to each node of the group, without an answer,
  /// and again over the node's next connection (usage_outbox.hpp).
  void commit_usage(const std::string& program, const std::string& attempt_id, std::int64_t tokens);
  /// The attempt has not run and will not.
  void release(const std::string& program, const std::string& attempt_id) {
    commit_usage(program, attempt_id, 0);
  }

  /// Stores a turn; `done(true)` once enough nodes have it on disk. `used_tokens`: commits the reservation of
  /// the turn's attempt along with it; -1: it has none.
  void store_turn(const common::Turn& turn, std::int64_t used_tokens, TimePoint deadline,
                  std::function<void(bool)> done);

  /// Reads the turn `id` and all that it continues. `attempt_id`: of the request that asks, for logs.
  void find_chain(const std::string& id, const std::string& program, const std::string& attempt_id,
                  TimePoint deadline, std::function<void(TurnChain)> done);
  std::size_t cached_turns() const { return cache_.size(); }

 private:
  static constexpr Span rpc_timeout = Span::ms(400);    // two ways and a sync take some ms
  static constexpr Span retry_interval = Span::ms(15);  // where the map is about to change

  // storage_client_reservations.cpp
  struct PendingReservation;
  void start_reservation_round(const std::shared_ptr<PendingReservation>& pending);
  void on_reserve_reply(const std::shared_ptr<PendingReservation>& pending, std::uint64_t round,
                        absl::StatusOr<common::ReserveReply> reply);
  void confirm_reservation(const std::shared_ptr<PendingReservation>& pending, std::uint64_t round);
  void retry_reservation(const std::shared_ptr<PendingReservation>& pending);

  // storage_client_writes.cpp
  struct ReplicatedWrite;
  void start_write_round(const std::shared_ptr<ReplicatedWrite>& write);
  void write_to_next(const std::shared_ptr<ReplicatedWrite>& write);
  void on_store_reply(const std::shared_ptr<ReplicatedWrite>& write, std::uint64_t round, std::size_t node,
                      const absl::StatusOr<common::StoreTurnReply>& reply);
  void hedge_write(const std::shared_ptr<ReplicatedWrite>& write);
  void check_replicated(const ReplicatedWrite& write) const;

  // storage_client_lookups.cpp
  struct PendingLookup;
  void continue_lookup(const std::shared_ptr<PendingLookup>& lookup);
  void follow_turns(PendingLookup& lookup, std::vector<common::Turn> turns);
  void follow_cached_turns(PendingLookup& lookup);
  void start_lookup_round(PendingLookup& lookup);
  void ask_node(const std::shared_ptr<PendingLookup>& lookup, std::size_t position);
  void on_find_reply(const std::shared_ptr<PendingLookup>& lookup, std::uint64_t round,
                     absl::StatusOr<common::FindTurnReply> reply);
  void finish_lookup(PendingLookup& lookup, LookupResult result);

  // Indexes into storage_nodes_.
  std::vector<std::size_t> replica_group(const std::string& program) const;
  void move_own_zone_first(std::vector<std::size_t>& nodes) const;
  // Nodes of a group of that size that must have a write.
  std::size_t required_replicas(std::size_t group_size) const;
  common::RpcClient& connection_to(const std::string& address);
  // To the node at that index: now, and once more over its next connection.
  void send_usage(std::size_t index, const common::CommitUsage& message);
  common::RpcClient& node(std::size_t index) { return connection_to(storage_nodes_[index].address); }

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::string zone_;
  const std::size_t tolerated_losses_;
  const std::uint64_t seed_;
  std::int64_t map_version_ = 0;
  std::vector<common::StorageNode> storage_nodes_;
  std::map<std::string, std::unique_ptr<common::RpcClient>> connections_;  // by address
  std::map<std::string, UsageOutbox> usage_outboxes_;                      // by address
  TurnCache cache_;
};

}  // namespace chutevane::edge
