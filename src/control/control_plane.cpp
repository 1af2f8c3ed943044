#include "control/control_plane.hpp"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>

#include "common/disk.hpp"
#include "common/log.hpp"
#include "control/control_plane_limits.hpp"

namespace chutevane::control {

std::uint64_t seed_of(const std::string& text, TimePoint now) {
  const auto at = static_cast<std::uint64_t>(now.as_ms() * 1000);
  return XXH3_64bits_withSeed(text.data(), text.size(), at);
}

ControlPlane::ControlPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
                           std::unique_ptr<common::Disk> disk)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      disk_(std::move(disk)),
      record_slots_(*disk_, "control"),
      address_(net::text_of(settings.internal_address(common::control_plane_port))),
      register_(timers_, *this, seed_of(settings.node, scheduler.now()) >> 1U),
      rpc_server_(scheduler),
      operator_api_(register_, *this, settings.machine_losses),
      operator_port_(scheduler, body_most,
                     [this](const http::Parser& request, common::HttpServer::Reply reply) {
                       operator_api_.serve(request, std::move(reply));
                     }),
      endpoint_list_election_("list", seed_of(settings.node + "list", scheduler.now())),
      membership_election_("roster", seed_of(settings.node + "roster", scheduler.now())),
      platform_(scheduler, timers_, settings.platform, settings.platform_rate),
      incarnation_(seed_of(settings.node + "holder", scheduler.now())),
      contact_(static_cast<std::int64_t>(incarnation_)),
      acceptor_planner_(settings.machine_losses),
      storage_planner_(settings.machine_losses) {}

absl::Status ControlPlane::open() {
  const auto got = record_slots_.recover();
  if (got.ok()) {
    if (!common::decode(got->checkpoint, record_)) return absl::DataLossError("control: record not read");
  } else {
    // A first write that was torn told nobody anything: this disk is as good as new.
    if (!absl::IsNotFound(got.status()) && !absl::IsDataLoss(got.status())) return got.status();
    record_.disk = disk_->generate_id();
    record_.first = settings_.initial_start;
    if (record_.first) {
      std::vector<common::Acceptor> seeds;
      for (const sockaddr_in& seed : settings_.seeds) {
        const auto port = static_cast<std::uint16_t>(settings_.first_port + common::control_plane_port);
        seeds.push_back({common::internal_control_address(seed, port), ""});
      }
      record_.initial = first_epoch_value(std::move(seeds));
    }
    if (absl::Status s = record_slots_.write_checkpoint(common::encoded(record_)); !s.ok()) return s;
  }
  acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  if (absl::Status s = acceptor_->open(); absl::IsDataLoss(s)) {
    // What it promised cannot be read: it is another disk from here on, and votes for nothing of before.
    common::log_warning("acceptor.lost", s.ToString());
    record_.disk = disk_->generate_id();
    record_.first = false;
    if (absl::Status w = record_slots_.write_checkpoint(common::encoded(record_)); !w.ok()) return w;
    acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  } else if (!s.ok()) {
    return s;
  }
  acceptor_->on_epoch_entered(
      [this](const common::RegisterValue& initial) { register_.observe_epoch(initial); });
  register_.observe_epoch(record_.initial);
  register_.observe_epoch(acceptor_->epoch_value());
  register_.on_chosen([this](const common::RegisterValue& value) { chosen(value); });
  for (const sockaddr_in& seed : settings_.seeds)
    know(common::internal_control_address(
        seed, static_cast<std::uint16_t>(settings_.first_port + common::control_plane_port)));
  for (const std::string& one : record_.controllers) know(one);
  in_contact_since_ = timers_.now();
  listen();
  tick();
  read_list();
  common::log_info("control.open", "disk " + record_.disk + (record_.first ? ", first start" : "") +
                                       ", epoch " + std::to_string(register_.epoch_value().epoch));
  return absl::OkStatus();
}

void ControlPlane::listen() {
  rpc_server_.on<common::Prepare>(
      [this](common::RpcServer::Connection& connection, std::uint64_t number, common::Prepare& ask) {
        const auto got = acceptor_->prepare(ask);
        note_disk(got.status());
        if (got.ok() && number != 0) connection.reply(number, *got);
      });
  rpc_server_.on<common::Accept>(
      [this](common::RpcServer::Connection& connection, std::uint64_t number, common::Accept& ask) {
        const auto got = accept_here(ask);
        note_disk(got.status());
        if (got.ok() && number != 0) connection.reply(number, *got);
      });
  rpc_server_.on<common::Chosen>([this](common::RpcServer::Connection&, std::uint64_t, common::Chosen& word) {
    apply_chosen_notification(register_, recent_, word);
  });
  rpc_server_.on<common::Gossip>(
      [this](common::RpcServer::Connection&, std::uint64_t, common::Gossip& word) { on_gossip(word); });
  rpc_server_.on<common::VoteRequest>(
      [this](common::RpcServer::Connection& connection, std::uint64_t number, common::VoteRequest& ask) {
        LeaderElection& election =
            ask.role == endpoint_list_election_.role() ? endpoint_list_election_ : membership_election_;
        common::VoteReply out;
        out.granted = !leaving_ && election.grant_vote(ask.term, timers_.now());
        out.term = election.term();
        connection.reply(number, out);
      });
  rpc_server_.on<common::EndpointList>(
      [this](common::RpcServer::Connection&, std::uint64_t, common::EndpointList& list) { take_list(list); });
  rpc_server_.on<common::MemberHeartbeat>(
      [this](common::RpcServer::Connection& connection, std::uint64_t, common::MemberHeartbeat& hello) {
        on_hello(connection, hello);
      });
  rpc_server_.on_close([this](common::RpcServer::Connection& connection) {
    sessions_.erase(connection.id());
    acknowledged();
  });
  rpc_server_.listen(settings_.internal_listen_address(common::control_plane_port));
  if (settings_.control) operator_port_.listen(*settings_.control);
}

// ---- the way to the acceptors

void ControlPlane::prepare(const std::string& address, const common::Prepare& ask,
                           std::function<void(absl::StatusOr<common::Promise>)> answered) {
  if (address == address_) {
    auto got = acceptor_->prepare(ask);
    note_disk(got.status());
    return answered(std::move(got));
  }
  if (common::RpcClient* const to = link(address))
    return to->call<common::Promise>(ask, answer_most, std::move(answered));
  answered(absl::InvalidArgumentError(address));
}

// The register here knows what its own acceptor has: others need not send it back.
absl::StatusOr<common::Accepted> ControlPlane::accept_here(const common::Accept& ask) {
  auto got = acceptor_->accept(ask);
  if (got.ok() && static_cast<AcceptorStatus>(got->verdict) == AcceptorStatus::ok)
    register_.observe_accepted(ask.epoch, acceptor_->accepted_ballot(), acceptor_->accepted_value());
  return got;
}

void ControlPlane::accept(const std::string& address, const common::Accept& ask,
                          std::function<void(absl::StatusOr<common::Accepted>)> answered) {
  if (address == address_) {
    auto got = accept_here(ask);
    note_disk(got.status());
    return answered(std::move(got));
  }
  if (common::RpcClient* const to = link(address))
    return to->call<common::Accepted>(ask, answer_most, std::move(answered));
  answered(absl::InvalidArgumentError(address));
}

// ---- what is chosen

void ControlPlane::chosen(const common::RegisterValue& value) {
  recent_.add(value);
  common::RegisterValue pushed = value;
  pushed.applied_configurations.clear();
  pushed_.add(pushed);
  for (auto& [id, session] : sessions_) {
    if (session.first) push(id, session);
  }
  if (record_.initial.epoch < register_.epoch_value().epoch) store_known();
}

// The others hear of a change from who made it, not only by asking: of the newest value known here, which is
// that one or a later one.
void ControlPlane::announce(const common::RegisterValue&) {
  if (!register_.known_value()) return;
  const std::int64_t number = register_.known_value()->number;
  for (auto& [address, peer] : peers_) {
    // A peer that does not read gets no more: it reads the register when it is there again.
    if (!peer.link->up() || peer.link->unsent() > common::PushCursor::max_unsent_bytes) continue;
    PeerPosition state;
    if (peer.last) state = {peer.last->epoch, peer.last->known_number};
    state.number = std::max(state.number, peer.told);
    if (state.number >= number) continue;
    peer.link->send(make_chosen_notification(recent_, register_, state));
    peer.told = number;
  }
}

// So that it finds the others again, whatever the seeds of its settings are by then.
void ControlPlane::store_known() {
  record_.initial = register_.epoch_value();
  record_.controllers = controller_addresses();
  note_disk(record_slots_.write_checkpoint(common::encoded(record_)));
}

// A request that wrote nothing succeeds on a disk that fails, too.
void ControlPlane::note_disk(const absl::Status& outcome) {
  if (outcome.ok() && (acceptor_->is_disk_failing() || record_slots_.needs_checkpoint())) return;
  disk_health_.record_outcome(outcome);
}

// A disk that has failed is tried again with each step of the loop, not only with the next request.
void ControlPlane::try_disk_again() {
  if (acceptor_->is_disk_failing()) note_disk(acceptor_->retry_write());
  if (record_slots_.needs_checkpoint()) store_known();
}

// ---- the loop

void ControlPlane::tick() {
  if (finished_) return;
  forget_lost();
  try_disk_again();
  if (!quorum_reached(peer_heard) || !all_peers_heard()) in_contact_since_ = timers_.now();
  gossip();
  catch_up();
  heartbeat();
  acknowledged();
  work_duties();
  timers_.after(tick_every, [this] { tick(); });
}

void ControlPlane::begin_shutdown() {
  if (leaving_) return;
  leaving_ = true;
  endpoint_list_election_.step_down(timers_.now());
  membership_election_.step_down(timers_.now());
  gossip();
  // Operators' orders that are under way come to their end.
  const TimePoint latest = timers_.now() + settings_.grace - grace_spare;
  timers_.after(leave_least, [this, latest] { go_when_released(latest); });
}

// Its disk may go with it, and the machine that replaces it may have been there for long: the next loss would
// then leave no majority. So it votes until its place is another's.
bool ControlPlane::may_go() const {
  const std::vector<common::Acceptor>& set = register_.epoch_value().acceptors;
  if (!contains_address(set, address_)) return register_.is_released(address_) || set.empty();
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    const auto& [address, peer] = one;
    return peer.last && !peer.last->draining && timers_.now() - peer.heard < peer_heard &&
           !contains_address(set, address);
  });
}

void ControlPlane::go_when_released(TimePoint latest) {
  if (may_go() || timers_.now() >= latest) {
    finished_ = true;
    return;
  }
  timers_.after(leave_again, [this, latest] { go_when_released(latest); });
}

void ControlPlane::reload(const common::ProcessSettings& settings) {
  for (const sockaddr_in& seed : settings.seeds)
    know(common::internal_control_address(
        seed, static_cast<std::uint16_t>(settings_.first_port + common::control_plane_port)));
}

}  // namespace chutevane::control
