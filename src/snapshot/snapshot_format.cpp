#include "snapshot/snapshot_format.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "base/settings_reader.hpp"
#include "json/value.hpp"

namespace chutevane::snapshot {
namespace {

using Kind = json::Value::Kind;

constexpr unsigned format_version = 2;
constexpr std::size_t max_header_bytes = 64;  // of the first line

// Bounds of what is believed.
constexpr double max_sidecars = 1e6;
constexpr double max_incarnations = 1e15;
constexpr double max_calls = 1e7;  // in flight, or a second
constexpr double max_retry_tokens = 1e4;
constexpr double max_latency_ms = 3.6e6;
constexpr double max_time_ms = 1e14;

const json::Value& member(const json::Value& object, const char* name, Kind kind) {
  const json::Value* found = object.find(name);
  if (found == nullptr || !found->is(kind))
    throw FormatError(std::string(name) + ": missing or of the wrong kind");
  return *found;
}

double number_member(const json::Value& object, const char* name, double max) {
  const double number = member(object, name, Kind::number).number;
  if (!(number >= 0.0 && number <= max)) throw FormatError(std::string(name) + ": out of range");
  return number;
}

std::string header_of(std::string_view body) {
  char line[max_header_bytes];
  const int size =
      std::snprintf(line, sizeof line, "chutevane-state %u %zu %016llx\n", format_version, body.size(),
                    static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return {line, static_cast<std::size_t>(size)};
}

void write_load(json::Writer& out, const LearnedLoad& load) {
  out.key("carried").open('{').key("limit").real(load.limit).key("rate").real(load.rate);
  out.key("late_part").real(load.late_fraction).key("retry_tokens").real(load.retry_tokens);
  out.key("times_ms").open('[');
  for (const double ms : load.times_ms) out.real(ms);
  out.close(']').close('}');
}

// The first `endpoint_count` endpoints, and the first `entry_count` entries of the list.
std::string body_of(const Snapshot& snapshot, std::size_t endpoint_count, std::size_t entry_count) {
  json::Writer out;
  out.open('{').key("owner").text(snapshot.sidecar_name).key("deployment").text(snapshot.deployment);
  out.key("sidecars").number(snapshot.sidecar_count).key("life").number(snapshot.incarnation);
  out.key("ended").truth(snapshot.is_clean_shutdown);
  out.key("written").open('{').key("boot").text(snapshot.written_at.boot_id);
  out.key("up_ms").real(snapshot.written_at.uptime.as_ms());
  out.key("unix_ms").real(snapshot.written_at.unix_time.as_ms()).close('}');
  write_load(out, snapshot.load);
  out.key("endpoints").open('[');
  for (std::size_t i = 0; i < endpoint_count; ++i) {
    const EndpointRecord& record = snapshot.endpoints[i];
    out.open('{').key("id").text(record.name).key("addr").text(record.address);
    out.key("started_ms").real(record.started_at.as_ms()).key("latency_ms").real(record.latency_ms);
    out.close('}');
  }
  out.close(']').key("list");
  const std::vector<discovery::EndpointEntry>& entries = snapshot.endpoint_list.entries;
  discovery::EndpointList list;
  list.version = snapshot.endpoint_list.version;
  list.entries.assign(entries.begin(), entries.begin() + static_cast<long>(entry_count));
  // A list that was cut is none to start from.
  list.full = entry_count == entries.size() && snapshot.endpoint_list.full;
  discovery::write_endpoint_list(out, list);
  return out.close('}').result();
}

// The JSON of a text whose header matches it.
json::Value parse_body(std::string_view text) {
  if (text.size() > max_snapshot_bytes) throw FormatError("state: larger than a state is");
  const std::size_t end = text.substr(0, max_header_bytes).find('\n');
  if (end == std::string_view::npos || !text.starts_with("chutevane-state "))
    throw FormatError("state: not this program's");
  const std::string_view body = text.substr(end + 1);
  if (text.substr(0, end + 1) != header_of(body))
    throw FormatError("state: cut off or changed, or of another form");
  try {
    return json::parse(body);
  } catch (const json::ParseError& e) {
    throw FormatError(std::string("state: no JSON: ") + e.what());
  }
}

LearnedLoad read_load(const json::Value& object) {
  LearnedLoad load;
  load.limit = number_member(object, "limit", max_calls);
  load.rate = number_member(object, "rate", max_calls);
  load.late_fraction = number_member(object, "late_part", 1.0);
  load.retry_tokens = number_member(object, "retry_tokens", max_retry_tokens);
  const json::Value& times = member(object, "times_ms", Kind::list);
  if (times.items.size() != load.times_ms.size()) throw FormatError("times_ms: not as many as there are");
  for (std::size_t i = 0; i < times.items.size(); ++i) {
    const json::Value& time = times.items[i];
    if (!time.is(Kind::number) || !(time.number >= 0.0 && time.number <= max_latency_ms))
      throw FormatError("times_ms: out of range");
    load.times_ms[i] = time.number;
  }
  return load;
}

}  // namespace

std::string deployment_name(const Settings& settings) {
  const SettingsReader reader(settings);
  std::string name = "tier " + reader.text("tier") + ":";
  for (int i = 0; i < reader.number("tracks.count"); ++i)
    name += (i > 0 ? "," : " ") + reader.text("tracks." + std::to_string(i) + ".name");
  return name;
}

std::string serialize(const Snapshot& snapshot) {
  std::size_t endpoint_count = snapshot.endpoints.size();
  std::size_t entry_count = snapshot.endpoint_list.entries.size();
  std::string body = body_of(snapshot, endpoint_count, entry_count);
  while (body.size() + max_header_bytes > max_snapshot_bytes && endpoint_count + entry_count > 0) {
    endpoint_count /= 2;
    entry_count /= 2;
    body = body_of(snapshot, endpoint_count, entry_count);
  }
  return header_of(body) + body;
}

Snapshot parse(std::string_view text) {
  const json::Value root = parse_body(text);
  Snapshot snapshot;
  snapshot.sidecar_name = member(root, "owner", Kind::text).text;
  snapshot.deployment = member(root, "deployment", Kind::text).text;
  snapshot.sidecar_count = static_cast<std::uint32_t>(number_member(root, "sidecars", max_sidecars));
  snapshot.incarnation = static_cast<std::uint64_t>(number_member(root, "life", max_incarnations));
  snapshot.is_clean_shutdown = member(root, "ended", Kind::boolean).flag;
  const json::Value& written = member(root, "written", Kind::object);
  snapshot.written_at = {member(written, "boot", Kind::text).text,
                         Span::ms(number_member(written, "up_ms", max_time_ms)),
                         TimePoint::at_ms(number_member(written, "unix_ms", max_time_ms))};
  snapshot.load = read_load(member(root, "carried", Kind::object));
  for (const json::Value& endpoint : member(root, "endpoints", Kind::list).items) {
    snapshot.endpoints.push_back({member(endpoint, "id", Kind::text).text,
                                  member(endpoint, "addr", Kind::text).text,
                                  TimePoint::at_ms(number_member(endpoint, "started_ms", max_time_ms)),
                                  number_member(endpoint, "latency_ms", max_latency_ms)});
  }
  try {
    snapshot.endpoint_list = discovery::parse_endpoint_list(member(root, "list", Kind::object));
  } catch (const discovery::EndpointListError& e) {
    throw FormatError(std::string("list: ") + e.what());
  }
  return snapshot;
}

}  // namespace chutevane::snapshot
