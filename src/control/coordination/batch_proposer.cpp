#include "control/coordination/batch_proposer.hpp"

#include <memory>
#include <utility>

namespace chutevane::control::coordination {
namespace {

constexpr std::size_t max_queue_length = 1024;
constexpr std::size_t max_batch_size = 128;
constexpr Span batch_timeout = Span::ms(700);  // less than a client waits

}  // namespace

std::optional<State> state_of(const common::RegisterValue& value) { return decode(value.config.data); }

void BatchProposer::submit(const Call& call, TimePoint deadline, AnswerCallback callback) {
  if (queue_.size() >= max_queue_length) return callback({Outcome::limit_reached, 0, ""});
  queue_.push_back({call, deadline, std::move(callback)});
  start_batch();
}

/// Removes the calls of the next batch from the queue. Those whose time has passed are answered.
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
  if (is_batch_under_way_) return;
  is_batch_under_way_ = true;
  const auto batch = std::make_shared<Batch>();
  batch->calls = take_calls();
  if (batch->calls.empty()) {
    is_batch_under_way_ = false;
    return;
  }
  ++batch_count_;
  register_.change(
      [this, batch](const common::RegisterValue& current) { return compute(*batch, current); }, batch_timeout,
      [this, batch](const absl::StatusOr<common::RegisterValue>& chosen) { finish_batch(*batch, chosen); },
      would_change(*batch) ? Register::FirstAttempt::propose : Register::FirstAttempt::read_only);
}

/// A guess by the newest value that is known here: it saves a round trip where it is right.
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
  std::optional<State> state = state_of(current);
  if (!state) {
    batch.answers.assign(batch.calls.size(), {Outcome::unavailable, 0, ""});
    return std::nullopt;
  }
  times_.observe(*state, timers_.now());
  StateMachine machine(*std::move(state), times_, timers_.now());
  for (const QueuedCall& queued : batch.calls) {
    // An earlier attempt may have carried it out; this one does not, as nobody waits for it any more.
    const bool is_spent = queued.deadline <= timers_.now();
    batch.answers.push_back(is_spent ? Answer{Outcome::undetermined, 0, ""} : machine.apply(queued.call));
  }
  if (!machine.has_changed()) return std::nullopt;
  machine.truncate_history();
  common::RegisterValue next = current;
  next.config.data = encode(machine.state());
  return next;
}

void BatchProposer::finish_batch(Batch& batch, const absl::StatusOr<common::RegisterValue>& chosen) {
  const bool was_proposed = !absl::IsUnavailable(chosen.status());
  for (std::size_t i = 0; i < batch.calls.size(); ++i) {
    if (chosen.ok()) {
      batch.calls[i].callback(batch.answers[i]);
    } else {
      batch.calls[i].callback({was_proposed ? Outcome::undetermined : Outcome::unavailable, 0, ""});
    }
  }
  if (queue_.empty()) {
    is_batch_under_way_ = false;
    return;
  }
  // The register lets the next change propose at once only when this one's callback has returned.
  timers_.after(Span(), [this] {
    is_batch_under_way_ = false;
    start_batch();
  });
}

}  // namespace chutevane::control::coordination
