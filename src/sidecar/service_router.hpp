/// Many services behind routes: finds a request's route, admits it by the service's limits, chooses a pool,
/// and offers a call that a pool has given up to another. Within a pool its balancer decides.
///
///   request -> route -> service -> limiter -> traffic split (side) -> failover (pool) -> BalancerDriver
///
/// The platform's configuration has one service with one pool and no limits: SingleServiceRouter hands its
/// calls straight to the driver.
#pragma once

#include <memory>
#include <vector>

#include "limit/limiter.hpp"
#include "operator_file/reader.hpp"
#include "pool/failover.hpp"
#include "pool/traffic_split.hpp"
#include "sidecar/balancer_driver.hpp"
#include "sidecar/call_router.hpp"

namespace chutevane::sidecar {

/// A pool of endpoints with the balancer that decides in it.
struct EndpointPool {
  EndpointPool(net::Scheduler& scheduler, const config::Config& config, const CallProtocol& protocol,
               Counters& counters, ConnectionBudget* connection_budget = nullptr,
               net::BufferBudget* buffer_budget = nullptr)
      : upstreams(scheduler, config, protocol, counters, connection_budget, buffer_budget),
        driver(scheduler, config, upstreams, counters) {}
  UpstreamPool upstreams;
  BalancerDriver driver;
};

/// Of the platform's configuration; a request's headers name its track.
class SingleServiceRouter final : public CallRouter {
 public:
  SingleServiceRouter(const CallProtocol& protocol, BalancerDriver& driver)
      : protocol_(protocol), driver_(driver) {}
  ClassifiedRequest classify(const http::Parser& request) const override {
    return protocol_.classify(request);
  }
  CallId submit(const ApiCall& call, std::uint32_t, DownstreamRequest& request) override {
    return driver_.submit(call, request);
  }
  void cancel(CallId call) override { driver_.cancel(call); }
  void abort_all() override { driver_.abort_all(); }

 private:
  const CallProtocol& protocol_;
  BalancerDriver& driver_;
};

/// Of an operator's file; a request's route gives its service and its track.
class ServiceRouter final : public CallRouter {
 public:
  /// References outlive it; `pools` in the model's order.
  ServiceRouter(net::Scheduler& scheduler, const operator_file::Model& model, const CallProtocol& protocol,
                std::vector<std::unique_ptr<EndpointPool>>& pools, Counters& counters);
  ~ServiceRouter();

  ClassifiedRequest classify(const http::Parser& request) const override;
  CallId submit(const ApiCall& call, std::uint32_t route, DownstreamRequest& request) override;
  void cancel(CallId call) override;
  void abort_all() override;

  std::size_t calls_in_flight() const { return calls_in_flight_; }
  const pool::Failover& failover(std::size_t service, std::size_t side) const {
    return services_[service].sides[side].failover;
  }
  const limit::Limiter& limiter(std::size_t service) const { return services_[service].limiter; }

 private:
  class RoutedCall;
  /// One target of a service's traffic split: pools by priority.
  struct Side {
    std::vector<std::size_t> pools;
    pool::Failover failover;
  };
  struct Service {
    std::vector<Side> sides;
    pool::TrafficSplit split;
    limit::Limiter limiter;
  };
  limit::Admission admit(Service& service, DownstreamRequest& request, TimePoint now);
  RoutedCall& new_call();
  std::size_t choose_side(const RoutedCall& call);
  void send_to_pool(RoutedCall& call, std::size_t pool_in_side);
  bool try_other_pool(RoutedCall& call, const pool::AttemptHistory& history);
  pool::CrossPoolRetry retry_of(const RoutedCall& call, std::size_t pool_in_side) const;
  DownstreamRequest* release(RoutedCall& call);
  void record_end(const RoutedCall& call, bool succeeded);
  const operator_file::RouteModel& route_of(const RoutedCall& call) const;
  Service& service_of(const RoutedCall& call);
  Side& side_of(const RoutedCall& call);
  net::Task run_readiness_updates();

  net::Scheduler& scheduler_;
  const operator_file::Model& model_;
  const CallProtocol& protocol_;
  std::vector<std::unique_ptr<EndpointPool>>& pools_;
  Counters& counters_;
  Pcg random_;
  std::vector<Service> services_;
  std::vector<std::unique_ptr<RoutedCall>> calls_;  // reused by slot
  std::vector<std::uint32_t> free_slots_;
  IdIndex slot_by_id_;
  CallId last_id_ = 0;
  std::size_t calls_in_flight_ = 0;
  bool is_ending_ = false;
  net::Waker waker_;
  net::Timer timer_;
  net::Task readiness_task_;
};

/// What a route's matchers look at in an HTTP request.
class RoutedRequest final : public route::RequestView {
 public:
  explicit RoutedRequest(const http::Parser& parser) : parser_(parser) {}
  std::string_view host() const override { return parser_.find("Host").value_or(""); }
  std::string_view path() const override { return parser_.target().substr(0, parser_.target().find('?')); }
  std::string_view method() const override { return parser_.method(); }
  std::optional<std::string_view> header(std::string_view name) const override { return parser_.find(name); }

 private:
  const http::Parser& parser_;
};

/// One pool of an operator's file in the form that an EndpointPool is made of.
config::Config pool_config(const operator_file::Model& model, std::size_t pool);
HeaderNames header_names(const operator_file::Model& model);

}  // namespace chutevane::sidecar
