/// Watchers: clients that wait for the next puts of a group of keys.
///
/// A watcher is answered as soon as the state known to this controller has a put after the watcher's
/// revision, or when its wait time has passed without one. All watchers of a group at the same revision share
/// one response body. If a watcher's revision is above the known one, this controller is behind, and the
/// watcher waits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "chutevane/types.hpp"
#include "common/http_server.hpp"
#include "control/coordination/coordination_request.hpp"
#include "control/coordination/state.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control::coordination {

/// Returns the response to a watcher of the group at revision `after`, or std::nullopt if there is no later
/// put yet. The status is 410 if the history does not reach back to `after`.
std::optional<common::HttpResponse> watch_response(const KeyGroup& group, std::int64_t after);

/// Holds the waiting watchers. Runs on the event loop. `timers` must outlive this object.
class WatchHub {
 public:
  explicit WatchHub(net::TimerQueue& timers) : timers_(timers) {}

  /// Answers the request immediately, or once a later call of on_state() has a put for it, or after its wait
  /// time.
  void add(const WatchRequest& request, const State& state, common::HttpServer::Reply reply);
  /// Answers the watchers that the new state has puts for.
  void on_state(const State& state);
  /// Answers all watchers with that response, because this controller can no longer serve them.
  void release_all(const common::HttpResponse& response);

  std::size_t size() const { return watchers_.size(); }
  static constexpr std::size_t max_watchers = 2000;

 private:
  struct Watcher {
    WatchRequest request;
    common::HttpServer::Reply reply;
    net::TimerQueue::Handle timeout;
  };
  void on_timeout(std::uint64_t id);
  void erase_unwatched_groups();

  net::TimerQueue& timers_;
  std::map<std::uint64_t, Watcher> watchers_;            // by id, in order of arrival
  std::map<std::string, std::int64_t> known_revisions_;  // of groups with watchers
  std::uint64_t last_id_ = 0;
};

}  // namespace chutevane::control::coordination
