#include "snapshot/form.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "base/settings_reader.hpp"
#include "json/value.hpp"

namespace chutevane::snapshot {
namespace {

using Kind = json::Value::Kind;

constexpr unsigned form = 2;
constexpr std::size_t head_most = 64;   // bytes of the first line
constexpr double latency_most = 3.6e6;  // ms
constexpr double time_most = 1e14;      // ms

const json::Value& member(const json::Value& of, const char* name, Kind kind) {
  const json::Value* found = of.find(name);
  if (found == nullptr || !found->is(kind))
    throw FormError(std::string(name) + ": missing or of the wrong kind");
  return *found;
}

double figure(const json::Value& of, const char* name, double most) {
  const double v = member(of, name, Kind::number).number;
  if (!(v >= 0.0 && v <= most)) throw FormError(std::string(name) + ": out of range");
  return v;
}

std::string head_of(std::string_view body) {
  char line[head_most];
  const int size = std::snprintf(line, sizeof line, "chutevane-state %u %zu %016llx\n", form, body.size(),
                                 static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return {line, static_cast<std::size_t>(size)};
}

std::string body_of(const Content& c, std::size_t endpoints, std::size_t entries) {
  json::Writer out;
  out.open('{').key("owner").text(c.owner).key("deployment").text(c.deployment);
  out.key("sidecars").number(c.sidecars).key("life").number(c.life).key("ended").truth(c.ended);
  out.key("written").open('{').key("boot").text(c.written.boot).key("up_ms").real(c.written.up.as_ms());
  out.key("unix_ms").real(c.written.unix_time.as_ms()).close('}');
  out.key("carried").open('{').key("limit").real(c.carried.limit).key("rate").real(c.carried.rate);
  out.key("late_part").real(c.carried.late_part).key("retry_tokens").real(c.carried.retry_tokens);
  out.key("times_ms").open('[');
  for (const double ms : c.carried.times_ms) out.real(ms);
  out.close(']').close('}').key("endpoints").open('[');
  for (std::size_t i = 0; i < endpoints; ++i) {
    const Remembered& r = c.endpoints[i];
    out.open('{').key("id").text(r.name).key("addr").text(r.address);
    out.key("started_ms").real(r.came_up.as_ms()).key("latency_ms").real(r.latency_ms).close('}');
  }
  out.close(']').key("list");
  discovery::EndpointList list;
  list.version = c.list.version;
  list.entries.assign(c.list.entries.begin(), c.list.entries.begin() + static_cast<long>(entries));
  list.full = entries == c.list.entries.size() && c.list.full;  // what was cut is no list to start from
  discovery::write_endpoint_list(out, list);
  return out.close('}').result();
}

}  // namespace

std::string deployment_of(const Settings& settings) {
  const SettingsReader reader(settings);
  std::string out = "tier " + reader.text("tier") + ":";
  for (int i = 0; i < reader.number("tracks.count"); ++i)
    out += (i > 0 ? "," : " ") + reader.text("tracks." + std::to_string(i) + ".name");
  return out;
}

std::string write(const Content& content) {
  std::size_t endpoints = content.endpoints.size(), entries = content.list.entries.size();
  std::string body = body_of(content, endpoints, entries);
  while (body.size() + head_most > text_most && endpoints + entries > 0) {
    endpoints /= 2;
    entries /= 2;
    body = body_of(content, endpoints, entries);
  }
  return head_of(body) + body;
}

Content read(std::string_view text) {
  if (text.size() > text_most) throw FormError("state: larger than a state is");
  const std::size_t end = text.substr(0, head_most).find('\n');
  if (end == std::string_view::npos || !text.starts_with("chutevane-state "))
    throw FormError("state: not this program's");
  const std::string_view body = text.substr(end + 1);
  if (text.substr(0, end + 1) != head_of(body))
    throw FormError("state: cut off or changed, or of another form");
  json::Value root;
  try {
    root = json::parse(body);
  } catch (const json::ParseError& e) {
    throw FormError(std::string("state: no JSON: ") + e.what());
  }
  Content out;
  out.owner = member(root, "owner", Kind::text).text;
  out.deployment = member(root, "deployment", Kind::text).text;
  out.sidecars = static_cast<std::uint32_t>(figure(root, "sidecars", 1e6));
  out.life = static_cast<std::uint64_t>(figure(root, "life", 1e15));
  out.ended = member(root, "ended", Kind::boolean).flag;
  const json::Value& written = member(root, "written", Kind::object);
  out.written = {member(written, "boot", Kind::text).text, Span::ms(figure(written, "up_ms", time_most)),
                 TimePoint::at_ms(figure(written, "unix_ms", time_most))};
  const json::Value& carried = member(root, "carried", Kind::object);
  out.carried.limit = figure(carried, "limit", 1e7);
  out.carried.rate = figure(carried, "rate", 1e7);
  out.carried.late_part = figure(carried, "late_part", 1.0);
  out.carried.retry_tokens = figure(carried, "retry_tokens", 1e4);
  const json::Value& times = member(carried, "times_ms", Kind::list);
  if (times.items.size() != out.carried.times_ms.size())
    throw FormError("times_ms: not as many as there are");
  for (std::size_t i = 0; i < times.items.size(); ++i) {
    const json::Value& one = times.items[i];
    if (!one.is(Kind::number) || !(one.number >= 0.0 && one.number <= latency_most))
      throw FormError("times_ms: out of range");
    out.carried.times_ms[i] = one.number;
  }
  for (const json::Value& one : member(root, "endpoints", Kind::list).items) {
    out.endpoints.push_back({member(one, "id", Kind::text).text, member(one, "addr", Kind::text).text,
                             TimePoint::at_ms(figure(one, "started_ms", time_most)),
                             figure(one, "latency_ms", latency_most)});
  }
  try {
    out.list = discovery::parse_endpoint_list(member(root, "list", Kind::object));
  } catch (const discovery::EndpointListError& e) {
    throw FormError(std::string("list: ") + e.what());
  }
  return out;
}

std::string shown(const Content& c, const Stamp& now) {
  std::string out;
  const auto line = [&](const char* name, const std::string& value) {
    out +=
        name + std::string(18 - std::min<std::size_t>(17, std::string_view(name).size()), ' ') + value + "\n";
  };
  const auto number = [](const char* format, double v) {
    char room[40];
    std::snprintf(room, sizeof room, format, v);
    return std::string(room);
  };
  const Age old = age(c.written, now);
  line("sidecar", c.owner);
  line("deployment", c.deployment + ", one of " + std::to_string(c.sidecars));
  line("life", std::to_string(c.life) + (c.ended ? ", ended when told to" : ""));
  line("age", old.surety == Surety::unknown
                  ? "cannot be known: worth nothing"
                  : number("%.1f s", old.span.as_ms() / 1000.0) +
                        (old.surety == Surety::likely ? ", by Unix time over a start of the machine" : ""));
  line("limit", number("%.1f calls in flight", c.carried.limit));
  line("rate", number("%.1f calls/s", c.carried.rate));
  line("late", number("%.1f%% of the last answers", 100.0 * c.carried.late_part));
  line("retries in hand", number("%.1f", c.carried.retry_tokens));
  line("p95", c.carried.times_ms.back() > 0.0
                  ? number("%.1f ms", c.carried.times_ms[c.carried.times_ms.size() * 95 / 100])
                  : "not measured");
  line("list", "version " + std::to_string(c.list.version) + ", " + std::to_string(c.list.entries.size()) +
                   " endpoints" + (c.list.full ? "" : ", cut"));
  for (const Remembered& r : c.endpoints) {
    out += "  " + r.name + "  " + r.address + "  " +
           (r.latency_ms > 0.0 ? number("%.2f ms", r.latency_ms) : "unheard") + "\n";
  }
  return out;
}

}  // namespace chutevane::snapshot
