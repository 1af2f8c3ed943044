// Calls back at points in time: one timer and one coroutine for all of them.
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
  // What was asked for; it may be cancelled, also after it has happened.
  struct Handle {
    TimePoint due;
    std::uint64_t number = 0;  // 0: nothing was asked for
    auto operator<=>(const Handle&) const = default;
  };

  explicit TimerQueue(Scheduler& scheduler)
      : scheduler_(scheduler), waker_(scheduler), timer_(scheduler, waker_, due_bit), task_(run()) {
    task_.start();
  }
  TimePoint now() const { return scheduler_.now(); }
  Handle at(TimePoint due, std::function<void()> what) {
    const Handle handle{due, ++last_};
    waiting_.emplace(handle, std::move(what));
    if (waiting_.begin()->first == handle) timer_.set(due);
    return handle;
  }
  Handle after(Span span, std::function<void()> what) { return at(now() + span, std::move(what)); }
  void cancel(Handle& handle) {
    if (handle.number != 0) waiting_.erase(handle);
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
    while (!waiting_.empty() && waiting_.begin()->first.due <= now) {
      auto node = waiting_.extract(waiting_.begin());
      node.mapped()();
    }
    if (!waiting_.empty()) timer_.set(waiting_.begin()->first.due);
  }

  Scheduler& scheduler_;
  Waker waker_;
  Timer timer_;
  std::map<Handle, std::function<void()>> waiting_;
  std::uint64_t last_ = 0;
  Task task_;
};

}  // namespace chutevane::net
