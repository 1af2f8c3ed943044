/// A controller: one process of the control plane.
///
/// It votes in the replicated register (DurableAcceptor), changes and reads it (Register), holds the sessions
/// of edges and storage nodes and pushes changes to them (MemberSessions), exchanges gossip with the other
/// controllers (PeerTable), takes part in the elections of leaders of singleton roles (RoleElection), and
/// serves the operators' API. The register holds the desired state; control loops reconcile it with the
/// observed state.
///
/// Sources: control_plane_startup.cpp starts the process and registers its handlers; control_plane.cpp
/// contains its periodic loop and its shutdown; control_plane_gossip.cpp creates and handles gossip;
/// control_plane_metrics.cpp writes the metrics. Everything runs on the single event loop of `scheduler`.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/disk.hpp"
#include "common/disk_health.hpp"
#include "common/durable_state.hpp"
#include "common/http_server.hpp"
#include "common/process.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "common/value_update.hpp"
#include "control/acceptor.hpp"
#include "control/acceptor_transport.hpp"
#include "control/coordination/coordination_api.hpp"
#include "control/coordination/coordination_service.hpp"
#include "control/endpoint_list_publisher.hpp"
#include "control/knowledge_tracker.hpp"
#include "control/member_sessions.hpp"
#include "control/membership_controller.hpp"
#include "control/operator_api.hpp"
#include "control/peer_table.hpp"
#include "control/pending_acknowledgements.hpp"
#include "control/platform_client.hpp"
#include "control/register.hpp"
#include "control/role_election.hpp"
#include "control/voting_monitor.hpp"

namespace chutevane::control {

/// The controller process, driven by common::run_process().
class ControlPlane final : public common::Plane, AcceptorTransport, OperatorApi::Host {
 public:
  ControlPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);

  /// Reads the disk and starts to listen. Returns an error if the process cannot serve.
  absl::Status open() override;
  /// Begins the graceful shutdown. Gives up the roles, and finishes once the acceptor is no longer needed or
  /// the grace period is nearly over.
  void begin_shutdown() override;
  bool finished() const override { return is_finished_; }
  /// Adds the seeds in changed settings as peers. All other settings are ignored.
  void reload(const common::ProcessSettings& settings) override;
  void write_metrics(common::MetricsWriter& out) override;

 private:
  // Startup
  absl::Status load_record();
  absl::Status open_acceptors();
  absl::Status open_acceptors_as(const AcceptorIdentity& identity, Unreadable unreadable);
  coordination::ServiceSettings coordination_settings();
  void serve(const http::Parser& request, common::HttpServer::Reply reply);
  void add_known_peers();
  void add_seeds(const common::ProcessSettings& settings);
  void register_rpc_handlers();

  // AcceptorTransport
  void prepare(const std::string& address, const common::Prepare& request, PromiseCallback callback) override;
  void accept(const std::string& address, const common::Accept& request, AcceptedCallback callback) override;
  absl::StatusOr<common::Promise> prepare_locally(const common::Prepare& request);
  absl::StatusOr<common::Accepted> accept_locally(const common::Accept& request);

  // Loop
  void tick();
  void watch_voting();
  void run_roles();
  void remove_expired_peers();
  void send_heartbeats();
  std::vector<LiveController> live_controllers() const;

  // Disk
  void store_record();
  void record_disk_outcome(const absl::Status& outcome);
  void retry_failed_writes();
  /// Returns true if an acceptor of this process cannot write to its disk.
  bool is_disk_failing() const { return acceptor_->is_disk_failing() || coordination_.is_disk_failing(); }

  // Gossip
  common::Gossip make_short_gossip();
  common::Gossip make_full_gossip();
  void send_gossip();
  void send_full_gossip(Peer& peer);
  void on_gossip(const common::Gossip& gossip);
  std::vector<std::string> controller_addresses() const;

  // Register and sessions
  void on_value_chosen(const common::RegisterValue& value);
  void on_member_heartbeat(common::RpcServer::Connection& connection,
                           const common::MemberHeartbeat& heartbeat);
  common::ControlHeartbeat make_heartbeat() const;
  void complete_acknowledged();

  // Shutdown
  bool may_exit() const;
  void exit_when_released(TimePoint deadline);

  // OperatorApi::Host
  void announce(const common::RegisterValue& value) override;
  void notify_when_acknowledged(std::int64_t number, std::function<void()> callback) override;
  std::vector<common::Member> members() const override;
  bool are_members_complete() const override;
  ControlStatus status() const override;

  // Metrics
  void write_register_metrics(common::MetricsWriter& out) const;
  void write_peer_metrics(common::MetricsWriter& out) const;
  void write_role_metrics(common::MetricsWriter& out) const;

  std::vector<common::HeldRole> led_roles() const;

  net::Scheduler& scheduler_;
  const common::ProcessSettings settings_;
  net::TimerQueue timers_;
  const std::string address_;        // of the internal port
  const std::uint64_t incarnation_;  // random number drawn at each start of the process

  std::unique_ptr<common::Disk> disk_;
  common::DurableState record_storage_;
  common::ControllerRecord record_;
  std::optional<DurableAcceptor> acceptor_;  // set by open()
  common::DiskHealth disk_health_;
  Register register_;
  VotingMonitor voting_monitor_;
  common::RecentValues recent_values_;  // bases of the differences that are sent to peers

  common::RpcServer rpc_server_;
  OperatorApi operator_api_;
  PeerTable peers_;
  coordination::CoordinationService coordination_;
  coordination::CoordinationApi coordination_api_;
  common::HttpServer operator_server_;
  KnowledgeTracker knowledge_;
  RoleElection endpoint_list_election_;
  RoleElection membership_election_;
  PlatformClient platform_;
  EndpointListPublisher endpoint_list_;
  MembershipController membership_;
  MemberSessions sessions_;
  PendingAcknowledgements pending_acknowledgements_;

  std::uint64_t full_gossip_digest_ = 0;  // digest of the long parts of the last full gossip message
  TimePoint full_gossip_sent_at_;
  TimePoint suspects_probed_at_;  // when the suspects of the voting monitor were last probed
  TimePoint in_contact_since_;    // start of uninterrupted contact with a quorum and all known peers
  bool is_shutting_down_ = false;
  bool is_finished_ = false;
};

}  // namespace chutevane::control
