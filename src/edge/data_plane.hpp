/// The edge: carries requests of clients to endpoints by what control has pushed.
///
/// Owns everything of the process but its sessions' protocol: the clients' connections with the requests in
/// progress, the pool of connections to endpoints, one balancer for each service, and the client of the
/// storage nodes. It keeps nothing on disk. Three kinds of state come from control and are replaced as a
/// whole when they change: the configuration, the endpoint list and the storage map (the latter within the
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

/// What happened since the start, for metrics and the readiness page.
struct Counters {
  std::uint64_t requests = 0;  ///< read completely
  std::uint64_t answered = 0;  ///< with an endpoint's response
  std::uint64_t refused = 0;   ///< with 503: it has not run
  std::uint64_t failed = 0;    ///< with 502 or 504: it may have run
  std::uint64_t attempts = 0;  ///< sent to endpoints
  std::uint64_t retries = 0;   ///< attempts after a request's first
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t streams = 0;          ///< of which at least one event was passed on
  std::uint64_t streams_resumed = 0;  ///< at another endpoint
  std::uint64_t events = 0;           ///< passed on
  std::uint64_t turns_stored = 0;
  std::uint64_t turns_not_found = 0;    ///< 404
  std::uint64_t turns_uncertain = 0;    ///< 503: storage could not tell
  std::uint64_t budgets_exhausted = 0;  ///< 402
};

/// The plane of chutevane-edge; one per process, which runs it (common::run_process).
class DataPlane final : public common::Plane {
 public:
  DataPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings);

  // ---- common::Plane

  absl::Status open() override;
  /// Graceful shutdown. The readiness page answers 503 at once, but new connections are accepted for 2.6 s
  /// more, until the platform has noticed. Then each connection ends with its next response, and the process
  /// when there is none left, or 0.6 s before the platform would kill it.
  void begin_shutdown() override;
  bool finished() const override { return is_finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  void write_metrics(common::MetricsWriter& out) override;
  /// Called with each value of the register after it has been put in force; to be set before open().
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
  /// Null: none has come yet.
  const std::shared_ptr<const common::Configuration>& configuration() const { return configuration_; }
  /// By the configuration in force; the defaults while there is none.
  common::ClientLimits client_limits() const;
  bool has_control_session() const { return sessions_->usable_count() > 0; }
  /// Whether enough has come from control to send any request on.
  bool has_routing_state() const;
  /// A graceful shutdown has begun: responses are the last of their connections.
  bool is_shutting_down() const { return is_shutting_down_; }
  /// ... and no new connections are accepted any more.
  bool is_closing() const { return is_closing_; }
  ServiceBalancer& balancer_for(const std::string& service);
  /// The service of the route's split that takes the next request.
  const std::string& choose_service(const common::Route& route);
  /// Whether a request may be sent there now: on an idle connection, or because this process may open one
  /// more. An endpoint resets connections beyond its limit, which all edges share, and what was sent on them
  /// may have run.
  bool may_connect(const Endpoint& endpoint) const;
  /// Value of a Retry-After header: 0.1 to 0.4 s, at random, so that those refused together do not return
  /// together.
  std::string retry_after();
  /// Adds what is known from control.
  void add_control_state(FailureReport& report) const;
  /// The connection is closed; it is destroyed in a later turn of the loop.
  void remove(DownstreamConnection& connection) { connections_.retire(connection); }

 private:
  void on_value(const common::RegisterValue& value);
  void on_endpoint_list(const common::EndpointTable& list);
  void put_in_force(common::Configuration configuration);
  void remove_stale_splitters();
  void update_balancers();
  bool is_ready() const { return !is_shutting_down_ && has_routing_state(); }
  void answer_readiness(const http::Parser& request, const common::HttpServer::Reply& reply);
  void finish_when_drained();
  void finish_now();
  // That no endpoint is charged with attempts or connections that nobody has.
  void check_accounting();

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  Pcg random_;
  Counters counters_;
  FailureRecorder failures_;
  std::map<std::string, TrafficSplitter> splitters_;  // by route
  std::shared_ptr<const common::Configuration> configuration_;
  std::int64_t configuration_version_ = 0;  // of the last one in force
  UpstreamPool upstreams_;
  std::map<std::string, std::unique_ptr<ServiceBalancer>> balancers_;  // by service
  StorageClient storage_;
  common::HttpServer readiness_port_;
  net::Listener listener_;
  net::TaskGroup<DownstreamConnection> connections_;
  std::unique_ptr<common::ControlSessions> sessions_;
  std::function<void(const common::RegisterValue&)> value_applied_callback_;
  bool is_shutting_down_ = false;
  bool is_closing_ = false;
  bool is_finished_ = false;
};

}  // namespace chutevane::edge
