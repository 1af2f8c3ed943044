#include "edge/data_plane.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "common/invariant.hpp"
#include "common/log.hpp"
#include "json/value.hpp"

namespace chutevane::edge {
namespace {

constexpr double cache_part = 0.2;        // of the memory, for turns that went through here
constexpr double endpoint_part = 0.45;    // of the descriptors
constexpr double connections_part = 0.9;  // of an endpoint's bound on connections: some are just ending
constexpr double connections_least = 2;   // of each sidecar, however many there are
constexpr Span new_stop_after = Span::ms(2600);  // the platform misses two questions, a second apart, by then
constexpr Span grace_spare = Span::ms(600);      // before the platform ends it by force

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
      upstreams_(scheduler, timers_,
                 static_cast<std::size_t>(static_cast<double>(settings.descriptors) * endpoint_part)),
      storage_(scheduler, timers_, settings.zone, settings.machine_losses,
               static_cast<std::size_t>(settings.memory_mb * 1e6 * cache_part),
               seed_of(settings, scheduler.now())),
      readiness_port_(scheduler, 64 * 1024,
                      [this](const http::Parser& request, common::HttpServer::Reply reply) {
                        readiness(request, std::move(reply));
                      }),
      front_(scheduler, [this](int fd) { clients_.add(std::make_unique<Client>(*this)).adopt(fd); }),
      clients_(scheduler) {}

absl::Status DataPlane::open() {
  if (!settings_.front) return absl::InvalidArgumentError("listenAddrs.front: missing");
  if (!settings_.readiness) return absl::InvalidArgumentError("listenAddrs.readiness: missing");
  readiness_port_.listen(*settings_.readiness);
  front_.listen(*settings_.front);
  common::Member self;
  self.node = settings_.node;
  self.plane = "edge";
  self.address = net::text_of(*settings_.front);
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) { value_came(value); });
  sessions_->on_endpoints([this](const common::EndpointTable& list) { list_came(list); });
  common::log_info("data.open", "front " + net::text_of(*settings_.front));
  return absl::OkStatus();
}

void DataPlane::value_came(const common::RegisterValue& value) {
  storage_.on_storage_map(value.map_version, value.storage_nodes);
  if (value.config_version == 0 || (configuration_ && configuration_->version >= value.config_version))
    return;
  common::Findings findings;
  auto read = common::read_configuration(value.config.data, findings);
  if (!read) {  // it was checked before it was taken
    common::log_event(common::Level::error, "config.unreadable", findings.text());
    return;
  }
  common::check_invariant(
      common::Invariant::configuration_version_rises, value.config_version > version_in_force_,
      [&] { return std::to_string(value.config_version) + " after " + std::to_string(version_in_force_); });
  version_in_force_ = value.config_version;
  configuration_ = std::make_shared<const common::Configuration>(std::move(*read));
  remove_stale_splitters();
  update_balancers();
  common::log_info("config.in_force", "version " + std::to_string(configuration_->version));
}

void DataPlane::list_came(const common::EndpointTable& list) {
  std::vector<Endpoint> all;
  for (const auto& [id, l] : list.entries()) {
    const auto address = net::parse_address(l.address);
    if (!address) continue;
    Endpoint e;
    e.id = l.id;
    e.service = l.service;
    e.zone = l.zone;
    e.address = *address;
    e.is_draining = l.draining;
    e.capacity = static_cast<std::size_t>(std::max<std::int64_t>(l.capacity, 0));
    all.push_back(std::move(e));
  }
  upstreams_.update_endpoints(all);
  update_balancers();
}

ServiceBalancer& DataPlane::balancer_for(const std::string& service) {
  auto& at = balancers_[service];
  if (!at)
    at = std::make_unique<ServiceBalancer>(
        settings_.zone, XXH3_64bits_withSeed(service.data(), service.size(), random_.next()));
  return *at;
}

const std::string& DataPlane::service_for(const common::Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  return route.split[splitters_[route.name].next(route.split, random_)].service;
}

// Those of routes that are gone.
void DataPlane::remove_stale_splitters() {
  std::erase_if(splitters_, [this](const auto& one) {
    return std::none_of(configuration_->routes.begin(), configuration_->routes.end(),
                        [&](const common::Route& route) { return route.name == one.first; });
  });
}

void DataPlane::describe_knowledge(FailureReport& report) const {
  report.sessions = sessions_->usable_count();
  report.control_state_age = sessions_->knowledge_age();
  report.configuration_version = configuration_ ? configuration_->version : 0;
  report.storage_map = storage_.map_version();
}

void DataPlane::check_books() {
  upstreams_.check_connection_counts();
  std::size_t attempts = 0;
  for (std::size_t i = 0; i < clients_.size(); ++i) attempts += clients_[i].attempt_open() ? 1 : 0;
  double charged = 0;
  for (const auto& [service, balancer] : balancers_) charged += balancer->in_flight();
  common::check_invariant(
      common::Invariant::places_held_by_attempts, charged <= static_cast<double>(attempts),
      [&] { return std::to_string(charged) + " charged, " + std::to_string(attempts) + " under way"; });
}

bool DataPlane::room_at(const Endpoint& endpoint) const {
  if (!endpoint.idle_connections.empty()) return true;
  const common::Service* const service = configuration_ ? configuration_->service(endpoint.service) : nullptr;
  if (service == nullptr || service->max_connections == 0) return true;
  const double part = connections_part * static_cast<double>(service->max_connections) /
                      static_cast<double>(sessions_->edge_count());
  return static_cast<double>(endpoint.connection_count) < std::max(part, connections_least);
}

void DataPlane::update_balancers() {
  if (!configuration_) return;
  for (const common::Service& s : configuration_->services) {
    ServiceBalancer& at = balancer_for(s.name);
    std::vector<ServiceBalancer::EndpointInfo> known;
    for (const auto& e : upstreams_.endpoints_of(s.name)) known.push_back({e->id, e->zone, e->capacity});
    at.update_endpoints(known, timers_.now());
    if (s.engine) at.set_engine(s.engine->kv_capacity, s.engine->capacity);
  }
}

bool DataPlane::ready() const { return !leaving_ && knows_enough(); }

bool DataPlane::knows_enough() const {
  if (!configuration_ || upstreams_.size() == 0) return false;
  // Turns need storage; where no route keeps any it is not waited for.
  const auto& routes = configuration_->routes;
  return storage_.can_replicate() ||
         std::none_of(routes.begin(), routes.end(), [](const common::Route& r) { return r.retained; });
}

void DataPlane::readiness(const http::Parser& request, common::HttpServer::Reply reply) {
  if (request.method() != "GET") return reply({405, "", {}});
  if (request.target() == "/v1/readiness") return reply({ready() ? 200 : 503, "", {}});
  if (request.target() != "/v1/figures") return reply({404, "", {}});
  json::Writer out;
  const Counters& c = counters_;
  out.open('{')
      .key("node")
      .text(settings_.node)
      .key("requests")
      .number(c.requests)
      .key("answered")
      .number(c.answered);
  out.key("refused").number(c.refused).key("failed").number(c.failed).key("attempts").number(c.attempts);
  out.key("retries").number(c.retries).key("cut").number(c.cut).key("streams").number(c.streams);
  out.key("events").number(c.events).key("turnsKept").number(c.turns_kept).key("spent").number(c.spent);
  out.key("notFound").number(c.not_found).key("unsure").number(c.unsure);
  out.key("clients").number(clients_.size()).key("connectionsOpened").number(upstreams_.connections_opened());
  out.key("configVersion").number(configuration_ ? static_cast<std::uint64_t>(configuration_->version) : 0);
  out.key("turnsCached").number(storage_.cached_turns()).close('}');
  reply({200, out.result(), {}});
}

void DataPlane::write_metrics(common::MetricsWriter& out) {
  check_books();
  const Counters& c = counters_;
  const auto counter = [&](std::string_view name, std::string_view help, std::uint64_t value) {
    out.counter(name, "", help, static_cast<double>(value));
  };
  const auto gauge = [&](std::string_view name, std::string_view unit, std::string_view help, double value) {
    out.gauge(name, unit, help, value);
  };
  counter("chutevane_requests", "Requests of clients that were read whole.", c.requests);
  counter("chutevane_answered", "Requests answered with an endpoint's answer.", c.answered);
  counter("chutevane_attempts", "Attempts sent to endpoints.", c.attempts);
  counter("chutevane_retries", "Attempts after the first of their request.", c.retries);
  counter("chutevane_attempts_cut", "Attempts ended because their time was over.", c.cut);
  counter("chutevane_streams_resumed", "Times that a stream was taken up at another endpoint.", c.resumed);
  counter("chutevane_streams", "Streams of which a part was passed on.", c.streams);
  counter("chutevane_events", "Events of streams passed on.", c.events);
  counter("chutevane_turns_kept", "Turns that storage has kept.", c.turns_kept);
  failures_.write(out);
  gauge("chutevane_clients", "", "Connections of clients.", static_cast<double>(clients_.size()));
  gauge("chutevane_endpoint_connections", "", "Connections to endpoints.",
        static_cast<double>(upstreams_.open_connections()));
  counter("chutevane_endpoint_connections_opened", "Connections to endpoints that were begun.",
          upstreams_.connections_opened());
  gauge("chutevane_endpoints", "", "Endpoints on the list.", static_cast<double>(upstreams_.size()));
  gauge("chutevane_control_sessions", "", "Sessions with control that stand.",
        static_cast<double>(sessions_->usable_count()));
  gauge("chutevane_knowledge_age_seconds", "seconds", "Age of what is known from control.",
        sessions_->knowledge_age().as_ms() / 1000);
  gauge("chutevane_configuration_version", "", "Configuration in force; 0: none.",
        configuration_ ? static_cast<double>(configuration_->version) : 0);
  gauge("chutevane_storage_map", "", "Number of the map of storage nodes.",
        static_cast<double>(storage_.map_version()));
  gauge("chutevane_turns_cached", "", "Turns in memory.", static_cast<double>(storage_.cached_turns()));
  gauge("chutevane_ready", "", "1 while the readiness address answers 200.", ready() ? 1 : 0);
}

std::string DataPlane::come_back() {
  char text[16];
  std::snprintf(text, sizeof text, "%.2f", 0.1 + 0.3 * random_.unit());
  return text;
}

// Serves on while new connections still come, then ends each connection with its next answer.
void DataPlane::begin_shutdown() {
  if (leaving_) return;
  leaving_ = true;
  leaving_since_ = timers_.now();
  // Its sessions stand until it ends: it serves on, and has to hear of drains and changes.
  timers_.after(new_stop_after, [this] {
    closing_ = true;
    front_.close();
    look_finished();
  });
  timers_.after(settings_.grace - grace_spare, [this] { end_now(); });
}

// The time is over: what is still in hand ends without its answer, and is told.
void DataPlane::end_now() {
  if (finished_) return;
  finished_ = true;
  for (std::size_t i = clients_.size(); i-- > 0;) clients_[i].close(FailureCause::process_ended);
  check_books();
}

void DataPlane::look_finished() {
  if (!closing_ || finished_) return;
  for (std::size_t i = clients_.size(); i-- > 0;) {
    if (clients_[i].idle()) clients_[i].close(FailureCause::process_ended);
  }
  if (clients_.size() == 0) {
    finished_ = true;
    check_books();
  } else {
    timers_.after(Span::ms(50), [this] { look_finished(); });
  }
}

}  // namespace chutevane::edge
