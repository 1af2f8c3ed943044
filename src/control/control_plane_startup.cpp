// Startup of a controller: construction, recovery from disk, and registration of message handlers.
#include <xxhash.h>

#include <utility>

#include "common/control_sessions.hpp"
#include "common/log.hpp"
#include "control/control_plane.hpp"
#include "control/control_timing.hpp"
#include "control/coordination/coordination_status.hpp"
#include "control/value_notification.hpp"

namespace chutevane::control {
namespace {

constexpr std::size_t max_configuration_bytes = 8U << 20U;
constexpr double operator_connection_fraction =
    0.5;  // of the process's file descriptors; sessions have the rest
/// The key history is kept for this multiple of the duration promised to watchers, since a controller that
/// serves them may itself be behind by that duration, and a put may be retried even later.
constexpr double history_retention_factor = 3;
constexpr std::int64_t first_epoch = 1;

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
      peers_(scheduler, timers_, address_),
      coordination_(timers_, *disk_, peers_, rpc_server_, coordination_settings()),
      coordination_api_(timers_, coordination_, seed_of(settings.node + "call", scheduler.now())),
      operator_server_(
          scheduler, "control",
          {.body_bytes = max_configuration_bytes,
           .connections = common::connections_of(settings.descriptors, operator_connection_fraction)},
          [this](const http::Parser& request, common::HttpServer::Reply reply) {
            serve(request, std::move(reply));
          }),
      knowledge_(timers_, register_, acceptor_, peers_, *this, static_cast<std::int64_t>(incarnation_)),
      endpoint_list_election_("list", seed_of(settings.node + "list", scheduler.now()), timers_, register_,
                              peers_, {settings.node, address_, incarnation_},
                              [this] {
                                send_gossip();
                                endpoint_list_.on_elected();
                              }),
      membership_election_("roster", seed_of(settings.node + "roster", scheduler.now()), timers_, register_,
                           peers_, {settings.node, address_, incarnation_}, [this] { send_gossip(); }),
      platform_(scheduler, timers_, settings.platform, settings.platform_rate),
      endpoint_list_(timers_, platform_, endpoint_list_election_, peers_, settings.node,
                     [this] { sessions_.on_endpoint_list_changed(); }),
      membership_(register_, settings.machine_losses,
                  [this](const common::RegisterValue& chosen, bool acceptors_changed) {
                    announce(chosen);
                    common::log_info(acceptors_changed ? "roster.acceptors" : "roster.storage_nodes",
                                     "number " + std::to_string(chosen.number) + ", epoch " +
                                         std::to_string(chosen.epoch) + ", map " +
                                         std::to_string(chosen.map_version) + " of " +
                                         std::to_string(chosen.storage_nodes.size()));
                    if (!acceptors_changed) return;
                    send_gossip();
                    coordination_.align_acceptors(register_.epoch_value());
                  }),
      sessions_(timers_, rpc_server_, endpoint_list_.table()) {}

coordination::ServiceSettings ControlPlane::coordination_settings() {
  coordination::ServiceSettings out;
  out.address = address_;
  out.proposer = seed_of(settings_.node + "coordination", scheduler_.now()) >> 1U;
  out.incarnation = static_cast<std::int64_t>(incarnation_);
  out.history_retention = settings_.history * history_retention_factor;
  out.has_quorum_contact = [this] { return knowledge_.has_quorum_contact(peer_liveness_timeout); };
  return out;
}

void ControlPlane::serve(const http::Parser& request, common::HttpServer::Reply reply) {
  if (coordination::is_coordination_target(request.target())) {
    coordination_api_.serve(request, reply);
  } else if (coordination::is_status_target(request.target())) {
    coordination_api_.serve_status(request, settings_.node, reply);
  } else {
    operator_api_.serve(request, std::move(reply));
  }
}

absl::Status ControlPlane::open() {
  if (absl::Status loaded = load_record(); !loaded.ok()) return loaded;
  if (absl::Status opened = open_acceptors(); !opened.ok()) return opened;
  acceptor_->on_epoch_entered(
      [this](const common::RegisterValue& epoch_value) { register_.observe_epoch(epoch_value); });
  register_.observe_epoch(record_.initial);
  register_.observe_epoch(acceptor_->epoch_value());
  register_.on_chosen([this](const common::RegisterValue& value) { on_value_chosen(value); });
  register_.on_acceptor_reply([this](std::int64_t epoch, const std::string& address, AcceptorReply reply) {
    voting_monitor_.on_reply(epoch, address, reply, timers_.now());
  });
  peers_.on_connected([this](Peer& peer) {
    send_full_gossip(peer);
    coordination_.on_peer_connected(net::text_of(peer.connection->to()));
  });
  add_known_peers();
  in_contact_since_ = timers_.now();
  register_rpc_handlers();
  coordination_.register_rpc_handlers();
  rpc_server_.listen(settings_.internal_listen_address(common::control_plane_port));
  if (settings_.control) operator_server_.listen(*settings_.control);
  tick();
  endpoint_list_.start_polling();
  common::log_info("control.open", "disk " + record_.disk + (record_.first ? ", first start" : "") +
                                       ", epoch " + std::to_string(register_.epoch_value().epoch));
  return absl::OkStatus();
}

/// Reads the identity of this disk and the known controllers. For a new disk, creates and writes them.
absl::Status ControlPlane::load_record() {
  const auto recovered = record_storage_.recover();
  if (recovered.ok()) {
    const bool decoded = common::decode(recovered->checkpoint, record_);
    return decoded ? absl::OkStatus() : absl::DataLossError("control: cannot decode the controller record");
  }
  // A torn first write was never reported to anyone, so the disk counts as new.
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

/// Opens the acceptors of both registers under the disk's current identity. If the state of one of them
/// cannot be read, returns DataLoss, or starts it with an empty state if `unreadable` is `Unreadable::reset`.
absl::Status ControlPlane::open_acceptors_as(const AcceptorIdentity& identity, Unreadable unreadable) {
  acceptor_.emplace(*disk_, identity);
  absl::Status opened = acceptor_->open();
  if (absl::IsDataLoss(opened) && unreadable == Unreadable::reset) opened = acceptor_->reset();
  if (!opened.ok()) return opened;
  // The first set is the same for both registers. The record holds it until a later epoch is known.
  const bool knows_first_set = record_.initial.epoch == first_epoch;
  return coordination_.open(identity, knows_first_set ? std::optional(record_.initial) : std::nullopt,
                            unreadable);
}

absl::Status ControlPlane::open_acceptors() {
  absl::Status opened = open_acceptors_as({address_, record_.disk, record_.first}, Unreadable::error);
  if (!absl::IsDataLoss(opened)) return opened;
  // The promises on this disk cannot be read, so it gets a new identity and votes in no epoch that names the
  // old one.
  common::log_warning("acceptor.lost", opened.ToString());
  record_.disk = disk_->generate_id();
  record_.first = false;
  if (absl::Status stored = record_storage_.write_checkpoint(common::encoded(record_)); !stored.ok())
    return stored;
  return open_acceptors_as({address_, record_.disk, record_.first}, Unreadable::reset);
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
  rpc_server_.on<common::PlatformCheckRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::PlatformCheckRequest&) {
        endpoint_list_.check_platform([this, id = connection.id(), request_id](bool is_reachable) {
          Connection* const asker = rpc_server_.find(id);
          if (asker != nullptr) asker->reply(request_id, common::PlatformCheckReply{is_reachable});
        });
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

}  // namespace chutevane::control
