#include "common/configuration.hpp"

#include <simdjson.h>
#include <xxhash.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>

namespace chutevane::common {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// Reads the members of one object, and says of each that is wrong where it stands.
class Reader {
 public:
  Reader(object from, std::string place, Findings& findings)
      : from_(from), place_(std::move(place)), findings_(findings) {}

  void wrong(std::string_view key, std::string why) {
    findings_.add(place_ + std::string(key), std::move(why));
  }
  bool has(std::string_view key) const { return from_[key].error() == simdjson::SUCCESS; }
  bool text(std::string_view key, std::string& into, bool needed = true) {
    element e;
    if (from_[key].get(e) != simdjson::SUCCESS) {
      if (needed) wrong(key, "missing");
      return false;
    }
    std::string_view v;
    if (e.get_string().get(v) != simdjson::SUCCESS || v.empty()) {
      wrong(key, "not a text");
      return false;
    }
    into = v;
    return true;
  }
  bool number(std::string_view key, double& into, double least, double most, bool needed = true) {
    element e;
    if (from_[key].get(e) != simdjson::SUCCESS) {
      if (needed) wrong(key, "missing");
      return false;
    }
    double v = 0;
    if (e.get_double().get(v) != simdjson::SUCCESS) {
      wrong(key, "not a number");
      return false;
    }
    if (!(v >= least) || !(v <= most)) {
      wrong(key, "out of its bounds, " + std::to_string(least) + " to " + std::to_string(most));
      return false;
    }
    into = v;
    return true;
  }
  void whole(std::string_view key, std::size_t& into, double least, double most, bool needed = true) {
    double v = 0;
    if (number(key, v, least, most, needed)) into = static_cast<std::size_t>(v);
  }
  void flag(std::string_view key, bool& into) {
    element e;
    if (from_[key].get(e) != simdjson::SUCCESS) return;
    if (e.get_bool().get(into) != simdjson::SUCCESS) wrong(key, "neither true nor false");
  }
  void span(std::string_view key, Span& into, double unit_ms, bool needed) {
    double v = 0;
    if (number(key, v, 0, 1e9, needed)) into = Span::ms(v * unit_ms);
  }

 private:
  object from_;
  std::string place_;
  Findings& findings_;
};

constexpr double ms_most = 1e9;

void read_split(const object& from, const std::string& place, Reader& in, Route& route, Findings& findings) {
  simdjson::dom::array split;
  if (from["trafficSplit"].get(split) == simdjson::SUCCESS) {
    double sum = 0;
    std::size_t i = 0;
    for (const element e : split) {
      const std::string here = place + "trafficSplit[" + std::to_string(i++) + "].";
      object o;
      if (e.get(o) != simdjson::SUCCESS) {
        findings.add(here, "not an object");
        continue;
      }
      Reader part(o, here, findings);
      Weighted w;
      part.text("service", w.service);
      part.number("weight", w.weight, 0, 1e9);
      sum += w.weight;
      route.split.push_back(std::move(w));
    }
    if (!(sum > 0)) in.wrong("trafficSplit", "the weights add up to 0");
  } else if (in.has("trafficSplit")) {
    in.wrong("trafficSplit", "not a list");
  } else {
    Weighted w;
    if (in.text("service", w.service)) route.split.push_back(std::move(w));
  }
}

void read_route(const object& from, const std::string& place, Configuration& into, Findings& findings) {
  Reader in(from, place, findings);
  Route r;
  in.text("name", r.name, false);
  in.text("host", r.host);
  for (char& c : r.host)
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;  // hosts know no case
  if (in.text("pathPrefix", r.prefix) && (r.prefix.front() != '/' || r.prefix.back() != '/'))
    in.wrong("pathPrefix", "does not begin and end with a slash");
  std::string type;
  if (in.text("routeType", type)) {
    if (type == "idempotent") {
      r.type = RouteType::idempotent;
    } else if (type == "streaming") {
      r.type = RouteType::streaming;
    } else if (type != "non_idempotent") {
      in.wrong("routeType", "none of idempotent, non_idempotent, streaming");
    }
  }
  double timeout = 0;
  if (in.number("timeoutMs", timeout, 0, ms_most) && !(timeout > 0)) in.wrong("timeoutMs", "is 0");
  r.timeout = Span::ms(timeout);
  in.span("targetMs", r.target, 1, false);
  double priority = 0;
  if (in.number("priority", priority, 0, 1000, false)) r.priority = static_cast<int>(priority);
  in.whole("maxAttempts", r.max_attempts, 1, 1000, false);
  in.flag("retained", r.retained);
  in.flag("affinity", r.affinity);
  in.flag("resumable", r.resumable);
  if (r.resumable && r.type != RouteType::streaming) r.resumable = false;  // there is nothing to take up
  in.span("retentionS", r.retention, 1000, r.retained);
  in.span("gap_aim_ms", r.gap_aim, 1, false);
  read_split(from, place, in, r, findings);
  into.routes.push_back(std::move(r));
}

void read_service(const object& from, const std::string& place, Configuration& into, Findings& findings) {
  Reader in(from, place, findings);
  Service s;
  in.text("name", s.name);
  in.text("healthPath", s.health_path, false);
  in.whole("maxConnections", s.max_connections, 0, 1e9, false);
  object engine;
  if (from["engine"].get(engine) == simdjson::SUCCESS) {
    Reader at(engine, place + "engine.", findings);
    Engine e;
    at.whole("capacity", e.capacity, 0, 1e9, false);
    at.number("kvCapacity", e.kv_capacity, 0, 1e15, false);
    std::size_t per_event = 1;
    at.whole("tokensPerEvent", per_event, 1, 1e6, false);
    e.tokens_per_event = static_cast<int>(per_event);
    s.engine = e;
  } else if (in.has("engine")) {
    in.wrong("engine", "not an object");
  }
  into.services.push_back(std::move(s));
}

template <class Read>
void each(const object& from, const char* key, Findings& findings, Read read) {
  simdjson::dom::array list;
  if (from[key].get(list) != simdjson::SUCCESS) {
    findings.add(key, "missing, or not a list");
    return;
  }
  std::size_t i = 0;
  for (const element e : list) {
    const std::string place = std::string(key) + "[" + std::to_string(i++) + "].";
    object o;
    if (e.get(o) == simdjson::SUCCESS) {
      read(o, place);
    } else {
      findings.add(place, "not an object");
    }
  }
}

void check_whole(const Configuration& c, Findings& findings) {
  std::set<std::string> services;
  for (const Service& s : c.services) {
    if (!services.insert(s.name).second) findings.add("services", "'" + s.name + "' comes twice");
  }
  std::map<std::pair<std::string, std::string>, std::size_t> places;
  for (std::size_t i = 0; i < c.routes.size(); ++i) {
    const Route& r = c.routes[i];
    const std::string place = "routes[" + std::to_string(i) + "]";
    for (const Weighted& w : r.split) {
      if (!services.contains(w.service)) findings.add(place, "unknown service '" + w.service + "'");
    }
    const auto [at, fresh] = places.emplace(std::pair(r.host, r.prefix), i);
    if (!fresh)
      findings.add(place, "shares host and pathPrefix with routes[" + std::to_string(at->second) + "]");
  }
}

}  // namespace

const Route* Configuration::route_of(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& r : routes) {
    if (r.host == host && path.starts_with(r.prefix) &&
        (best == nullptr || best->prefix.size() < r.prefix.size()))
      best = &r;
  }
  return best;
}

const Service* Configuration::service(std::string_view name) const {
  for (const Service& s : services) {
    if (s.name == name) return &s;
  }
  return nullptr;
}

std::optional<Configuration> read_configuration(std::string_view text, Findings& findings) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(text);
  object all;
  if (const auto error = parser.parse(padded).get(all); error != simdjson::SUCCESS) {
    findings.add("document", simdjson::error_message(error));
    return std::nullopt;
  }
  Configuration out;
  Reader in(all, "", findings);
  double version = 0;
  if (in.number("version", version, 1, 9e15)) out.version = static_cast<std::int64_t>(version);
  if (version != std::floor(version)) in.wrong("version", "not a whole number");
  each(all, "routes", findings,
       [&](const object& o, const std::string& p) { read_route(o, p, out, findings); });
  each(all, "services", findings,
       [&](const object& o, const std::string& p) { read_service(o, p, out, findings); });
  object limits;
  if (all["limits"].get(limits) == simdjson::SUCCESS) {
    Reader at(limits, "limits.", findings);
    at.whole("maxHeaderBytes", out.limits.header_bytes, 256, 1e9, false);
    at.whole("maxBodyBytes", out.limits.body_bytes, 0, 1e12, false);
    at.span("headerTimeoutMs", out.limits.header, 1, false);
    at.span("idleTimeoutMs", out.limits.idle, 1, false);
  } else if (in.has("limits")) {
    in.wrong("limits", "not an object");
  }
  check_whole(out, findings);
  if (!findings.none()) return std::nullopt;
  return out;
}

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::string hash_text(std::uint64_t hash) {
  std::array<char, 17> room{};
  std::snprintf(room.data(), room.size(), "%016llx", static_cast<unsigned long long>(hash));
  return room.data();
}

}  // namespace chutevane::common
