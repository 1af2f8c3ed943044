/// The HTTP API of the coordination service: locks, numbers, keys and watches (api/operators.yaml).
///
/// What a status promises: 412, 429 and 503 are answered only where the call has had no effect and will have
/// none. Where that is not known, the status is 504, and the client repeats its call.
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

/// The response to a call with that answer.
common::HttpResponse response_to(Operation operation, const Answer& answer);

/// Everything runs on the event loop. All arguments must outlive this object.
class CoordinationApi {
 public:
  /// `seed`: drawn anew at each start of the process, for the ids of calls.
  CoordinationApi(net::TimerQueue& timers, CoordinationService& service, std::uint64_t seed);

  /// Answers one request: at once or later, exactly once. Its target must be one of this service's.
  void serve(const http::Parser& request, const common::HttpServer::Reply& reply);
  /// Answers `Coordination.Retrieve` from what is known here. `node`: the name of this controller.
  void serve_status(const http::Parser& request, const std::string& node,
                    const common::HttpServer::Reply& reply) const;
  /// To be called with each tick: watchers are sent away where the state known here may be old.
  void tick();
  /// The controller shuts down: watchers go elsewhere, new ones are refused.
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
