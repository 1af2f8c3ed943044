#include "operator_file/explain.hpp"

#include <algorithm>
#include <cctype>
#include <utility>
#include <vector>

#include "pool/traffic_split.hpp"

namespace chutevane::operator_file {
namespace {

constexpr std::size_t max_other_routes = 5;  // that are listed

/// The query as a route's matchers see it.
class QueryRequest final : public route::RequestView {
 public:
  explicit QueryRequest(const ExplainQuery& query)
      : query_(query), path_(query.path.substr(0, query.path.find('?'))) {}
  std::string_view host() const override { return query_.host; }
  std::string_view path() const override { return path_; }
  std::string_view method() const override { return query_.method; }
  std::optional<std::string_view> header(std::string_view name) const override {
    const auto same = [&](const auto& one) {
      return std::equal(one.first.begin(), one.first.end(), name.begin(), name.end(),
                        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    };
    const auto found = std::find_if(query_.headers.begin(), query_.headers.end(), same);
    if (found == query_.headers.end()) return std::nullopt;
    return found->second;
  }

 private:
  const ExplainQuery& query_;
  std::string path_;
};

std::string text_of(double v) {
  std::string out = std::to_string(v);
  out.erase(out.find_last_not_of('0') + 1);
  if (out.back() == '.') out.pop_back();
  return out;
}

std::string route_text(const Model& m, std::size_t at) {
  const route::Route& r = m.routes[at].match;
  std::string out = "route " + std::to_string(at + 1) + ":";
  out += r.host.empty() ? " any host" : " host " + r.host;
  if (r.path_kind == route::Route::PathKind::exact) out += ", path " + r.path;
  if (r.path_kind == route::Route::PathKind::prefix) out += ", path from " + r.path;
  if (!r.method.empty()) out += ", method " + r.method;
  for (const route::HeaderMatcher& h : r.headers) {
    out += ", " + h.name;
    out += h.kind == route::HeaderMatcher::Kind::present ? " present"
           : h.kind == route::HeaderMatcher::Kind::exact ? " = " + h.value
                                                         : " begins with " + h.value;
  }
  return out;
}

std::string limits_text(const limit::LimitConfig& l) {
  std::string out;
  const auto add = [&](const std::string& text) { out += (out.empty() ? "" : "; ") + text; };
  if (l.max_in_flight > 0.0) add(text_of(l.max_in_flight) + " calls in flight");
  if (l.rate.per_s > 0.0) add(text_of(l.rate.per_s) + " calls/s, " + text_of(l.rate.burst) + " at once");
  if (l.max_client_in_flight > 0.0) add(text_of(l.max_client_in_flight) + " in flight for each client");
  if (l.client_rate.per_s > 0.0)
    add(text_of(l.client_rate.per_s) + " calls/s for each client, " + text_of(l.client_rate.burst) +
        " at once");
  return out.empty() ? "none" : out;
}

std::string effect_text(pool::Idempotency effect) {
  switch (effect) {
    case pool::Idempotency::idempotent: return "replayable";
    case pool::Idempotency::keyed: return "referenced";
    case pool::Idempotency::non_idempotent: break;
  }
  return "single-use";
}

std::string other_routes_text(const Model& m, std::size_t taken, const route::RequestView& request) {
  std::string out;
  std::size_t others = 0;
  for (std::size_t i = 0; i < m.routes.size(); ++i) {
    if (i == taken || !matches(m.routes[i].match, request)) continue;
    if (++others <= max_other_routes) out += "  fits too, less precise: " + route_text(m, i) + "\n";
  }
  if (others > max_other_routes) out += "  and " + std::to_string(others - max_other_routes) + " more\n";
  return out;
}

/// The side that the request takes, and a line on why; the first one where each call is drawn.
std::pair<std::size_t, std::string> choose_side(const ServiceModel& service,
                                                const route::RequestView& request) {
  if (service.sides.size() < 2) return {0, ""};
  std::vector<pool::SplitTarget> targets;
  double total = 0.0;
  for (const SideModel& side : service.sides) {
    targets.push_back({side.name, side.weight});
    total += side.weight;
  }
  const auto key = service.split_header.empty() ? std::nullopt : request.header(service.split_header);
  if (key) {
    const std::size_t side = pool::TrafficSplit(targets).choose(*key);
    return {side, "side: " + service.sides[side].name + ", by " + service.split_header + " = " +
                      std::string(*key) + "\n"};
  }
  std::string line = "side: drawn for each call:";
  for (const SideModel& side : service.sides)
    line += " " + side.name + " " + text_of(100.0 * side.weight / total) + "%";
  return {0, line + "; pools below are of " + service.sides[0].name + "\n"};
}

std::string pools_text(const Model& m, const SideModel& side) {
  std::string out = "pools, by priority:";
  for (const std::size_t index : side.pools) {
    const PoolModel& pool = m.pools[index];
    out += " " + pool.name + " (" +
           (pool.discovery.empty() ? std::to_string(pool.endpoints.entries.size()) + " endpoints"
                                   : "discovery at " + pool.discovery) +
           ")";
  }
  return out + "\n";
}

std::string track_text(const TrackModel& track) {
  return "track: " + track.name + ", " + effect_text(track.effect) + ", soft limit " +
         text_of(track.soft_limit.as_ms()) + " ms, client timeout " + text_of(track.client_timeout.as_ms()) +
         " ms\n";
}

}  // namespace

std::string explain(const Model& m, const ExplainQuery& query) {
  const QueryRequest request(query);
  const std::uint32_t route = m.table.match(request);
  if (route == route::RouteTable::none) return "no route fits: 404\n";
  const ServiceModel& service = m.services[m.routes[route].service];
  const auto [side, side_line] = choose_side(service, request);
  return route_text(m, route) + "\n" + other_routes_text(m, route, request) + "service: " + service.name +
         "\n" + side_line + pools_text(m, service.sides[side]) + track_text(m.tracks[m.routes[route].track]) +
         "limits: " + limits_text(service.limits) + "\n";
}

std::string summary(const Model& m) {
  return m.name + ": in order; " + std::to_string(m.routes.size()) + " routes, " +
         std::to_string(m.services.size()) + " services, " + std::to_string(m.pools.size()) + " pools, " +
         std::to_string(m.tracks.size()) + " tracks\n";
}

}  // namespace chutevane::operator_file
