/// Implements BatchProposer.
#include "control/coordination/batch_proposer.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chutevane::control::coordination {
namespace {

constexpr std::size_t max_queue_length = 1024;
constexpr std::size_t max_batch_size = 128;
constexpr Span max_batch_time = Span::ms(700);  // shorter than a client's timeout

}  // namespace

std::optional<State> state_of(const common::RegisterValue& value) { return decode(value.config.data); }

void BatchProposer::submit(const Call& call, TimePoint deadline, AnswerCallback callback) {
  if (queue_.size() >= max_queue_length) return callback({Outcome::limit_reached, 0, ""});
  queue_.push_back({call, deadline, std::move(callback)});
  start_batch();
}

std::vector<BatchProposer::QueuedCall> BatchProposer::take_calls() {
  std::vector<QueuedCall> out;
  const TimePoint now = timers_.now();
  while (!queue_.empty() && out.size() < max_batch_size) {
    QueuedCall next = std::move(queue_.front());
    queue_.pop_front();
    if (next.deadline <= now) {
      next.callback({Outcome::unavailable, 0, ""});
    } else {
      out.push_back(std::move(next));
    }
  }
  return out;
}

void BatchProposer::start_batch() {
  if (is_batch_in_progress_) return;
  is_batch_in_progress_ = true;
  const auto batch = std::make_shared<Batch>();
  batch->calls = take_calls();
  if (batch->calls.empty()) {
    is_batch_in_progress_ = false;
    return;
  }
  ++batch_count_;
  register_.change(
      [this, batch](const common::RegisterValue& current) { return compute(*batch, current); },
      time_left(*batch),
      [this, batch](const absl::StatusOr<common::RegisterValue>& chosen) { finish_batch(*batch, chosen); },
      would_change(*batch) ? Register::FirstAttempt::propose : Register::FirstAttempt::read_only);
}

Span BatchProposer::time_left(const Batch& batch) const {
  TimePoint last_deadline = timers_.now();
  for (const QueuedCall& queued : batch.calls) last_deadline = std::max(last_deadline, queued.deadline);
  return std::min(max_batch_time, last_deadline - timers_.now());
}

bool BatchProposer::would_change(const Batch& batch) const {
  if (!register_.known_value()) return false;
  std::optional<State> state = state_of(*register_.known_value());
  if (!state) return false;
  StateMachine machine(*std::move(state), times_, timers_.now());
  for (const QueuedCall& queued : batch.calls) machine.apply(queued.call);
  return machine.has_changed();
}

std::optional<common::RegisterValue> BatchProposer::compute(Batch& batch,
                                                            const common::RegisterValue& current) {
  batch.answers.clear();
  batch.has_changed = false;
  std::optional<State> state = state_of(current);
  if (!state) {
    batch.answers.assign(batch.calls.size(), {Outcome::unavailable, 0, ""});
    return std::nullopt;
  }
  times_.observe(*state, timers_.now());
  StateMachine machine(*std::move(state), times_, timers_.now());
  for (const QueuedCall& queued : batch.calls) {
    // Not executed, because its client no longer waits. An earlier attempt may have executed it, though.
    const bool is_expired = queued.deadline <= timers_.now();
    batch.answers.push_back(is_expired ? Answer{Outcome::undetermined, 0, ""} : machine.apply(queued.call));
  }
  if (!machine.has_changed()) return std::nullopt;
  batch.has_changed = true;
  machine.truncate_history();
  common::RegisterValue next = current;
  next.config.data = encode(machine.state());
  return next;
}

void BatchProposer::finish_batch(Batch& batch, const absl::StatusOr<common::RegisterValue>& chosen) {
  if (chosen.ok() && batch.has_changed && changed_callback_) changed_callback_();
  const bool was_proposed = !absl::IsUnavailable(chosen.status());
  for (std::size_t i = 0; i < batch.calls.size(); ++i) {
    if (chosen.ok()) {
      batch.calls[i].callback(batch.answers[i]);
    } else {
      batch.calls[i].callback({was_proposed ? Outcome::undetermined : Outcome::unavailable, 0, ""});
    }
  }
  // Deferred to a later iteration of the event loop: the register must finish this operation first.
  timers_.after(Span(), [this] {
    is_batch_in_progress_ = false;
    start_batch();
  });
}

}  // namespace chutevane::control::coordination
