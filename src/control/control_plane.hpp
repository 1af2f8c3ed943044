/// A controller: one process of the control plane.
///
/// It votes in the replicated register (acceptor), changes and reads it (Register), holds the sessions of
/// edges and storage nodes and pushes them what changes (MemberSessions), exchanges gossip with the other
/// controllers (PeerTable), takes part in the election of leaders of singleton roles (RoleElection), and
/// serves the operators' API. The wanted state is in the register; loops work out the difference from what is
/// there.
///
/// The sources: control_plane.cpp starts, runs and ends the process; control_plane_gossip.cpp makes and
/// handles gossip; control_plane_metrics.cpp writes the metrics. Everything runs on the one event loop of
/// `scheduler`.
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

/// The process, as common::run_process() drives it.
class ControlPlane final : public common::Plane, AcceptorTransport, OperatorApi::Host {
 public:
  ControlPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);

  /// Reads its disk and begins to listen. An error: the process cannot serve.
  absl::Status open() override;
  /// Begins the graceful shutdown: gives up its roles, and ends once its acceptor is not needed any more or
  /// the grace period is nearly over.
  void begin_shutdown() override;
  bool finished() const override { return is_finished_; }
  /// Adds the seeds of changed settings as peers; nothing else is taken from them.
  void reload(const common::ProcessSettings& settings) override;
  void write_metrics(common::MetricsWriter& out) override;

 private:
  // Start
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
  /// An acceptor of this process cannot write.
  bool is_disk_failing() const { return acceptor_->is_disk_failing() || coordination_.is_disk_failing(); }

  // Gossip
  common::Gossip make_short_gossip();
  common::Gossip make_full_gossip();
  void send_gossip();
  void greet_peer(Peer& peer);
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
  const std::string address_;        // where other processes of the system reach this one
  const std::uint64_t incarnation_;  // drawn at random at each start of the process

  std::unique_ptr<common::Disk> disk_;
  common::DurableState record_storage_;
  common::ControllerRecord record_;
  std::optional<DurableAcceptor> acceptor_;  // from open() on
  common::DiskHealth disk_health_;
  Register register_;
  VotingMonitor voting_monitor_;
  common::RecentValues recent_values_;  // known here: what peers are sent is the difference from one of them

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

  std::uint64_t full_gossip_digest_ = 0;  // of the long parts of the last full gossip message
  TimePoint full_gossip_sent_at_;
  TimePoint suspects_asked_at_;  // those of the voting monitor
  TimePoint in_contact_since_;   // with a quorum and with all known peers, without a break
  bool is_shutting_down_ = false;
  bool is_finished_ = false;
};

}  // namespace chutevane::control
