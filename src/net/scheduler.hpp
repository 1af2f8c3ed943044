/// A single-threaded scheduler of coroutines: events of a System, timers, and the coroutines that wait for
/// them.
///
/// A coroutine waits on its Waker for bits, which its sockets, its timers or other parts of the program set.
/// Setting a bit never resumes the coroutine at once; the scheduler does so in its next turn. So no callback
/// is entered again while it runs.
#pragma once

#include <coroutine>
#include <cstdint>
#include <memory>
#include <vector>

#include "chutevane/types.hpp"
#include "net/buffer_budget.hpp"
#include "net/system.hpp"

namespace chutevane::net {

class Scheduler;

/// What one coroutine waits for: a set of pending bits.
class Waker {
 public:
  using Bits = std::uint32_t;
  /// The bits that sockets set; the owner's own bits start at `own`.
  /// `hung_up` stays set: what came with the hang-up is still to be read, and the next wait ends at once.
  /// Loops that only write need not wait for it, since `writable` is set by a reset too.
  static constexpr Bits readable = System::readable, writable = System::writable, hung_up = System::hung_up,
                        own = 8;

  explicit Waker(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  /// Marks bits as pending; wakes the coroutine in the scheduler's next turn if it waits for one of them.
  void set(Bits bits);
  void clear(Bits bits) { pending_ &= ~bits; }
  bool has(Bits bits) const { return (pending_ & bits) != 0; }

  struct Awaiter {
    Waker* waker;
    Bits mask;
    bool await_ready() const { return (waker->pending_ & mask) != 0; }
    void await_suspend(std::coroutine_handle<> frame) {
      waker->waiting_ = frame;
      waker->mask_ = mask;
    }
    Bits await_resume() {
      const Bits got = waker->pending_ & mask;
      waker->pending_ &= ~mask | hung_up;
      return got;
    }
  };
  /// Suspends until a bit of `mask` is pending. Returns the pending bits of `mask` and clears them, but for
  /// `hung_up`.
  Awaiter wait(Bits mask) { return {this, mask}; }

  struct YieldingAwaiter : Awaiter {
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> frame) {
      Awaiter::await_suspend(frame);
      waker->set(0);  // queues it if a bit is pending already
    }
  };
  /// As wait(), but other coroutines that are ready run first even if a bit is pending already. For a loop
  /// whose peer may always have more to read.
  YieldingAwaiter yield_and_wait(Bits mask) { return {{this, mask}}; }

 private:
  friend class Scheduler;
  void run();
  Scheduler& scheduler_;
  std::coroutine_handle<> waiting_;
  Bits pending_ = 0, mask_ = 0;
  bool queued_ = false;
};

/// Sets a bit of a waker at a point in time. Owned by the part of the program that it wakes.
class Timer {
 public:
  Timer(Scheduler& scheduler, Waker& waker, Waker::Bits bit)
      : scheduler_(scheduler), waker_(waker), bit_(bit) {}
  ~Timer() { cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void set(TimePoint due);
  /// Also clears the bit, where it was set and has not been waited for.
  void cancel();
  /// TimePoint::never() unless set.
  TimePoint due() const { return heap_index_ == unset ? TimePoint::never() : due_; }

 private:
  friend class Scheduler;
  static constexpr std::size_t unset = static_cast<std::size_t>(-1);
  Scheduler& scheduler_;
  Waker& waker_;
  Waker::Bits bit_;
  TimePoint due_;
  std::size_t heap_index_ = unset;
};

class Scheduler {
 public:
  /// On this machine's clock and sockets. Throws std::system_error.
  Scheduler();
  /// `system` must outlive it.
  explicit Scheduler(System& system) : system_(system) {}
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  TimePoint now() const { return system_.now(); }
  System& system() { return system_; }
  /// The budget of all channels of this process, and of what they have delivered. Unlimited until a limit is
  /// set.
  BufferBudget& buffer_budget() { return buffer_budget_; }
  /// Waits for events or the next timer, and runs everything that they make ready: ends of connections first,
  /// then timers that are due, then what has arrived.
  void turn();
  /// When there is work even if no event comes: now, at the next timer, or never.
  TimePoint next_due() const;

 private:
  friend class Waker;
  friend class Timer;
  friend class Socket;
  friend class Signals;
  struct Source {
    Waker* waker = nullptr;
    std::uint32_t use = 0;  // counts reuses: tells a late event of an earlier use from this one's
  };
  std::uint32_t watch(int fd, Waker& waker);
  void unwatch(int fd, std::uint32_t source);
  void run_ready();
  void fire_due();
  void sift(std::size_t index);
  void put(std::size_t index, Timer* timer);

  BufferBudget buffer_budget_;
  std::unique_ptr<System> own_;  // empty where the system was given
  System& system_;
  std::vector<Source> sources_;
  std::vector<std::uint32_t> free_sources_;
  std::vector<Timer*> timers_;  // a heap, the earliest first
  std::vector<Waker*> ready_, running_;
};

}  // namespace chutevane::net
