/// The coordination service of a controller: replicated locks, numbers and keys.
///
/// The state (state.hpp) is the value of a separate register, which uses the same protocol and the same
/// acceptors as the register of the control state (control/register.hpp). Hence there is no leader whose loss
/// would stop the service, and safety does not depend on a lease. All controllers forward their calls to one
/// controller, which proposes them in batches (proposer_choice.hpp, batch_proposer.hpp). A call that it does
/// not answer goes to the next one; a call that it declines is proposed by the controller that received it.
///
/// The acceptors follow those of the control state's register: the leader of the membership role moves the
/// coordination register to the newest set (align_acceptors()).
///
/// Chosen values are announced to all controllers as differences. Each controller keeps the newest state that
/// it knows, and serves watchers from it (watch_hub.hpp).
///
/// A queued call must not take effect after its client has stopped waiting. A forwarded call therefore
/// carries its remaining time and the timestamp of the receiver's latest gossip. If that is too old, as after
/// a stall of the receiver, the receiver declines the call. A controller that detects that its own process
/// was stalled answers `unavailable` to the clients' calls that it reads right after the stall.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/messages.hpp"
#include "common/rate_limited_log.hpp"
#include "common/rpc.hpp"
#include "common/value_update.hpp"
#include "control/acceptor.hpp"
#include "control/acceptor_transport.hpp"
#include "control/coordination/batch_proposer.hpp"
#include "control/coordination/call.hpp"
#include "control/coordination/local_times.hpp"
#include "control/coordination/proposer_choice.hpp"
#include "control/coordination/state.hpp"
#include "control/peer_table.hpp"
#include "control/register.hpp"
#include "control/value_notification.hpp"

namespace chutevane::control::coordination {

/// Settings of the coordination service of one controller.
struct ServiceSettings {
  std::string address;           ///< address of this controller for other controllers
  std::uint64_t proposer = 0;    ///< drawn at random at each start; breaks ties between ballots
  std::int64_t incarnation = 0;  ///< the incarnation in this controller's gossip
  Span history_retention;        ///< how long puts are kept for watchers that resume
  /// Returns true if a quorum of acceptors has exchanged messages with this controller recently.
  std::function<bool()> has_quorum_contact;
};

/// Replicates the state and executes calls. Runs on the event loop. All reference arguments of the
/// constructor must outlive the service.
class CoordinationService final : AcceptorTransport {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  CoordinationService(net::TimerQueue& timers, common::Disk& disk, PeerTable& peers,
                      common::RpcServer& rpc_server, ServiceSettings settings);

  /// Reads the acceptor and the epoch from disk. `first_epoch` is the initial value with the first set of
  /// acceptors, given until a later epoch is known. Returns DataLoss if the promises of this disk's acceptor
  /// cannot be read: the caller must then give the disk a new identity and call again with
  /// `Unreadable::reset`. Other errors come from the disk.
  [[nodiscard]] absl::Status open(const AcceptorIdentity& identity,
                                  const std::optional<RegisterValue>& first_epoch, Unreadable unreadable);
  /// Registers the handlers of this service's messages with the RPC server.
  void register_rpc_handlers();

  /// Must be called with each tick of the controller.
  void tick();
  /// Moves the register to the acceptors of that epoch of the control state. The leader of the membership
  /// role must call it with each tick.
  void align_acceptors(const RegisterValue& control_epoch_value);
  /// Must be called when a connection to another controller is established.
  void on_peer_connected(const std::string& address);

  /// Executes a client's call. `callback` runs exactly once, within client_timeout.
  void call(Call call, AnswerCallback callback);
  /// Time after which a client stops waiting and tries another controller.
  static constexpr Span client_timeout = Span::ms(900);

  /// Returns true if known_state() is recent and calls can be executed.
  bool is_available() const;
  /// Returns the newest chosen state that is known here, or null if none is known.
  const State* known_state() const { return known_state_ ? &*known_state_ : nullptr; }
  /// Sets the callback that runs each time known_state() has changed.
  void on_state_changed(std::function<void()> callback) { state_changed_callback_ = std::move(callback); }
  /// Returns true if a majority of a set of acceptors without this controller has the state, so that this
  /// controller's copy is not needed. Also returns true if no set is known.
  bool is_released() const {
    return register_.epoch_value().epoch == 0 || register_.is_released(settings_.address);
  }
  /// Returns true if this controller is one of the acceptors that hold the state.
  bool is_acceptor() const;
  /// Returns true if the register has the acceptors of that epoch of the control state.
  bool is_aligned_with(const RegisterValue& control_epoch_value) const;
  bool is_disk_failing() const { return acceptor_ && acceptor_->is_disk_failing(); }

  const Register& state_register() const { return register_; }
  /// Returns the address of the controller that currently proposes calls.
  std::string current_proposer() const;
  std::size_t queue_length() const { return proposer_.queue_length(); }
  std::uint64_t batch_count() const { return proposer_.batch_count(); }
  std::uint64_t forwarded_count() const { return forwarded_count_; }
  std::uint64_t forward_failure_count() const { return forward_failure_count_; }
  std::uint64_t stale_call_count() const { return stale_call_count_; }

 private:
  /// A client's call in progress at this controller.
  struct ClientCall {
    Call call;
    TimePoint deadline;
    AnswerCallback callback;
    bool may_have_taken_effect = false;  // it was forwarded, and the answer is missing
  };
  using ClientCallPtr = std::shared_ptr<ClientCall>;
  /// What is known about another controller's copy of the register value.
  struct PeerKnowledge {
    PeerPosition position;             // as that controller reported it
    std::int64_t notified_number = 0;  // of the newest value sent over this connection
    TimePoint notified_at;
  };

  // AcceptorTransport
  void prepare(const std::string& address, const common::Prepare& request, PromiseCallback callback) override;
  void accept(const std::string& address, const common::Accept& request, AcceptedCallback callback) override;
  absl::StatusOr<common::Accepted> accept_locally(const common::Accept& request);

  // Calls
  /// Sends the call to the current proposer, which may be this controller.
  void route(const ClientCallPtr& client_call);
  void forward(const ClientCallPtr& client_call, const std::string& proposer);
  void on_forwarded_answer(const ClientCallPtr& client_call, const std::string& proposer,
                           const absl::StatusOr<common::CoordinationAnswer>& reply);
  void propose_here(const ClientCallPtr& client_call);
  static void finish(const ClientCallPtr& client_call, Answer answer);
  void on_forwarded_call(std::uint64_t connection_id, std::uint64_t request_id,
                         const common::CoordinationCall& message);
  /// Returns true if the controller with that address can serve a call, as far as is known here.
  bool can_serve(const std::string& address) const;
  bool was_stalled() const;
  bool is_stale(const common::CoordinationCall& message) const;
  const Peer* find_peer(const std::string& address) const;

  // Chosen values
  void on_value_chosen(const RegisterValue& value);
  void announce();
  void notify(const std::string& address, common::RpcClient& connection);
  void on_report(const common::CoordinationReport& report);
  void send_reports();
  void on_chosen_notification(const common::Chosen& notification);
  void set_expired_grant(Call& call) const;
  void read_first_value();

  // Disk
  absl::Status load_epoch(const std::optional<RegisterValue>& first_epoch);
  void store_epoch();

  net::TimerQueue& timers_;
  PeerTable& peers_;
  common::RpcServer& rpc_server_;
  const ServiceSettings settings_;
  common::Disk& disk_;
  common::DurableState epoch_storage_;
  std::int64_t stored_epoch_ = 0;
  std::optional<DurableAcceptor> acceptor_;  // set by open()
  Register register_;
  LocalTimes times_;
  BatchProposer proposer_;
  ProposerChoice proposer_choice_;
  common::RecentValues recent_values_;
  std::optional<State> known_state_;
  std::function<void()> state_changed_callback_;
  std::map<std::string, PeerKnowledge> peer_knowledge_;  // by address
  common::CoordinationReport last_report_;
  std::int64_t number_at_last_tick_ = 0;  // number of the newest chosen value known then
  bool needs_full_value_ = false;         // a notification could not be applied
  TimePoint announced_at_;
  common::RateLimitedLog alignment_log_{"coordination.not_aligned", 1};
  TimePoint reported_at_;
  TimePoint last_tick_;
  TimePoint resumed_at_;  // when this process last detected that it had been stalled
  bool is_aligning_ = false;
  bool is_reading_ = false;
  std::uint64_t forwarded_count_ = 0;
  std::uint64_t forward_failure_count_ = 0;
  std::uint64_t stale_call_count_ = 0;
};

}  // namespace chutevane::control::coordination
