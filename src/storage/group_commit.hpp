/// Group commit: one sync of the disk for all changes that arrive in the same iteration of the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "chutevane/types.hpp"
#include "common/disk_health.hpp"
#include "net/timer_queue.hpp"
#include "storage/replica_store.hpp"

namespace chutevane::storage {

/// Runs on the event loop's thread; a commit blocks it until the disk has answered. `store` and `timers`
/// outlive this object.
///
/// While the disk fails, commits are tried again at an interval and callbacks wait; none is dropped.
class GroupCommit {
 public:
  /// `on_health_change(failing)`: the disk has stopped or begun again to accept writes.
  GroupCommit(ReplicaStore& store, net::TimerQueue& timers,
              std::function<void(bool failing)> on_health_change)
      : store_(store), timers_(timers), on_health_change_(std::move(on_health_change)) {}

  /// Calls `done` once everything that was changed in the store by now is durable; never before this returns.
  void after_commit(std::function<void()> done);
  /// Makes what was changed durable soon, for changes that nobody waits for.
  void schedule() {
    after_commit([] {});
  }

  /// Tries, failed ones among them, and the time that they took.
  std::uint64_t commit_count() const { return commit_count_; }
  Span commit_time() const { return commit_time_; }

 private:
  void commit();

  ReplicaStore& store_;
  net::TimerQueue& timers_;
  const std::function<void(bool failing)> on_health_change_;
  common::DiskHealth disk_health_;
  std::vector<std::function<void()>> waiting_;
  bool scheduled_ = false;
  std::uint64_t commit_count_ = 0;
  Span commit_time_;
};

}  // namespace chutevane::storage
