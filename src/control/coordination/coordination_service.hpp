/// The coordination service of a controller: replicated locks, numbers and keys.
///
/// The state (state.hpp) is the value of a register of its own, beside the one of control state, with the
/// same protocol and the same acceptors (control/register.hpp). So there is no leader whose loss would stop
/// the service, and no lease that safety rests on. Calls of all controllers are passed to one of them, which
/// proposes them in batches (proposer_choice.hpp, batch_proposer.hpp); where it does not answer, the next one
/// does, or the controller that has the call.
///
/// Its acceptors follow those of the control state's register: the leader of the membership role moves the
/// coordination register to the newest set (align_acceptors()).
///
/// Chosen values are announced to all controllers, as differences. Each keeps the newest state that it knows,
/// from which it serves watchers (watch_hub.hpp).
///
/// A call that lay in a queue must not act later than its client waits for it. A forwarded call carries its
/// time left and an echo of the receiver's clock, so that a receiver that stood still declines it; a
/// controller that finds that it stood still itself answers `unavailable` to what it reads then.
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

struct ServiceSettings {
  std::string address;           ///< where other controllers reach this one
  std::uint64_t proposer = 0;    ///< drawn anew at each start; breaks ties between ballots
  std::int64_t incarnation = 0;  ///< as in this controller's gossip
  Span history_retention;        ///< for how long puts are kept for watchers that resume
  /// Whether a quorum of acceptors has exchanged messages with this controller lately.
  std::function<bool()> has_quorum_contact;
};

/// Everything runs on the event loop. All arguments must outlive the service.
class CoordinationService final : AcceptorTransport {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  CoordinationService(net::TimerQueue& timers, common::Disk& disk, PeerTable& peers,
                      common::RpcServer& rpc_server, ServiceSettings settings);

  /// Reads the acceptor and the epoch from disk. `first_epoch`: the initial value of the first set, at the
  /// first start of the whole system. DataLoss: what this disk's acceptor promised cannot be read, so the
  /// caller must give the disk a new identity and call again with `Unreadable::reset`. Other errors are the
  /// disk's.
  [[nodiscard]] absl::Status open(const AcceptorIdentity& identity,
                                  const std::optional<RegisterValue>& first_epoch, Unreadable unreadable);
  void register_rpc_handlers();

  /// To be called with each tick of the controller's loop.
  void tick();
  /// To be called by the leader of the membership role with each tick: moves to the acceptors of that epoch.
  void align_acceptors(const RegisterValue& control_epoch_value);
  void on_peer_connected(const std::string& address);

  /// Carries out a client's call; `callback` runs once, within client_timeout.
  void call(Call call, AnswerCallback callback);
  /// A client that has waited so long has gone elsewhere.
  static constexpr Span client_timeout = Span::ms(900);

  /// Whether what known_state() says is recent, and calls can be decided.
  bool is_available() const;
  /// The newest chosen state that is known here. Null: none is known yet.
  const State* known_state() const { return known_state_ ? &*known_state_ : nullptr; }
  /// Called each time that known_state() has changed.
  void on_state_changed(std::function<void()> callback) { state_changed_callback_ = std::move(callback); }
  /// Whether a set of acceptors without this controller has the state at a majority, so that nobody needs
  /// it; true also where no set is known.
  bool is_released() const {
    return register_.epoch_value().epoch == 0 || register_.is_released(settings_.address);
  }
  /// Whether this controller is one of the acceptors that hold the state.
  bool is_acceptor() const;
  /// Whether its acceptors are those of that epoch of the control state.
  bool is_aligned_with(const RegisterValue& control_epoch_value) const;
  bool is_disk_failing() const { return acceptor_ && acceptor_->is_disk_failing(); }

  const Register& state_register() const { return register_; }
  /// The controller that calls are passed to at present.
  std::string current_proposer() const;
  std::size_t queue_length() const { return proposer_.queue_length(); }
  std::uint64_t batch_count() const { return proposer_.batch_count(); }
  std::uint64_t forwarded_count() const { return forwarded_count_; }
  std::uint64_t forward_failure_count() const { return forward_failure_count_; }
  std::uint64_t stale_call_count() const { return stale_call_count_; }

 private:
  /// A client's call on its way through this controller.
  struct ClientCall {
    Call call;
    TimePoint deadline;
    AnswerCallback callback;
    bool may_have_taken_effect = false;  // it was passed on, and the answer is missing
  };
  using ClientCallPtr = std::shared_ptr<ClientCall>;
  /// What another controller knows of the register.
  struct PeerKnowledge {
    PeerPosition position;             // as it reported
    std::int64_t notified_number = 0;  // newest value that it was sent over this connection
    TimePoint notified_at;
  };

  // AcceptorTransport
  void prepare(const std::string& address, const common::Prepare& request, PromiseCallback callback) override;
  void accept(const std::string& address, const common::Accept& request, AcceptedCallback callback) override;
  absl::StatusOr<common::Accepted> accept_locally(const common::Accept& request);

  // Calls
  void route(const ClientCallPtr& client_call);
  void forward(const ClientCallPtr& client_call, const std::string& proposer);
  void on_forwarded_answer(const ClientCallPtr& client_call, const std::string& proposer,
                           const absl::StatusOr<common::CoordinationAnswer>& reply);
  void propose_here(const ClientCallPtr& client_call);
  static void finish(const ClientCallPtr& client_call, Answer answer);
  void on_forwarded_call(std::uint64_t connection_id, std::uint64_t request_id,
                         const common::CoordinationCall& message);
  bool is_able(const std::string& address) const;
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
  void name_expired_grant(Call& call) const;
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
  std::optional<DurableAcceptor> acceptor_;  // from open() on
  Register register_;
  LocalTimes times_;
  BatchProposer proposer_;
  ProposerChoice proposer_choice_;
  common::RecentValues recent_values_;
  std::optional<State> known_state_;
  std::function<void()> state_changed_callback_;
  std::map<std::string, PeerKnowledge> peer_knowledge_;  // by address
  common::CoordinationReport last_report_;
  std::int64_t number_at_last_tick_ = 0;  // of the newest chosen value known then
  bool needs_full_value_ = false;         // a notification could not be applied
  TimePoint announced_at_;
  common::RateLimitedLog alignment_log_{"coordination.not_aligned", 1};
  TimePoint reported_at_;
  TimePoint last_tick_;
  TimePoint resumed_at_;  // when this process last found that it had stood still
  bool is_aligning_ = false;
  bool is_reading_ = false;
  std::uint64_t forwarded_count_ = 0;
  std::uint64_t forward_failure_count_ = 0;
  std::uint64_t stale_call_count_ = 0;
};

}  // namespace chutevane::control::coordination
