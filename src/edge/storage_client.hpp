/// The edge's client for the storage nodes. It reserves budgets before a request runs, stores a turn before
/// its response ends, and reads the chain of turns that a request continues.
///
/// Each program has a replica group of 2 x tolerated losses + 1 storage nodes, determined by the storage map
/// (docs/state.md). A write is acknowledged once it is on disk at a quorum of the group, and at more nodes
/// than may be lost, all under the same map. Replies under different maps are never added up: a node that has
/// the write under an older map may be lost, and the node that replaces it may have copied the data of the
/// others before they had the write. An operation whose map is superseded therefore starts over.
///
/// Each operation calls its `done` callback exactly once, by its deadline or shortly after (tens of ms), from
/// the event loop or from inside the call that started it. Operations can't be cancelled.
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

/// Result of a reservation.
enum class ReservationResult : std::uint8_t {
  granted,
  exhausted,    ///< other attempts have reserved or used too much of the program's budget
  unavailable,  ///< no quorum replied in time; some nodes may have recorded the reservation
};

/// Result of a lookup.
enum class LookupResult : std::uint8_t {
  complete,
  not_found,    ///< there is certainly no such turn
  unavailable,  ///< the lookup did not finish in time, or the memory budget has no room for the turns
};

/// Turns that continue each other, the oldest first.
using TurnList = std::vector<std::shared_ptr<const common::Turn>>;

/// A turn and all the turns that it continues.
struct TurnChain {
  LookupResult result = LookupResult::unavailable;
  TurnList turns;                 ///< all of them only if complete
  net::BufferCharge charge = {};  ///< for the turns that were fetched: the cache need not hold them any more
};

/// Not thread-safe; all calls and callbacks run on the scheduler's thread. Must outlive its operations.
class StorageClient {
 public:
  /// `zone` is the zone of this process; nodes of the same zone are contacted first. `tolerated_losses` is
  /// the number of storage nodes that may be lost at once. `cache_bytes` bounds the cache of recent turns.
  /// `seed` randomizes the delays between connection attempts.
  StorageClient(net::Scheduler& scheduler, net::TimerQueue& timers, std::string zone,
                std::size_t tolerated_losses, std::size_t cache_bytes, std::uint64_t seed);

  /// Replaces the storage nodes by those of a map. Ignored unless `map_version` is newer than the current
  /// one.
  void on_storage_map(std::int64_t map_version, const std::vector<common::StorageNode>& storage_nodes);
  /// Returns true if enough nodes are known to survive the tolerated losses.
  bool can_replicate() const;
  std::int64_t map_version() const { return map_version_; }

  /// Reserves `tokens` of the program's `budget` for the attempt, unless other attempts have too much of it.
  void reserve(const std::string& program, const std::string& attempt_id, std::int64_t tokens,
               std::int64_t budget, TimePoint deadline, std::function<void(ReservationResult)> done);
  /// Reports how many of the reserved tokens the attempt has used. Sent to each node of the group without a
  /// reply, and sent again over the node's next connection (usage_outbox.hpp).
  void commit_usage(const std::string& program, const std::string& attempt_id, std::int64_t tokens);
  /// Releases the reservation of an attempt that has not run and will not run.
  void release(const std::string& program, const std::string& attempt_id) {
    commit_usage(program, attempt_id, 0);
  }

  /// Stores a turn and calls `done(true)` once enough nodes have it on disk, with all turns that it
  /// continues, or `done(false)` at the deadline. `ancestors` are these turns, the oldest first: a node that
  /// lacks one of them, because it has expired in storage since the chain was read, gets them again.
  /// `used_tokens` commits the reservation of the turn's attempt in the same write; -1 if there is none.
  void store_turn(common::Turn turn, TurnList ancestors, std::int64_t used_tokens, TimePoint deadline,
                  std::function<void(bool)> done);
  /// Number of times that the ancestors of a turn were sent to a node that lacked one of them.
  std::uint64_t chains_sent() const { return chains_sent_; }

  /// Reads the turn `id` and all the turns that it continues. `attempt_id` identifies the request in logs.
  void find_chain(const std::string& id, const std::string& program, const std::string& attempt_id,
                  TimePoint deadline, std::function<void(TurnChain)> done);
  std::size_t cached_turns() const { return cache_.size(); }

 private:
  static constexpr Span rpc_timeout = Span::ms(400);    // a round trip and a disk sync take a few ms
  static constexpr Span retry_interval = Span::ms(15);  // while waiting for a new map

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
  void send_chain(const std::shared_ptr<ReplicatedWrite>& write, std::size_t node);
  void send_turn(const std::shared_ptr<ReplicatedWrite>& write, std::size_t node);
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

  // Returns indexes into storage_nodes_.
  std::vector<std::size_t> replica_group(const std::string& program) const;
  void move_own_zone_first(std::vector<std::size_t>& nodes) const;
  // Returns the number of nodes that must have a write, for a group of that size.
  std::size_t required_replicas(std::size_t group_size) const;
  common::RpcClient& connection_to(const std::string& address);
  // Sends the message to the node at that index now, and again over the node's next connection.
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
  std::uint64_t chains_sent_ = 0;
};

}  // namespace chutevane::edge
