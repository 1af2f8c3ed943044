#include "control/control_plane.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "common/disk.hpp"
#include "common/control_sessions.hpp"
#include "common/log.hpp"
#include "control/control_timing.hpp"
#include "control/value_notification.hpp"

namespace chutevane::control {
namespace {

constexpr std::size_t max_configuration_bytes = 8U << 20U;
constexpr Span acceptor_timeout = Span::ms(350);         // two round trips and a sync take some ms
constexpr Span acknowledgement_timeout = Span::ms(300);  // an operator waits so long for edges
// A full gossip message of each peer, and time for a member that lost its session to open another.
constexpr Span membership_settle_time = Span::ms(3000);
constexpr Span min_shutdown_duration = Span::ms(400);  // between SIGTERM and the end: calls under way
constexpr Span shutdown_poll_interval = Span::ms(50);  // whether the acceptor has been replaced
constexpr Span shutdown_reserve = Span::ms(600);       // before the platform ends the process by force

std::string address_of_seed(const common::ProcessSettings& settings, const sockaddr_in& seed) {
  const auto port = static_cast<std::uint16_t>(settings.first_port + common::control_plane_port);
  return common::internal_control_address(seed, port);
}

}  // namespace

std::uint64_t seed_of(const std::string& name, TimePoint now) {
  const auto time_us = static_cast<std::uint64_t>(now.as_ms() * 1000);
  return XXH3_64bits_withSeed(name.data(), name.size(), time_us);
}

ControlPlane::ControlPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
                           std::unique_ptr<common::Disk> disk)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      address_(net::text_of(settings.internal_address(common::control_plane_port))),
      incarnation_(seed_of(settings.node + "holder", scheduler.now())),
      disk_(std::move(disk)),
      record_storage_(*disk_, "control"),
      register_(timers_, *this, seed_of(settings.node, scheduler.now()) >> 1U),
      rpc_server_(scheduler),
      operator_api_(register_, *this, settings.machine_losses),
      operator_server_(scheduler, max_configuration_bytes,
                       [this](const http::Parser& request, common::HttpServer::Reply reply) {
                         operator_api_.serve(request, std::move(reply));
                       }),
      peers_(scheduler, timers_, address_),
      knowledge_(timers_, register_, acceptor_, peers_, *this, static_cast<std::int64_t>(incarnation_)),
      endpoint_list_election_("list", seed_of(settings.node + "list", scheduler.now()), timers_, register_,
                              peers_, {settings.node, address_, incarnation_},
                              [this] {
                                send_gossip();
                                endpoint_list_.fetch();
                              }),
      membership_election_("roster", seed_of(settings.node + "roster", scheduler.now()), timers_, register_,
                           peers_, {settings.node, address_, incarnation_}, [this] { send_gossip(); }),
      platform_(scheduler, timers_, settings.platform, settings.platform_rate),
      endpoint_list_(timers_, platform_, endpoint_list_election_, peers_,
                     [this] { sessions_.on_endpoint_list_changed(); }),
      membership_(register_, settings.machine_losses,
                  [this](const common::RegisterValue& chosen, bool acceptors_changed) {
                    announce(chosen);
                    common::log_info(acceptors_changed ? "roster.acceptors" : "roster.storage_nodes",
                                     "number " + std::to_string(chosen.number) + ", epoch " +
                                         std::to_string(chosen.epoch) + ", map " +
                                         std::to_string(chosen.map_version) + " of " +
                                         std::to_string(chosen.storage_nodes.size()));
                    if (acceptors_changed) send_gossip();
                  }),
      sessions_(timers_, rpc_server_, endpoint_list_.table()) {}

// ---- Start

absl::Status ControlPlane::open() {
  if (absl::Status loaded = load_record(); !loaded.ok()) return loaded;
  if (absl::Status opened = open_acceptor(); !opened.ok()) return opened;
  acceptor_->on_epoch_entered(
      [this](const common::RegisterValue& epoch_value) { register_.observe_epoch(epoch_value); });
  register_.observe_epoch(record_.initial);
  register_.observe_epoch(acceptor_->epoch_value());
  register_.on_chosen([this](const common::RegisterValue& value) { on_value_chosen(value); });
  peers_.on_connected([this](Peer& peer) { greet_peer(peer); });
  add_known_peers();
  in_contact_since_ = timers_.now();
  register_rpc_handlers();
  rpc_server_.listen(settings_.internal_listen_address(common::control_plane_port));
  if (settings_.control) operator_server_.listen(*settings_.control);
  tick();
  endpoint_list_.start_polling();
  common::log_info("control.open", "disk " + record_.disk + (record_.first ? ", first start" : "") +
                                       ", epoch " + std::to_string(register_.epoch_value().epoch));
  return absl::OkStatus();
}

/// Reads who this disk is and which controllers it knew, or writes it for a new disk.
absl::Status ControlPlane::load_record() {
  const auto recovered = record_storage_.recover();
  if (recovered.ok()) {
    const bool decoded = common::decode(recovered->checkpoint, record_);
    return decoded ? absl::OkStatus() : absl::DataLossError("control: record not read");
  }
  // A first write that was torn was reported to nobody: the disk is as good as new.
  const bool is_new_disk = absl::IsNotFound(recovered.status()) || absl::IsDataLoss(recovered.status());
  if (!is_new_disk) return recovered.status();
  record_.disk = disk_->generate_id();
  record_.first = settings_.initial_start;
  if (record_.first) {
    std::vector<common::Acceptor> seeds;
    for (const sockaddr_in& seed : settings_.seeds) seeds.push_back({address_of_seed(settings_, seed), ""});
    record_.initial = first_epoch_value(std::move(seeds));
  }
  return record_storage_.write_checkpoint(common::encoded(record_));
}

absl::Status ControlPlane::open_acceptor() {
  acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  const absl::Status opened = acceptor_->open();
  if (!absl::IsDataLoss(opened)) return opened;
  // What it promised cannot be read: it is another disk from here on, and votes in no epoch that named it.
  common::log_warning("acceptor.lost", opened.ToString());
  record_.disk = disk_->generate_id();
  record_.first = false;
  if (absl::Status stored = record_storage_.write_checkpoint(common::encoded(record_)); !stored.ok())
    return stored;
  acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  return absl::OkStatus();
}

void ControlPlane::add_known_peers() {
  add_seeds(settings_);
  for (const std::string& address : record_.controllers) peers_.add(address);
}

void ControlPlane::add_seeds(const common::ProcessSettings& settings) {
  for (const sockaddr_in& seed : settings.seeds) peers_.add(address_of_seed(settings_, seed));
}

void ControlPlane::reload(const common::ProcessSettings& settings) { add_seeds(settings); }

void ControlPlane::register_rpc_handlers() {
  using Connection = common::RpcServer::Connection;
  rpc_server_.on<common::Prepare>(
      [this](Connection& connection, std::uint64_t request_id, common::Prepare& request) {
        const auto reply = prepare_locally(request);
        if (reply.ok() && request_id != 0) connection.reply(request_id, *reply);
      });
  rpc_server_.on<common::Accept>(
      [this](Connection& connection, std::uint64_t request_id, common::Accept& request) {
        const auto reply = accept_locally(request);
        if (reply.ok() && request_id != 0) connection.reply(request_id, *reply);
      });
  rpc_server_.on<common::Chosen>([this](Connection&, std::uint64_t, common::Chosen& notification) {
    apply_chosen_notification(register_, recent_values_, notification);
  });
  rpc_server_.on<common::Gossip>(
      [this](Connection&, std::uint64_t, common::Gossip& gossip) { on_gossip(gossip); });
  rpc_server_.on<common::VoteRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::VoteRequest& request) {
        const bool is_for_list = request.role == endpoint_list_election_.role();
        RoleElection& election = is_for_list ? endpoint_list_election_ : membership_election_;
        connection.reply(request_id, election.on_vote_request(request));
      });
  rpc_server_.on<common::EndpointList>([this](Connection&, std::uint64_t, common::EndpointList& change) {
    endpoint_list_.on_endpoint_list(change);
  });
  rpc_server_.on<common::MemberHeartbeat>(
      [this](Connection& connection, std::uint64_t, common::MemberHeartbeat& heartbeat) {
        on_member_heartbeat(connection, heartbeat);
      });
  rpc_server_.on_close([this](Connection& connection) {
    sessions_.close(connection.id());
    complete_acknowledged();
  });
}

// ---- Requests to acceptors, this process's own included

absl::StatusOr<common::Promise> ControlPlane::prepare_locally(const common::Prepare& request) {
  auto reply = acceptor_->prepare(request);
  record_disk_outcome(reply.status());
  return reply;
}

absl::StatusOr<common::Accepted> ControlPlane::accept_locally(const common::Accept& request) {
  auto reply = acceptor_->accept(request);
  // The register here knows what its own acceptor has: others need not send it back.
  if (reply.ok() && static_cast<AcceptorStatus>(reply->verdict) == AcceptorStatus::ok)
    register_.observe_accepted(request.epoch, acceptor_->accepted_ballot(), acceptor_->accepted_value());
  record_disk_outcome(reply.status());
  return reply;
}

void ControlPlane::prepare(const std::string& address, const common::Prepare& request,
                           PromiseCallback callback) {
  if (address == address_) return callback(prepare_locally(request));
  common::RpcClient* const connection = peers_.connection_to(address);
  if (connection == nullptr) return callback(absl::InvalidArgumentError(address));
  connection->call<common::Promise>(request, acceptor_timeout, std::move(callback));
}

void ControlPlane::accept(const std::string& address, const common::Accept& request,
                          AcceptedCallback callback) {
  if (address == address_) return callback(accept_locally(request));
  common::RpcClient* const connection = peers_.connection_to(address);
  if (connection == nullptr) return callback(absl::InvalidArgumentError(address));
  connection->call<common::Accepted>(request, acceptor_timeout, std::move(callback));
}

// ---- Chosen values

void ControlPlane::on_value_chosen(const common::RegisterValue& value) {
  recent_values_.add(value);
  sessions_.on_value(value);
  if (record_.initial.epoch < register_.epoch_value().epoch) store_record();
}

/// Notifies the peers of the newest known value, which is the one given or a later one. Peers would also
/// learn of it by gossip, but later.
void ControlPlane::announce(const common::RegisterValue&) {
  if (!register_.known_value()) return;
  const std::int64_t number = register_.known_value()->number;
  for (auto& [address, peer] : peers_) {
    // A peer that does not read gets no more: it reads the register when it is back.
    if (!peer.connection->up() || peer.connection->unsent() > common::PushCursor::max_unsent_bytes) continue;
    PeerPosition position;
    if (peer.last_gossip) position = {peer.last_gossip->epoch, peer.last_gossip->known_number};
    position.number = std::max(position.number, peer.notified_number);
    if (position.number >= number) continue;
    peer.connection->send(make_chosen_notification(recent_values_, register_, position));
    peer.notified_number = number;
  }
}

// ---- Disk

/// Stores the newest epoch and the known controllers, so that this process finds the others again after a
/// restart, whatever the seeds of its settings are by then.
void ControlPlane::store_record() {
  record_.initial = register_.epoch_value();
  record_.controllers = controller_addresses();
  record_disk_outcome(record_storage_.write_checkpoint(common::encoded(record_)));
}

void ControlPlane::record_disk_outcome(const absl::Status& outcome) {
  // A request that had nothing to write succeeds on a failing disk, too.
  const bool has_failed_write = acceptor_->is_disk_failing() || record_storage_.needs_checkpoint();
  if (outcome.ok() && has_failed_write) return;
  disk_health_.record_outcome(outcome);
}

void ControlPlane::retry_failed_writes() {
  if (acceptor_->is_disk_failing()) record_disk_outcome(acceptor_->retry_write());
  if (record_storage_.needs_checkpoint()) store_record();
}

// ---- Loop

void ControlPlane::tick() {
  if (is_finished_) return;
  remove_expired_peers();
  retry_failed_writes();
  if (!knowledge_.has_quorum_contact(peer_liveness_timeout) || !peers_.are_all_live())
    in_contact_since_ = timers_.now();
  send_gossip();
  knowledge_.catch_up();
  send_heartbeats();
  complete_acknowledged();
  run_roles();
  timers_.after(tick_interval, [this] { tick(); });
}

void ControlPlane::remove_expired_peers() {
  for (const std::string& address : peers_.remove_expired(register_.epoch_value().acceptors))
    knowledge_.remove_peer(address);
}

void ControlPlane::run_roles() {
  if (is_shutting_down_) return;
  for (RoleElection* election : {&endpoint_list_election_, &membership_election_})
    election->tick(knowledge_.has_quorum_contact(leader_lease_duration));
  const bool is_leading = membership_election_.is_leader();
  membership_.set_leading(is_leading);
  if (is_leading && knowledge_.has_quorum_contact(leader_lease_duration))
    membership_.reconcile(live_controllers(), members(), timers_.now());
}

/// This controller and its live peers, without those whose disk fails: they can't vote and count as gone.
std::vector<LiveController> ControlPlane::live_controllers() const {
  std::vector<LiveController> out;
  if (!acceptor_->is_disk_failing())
    out.push_back({address_, record_.disk, record_.first, !is_shutting_down_});
  for (const auto& [address, peer] : peers_) {
    if (!peers_.is_live(peer) || peer.last_gossip->disk_failing) continue;
    out.push_back({address, peer.last_gossip->disk, peer.last_gossip->first, !peer.last_gossip->draining});
  }
  return out;
}

// ---- Sessions of members

void ControlPlane::on_member_heartbeat(common::RpcServer::Connection& connection,
                                       const common::MemberHeartbeat& heartbeat) {
  if (heartbeat.closing) return sessions_.close(connection.id());
  endpoint_list_.on_member_token(heartbeat.list_term);
  const bool is_new = sessions_.on_heartbeat(connection, heartbeat);
  if (is_new) {
    common::ControlHeartbeat greeting = make_heartbeat();
    greeting.echo_stamp = heartbeat.stamp;
    greeting.controllers = controller_addresses();
    connection.send(greeting);
  }
  complete_acknowledged();
}

common::ControlHeartbeat ControlPlane::make_heartbeat() const {
  common::ControlHeartbeat heartbeat;
  heartbeat.knowledge_age_ms = static_cast<std::int64_t>(knowledge_.age().as_ms());
  heartbeat.number = register_.known_value() ? register_.known_value()->number : 0;
  return heartbeat;
}

void ControlPlane::send_heartbeats() {
  common::ControlHeartbeat heartbeat = make_heartbeat();
  const std::vector<common::Member> all = members();
  heartbeat.edge_count = std::count_if(all.begin(), all.end(),
                                       [](const common::Member& member) { return member.plane == "edge"; });
  if (sessions_.send_heartbeats(heartbeat, controller_addresses())) complete_acknowledged();
}

void ControlPlane::complete_acknowledged() {
  pending_acknowledgements_.complete(
      timers_.now(), [this](std::int64_t number) { return sessions_.have_edges_acknowledged(number); });
}

// ---- What the operators' API asks for

void ControlPlane::notify_when_acknowledged(std::int64_t number, std::function<void()> callback) {
  pending_acknowledgements_.add(number, timers_.now() + acknowledgement_timeout, std::move(callback));
  timers_.after(acknowledgement_timeout + Span::ms(1), [this] { complete_acknowledged(); });
  complete_acknowledged();
}

/// Of several reports about one node, the one counts that has the latest complete map; where the disk
/// differs, the last report, and this controller's own sessions come last.
std::vector<common::Member> ControlPlane::members() const {
  std::map<std::string, common::Member> by_node;
  const auto merge = [&](const common::Member& member) {
    common::Member& known = by_node[member.node];
    const bool replaces = known.node.empty() || known.disk != member.disk ||
                          known.complete_map_version < member.complete_map_version;
    if (replaces) known = member;
  };
  for (const auto& [address, peer] : peers_) {
    if (!peers_.is_live(peer)) continue;
    for (const common::Member& member : peer.last_gossip->members) merge(member);
  }
  for (const common::Member& member : sessions_.members()) merge(member);
  std::vector<common::Member> out;
  for (const auto& [node, member] : by_node) out.push_back(member);
  return out;
}

/// A member's session is reported by a peer's next full gossip message; a member that had to look for another
/// controller has found it by then too.
bool ControlPlane::are_members_complete() const {
  return knowledge_.has_quorum_contact(peer_liveness_timeout) && peers_.are_all_live() &&
         timers_.now() - in_contact_since_ >= membership_settle_time;
}

ControlStatus ControlPlane::status() const {
  return {settings_.node, knowledge_.age(), led_roles(), endpoint_list_.table().entries().size(),
          timers_.now()};
}

std::vector<common::HeldRole> ControlPlane::led_roles() const {
  std::vector<common::HeldRole> out;
  for (const RoleElection* election : {&endpoint_list_election_, &membership_election_}) {
    if (election->is_leader()) out.push_back({election->role(), election->term()});
  }
  return out;
}

// ---- Shutdown

void ControlPlane::begin_shutdown() {
  if (is_shutting_down_) return;
  is_shutting_down_ = true;
  endpoint_list_election_.withdraw();
  membership_election_.withdraw();
  send_gossip();
  // Operators' requests that are under way come to their end.
  const TimePoint deadline = timers_.now() + settings_.grace - shutdown_reserve;
  timers_.after(min_shutdown_duration, [this, deadline] { exit_when_released(deadline); });
}

/// Whether the acceptor is not needed any more, or nobody is there to replace it. Its disk may go with it,
/// and the machine that replaces it may have been there for long: the next loss would leave no majority. So
/// it votes until another acceptor has its place.
bool ControlPlane::may_exit() const {
  const std::vector<common::Acceptor>& acceptors = register_.epoch_value().acceptors;
  if (!contains_address(acceptors, address_)) return register_.is_released(address_) || acceptors.empty();
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& [address, peer] = entry;
    const bool may_replace = peers_.is_live(peer) && !peer.last_gossip->draining;
    return may_replace && !contains_address(acceptors, address);
  });
}

void ControlPlane::exit_when_released(TimePoint deadline) {
  if (may_exit() || timers_.now() >= deadline) {
    is_finished_ = true;
    return;
  }
  timers_.after(shutdown_poll_interval, [this, deadline] { exit_when_released(deadline); });
}

}  // namespace chutevane::control
