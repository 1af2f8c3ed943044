#include "control/register.hpp"

#include <xxhash.h>

#include <algorithm>

#include "common/invariant.hpp"
#include "common/value_update.hpp"
#include "control/acceptor.hpp"

namespace chutevane::control {
namespace {

using common::Accept;
using common::Accepted;
using common::Prepare;
using common::Promise;

constexpr Span attempt_timeout = Span::ms(400);  // per phase: a round trip and a disk sync take a few ms
constexpr Span min_backoff = Span::ms(8);        // about two round trips
constexpr Span backoff_jitter = Span::ms(40);    // keeps two proposers from colliding again
constexpr int max_backoff_doublings = 3;         // the jitter doubles with each failed attempt

/// Returns the promise with the newest accepted ballot; `promises` must not be empty.
const Promise& newest_promise(const std::vector<Promise>& promises) {
  return *std::max_element(promises.begin(), promises.end(),
                           [](const Promise& a, const Promise& b) { return a.accepted < b.accepted; });
}

std::string describe_conflict(const RegisterValue& known, const RegisterValue& other) {
  return "number " + std::to_string(other.number) + ": version " + std::to_string(other.config_version) +
         " and " + std::to_string(known.config_version) + ", map " + std::to_string(other.map_version) +
         " and " + std::to_string(known.map_version);
}

}  // namespace

struct Register::Operation {
  Change change;
  Callback callback;
  TimePoint deadline;
  net::TimerQueue::Handle timer;
  bool is_finished = false;
  int failed_attempts = 0;  // attempts that met a later ballot or got no majority

  // State of the current attempt
  std::int64_t attempt = 0;  // raised when a phase is abandoned, so that late replies are recognized
  bool is_read_only = true;  // no ballot is prepared
  Ballot ballot;
  RegisterValue epoch_value;                         // initial value of the epoch of the attempt
  std::shared_ptr<const AcceptedValue> known_value;  // of this epoch; promises may omit its value
  std::vector<Promise> promises;
  std::size_t granted = 0;
  std::size_t rejected = 0;
  bool is_accepting = false;           // phase 2 has begun
  RegisterValue value;                 // the proposed value
  common::ValueDifference difference;  // from the value found to `value`; empty if not much shorter

  std::size_t acceptor_count() const { return epoch_value.acceptors.size(); }
  bool has_quorum() const { return granted >= quorum_size(epoch_value); }
  bool is_quorum_out_of_reach() const { return acceptor_count() - rejected < quorum_size(epoch_value); }
  bool is_current(std::int64_t of_attempt) const { return !is_finished && attempt == of_attempt; }
  /// Returns the value that a promise reports. The acceptor omits it if the request named its ballot as
  /// known.
  const RegisterValue& reported_value(const Promise& promise) const {
    return promise.value_known ? known_value->value : promise.value;
  }
};

Register::Register(net::TimerQueue& timers, AcceptorTransport& transport, std::uint64_t proposer)
    : timers_(timers), transport_(transport), proposer_(proposer), random_state_(proposer) {}

// ---- Learning

void Register::observe_epoch(const RegisterValue& epoch_value) {
  if (epoch_value.epoch <= epoch_value_.epoch) return;
  epoch_value_ = epoch_value;
  accepted_.reset();
  entered_.clear();
}

void Register::observe_accepted(std::int64_t epoch, const Ballot& ballot, const RegisterValue& value) {
  if (epoch != epoch_value_.epoch || (accepted_ && !(accepted_->ballot < ballot))) return;
  accepted_ = std::make_shared<const AcceptedValue>(AcceptedValue{epoch, ballot, value});
}

void Register::observe_chosen(const RegisterValue& value, const RegisterValue& epoch_value) {
  observe_epoch(epoch_value);
  common::check_invariant(common::Invariant::one_value_under_a_number,
                          !known_value_ || known_value_->number != value.number ||
                              (known_value_->config_version == value.config_version &&
                               known_value_->map_version == value.map_version),
                          [&] { return describe_conflict(*known_value_, value); });
  if (known_value_ && known_value_->number >= value.number) return;
  known_value_ = value;
  if (chosen_callback_) chosen_callback_(value);
}

// ---- Operations and their attempts

void Register::change(Change change, Span timeout, Callback callback, FirstAttempt first_attempt) {
  auto operation = std::make_shared<Operation>();
  operation->is_read_only = first_attempt == FirstAttempt::read_only;
  operation->change = std::move(change);
  operation->callback = std::move(callback);
  operation->deadline = timers_.now() + timeout;
  start_attempt(operation);
}

void Register::finish(const OperationPtr& operation, absl::StatusOr<RegisterValue> result) {
  if (operation->is_finished) return;
  operation->is_finished = true;
  timers_.cancel(operation->timer);
  const bool was_proposing = proposing_ == operation;
  operation->callback(std::move(result));
  if (was_proposing) release_proposer();
}

/// Returns true if the operation may propose now. If not, queues it until it may, or until its deadline.
bool Register::acquire_proposer(const OperationPtr& operation) {
  if (!proposing_) proposing_ = operation;
  if (proposing_ == operation) return true;
  ++operation->attempt;
  timers_.cancel(operation->timer);
  operation->timer = timers_.at(operation->deadline, [this, operation] {
    std::erase(waiting_, operation);
    finish(operation,
           absl::DeadlineExceededError("timed out while waiting for other proposals of this process"));
  });
  waiting_.push_back(operation);
  return false;
}

void Register::release_proposer() {
  proposing_.reset();
  if (waiting_.empty()) return;
  const OperationPtr next = waiting_.front();
  waiting_.pop_front();
  proposing_ = next;
  next->is_read_only = true;  // the change before it may have made this one unnecessary
  start_attempt(next);
}

void Register::start_attempt(const OperationPtr& operation) {
  if (operation->is_finished) return;
  if (epoch_value_.epoch == 0) return finish(operation, absl::UnavailableError("no acceptors are known yet"));
  if (timers_.now() >= operation->deadline)
    return finish(operation,
                  absl::DeadlineExceededError("no majority of the acceptors replied before the deadline"));
  if (!operation->is_read_only && !acquire_proposer(operation)) return;
  ++operation->attempt;
  operation->epoch_value = epoch_value_;
  operation->promises.clear();
  operation->granted = operation->rejected = 0;
  operation->is_accepting = false;
  if (!operation->is_read_only) operation->ballot = {++highest_round_, static_cast<std::int64_t>(proposer_)};
  timers_.cancel(operation->timer);
  operation->timer = timers_.at(std::min(operation->deadline, timers_.now() + attempt_timeout),
                                [this, operation] { retry_later(operation); });
  operation->known_value = accepted_;
  send_prepares(operation);
}

void Register::send_prepares(const OperationPtr& operation) {
  const std::int64_t attempt = operation->attempt;
  Prepare request{operation->epoch_value.epoch, operation->ballot, {}, operation->is_read_only, {}};
  if (operation->known_value) request.known_ballot = operation->known_value->ballot;
  for (std::size_t i = 0; i < operation->acceptor_count(); ++i) {
    const std::string address = operation->epoch_value.acceptors[i].address;
    request.initial = entered_.contains(address) ? RegisterValue{} : operation->epoch_value;
    transport_.prepare(
        address, request,
        [this, operation, i, attempt, epoch = request.epoch, address](absl::StatusOr<Promise> reply) {
          report_reply(epoch, address, reply);
          on_promise(operation, i, attempt, std::move(reply));
        });
    if (!operation->is_current(attempt)) return;
  }
}

void Register::restart_in_newer_epoch(const OperationPtr& operation, const RegisterValue& epoch_value) {
  observe_epoch(epoch_value);
  ++operation->attempt;
  start_attempt(operation);
}

/// Abandons the attempt and starts another one after a random backoff that grows with each failure.
void Register::retry_later(const OperationPtr& operation) {
  if (operation->is_finished) return;
  ++operation->attempt;
  random_state_ = XXH3_64bits(&random_state_, sizeof random_state_);
  const double random_unit = static_cast<double>(random_state_ >> 11U) * 0x1p-53;
  timers_.cancel(operation->timer);
  const int doublings = std::min(operation->failed_attempts++, max_backoff_doublings);
  const TimePoint next =
      timers_.now() + min_backoff + backoff_jitter * static_cast<double>(1 << doublings) * random_unit;
  operation->timer =
      timers_.at(std::min(operation->deadline, next), [this, operation] { start_attempt(operation); });
}

// ---- Phase 1: prepare

void Register::on_promise(const OperationPtr& operation, std::size_t acceptor_index, std::int64_t attempt,
                          absl::StatusOr<Promise> reply) {
  if (!operation->is_current(attempt) || operation->is_accepting) return;
  auto status = AcceptorStatus::not_a_member;
  if (reply.ok()) {
    highest_round_ = std::max(highest_round_, reply->promised.round);
    update_entered(operation->epoch_value, acceptor_index, *reply);
    status = static_cast<AcceptorStatus>(reply->verdict);
    const std::shared_ptr<const AcceptedValue>& known = operation->known_value;
    // The promise omits a value whose ballot this request did not name, so it answers another request.
    if (reply->value_known && (!known || known->ballot != reply->accepted))
      status = AcceptorStatus::not_a_member;
  }
  if (status == AcceptorStatus::epoch_ended) return restart_in_newer_epoch(operation, reply->initial);
  if (status == AcceptorStatus::ok) {
    operation->promises.push_back(std::move(*reply));
    ++operation->granted;
  } else {
    ++operation->rejected;
  }
  if (operation->has_quorum()) {
    if (operation->is_read_only) return on_read_quorum(operation);
    operation->is_accepting = true;
    return propose_next_value(operation);
  }
  if (operation->is_quorum_out_of_reach()) {
    operation->is_read_only = false;
    retry_later(operation);
  }
}

/// Called for each reply once a majority has replied to the read-only attempt. The newest value is known to
/// be chosen if a majority has accepted it under one ballot and no acceptor that replied has accepted a later
/// one.
void Register::on_read_quorum(const OperationPtr& operation) {
  const Promise& newest = newest_promise(operation->promises);
  const auto accepted_newest = static_cast<std::size_t>(
      std::count_if(operation->promises.begin(), operation->promises.end(),
                    [&](const Promise& promise) { return promise.accepted == newest.accepted; }));
  const bool is_chosen = accepted_newest >= quorum_size(operation->epoch_value);
  const RegisterValue& found = operation->reported_value(newest);
  if (is_chosen) observe_accepted(operation->epoch_value.epoch, newest.accepted, found);
  if (is_chosen && !is_sealed(found) && !operation->change(found)) {
    const RegisterValue value = found;
    observe_chosen(value, operation->epoch_value);
    return finish(operation, value);
  }
  const bool all_have_replied = operation->granted + operation->rejected >= operation->acceptor_count();
  if (!is_chosen && !all_have_replied) return;  // another reply may complete the majority
  operation->is_read_only = false;
  start_attempt(operation);
}

void Register::probe_acceptor(const std::string& address) {
  const Prepare request{epoch_value_.epoch, {}, epoch_value_, true, {}};
  transport_.prepare(address, request,
                     [this, epoch = request.epoch, address](const absl::StatusOr<Promise>& reply) {
                       report_reply(epoch, address, reply);
                     });
}

void Register::report_reply(std::int64_t epoch, const std::string& address,
                            const absl::StatusOr<Promise>& reply) const {
  if (!reply_callback_) return;
  AcceptorReply outcome = AcceptorReply::none;
  if (reply.ok()) {
    const bool is_member = static_cast<AcceptorStatus>(reply->verdict) != AcceptorStatus::not_a_member;
    outcome = is_member ? AcceptorReply::member : AcceptorReply::non_member;
  }
  reply_callback_(epoch, address, outcome);
}

/// Records whether the acceptor has entered the epoch. If so, it has the initial value on disk, which need
/// not be sent again.
void Register::update_entered(const RegisterValue& epoch_value, std::size_t acceptor_index,
                              const Promise& reply) {
  const std::string& address = epoch_value.acceptors[acceptor_index].address;
  if (epoch_value.epoch != epoch_value_.epoch) return;
  const bool is_member = static_cast<AcceptorStatus>(reply.verdict) != AcceptorStatus::not_a_member;
  if (reply.epoch == epoch_value.epoch && is_member) {
    entered_.insert(address);
  } else {
    entered_.erase(address);
  }
}

void Register::propose_next_value(const OperationPtr& operation) {
  const Promise& newest = newest_promise(operation->promises);
  const RegisterValue current = operation->reported_value(newest);
  observe_accepted(operation->epoch_value.epoch, newest.accepted, current);
  if (!is_sealed(current)) {
    if (std::optional<RegisterValue> next = operation->change(current)) {
      next->number = current.number + 1;
      return send_accepts(operation, current, std::move(*next));
    }
  }
  // The current value stays. It must be chosen before it is reported, or a later read could return an older
  // value.
  send_accepts(operation, current, current);
}

// ---- Phase 2: accept

/// `found`: the newest accepted value found in phase 1, which most acceptors are likely to have.
void Register::send_accepts(const OperationPtr& operation, const RegisterValue& found, RegisterValue value) {
  operation->value = std::move(value);
  operation->granted = operation->rejected = 0;
  const std::string record = common::encoded(operation->value);
  operation->difference = common::value_difference(found.number, common::encoded(found), record);
  if (operation->difference.content.data.size() > record.size() / 2) operation->difference = {};
  const std::int64_t attempt = operation->attempt;
  for (std::size_t i = 0; i < operation->acceptor_count(); ++i) {
    send_accept(operation, i, !common::is_difference(operation->difference));
    if (!operation->is_current(attempt)) return;
  }
}

void Register::send_accept(const OperationPtr& operation, std::size_t acceptor_index, bool full_value) {
  Accept request{operation->epoch_value.epoch, operation->ballot, {}, {}};
  if (full_value) {
    request.value = operation->value;
  } else {
    request.difference = operation->difference;
  }
  const std::int64_t attempt = operation->attempt;
  transport_.accept(
      operation->epoch_value.acceptors[acceptor_index].address, request,
      [this, operation, acceptor_index, attempt, full_value](const absl::StatusOr<Accepted>& reply) {
        if (operation->is_current(attempt)) on_accepted(operation, acceptor_index, full_value, reply);
      });
}

void Register::on_accepted(const OperationPtr& operation, std::size_t acceptor_index, bool full_value,
                           const absl::StatusOr<Accepted>& reply) {
  if (reply.ok()) highest_round_ = std::max(highest_round_, reply->promised.round);
  const auto status =
      reply.ok() ? static_cast<AcceptorStatus>(reply->verdict) : AcceptorStatus::ballot_outdated;
  if (status == AcceptorStatus::full_value_required && !full_value)
    return send_accept(operation, acceptor_index, true);
  const bool is_accepted = status == AcceptorStatus::ok;
  ++(is_accepted ? operation->granted : operation->rejected);
  if (is_accepted && operation->granted == quorum_size(operation->epoch_value)) {
    on_value_chosen(operation);
  } else if (operation->is_quorum_out_of_reach()) {
    retry_later(operation);
  }
}

void Register::on_value_chosen(const OperationPtr& operation) {
  // A sealed value ends the epoch. The operation continues in the next one, which starts with its contents.
  if (is_sealed(operation->value))
    return restart_in_newer_epoch(operation, next_epoch_value(operation->value));
  const RegisterValue value = operation->value;
  observe_accepted(operation->epoch_value.epoch, operation->ballot, value);
  observe_chosen(value, operation->epoch_value);
  finish(operation, value);
}

}  // namespace chutevane::control
