#include "discovery/endpoint_list.hpp"

#include <charconv>

#include "net/socket.hpp"

namespace chutevane::discovery {
namespace {

using Kind = json::Value::Kind;

constexpr double max_cell = 65535, max_weight = 1e9, max_start_ms = 1e14;

/// By Availability.
constexpr std::string_view state_names[] = {"SERVING", "DRAINING", "DELETED"};

/// `path`: of the object in the list, for errors.
const json::Value& member(const json::Value& object, std::string_view name, Kind kind,
                          const std::string& path) {
  const json::Value* found = object.find(name);
  const std::string key = path + std::string(name);
  if (found == nullptr) throw EndpointListError(key + ": missing");
  if (!found->is(kind)) throw EndpointListError(key + ": of the wrong kind");
  return *found;
}

double number_or(const json::Value& object, std::string_view name, double fallback, double max,
                 const std::string& path) {
  if (object.find(name) == nullptr) return fallback;
  const double v = member(object, name, Kind::number, path).number;
  if (v < 0 || v > max) throw EndpointListError(path + std::string(name) + ": out of range");
  return v;
}

Availability parse_state(const std::string& state, const std::string& path) {
  if (state == "SERVING") return Availability::ready;
  if (state == "DRAINING") return Availability::draining;
  if (state == "DELETED") return Availability::gone;
  throw EndpointListError(path + "state: unknown '" + state + "'");
}

EndpointEntry parse_entry(const json::Value& value, const std::string& path) {
  EndpointEntry out;
  out.id = member(value, "id", Kind::text, path).text;
  if (out.id.empty()) throw EndpointListError(path + "id: empty");
  out.availability = parse_state(member(value, "state", Kind::text, path).text, path);
  if (out.availability != Availability::gone || value.find("addr") != nullptr) {
    out.address = member(value, "addr", Kind::text, path).text;
    if (!net::parse_address(out.address))
      throw EndpointListError(path + "addr: no address: '" + out.address + "'");
  }
  if (value.find("zone") != nullptr) out.zone = member(value, "zone", Kind::text, path).text;
  if (value.find("kind") != nullptr) out.model = member(value, "kind", Kind::text, path).text;
  out.cell = static_cast<std::uint16_t>(number_or(value, "cell", 0, max_cell, path));
  out.size = number_or(value, "weight", 1, max_weight, path);
  out.came_up = TimePoint::at_ms(number_or(value, "started_ms", 0, max_start_ms, path));
  return out;
}

/// From the number's text: a double would lose digits, and the version is sent back to discovery.
std::uint64_t parse_version(const json::Value& value) {
  std::uint64_t out = 0;
  const char* end = value.text.data() + value.text.size();
  const auto parsed = std::from_chars(value.text.data(), end, out);
  if (!value.is(Kind::number) || parsed.ec != std::errc() || parsed.ptr != end)
    throw EndpointListError("version: no whole number");
  return out;
}

}  // namespace

EndpointList parse_endpoint_list(const json::Value& value) {
  if (!value.is(Kind::object)) throw EndpointListError("the list is no object");
  EndpointList out;
  if (const json::Value* version = value.find("version")) out.version = parse_version(*version);
  const json::Value* full = value.find("full");
  if (full != nullptr && !full->is(Kind::boolean)) throw EndpointListError("full: of the wrong kind");
  out.full = full != nullptr && full->flag;
  const json::Value& servers = member(value, "servers", Kind::list, "");
  out.entries.reserve(servers.items.size());
  for (std::size_t i = 0; i < servers.items.size(); ++i)
    out.entries.push_back(parse_entry(servers.items[i], "servers[" + std::to_string(i) + "]."));
  return out;
}

EndpointList parse_endpoint_list(std::string_view text) {
  try {
    return parse_endpoint_list(json::parse(text));
  } catch (const json::ParseError& e) {
    throw EndpointListError(std::string("no JSON: ") + e.what());
  }
}

void write_endpoint_list(json::Writer& out, const EndpointList& list) {
  out.open('{').key("version").number(list.version).key("full").truth(list.full).key("servers").open('[');
  for (const EndpointEntry& entry : list.entries) {
    out.open('{').key("id").text(entry.id);
    if (!entry.address.empty()) out.key("addr").text(entry.address);
    out.key("zone").text(entry.zone).key("kind").text(entry.model).key("cell").number(entry.cell);
    out.key("state").text(state_names[static_cast<std::size_t>(entry.availability)]);
    out.key("weight").real(entry.size).key("started_ms").real(entry.came_up.as_ms()).close('}');
  }
  out.close(']').close('}');
}

}  // namespace chutevane::discovery
