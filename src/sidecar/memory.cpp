#include "sidecar/memory.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

#include "base/log.hpp"
#include "base/settings_reader.hpp"
#include "json/value.hpp"

namespace chutevane::sidecar {
namespace {

using Kind = json::Value::Kind;

constexpr double form = 1;                    // of the file
constexpr Span fresh_for = Span::ms(900000);  // a quarter of an hour: a restart or a move, not a night
constexpr Span ahead_most = Span::ms(60000);  // a clock set back by more has written something else
constexpr double latency_most = 3.6e6;        // ms

const json::Value& member(const json::Value& of, const char* name, Kind kind) {
  const json::Value* found = of.find(name);
  if (found == nullptr || !found->is(kind))
    throw MemoryError(std::string(name) + ": missing or of the wrong kind");
  return *found;
}

}  // namespace

std::string deployment_of(const Settings& settings) {
  const SettingsReader reader(settings);
  std::string out = "tier " + reader.text("tier") + ":";
  for (int i = 0; i < reader.number("tracks.count"); ++i)
    out += (i > 0 ? "," : " ") + reader.text("tracks." + std::to_string(i) + ".name");
  return out;
}

namespace {

void write_endpoints(json::Writer& out, const std::vector<Remembered>& known, const std::string& deployment,
                     TimePoint now) {
  const auto whole = [](double v) { return static_cast<std::uint64_t>(std::max(0.0, v)); };
  out.key("form").number(whole(form)).key("deployment").text(deployment);
  out.key("written_ms").number(whole(now.as_ms())).key("endpoints").open('[');
  for (const Remembered& r : known) {
    out.open('{').key("id").text(r.name).key("started_ms").number(whole(r.came_up.as_ms()));
    out.key("latency_us").number(whole(r.latency_ms * 1000.0)).close('}');
  }
  out.close(']');
}

std::vector<Remembered> read_endpoints(const json::Value& root, const std::string& deployment,
                                       TimePoint now) {
  if (member(root, "form", Kind::number).number != form) throw MemoryError("form: not this program's");
  const std::string& whose = member(root, "deployment", Kind::text).text;
  if (whose != deployment) throw MemoryError("deployment: '" + whose + "', this is '" + deployment + "'");
  const TimePoint written = TimePoint::at_ms(std::min(member(root, "written_ms", Kind::number).number, 1e14));
  if (now - written > fresh_for || written - now > ahead_most)
    throw MemoryError("written_ms: too long ago, or to come");
  std::vector<Remembered> out;
  for (const json::Value& one : member(root, "endpoints", Kind::list).items) {
    const double us = member(one, "latency_us", Kind::number).number;
    const double started = member(one, "started_ms", Kind::number).number;
    if (!(us > 0.0 && us / 1000.0 <= latency_most)) throw MemoryError("latency_us: out of range");
    if (!(started >= 0.0 && started <= 1e14)) throw MemoryError("started_ms: out of range");
    out.push_back({member(one, "id", Kind::text).text, TimePoint::at_ms(started), us / 1000.0});
  }
  return out;
}

json::Value parsed(std::string_view text) {
  try {
    return json::parse(text);
  } catch (const json::ParseError& e) {
    throw MemoryError(std::string("no JSON: ") + e.what());
  }
}

}  // namespace

std::string write_memory(const std::vector<Remembered>& known, const std::string& deployment, TimePoint now) {
  json::Writer out;
  out.open('{');
  write_endpoints(out, known, deployment, now);
  return out.close('}').result();
}

std::vector<Remembered> read_memory(std::string_view text, const std::string& deployment, TimePoint now) {
  return read_endpoints(parsed(text), deployment, now);
}

std::string write_handed(const Handed& handed, const std::string& deployment, TimePoint now) {
  json::Writer out;
  out.open('{');
  write_endpoints(out, handed.known, deployment, now);
  out.key("carried").open('{').key("limit").real(handed.carried.limit).key("rate").real(handed.carried.rate);
  out.key("late_part").real(handed.carried.late_part);
  out.key("retry_tokens").real(handed.carried.retry_tokens).close('}').key("list");
  discovery::write_list(out, handed.list);
  return out.close('}').result();
}

Handed read_handed(std::string_view text, const std::string& deployment, TimePoint now) {
  const json::Value root = parsed(text);
  Handed out;
  out.known = read_endpoints(root, deployment, now);
  const json::Value& carried = member(root, "carried", Kind::object);
  const auto figure = [&](const char* name, double most) {
    const double v = member(carried, name, Kind::number).number;
    if (!(v >= 0.0 && v <= most)) throw MemoryError(std::string(name) + ": out of range");
    return v;
  };
  out.carried = {figure("limit", 1e7), figure("rate", 1e7), figure("late_part", 1.0),
                 figure("retry_tokens", 1e4)};
  try {
    out.list = discovery::read_list(member(root, "list", Kind::object));
  } catch (const discovery::ListError& e) {
    throw MemoryError(std::string("list: ") + e.what());
  }
  return out;
}

bool save_memory(const std::string& path, const std::string& text) {
  const std::string beside = path + ".new";
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (out && std::rename(beside.c_str(), path.c_str()) == 0) return true;
  log_line("state: cannot be written to %s: %s", path.c_str(), std::strerror(errno));
  return false;
}

}  // namespace chutevane::sidecar
