#include "sidecar/service_router.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace chutevane::sidecar {
namespace {

constexpr net::Waker::Bits due = net::Waker::own;
constexpr Span readiness_interval = Span::ms(100);  // between updates of the pools' ready endpoints
constexpr std::size_t max_pools_tracked = 64;       // of a side: a bit each in RoutedCall::tried_pools

}  // namespace

/// A call between its client's connection and the pool that has it. A pool sees one request; the client sees
/// one response, whichever pools the call has been to.
class ServiceRouter::RoutedCall final : public DownstreamRequest {
 public:
  explicit RoutedCall(ServiceRouter& owner) : router(owner) {}

  const http::Parser& request() const override { return client->request(); }
  sockaddr_in peer() const override { return client->peer(); }
  const std::shared_ptr<BodyPipe>& body() const override { return client->body(); }
  void on_response_started(const http::Parser& response, const std::shared_ptr<BodyPipe>& body) override {
    router.record_end(*this, true);
    router.release(*this)->on_response_started(response, body);
  }
  void on_response(const http::Parser& response) override {
    router.record_end(*this, true);
    router.release(*this)->on_response(response);
  }
  void on_rejected(Span retry_after, const pool::AttemptHistory& in_pool) override {
    router.record_end(*this, false);
    const pool::AttemptHistory all = history_with(in_pool);
    if (!router.try_other_pool(*this, all)) router.release(*this)->on_rejected(retry_after, all);
  }
  void on_aborted(bool timed_out, const pool::AttemptHistory& in_pool) override {
    router.record_end(*this, false);
    const pool::AttemptHistory all = history_with(in_pool);
    if (!router.try_other_pool(*this, all)) router.release(*this)->on_aborted(timed_out, all);
  }
  /// The attempts of earlier pools, and of the present one.
  pool::AttemptHistory history_with(const pool::AttemptHistory& in_pool) const {
    pool::AttemptHistory out = history;
    out.dispatches += in_pool.dispatches;
    if (in_pool.may_have_run && !out.may_have_run) out.first_sent = in_pool.first_sent;
    out.may_have_run = out.may_have_run || in_pool.may_have_run;
    return out;
  }

  ServiceRouter& router;
  DownstreamRequest* client = nullptr;  // null: the slot is free
  CallId id = 0;
  CallId id_in_pool = 0;
  std::uint32_t slot = 0, route = 0;
  std::uint32_t limiter_slot = 0;
  std::size_t side = 0, pool_in_side = 0;
  std::uint64_t tried_pools = 0;  // of the side, one bit each
  std::uint32_t pools_started = 0;
  ApiCall call;
  TimePoint accepted_at;
  pool::AttemptHistory history;  // of pools that have given the call up
};

config::Config pool_config(const operator_file::Model& model, std::size_t pool) {
  const operator_file::PoolModel& p = model.pools[pool];
  config::Config out;
  out.name = model.name + "/" + p.name;
  out.discovery = p.discovery;
  out.seed = model.seed + pool * 7919U;
  out.max_descriptors = model.max_descriptors;
  out.request_timeout = model.request_timeout;
  out.idle_timeout = model.idle_timeout;
  out.known_endpoints = p.endpoints;
  out.settings = operator_file::settings_of(model, p);
  out.connect_timeout = p.connect_timeout;
  out.endpoint_idle_close = p.endpoint_idle_close;
  for (const operator_file::TrackModel& track : model.tracks)
    out.max_client_timeout = std::max(out.max_client_timeout, track.client_timeout);
  return out;
}

HeaderNames header_names(const operator_file::Model& model) {
  HeaderNames out;
  out.request_id = model.id_header;
  out.timeout = model.wait_header;
  out.idempotency_key = model.reference_header;
  out.not_processed = model.proof_header;
  out.affinity_key = model.key_header;
  return out;
}

ServiceRouter::ServiceRouter(net::Scheduler& scheduler, const operator_file::Model& model,
                             const CallProtocol& protocol, std::vector<std::unique_ptr<EndpointPool>>& pools,
                             Counters& counters)
    : scheduler_(scheduler),
      model_(model),
      protocol_(protocol),
      pools_(pools),
      counters_(counters),
      random_(model.seed ^ 0x51de5ULL),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      readiness_task_(run_readiness_updates()) {
  const TimePoint now = scheduler.now();
  for (std::size_t i = 0; i < model.services.size(); ++i) {
    const operator_file::ServiceModel& s = model.services[i];
    Service service{{}, {}, limit::Limiter(s.limits, model.seed + i, now)};
    std::vector<pool::SplitTarget> targets;
    for (const operator_file::SideModel& side : s.sides) {
      std::vector<double> stated_rates;
      for (const std::size_t p : side.pools) stated_rates.push_back(model.pools[p].carries_per_s);
      service.sides.push_back(
          {side.pools, pool::Failover(s.failover, stated_rates, model.seed + i * 31U, now)});
      targets.push_back({side.name, side.weight});
    }
    service.split = pool::TrafficSplit(targets);
    services_.push_back(std::move(service));
  }
  readiness_task_.start();
}

ServiceRouter::~ServiceRouter() = default;

net::Task ServiceRouter::run_readiness_updates() {
  while (true) {
    const TimePoint now = scheduler_.now();
    for (Service& service : services_) {
      for (Side& side : service.sides) {
        for (std::size_t i = 0; i < side.pools.size(); ++i) {
          const auto ready = static_cast<double>(pools_[side.pools[i]]->driver.ready_endpoints());
          side.failover.set_ready(i, ready, now);
        }
      }
    }
    timer_.set(now + readiness_interval);
    co_await waker_.wait(due);
  }
}

ClassifiedRequest ServiceRouter::classify(const http::Parser& request) const {
  ClassifiedRequest out;
  if (request.method() == "GET" && request.target() == "/ready") {
    out.kind = RequestKind::readiness_check;
    return out;
  }
  const std::uint32_t route = model_.table.match(RoutedRequest(request));
  if (route == route::RouteTable::none) {
    out.kind = RequestKind::no_route;
    out.reason = "no route";
    return out;
  }
  out = protocol_.classify_routed(request, static_cast<std::uint32_t>(model_.routes[route].track));
  out.route = route;
  return out;
}

CallId ServiceRouter::submit(const ApiCall& call, std::uint32_t route, DownstreamRequest& request) {
  const TimePoint now = scheduler_.now();
  Service& service = services_[model_.routes[route].service];
  const limit::Admission admission = admit(service, request, now);
  if (admission.rejection != limit::Rejection::none) {
    ++counters_.calls;
    ++counters_.limited;
    request.on_rejected(admission.retry_after, {});
    return 0;
  }
  RoutedCall& routed = new_call();
  routed.client = &request;
  routed.route = route;
  routed.limiter_slot = admission.client_slot;
  routed.tried_pools = 0;
  routed.call = call;
  routed.accepted_at = now;
  routed.history = {};
  routed.side = choose_side(routed);
  const CallId id = routed.id;  // the slot may be another call's once it has been sent
  send_to_pool(routed, service.sides[routed.side].failover.choose(now));
  return id;
}

/// Asks the service's limiter, by the client header or else by the peer's address.
limit::Admission ServiceRouter::admit(Service& service, DownstreamRequest& request, TimePoint now) {
  std::string_view client;
  sockaddr_in peer{};
  if (!model_.client_header.empty()) {
    client = request.request().find(model_.client_header).value_or("");
  } else if (service.limiter.needs_client_key()) {  // the address costs a system call
    peer = request.peer();
    client = {reinterpret_cast<const char*>(&peer.sin_addr), sizeof peer.sin_addr};
  }
  return service.limiter.admit(client, now);
}

/// A call with a new id in a free slot; the rest is as the slot's last call left it.
ServiceRouter::RoutedCall& ServiceRouter::new_call() {
  std::uint32_t slot = static_cast<std::uint32_t>(calls_.size());
  if (free_slots_.empty()) {
    calls_.push_back(std::make_unique<RoutedCall>(*this));
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  RoutedCall& call = *calls_[slot];
  call.id = ++last_id_;
  call.slot = slot;
  slot_by_id_.put(call.id, slot);
  ++calls_in_flight_;
  return call;
}

std::size_t ServiceRouter::choose_side(const RoutedCall& call) {
  const Service& service = service_of(call);
  const std::string& header = model_.services[route_of(call).service].split_header;
  const auto key = header.empty() ? std::nullopt : call.request().find(header);
  if (service.sides.size() == 1) return 0;
  return key ? service.split.choose(*key) : service.split.choose(random_.unit());
}

void ServiceRouter::send_to_pool(RoutedCall& routed, std::size_t pool_in_side) {
  routed.pool_in_side = pool_in_side;
  routed.tried_pools |= std::uint64_t{1} << std::min(pool_in_side, max_pools_tracked - 1);
  ApiCall call = routed.call;
  const Span elapsed = scheduler_.now() - routed.accepted_at;
  call.time_left = routed.call.time_left - elapsed;
  const Side& side = side_of(routed);
  const std::size_t pool = side.pools[pool_in_side];
  // One of the call's dispatches is reserved for each pool that it has not been to: a pool whose endpoints
  // all refuse must not spend the whole budget and leave none for the pool that works.
  const int max_dispatches = model_.pools[pool].dispatches;
  const int untried = static_cast<int>(side.pools.size()) - std::popcount(routed.tried_pools);
  const int reserved = std::clamp(max_dispatches - routed.history.dispatches - 1, 0, std::max(0, untried));
  call.prior_attempts.is_rerouted = routed.pools_started > 0;
  call.prior_attempts.dispatches = static_cast<std::uint8_t>(routed.history.dispatches + reserved);
  call.prior_attempts.may_have_run = routed.history.may_have_run;
  call.prior_attempts.spent = elapsed;
  const std::uint32_t this_start = ++routed.pools_started;
  const CallId id = routed.id;
  const CallId id_in_pool = pools_[pool]->driver.submit(call, routed);
  // The call may have been answered, or sent to yet another pool, before this returned.
  if (routed.client != nullptr && routed.id == id && routed.pools_started == this_start)
    routed.id_in_pool = id_in_pool;
}

/// Whether another pool has been given the call.
bool ServiceRouter::try_other_pool(RoutedCall& routed, const pool::AttemptHistory& history) {
  Side& side = side_of(routed);
  if (is_ending_ || side.pools.size() < 2 || (routed.body() && !routed.body()->is_replayable())) return false;
  const TimePoint now = scheduler_.now();
  for (std::size_t i = 0; i < std::min(side.pools.size(), max_pools_tracked); ++i) {
    if ((routed.tried_pools >> i & 1U) != 0) continue;
    if (check_cross_pool_retry(retry_of(routed, i), history, now) != pool::RetryDenial::none) continue;
    if (!side.failover.has_capacity(i, now)) continue;
    side.failover.record_sent(i, now);
    routed.history = history;
    ++counters_.cross_pool_retries;
    send_to_pool(routed, i);
    return true;
  }
  return false;
}

pool::CrossPoolRetry ServiceRouter::retry_of(const RoutedCall& routed, std::size_t pool_in_side) const {
  const operator_file::RouteModel& route = route_of(routed);
  const operator_file::TrackModel& track = model_.tracks[route.track];
  const std::vector<std::size_t>& pools = services_[route.service].sides[routed.side].pools;
  const operator_file::PoolModel& from = model_.pools[pools[routed.pool_in_side]];
  const operator_file::PoolModel& to = model_.pools[pools[pool_in_side]];
  pool::CrossPoolRetry out;
  out.idempotency = track.effect;
  out.shares_key_memory = !from.reference_group.empty() && from.reference_group == to.reference_group;
  out.memory_spans_group = track.repeat_group == "all";
  out.key_retention = track.key_retention;
  out.max_dispatches = to.dispatches;
  out.deadline = routed.accepted_at + routed.call.time_left;
  return out;
}

const operator_file::RouteModel& ServiceRouter::route_of(const RoutedCall& call) const {
  return model_.routes[call.route];
}

ServiceRouter::Service& ServiceRouter::service_of(const RoutedCall& call) {
  return services_[route_of(call).service];
}

ServiceRouter::Side& ServiceRouter::side_of(const RoutedCall& call) {
  return service_of(call).sides[call.side];
}

void ServiceRouter::record_end(const RoutedCall& call, bool succeeded) {
  side_of(call).failover.record_end(call.pool_in_side, succeeded, scheduler_.now());
}

/// Frees the call's slot and returns its client, whose response is still to be delivered.
DownstreamRequest* ServiceRouter::release(RoutedCall& call) {
  DownstreamRequest* const client = std::exchange(call.client, nullptr);
  service_of(call).limiter.release(call.limiter_slot);
  slot_by_id_.erase(call.id);
  call.pools_started = 0;
  call.id_in_pool = 0;
  free_slots_.push_back(call.slot);
  --calls_in_flight_;
  return client;
}

void ServiceRouter::cancel(CallId call) {
  const std::uint32_t slot = slot_by_id_.find(call);
  if (call == 0 || slot == IdIndex::none) return;
  RoutedCall& routed = *calls_[slot];
  BalancerDriver& driver = pools_[side_of(routed).pools[routed.pool_in_side]]->driver;
  const CallId id_in_pool = routed.id_in_pool;
  release(routed);
  driver.cancel(id_in_pool);
}

void ServiceRouter::abort_all() {
  is_ending_ = true;
  for (auto& pool : pools_) pool->driver.abort_all();
}

}  // namespace chutevane::sidecar
