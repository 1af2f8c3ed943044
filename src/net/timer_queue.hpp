/// Callbacks at points in time: one timer and one coroutine of the scheduler for all of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "net/scheduler.hpp"
#include "net/task.hpp"

namespace chutevane::net {

class TimerQueue {
 public:
  /// Names a scheduled callback, for cancel(). It owns nothing.
  struct Handle {
    TimePoint due;
    std::uint64_t number = 0;  ///< 0: names nothing
    auto operator<=>(const Handle&) const = default;
  };

  /// `scheduler` must outlive this. Callbacks that are left at its end are not called.
  explicit TimerQueue(Scheduler& scheduler)
      : scheduler_(scheduler), waker_(scheduler), timer_(scheduler, waker_, due_bit), task_(run()) {
    task_.start();
  }
  TimePoint now() const { return scheduler_.now(); }
  /// Calls back once, in the first turn of the scheduler at or after `due`; callbacks of one time in the
  /// order of their scheduling.
  Handle at(TimePoint due, std::function<void()> callback) {
    const Handle handle{due, ++last_};
    pending_.emplace(handle, std::move(callback));
    if (pending_.begin()->first == handle) timer_.set(due);
    return handle;
  }
  Handle after(Span delay, std::function<void()> callback) { return at(now() + delay, std::move(callback)); }
  /// The callback will not be called; does nothing where it has been. Resets `handle`.
  void cancel(Handle& handle) {
    if (handle.number != 0) pending_.erase(handle);
    handle = {};
  }

 private:
  static constexpr Waker::Bits due_bit = Waker::own;
  Task run() {
    while (true) {
      co_await waker_.wait(due_bit);
      fire();
    }
  }
  void fire() {
    const TimePoint now = scheduler_.now();
    while (!pending_.empty() && pending_.begin()->first.due <= now) {
      auto node = pending_.extract(pending_.begin());  // the callback may schedule or cancel others
      node.mapped()();
    }
    if (!pending_.empty()) timer_.set(pending_.begin()->first.due);
  }

  Scheduler& scheduler_;
  Waker waker_;
  Timer timer_;
  std::map<Handle, std::function<void()>> pending_;  // the earliest first
  std::uint64_t last_ = 0;
  Task task_;
};

}  // namespace chutevane::net
