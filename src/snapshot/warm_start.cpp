#include "snapshot/warm_start.hpp"

#include <algorithm>
#include <cstdio>
#include <map>

namespace chutevane::snapshot {
namespace {

// Half of the window that the balancer's latency estimate looks back. Restored times count as measured at the
// start, so that none outlives its measurement by more than a window and a half.
constexpr Span max_age_of_times = Span::ms(5000);
// Load drifts by a few percent in a minute, and bursts come and go within some: limits and rates that are
// older are of another load.
constexpr Span max_age_of_load = Span::ms(60000);
// Machines and their work stay alike over a restart or a move, not over a night.
constexpr Span max_age_of_latencies = Span::ms(900000);
// With fewer of the endpoints of that time the limit was another fleet's.
constexpr double min_common_endpoints = 0.5;

std::string summary(const WarmStart& warm_start, bool has_limit, bool is_other_fleet) {
  const bool is_exact = warm_start.age.confidence == AgeConfidence::exact;
  char text[160];
  std::snprintf(text, sizeof text, "%.1f s old%s: %zu endpoints, %s, %s",
                warm_start.age.duration.as_ms() / 1000.0, is_exact ? "" : " by Unix time",
                warm_start.endpoints.size(),
                has_limit        ? "its limit"
                : is_other_fleet ? "no limit, of another fleet"
                                 : "no limit",
                warm_start.load.times_ms.back() > 0.0 ? "its times" : "no times");
  return text;
}

}  // namespace

WarmStart cold_start(const std::string& reason) {
  WarmStart result;
  result.load.are_budgets_spent = true;
  result.reason = "nothing remembered counts, all is learnt anew: " + reason;
  return result;
}

WarmStart evaluate(const Snapshot& snapshot, const ProcessContext& context) {
  if (snapshot.sidecar_name != context.sidecar_name)
    return cold_start("it is of sidecar '" + snapshot.sidecar_name + "'");
  if (snapshot.deployment != context.deployment)
    return cold_start("it is of deployment '" + snapshot.deployment + "', this is '" + context.deployment +
                      "'");
  WarmStart result;
  result.age = age_of(snapshot.written_at, context.now);
  if (result.age.confidence == AgeConfidence::unknown) return cold_start("its age cannot be known");
  if (result.age.duration > max_age_of_latencies) return cold_start("it is too old");
  result.endpoints = snapshot.endpoints;
  std::erase_if(result.endpoints, [](const EndpointRecord& record) { return record.latency_ms <= 0.0; });
  result.is_list_usable = snapshot.endpoint_list.full;
  const bool is_exact = result.age.confidence == AgeConfidence::exact;
  const bool is_other_fleet = snapshot.sidecar_count != context.sidecar_count;
  const bool has_limit = is_exact && result.age.duration <= max_age_of_load && !is_other_fleet;
  if (has_limit) {
    result.load.limit = snapshot.load.limit;
    result.load.rate = snapshot.load.rate;
    result.load.late_fraction = snapshot.load.late_fraction;
    result.load.is_on_trial = true;
  }
  if (is_exact && result.age.duration <= max_age_of_times) result.load.times_ms = snapshot.load.times_ms;
  // A process that was killed may have spent its budgets after its last snapshot. Without this rule one that
  // keeps crashing would have a full budget with each start.
  result.load.are_budgets_spent = true;
  if (is_exact && snapshot.is_clean_shutdown) result.load.retry_tokens = snapshot.load.retry_tokens;
  result.reason = summary(result, has_limit, is_other_fleet);
  return result;
}

WarmStart restrict_to_list(WarmStart warm_start, const discovery::EndpointList& list) {
  std::map<std::string, const discovery::EndpointEntry*> ready_entries;
  for (const discovery::EndpointEntry& entry : list.entries) {
    if (entry.availability == Availability::ready) ready_entries[entry.id] = &entry;
  }
  const double before = static_cast<double>(warm_start.endpoints.size());
  std::erase_if(warm_start.endpoints, [&](const EndpointRecord& record) {
    const auto found = ready_entries.find(record.name);
    return found == ready_entries.end() || found->second->address != record.address ||
           found->second->came_up != record.started_at;
  });
  const double common = before > 0.0 ? static_cast<double>(warm_start.endpoints.size()) / before : 0.0;
  warm_start.load.limit *= common >= min_common_endpoints ? common : 0.0;
  return warm_start;
}

const discovery::EndpointList& newer_list(const discovery::EndpointList& configured, const Snapshot& snapshot,
                                          const WarmStart& warm_start) {
  return warm_start.is_list_usable && snapshot.endpoint_list.version > configured.version
             ? snapshot.endpoint_list
             : configured;
}

}  // namespace chutevane::snapshot
