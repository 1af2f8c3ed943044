#include "opfile/explain.hpp"

#include <algorithm>
#include <cctype>

#include "pool/traffic_split.hpp"

namespace chutevane::opfile {
namespace {

constexpr std::size_t others_shown = 5;

class Asked final : public route::RequestView {
 public:
  explicit Asked(const Question& q) : q_(q), path_(q.path.substr(0, q.path.find('?'))) {}
  std::string_view host() const override { return q_.host; }
  std::string_view path() const override { return path_; }
  std::string_view method() const override { return q_.method; }
  std::optional<std::string_view> header(std::string_view name) const override {
    const auto same = [&](const auto& one) {
      return std::equal(one.first.begin(), one.first.end(), name.begin(), name.end(),
                        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    };
    const auto found = std::find_if(q_.headers.begin(), q_.headers.end(), same);
    if (found == q_.headers.end()) return std::nullopt;
    return found->second;
  }

 private:
  const Question& q_;
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

}  // namespace

std::string explain(const Model& m, const Question& q) {
  const Asked asked(q);
  const std::uint32_t at = m.table.match(asked);
  if (at == route::RouteTable::none) return "no route fits: 404\n";
  std::string out = route_text(m, at) + "\n";
  std::size_t others = 0;
  for (std::size_t i = 0; i < m.routes.size(); ++i) {
    if (i == at || !matches(m.routes[i].match, asked)) continue;
    if (++others <= others_shown) out += "  fits too, less precise: " + route_text(m, i) + "\n";
  }
  if (others > others_shown) out += "  and " + std::to_string(others - others_shown) + " more\n";
  const ServiceModel& s = m.services[m.routes[at].service];
  out += "service: " + s.name + "\n";
  std::size_t side = 0;
  if (s.sides.size() > 1) {
    std::vector<pool::SplitTarget> weights;
    double total = 0.0;
    for (const SideModel& one : s.sides) weights.push_back({one.name, one.weight}), total += one.weight;
    const auto key = s.split_header.empty() ? std::nullopt : asked.header(s.split_header);
    if (key) {
      side = pool::TrafficSplit(weights).choose(*key);
      out += "side: " + s.sides[side].name + ", by " + s.split_header + " = " + std::string(*key) + "\n";
    } else {
      out += "side: drawn for each call:";
      for (const SideModel& one : s.sides)
        out += " " + one.name + " " + text_of(100.0 * one.weight / total) + "%";
      out += "; pools below are of " + s.sides[0].name + "\n";
    }
  }
  out += "pools, by priority:";
  for (const std::size_t p : s.sides[side].pools) {
    const PoolModel& pool = m.pools[p];
    out += " " + pool.name + " (" +
           (pool.discovery.empty() ? std::to_string(pool.endpoints.entries.size()) + " endpoints"
                                   : "discovery at " + pool.discovery) +
           ")";
  }
  const TrackModel& t = m.tracks[m.routes[at].track];
  const char* effect = t.effect == pool::Idempotency::idempotent ? "replayable"
                       : t.effect == pool::Idempotency::keyed    ? "referenced"
                                                                 : "single-use";
  out += "\ntrack: " + t.name + ", " + effect + ", soft limit " + text_of(t.soft_limit.as_ms()) +
         " ms, client timeout " + text_of(t.client_timeout.as_ms()) + " ms\n";
  out += "limits: " + limits_text(s.limits) + "\n";
  return out;
}

std::string summary(const Model& m) {
  return m.name + ": in order; " + std::to_string(m.routes.size()) + " routes, " +
         std::to_string(m.services.size()) + " services, " + std::to_string(m.pools.size()) + " pools, " +
         std::to_string(m.tracks.size()) + " tracks\n";
}

}  // namespace chutevane::opfile
