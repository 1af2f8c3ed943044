/// The HTTP API of the coordination service: locks, numbers, keys and watches (api/operators.yaml).
///
/// Statuses 412, 429 and 503 mean that the call has had no effect and will have none later. If that is
/// unknown, the status is 504, and the client repeats its call.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "common/http_server.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "control/coordination/call.hpp"
#include "control/coordination/coordination_request.hpp"
#include "control/coordination/coordination_service.hpp"
#include "control/coordination/watch_hub.hpp"
#include "http/parser.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control::coordination {

/// Returns the HTTP response for the answer to a call.
common::HttpResponse response_to(Operation operation, const Answer& answer);

/// Serves the HTTP requests. Runs on the event loop. All arguments of the constructor must outlive this
/// object.
class CoordinationApi {
 public:
  /// `seed` determines the ids of calls, and must be drawn at random at each start of the process.
  CoordinationApi(net::TimerQueue& timers, CoordinationService& service, std::uint64_t seed);

  /// Answers one request exactly once, immediately or later. Its target must be one of this service.
  void serve(const http::Parser& request, const common::HttpServer::Reply& reply);
  /// Answers `Coordination.Retrieve` from the state known here. `node` is the name of this controller.
  void serve_status(const http::Parser& request, const std::string& node,
                    const common::HttpServer::Reply& reply) const;
  /// Must be called with each tick of the controller. Ends all watches if the state known here may be
  /// outdated.
  void tick();
  /// Ends all watches and refuses new ones, so that watchers use another controller.
  void begin_shutdown();
  void write_metrics(common::MetricsWriter& out) const;
  std::size_t watcher_count() const { return watch_hub_.size(); }

 private:
  struct Count {
    Operation operation = Operation::get_key;
    Outcome outcome = Outcome::done;
    auto operator<=>(const Count&) const = default;
  };
  void serve_call(Call call, const common::HttpServer::Reply& reply);
  void serve_watch(const WatchRequest& request, const common::HttpServer::Reply& reply);
  void record(const Call& call, const Answer& answer, TimePoint started_at);

  net::TimerQueue& timers_;
  CoordinationService& service_;
  WatchHub watch_hub_;
  const std::uint64_t seed_;
  std::uint64_t call_count_ = 0;
  bool is_shutting_down_ = false;
  std::map<Count, std::uint64_t> counts_;
  std::uint64_t invalid_count_ = 0;
  double call_seconds_ = 0;
  static constexpr int max_log_lines_per_second = 10;
  common::RateLimitedLog failure_log_{"coordination.not_done", max_log_lines_per_second};
};

}  // namespace chutevane::control::coordination
