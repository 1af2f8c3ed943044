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

enum class Presence : std::uint8_t { optional, required };

/// Inclusive bounds of a number.
struct Range {
  double min = 0;
  double max = 0;
};

constexpr double max_count = 1e9;
constexpr double max_duration = 1e9;  // in the unit of the member

/// Reads the members of one JSON object. A required member that is missing, or one that is malformed, is
/// reported with its path; its getter then returns std::nullopt.
class ObjectReader {
 public:
  /// `path` is the object's path with a trailing dot; empty for the document itself.
  ObjectReader(object source, std::string path, Findings& findings)
      : source_(source), path_(std::move(path)), findings_(findings) {}

  const object& source() const { return source_; }
  const std::string& path() const { return path_; }
  Findings& findings() const { return findings_; }
  void report(std::string_view key, std::string what) {
    findings_.add(path_ + std::string(key), std::move(what));
  }
  bool has(std::string_view key) const { return source_[key].error() == simdjson::SUCCESS; }

  std::optional<std::string> string(std::string_view key, Presence presence) {
    const auto member = find(key, presence);
    if (!member) return std::nullopt;
    std::string_view text;
    if (member->get_string().get(text) != simdjson::SUCCESS || text.empty()) {
      report(key, "not a text");
      return std::nullopt;
    }
    return std::string(text);
  }
  std::optional<double> number(std::string_view key, Range range, Presence presence) {
    const auto member = find(key, presence);
    if (!member) return std::nullopt;
    double value = 0;
    if (member->get_double().get(value) != simdjson::SUCCESS) {
      report(key, "not a number");
      return std::nullopt;
    }
    if (!(value >= range.min) || !(value <= range.max)) {
      report(key, "out of its bounds, " + std::to_string(range.min) + " to " + std::to_string(range.max));
      return std::nullopt;
    }
    return value;
  }
  /// Reads an optional number and truncates it to an integer.
  std::optional<std::size_t> count(std::string_view key, Range range) {
    const auto value = number(key, range, Presence::optional);
    return value ? std::optional(static_cast<std::size_t>(*value)) : std::nullopt;
  }
  std::optional<bool> boolean(std::string_view key) {
    const auto member = find(key, Presence::optional);
    if (!member) return std::nullopt;
    bool value = false;
    if (member->get_bool().get(value) != simdjson::SUCCESS) {
      report(key, "neither true nor false");
      return std::nullopt;
    }
    return value;
  }
  std::optional<Span> duration(std::string_view key, double unit_ms, Presence presence) {
    const auto value = number(key, {0, max_duration}, presence);
    return value ? std::optional(Span::ms(*value * unit_ms)) : std::nullopt;
  }

 private:
  std::optional<element> find(std::string_view key, Presence presence) {
    element member;
    if (source_[key].get(member) == simdjson::SUCCESS) return member;
    if (presence == Presence::required) report(key, "missing");
    return std::nullopt;
  }
  object source_;
  std::string path_;
  Findings& findings_;
};

/// Calls `read` with an ObjectReader for each object of the list at `list_path`; reports items of other
/// types.
template <class Read>
void for_each_object(const simdjson::dom::array& list, const std::string& list_path, Findings& findings,
                     Read read) {
  std::size_t i = 0;
  for (const element item : list) {
    const std::string path = list_path + "[" + std::to_string(i++) + "].";
    object source;
    if (item.get(source) == simdjson::SUCCESS) {
      ObjectReader reader(source, path, findings);
      read(reader);
    } else {
      findings.add(path, "not an object");
    }
  }
}

/// Reads the services of a route: `trafficSplit` with weights, or a single `service`.
std::vector<Weighted> read_split(ObjectReader& route) {
  std::vector<Weighted> out;
  simdjson::dom::array split;
  if (route.source()["trafficSplit"].get(split) == simdjson::SUCCESS) {
    double sum = 0;
    for_each_object(split, route.path() + "trafficSplit", route.findings(), [&](ObjectReader& reader) {
      Weighted part;
      part.service = reader.string("service", Presence::required).value_or("");
      part.weight = reader.number("weight", {0, 1e9}, Presence::required).value_or(part.weight);
      sum += part.weight;
      out.push_back(std::move(part));
    });
    if (!(sum > 0)) route.report("trafficSplit", "the weights add up to 0");
  } else if (route.has("trafficSplit")) {
    route.report("trafficSplit", "not a list");
  } else if (auto service = route.string("service", Presence::required)) {
    out.push_back({.service = std::move(*service)});
  }
  return out;
}

RouteType read_route_type(ObjectReader& in) {
  const auto type = in.string("routeType", Presence::required);
  if (type == "idempotent") return RouteType::idempotent;
  if (type == "streaming") return RouteType::streaming;
  if (type && type != "non_idempotent")
    in.report("routeType", "none of idempotent, non_idempotent, streaming");
  return RouteType::non_idempotent;
}

Route read_route(ObjectReader& in) {
  Route route;
  route.name = in.string("name", Presence::optional).value_or("");
  route.host = lower_case(in.string("host", Presence::required).value_or(""));
  route.prefix = in.string("pathPrefix", Presence::required).value_or("");
  if (!route.prefix.empty() && (route.prefix.front() != '/' || route.prefix.back() != '/'))
    in.report("pathPrefix", "does not begin and end with a slash");
  route.type = read_route_type(in);
  const auto timeout_ms = in.number("timeoutMs", {0, max_duration}, Presence::required);
  if (timeout_ms && !(*timeout_ms > 0)) in.report("timeoutMs", "is 0");
  route.timeout = Span::ms(timeout_ms.value_or(0));
  route.target = in.duration("targetMs", 1, Presence::optional).value_or(Span());
  route.priority = static_cast<int>(in.number("priority", {0, 1000}, Presence::optional).value_or(0));
  route.max_attempts = in.count("maxAttempts", {1, 1000}).value_or(route.max_attempts);
  route.retained = in.boolean("retained").value_or(false);
  route.affinity = in.boolean("affinity").value_or(false);
  // Routes of other types have no streams that could be resumed.
  route.resumable = in.boolean("resumable").value_or(false) && route.type == RouteType::streaming;
  const Presence retention = route.retained ? Presence::required : Presence::optional;
  route.retention = in.duration("retentionS", 1000, retention).value_or(Span());
  route.event_gap_target = in.duration("gap_aim_ms", 1, Presence::optional).value_or(Span());
  route.split = read_split(in);
  return route;
}

Engine read_engine(ObjectReader in) {
  Engine engine;
  engine.capacity = in.count("capacity", {0, max_count}).value_or(0);
  engine.kv_capacity = in.number("kvCapacity", {0, 1e15}, Presence::optional).value_or(0);
  engine.tokens_per_event = static_cast<int>(in.count("tokensPerEvent", {1, 1e6}).value_or(1));
  return engine;
}

Service read_service(ObjectReader& in) {
  Service service;
  service.name = in.string("name", Presence::required).value_or("");
  service.health_path = in.string("healthPath", Presence::optional).value_or("");
  service.max_connections = in.count("maxConnections", {0, max_count}).value_or(0);
  object engine;
  if (in.source()["engine"].get(engine) == simdjson::SUCCESS) {
    service.engine = read_engine({engine, in.path() + "engine.", in.findings()});
  } else if (in.has("engine")) {
    in.report("engine", "not an object");
  }
  return service;
}

ClientLimits read_limits(ObjectReader& document) {
  ClientLimits limits;
  object source;
  if (document.source()["limits"].get(source) == simdjson::SUCCESS) {
    ObjectReader in(source, "limits.", document.findings());
    limits.header_bytes = in.count("maxHeaderBytes", {256, 1e9}).value_or(limits.header_bytes);
    limits.body_bytes = in.count("maxBodyBytes", {0, 1e12}).value_or(limits.body_bytes);
    limits.header = in.duration("headerTimeoutMs", 1, Presence::optional).value_or(limits.header);
    limits.idle = in.duration("idleTimeoutMs", 1, Presence::optional).value_or(limits.idle);
  } else if (document.has("limits")) {
    document.report("limits", "not an object");
  }
  return limits;
}

std::int64_t read_version(ObjectReader& document) {
  const auto version = document.number("version", {1, 9e15}, Presence::required);
  if (!version) return 0;
  if (*version != std::floor(*version)) document.report("version", "not a whole number");
  return static_cast<std::int64_t>(*version);
}

/// Reads a required list of objects, each with `read`.
template <class Item>
std::vector<Item> read_list(ObjectReader& document, const char* key, Item (*read)(ObjectReader&)) {
  std::vector<Item> out;
  simdjson::dom::array list;
  if (document.source()[key].get(list) == simdjson::SUCCESS) {
    for_each_object(list, key, document.findings(), [&](ObjectReader& in) { out.push_back(read(in)); });
  } else {
    document.report(key, "missing, or not a list");
  }
  return out;
}

void check_service_names(const Configuration& configuration, Findings& findings) {
  std::set<std::string> names;
  for (const Service& service : configuration.services) {
    if (!names.insert(service.name).second) findings.add("services", "'" + service.name + "' comes twice");
  }
}

/// Reports routes to unknown services, and routes with the same host and prefix.
void check_routes(const Configuration& configuration, Findings& findings) {
  std::map<std::pair<std::string, std::string>, std::size_t> first_with;  // index by host and prefix
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    const Route& route = configuration.routes[i];
    const std::string path = "routes[" + std::to_string(i) + "]";
    for (const Weighted& part : route.split) {
      if (configuration.service(part.service) == nullptr)
        findings.add(path, "unknown service '" + part.service + "'");
    }
    const auto [first, inserted] = first_with.emplace(std::pair(route.host, route.prefix), i);
    if (!inserted)
      findings.add(path, "shares host and pathPrefix with routes[" + std::to_string(first->second) + "]");
  }
}

}  // namespace

const Route* Configuration::route_of(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host == host && path.starts_with(route.prefix) &&
        (best == nullptr || best->prefix.size() < route.prefix.size()))
      best = &route;
  }
  return best;
}

const Service* Configuration::service(std::string_view name) const {
  for (const Service& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

std::optional<Configuration> read_configuration(std::string_view text, Findings& findings) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(text);
  object root;
  if (const auto error = parser.parse(padded).get(root); error != simdjson::SUCCESS) {
    findings.add("document", simdjson::error_message(error));
    return std::nullopt;
  }
  Configuration out;
  ObjectReader document(root, "", findings);
  out.version = read_version(document);
  out.routes = read_list<Route>(document, "routes", read_route);
  out.services = read_list<Service>(document, "services", read_service);
  out.limits = read_limits(document);
  check_service_names(out, findings);
  check_routes(out, findings);
  if (!findings.none()) return std::nullopt;
  return out;
}

std::string lower_case(std::string text) {
  for (char& c : text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  return text;
}

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::string hash_text(std::uint64_t hash) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
  return text.data();
}

}  // namespace chutevane::common
