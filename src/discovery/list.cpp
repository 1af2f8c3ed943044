#include "discovery/list.hpp"

#include <charconv>

#include "net/socket.hpp"

namespace chutevane::discovery {
namespace {

using Kind = json::Value::Kind;

const json::Value& member(const json::Value& of, std::string_view name, Kind kind, const std::string& where) {
  const json::Value* found = of.find(name);
  const std::string key = where + std::string(name);
  if (found == nullptr) throw ListError(key + ": missing");
  if (!found->is(kind)) throw ListError(key + ": of the wrong kind");
  return *found;
}

double number_or(const json::Value& of, std::string_view name, double otherwise, double least, double most,
                 const std::string& where) {
  if (of.find(name) == nullptr) return otherwise;
  const double v = member(of, name, Kind::number, where).number;
  if (v < least || v > most) throw ListError(where + std::string(name) + ": out of range");
  return v;
}

Entry read_entry(const json::Value& value, const std::string& where) {
  Entry out;
  out.id = member(value, "id", Kind::text, where).text;
  if (out.id.empty()) throw ListError(where + "id: empty");
  const std::string& state = member(value, "state", Kind::text, where).text;
  if (state == "SERVING") {
    out.availability = Availability::ready;
  } else if (state == "DRAINING") {
    out.availability = Availability::draining;
  } else if (state == "DELETED") {
    out.availability = Availability::gone;
  } else {
    throw ListError(where + "state: unknown '" + state + "'");
  }
  if (out.availability != Availability::gone || value.find("addr") != nullptr) {
    out.address = member(value, "addr", Kind::text, where).text;
    if (!net::parse_address(out.address)) throw ListError(where + "addr: no address: '" + out.address + "'");
  }
  if (value.find("zone") != nullptr) out.zone = member(value, "zone", Kind::text, where).text;
  if (value.find("kind") != nullptr) out.model = member(value, "kind", Kind::text, where).text;
  out.cell = static_cast<std::uint16_t>(number_or(value, "cell", 0, 0, 65535, where));
  out.size = number_or(value, "weight", 1, 0, 1e9, where);
  out.came_up = TimePoint::at_ms(number_or(value, "started_ms", 0, 0, 1e14, where));
  return out;
}

}  // namespace

List read_list(const json::Value& value) {
  if (!value.is(Kind::object)) throw ListError("the list is no object");
  List out;
  if (const json::Value* version = value.find("version")) {  // to the last digit: it is sent back
    const char* end = version->text.data() + version->text.size();
    const auto got = std::from_chars(version->text.data(), end, out.version);
    if (!version->is(Kind::number) || got.ec != std::errc() || got.ptr != end)
      throw ListError("version: no whole number");
  }
  const json::Value* full = value.find("full");
  if (full != nullptr && !full->is(Kind::boolean)) throw ListError("full: of the wrong kind");
  out.full = full != nullptr && full->flag;
  const json::Value& servers = member(value, "servers", Kind::list, "");
  out.entries.reserve(servers.items.size());
  for (std::size_t i = 0; i < servers.items.size(); ++i) {
    out.entries.push_back(read_entry(servers.items[i], "servers[" + std::to_string(i) + "]."));
  }
  return out;
}

List read_list(std::string_view text) {
  try {
    return read_list(json::parse(text));
  } catch (const json::ParseError& e) {
    throw ListError(std::string("no JSON: ") + e.what());
  }
}

void write_list(json::Writer& out, const List& list) {
  static constexpr std::string_view states[] = {"SERVING", "DRAINING", "DELETED"};  // by Availability
  out.open('{').key("version").number(list.version).key("full").truth(list.full).key("servers").open('[');
  for (const Entry& e : list.entries) {
    out.open('{').key("id").text(e.id);
    if (!e.address.empty()) out.key("addr").text(e.address);
    out.key("zone").text(e.zone).key("kind").text(e.model).key("cell").number(e.cell);
    out.key("state").text(states[static_cast<std::size_t>(e.availability)]).key("weight").real(e.size);
    out.key("started_ms").real(e.came_up.as_ms()).close('}');
  }
  out.close(']').close('}');
}

}  // namespace chutevane::discovery
