/// Owns objects that run a coroutine each, until that coroutine ends.
///
/// An object cannot be destroyed while its own coroutine runs. It calls retire() on itself instead, and is
/// destroyed in the scheduler's next step.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "net/scheduler.hpp"
#include "net/task.hpp"

namespace chutevane::net {

/// T has a member `std::size_t group_index`, which belongs to the group.
template <class T>
class TaskGroup {
 public:
  explicit TaskGroup(Scheduler& scheduler) : waker_(scheduler), cleaner_(destroy_retired()) {
    cleaner_.start();
  }

  T& add(std::unique_ptr<T> member) {
    member->group_index = members_.size();
    members_.push_back(std::move(member));
    return *members_.back();
  }
  /// Takes a member out; it is destroyed in a later step. The order of the others changes.
  void retire(T& member) {
    const std::size_t index = member.group_index;
    retired_.push_back(std::move(members_[index]));
    if (index + 1 != members_.size()) {
      members_[index] = std::move(members_.back());
      members_[index]->group_index = index;
    }
    members_.pop_back();
    waker_.set(Waker::own);
  }
  std::size_t size() const { return members_.size(); }
  T& operator[](std::size_t i) { return *members_[i]; }

 private:
  Task destroy_retired() {
    while (true) {
      co_await waker_.wait(Waker::own);
      retired_.clear();
    }
  }
  std::vector<std::unique_ptr<T>> members_, retired_;
  Waker waker_;
  Task cleaner_;
};

}  // namespace chutevane::net
