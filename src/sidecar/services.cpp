#include "sidecar/services.hpp"

#include <algorithm>
#include <bit>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

constexpr net::Waker::Bits due = net::Waker::own;
constexpr Span ready_every = Span::ms(100);  // between looks at how many endpoints each pool has

}  // namespace

// A call between its caller and the pool that has it. Pools see one caller; the caller sees one answer.
class Services::Flight final : public Caller {
 public:
  explicit Flight(Services& owner) : all(owner) {}

  const http::Parser& request() const override { return outer->request(); }
  sockaddr_in peer() const override { return outer->peer(); }
  const std::shared_ptr<Pipe>& body() const override { return outer->body(); }
  void began(const http::Parser& response, const std::shared_ptr<Pipe>& body) override {
    all.count(*this, true);
    all.release(*this)->began(response, body);
  }
  void done(const http::Parser& response) override {
    all.count(*this, true);
    all.release(*this)->done(response);
  }
  void rejected(Span come_back, const pool::AttemptHistory& more) override {
    all.count(*this, false);
    const pool::AttemptHistory whole = with(more);
    if (!all.goes_on(*this, whole)) all.release(*this)->rejected(come_back, whole);
  }
  void broken_off(bool timed_out, const pool::AttemptHistory& more) override {
    all.count(*this, false);
    const pool::AttemptHistory whole = with(more);
    if (!all.goes_on(*this, whole)) all.release(*this)->broken_off(timed_out, whole);
  }
  // What earlier pools have done, and this one.
  pool::AttemptHistory with(const pool::AttemptHistory& more) const {
    pool::AttemptHistory out = spent;
    out.dispatches += more.dispatches;
    if (more.may_have_run && !out.may_have_run) out.first_sent = more.first_sent;
    out.may_have_run = out.may_have_run || more.may_have_run;
    return out;
  }

  Services& all;
  Caller* outer = nullptr;   // none: not in use
  CallId id = 0, inner = 0;  // the pool's id of it
  std::uint32_t place = 0, route = 0, limit_place = 0;
  std::size_t side = 0, nth = 0;  // of the side's pools
  std::uint64_t tried = 0;        // of them, bit by bit
  std::uint32_t starts = 0;
  ApiCall call;
  TimePoint taken;
  pool::AttemptHistory spent;  // by pools that have given it up
};

config::Config pool_config(const opfile::Model& model, std::size_t at) {
  const opfile::PoolModel& p = model.pools[at];
  config::Config out;
  out.name = model.name + "/" + p.name;
  out.discovery = p.discovery;
  out.seed = model.seed + at * 7919U;
  out.sockets = model.sockets;
  out.request_most = model.request_most;
  out.idle_most = model.idle_most;
  out.known = p.endpoints;
  out.settings = opfile::settings_of(model, p);
  out.connect_timeout = p.connect_timeout;
  out.idle_close = p.idle_close;
  for (const opfile::TrackModel& t : model.tracks)
    out.longest_timeout = std::max(out.longest_timeout, t.client_timeout);
  return out;
}

HeaderNames header_names(const opfile::Model& model) {
  HeaderNames out;
  out.id = model.id_header;
  out.wait = model.wait_header;
  out.reference = model.reference_header;
  out.never_ran = model.proof_header;
  out.key = model.key_header;
  return out;
}

Services::Services(net::Scheduler& scheduler, const opfile::Model& model, const Front& front,
                   std::vector<std::unique_ptr<Pool>>& pools, Counters& counters)
    : scheduler_(scheduler),
      model_(model),
      front_(front),
      pools_(pools),
      counters_(counters),
      chance_(model.seed ^ 0x51de5ULL),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      keeper_(keep_ready()) {
  const TimePoint now = scheduler.now();
  for (std::size_t i = 0; i < model.services.size(); ++i) {
    const opfile::ServiceModel& s = model.services[i];
    Service out{{}, {}, limit::Limiter(s.limits, model.seed + i, now)};
    std::vector<pool::SplitTarget> weights;
    for (const opfile::SideModel& side : s.sides) {
      std::vector<double> stated;
      for (const std::size_t p : side.pools) stated.push_back(model.pools[p].carries_per_s);
      out.sides.push_back({side.pools, pool::Failover(s.failover, stated, model.seed + i * 31U, now)});
      weights.push_back({side.name, side.weight});
    }
    out.split = pool::TrafficSplit(weights);
    services_.push_back(std::move(out));
  }
  keeper_.start();
}

Services::~Services() = default;

net::Task Services::keep_ready() {
  while (true) {
    const TimePoint now = scheduler_.now();
    for (Service& s : services_) {
      for (Side& side : s.sides) {
        for (std::size_t i = 0; i < side.pools.size(); ++i)
          side.failover.set_ready(i, static_cast<double>(pools_[side.pools[i]]->driver.endpoints_ready()),
                                  now);
      }
    }
    timer_.set(now + ready_every);
    co_await waker_.wait(due);
  }
}

Front::Kind Services::read(const http::Parser& request, ApiCall& call, std::uint32_t& way,
                           std::string_view& why) const {
  if (request.method() == "GET" && request.target() == "/ready") return Front::Kind::ready;
  way = model_.table.match(RoutedRequest(request));
  if (way == route::RouteTable::none) {
    why = "no route";
    return Front::Kind::nowhere;
  }
  call.track = static_cast<std::uint32_t>(model_.routes[way].track);
  return front_.read_routed(request, call, why);
}

CallId Services::take(const ApiCall& call, std::uint32_t way, Caller& caller) {
  const opfile::RouteModel& route = model_.routes[way];
  Service& s = services_[route.service];
  const TimePoint now = scheduler_.now();
  std::string_view client;
  sockaddr_in peer{};
  if (!model_.client_header.empty()) {
    client = caller.request().find(model_.client_header).value_or("");
  } else if (s.limiter.needs_client_key()) {  // else nobody asks the system for it
    peer = caller.peer();
    client = {reinterpret_cast<const char*>(&peer.sin_addr), sizeof peer.sin_addr};
  }
  const limit::Admission admission = s.limiter.admit(client, now);
  if (admission.rejection != limit::Rejection::none) {
    ++counters_.calls;
    ++counters_.limited;
    caller.rejected(admission.retry_after, {});
    return 0;
  }
  std::uint32_t place = static_cast<std::uint32_t>(flights_.size());
  if (free_.empty()) {
    flights_.push_back(std::make_unique<Flight>(*this));
  } else {
    place = free_.back();
    free_.pop_back();
  }
  Flight& f = *flights_[place];
  f.outer = &caller;
  f.id = ++last_id_;
  f.place = place;
  f.route = way;
  f.limit_place = admission.client_slot;
  f.tried = 0;
  f.call = call;
  f.taken = now;
  f.spent = {};
  index_.put(f.id, place);
  ++in_hand_;
  const std::string& by = model_.services[route.service].split_header;
  const auto key = by.empty() ? std::nullopt : caller.request().find(by);
  f.side = s.sides.size() == 1 ? 0 : key ? s.split.choose(*key) : s.split.choose(chance_.unit());
  const CallId id = f.id;
  start(f, s.sides[f.side].failover.choose(now));
  return id;
}

void Services::start(Flight& f, std::size_t nth) {
  f.nth = nth;
  f.tried |= std::uint64_t{1} << std::min<std::size_t>(nth, 63);
  ApiCall call = f.call;
  const Span passed = scheduler_.now() - f.taken;
  call.left = f.call.left - passed;
  const Side& side = services_[model_.routes[f.route].service].sides[f.side];
  // One of the call's dispatches is kept for each pool that it has not been to. Guards against a lost pool
  // that spends all of them on endpoints that refuse, and leaves none for the pool that is there.
  const int most = model_.pools[side.pools[nth]].dispatches;
  const int untried = static_cast<int>(side.pools.size()) - std::popcount(f.tried);
  const int kept = std::clamp(most - f.spent.dispatches - 1, 0, std::max(0, untried));
  call.elsewhere.was = f.starts > 0;
  call.elsewhere.dispatches = static_cast<std::uint8_t>(f.spent.dispatches + kept);
  call.elsewhere.may_have_run = f.spent.may_have_run;
  call.elsewhere.spent = passed;
  const std::uint32_t mine = ++f.starts;
  const CallId id = f.id;
  const CallId inner = pools_[side.pools[nth]]->driver.take(call, f);
  // Answered, or gone on to another pool, before this returned: what stands there is not this start's to
  // write.
  if (f.outer != nullptr && f.id == id && f.starts == mine) f.inner = inner;
}

bool Services::goes_on(Flight& f, const pool::AttemptHistory& spent) {
  const opfile::RouteModel& route = model_.routes[f.route];
  Side& side = services_[route.service].sides[f.side];
  if (ending_ || side.pools.size() < 2 || (f.body() && !f.body()->whole())) return false;
  const TimePoint now = scheduler_.now();
  const opfile::TrackModel& track = model_.tracks[route.track];
  const std::string& from = model_.pools[side.pools[f.nth]].reference_group;
  for (std::size_t i = 0; i < std::min<std::size_t>(side.pools.size(), 64); ++i) {
    if ((f.tried >> i & 1U) != 0) continue;
    const opfile::PoolModel& to = model_.pools[side.pools[i]];
    pool::CrossPoolRetry o;
    o.idempotency = track.effect;
    o.shares_key_memory = !from.empty() && from == to.reference_group;
    o.memory_spans_group = track.repeat_group == "all";
    o.key_retention = track.remembered;
    o.max_dispatches = to.dispatches;
    o.deadline = f.taken + f.call.left;
    if (check_cross_pool_retry(o, spent, now) != pool::RetryDenial::none) continue;
    if (!side.failover.has_capacity(i, now)) continue;
    side.failover.record_sent(i, now);
    f.spent = spent;
    ++counters_.went_on;
    start(f, i);
    return true;
  }
  return false;
}

void Services::count(const Flight& f, bool well) {
  services_[model_.routes[f.route].service].sides[f.side].failover.record_end(f.nth, well, scheduler_.now());
}

Caller* Services::release(Flight& f) {
  Caller* const outer = std::exchange(f.outer, nullptr);
  services_[model_.routes[f.route].service].limiter.release(f.limit_place);
  index_.erase(f.id);
  f.starts = 0;
  f.inner = 0;
  free_.push_back(f.place);
  --in_hand_;
  return outer;
}

void Services::caller_left(CallId call) {
  const std::uint32_t place = index_.find(call);
  if (call == 0 || place == IdIndex::none) return;
  Flight& f = *flights_[place];
  const Side& side = services_[model_.routes[f.route].service].sides[f.side];
  Driver& driver = pools_[side.pools[f.nth]]->driver;
  const CallId inner = f.inner;
  release(f);
  driver.caller_left(inner);
}

void Services::break_off_all() {
  ending_ = true;
  for (auto& pool : pools_) pool->driver.break_off_all();
}

}  // namespace chutevane::sidecar
