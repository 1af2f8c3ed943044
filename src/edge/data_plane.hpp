// A sidecar of the traffic: clients in front, endpoints behind, and what control has pushed in between.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/pcg.hpp"
#include "common/control_sessions.hpp"
#include "common/http_server.hpp"
#include "common/process.hpp"
#include "edge/client.hpp"
#include "edge/request_failure.hpp"
#include "edge/service_balancer.hpp"
#include "edge/storage_client.hpp"
#include "edge/traffic_splitter.hpp"
#include "edge/upstream_pool.hpp"
#include "net/task_group.hpp"

namespace chutevane::edge {

// What was done, for operators.
struct Counters {
  std::uint64_t requests = 0, answered = 0, refused = 0, failed = 0, attempts = 0, retries = 0, cut = 0,
                resumed = 0;
  std::uint64_t streams = 0, events = 0, turns_kept = 0, spent = 0, not_found = 0, unsure = 0;
};

class DataPlane final : public common::Plane {
 public:
  DataPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings);
  absl::Status open() override;
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  void write_metrics(common::MetricsWriter& out) override;
  const FailureRecorder& failures() const { return failures_; }

 private:
  friend class Client;
  void value_came(const common::RegisterValue& value);
  void list_came(const common::EndpointTable& list);
  void update_balancers();
  ServiceBalancer& balancer_for(const std::string& service);
  // Whether this sidecar may open one more connection to it: an endpoint resets those over its bound, which
  // all sidecars share, and what was sent on one that is reset may have run.
  bool room_at(const Endpoint& endpoint) const;
  // The service of the route's split that takes the next request.
  const std::string& service_for(const common::Route& route);
  void remove_stale_splitters();
  void describe_knowledge(FailureReport& report) const;
  void check_books();  // that nothing is charged that no exchange holds
  void end_now();
  bool ready() const;
  bool knows_enough() const;  // to send any request on
  void readiness(const http::Parser& request, common::HttpServer::Reply reply);
  void look_finished();
  std::string come_back();  // seconds, spread so that those refused together do not return together

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  Pcg random_;
  Counters counters_;
  FailureRecorder failures_;
  std::map<std::string, TrafficSplitter> splitters_;  // by route
  std::shared_ptr<const common::Configuration> configuration_;
  std::int64_t version_in_force_ = 0;
  UpstreamPool upstreams_;
  std::map<std::string, std::unique_ptr<ServiceBalancer>> balancers_;
  StorageClient storage_;
  common::HttpServer readiness_port_;
  net::Listener front_;
  net::TaskGroup<Client> clients_;
  std::unique_ptr<common::ControlSessions> sessions_;
  bool leaving_ = false, closing_ = false, finished_ = false;
  TimePoint leaving_since_;
};

}  // namespace chutevane::edge
