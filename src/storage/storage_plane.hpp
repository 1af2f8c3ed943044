/// A storage node: the program that holds replicas of turns and of programs' token accounts.
///
/// Edges send it these messages (api/storage.avsc): ReserveRequest before a turn with a budget runs,
/// CommitUsage with the tokens that it used, StoreTurnRequest at its end, and FindTurnRequest for a turn that
/// a later one continues. Its peers send PullRequest and FindTurnRequest. The node grants reservations,
/// stores turns and denies their existence only if the caller uses the same storage map, and acknowledges
/// only what is durable. Controllers push new maps to the node (common/control_sessions.hpp), which reports
/// to them under which map it is complete.
///
/// ReplicaStore holds the data, and GroupCommit makes it durable. StateTransfer fetches what a new map
/// assigns to this node, and AncestorFetcher the missing ancestors of turns to be stored. ServedMapRecord
/// keeps the map version across restarts. This class connects these parts to the network. docs/state.md
/// describes the design, docs/storage-format.md the files.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "common/control_sessions.hpp"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/invariant.hpp"
#include "common/process.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "storage/ancestor_fetcher.hpp"
#include "storage/group_commit.hpp"
#include "storage/peer_clients.hpp"
#include "storage/replica_status.hpp"
#include "storage/replica_store.hpp"
#include "storage/request_stats.hpp"
#include "storage/served_map.hpp"
#include "storage/served_map_record.hpp"
#include "storage/state_transfer.hpp"

namespace chutevane::storage {

/// The storage plane. Runs on the event loop's thread; only disk operations block it.
class StoragePlane final : public common::Plane {
 public:
  /// `scheduler` must outlive this object.
  StoragePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);
  /// Reads the disk, starts to listen and opens sessions to the controllers. Returns an error if the disk
  /// cannot be read or written.
  absl::Status open() override;
  /// Reports to the controllers that this node is draining. The shutdown ends once other nodes hold this
  /// node's data, because its disk may be lost with it, or shortly before the grace period ends.
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  void write_metrics(common::MetricsWriter& out) override;

  // Inspection by simulations.
  const ServedMap& served_map() const { return map_; }
  /// Returns true if this node states that it has all replicas that its map assigns to it.
  bool is_complete() const { return transfer_.is_complete(); }
  bool holds_turn(const std::string& id) const { return store_.find_turn(id) != nullptr; }

 private:
  using Connection = common::RpcServer::Connection;
  /// A StoreTurnRequest that was not replied to yet.
  struct StoreCall {
    std::uint64_t connection_id = 0;
    std::uint64_t request_id = 0;
    std::string turn_id;
    std::int64_t map_version = 0;  // that the caller uses
  };

  // Start
  absl::Status recover_disk_identity();
  void open_sessions();
  void listen();

  // Requests. The reply to a call carries its `request_id`.
  void on_reserve(Connection& connection, std::uint64_t request_id, const common::ReserveRequest& request);
  void on_commit_usage(const common::CommitUsage& message);
  void on_store_turn(Connection& connection, std::uint64_t request_id,
                     const common::StoreTurnRequest& request);
  void reply_to_store(const StoreCall& call, ReplicaStatus status);
  void on_find_turn(Connection& connection, std::uint64_t request_id, const common::FindTurnRequest& request);
  void on_pull(Connection& connection, std::uint64_t request_id, const common::PullRequest& request);

  /// Returns `ok` if a reservation may be granted now; otherwise the reason why not.
  ReplicaStatus reserve_status(std::int64_t caller_map) const;
  /// Stores the turn and returns `ok`, or returns the reason why it cannot be stored.
  ReplicaStatus store_turn(const common::StoreTurnRequest& request);
  /// Returns the status for a turn that the store does not have.
  ReplicaStatus missing_turn_status(std::int64_t caller_map) const;
  void record_outcome(RequestKind kind, ReplicaStatus status, const std::string& attempt,
                      std::int64_t caller_map);
  /// Sends the reply once all changes so far are durable, if the caller is still connected then.
  template <class Message>
  void respond_after_commit(const Connection& connection, std::uint64_t request_id, Message message) {
    group_commit_.after_commit([this, id = connection.id(), request_id, message = std::move(message)] {
      common::check_invariant(common::Invariant::answered_after_sync, !store_.has_uncommitted(),
                              [] { return std::string("the store has uncommitted records"); });
      if (Connection* const caller = rpc_server_.find(id)) caller->reply(request_id, message);
    });
  }

  // Maps
  /// Handles a newer value of the register, which may contain a newer map.
  void on_value(const common::RegisterValue& value);
  /// Returns true if the node was complete under `previous` and the current map assigns nothing new to it. A
  /// draining node has nothing assigned to it, and is complete until a map assigns replicas to it again.
  bool stays_complete(const ServedMap& previous) const;
  /// Returns true if the map marks this node as bootstrapping: it was added by a map that other nodes may not
  /// have received yet, and has not been complete since.
  bool is_bootstrapping() const;
  /// Reports to the controllers that this node is complete, and records it once the transferred data is
  /// durable.
  void on_transfer_complete();

  void expire_periodically();
  /// Returns true if other nodes hold this node's data, or are too few to do so.
  bool may_exit() const;
  void exit_when_drained(TimePoint deadline);

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  std::unique_ptr<common::Disk> disk_;
  common::DurableState identity_file_;
  common::StorageNodeRecord identity_;  // identifies the disk
  ServedMap map_;
  ServedMapRecord map_record_;
  ReplicaStore store_;
  GroupCommit group_commit_;
  PeerClients peers_;
  StateTransfer transfer_;
  AncestorFetcher ancestor_fetcher_;
  common::RpcServer rpc_server_;
  std::unique_ptr<common::ControlSessions> sessions_;
  RequestStats request_stats_;
  bool shutting_down_ = false;
  bool finished_ = false;
};

}  // namespace chutevane::storage
