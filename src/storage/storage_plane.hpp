/// A storage node: the program that holds replicas of turns and of programs' token accounts.
///
/// Edges call it (api/storage.avsc): ReserveRequest before a turn with a budget runs, CommitUsage for what it
/// came to, StoreTurnRequest at its end, FindTurnRequest for a turn that a later one continues. Its peers
/// call it with PullRequest and FindTurnRequest. It answers only under the storage map that the caller goes
/// by too, and only with what is durable. Controllers push it new maps (common/control_sessions.hpp) and are
/// told under which one it is complete.
///
/// The parts: ReplicaStore has the data, GroupCommit makes it durable, StateTransfer fetches what a new map
/// assigns to this node, AncestorFetcher the chains of turns that it is asked to store, ServedMapRecord
/// remembers the map over restarts. This class ties them to the network. docs/state.md has the reasons,
/// docs/storage-format.md the files.
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

/// Runs on the event loop's thread; nothing blocks but the disk.
class StoragePlane final : public common::Plane {
 public:
  /// `scheduler` outlives this object.
  StoragePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);
  /// Reads the disk, listens and opens sessions to the controllers. An error: the disk cannot be read or
  /// written.
  absl::Status open() override;
  /// Tells the controllers that this node drains. Ends once the others have what it holds, since its disk may
  /// go with it, or when the grace period is nearly over.
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  void write_metrics(common::MetricsWriter& out) override;

 private:
  using Connection = common::RpcServer::Connection;

  // Start
  absl::Status recover_disk_identity();
  void open_sessions();
  void listen();

  // Requests. `number`: of the call, repeated in its answer.
  void on_reserve(Connection& connection, std::uint64_t number, const common::ReserveRequest& request);
  void on_commit_usage(const common::CommitUsage& message);
  void on_store_turn(Connection& connection, std::uint64_t number, const common::StoreTurnRequest& request);
  void on_find_turn(Connection& connection, std::uint64_t number, const common::FindTurnRequest& request);
  void on_pull(Connection& connection, std::uint64_t number, const common::PullRequest& request);

  /// Whether a reservation may be answered.
  ReplicaStatus reserve_status(std::int64_t caller_map) const;
  /// Stores the turn where that may be done; otherwise the status says why not.
  ReplicaStatus store_turn(const common::StoreTurnRequest& request);
  /// What may be said of a turn that is not here.
  ReplicaStatus missing_turn_status(std::int64_t caller_map) const;
  void record_outcome(RequestKind kind, ReplicaStatus status, const std::string& attempt,
                      std::int64_t caller_map);
  /// Answers once everything that was changed by now is durable, if the caller is still connected then.
  template <class Message>
  void respond_after_commit(const Connection& connection, std::uint64_t number, Message message) {
    group_commit_.after_commit([this, id = connection.id(), number, message = std::move(message)] {
      common::check_invariant(common::Invariant::answered_after_sync, !store_.has_uncommitted(),
                              [] { return std::string("records are not on disk yet"); });
      if (Connection* const caller = rpc_server_.find(id)) caller->reply(number, message);
    });
  }

  // Maps
  /// A newer value of the register, and perhaps a newer map in it.
  void on_value(const common::RegisterValue& value);
  /// The node was complete under `previous`, and the map has assigned nothing to it since.
  bool stays_complete(const ServedMap& previous) const;
  /// The map marks this node: it has come in by a map that others may not have received yet, and has not been
  /// complete since.
  bool is_bootstrapping() const;
  /// Tells the controllers, and makes it durable once what the transfer has brought is.
  void on_transfer_complete();

  void expire_periodically();
  /// The others hold what is here, or are too few to.
  bool may_exit() const;
  void exit_when_drained(TimePoint deadline);

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  std::unique_ptr<common::Disk> disk_;
  common::DurableState identity_file_;
  common::StorageNodeRecord identity_;  // which disk this is
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
