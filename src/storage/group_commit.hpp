/// Group commit: one disk sync for all changes made during the same iteration of the event loop.
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

/// Commits the changes of a ReplicaStore in groups.
///
/// Runs on the event loop's thread, and a commit blocks that thread until the disk operation has finished.
/// `store` and `timers` must outlive this object. While the disk fails, the commit is retried at a fixed
/// interval; callbacks are kept until a commit succeeds, and none is dropped.
class GroupCommit {
 public:
  /// `on_health_change(failing)` is called when the disk stops accepting writes, and when it accepts them
  /// again.
  GroupCommit(ReplicaStore& store, net::TimerQueue& timers,
              std::function<void(bool failing)> on_health_change)
      : store_(store), timers_(timers), on_health_change_(std::move(on_health_change)) {}

  /// Calls `done` once every change made to the store so far is durable. `done` never runs before
  /// after_commit() returns.
  void after_commit(std::function<void()> done);
  /// Schedules a commit without a callback, for changes whose durability no caller waits for.
  void schedule() {
    after_commit([] {});
  }

  /// Number of commit attempts, including failed ones, and the total time spent in them.
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
