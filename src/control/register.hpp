/// The replicated register of control state: one value, agreed on by a majority of acceptors. No I/O.
///
/// The register works as CASPaxos does: there is no leader and no log. To change the value, a proposer
/// prepares a ballot at a majority of the acceptors, computes the next value from the newest accepted one
/// that they report, and has a majority accept it. The value is then chosen. A change function that sees
/// another value than it expects leaves that value as it is, which gives compare-and-set. Values are
/// numbered, and each change raises the number by one.
///
/// A set of acceptors serves one epoch. To change the set, a value that names the next set (`next_acceptors`)
/// is chosen like any other. This value is sealed: it is the last one of its epoch, and the next epoch starts
/// with its contents. Acceptors are named by address and disk, so an acceptor that has lost its disk belongs
/// to no set until a later epoch names its new disk.
///
/// A read is a change that changes nothing. Its first attempt is read-only: if a majority reports the same
/// accepted ballot, that value is chosen and the read completes after one round trip without a disk write.
///
/// docs/register.md compares the alternatives; model/register.pml checks the protocol.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "common/durable_state.hpp"
#include "common/messages.hpp"
#include "control/acceptor_transport.hpp"
#include "control/register_value.hpp"
#include "control/voting_monitor.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// One process's access to the register: its proposer, and the chosen values that it has learnt.
///
/// Callbacks run from the event loop, or from within the call that caused them. The transport and the timers
/// must outlive this object.
class Register {
 public:
  /// Returns the next value for the current one, or std::nullopt to leave it as it is. May be called several
  /// times, with different values, before the change is decided.
  using Change = std::function<std::optional<RegisterValue>(const RegisterValue& current)>;
  /// Receives the value that is chosen at the end of the operation, or an error: DeadlineExceeded, or
  /// Unavailable if no acceptors are known yet. After an error the change may still be chosen later, or
  /// never.
  using Callback = std::function<void(absl::StatusOr<RegisterValue>)>;

  /// `proposer`: random number drawn at each start of the process, which breaks ties between ballots of the
  /// same round.
  Register(net::TimerQueue& timers, AcceptorTransport& transport, std::uint64_t proposer);

  /// What the first attempt of an operation does. The result is the same in both cases.
  enum class FirstAttempt : std::uint8_t {
    read_only,  ///< it only reads: nothing is written if the value stays as it is
    propose,    ///< it prepares a ballot: saves one round trip if the value is changed
  };

  /// Carries out a change; `callback` runs exactly once, within `timeout`.
  void change(Change change, Span timeout, Callback callback,
              FirstAttempt first_attempt = FirstAttempt::read_only);
  /// Reads the value that is chosen at some time after this call.
  void read(Span timeout, Callback callback) {
    change([](const RegisterValue&) { return std::nullopt; }, timeout, std::move(callback));
  }

  /// Learns of an epoch from its initial value. Has no effect unless the epoch is newer than the known one.
  void observe_epoch(const RegisterValue& epoch_value);
  /// Learns that `value` was chosen in the epoch of `epoch_value`; older values are ignored.
  void observe_chosen(const RegisterValue& value, const RegisterValue& epoch_value);
  /// Learns that `value` was accepted under that ballot, so that acceptors can omit it from promises.
  void observe_accepted(std::int64_t epoch, const Ballot& ballot, const RegisterValue& value);
  /// Sets a callback that is called with each chosen value that this process learns, in rising order of
  /// numbers.
  void on_chosen(std::function<void(const RegisterValue&)> callback) {
    chosen_callback_ = std::move(callback);
  }

  /// Sends a read-only prepare request to one acceptor of the newest epoch, so that the callback of
  /// on_acceptor_reply() receives whether it votes.
  void probe_acceptor(const std::string& address);
  /// Called when a prepare request of that epoch to the acceptor at that address has been answered or has
  /// failed.
  using ReplyCallback =
      std::function<void(std::int64_t epoch, const std::string& address, AcceptorReply reply)>;
  void on_acceptor_reply(ReplyCallback callback) { reply_callback_ = std::move(callback); }

  /// The initial value of the newest known epoch, which names its acceptors. Its `epoch` is 0 if none is
  /// known.
  const RegisterValue& epoch_value() const { return epoch_value_; }
  /// The newest value that this process knows to be chosen, or std::nullopt if it knows none.
  const std::optional<RegisterValue>& known_value() const { return known_value_; }
  /// Returns the ballot under which known_value() was accepted in the newest epoch. Its round is 0 if not
  /// known.
  Ballot known_ballot() const {
    const bool is_current = accepted_ && known_value_ && accepted_->value.number == known_value_->number;
    return is_current ? accepted_->ballot : Ballot{};
  }
  /// Returns true if the machine at that address may be removed with its disk, because a majority of an
  /// acceptor set without it has the value.
  bool is_released(const std::string& address) const {
    return known_value_ && known_value_->epoch == epoch_value_.epoch &&
           !contains_address(known_value_->acceptors, address);
  }

 private:
  /// A change or read in progress, over all its attempts.
  struct Operation;
  using OperationPtr = std::shared_ptr<Operation>;
  /// A value and its ballot. A ballot has one proposer, which proposes only one value under it, so the ballot
  /// identifies the value.
  struct AcceptedValue {
    std::int64_t epoch = 0;
    Ballot ballot;
    RegisterValue value;
  };

  // Attempts
  void start_attempt(const OperationPtr& operation);
  void send_prepares(const OperationPtr& operation);
  void restart_in_newer_epoch(const OperationPtr& operation, const RegisterValue& epoch_value);
  void retry_later(const OperationPtr& operation);
  void finish(const OperationPtr& operation, absl::StatusOr<RegisterValue> result);

  // Phase 1
  void on_promise(const OperationPtr& operation, std::size_t acceptor_index, std::int64_t attempt,
                  absl::StatusOr<common::Promise> reply);
  void on_read_quorum(const OperationPtr& operation);
  void propose_next_value(const OperationPtr& operation);
  void report_reply(std::int64_t epoch, const std::string& address,
                    const absl::StatusOr<common::Promise>& reply) const;
  void update_entered(const RegisterValue& epoch_value, std::size_t acceptor_index,
                      const common::Promise& reply);

  // Phase 2
  void send_accepts(const OperationPtr& operation, const RegisterValue& found, RegisterValue value);
  void send_accept(const OperationPtr& operation, std::size_t acceptor_index, bool full_value);
  void on_accepted(const OperationPtr& operation, std::size_t acceptor_index, bool full_value,
                   const absl::StatusOr<common::Accepted>& reply);
  void on_value_chosen(const OperationPtr& operation);

  // Serialization of proposals
  bool acquire_proposer(const OperationPtr& operation);
  void release_proposer();

  net::TimerQueue& timers_;
  AcceptorTransport& transport_;
  const std::uint64_t proposer_;
  std::uint64_t random_state_;
  std::int64_t highest_round_ = 0;  // highest round of any ballot seen
  RegisterValue epoch_value_;
  std::shared_ptr<const AcceptedValue> accepted_;  // newest one seen or proposed in this epoch
  std::set<std::string> entered_;                  // addresses of acceptors known to have entered it
  std::optional<RegisterValue> known_value_;
  std::function<void(const RegisterValue&)> chosen_callback_;
  ReplyCallback reply_callback_;
  // Only one operation of this process proposes at a time, since concurrent proposals would preempt each
  // other. The others wait in order of arrival. Read-only attempts do not wait.
  OperationPtr proposing_;
  std::deque<OperationPtr> waiting_;
};

}  // namespace chutevane::control
