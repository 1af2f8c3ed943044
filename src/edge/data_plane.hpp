/// The data plane of the edge: proxies client requests to endpoints according to the state pushed by control.
///
/// Owns everything in the process except the protocol of the control sessions: the client connections with
/// the requests in progress, the pool of connections to endpoints, one balancer per service, and the storage
/// client. It stores nothing on disk. Three kinds of state come from control and are replaced as a whole when
/// they change: the configuration, the endpoint list and the storage map (the latter as a part of the
/// register's value).
///
/// One thread, one event loop (common/process.hpp). Graceful shutdown: begin_shutdown().
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/pcg.hpp"
#include "common/control_sessions.hpp"
#include "common/http_server.hpp"
#include "common/process.hpp"
#include "edge/downstream_connection.hpp"
#include "edge/request_failure.hpp"
#include "edge/service_balancer.hpp"
#include "edge/storage_client.hpp"
#include "edge/traffic_splitter.hpp"
#include "edge/upstream_pool.hpp"
#include "net/task_group.hpp"

namespace chutevane::edge {

/// Counts since the start of the process, for metrics and the readiness page.
struct Counters {
  std::uint64_t requests = 0;  ///< requests read completely
  std::uint64_t answered = 0;  ///< requests answered with an endpoint's response
  std::uint64_t refused = 0;   ///< requests answered with 503; they have not run
  std::uint64_t failed = 0;    ///< requests answered with 502 or 504; they may have run
  std::uint64_t attempts = 0;  ///< attempts sent to endpoints
  std::uint64_t retries = 0;   ///< attempts after the first one of a request
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t streams = 0;          ///< streams of which at least one event was forwarded
  std::uint64_t streams_resumed = 0;  ///< streams continued at another endpoint
  std::uint64_t events = 0;           ///< events forwarded
  std::uint64_t turns_stored = 0;
  std::uint64_t turns_not_found = 0;    ///< 404 responses
  std::uint64_t turns_uncertain = 0;    ///< 503 responses because a lookup in storage did not finish
  std::uint64_t budgets_exhausted = 0;  ///< 402 responses
};

/// The plane of chutevane-edge. There is one per process, run by common::run_process.
class DataPlane final : public common::Plane {
 public:
  DataPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings);

  // ---- common::Plane

  absl::Status open() override;
  /// Starts a graceful shutdown. The readiness page returns 503 immediately, but new connections are accepted
  /// for another 2.6 s, until the platform has noticed. After that each connection ends with its next
  /// response. The process ends when no connection is left, or 0.6 s before the platform would kill it.
  void begin_shutdown() override;
  bool finished() const override { return is_finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  std::vector<const common::ConnectionLimiter*> ports() const override {
    return {&connection_limiter_, &readiness_port_.connections()};
  }
  void write_metrics(common::MetricsWriter& out) override;
  /// Sets a callback that receives each value of the register after it has been applied. Must be set before
  /// open().
  void on_value_applied(std::function<void(const common::RegisterValue&)> callback) {
    value_applied_callback_ = std::move(callback);
  }

  // ---- for connections and requests

  net::Scheduler& scheduler() { return scheduler_; }
  net::TimerQueue& timers() { return timers_; }
  StorageClient& storage() { return storage_; }
  UpstreamPool& upstreams() { return upstreams_; }
  Counters& counters() { return counters_; }
  FailureRecorder& failures() { return failures_; }
  const FailureRecorder& failures() const { return failures_; }
  common::ConnectionLimiter& connection_limiter() { return connection_limiter_; }
  /// Returns null until a configuration has been received.
  const std::shared_ptr<const common::Configuration>& configuration() const { return configuration_; }
  /// Returns the limits of the current configuration, or the defaults if there is none yet. A body that the
  /// memory budget could never hold is not allowed, whatever the configuration says.
  common::ClientLimits client_limits() const;
  bool has_control_session() const { return sessions_->usable_count() > 0; }
  /// Returns true once control has sent enough state to route requests.
  bool has_routing_state() const;
  /// Returns true once a graceful shutdown has begun. Each response is then the last one of its connection.
  bool is_shutting_down() const { return is_shutting_down_; }
  /// Returns true once the shutdown has reached the phase in which no new connections are accepted.
  bool is_closing() const { return is_closing_; }
  ServiceBalancer& balancer_for(const std::string& service);
  /// Returns the service that takes the next request, according to the route's traffic split.
  const std::string& choose_service(const common::Route& route);
  /// Returns true if a request may be sent to the endpoint now: an idle connection exists, or this process
  /// may open another one. All edges share an endpoint's connection limit. The endpoint resets connections
  /// beyond it, and a request sent on such a connection may have run.
  bool may_connect(const Endpoint& endpoint) const;
  /// Returns the value of a Retry-After header: a random time between 0.1 and 0.4 s, so that clients that
  /// were refused together do not retry together.
  std::string retry_after();
  /// Fills in the fields about the state from control.
  void add_control_state(FailureReport& report) const;
  /// Removes a closed connection, which is destroyed in a later iteration of the event loop.
  void remove(DownstreamConnection& connection) { connections_.retire(connection); }

 private:
  void on_value(const common::RegisterValue& value);
  void on_endpoint_list(const common::EndpointTable& list);
  void accept(int fd);
  void put_in_force(common::Configuration configuration);
  void remove_stale_splitters();
  void update_balancers();
  bool is_ready() const { return !is_shutting_down_ && has_routing_state(); }
  void answer_readiness(const http::Parser& request, const common::HttpServer::Reply& reply);
  void finish_when_drained();
  void finish_now();
  // Checks the invariants that every attempt and connection counted at an endpoint exists.
  void check_accounting();

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  Pcg random_;
  Counters counters_;
  FailureRecorder failures_;
  std::map<std::string, TrafficSplitter> splitters_;  // by name of the route
  std::shared_ptr<const common::Configuration> configuration_;
  std::int64_t configuration_version_ = 0;  // version of the last configuration that was applied
  UpstreamPool upstreams_;
  std::map<std::string, std::unique_ptr<ServiceBalancer>> balancers_;  // by name of the service
  StorageClient storage_;
  common::HttpServer readiness_port_;
  common::ConnectionLimiter connection_limiter_;
  net::Listener listener_;
  net::TaskGroup<DownstreamConnection> connections_;
  std::unique_ptr<common::ControlSessions> sessions_;
  std::function<void(const common::RegisterValue&)> value_applied_callback_;
  bool is_shutting_down_ = false;
  bool is_closing_ = false;
  bool is_finished_ = false;
};

}  // namespace chutevane::edge
