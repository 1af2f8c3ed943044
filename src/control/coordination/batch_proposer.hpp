/// Executes calls in batches; each batch is one change of the coordination register. No I/O.
///
/// Calls wait in one queue. Calls that arrive during a change are executed by the next change, in order of
/// arrival. A batch that changes nothing, for example one of reads and refused lock calls, costs one round
/// trip to a majority and no disk write.
///
/// Every answer is computed from the register value that a round of this batch has read, and is delivered
/// once a value that contains its effect is known to be chosen. If the register cannot determine this, the
/// outcome is `undetermined`. If the value cannot be decoded, it is not overwritten. A call whose deadline
/// passes before its batch starts is not proposed, and its outcome is `unavailable`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "absl/status/statusor.h"
#include "control/coordination/call.hpp"
#include "control/coordination/local_times.hpp"
#include "control/coordination/state.hpp"
#include "control/coordination/state_machine.hpp"
#include "control/register.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control::coordination {

/// Queues calls and proposes them in batches. Runs on the event loop.
class BatchProposer {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  /// All arguments must outlive this object. `times` observes every state that a batch reads.
  BatchProposer(net::TimerQueue& timers, Register& reg, LocalTimes& times)
      : timers_(timers), register_(reg), times_(times) {}

  /// Sets the callback that runs each time a change of this proposer was chosen, before its calls are
  /// answered.
  void on_changed(std::function<void()> callback) { changed_callback_ = std::move(callback); }

  /// Executes the call. `callback` runs exactly once. `deadline` is the time when the client stops waiting
  /// for the answer.
  void submit(const Call& call, TimePoint deadline, AnswerCallback callback);

  std::size_t queue_length() const { return queue_.size(); }
  /// Returns the number of batches that were started.
  std::uint64_t batch_count() const { return batch_count_; }

 private:
  struct QueuedCall {
    Call call;
    TimePoint deadline;
    AnswerCallback callback;
  };
  /// The batch of the change in progress.
  struct Batch {
    std::vector<QueuedCall> calls;
    std::vector<Answer> answers;  // from the newest call of compute()
    bool has_changed = false;     // whether that call has changed the state
  };

  void start_batch();
  /// Removes the calls of the next batch from the queue. Answers those whose deadline has passed.
  std::vector<QueuedCall> take_calls();
  /// Applies the batch to `current`, and stores the answers in `batch`. Returns the value to propose, or
  /// std::nullopt if the batch changes nothing or `current` cannot be decoded.
  std::optional<common::RegisterValue> compute(Batch& batch, const common::RegisterValue& current);
  /// Predicts from the newest known value whether the batch changes the state. A correct prediction saves a
  /// round trip.
  bool would_change(const Batch& batch) const;
  /// Returns the time limit of the change: until the last client stops waiting, but no longer than later
  /// calls can wait.
  Span time_left(const Batch& batch) const;
  void finish_batch(Batch& batch, const absl::StatusOr<common::RegisterValue>& chosen);

  net::TimerQueue& timers_;
  Register& register_;
  LocalTimes& times_;
  std::deque<QueuedCall> queue_;
  bool is_batch_in_progress_ = false;
  std::uint64_t batch_count_ = 0;
  std::function<void()> changed_callback_;
};

/// Returns the state in a register value, or std::nullopt if its bytes cannot be decoded, e.g. because a
/// later version wrote them.
std::optional<State> state_of(const common::RegisterValue& value);

}  // namespace chutevane::control::coordination
