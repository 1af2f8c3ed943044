/// Implements CoordinationService: start, acceptors, calls and the exchange of chosen values.
#include "control/coordination/coordination_service.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "control/coordination/call_messages.hpp"

namespace chutevane::control::coordination {
namespace {

constexpr Span acceptor_timeout = Span::ms(350);    // as for the register of the control state
constexpr Span forward_timeout = Span::ms(200);     // a batch takes tens of milliseconds
constexpr Span alignment_timeout = Span::ms(1500);  // for a change of the set of acceptors
constexpr Span read_timeout = Span::ms(700);
constexpr Span report_interval = Span::ms(1000);     // if there is nothing new to report
constexpr Span min_report_interval = Span::ms(400);  // two ticks
constexpr Span repeat_interval = Span::ms(500);      // until an unconfirmed notification is sent again
/// Longer than the interval of ticks; a running process is never late by this much.
constexpr Span max_tick_gap = Span::ms(1000);
/// Time after a stall within which all messages that arrived during the stall have been read.
constexpr Span stall_recovery_time = Span::ms(100);
/// Maximum age of a forwarded call, measured by its echo of the receiver's gossip, which is sent with each
/// tick.
constexpr Span max_call_age = Span::ms(1200);

std::vector<Acceptor> sorted(std::vector<Acceptor> acceptors) {
  std::sort(acceptors.begin(), acceptors.end(),
            [](const Acceptor& a, const Acceptor& b) { return a.address < b.address; });
  return acceptors;
}

bool is_same_set(const std::vector<Acceptor>& a, const std::vector<Acceptor>& b) {
  return sorted(a) == sorted(b);
}

}  // namespace

CoordinationService::CoordinationService(net::TimerQueue& timers, common::Disk& disk, PeerTable& peers,
                                         common::RpcServer& rpc_server, ServiceSettings settings)
    : timers_(timers),
      peers_(peers),
      rpc_server_(rpc_server),
      settings_(std::move(settings)),
      disk_(disk),
      epoch_storage_(disk, "coordination-epoch"),
      register_(timers, *this, settings_.proposer),
      times_(settings_.history_retention),
      proposer_(timers, register_, times_) {
  proposer_.on_changed([this] { announce(); });
}

// ---- Start

absl::Status CoordinationService::open(const AcceptorIdentity& identity,
                                       const std::optional<RegisterValue>& first_epoch,
                                       Unreadable unreadable) {
  acceptor_.emplace(disk_, identity, "coordination", AcceptorLogForm::changes);
  absl::Status opened = acceptor_->open();
  if (absl::IsDataLoss(opened) && unreadable == Unreadable::reset) opened = acceptor_->reset();
  if (!opened.ok()) return opened;
  acceptor_->on_epoch_entered(
      [this](const RegisterValue& epoch_value) { register_.observe_epoch(epoch_value); });
  if (absl::Status loaded = load_epoch(first_epoch); !loaded.ok()) return loaded;
  register_.observe_epoch(acceptor_->epoch_value());
  register_.on_chosen([this](const RegisterValue& value) { on_value_chosen(value); });
  last_tick_ = timers_.now();
  // Holds that are on disk were granted before this process started.
  if (const std::optional<State> state = state_of(acceptor_->accepted_value()))
    times_.observe(*state, timers_.now());
  return absl::OkStatus();
}

/// Loads the newest epoch stored on this disk, so that this controller finds the acceptors again after a
/// restart even if it is not one of them.
absl::Status CoordinationService::load_epoch(const std::optional<RegisterValue>& first_epoch) {
  const auto recovered = epoch_storage_.recover();
  RegisterValue epoch_value;
  if (recovered.ok() && common::decode(recovered->checkpoint, epoch_value)) {
    stored_epoch_ = epoch_value.epoch;
    register_.observe_epoch(epoch_value);
    return absl::OkStatus();
  }
  const bool is_missing = absl::IsNotFound(recovered.status()) || absl::IsDataLoss(recovered.status());
  if (!recovered.ok() && !is_missing) return recovered.status();
  if (!first_epoch) return absl::OkStatus();
  register_.observe_epoch(*first_epoch);
  stored_epoch_ = first_epoch->epoch;
  return epoch_storage_.write_checkpoint(common::encoded(*first_epoch));
}

void CoordinationService::store_epoch() {
  const RegisterValue& epoch_value = register_.epoch_value();
  if (epoch_value.epoch <= stored_epoch_ && !epoch_storage_.needs_checkpoint()) return;
  const absl::Status stored = epoch_storage_.write_checkpoint(common::encoded(epoch_value));
  if (stored.ok()) stored_epoch_ = epoch_value.epoch;
}

void CoordinationService::register_rpc_handlers() {
  using Connection = common::RpcServer::Connection;
  rpc_server_.on<common::CoordinationPrepare>(
      [this](Connection& connection, std::uint64_t request_id, common::CoordinationPrepare& message) {
        const auto reply = acceptor_->prepare(message.request);
        if (reply.ok() && request_id != 0) connection.reply(request_id, *reply);
      });
  rpc_server_.on<common::CoordinationAccept>(
      [this](Connection& connection, std::uint64_t request_id, common::CoordinationAccept& message) {
        const auto reply = accept_locally(message.request);
        if (reply.ok() && request_id != 0) connection.reply(request_id, *reply);
      });
  rpc_server_.on<common::CoordinationChosen>(
      [this](Connection&, std::uint64_t, common::CoordinationChosen& message) {
        on_chosen_notification(message.chosen);
      });
  rpc_server_.on<common::CoordinationReport>(
      [this](Connection&, std::uint64_t, common::CoordinationReport& report) { on_report(report); });
  rpc_server_.on<common::CoordinationCall>(
      [this](Connection& connection, std::uint64_t request_id, common::CoordinationCall& message) {
        on_forwarded_call(connection.id(), request_id, message);
      });
}

// ---- Acceptors

/// The request to the local acceptor is deferred to a later iteration of the event loop, so that the requests
/// to the other acceptors are sent before it blocks on the disk.
void CoordinationService::prepare(const std::string& address, const common::Prepare& request,
                                  PromiseCallback callback) {
  if (address == settings_.address) {
    timers_.after(Span(),
                  [this, request, callback = std::move(callback)] { callback(acceptor_->prepare(request)); });
    return;
  }
  common::RpcClient* const connection = peers_.connection_to(address);
  if (connection == nullptr) return callback(absl::InvalidArgumentError(address));
  connection->call<common::Promise>(common::CoordinationPrepare{request}, acceptor_timeout,
                                    std::move(callback));
}

void CoordinationService::accept(const std::string& address, const common::Accept& request,
                                 AcceptedCallback callback) {
  if (address == settings_.address) {
    timers_.after(Span(),
                  [this, request, callback = std::move(callback)] { callback(accept_locally(request)); });
    return;
  }
  common::RpcClient* const connection = peers_.connection_to(address);
  if (connection == nullptr) return callback(absl::InvalidArgumentError(address));
  connection->call<common::Accepted>(common::CoordinationAccept{request}, acceptor_timeout,
                                     std::move(callback));
}

absl::StatusOr<common::Accepted> CoordinationService::accept_locally(const common::Accept& request) {
  auto reply = acceptor_->accept(request);
  if (reply.ok() && static_cast<AcceptorStatus>(reply->verdict) == AcceptorStatus::ok)
    register_.observe_accepted(request.epoch, acceptor_->accepted_ballot(), acceptor_->accepted_value());
  return reply;
}

bool CoordinationService::is_acceptor() const {
  return contains_acceptor(register_.epoch_value(), acceptor_->identity());
}

bool CoordinationService::is_aligned_with(const RegisterValue& control_epoch_value) const {
  return is_same_set(register_.epoch_value().acceptors, control_epoch_value.acceptors);
}

void CoordinationService::align_acceptors(const RegisterValue& control_epoch_value) {
  // The first set has no disk identities, because not all of its members are known yet.
  const std::optional<NamedAcceptorSet> wanted = NamedAcceptorSet::make(control_epoch_value.acceptors);
  if (is_aligning_ || !wanted || register_.epoch_value().epoch == 0) return;
  if (is_aligned_with(control_epoch_value)) return;
  is_aligning_ = true;
  register_.change(
      [wanted](const RegisterValue& current) -> std::optional<RegisterValue> {
        if (is_same_set(current.acceptors, wanted->members())) return std::nullopt;
        return sealed_with(current, *wanted);
      },
      alignment_timeout,
      [this](const absl::StatusOr<RegisterValue>& chosen) {
        is_aligning_ = false;
        if (!chosen.ok()) {
          if (alignment_log_.admits(timers_.now())) alignment_log_.line(chosen.status().ToString());
          return;
        }
        common::log_info("coordination.acceptors", "epoch " + std::to_string(chosen->epoch) + ", number " +
                                                       std::to_string(chosen->number));
        announce();
      });
}

// ---- Calls

bool CoordinationService::is_available() const { return known_state_ && settings_.has_quorum_contact(); }

void CoordinationService::call(Call call, AnswerCallback callback) {
  const bool is_refused = was_stalled() || !settings_.has_quorum_contact();
  if (is_refused) return callback({Outcome::unavailable, 0, ""});
  const auto client_call = std::make_shared<ClientCall>();
  client_call->call = std::move(call);
  client_call->deadline = timers_.now() + client_timeout;
  client_call->callback = std::move(callback);
  route(client_call);
}

/// Returns true during a stall and right after it: a call read then may have waited longer than its client.
bool CoordinationService::was_stalled() const {
  const TimePoint now = timers_.now();
  return now - last_tick_ > max_tick_gap || now - resumed_at_ < stall_recovery_time;
}

const Peer* CoordinationService::find_peer(const std::string& address) const {
  for (const auto& [peer_address, peer] : peers_) {
    if (peer_address == address) return &peer;
  }
  return nullptr;
}

bool CoordinationService::can_serve(const std::string& address) const {
  if (address == settings_.address) return !acceptor_->is_disk_failing();
  const Peer* const peer = find_peer(address);
  if (peer == nullptr || !peers_.is_live(*peer) || !peer->connection->up()) return false;
  return !peer->last_gossip->draining && !peer->last_gossip->disk_failing;
}

std::string CoordinationService::current_proposer() const {
  return proposer_choice_.choose(
      register_.epoch_value().acceptors, settings_.address,
      [this](const std::string& address) { return can_serve(address); }, timers_.now());
}

void CoordinationService::route(const ClientCallPtr& client_call) {
  const std::string proposer = current_proposer();
  if (proposer == settings_.address) return propose_here(client_call);
  forward(client_call, proposer);
}

void CoordinationService::forward(const ClientCallPtr& client_call, const std::string& proposer) {
  const Peer* const peer = find_peer(proposer);
  const Span time_left = client_call->deadline - timers_.now();
  set_expired_grant(client_call->call);
  common::CoordinationCall message = to_message(client_call->call, time_left);
  message.echo_incarnation = peer->last_gossip->incarnation;
  message.echo_stamp = peer->last_gossip->stamp;
  ++forwarded_count_;
  peer->connection->call<common::CoordinationAnswer>(
      message, std::min(forward_timeout, time_left),
      [this, client_call, proposer](const absl::StatusOr<common::CoordinationAnswer>& reply) {
        on_forwarded_answer(client_call, proposer, reply);
      });
}

/// Sets the expired grant of a lock acquisition if the grant has certainly expired by the clock of this
/// controller. The proposer may have just started, and would measure the full time of the grant again.
void CoordinationService::set_expired_grant(Call& call) const {
  if (call.operation != Operation::acquire_lock || !known_state_) return;
  const auto found = known_state_->locks.find(call.name);
  if (found == known_state_->locks.end()) return;
  const Lock& lock = found->second;
  if (!times_.has_expired(call.name, lock, timers_.now())) return;
  call.expired_grant_id = lock.grant_id;
  call.expired_grant_number = lock.grant_number;
}

void CoordinationService::on_forwarded_answer(const ClientCallPtr& client_call, const std::string& proposer,
                                              const absl::StatusOr<common::CoordinationAnswer>& reply) {
  if (!reply.ok()) {
    ++forward_failure_count_;
    proposer_choice_.suspect(proposer, timers_.now());
    client_call->may_have_taken_effect = true;
    if (timers_.now() >= client_call->deadline) return finish(client_call, {Outcome::undetermined, 0, ""});
    return route(client_call);
  }
  proposer_choice_.clear(proposer);
  const Answer answer = from_message(*reply);
  switch (answer.outcome) {
    case Outcome::undetermined: client_call->may_have_taken_effect = true; [[fallthrough]];
    case Outcome::declined:
    case Outcome::unavailable: return propose_here(client_call);
    default: return finish(client_call, answer);
  }
}

void CoordinationService::propose_here(const ClientCallPtr& client_call) {
  proposer_.submit(client_call->call, client_call->deadline,
                   [client_call](const Answer& answer) { finish(client_call, answer); });
}

/// Delivers the answer. An outcome that promises no effect becomes `undetermined` if the call may have taken
/// effect.
void CoordinationService::finish(const ClientCallPtr& client_call, Answer answer) {
  const bool promises_no_effect =
      answer.outcome == Outcome::unavailable || answer.outcome == Outcome::limit_reached;
  // A key below the required revision may still reach it, and then an earlier copy of the put would succeed.
  const bool may_still_match =
      answer.outcome == Outcome::revision_mismatch && client_call->call.applies_to > answer.number;
  if ((promises_no_effect || may_still_match) && client_call->may_have_taken_effect)
    answer.outcome = Outcome::undetermined;
  client_call->callback(answer);
}

/// Returns true if the call may be older than its client waits. The call was sent after this process sent the
/// gossip that the call echoes, so the age of that gossip bounds the age of the call.
bool CoordinationService::is_stale(const common::CoordinationCall& message) const {
  if (message.echo_incarnation != settings_.incarnation) return true;
  const TimePoint sent_after = TimePoint() + Span::us(message.echo_stamp);
  return timers_.now() - sent_after > max_call_age;
}

void CoordinationService::on_forwarded_call(std::uint64_t connection_id, std::uint64_t request_id,
                                            const common::CoordinationCall& message) {
  const auto reply_with = [this, connection_id, request_id](const Answer& answer) {
    common::RpcServer::Connection* const caller = rpc_server_.find(connection_id);
    if (caller != nullptr) caller->reply(request_id, to_message(answer));
  };
  const std::optional<Call> call = call_of(message);
  if (!call || is_stale(message) || !settings_.has_quorum_contact()) {
    ++stale_call_count_;
    return reply_with({Outcome::declined, 0, ""});
  }
  const Span time_left = Span::ms(static_cast<double>(message.time_left_ms));
  proposer_.submit(*call, timers_.now() + time_left, reply_with);
}

// ---- Chosen values

void CoordinationService::on_value_chosen(const RegisterValue& value) {
  recent_values_.add(value);
  store_epoch();
  std::optional<State> state = state_of(value);
  if (!state) {
    common::log_warning("coordination.state_unreadable", "number " + std::to_string(value.number));
    known_state_.reset();
    return;
  }
  known_state_ = std::move(state);
  times_.observe(*known_state_, timers_.now());
  if (state_changed_callback_) state_changed_callback_();
}

/// If the notification cannot be applied, reports that no value is known, so that the full value is sent
/// next.
void CoordinationService::on_chosen_notification(const common::Chosen& notification) {
  const bool is_applied = apply_chosen_notification(register_, recent_values_, notification);
  if (is_applied || needs_full_value_) return;
  needs_full_value_ = true;
  send_reports();
}

/// Notifies the other controllers of a value that was chosen by a proposal of this one.
void CoordinationService::announce() {
  if (!register_.known_value()) return;
  announced_at_ = timers_.now();
  for (auto& [address, peer] : peers_) notify(address, *peer.connection);
}

/// Sends the newest value to a controller, unless it has the value or a notification is under way.
void CoordinationService::notify(const std::string& address, common::RpcClient& connection) {
  if (!connection.up() || connection.unsent() > common::PushCursor::max_unsent_bytes) return;
  PeerKnowledge& known = peer_knowledge_[address];
  const std::int64_t number = register_.known_value()->number;
  const bool has_value =
      known.position.epoch >= register_.epoch_value().epoch && known.position.number >= number;
  const bool is_under_way =
      known.notified_number >= number && timers_.now() - known.notified_at < repeat_interval;
  if (has_value || is_under_way) return;
  PeerPosition position = known.position;
  // If the previous notification did not arrive or could not be applied, sends the full value.
  position.number = known.notified_number >= number ? 0 : std::max(position.number, known.notified_number);
  connection.send(common::CoordinationChosen{make_chosen_notification(recent_values_, register_, position)});
  known.notified_number = number;
  known.notified_at = timers_.now();
}

void CoordinationService::on_peer_connected(const std::string& address) {
  peer_knowledge_[address] = {};
  reported_at_ = TimePoint();  // makes the next tick send a report
}

void CoordinationService::on_report(const common::CoordinationReport& report) {
  PeerKnowledge& known = peer_knowledge_[report.address];
  known.position = {report.epoch, report.number};
  if (!register_.known_value()) return;
  const bool has_announced = timers_.now() - announced_at_ < repeat_interval;
  const bool needs_full_value = report.number == 0 && has_announced;
  if (needs_full_value) known.notified_number = 0;
  // A new value is announced to all controllers at once, so one that still lacks it after a tick has missed
  // it.
  const bool is_behind = report.number < number_at_last_tick_ || report.epoch < register_.epoch_value().epoch;
  if (!needs_full_value && !is_behind) return;
  const Peer* const peer = find_peer(report.address);
  if (peer != nullptr) notify(report.address, *peer->connection);
}

void CoordinationService::send_reports() {
  common::CoordinationReport report;
  report.address = settings_.address;
  report.epoch = register_.epoch_value().epoch;
  report.number = register_.known_value() && !needs_full_value_ ? register_.known_value()->number : 0;
  const bool is_new = report.epoch != last_report_.epoch || report.number != last_report_.number;
  const Span interval = is_new ? min_report_interval : report_interval;
  if (!needs_full_value_ && timers_.now() - reported_at_ < interval) return;
  needs_full_value_ = false;
  for (auto& [address, peer] : peers_) peer.connection->send(report);
  last_report_ = report;
  reported_at_ = timers_.now();
}

/// Reads the register after a start. Until a value is known, this controller announces nothing either.
void CoordinationService::read_first_value() {
  const bool is_needed = !register_.known_value() && register_.epoch_value().epoch > 0;
  if (!is_needed || is_reading_ || !settings_.has_quorum_contact()) return;
  is_reading_ = true;
  register_.read(read_timeout, [this](const absl::StatusOr<RegisterValue>&) { is_reading_ = false; });
}

void CoordinationService::tick() {
  const TimePoint now = timers_.now();
  if (now - last_tick_ > max_tick_gap) resumed_at_ = now;
  last_tick_ = now;
  if (acceptor_->is_disk_failing()) {
    if (const absl::Status retried = acceptor_->retry_write(); !retried.ok())
      common::log_warning("coordination.disk_failing", retried.ToString());
  }
  store_epoch();
  read_first_value();
  send_reports();
  std::erase_if(peer_knowledge_, [this](const auto& entry) { return find_peer(entry.first) == nullptr; });
  number_at_last_tick_ = register_.known_value() ? register_.known_value()->number : 0;
}

}  // namespace chutevane::control::coordination
