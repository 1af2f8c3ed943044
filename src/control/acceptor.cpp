#include "control/acceptor.hpp"

#include "common/invariant.hpp"
#include "common/value_update.hpp"

namespace chutevane::control {
namespace {

using common::Accept;
using common::Accepted;
using common::Prepare;
using common::Promise;

std::int64_t to_wire(AcceptorStatus status) { return static_cast<std::int64_t>(status); }

Promise promise_with(AcceptorStatus status) {
  Promise reply;
  reply.verdict = to_wire(status);
  return reply;
}

/// A log of changes is replayed record by record, so it is kept shorter to bound the startup time.
std::size_t max_log_bytes(AcceptorLogForm form) {
  constexpr std::size_t full_states = std::size_t{512} * 1024;
  constexpr std::size_t changes = std::size_t{64} * 1024;
  return form == AcceptorLogForm::changes ? changes : full_states;
}

}  // namespace

DurableAcceptor::DurableAcceptor(common::Disk& disk, AcceptorIdentity identity, std::string file_name,
                                 AcceptorLogForm log_form)
    : storage_(disk, std::move(file_name), max_log_bytes(log_form)),
      identity_(std::move(identity)),
      log_form_(log_form) {}

absl::Status DurableAcceptor::open() {
  const auto recovered = storage_.recover();
  if (absl::IsNotFound(recovered.status())) return absl::OkStatus();
  if (!recovered.ok()) return recovered.status();
  if (!common::decode(recovered->checkpoint, state_))
    return absl::DataLossError("acceptor: cannot decode the checkpoint");
  for (const std::string& change : recovered->changes) {
    if (absl::Status applied = apply_log_record(change); !applied.ok()) return applied;
  }
  return absl::OkStatus();
}

absl::Status DurableAcceptor::reset() {
  const auto recovered = storage_.recover();  // makes the new checkpoint's number higher than any on disk
  const bool is_readable_disk =
      recovered.ok() || absl::IsNotFound(recovered.status()) || absl::IsDataLoss(recovered.status());
  if (!is_readable_disk) return recovered.status();
  state_ = {};
  return persist({}, WriteForm::checkpoint);
}

absl::Status DurableAcceptor::apply_log_record(const std::string& record) {
  absl::Status unreadable = absl::DataLossError("acceptor: cannot decode a log record");
  if (log_form_ == AcceptorLogForm::full_state)
    return common::decode(record, state_) ? absl::OkStatus() : unreadable;
  common::AcceptorChange change;
  if (!common::decode(record, change)) return unreadable;
  state_.promised = change.promised;
  if (change.accepted.round == 0) return absl::OkStatus();
  absl::StatusOr<RegisterValue> value = value_after(change.value, change.difference);
  if (!value.ok()) return unreadable;
  state_.accepted = change.accepted;
  state_.value = *std::move(value);
  return absl::OkStatus();
}

/// Writes the current state to disk. `change`: the record that a log of changes gets for it.
absl::Status DurableAcceptor::persist(const common::AcceptorChange& change, WriteForm form) {
  common::check_invariant(common::Invariant::accepted_not_above_promised,
                          !(state_.promised < state_.accepted), [&] {
                            return "promised round " + std::to_string(state_.promised.round) + ", accepted " +
                                   std::to_string(state_.accepted.round);
                          });
  const bool as_checkpoint =
      form == WriteForm::checkpoint || storage_.is_log_full() || storage_.needs_checkpoint();
  if (as_checkpoint) return storage_.write_checkpoint(common::encoded(state_));
  const bool as_change = log_form_ == AcceptorLogForm::changes;
  return storage_.append_change(as_change ? common::encoded(change) : common::encoded(state_));
}

/// Enters a later epoch if this acceptor is a member of it. Changes memory only; the caller persists it.
bool DurableAcceptor::enter_epoch(std::int64_t epoch, const RegisterValue& epoch_value) {
  if (epoch != epoch_value.epoch || !contains_acceptor(epoch_value, identity_)) return false;
  state_ = {};
  state_.epoch = epoch;
  state_.initial = state_.value = epoch_value;
  return true;
}

absl::StatusOr<Promise> DurableAcceptor::prepare(const Prepare& request) {
  const common::AcceptorRecord before = state_;
  const bool enters_epoch = request.epoch > state_.epoch;
  if (enters_epoch && !enter_epoch(request.epoch, request.initial))
    return promise_with(AcceptorStatus::not_a_member);
  if (request.epoch < state_.epoch) {
    Promise reply = promise_with(AcceptorStatus::epoch_ended);
    reply.epoch = state_.epoch;
    reply.initial = state_.initial;
    return reply;
  }
  const bool promises = !request.read_only && state_.promised < request.ballot;
  if (promises) state_.promised = request.ballot;
  if (promises || enters_epoch) {
    common::AcceptorChange change;
    change.promised = state_.promised;
    const absl::Status stored = persist(change, enters_epoch ? WriteForm::checkpoint : WriteForm::log_record);
    if (!stored.ok()) {
      state_ = before;
      return stored;
    }
  }
  if (enters_epoch && epoch_entered_callback_) epoch_entered_callback_(state_.initial);

  const bool is_granted = request.read_only || state_.promised == request.ballot;
  Promise reply = promise_with(is_granted ? AcceptorStatus::ok : AcceptorStatus::ballot_outdated);
  reply.epoch = state_.epoch;
  reply.promised = state_.promised;
  reply.accepted = state_.accepted;
  reply.value_known = request.known_ballot.round > 0 && request.known_ballot == state_.accepted;
  if (is_granted && !reply.value_known) reply.value = state_.value;
  return reply;
}

/// Returns the accepted value with the difference applied, or `full` if there is no difference.
absl::StatusOr<RegisterValue> DurableAcceptor::value_after(const RegisterValue& full,
                                                           const common::ValueDifference& difference) const {
  if (!common::is_difference(difference)) return full;
  return common::apply_value_difference(difference, common::encoded(state_.value));
}

absl::StatusOr<Accepted> DurableAcceptor::accept(const Accept& request) {
  Accepted reply;
  reply.epoch = state_.epoch;
  reply.promised = state_.promised;
  if (request.epoch != state_.epoch) {
    const bool has_ended = request.epoch < state_.epoch;
    reply.verdict = to_wire(has_ended ? AcceptorStatus::epoch_ended : AcceptorStatus::not_a_member);
    return reply;
  }
  if (request.ballot < state_.promised) {
    reply.verdict = to_wire(AcceptorStatus::ballot_outdated);
    return reply;
  }
  reply.verdict = to_wire(AcceptorStatus::ok);
  const bool is_repeat = request.ballot.round > 0 && request.ballot == state_.accepted;
  if (is_repeat) return reply;  // already on disk
  absl::StatusOr<RegisterValue> value = value_after(request.value, request.difference);
  if (!value.ok()) {
    reply.verdict = to_wire(AcceptorStatus::full_value_required);
    return reply;
  }
  const common::AcceptorRecord before = state_;
  state_.promised = state_.accepted = request.ballot;
  state_.value = *std::move(value);
  const common::AcceptorChange change{request.ballot, request.ballot, request.value, request.difference};
  if (absl::Status stored = persist(change, WriteForm::log_record); !stored.ok()) {
    state_ = before;
    return stored;
  }
  return reply;
}

}  // namespace chutevane::control
