// A control sidecar: the register's acceptor and proposer, the sessions of the others, duties, and the
// operator's API. Wanted states are in the register; loops work out the difference to what is.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/configuration.hpp"
#include "common/control_sessions.hpp"
#include "common/disk.hpp"
#include "common/disk_health.hpp"
#include "common/durable_state.hpp"
#include "common/http_server.hpp"
#include "common/process.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "common/value_update.hpp"
#include "control/acceptor.hpp"
#include "control/acceptor_set_planner.hpp"
#include "control/leader_election.hpp"
#include "control/operator_api.hpp"
#include "control/platform_client.hpp"
#include "control/quorum_contact.hpp"
#include "control/register.hpp"
#include "control/storage_map_planner.hpp"
#include "control/value_notification.hpp"

namespace chutevane::control {

class ControlPlane final : public common::Plane, AcceptorTransport, OperatorApi::Host {
 public:
  ControlPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);
  // Reads its disk and begins to listen. An error: the process cannot serve.
  absl::Status open() override;
  // The last word to the others, then the end.
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override;
  void write_metrics(common::MetricsWriter& out) override;

 private:
  struct Peer {
    std::unique_ptr<common::RpcClient> link;
    std::optional<common::Gossip> last;
    TimePoint heard, known_since;
    std::int64_t told = 0;  // the newest value that was told over this connection
  };
  struct Session {
    common::Member member;
    TimePoint since, heard;
    std::int64_t stamp = 0;  // of the newest MemberHeartbeat: returned with each heartbeat
    std::int64_t list_term = 0, list_number = 0;
    common::PushCursor values;
    bool first = false;  // changes go down it at once; down others with the next heartbeat, if still needed
  };

  void prepare(const std::string& address, const common::Prepare& ask,
               std::function<void(absl::StatusOr<common::Promise>)> answered) override;
  void accept(const std::string& address, const common::Accept& ask,
              std::function<void(absl::StatusOr<common::Accepted>)> answered) override;
  absl::StatusOr<common::Accepted> accept_here(const common::Accept& ask);

  void listen();
  void tick();
  void gossip();
  common::Gossip word_of_mine();
  common::Gossip full_word();
  void on_gossip(const common::Gossip& word);
  void know(const std::string& address);
  common::RpcClient* link(const std::string& address);  // none: that is no address
  void forget_lost();
  void catch_up();
  void confirm_contact();
  bool quorum_reached(Span within) const;
  AcceptorReport own_report() const;
  common::Gossip addressed(common::Gossip word, const Peer& peer) const;
  bool behind() const;
  bool learn_later_epoch();
  // Whether nothing that still counts goes with this machine, or nobody is there to take it over.
  bool may_go() const;
  void go_when_released(TimePoint latest);
  bool all_peers_heard() const;
  Span fresh_age() const;
  std::vector<std::string> controller_addresses() const;

  void chosen(const common::RegisterValue& value);
  void store_known();
  void note_disk(const absl::Status& outcome);
  void try_disk_again();
  void on_hello(common::RpcServer::Connection& connection, const common::MemberHeartbeat& hello);
  void push(std::uint64_t connection, Session& session);
  void heartbeat();
  void acknowledged();

  void work_duties();
  void campaign(LeaderElection& election);
  void request_votes(LeaderElection& election, std::int64_t term);
  void read_list();
  void read_list_now();  // where the duty is this one's
  void list_was_read(std::vector<common::EndpointEntry> entries);
  void take_list(const common::EndpointList& told);
  void step_down_if_overtaken(std::int64_t told);
  void list_changed();
  void keep_roster();
  Span longest_retention(const common::RegisterValue& value);

  // What the operators' API asks for.
  void announce(const common::RegisterValue& value) override;
  void notify_when_acknowledged(std::int64_t number, std::function<void()> then) override;
  std::vector<common::Member> members() const override;
  bool are_members_complete() const override;
  ControlStatus status() const override;

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  std::unique_ptr<common::Disk> disk_;
  common::DurableState record_slots_;
  common::ControllerRecord record_;
  const std::string address_;
  std::optional<DurableAcceptor> acceptor_;
  common::DiskHealth disk_health_;
  Register register_;
  common::RpcServer rpc_server_;
  OperatorApi operator_api_;
  common::HttpServer operator_port_;
  std::map<std::string, Peer> peers_;
  std::vector<std::unique_ptr<common::RpcClient>> parted_;
  std::map<std::uint64_t, Session> sessions_;
  common::RecentValues pushed_;  // the same without the record of orders, for which members have no use
  common::RecentValues recent_;  // that were known here: what goes to others is the difference from one
  // No value chosen before it is newer than the known one.
  TimePoint fresh_at_;
  TimePoint full_since_, told_since_;
  TimePoint in_contact_since_;  // with every control machine that it knows, without a break
  std::vector<std::string> told_controllers_;
  std::uint64_t full_stamp_ = 0;
  bool catching_up_ = false, leaving_ = false, finished_ = false;
  std::optional<TimePoint> behind_since_;
  LeaderElection endpoint_list_election_, membership_election_;
  PlatformClient platform_;
  const std::uint64_t incarnation_;  // of duties: this process, told from all others
  QuorumContact contact_;
  common::EndpointTable list_;
  std::int64_t followed_list_term_ = 0;  // the latest that one with a session here has told of
  bool changing_roster_ = false;
  bool had_roster_ = false;
  AcceptorSetPlanner acceptor_planner_;
  StorageMapPlanner storage_planner_;
  std::int64_t retention_version_ = -1;  // of the configuration that longest_retention_ is of
  Span longest_retention_;
  struct Waiting {  // an operator's change that is chosen: answered once all sidecars here have it
    std::int64_t number = 0;
    TimePoint until;
    std::function<void()> answer;
  };
  std::deque<Waiting> waiting_;
};

}  // namespace chutevane::control
