#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <initializer_list>
#include <iterator>

#include "base/settings_reader.hpp"
#include "chutevane/balancer.hpp"
#include "config/setting_names.hpp"
#include "net/socket.hpp"

namespace chutevane::config {
namespace {

using Kind = json::Value::Kind;

constexpr double max_span_ms = 3.6e6;   // an hour
constexpr double min_memory_mb = 8;     // the program alone takes some 5
constexpr double min_descriptors = 64;  // fewer leave nothing beside the reserve

/// Flattens nested settings: the items of a list become .0, .1, ..., their number .count; a list of plain
/// values becomes one text with commas.
void flatten(Settings& into, const std::string& key, const json::Value& value) {
  const auto put = [&](std::string_view text) { put_setting(into, key, text); };
  const std::string prefix = key.empty() ? key : key + ".";
  switch (value.kind) {
    case Kind::null: return;
    case Kind::boolean: return put(value.flag ? "true" : "false");
    case Kind::number:
    case Kind::text: return put(value.text);
    case Kind::object:
      for (const auto& [name, member] : value.members) flatten(into, prefix + name, member);
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

/// From the file, or from the environment where the file does not have the key.
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
  std::string out = text_of(root, key, variable, env);
  if (!net::parse_address(out)) throw ConfigError(key, "no address: '" + out + "'");
  return out;
}

/// Empty: there is to be no admin address.
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
  const auto parsed = std::from_chars(found->text.data(), end, out, found->is(Kind::text) ? 16 : 10);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    throw ConfigError("seed", "no number: '" + found->text + "'");
  return out;
}

/// `prefix`: of the key in messages.
double number_or(const json::Value& of, const char* prefix, const std::string& key, double fallback,
                 double min, double max) {
  const json::Value* found = of.find(key);
  if (found == nullptr) return fallback;
  if (!found->is(Kind::number) || found->number < min || found->number > max) {
    throw ConfigError(prefix + key, "no number from " + std::to_string(static_cast<long>(min)) + " to " +
                                        std::to_string(static_cast<long>(max)));
  }
  return found->number;
}

/// Replaces a zone's name by its index among the zones, which is what the balancer takes.
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

/// Checks settings that may be left out: the balancer has a default for a missing one, but would take a wrong
/// one for missing.
class OptionalSettings {
 public:
  explicit OptionalSettings(const Settings& settings) : reader_(settings) {}

  void check() const {
    check_whole("me", 0, std::max(1.0, reader_.number("sidecars")) - 1);
    check_whole("allowed.streams_per_conn", 1, 1e6);
    check_flag("allowed.may_tell");
    check_flag("extra.warm_keys");
    check_flag("client_habits.marks_retry");
    check_flag("rules.drain_binds_alone");
    check_one_of("report.how", {"inline", "on_probe", "off"});
    check_further_rules();
    for (int i = 0; i < reader_.number("tracks.count"); ++i)
      check_flag("tracks." + std::to_string(i) + ".in_turn");
  }

 private:
  /// A rule of which only a part is stated would be kept only in part.
  void check_further_rules() const {
    check_range("rules.drain_grace_ms", 0, max_span_ms);
    check_range("rules.resend_span_ms", 1, max_span_ms);
    check_range("rules.budget_free", 0, 1e6);
    check_range("rules.resend_ratio", 0, 1e3);
    check_range("rules.settle_after_doubt_ms", 0, max_span_ms);
    for (const char* key : {"rules.budget_free", "rules.resend_ratio"}) {
      if (reader_.has(key) && !reader_.has("rules.resend_span_ms"))
        throw SettingError(key, "stated without rules.resend_span_ms");
    }
  }
  void check_whole(const std::string& key, double min, double max) const {
    if (!reader_.has(key)) return;
    const double v = reader_.number(key);
    if (v < min || v > max || v != std::floor(v))
      throw SettingError(key, "no whole number from " + std::to_string(static_cast<long>(min)) + " to " +
                                  std::to_string(static_cast<long>(max)));
  }
  void check_range(const std::string& key, double min, double max) const {
    if (!reader_.has(key)) return;
    const double v = reader_.number(key);
    if (v < min || v > max) throw SettingError(key, "out of range: " + reader_.text(key));
  }
  void check_flag(const std::string& key) const { check_one_of(key, {"true", "false"}); }
  void check_one_of(const std::string& key, std::initializer_list<std::string_view> words) const {
    if (!reader_.has(key) || std::find(words.begin(), words.end(), reader_.text(key)) != words.end()) return;
    std::string all;
    for (const std::string_view word : words) all += (all.empty() ? "" : ", ") + std::string(word);
    throw SettingError(key, "'" + reader_.text(key) + "' is none of " + all);
  }

  SettingsReader reader_;
};

/// Completes the settings and takes from them what the sidecar itself needs. Throws SettingError.
void apply_settings(Config& out) {
  OptionalSettings(out.settings).check();
  // The platform's protocol carries no load reports and no messages between sidecars, whatever the settings
  // say.
  out.settings.insert_or_assign("allowed.may_tell", "false");
  out.settings.insert_or_assign("report.how", "off");
  number_zone(out.settings);
  const Balancer trial(out.settings, out.seed, TimePoint());  // checks the rest of the settings
  const SettingsReader settings(out.settings);
  const auto positive_span = [&](const std::string& key) {
    const Span v = settings.span(key);
    if (v <= Span() || v > Span::ms(max_span_ms))
      throw SettingError(key, "out of range: " + settings.text(key));
    return v;
  };
  out.connect_timeout = positive_span("allowed.connect_timeout_ms");
  out.endpoint_idle_close = positive_span("allowed.idle_close_ms");
  if (settings.has("rules.drain_grace_ms")) out.drain_grace = settings.span("rules.drain_grace_ms");
  for (int i = 0; i < settings.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    out.max_client_timeout = std::max(out.max_client_timeout, positive_span(at + "client_timeout_ms"));
    settings.text(at + "name");
  }
}

/// The member of that name, null where it is missing.
const json::Value* find_object(const json::Value& root, const char* key) {
  const json::Value* const found = root.find(key);
  if (found != nullptr && !found->is(Kind::object)) throw ConfigError(key, "no object");
  return found;
}

void read_limits(const json::Value& root, Config& out) {
  const json::Value* const limits = find_object(root, "limits");
  if (limits == nullptr) return;
  const auto number = [&](const char* key, double fallback, double min, double max) {
    return number_or(*limits, "limits.", key, fallback, min, max);
  };
  out.max_descriptors = static_cast<std::size_t>(
      number("sockets", static_cast<double>(out.max_descriptors), min_descriptors, 1e7));
  const double memory_mb =
      number("memory_mb", static_cast<double>(out.max_memory >> 20U), min_memory_mb, 1e6);
  out.max_memory = static_cast<std::size_t>(memory_mb * (1U << 20U));
  out.request_timeout = Span::ms(number("request_ms", out.request_timeout.as_ms(), 1, max_span_ms));
  out.idle_timeout = Span::ms(number("caller_idle_ms", out.idle_timeout.as_ms(), 1, max_span_ms));
}

void read_restart(const json::Value& root, Config& out) {
  if (const json::Value* state = root.find("state")) {
    if (!state->is(Kind::text) || state->text.empty()) throw ConfigError("state", "no path");
    out.state_file = state->text;
  }
  const json::Value* const restart = find_object(root, "restart");
  if (restart == nullptr) return;
  out.snapshot_interval = Span::ms(number_or(*restart, "restart.", "snapshot_ms", 5000, 100, 600000));
  out.rebalance_per_s = number_or(*restart, "restart.", "part_with_per_s", 0, 0, 1);
  out.start_spread = Span::ms(number_or(*restart, "restart.", "ask_over_ms", 0, 0, 60000));
}

void read_known_endpoints(const json::Value& root, Config& out) {
  const json::Value* known = root.find("known");
  if (known == nullptr) throw ConfigError("known", "missing");
  try {
    out.known_endpoints = discovery::parse_endpoint_list(*known);
  } catch (const discovery::EndpointListError& e) {
    throw ConfigError("known", e.what());
  }
}

void read_settings(const json::Value& root, Config& out) {
  const json::Value* settings = root.find("settings");
  if (settings == nullptr || !settings->is(Kind::object))
    throw ConfigError("settings", "missing or no object");
  flatten(out.settings, "", *settings);
  try {
    apply_settings(out);
  } catch (const SettingError& e) {
    const std::string text = e.what();  // "KEY: REASON"
    const std::string reason = text.substr(std::min(e.key.size() + 2, text.size()));
    throw ConfigError("settings." + platform_name(e.key), reason);
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
  out.admin_address = admin_of(root, environment);
  if (!out.admin_address.empty() && out.admin_address == out.listen && !out.admin_address.ends_with(":0"))
    throw ConfigError("admin_addr", "is that of callers: '" + out.admin_address + "'");
  out.seed = seed_of(root);
  read_limits(root, out);
  read_restart(root, out);
  read_known_endpoints(root, out);
  read_settings(root, out);
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

std::string keys_needing_restart(const Config& in_force, const Config& read_again) {
  std::string out;
  const auto note = [&](bool same, const char* key) {
    if (!same) out += (out.empty() ? "" : ", ") + std::string(key);
  };
  note(in_force.name == read_again.name, "name");
  note(in_force.listen == read_again.listen, "listen");
  note(in_force.admin_address == read_again.admin_address, "admin_addr");
  note(in_force.state_file == read_again.state_file, "state");
  note(in_force.snapshot_interval == read_again.snapshot_interval &&
           in_force.start_spread == read_again.start_spread &&
           in_force.rebalance_per_s == read_again.rebalance_per_s,
       "restart");
  note(in_force.max_memory == read_again.max_memory, "limits.memory_mb");
  note(in_force.max_descriptors == read_again.max_descriptors, "limits.sockets");
  note(in_force.settings == read_again.settings, "settings");
  return out;
}

}  // namespace chutevane::config
