#include "snapshot/evidence.hpp"

#include <algorithm>
#include <cstdio>
#include <map>

namespace chutevane::snapshot {
namespace {

// Half of the window that the module's estimate looks back (the design page's): what is taken over counts as
// of the start, so that it is gone at most a window and a half after it was measured.
constexpr Span times_for = Span::ms(5000);
// Load moves by a few percent in a minute, a burst comes and goes in some: older limits and rates are of
// another load.
constexpr Span load_for = Span::ms(60000);
// Machines and their work stay what they are over a restart or a move, not over a night.
constexpr Span latency_for = Span::ms(900000);
// With fewer of the endpoints than this that were there then, the limit was another fleet's.
constexpr double same_least = 0.5;

}  // namespace

Evidence nothing(const std::string& why) {
  Evidence out;
  out.carried.budgets_spent = true;
  out.why = "nothing remembered counts, all is learnt anew: " + why;
  return out;
}

Evidence judge(const Content& c, const Situation& here) {
  if (c.owner != here.owner) return nothing("it is of sidecar '" + c.owner + "'");
  if (c.deployment != here.deployment)
    return nothing("it is of deployment '" + c.deployment + "', this is '" + here.deployment + "'");
  Evidence out;
  out.age = age(c.written, here.now);
  if (out.age.surety == Surety::unknown) return nothing("its age cannot be known");
  if (out.age.span > latency_for) return nothing("it is too old");
  out.endpoints = c.endpoints;
  std::erase_if(out.endpoints, [](const Remembered& r) { return r.latency_ms <= 0.0; });
  out.list = c.list.full;
  const bool sure = out.age.surety == Surety::sure;
  const bool load = sure && out.age.span <= load_for && c.sidecars == here.sidecars;
  if (load) {
    out.carried.limit = c.carried.limit;
    out.carried.rate = c.carried.rate;
    out.carried.late_part = c.carried.late_part;
    out.carried.on_trial = true;
  }
  if (sure && out.age.span <= times_for) out.carried.times_ms = c.carried.times_ms;
  // A process that was killed may have spent what it had after its last snapshot. Guards budgets against
  // being had twice by dying often.
  out.carried.budgets_spent = true;
  if (sure && c.ended) out.carried.retry_tokens = c.carried.retry_tokens;
  char text[160];
  std::snprintf(text, sizeof text, "%.1f s old%s: %zu endpoints, %s, %s", out.age.span.as_ms() / 1000.0,
                sure ? "" : " by Unix time", out.endpoints.size(),
                load                          ? "its limit"
                : c.sidecars != here.sidecars ? "no limit, of another fleet"
                                              : "no limit",
                out.carried.times_ms.back() > 0.0 ? "its times" : "no times");
  out.why = text;
  return out;
}

Evidence against(Evidence evidence, const discovery::EndpointList& list) {
  std::map<std::string, const discovery::EndpointEntry*> at;
  for (const discovery::EndpointEntry& e : list.entries) {
    if (e.availability == Availability::ready) at[e.id] = &e;
  }
  const double before = static_cast<double>(evidence.endpoints.size());
  std::erase_if(evidence.endpoints, [&](const Remembered& r) {
    const auto found = at.find(r.name);
    return found == at.end() || found->second->address != r.address || found->second->came_up != r.came_up;
  });
  const double same = before > 0.0 ? static_cast<double>(evidence.endpoints.size()) / before : 0.0;
  evidence.carried.limit *= same >= same_least ? same : 0.0;
  return evidence;
}

const discovery::EndpointList& newer(const discovery::EndpointList& given, const Content& content,
                                     const Evidence& evidence) {
  return evidence.list && content.list.version > given.version ? content.list : given;
}

}  // namespace chutevane::snapshot
