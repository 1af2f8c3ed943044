/// DataPlane: state from control, routing decisions for requests, and graceful shutdown.
#include "edge/data_plane.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "common/invariant.hpp"
#include "common/log.hpp"

namespace chutevane::edge {
namespace {

constexpr double turn_cache_fraction = 0.2;            // of the process's memory
constexpr double upstream_descriptor_fraction = 0.45;  // of the process's file descriptors
constexpr double largest_body_fraction = 0.9;          // of the memory budget; idle connections use the rest
constexpr double client_descriptor_fraction = 0.42;
constexpr double readiness_descriptor_fraction = 0.02;
constexpr double connection_limit_fraction = 0.9;  // of an endpoint's limit; closing connections use the rest
constexpr double min_connection_share =
    2;  // connections of an edge per endpoint, however many edges there are
constexpr Span accept_period = Span::ms(2600);  // after SIGTERM; two readiness probes, one second apart, fail
// The part of the grace period that is left when the process ends, before the platform would kill it.
constexpr Span shutdown_reserve = Span::ms(600);
constexpr Span drain_poll_interval = Span::ms(50);
constexpr std::size_t max_readiness_request_bytes = 64U << 10U;

std::uint64_t seed_of(const common::ProcessSettings& settings, TimePoint now) {
  return XXH3_64bits_withSeed(settings.node.data(), settings.node.size(),
                              static_cast<std::uint64_t>(now.as_ms() * 1000));
}

}  // namespace

DataPlane::DataPlane(net::Scheduler& scheduler, const common::ProcessSettings& settings)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      random_(seed_of(settings, scheduler.now())),
      upstreams_(
          scheduler, timers_,
          static_cast<std::size_t>(static_cast<double>(settings.descriptors) * upstream_descriptor_fraction)),
      storage_(scheduler, timers_, settings.zone, settings.machine_losses,
               static_cast<std::size_t>(settings.memory_mb * 1e6 * turn_cache_fraction),
               seed_of(settings, scheduler.now())),
      readiness_port_(
          scheduler, "readiness",
          {.body_bytes = max_readiness_request_bytes,
           .connections = common::connections_of(settings.descriptors, readiness_descriptor_fraction)},
          [this](const http::Parser& request, const common::HttpServer::Reply& reply) {
            answer_readiness(request, reply);
          }),
      connection_limiter_("front", scheduler,
                          common::connections_of(settings.descriptors, client_descriptor_fraction)),
      listener_(scheduler, [this](int fd) { accept(fd); }),
      connections_(scheduler) {}

void DataPlane::accept(int fd) {
  if (!connection_limiter_.admit()) return scheduler_.system().close(fd, false);
  connections_.add(std::make_unique<DownstreamConnection>(*this)).adopt(fd);
}

absl::Status DataPlane::open() {
  if (!settings_.front) return absl::InvalidArgumentError("listenAddrs.front: missing");
  if (!settings_.readiness) return absl::InvalidArgumentError("listenAddrs.readiness: missing");
  readiness_port_.listen(*settings_.readiness);
  listener_.listen(*settings_.front);
  common::Member self;
  self.node = settings_.node;
  self.plane = "edge";
  self.address = net::text_of(*settings_.front);
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) {
    on_value(value);
    if (value_applied_callback_) value_applied_callback_(value);
  });
  sessions_->on_endpoints([this](const common::EndpointTable& list) { on_endpoint_list(list); });
  common::log_info("data.open", "front " + net::text_of(*settings_.front));
  return absl::OkStatus();
}

// ---- state from control

void DataPlane::on_value(const common::RegisterValue& value) {
  storage_.on_storage_map(value.map_version, value.storage_nodes);
  if (value.config_version == 0 || (configuration_ && configuration_->version >= value.config_version))
    return;
  common::Findings findings;
  auto configuration = common::read_configuration(value.config.data, findings);
  if (!configuration) {  // unexpected, because control validates a configuration before accepting it
    common::log_event(common::Level::error, "config.unreadable", findings.text());
    return;
  }
  common::check_invariant(
      common::Invariant::configuration_version_rises, value.config_version > configuration_version_, [&] {
        return std::to_string(value.config_version) + " after " + std::to_string(configuration_version_);
      });
  configuration_version_ = value.config_version;
  put_in_force(std::move(*configuration));
}

// Requests in progress keep the configuration that they started with.
void DataPlane::put_in_force(common::Configuration configuration) {
  configuration_ = std::make_shared<const common::Configuration>(std::move(configuration));
  remove_stale_splitters();
  update_balancers();
  common::log_info("config.in_force", "version " + std::to_string(configuration_->version));
}

void DataPlane::on_endpoint_list(const common::EndpointTable& list) {
  std::vector<Endpoint> endpoints;
  for (const auto& [id, entry] : list.entries()) {
    const auto address = net::parse_address(entry.address);
    if (!address) continue;
    Endpoint endpoint;
    endpoint.id = entry.id;
    endpoint.service = entry.service;
    endpoint.zone = entry.zone;
    endpoint.address = *address;
    endpoint.is_draining = entry.draining;
    endpoint.capacity = static_cast<std::size_t>(std::max<std::int64_t>(entry.capacity, 0));
    endpoints.push_back(std::move(endpoint));
  }
  upstreams_.update_endpoints(endpoints);
  update_balancers();
}

void DataPlane::update_balancers() {
  if (!configuration_) return;
  for (const common::Service& service : configuration_->services) {
    std::vector<ServiceBalancer::EndpointInfo> endpoints;
    for (const auto& endpoint : upstreams_.endpoints_of(service.name))
      endpoints.push_back({endpoint->id, endpoint->zone, endpoint->capacity});
    ServiceBalancer& balancer = balancer_for(service.name);
    balancer.update_endpoints(endpoints, timers_.now());
    if (service.engine) balancer.set_engine(service.engine->kv_capacity, service.engine->capacity);
  }
}

// Removes the splitters of routes that no longer exist.
void DataPlane::remove_stale_splitters() {
  std::erase_if(splitters_, [this](const auto& splitter) {
    return std::none_of(configuration_->routes.begin(), configuration_->routes.end(),
                        [&](const common::Route& route) { return route.name == splitter.first; });
  });
}

// ---- for requests

common::ClientLimits DataPlane::client_limits() const {
  common::ClientLimits limits = configuration_ ? configuration_->limits : common::ClientLimits{};
  const auto room = static_cast<double>(scheduler_.buffer_budget().limit()) * largest_body_fraction;
  limits.body_bytes = std::min(limits.body_bytes, static_cast<std::size_t>(room));
  return limits;
}

bool DataPlane::has_routing_state() const {
  if (!configuration_ || upstreams_.size() == 0) return false;
  // Storage is required only if some route stores turns.
  const auto& routes = configuration_->routes;
  return storage_.can_replicate() || std::none_of(routes.begin(), routes.end(),
                                                  [](const common::Route& route) { return route.retained; });
}

ServiceBalancer& DataPlane::balancer_for(const std::string& service) {
  auto& balancer = balancers_[service];
  if (!balancer) {
    const std::uint64_t seed = XXH3_64bits_withSeed(service.data(), service.size(), random_.next());
    balancer = std::make_unique<ServiceBalancer>(settings_.zone, seed);
  }
  return *balancer;
}

const std::string& DataPlane::choose_service(const common::Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  return route.split[splitters_[route.name].next(route.split, random_)].service;
}

bool DataPlane::may_connect(const Endpoint& endpoint) const {
  if (!endpoint.idle_connections.empty()) return true;
  const common::Service* const service = configuration_ ? configuration_->service(endpoint.service) : nullptr;
  if (service == nullptr || service->max_connections == 0) return true;
  const double share = connection_limit_fraction * static_cast<double>(service->max_connections) /
                       static_cast<double>(sessions_->edge_count());
  return static_cast<double>(endpoint.connection_count) < std::max(share, min_connection_share);
}

std::string DataPlane::retry_after() {
  char seconds[16];
  std::snprintf(seconds, sizeof seconds, "%.2f", 0.1 + 0.3 * random_.unit());
  return seconds;
}

void DataPlane::add_control_state(FailureReport& report) const {
  report.sessions = sessions_->usable_count();
  report.control_state_age = sessions_->knowledge_age();
  report.configuration_version = configuration_ ? configuration_->version : 0;
  report.storage_map = storage_.map_version();
}

void DataPlane::check_accounting() {
  upstreams_.check_connection_counts();
  std::size_t attempts = 0;
  for (std::size_t i = 0; i < connections_.size(); ++i)
    attempts += connections_[i].has_open_attempt() ? 1 : 0;
  double counted_attempts = 0;
  for (const auto& [service, balancer] : balancers_) counted_attempts += balancer->in_flight();
  common::check_invariant(
      common::Invariant::places_held_by_attempts, counted_attempts <= static_cast<double>(attempts), [&] {
        return std::to_string(counted_attempts) + " counted, " + std::to_string(attempts) + " in flight";
      });
}

// ---- graceful shutdown

void DataPlane::begin_shutdown() {
  if (is_shutting_down_) return;
  is_shutting_down_ = true;
  // Sessions with control stay open until the end, because the edge keeps serving requests and needs updates.
  timers_.after(accept_period, [this] {
    is_closing_ = true;
    listener_.close();
    finish_when_drained();
  });
  timers_.after(settings_.grace - shutdown_reserve, [this] { finish_now(); });
}

void DataPlane::finish_when_drained() {
  if (!is_closing_ || is_finished_) return;
  for (std::size_t i = connections_.size(); i-- > 0;) {
    if (connections_[i].is_idle()) connections_[i].close(FailureCause::process_ended);
  }
  if (connections_.size() > 0) {
    timers_.after(drain_poll_interval, [this] { finish_when_drained(); });
    return;
  }
  is_finished_ = true;
  check_accounting();
}

// Ends the process at the end of the grace period. Requests in progress end without a response and are
// reported.
void DataPlane::finish_now() {
  if (is_finished_) return;
  is_finished_ = true;
  for (std::size_t i = connections_.size(); i-- > 0;) connections_[i].close(FailureCause::process_ended);
  check_accounting();
}

}  // namespace chutevane::edge
