// The periodic loop of a controller, its requests to acceptors, its disk, its member sessions and its
// shutdown.
#include "control/control_plane.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "common/log.hpp"
#include "control/control_timing.hpp"
#include "control/value_notification.hpp"

namespace chutevane::control {
namespace {

constexpr Span acceptor_timeout = Span::ms(350);         // two round trips and a sync take a few ms
constexpr Span acknowledgement_timeout = Span::ms(300);  // longest wait of an operator for edges
// Time for a full gossip message of each peer, and for a member that lost its session to open another one.
constexpr Span membership_settle_time = Span::ms(3000);
constexpr Span min_shutdown_duration = Span::ms(400);  // after SIGTERM, for requests in progress
constexpr Span shutdown_poll_interval = Span::ms(50);  // for the replacement of the acceptor
constexpr Span shutdown_reserve = Span::ms(600);       // before the platform kills the process

}  // namespace

// ---- Requests to acceptors, including this process's own

absl::StatusOr<common::Promise> ControlPlane::prepare_locally(const common::Prepare& request) {
  auto reply = acceptor_->prepare(request);
  record_disk_outcome(reply.status());
  return reply;
}

absl::StatusOr<common::Accepted> ControlPlane::accept_locally(const common::Accept& request) {
  auto reply = acceptor_->accept(request);
  // The register learns its own acceptor's value, so that other acceptors can omit it from promises.
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

/// Notifies the peers of the newest known value, which is the given one or a later one. Without this, peers
/// would learn of it from gossip, but later.
void ControlPlane::announce(const common::RegisterValue&) {
  if (!register_.known_value()) return;
  const std::int64_t number = register_.known_value()->number;
  for (auto& [address, peer] : peers_) {
    // Nothing is sent to a peer that does not drain its connection; it reads the register once it recovers.
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

/// Stores the newest epoch and the known controllers, so that this process finds the others after a restart
/// even if the seeds in its settings have changed.
void ControlPlane::store_record() {
  record_.initial = register_.epoch_value();
  record_.controllers = controller_addresses();
  record_disk_outcome(record_storage_.write_checkpoint(common::encoded(record_)));
}

void ControlPlane::record_disk_outcome(const absl::Status& outcome) {
  // A request that writes nothing succeeds even on a failing disk.
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
  watch_voting();
  coordination_.tick();
  coordination_api_.tick();
  run_roles();
  timers_.after(tick_interval, [this] { tick(); });
}

/// Probes acceptors that are suspected of not voting, and logs the set of non-voting acceptors when it
/// changes.
void ControlPlane::watch_voting() {
  const RegisterValue& epoch_value = register_.epoch_value();
  const std::set<std::string> in_contact = knowledge_.acceptors_in_contact(peer_liveness_timeout);
  const TimePoint now = timers_.now();
  if (now - suspects_probed_at_ >= suspect_interval) {
    suspects_probed_at_ = now;
    for (const std::string& address : voting_monitor_.suspects()) register_.probe_acceptor(address);
  }
  if (!voting_monitor_.update(epoch_value.epoch, in_contact, now)) return;
  const std::set<std::string>& non_voting = voting_monitor_.non_voting();
  std::string detail = std::to_string(in_contact.size()) + " of " +
                       std::to_string(epoch_value.acceptors.size()) + " acceptors of epoch " +
                       std::to_string(epoch_value.epoch) + " in contact; not voting: ";
  for (const std::string& address : non_voting) detail += address + " ";
  if (non_voting.empty()) {
    common::log_info("acceptors.voting", detail + "none");
  } else {
    common::log_warning("acceptors.not_voting", detail);
  }
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
  if (!is_leading || !knowledge_.has_quorum_contact(leader_lease_duration)) return;
  membership_.reconcile(live_controllers(), members(), timers_.now());
  coordination_.align_acceptors(register_.epoch_value());
}

/// Returns this controller and its live peers. Controllers whose disk fails cannot vote and count as absent.
std::vector<LiveController> ControlPlane::live_controllers() const {
  std::vector<LiveController> out;
  if (!is_disk_failing()) out.push_back({acceptor_->identity(), !is_shutting_down_});
  for (const auto& [address, peer] : peers_) {
    if (!peers_.is_live(peer) || peer.last_gossip->disk_failing) continue;
    const common::Gossip& gossip = *peer.last_gossip;
    out.push_back({{address, gossip.disk, gossip.first}, !gossip.draining});
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
    common::ControlHeartbeat first_heartbeat = make_heartbeat();
    first_heartbeat.echo_stamp = heartbeat.stamp;
    first_heartbeat.controllers = controller_addresses();
    connection.send(first_heartbeat);
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

// ---- Functions for the operators' API

void ControlPlane::notify_when_acknowledged(std::int64_t number, std::function<void()> callback) {
  pending_acknowledgements_.add(number, timers_.now() + acknowledgement_timeout, std::move(callback));
  timers_.after(acknowledgement_timeout + Span::ms(1), [this] { complete_acknowledged(); });
  complete_acknowledged();
}

/// If there are several reports about one node, uses the one with the latest complete map. If the disk
/// differs, uses the last report; this controller's own sessions come last.
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
  out.reserve(by_node.size());
  for (const auto& [node, member] : by_node) out.push_back(member);
  return out;
}

/// A member's session is reported with the peer's next full gossip message. `membership_settle_time` also
/// covers the time that a member needs to find another controller.
bool ControlPlane::are_members_complete() const {
  return knowledge_.has_quorum_contact(peer_liveness_timeout) && peers_.are_all_live() &&
         timers_.now() - in_contact_since_ >= membership_settle_time;
}

ControlStatus ControlPlane::status() const {
  return {settings_.node, knowledge_.age(),
          led_roles(),    endpoint_list_.table().entries().size(),
          timers_.now(),  voting_monitor_.non_voting()};
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
  coordination_api_.begin_shutdown();
  send_gossip();
  // Leaves time for operators' requests in progress.
  const TimePoint deadline = timers_.now() + settings_.grace - shutdown_reserve;
  timers_.after(min_shutdown_duration, [this, deadline] { exit_when_released(deadline); });
}

/// Returns true if the acceptor is no longer needed or if no controller can replace it. The disk may be lost
/// with the machine, and another machine may then be lost at any time, since the replacement may have been
/// running for long: no majority would be left. So the acceptor votes until another one has replaced it.
bool ControlPlane::may_exit() const {
  const std::vector<common::Acceptor>& acceptors = register_.epoch_value().acceptors;
  if (!contains_address(acceptors, address_))
    return acceptors.empty() || (register_.is_released(address_) && coordination_.is_released());
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
