/// Clients that wait for the next puts of a group of keys.
///
/// A watcher is answered as soon as the state that this controller knows has a put after the revision that it
/// names, or after its time without one. All watchers of a group at one revision share one body. A watcher
/// that names a revision above the known one waits: this controller is behind.
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

/// The answer to a watcher of the group at that revision. Nothing: there is no put for it yet. 410 where the
/// history does not reach back to its revision.
std::optional<common::HttpResponse> watch_response(const KeyGroup& group, std::int64_t after);

/// Everything runs on the event loop. `timers` must outlive this object.
class WatchHub {
 public:
  explicit WatchHub(net::TimerQueue& timers) : timers_(timers) {}

  /// Answers now, or once `state` of a later call of on_state() has something for it.
  void add(const WatchRequest& request, const State& state, common::HttpServer::Reply reply);
  /// The state has changed.
  void on_state(const State& state);
  /// Answers all watchers with that response: this controller cannot serve them any more.
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
  void forget_unwatched_groups();

  net::TimerQueue& timers_;
  std::map<std::uint64_t, Watcher> watchers_;            // by id, in the order of their arrival
  std::map<std::string, std::int64_t> known_revisions_;  // of groups with watchers
  std::uint64_t last_id_ = 0;
};

}  // namespace chutevane::control::coordination
