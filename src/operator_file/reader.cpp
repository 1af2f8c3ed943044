#include "operator_file/reader.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

#include "net/socket.hpp"
#include "toml/table_reader.hpp"

namespace chutevane::operator_file {
namespace {

using toml_reader::EnumName;
using toml_reader::ErrorList;
using toml_reader::TableReader;

constexpr std::size_t max_file_bytes = 16U << 20U;  // some 100,000 routes
constexpr std::size_t max_path_segments = 64;       // as many as a route table looks at
constexpr double min_descriptors = 64;
constexpr double default_request_timeout_ms = 2500.0, default_idle_timeout_ms = 75000.0;

constexpr EnumName<pool::Idempotency> effect_names[] = {{"replayable", pool::Idempotency::idempotent},
                                                        {"referenced", pool::Idempotency::keyed},
                                                        {"single-use", pool::Idempotency::non_idempotent}};

/// The index of each name of a section, for references from other sections.
class NameIndex {
 public:
  explicit NameIndex(std::string section) : section_(std::move(section)) {}
  void add(TableReader& t, const std::string& name, std::size_t index) {
    names_.insert(name);
    if (!index_.emplace(name, index).second) t.wrong("name", "'" + name + "' comes twice");
  }
  std::size_t find(TableReader& t, const std::string& key, const std::string& name) const {
    const auto found = index_.find(name);
    if (found != index_.end()) return found->second;
    const std::string near = toml_reader::nearest(names_, name);
    t.wrong(key, "no " + section_ + " '" + name + "'" + (near.empty() ? "" : "; did you mean " + near + "?"));
    return 0;
  }

 private:
  std::string section_;
  std::map<std::string, std::size_t> index_;
  std::set<std::string> names_;
};

std::string read_address(TableReader& t, const std::string& key, const std::optional<std::string>& fallback) {
  std::string out = t.text(key, fallback);
  if (!out.empty() && !net::parse_address(out)) t.wrong(key, "no address: '" + out + "'; write a.b.c.d:port");
  return out;
}

TrackModel read_track(TableReader& t) {
  TrackModel out;
  out.name = t.text("name", std::nullopt);
  out.effect = t.word<pool::Idempotency>("effect", effect_names, std::nullopt);
  out.soft_limit = t.span("soft_limit_ms", std::nullopt, 1.0);
  out.client_timeout = t.span("client_timeout_ms", std::nullopt, 1.0);
  if (out.soft_limit > out.client_timeout) t.wrong("soft_limit_ms", "longer than client_timeout_ms");
  out.payoff = t.number("payoff", 1.0, 0.0, 1e6);
  out.late_payoff = t.number("late_payoff", 0.0, 0.0, 1.0);
  out.repeat_group = t.text("repeat_group", "all");
  if (out.repeat_group != "all" && out.repeat_group != "zone" && out.repeat_group != "cell")
    t.wrong("repeat_group", "'" + out.repeat_group + "' is none of all, zone, cell");
  const bool referenced = out.effect == pool::Idempotency::keyed;
  out.key_retention = t.span("repeat_window_ms", referenced ? std::nullopt : std::optional<double>(0.0));
  return out;
}

discovery::EndpointList read_endpoints(TableReader& pool) {
  discovery::EndpointList out;
  out.full = true;
  std::set<std::string> ids, addresses;
  for (const toml::table* one : pool.tables("endpoint")) {
    TableReader endpoint(*one, pool.under("endpoint"), pool.errors());
    discovery::EndpointEntry entry;
    entry.address = read_address(endpoint, "address", std::nullopt);
    entry.id = endpoint.text("id", entry.address.empty() ? "none" : entry.address);
    entry.zone = endpoint.text("zone", "");
    entry.cell = static_cast<std::uint16_t>(endpoint.whole("cell", 0, 0, 65535));
    entry.size = endpoint.number("weight", 1.0, 0.0, 1e9);
    if (!ids.insert(entry.id).second) endpoint.wrong("id", "'" + entry.id + "' comes twice");
    if (!addresses.insert(entry.address).second)
      endpoint.wrong("address", "'" + entry.address + "' comes twice");
    out.entries.push_back(entry);
  }
  return out;
}

PoolModel read_pool(TableReader& t) {
  PoolModel out;
  out.name = t.text("name", std::nullopt);
  out.discovery = read_address(t, "discovery", "");
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
  out.endpoint_idle_close = t.span("idle_close_ms", 10000.0, 1.0);
  out.max_retry_after = t.span("max_retry_after_ms", 2000.0);
  out.warm_after = t.span("warm_after_ms", 10000.0, 1.0);
  out.fall_window = t.span("fall_ms", 1500.0, 1.0);
  out.cold_share = t.number("cold_share", 0.2, 0.01, 1.0);
  out.fall_multiple = t.number("fall_multiple", 3.0, 1.0, 100.0);
  out.endpoints = read_endpoints(t);
  if (out.discovery.empty() && out.endpoints.entries.empty())
    t.wrong("name", "pool '" + out.name + "' is empty: name its discovery, or [[pool.endpoint]]");
  return out;
}

limit::Rate read_rate(TableReader& t, const std::string& prefix) {
  limit::Rate out;
  out.per_s = t.number(prefix + "rate_per_s", 0.0, 0.0, 1e9);
  out.burst = t.number(prefix + "burst", out.per_s > 0.0 ? std::max(1.0, out.per_s) : 0.0, 0.0, 1e9);
  if (out.per_s > 0.0 && out.burst < 1.0) t.wrong(prefix + "burst", "under 1: no call would ever pass");
  return out;
}

std::vector<std::size_t> read_pools(TableReader& t, const NameIndex& pools) {
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

/// [[service.side]], or one side of the service's own pools.
std::vector<SideModel> read_sides(TableReader& service, const NameIndex& pools) {
  std::vector<SideModel> out;
  const auto sides = service.tables("side");
  if (sides.empty()) {
    out.push_back({"", 1.0, read_pools(service, pools)});
    return out;
  }
  if (service.find("pools") != nullptr)
    service.wrong("pools", "stands in [[service.side]] where there are sides");
  double weights = 0.0;
  NameIndex names("side");
  for (const toml::table* one : sides) {
    TableReader t(*one, service.under("side"), service.errors());
    SideModel side;
    side.name = t.text("name", std::nullopt);
    side.weight = t.number("weight", std::nullopt, 0.0, 1e6);
    side.pools = read_pools(t, pools);
    names.add(t, side.name, out.size());
    weights += side.weight;
    out.push_back(side);
  }
  if (weights <= 0.0) service.wrong("side", "all weights are zero: no call would go anywhere");
  return out;
}

pool::FailoverConfig read_failover(TableReader& service) {
  pool::FailoverConfig out;
  const toml::table* const table = service.table("failover");
  if (table == nullptr) return out;
  TableReader t(*table, service.under("failover"), service.errors());
  out.healthy_threshold = t.number("whole_from", out.healthy_threshold, 0.05, 1.0);
  out.memory = t.span("memory_ms", out.memory.as_ms(), 100.0);
  out.return_per_s = t.number("return_per_s", out.return_per_s, 0.001, 10.0);
  out.growth = t.number("growth", out.growth, 0.0, 10.0);
  out.unknown_per_s = t.number("unknown_per_s", out.unknown_per_s, 0.1, 1e6);
  out.probe_per_s = t.number("probe_per_s", out.probe_per_s, 0.01, 1e6);
  out.panic_threshold = t.number("panic_below", out.panic_threshold, 0.0, 1.0);
  return out;
}

limit::LimitConfig read_service_limits(TableReader& service) {
  limit::LimitConfig out;
  const toml::table* const table = service.table("limits");
  if (table == nullptr) return out;
  TableReader t(*table, service.under("limits"), service.errors());
  out.max_in_flight = t.number("in_flight", 0.0, 0.0, 1e7);
  out.rate = read_rate(t, "");
  out.max_client_in_flight = t.number("client_in_flight", 0.0, 0.0, 1e7);
  out.client_rate = read_rate(t, "client_");
  out.reserved_share = t.number("kept_for_quiet", out.reserved_share, 0.0, 0.9);
  out.max_clients = static_cast<std::size_t>(t.whole("clients", 10000, 1, 10000000));
  out.retry_after = t.span("come_back_ms", out.retry_after.as_ms());
  out.client_idle_timeout = t.span("client_idle_ms", out.client_idle_timeout.as_ms(), 1.0);
  return out;
}

ServiceModel read_service(TableReader& t, const NameIndex& pools) {
  ServiceModel out;
  out.name = t.text("name", std::nullopt);
  out.split_header = t.text("split_header", "");
  out.sides = read_sides(t, pools);
  out.failover = read_failover(t);
  out.limits = read_service_limits(t);
  return out;
}

std::vector<route::HeaderMatcher> read_header_matchers(TableReader& route) {
  std::vector<route::HeaderMatcher> out;
  std::set<std::string> names;
  for (const toml::table* one : route.tables("header")) {
    TableReader t(*one, route.under("header"), route.errors());
    route::HeaderMatcher header;
    header.name = t.text("name", std::nullopt);
    const std::string value = t.text("value", ""), prefix = t.text("prefix", "");
    if (!value.empty() && !prefix.empty()) t.wrong("prefix", "beside value: one of the two");
    header.kind = !value.empty()    ? route::HeaderMatcher::Kind::exact
                  : !prefix.empty() ? route::HeaderMatcher::Kind::prefix
                                    : route::HeaderMatcher::Kind::present;
    header.value = value.empty() ? prefix : value;
    std::string lower_case = header.name;
    std::transform(lower_case.begin(), lower_case.end(), lower_case.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (!names.insert(lower_case).second) t.wrong("name", "'" + header.name + "' comes twice in one route");
    out.push_back(header);
  }
  return out;
}

RouteModel read_route(TableReader& t, const NameIndex& services, const NameIndex& tracks) {
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
  if (static_cast<std::size_t>(std::count(r.path.begin(), r.path.end(), '/')) > max_path_segments)
    t.wrong(path.empty() ? "path_prefix" : "path", "more than 64 segments");
  r.method = t.text("method", "");
  r.headers = read_header_matchers(t);
  return out;
}

/// A call has one budget of dispatches over all pools of its service, so that these must state the same.
void check_dispatch_budgets(const Model& m, const std::vector<const toml::table*>& services,
                            ErrorList& errors) {
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

/// The file's arrays of tables that refer to each other, read once all of them are known.
struct Sections {
  std::vector<const toml::table*> tracks, pools, services, routes;
};

void read_limits(TableReader& root, Model& out) {
  const toml::table* const table = root.table("limits");
  out.request_timeout = Span::ms(default_request_timeout_ms);
  out.idle_timeout = Span::ms(default_idle_timeout_ms);
  if (table == nullptr) return;
  TableReader limits(*table, "limits.", root.errors());
  out.max_memory = static_cast<std::size_t>(limits.number("memory_mb", 192.0, 8.0, 1e6)) << 20U;
  out.max_descriptors = static_cast<std::size_t>(limits.number("sockets", 1024.0, min_descriptors, 1e7));
  out.request_timeout = limits.span("request_ms", default_request_timeout_ms, 1.0);
  out.idle_timeout = limits.span("caller_idle_ms", default_idle_timeout_ms, 1.0);
}

void read_header_names(TableReader& root, Model& out) {
  const toml::table* const table = root.table("calls");
  if (table == nullptr) return;
  TableReader calls(*table, "calls.", root.errors());
  out.id_header = calls.text("id_header", out.id_header);
  out.wait_header = calls.text("wait_header", out.wait_header);
  out.reference_header = calls.text("reference_header", out.reference_header);
  out.proof_header = calls.text("proof_header", out.proof_header);
  out.client_header = calls.text("client_header", "");
  out.key_header = calls.text("key_header", "");
}

void read_addresses(TableReader& root, Model& out) {
  std::set<std::string> listen;
  for (const toml::table* one : root.tables("listener")) {
    TableReader listener(*one, "listener.", root.errors());
    out.listen.push_back(read_address(listener, "address", std::nullopt));
    if (!listen.insert(out.listen.back()).second) listener.wrong("address", "comes twice");
  }
  if (out.listen.empty()) root.wrong("listener", "missing");
  out.admin_address = read_address(root, "admin_addr", "");
  if (listen.contains(out.admin_address)) root.wrong("admin_addr", "is a listener's");
}

Sections read_root(const toml::table& table, Model& out, ErrorList& errors) {
  TableReader root(table, "", errors);
  out.name = root.text("name", out.name);
  read_limits(root, out);
  read_header_names(root, out);
  read_addresses(root, out);
  Sections sections;
  sections.tracks = root.tables("track");
  sections.pools = root.tables("pool");
  sections.services = root.tables("service");
  sections.routes = root.tables("route");
  for (const auto& [list, key] :
       {std::pair{&sections.tracks, "track"}, std::pair{&sections.pools, "pool"},
        std::pair{&sections.services, "service"}, std::pair{&sections.routes, "route"}}) {
    if (list->empty()) root.wrong(key, "missing");
  }
  return sections;
}

void read_sections(const Sections& sections, Model& out, ErrorList& errors) {
  NameIndex tracks("track"), pools("pool"), services("service");
  for (const toml::table* one : sections.tracks) {
    TableReader table(*one, "track.", errors);
    out.tracks.push_back(read_track(table));
    tracks.add(table, out.tracks.back().name, out.tracks.size() - 1);
  }
  for (const toml::table* one : sections.pools) {
    TableReader table(*one, "pool.", errors);
    out.pools.push_back(read_pool(table));
    pools.add(table, out.pools.back().name, out.pools.size() - 1);
  }
  for (const toml::table* one : sections.services) {
    TableReader table(*one, "service.", errors);
    out.services.push_back(read_service(table, pools));
    services.add(table, out.services.back().name, out.services.size() - 1);
  }
  for (const toml::table* one : sections.routes) {
    TableReader table(*one, "route.", errors);
    out.routes.push_back(read_route(table, services, tracks));
  }
}

void compile_routes(const Sections& sections, Model& out, ErrorList& errors) {
  std::vector<route::Route> matches;
  for (const RouteModel& one : out.routes) matches.push_back(one.match);
  try {
    out.table = route::RouteTable(matches);
  } catch (const route::AmbiguousRouteError& e) {
    const auto line_of = [&](std::size_t i) {
      return std::to_string(sections.routes[i]->source().begin.line);
    };
    errors.add(*sections.routes[e.second], "route",
               "ties with the route of line " + line_of(e.first) + ": it " + e.what());
  }
}

}  // namespace

Model read(std::string_view text, const std::string& file) {
  toml::table root;
  try {
    root = toml_reader::parse(text, file, max_file_bytes);
  } catch (const toml_reader::ParseError& e) {
    throw OperatorFileError(e.what());
  }
  Model out;
  ErrorList errors{file, ""};
  const Sections sections = read_root(root, out, errors);
  read_sections(sections, out, errors);
  check_dispatch_budgets(out, sections.services, errors);
  if (errors.lines.empty()) compile_routes(sections, out, errors);
  if (!errors.lines.empty()) throw OperatorFileError(errors.lines);
  return out;
}

Model load(const std::string& file) {
  const std::optional<std::string> text = toml_reader::read_file(file, max_file_bytes);
  if (!text) throw OperatorFileError(file + ":1:1: file: cannot be read");
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
  out["allowed.retry_after"] = flag(p.max_retry_after > Span());
  out["allowed.max_retry_after_ms"] = number(p.max_retry_after.as_ms());
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
    out[at + "repeat_window_ms"] = number(t.key_retention.as_ms());
  }
  return out;
}

}  // namespace chutevane::operator_file
