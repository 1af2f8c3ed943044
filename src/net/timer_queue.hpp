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
  struct Ticket {
    TimePoint due;
    std::uint64_t number = 0;  // 0: nothing was asked for
    auto operator<=>(const Ticket&) const = default;
  };

  explicit TimerQueue(Scheduler& scheduler)
      : scheduler_(scheduler), waker_(scheduler), timer_(scheduler, waker_, due_bit), task_(run()) {
    task_.start();
  }
  TimePoint now() const { return scheduler_.now(); }
  Ticket at(TimePoint due, std::function<void()> what) {
    const Ticket ticket{due, ++last_};
    waiting_.emplace(ticket, std::move(what));
    if (waiting_.begin()->first == ticket) timer_.set(due);
    return ticket;
  }
  Ticket after(Span span, std::function<void()> what) { return at(now() + span, std::move(what)); }
  void cancel(Ticket& ticket) {
    if (ticket.number != 0) waiting_.erase(ticket);
    ticket = {};
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
  std::map<Ticket, std::function<void()>> waiting_;
  std::uint64_t last_ = 0;
  Task task_;
};

}  // namespace chutevane::net
