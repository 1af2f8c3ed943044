#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>

#include "base/settings_reader.hpp"
#include "chutevane/balancer.hpp"
#include "config/names.hpp"
#include "net/socket.hpp"

namespace chutevane::config {
namespace {

using Kind = json::Value::Kind;

constexpr double memory_least = 8;    // MB; the program alone takes some 5
constexpr double sockets_least = 64;  // below that there is no room beside what is kept spare

// Nested settings as a flat map: list items under .0, .1, ..., their number under .count; plain lists with
// commas.
void flatten(Settings& into, const std::string& key, const json::Value& value) {
  const auto put = [&](std::string_view text) { put_setting(into, key, text); };
  switch (value.kind) {
    case Kind::null: return;
    case Kind::boolean: return put(value.flag ? "true" : "false");
    case Kind::number:
    case Kind::text: return put(value.text);
    case Kind::object:
      for (const auto& [name, member] : value.members)
        flatten(into, key.empty() ? name : key + "." + name, member);
      return;
    case Kind::list: break;
  }
  const bool plain = std::all_of(value.items.begin(), value.items.end(), [](const json::Value& v) {
    return !v.is(Kind::object) && !v.is(Kind::list);
  });
  if (plain) {
    std::string joined;
    for (const json::Value& v : value.items) {
      if (&v != &value.items.front()) joined += ',';
      joined += v.is(Kind::boolean) ? (v.flag ? "true" : "false") : v.text;
    }
    put(joined);
  }
  if (plain && !value.items.empty()) return;
  put_setting(into, key + ".count", std::to_string(value.items.size()));
  for (std::size_t i = 0; i < value.items.size(); ++i)
    flatten(into, key + "." + std::to_string(i), value.items[i]);
}

// A text of the file, or of the environment where the file has none.
std::string text_of(const json::Value& root, const char* key, const char* variable, const Environment& env) {
  const json::Value* found = root.find(key);
  if (found != nullptr) {
    if (!found->is(Kind::text)) throw ConfigError(key, "no text");
    return found->text;
  }
  const char* value = env(variable);
  if (value == nullptr) throw ConfigError(key, std::string("missing, and ") + variable + " is not set");
  return value;
}

std::string address_of(const json::Value& root, const char* key, const char* variable,
                       const Environment& env) {
  const std::string out = text_of(root, key, variable, env);
  if (!net::parse_address(out)) throw ConfigError(key, "no address: '" + out + "'");
  return out;
}

// The second address, where there is to be one.
std::string admin_of(const json::Value& root, const Environment& env) {
  constexpr const char *key = "admin_addr", *variable = "EDGE_ADMIN_ADDR";
  const char* given = env(variable);
  if (root.find(key) == nullptr && (given == nullptr || *given == '\0')) return "";
  return address_of(root, key, variable, env);
}

std::uint64_t seed_of(const json::Value& root) {
  const json::Value* found = root.find("seed");
  if (found == nullptr) return 0;
  std::uint64_t out = 0;
  const char* end = found->text.data() + found->text.size();
  const auto got = std::from_chars(found->text.data(), end, out, found->is(Kind::text) ? 16 : 10);
  if (got.ec != std::errc() || got.ptr != end) throw ConfigError("seed", "no number: '" + found->text + "'");
  return out;
}

// A number of an object whose keys are told as PREFIX + key, or what stands in its place.
double figure_of(const json::Value& of, const char* prefix, const std::string& key, double otherwise,
                 double least, double most) {
  const json::Value* found = of.find(key);
  if (found == nullptr) return otherwise;
  if (!found->is(Kind::number) || found->number < least || found->number > most) {
    throw ConfigError(prefix + key, "no number from " + std::to_string(static_cast<long>(least)) + " to " +
                                        std::to_string(static_cast<long>(most)));
  }
  return found->number;
}

// The zone's place among the zones, whichever way it is given.
void number_zone(Settings& settings) {
  const auto zone = settings.find("zone"), zones = settings.find("zones");
  if (zone == settings.end() || zones == settings.end()) return;
  std::string_view rest = zones->second;
  for (int i = 0; !rest.empty(); ++i) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    if (rest.substr(0, comma) == zone->second) {
      zone->second = std::to_string(i);
      return;
    }
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
}

// Settings that may be left out: each has a default in the module, but a wrong one is no default.
void check_optional(const Settings& settings) {
  const SettingsReader reader(settings);
  const auto whole = [&](const std::string& key, double least, double most) {
    if (!reader.has(key)) return;
    const double v = reader.number(key);
    if (v < least || v > most || v != std::floor(v))
      throw SettingError(key, "no whole number from " + std::to_string(static_cast<long>(least)) + " to " +
                                  std::to_string(static_cast<long>(most)));
  };
  const auto one_of = [&](const char* key, std::initializer_list<std::string_view> words) {
    if (!reader.has(key) || std::find(words.begin(), words.end(), reader.text(key)) != words.end()) return;
    std::string all;
    for (const std::string_view w : words) all += (all.empty() ? "" : ", ") + std::string(w);
    throw SettingError(key, "'" + reader.text(key) + "' is none of " + all);
  };
  whole("me", 0, std::max(1.0, reader.number("sidecars")) - 1);
  whole("allowed.streams_per_conn", 1, 1e6);
  one_of("allowed.may_tell", {"true", "false"});
  one_of("extra.warm_keys", {"true", "false"});
  one_of("client_habits.marks_retry", {"true", "false"});
  one_of("rules.drain_binds_alone", {"true", "false"});
  one_of("report.how", {"inline", "on_probe", "off"});
  // The further rules: one that is half stated would be half kept.
  const auto from_to = [&](const std::string& key, double least, double most) {
    if (!reader.has(key)) return;
    const double v = reader.number(key);
    if (v < least || v > most) throw SettingError(key, "out of range: " + reader.text(key));
  };
  from_to("rules.drain_grace_ms", 0, 3.6e6);
  from_to("rules.resend_span_ms", 1, 3.6e6);
  from_to("rules.budget_free", 0, 1e6);
  from_to("rules.resend_ratio", 0, 1e3);
  from_to("rules.settle_after_doubt_ms", 0, 3.6e6);
  for (const char* key : {"rules.budget_free", "rules.resend_ratio"}) {
    if (reader.has(key) && !reader.has("rules.resend_span_ms"))
      throw SettingError(key, "stated without rules.resend_span_ms");
  }
  for (int i = 0; i < reader.number("tracks.count"); ++i)
    one_of(("tracks." + std::to_string(i) + ".in_turn").c_str(), {"true", "false"});
}

void check_settings(Config& out) {
  check_optional(out.settings);
  // The platform's protocol has no reports of load and no messages between sidecars: the module is
  // not to count on any.
  out.settings.insert_or_assign("allowed.may_tell", "false");
  out.settings.insert_or_assign("report.how", "off");
  number_zone(out.settings);
  const Balancer tried(out.settings, out.seed, TimePoint());
  const SettingsReader settings(out.settings);
  const auto positive = [&](const std::string& key) {
    const Span v = settings.span(key);
    if (v <= Span() || v > Span::ms(3.6e6)) throw SettingError(key, "out of range: " + settings.text(key));
    return v;
  };
  out.connect_timeout = positive("allowed.connect_timeout_ms");
  out.idle_close = positive("allowed.idle_close_ms");
  if (settings.has("rules.drain_grace_ms")) out.drain_grace = settings.span("rules.drain_grace_ms");
  for (int i = 0; i < settings.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    out.longest_timeout = std::max(out.longest_timeout, positive(at + "client_timeout_ms"));
    settings.text(at + "name");
  }
}

}  // namespace

Config read(std::string_view text, const Environment& environment) {
  json::Value root;
  try {
    root = json::parse(text);
  } catch (const json::ParseError& e) {
    throw ConfigError("configuration", std::string("no JSON: ") + e.what());
  }
  if (!root.is(Kind::object)) throw ConfigError("configuration", "no object");
  Config out;
  out.name = text_of(root, "name", "EDGE_NAME", environment);
  out.listen = address_of(root, "listen", "EDGE_LISTEN", environment);
  out.discovery = address_of(root, "discovery", "EDGE_DISCOVERY", environment);
  out.admin = admin_of(root, environment);
  if (!out.admin.empty() && out.admin == out.listen && !out.admin.ends_with(":0"))
    throw ConfigError("admin_addr", "is that of callers: '" + out.admin + "'");
  out.seed = seed_of(root);
  if (const json::Value* limits = root.find("limits")) {
    if (!limits->is(Kind::object)) throw ConfigError("limits", "no object");
    out.sockets = static_cast<std::size_t>(
        figure_of(*limits, "limits.", "sockets", static_cast<double>(out.sockets), sockets_least, 1e7));
    out.memory =
        static_cast<std::size_t>(figure_of(*limits, "limits.", "memory_mb",
                                           static_cast<double>(out.memory >> 20U), memory_least, 1e6) *
                                 (1U << 20U));
    out.request_most =
        Span::ms(figure_of(*limits, "limits.", "request_ms", out.request_most.as_ms(), 1, 3.6e6));
    out.idle_most =
        Span::ms(figure_of(*limits, "limits.", "caller_idle_ms", out.idle_most.as_ms(), 1, 3.6e6));
  }
  if (const json::Value* state = root.find("state")) {
    if (!state->is(Kind::text) || state->text.empty()) throw ConfigError("state", "no path");
    out.state = state->text;
  }
  if (const json::Value* restart = root.find("restart")) {
    if (!restart->is(Kind::object)) throw ConfigError("restart", "no object");
    out.snapshot_every = Span::ms(figure_of(*restart, "restart.", "snapshot_ms", 5000, 100, 600000));
    out.part_with = figure_of(*restart, "restart.", "part_with_per_s", 0, 0, 1);
    out.ask_over = Span::ms(figure_of(*restart, "restart.", "ask_over_ms", 0, 0, 60000));
  }
  const json::Value* known = root.find("known");
  if (known == nullptr) throw ConfigError("known", "missing");
  try {
    out.known = discovery::parse_endpoint_list(*known);
  } catch (const discovery::EndpointListError& e) {
    throw ConfigError("known", e.what());
  }
  const json::Value* settings = root.find("settings");
  if (settings == nullptr || !settings->is(Kind::object))
    throw ConfigError("settings", "missing or no object");
  flatten(out.settings, "", *settings);
  try {
    check_settings(out);
  } catch (const SettingError& e) {
    const std::string why =
        std::string(e.what()).substr(std::min(e.key.size() + 2, std::string(e.what()).size()));
    throw ConfigError("settings." + platform_name(e.key), why);
  }
  return out;
}

Config load(const std::string& path, const Environment& environment) {
  const char* named = environment("EDGE_CONFIG");
  const std::string file = !path.empty() ? path : named == nullptr ? "" : named;
  if (file.empty()) throw ConfigError("configuration", "no file given, and EDGE_CONFIG is not set");
  std::ifstream in(file, std::ios::binary);
  if (!in) throw ConfigError("configuration", "cannot be read: " + file);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  return read(text, environment);
}

std::string waits_for_start(const Config& in_force, const Config& read_again) {
  std::string out;
  const auto note = [&](bool same, const char* key) {
    if (!same) out += (out.empty() ? "" : ", ") + std::string(key);
  };
  note(in_force.name == read_again.name, "name");
  note(in_force.listen == read_again.listen, "listen");
  note(in_force.admin == read_again.admin, "admin_addr");
  note(in_force.state == read_again.state, "state");
  note(in_force.snapshot_every == read_again.snapshot_every && in_force.ask_over == read_again.ask_over &&
           in_force.part_with == read_again.part_with,
       "restart");
  note(in_force.memory == read_again.memory, "limits.memory_mb");
  note(in_force.sockets == read_again.sockets, "limits.sockets");
  note(in_force.settings == read_again.settings, "settings");
  return out;
}

}  // namespace chutevane::config
