/// A coroutine and its only owner: destroying the Task destroys the frame, wherever it is suspended.
///
/// A coroutine must not destroy its own Task, directly or through a callback: see TaskGroup.
#pragma once

#include <coroutine>
#include <exception>
#include <utility>

namespace chutevane::net {

class Task {
 public:
  struct promise_type {
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { std::terminate(); }
  };

  Task() = default;
  Task(Task&& o) noexcept : frame_(std::exchange(o.frame_, nullptr)) {}
  Task& operator=(Task&& o) noexcept {
    if (this != &o) {
      release();
      frame_ = std::exchange(o.frame_, nullptr);
    }
    return *this;
  }
  ~Task() { release(); }
  /// Runs the coroutine up to its first suspension. Call once.
  void start() { frame_.resume(); }

 private:
  explicit Task(std::coroutine_handle<promise_type> frame) : frame_(frame) {}
  void release() {
    if (frame_) frame_.destroy();
    frame_ = nullptr;
  }
  std::coroutine_handle<promise_type> frame_;
};

}  // namespace chutevane::net
