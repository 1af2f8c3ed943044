/// Implements StoragePlane: start, requests, map changes and shutdown. storage_plane_metrics.cpp has the
/// metrics.
#include "storage/storage_plane.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/storage_map.hpp"
#include "storage/placement.hpp"
#include "storage/pull_responder.hpp"

namespace chutevane::storage {
namespace {

using common::Turn;

constexpr std::size_t max_chain_reply_bytes = std::size_t{4} << 20U;
constexpr Span expiry_interval = Span::ms(1000);
constexpr Span drain_poll_interval = Span::ms(50);  // between checks whether this node may exit
constexpr Span flush_delay = Span::ms(200);         // lets messages that are still queued be sent
constexpr Span grace_margin = Span::ms(600);        // time left before the platform kills the process
/// Fraction of the memory or disk that turns may take; the rest is for transient data.
constexpr double capacity_fraction = 0.5;
constexpr double unlimited_mb = 1e6;

/// Returns the request_id of bytes of turns that the store may hold. The settings are in megabytes of 10^6
/// bytes; a setting of 0 is no limit.
std::size_t store_capacity(const common::ProcessSettings& settings) {
  double mb = settings.memory_mb > 0 ? settings.memory_mb * capacity_fraction : unlimited_mb;
  if (settings.disk_mb > 0) mb = std::min(mb, settings.disk_mb * capacity_fraction);
  return static_cast<std::size_t>(mb * 1e6);
}

}  // namespace

StoragePlane::StoragePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
                           std::unique_ptr<common::Disk> disk)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      disk_(std::move(disk)),
      identity_file_(*disk_, "storage"),
      map_record_(*disk_, timers_),
      store_(*disk_, store_capacity(settings)),
      group_commit_(store_, timers_, [this](bool failing) { sessions_->report_disk_failing(failing); }),
      peers_(scheduler, timers_, settings_.node),
      transfer_({timers_, store_, group_commit_, peers_, map_, settings_.node},
                [this] { on_transfer_complete(); }),
      ancestor_fetcher_(timers_, store_, peers_, map_, settings_.node, settings_.machine_losses),
      rpc_server_(scheduler) {}

// ---- start

absl::Status StoragePlane::open() {
  if (absl::Status s = recover_disk_identity(); !s.ok()) return s;
  if (absl::Status s = map_record_.recover(identity_.disk); !s.ok()) return s;
  if (absl::Status s = store_.recover(timers_.now()); !s.ok()) return s;
  listen();
  open_sessions();
  expire_periodically();
  common::log_info("storage.open", "disk " + identity_.disk + ", " + std::to_string(store_.turn_count()) +
                                       " turns, " + std::to_string(store_.account_count()) + " accounts");
  return absl::OkStatus();
}

absl::Status StoragePlane::recover_disk_identity() {
  const auto recovered = identity_file_.recover();
  if (recovered.ok()) {
    if (common::decode(recovered->checkpoint, identity_)) return absl::OkStatus();
    return absl::DataLossError("storage: the disk identity record cannot be decoded");
  }
  if (!absl::IsNotFound(recovered.status()) && !absl::IsDataLoss(recovered.status()))
    return recovered.status();
  // The disk is new, or has lost its identity and therefore counts as new.
  identity_.disk = disk_->generate_id();
  return identity_file_.write_checkpoint(common::encoded(identity_));
}

void StoragePlane::open_sessions() {
  common::Member self;
  self.node = settings_.node;
  self.plane = "storage";
  self.disk = identity_.disk;
  self.address = net::text_of(settings_.internal_address(common::storage_plane_port));
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) { on_value(value); });
}

void StoragePlane::listen() {
  rpc_server_.on<common::ReserveRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::ReserveRequest& request) {
        on_reserve(connection, request_id, request);
      });
  rpc_server_.on<common::CommitUsage>(
      [this](Connection&, std::uint64_t, common::CommitUsage& message) { on_commit_usage(message); });
  rpc_server_.on<common::StoreTurnRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::StoreTurnRequest& request) {
        on_store_turn(connection, request_id, request);
      });
  rpc_server_.on<common::FindTurnRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::FindTurnRequest& request) {
        on_find_turn(connection, request_id, request);
      });
  rpc_server_.on<common::PullRequest>(
      [this](Connection& connection, std::uint64_t request_id, common::PullRequest& request) {
        on_pull(connection, request_id, request);
      });
  rpc_server_.listen(settings_.internal_listen_address(common::storage_plane_port));
}

// ---- requests

ReplicaStatus StoragePlane::reserve_status(std::int64_t caller_map) const {
  const ReplicaStatus status = map_.check(caller_map);
  if (status != ReplicaStatus::ok) return status;
  const bool can_answer = transfer_.is_ready() && !map_record_.is_pending() && !store_.is_failing();
  return can_answer ? ReplicaStatus::ok : ReplicaStatus::not_ready;
}

void StoragePlane::on_reserve(Connection& connection, std::uint64_t request_id,
                              const common::ReserveRequest& request) {
  const ReplicaStatus status = reserve_status(request.map_version);
  common::ReserveReply reply;
  reply.map_version = map_.version;
  reply.verdict = static_cast<std::int64_t>(status);
  record_outcome(RequestKind::reserve, status, request.attempt, request.map_version);
  if (status != ReplicaStatus::ok) return connection.reply(request_id, reply);
  reply.others = store_.reserve(request.program, request.attempt, request.max_tokens, timers_.now());
  respond_after_commit(connection, request_id, std::move(reply));
}

void StoragePlane::on_commit_usage(const common::CommitUsage& message) {
  store_.commit_usage(message.program, message.attempt, message.used_tokens, timers_.now());
  group_commit_.schedule();
}

ReplicaStatus StoragePlane::store_turn(const common::StoreTurnRequest& request) {
  const ReplicaStatus status = map_.check(request.map_version);
  if (status != ReplicaStatus::ok) return status;
  // While this node is bootstrapping, other nodes may still use the previous map. An edge that also uses it
  // could conclude from enough of them that the turn does not exist, so storing it here must not count yet.
  const bool must_wait = is_bootstrapping() && !transfer_.is_ready();
  if (must_wait || map_record_.is_pending()) return ReplicaStatus::not_ready;
  const bool stored = !store_.is_failing() && store_.store_turn(request.turn, timers_.now());
  return stored ? ReplicaStatus::ok : ReplicaStatus::out_of_capacity;
}

void StoragePlane::on_store_turn(Connection& connection, std::uint64_t request_id,
                                 const common::StoreTurnRequest& request) {
  const StoreCall call{connection.id(), request_id, request.turn.id, request.map_version};
  const ReplicaStatus status = store_turn(request);
  if (status != ReplicaStatus::ok) return reply_to_store(call, status);
  if (request.used_tokens >= 0)
    store_.commit_usage(request.turn.program, request.turn.id, request.used_tokens, timers_.now());
  ancestor_fetcher_.complete_chain(request.turn, [this, call](bool is_complete) {
    // A node that takes over by a map that has come meanwhile may have copied the turn without the ancestors.
    const ReplicaStatus map_status = map_.check(call.map_version);
    if (map_status != ReplicaStatus::ok) return reply_to_store(call, map_status);
    reply_to_store(call, is_complete ? ReplicaStatus::ok : ReplicaStatus::chain_incomplete);
  });
}

void StoragePlane::reply_to_store(const StoreCall& call, ReplicaStatus status) {
  record_outcome(RequestKind::store_turn, status, call.turn_id, call.map_version);
  Connection* const caller = rpc_server_.find(call.connection_id);
  if (caller == nullptr) return;
  common::StoreTurnReply reply;
  reply.map_version = map_.version;
  reply.verdict = static_cast<std::int64_t>(status);
  if (status != ReplicaStatus::ok) return caller->reply(call.request_id, reply);
  respond_after_commit(*caller, call.request_id, reply);
}

void StoragePlane::on_find_turn(Connection& connection, std::uint64_t request_id,
                                const common::FindTurnRequest& request) {
  common::FindTurnReply reply;
  reply.map_version = map_.version;
  for (const Turn* const turn : store_.read_chain(request.id, max_chain_reply_bytes, timers_.now()))
    reply.turns.push_back(*turn);
  const ReplicaStatus status =
      reply.turns.empty() ? missing_turn_status(request.map_version) : ReplicaStatus::ok;
  reply.verdict = static_cast<std::int64_t>(status);
  record_outcome(RequestKind::find_turn, status, request.attempt, request.map_version);
  connection.reply(request_id, reply);
}

ReplicaStatus StoragePlane::missing_turn_status(std::int64_t caller_map) const {
  const ReplicaStatus status = map_.check(caller_map);
  if (status != ReplicaStatus::ok) return status;
  if (!transfer_.is_complete()) return ReplicaStatus::indeterminate;
  common::check_invariant(common::Invariant::unknown_only_when_whole, transfer_.has_enough_sources(), [this] {
    return "map " + std::to_string(map_.version) + ", " + transfer_.describe();
  });
  return ReplicaStatus::not_found;
}

void StoragePlane::on_pull(Connection& connection, std::uint64_t request_id,
                           const common::PullRequest& request) {
  // Sends no reply, like a lost node: the requester skips this source if it may.
  if (store_.is_failing() || map_record_.is_pending()) return;
  const PullSource source{store_, map_, settings_.node, identity_.disk, settings_.machine_losses};
  respond_after_commit(connection, request_id, make_pull_reply(request, source));
}

void StoragePlane::record_outcome(RequestKind kind, ReplicaStatus status, const std::string& attempt,
                                  std::int64_t caller_map) {
  request_stats_.record({kind, status, attempt, caller_map}, map_.version, timers_.now(),
                        [this] { return transfer_.describe(); });
}

// ---- maps

bool StoragePlane::is_bootstrapping() const {
  return std::any_of(map_.nodes.begin(), map_.nodes.end(), [&](const common::StorageNode& node) {
    return node.node == settings_.node && node.bootstrapping;
  });
}

bool StoragePlane::stays_complete(const ServedMap& previous) const {
  const bool was_complete = previous.version > 0 && transfer_.is_ready() && transfer_.is_complete();
  // A skipped map may have removed this node, which then missed what was stored under that map.
  const bool is_next_map = map_.version == previous.version + 1;
  const bool was_in_map = previous.contains(settings_.node, identity_.disk);
  return was_complete && is_next_map && was_in_map && map_.contains(settings_.node, identity_.disk) &&
         !may_gain_replicas(settings_.node, previous.nodes, map_.nodes);
}

void StoragePlane::on_value(const common::RegisterValue& value) {
  // Ignores an outdated map from a controller that lags.
  if (value.map_version <= map_.version || value.map_version < map_record_.version()) return;
  const ServedMap previous = std::exchange(map_, ServedMap{value.map_version, value.storage_nodes});
  if (stays_complete(previous)) {
    map_record_.write(map_.version, true);
    sessions_->report_complete_map(map_.version);
    return;
  }
  const bool is_in_map = map_.contains(settings_.node, identity_.disk);
  if (previous.version == 0 && is_in_map && map_record_.was_complete_at(map_.version)) {
    transfer_.resume_complete();
    common::log_info("storage.returned", "map " + std::to_string(map_.version));
    sessions_->report_complete_map(map_.version);
    return;
  }
  map_record_.write(map_.version, false);
  if (!is_in_map) {
    transfer_.cancel();
    return;
  }
  transfer_.start(static_cast<std::int64_t>(settings_.machine_losses) -
                  static_cast<std::int64_t>(common::missing_replicas(value)));
}

void StoragePlane::on_transfer_complete() {
  sessions_->report_complete_map(map_.version);
  group_commit_.after_commit([this, version = map_.version] {
    if (transfer_.is_complete() && version == map_.version) map_record_.write(version, true);
  });
}

// ---- expiry and shutdown

void StoragePlane::expire_periodically() {
  store_.expire(timers_.now());
  if (store_.has_uncommitted()) group_commit_.schedule();
  timers_.after(expiry_interval, [this] { expire_periodically(); });
}

void StoragePlane::begin_shutdown() {
  if (shutting_down_) return;
  shutting_down_ = true;
  sessions_->report_draining();
  exit_when_drained(timers_.now() + settings_.grace - grace_margin);
}

bool StoragePlane::may_exit() const {
  const bool is_in_map = map_.find(settings_.node) != nullptr;
  const auto others = std::count_if(
      map_.nodes.begin(), map_.nodes.end(),
      [&](const common::StorageNode& node) { return !node.draining && node.node != settings_.node; });
  return !is_in_map || static_cast<std::size_t>(others) < replica_group_size(settings_.machine_losses);
}

void StoragePlane::exit_when_drained(TimePoint deadline) {
  if (!may_exit() && timers_.now() < deadline) {
    timers_.after(drain_poll_interval, [this, deadline] { exit_when_drained(deadline); });
    return;
  }
  sessions_->close();
  timers_.after(flush_delay, [this] { finished_ = true; });
}

}  // namespace chutevane::storage
