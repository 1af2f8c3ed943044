/// The printed form of a snapshot, for `chutevane state show`.
#include <algorithm>
#include <cstdio>

#include "snapshot/snapshot_format.hpp"

namespace chutevane::snapshot {
namespace {

constexpr std::size_t value_column = 18;

std::string line(std::string_view name, const std::string& value) {
  const std::size_t padding = value_column - std::min(value_column - 1, name.size());
  return std::string(name) + std::string(padding, ' ') + value + "\n";
}

std::string formatted(const char* format, double value) {
  char text[40];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

std::string describe_age(const Age& age) {
  if (age.confidence == AgeConfidence::unknown) return "cannot be known: worth nothing";
  return formatted("%.1f s", age.duration.as_ms() / 1000.0) +
         (age.confidence == AgeConfidence::estimated ? ", by Unix time over a start of the machine" : "");
}

std::string describe_p95(const LearnedLoad& load) {
  if (load.times_ms.back() <= 0.0) return "not measured";
  return formatted("%.1f ms", load.times_ms[load.times_ms.size() * 95 / 100]);
}

}  // namespace

std::string describe(const Snapshot& snapshot, const ClockReading& now) {
  const LearnedLoad& load = snapshot.load;
  const discovery::EndpointList& list = snapshot.endpoint_list;
  std::string out = line("sidecar", snapshot.sidecar_name);
  out += line("deployment", snapshot.deployment + ", one of " + std::to_string(snapshot.sidecar_count));
  out += line("life", std::to_string(snapshot.incarnation) +
                          (snapshot.is_clean_shutdown ? ", ended when told to" : ""));
  out += line("age", describe_age(age_of(snapshot.written_at, now)));
  out += line("limit", formatted("%.1f calls in flight", load.limit));
  out += line("rate", formatted("%.1f calls/s", load.rate));
  out += line("late", formatted("%.1f%% of the last answers", 100.0 * load.late_fraction));
  out += line("retries in hand", formatted("%.1f", load.retry_tokens));
  out += line("p95", describe_p95(load));
  out += line("list", "version " + std::to_string(list.version) + ", " + std::to_string(list.entries.size()) +
                          " endpoints" + (list.full ? "" : ", cut"));
  for (const EndpointRecord& record : snapshot.endpoints) {
    out += "  " + record.name + "  " + record.address + "  " +
           (record.latency_ms > 0.0 ? formatted("%.2f ms", record.latency_ms) : "unheard") + "\n";
  }
  return out;
}

}  // namespace chutevane::snapshot
