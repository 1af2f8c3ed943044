#include "opfile/file.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

#include "net/socket.hpp"
#include "toml/checked.hpp"

namespace chutevane::opfile {
namespace {

using checked::Errors;
using checked::Table;
using checked::Word;

constexpr std::size_t file_most = 16U << 20U;  // bytes: some 100,000 routes
constexpr std::size_t segments_most = 64;      // of a path: as many as the table looks at
constexpr double sockets_least = 64;

constexpr Word<pool::Idempotency> effect_words[] = {{"replayable", pool::Idempotency::idempotent},
                                                    {"referenced", pool::Idempotency::keyed},
                                                    {"single-use", pool::Idempotency::non_idempotent}};

// Names to places, for references from one part of the file to another.
class Names {
 public:
  explicit Names(std::string what) : what_(std::move(what)) {}
  void add(Table& t, const std::string& name, std::size_t place) {
    all_.insert(name);
    if (!places_.emplace(name, place).second) t.wrong("name", "'" + name + "' comes twice");
  }
  std::size_t find(Table& t, const std::string& key, const std::string& name) const {
    const auto found = places_.find(name);
    if (found != places_.end()) return found->second;
    const std::string near = checked::nearest(all_, name);
    t.wrong(key, "no " + what_ + " '" + name + "'" + (near.empty() ? "" : "; did you mean " + near + "?"));
    return 0;
  }

 private:
  std::string what_;
  std::map<std::string, std::size_t> places_;
  std::set<std::string> all_;
};

std::string address(Table& t, const std::string& key, const std::optional<std::string>& otherwise) {
  std::string out = t.text(key, otherwise);
  if (!out.empty() && !net::parse_address(out)) t.wrong(key, "no address: '" + out + "'; write a.b.c.d:port");
  return out;
}

TrackModel read_track(Table& t) {
  TrackModel out;
  out.name = t.text("name", std::nullopt);
  out.effect = t.word<pool::Idempotency>("effect", effect_words, std::nullopt);
  out.soft_limit = t.span("soft_limit_ms", std::nullopt, 1.0);
  out.client_timeout = t.span("client_timeout_ms", std::nullopt, 1.0);
  if (out.soft_limit > out.client_timeout) t.wrong("soft_limit_ms", "longer than client_timeout_ms");
  out.payoff = t.number("payoff", 1.0, 0.0, 1e6);
  out.late_payoff = t.number("late_payoff", 0.0, 0.0, 1.0);
  out.repeat_group = t.text("repeat_group", "all");
  if (out.repeat_group != "all" && out.repeat_group != "zone" && out.repeat_group != "cell")
    t.wrong("repeat_group", "'" + out.repeat_group + "' is none of all, zone, cell");
  const bool referenced = out.effect == pool::Idempotency::keyed;
  out.remembered = t.span("repeat_window_ms", referenced ? std::nullopt : std::optional<double>(0.0));
  return out;
}

PoolModel read_pool(Table& t) {
  PoolModel out;
  out.name = t.text("name", std::nullopt);
  out.discovery = address(t, "discovery", "");
  out.zone = t.text("zone", "");
  out.reference_group = t.text("reference_group", "");
  out.carries_per_s = t.number("carries_per_s", 0.0, 0.0, 1e9);
  out.sidecars = t.whole("sidecars", 1, 1, 100000);
  out.place = t.whole("place", 0, 0, 99999);
  if (out.place >= out.sidecars)
    t.wrong("place", "of " + std::to_string(out.sidecars) + " sidecars, counted from 0");
  out.calls_per_connection = t.whole("calls_per_connection", 1, 1, 100000);
  out.dispatches = t.whole("max_dispatches", 4, 1, 8);
  out.cancel = t.flag("cancel", true);
  out.connect_timeout = t.span("connect_timeout_ms", 250.0, 1.0);
  out.idle_close = t.span("idle_close_ms", 10000.0, 1.0);
  out.most_retry_after = t.span("max_retry_after_ms", 2000.0);
  out.warm_after = t.span("warm_after_ms", 10000.0, 1.0);
  out.fall_window = t.span("fall_ms", 1500.0, 1.0);
  out.cold_share = t.number("cold_share", 0.2, 0.01, 1.0);
  out.fall_multiple = t.number("fall_multiple", 3.0, 1.0, 100.0);
  out.endpoints.full = true;
  std::set<std::string> ids, addresses;
  for (const toml::table* one : t.tables("endpoint")) {
    Table e(*one, t.under("endpoint"), t.errors());
    discovery::EndpointEntry entry;
    entry.address = address(e, "address", std::nullopt);
    entry.id = e.text("id", entry.address.empty() ? "none" : entry.address);
    entry.zone = e.text("zone", "");
    entry.cell = static_cast<std::uint16_t>(e.whole("cell", 0, 0, 65535));
    entry.size = e.number("weight", 1.0, 0.0, 1e9);
    if (!ids.insert(entry.id).second) e.wrong("id", "'" + entry.id + "' comes twice");
    if (!addresses.insert(entry.address).second) e.wrong("address", "'" + entry.address + "' comes twice");
    out.endpoints.entries.push_back(entry);
  }
  if (out.discovery.empty() && out.endpoints.entries.empty())
    t.wrong("name", "pool '" + out.name + "' is empty: name its discovery, or [[pool.endpoint]]");
  return out;
}

limit::Rate read_rate(Table& t, const std::string& prefix) {
  limit::Rate out;
  out.per_s = t.number(prefix + "rate_per_s", 0.0, 0.0, 1e9);
  out.burst = t.number(prefix + "burst", out.per_s > 0.0 ? std::max(1.0, out.per_s) : 0.0, 0.0, 1e9);
  if (out.per_s > 0.0 && out.burst < 1.0) t.wrong(prefix + "burst", "under 1: no call would ever pass");
  return out;
}

std::vector<std::size_t> read_pools(Table& t, const Names& pools) {
  std::vector<std::size_t> out;
  for (const std::string& name : t.texts("pools", {})) {
    const std::size_t at = pools.find(t, "pools", name);
    if (std::find(out.begin(), out.end(), at) != out.end())
      t.wrong("pools", "'" + name + "' comes twice: a call that it gave up would come back to it");
    out.push_back(at);
  }
  if (out.empty()) t.wrong("pools", "missing");
  return out;
}

ServiceModel read_service(Table& t, const Names& pools) {
  ServiceModel out;
  out.name = t.text("name", std::nullopt);
  out.split_header = t.text("split_header", "");
  const auto sides = t.tables("side");
  if (sides.empty()) {
    out.sides.push_back({"", 1.0, read_pools(t, pools)});
  } else {
    if (t.find("pools") != nullptr) t.wrong("pools", "stands in [[service.side]] where there are sides");
    double weights = 0.0;
    Names names("side");
    for (const toml::table* one : sides) {
      Table s(*one, t.under("side"), t.errors());
      SideModel side;
      side.name = s.text("name", std::nullopt);
      side.weight = s.number("weight", std::nullopt, 0.0, 1e6);
      side.pools = read_pools(s, pools);
      names.add(s, side.name, out.sides.size());
      weights += side.weight;
      out.sides.push_back(side);
    }
    if (weights <= 0.0) t.wrong("side", "all weights are zero: no call would go anywhere");
  }
  if (const toml::table* f = t.table("failover")) {
    Table failover(*f, t.under("failover"), t.errors());
    out.failover.healthy_threshold = failover.number("whole_from", out.failover.healthy_threshold, 0.05, 1.0);
    out.failover.memory = failover.span("memory_ms", out.failover.memory.as_ms(), 100.0);
    out.failover.return_per_s = failover.number("return_per_s", out.failover.return_per_s, 0.001, 10.0);
    out.failover.growth = failover.number("growth", out.failover.growth, 0.0, 10.0);
    out.failover.unknown_per_s = failover.number("unknown_per_s", out.failover.unknown_per_s, 0.1, 1e6);
    out.failover.probe_per_s = failover.number("probe_per_s", out.failover.probe_per_s, 0.01, 1e6);
    out.failover.panic_threshold = failover.number("panic_below", out.failover.panic_threshold, 0.0, 1.0);
  }
  if (const toml::table* l = t.table("limits")) {
    Table limits(*l, t.under("limits"), t.errors());
    out.limits.max_in_flight = limits.number("in_flight", 0.0, 0.0, 1e7);
    out.limits.rate = read_rate(limits, "");
    out.limits.max_client_in_flight = limits.number("client_in_flight", 0.0, 0.0, 1e7);
    out.limits.client_rate = read_rate(limits, "client_");
    out.limits.reserved_share = limits.number("kept_for_quiet", out.limits.reserved_share, 0.0, 0.9);
    out.limits.max_clients = static_cast<std::size_t>(limits.whole("clients", 10000, 1, 10000000));
    out.limits.retry_after = limits.span("come_back_ms", out.limits.retry_after.as_ms());
    out.limits.client_idle_timeout =
        limits.span("client_idle_ms", out.limits.client_idle_timeout.as_ms(), 1.0);
  }
  return out;
}

RouteModel read_route(Table& t, const Names& services, const Names& tracks) {
  RouteModel out;
  route::Route& r = out.match;
  out.service = services.find(t, "service", t.text("service", std::nullopt));
  out.track = tracks.find(t, "track", t.text("track", std::nullopt));
  r.host = t.text("host", "");
  if (r.host.find('*') != std::string::npos &&
      (!r.host.starts_with("*.") || r.host.size() < 3 || r.host.find('*', 1) != std::string::npos))
    t.wrong("host", "'" + r.host + "': a star stands only in front, as in *.example.org");
  if (r.host.find(':') != std::string::npos) t.wrong("host", "'" + r.host + "': without a port");
  const std::string path = t.text("path", ""), prefix = t.text("path_prefix", "");
  if (!path.empty() && !prefix.empty()) t.wrong("path_prefix", "beside path: one of the two");
  r.path = path.empty() ? prefix : path;
  r.path_kind = !path.empty()     ? route::Route::PathKind::exact
                : !prefix.empty() ? route::Route::PathKind::prefix
                                  : route::Route::PathKind::any;
  if (!r.path.empty() && r.path.front() != '/')
    t.wrong(path.empty() ? "path_prefix" : "path", "'" + r.path + "' does not begin with /");
  if (static_cast<std::size_t>(std::count(r.path.begin(), r.path.end(), '/')) > segments_most)
    t.wrong(path.empty() ? "path_prefix" : "path", "more than 64 segments");
  r.method = t.text("method", "");
  std::set<std::string> names;
  for (const toml::table* one : t.tables("header")) {
    Table h(*one, t.under("header"), t.errors());
    route::HeaderMatcher rule;
    rule.name = h.text("name", std::nullopt);
    const std::string value = h.text("value", ""), starts = h.text("prefix", "");
    if (!value.empty() && !starts.empty()) h.wrong("prefix", "beside value: one of the two");
    rule.kind = !value.empty()    ? route::HeaderMatcher::Kind::exact
                : !starts.empty() ? route::HeaderMatcher::Kind::prefix
                                  : route::HeaderMatcher::Kind::present;
    rule.value = value.empty() ? starts : value;
    std::string lowered = rule.name;
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (!names.insert(lowered).second) h.wrong("name", "'" + rule.name + "' comes twice in one route");
    r.headers.push_back(rule);
  }
  return out;
}

// A service's pools must agree on what a call is: two that send it different numbers of times would not.
void check_groups(const Model& m, const std::vector<const toml::table*>& services, Errors& errors) {
  for (std::size_t s = 0; s < m.services.size(); ++s) {
    std::set<int> dispatches;
    for (const SideModel& side : m.services[s].sides) {
      for (const std::size_t p : side.pools) {
        if (p < m.pools.size()) dispatches.insert(m.pools[p].dispatches);
      }
    }
    if (dispatches.size() > 1)
      errors.add(*services[s], "service.pools",
                 "pools of '" + m.services[s].name +
                     "' have different max_dispatches; a call has one budget over all");
  }
}

}  // namespace

Model read(std::string_view text, const std::string& file) {
  toml::table root;
  try {
    root = checked::parse(text, file, file_most);
  } catch (const checked::ParseError& e) {
    throw FileError(e.what());
  }
  Model out;
  Errors errors{file, ""};
  std::vector<const toml::table*> tracks, pools, services, routes;
  {
    Table t(root, "", errors);
    out.name = t.text("name", out.name);
    if (const toml::table* limits = t.table("limits")) {
      Table l(*limits, "limits.", errors);
      out.memory = static_cast<std::size_t>(l.number("memory_mb", 192.0, 8.0, 1e6)) << 20U;
      out.sockets = static_cast<std::size_t>(l.number("sockets", 1024.0, sockets_least, 1e7));
      out.request_most = l.span("request_ms", 2500.0, 1.0);
      out.idle_most = l.span("caller_idle_ms", 75000.0, 1.0);
    } else {
      out.request_most = Span::ms(2500.0);
      out.idle_most = Span::ms(75000.0);
    }
    if (const toml::table* calls = t.table("calls")) {
      Table c(*calls, "calls.", errors);
      out.id_header = c.text("id_header", out.id_header);
      out.wait_header = c.text("wait_header", out.wait_header);
      out.reference_header = c.text("reference_header", out.reference_header);
      out.proof_header = c.text("proof_header", out.proof_header);
      out.client_header = c.text("client_header", "");
      out.key_header = c.text("key_header", "");
    }
    std::set<std::string> listen;
    for (const toml::table* one : t.tables("listener")) {
      Table l(*one, "listener.", errors);
      out.listen.push_back(address(l, "address", std::nullopt));
      if (!listen.insert(out.listen.back()).second) l.wrong("address", "comes twice");
    }
    if (out.listen.empty()) t.wrong("listener", "missing");
    out.admin = address(t, "admin_addr", "");
    if (listen.contains(out.admin)) t.wrong("admin_addr", "is a listener's");
    tracks = t.tables("track");
    pools = t.tables("pool");
    services = t.tables("service");
    routes = t.tables("route");
    for (const auto& [list, key] : {std::pair{&tracks, "track"}, std::pair{&pools, "pool"},
                                    std::pair{&services, "service"}, std::pair{&routes, "route"}}) {
      if (list->empty()) t.wrong(key, "missing");
    }
  }
  Names track_names("track"), pool_names("pool"), service_names("service");
  for (const toml::table* one : tracks) {
    Table t(*one, "track.", errors);
    out.tracks.push_back(read_track(t));
    track_names.add(t, out.tracks.back().name, out.tracks.size() - 1);
  }
  for (const toml::table* one : pools) {
    Table t(*one, "pool.", errors);
    out.pools.push_back(read_pool(t));
    pool_names.add(t, out.pools.back().name, out.pools.size() - 1);
  }
  for (const toml::table* one : services) {
    Table t(*one, "service.", errors);
    out.services.push_back(read_service(t, pool_names));
    service_names.add(t, out.services.back().name, out.services.size() - 1);
  }
  std::vector<route::Route> matches;
  for (const toml::table* one : routes) {
    Table t(*one, "route.", errors);
    out.routes.push_back(read_route(t, service_names, track_names));
    matches.push_back(out.routes.back().match);
  }
  check_groups(out, services, errors);
  if (errors.lines.empty()) {
    try {
      out.table = route::RouteTable(matches);
    } catch (const route::AmbiguousRouteError& e) {
      const auto line = [&](std::size_t i) { return std::to_string(routes[i]->source().begin.line); };
      errors.add(*routes[e.second], "route",
                 "ties with the route of line " + line(e.first) + ": it " + e.what());
    }
  }
  if (!errors.lines.empty()) throw FileError(errors.lines);
  return out;
}

Model load(const std::string& file) {
  const std::optional<std::string> text = checked::read_file(file, file_most);
  if (!text) throw FileError(file + ":1:1: file: cannot be read");
  return read(*text, file);
}

Settings settings_of(const Model& m, const PoolModel& p) {
  Settings out;
  const auto number = [](double v) { return std::to_string(v); };
  const auto flag = [](bool v) { return std::string(v ? "true" : "false"); };
  out["tier"] = "0";
  out["sidecars"] = number(p.sidecars);
  out["me"] = number(p.place);
  out["allowed.streams_per_conn"] = number(p.calls_per_connection);
  out["extra.warm_keys"] = flag(!m.key_header.empty());
  out["discovery"] = "automatic";
  out["allowed.cancel"] = flag(p.cancel);
  out["allowed.retry_after"] = flag(p.most_retry_after > Span());
  out["allowed.max_retry_after_ms"] = number(p.most_retry_after.as_ms());
  out["allowed.max_dispatches"] = number(p.dispatches);
  out["rules.cold_share"] = number(p.cold_share);
  out["rules.fall_multiple"] = number(p.fall_multiple);
  out["rules.fall_ms"] = number(p.fall_window.as_ms());
  out["rules.warm_after_ms"] = number(p.warm_after.as_ms());
  out["tracks.count"] = std::to_string(m.tracks.size());
  for (std::size_t i = 0; i < m.tracks.size(); ++i) {
    const TrackModel& t = m.tracks[i];
    const std::string at = "tracks." + std::to_string(i) + ".";
    out[at + "name"] = t.name;
    out[at + "soft_limit_ms"] = number(t.soft_limit.as_ms());
    out[at + "client_timeout_ms"] = number(t.client_timeout.as_ms());
    out[at + "payoff"] = number(t.payoff);
    out[at + "late_payoff"] = number(t.late_payoff);
    out[at + "effect"] = t.effect == pool::Idempotency::idempotent ? "replayable"
                         : t.effect == pool::Idempotency::keyed    ? "referenced"
                                                                   : "single-use";
    out[at + "repeat_group"] = t.repeat_group;
    out[at + "repeat_window_ms"] = number(t.remembered.as_ms());
  }
  return out;
}

}  // namespace chutevane::opfile
