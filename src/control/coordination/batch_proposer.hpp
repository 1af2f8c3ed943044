/// Carries out calls by changes of the coordination register, many in one change. No I/O.
///
/// Calls wait in one queue. While a change is under way, those that come are collected; the next change
/// carries out all of them in the order of their arrival. A batch that changes nothing, such as reads and
/// refused locks, costs one round trip to a majority and no write to a disk.
///
/// Every answer is computed from the register's value as a round of this batch has found it, and told once a
/// value that contains its effect is known to be chosen. Where the register cannot tell, the outcome is
/// `undetermined`. Where the value cannot be read, nothing is proposed over it. A call whose time has passed
/// before its batch begins is not proposed: `unavailable`.
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

class BatchProposer {
 public:
  using AnswerCallback = std::function<void(const Answer&)>;

  /// All must outlive this object. `times` is told of every state that is found.
  BatchProposer(net::TimerQueue& timers, Register& reg, LocalTimes& times)
      : timers_(timers), register_(reg), times_(times) {}

  /// Called each time that a change of this proposer has been chosen, before its calls are answered.
  void on_changed(std::function<void()> callback) { changed_callback_ = std::move(callback); }

  /// Carries out the call; `callback` runs once. `deadline`: when nobody waits for the answer any more.
  void submit(const Call& call, TimePoint deadline, AnswerCallback callback);

  std::size_t queue_length() const { return queue_.size(); }
  std::uint64_t batch_count() const { return batch_count_; }

 private:
  struct QueuedCall {
    Call call;
    TimePoint deadline;
    AnswerCallback callback;
  };
  /// Of a change under way.
  struct Batch {
    std::vector<QueuedCall> calls;
    std::vector<Answer> answers;  // of the newest computation
    bool has_changed = false;     // the newest computation has made another state
  };

  void start_batch();
  std::vector<QueuedCall> take_calls();
  std::optional<common::RegisterValue> compute(Batch& batch, const common::RegisterValue& current);
  bool would_change(const Batch& batch) const;
  Span time_left(const Batch& batch) const;
  void finish_batch(Batch& batch, const absl::StatusOr<common::RegisterValue>& chosen);

  net::TimerQueue& timers_;
  Register& register_;
  LocalTimes& times_;
  std::deque<QueuedCall> queue_;
  bool is_batch_under_way_ = false;
  std::uint64_t batch_count_ = 0;
  std::function<void()> changed_callback_;
};

/// The state that a register value holds. Nothing: its bytes cannot be read, as those of a later version.
std::optional<State> state_of(const common::RegisterValue& value);

}  // namespace chutevane::control::coordination
