// Owns objects that run a coroutine each and leave when it ends. An object cannot be destroyed while its
// own coroutine runs: it retires, and is destroyed in the scheduler's next step.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "net/scheduler.hpp"
#include "net/task.hpp"

namespace chutevane::net {

template <class T>  // has a std::size_t group_index
class TaskGroup {
 public:
  explicit TaskGroup(Scheduler& scheduler) : waker_(scheduler), sweeper_(sweep()) { sweeper_.start(); }

  T& add(std::unique_ptr<T> one) {
    one->group_index = members_.size();
    members_.push_back(std::move(one));
    return *members_.back();
  }
  void retire(T& one) {
    const std::size_t place = one.group_index;
    retired_.push_back(std::move(members_[place]));
    if (place + 1 != members_.size()) {
      members_[place] = std::move(members_.back());
      members_[place]->group_index = place;
    }
    members_.pop_back();
    waker_.set(Waker::own);
  }
  std::size_t size() const { return members_.size(); }
  T& operator[](std::size_t i) { return *members_[i]; }

 private:
  Task sweep() {
    while (true) {
      co_await waker_.wait(Waker::own);
      retired_.clear();
    }
  }
  std::vector<std::unique_ptr<T>> members_, retired_;
  Waker waker_;
  Task sweeper_;
};

}  // namespace chutevane::net
