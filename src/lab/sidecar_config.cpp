#include "lab/sidecar_config.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/timeline.hpp"

namespace chutevane::lab {
namespace {

using nlohmann::json;

const char* effect_name(TrackEffect e) {
  return e == TrackEffect::replayable ? "safe" : e == TrackEffect::referenced ? "keyed" : "unsafe";
}

const char* scope_name(Scope s) { return s == Scope::all ? "all" : s == Scope::zone ? "zone" : "cell"; }

json classes_of(const Experiment& e) {
  json out = json::array();
  for (const TrackSpec& t : e.tracks) {
    out.push_back({{"name", t.name},
                   {"target_ms", t.soft_limit.as_ms()},
                   {"give_up_ms", t.client_timeout.as_ms()},
                   {"points", t.payoff},
                   {"late_share", t.late_payoff},
                   {"effect", effect_name(t.effect)},
                   {"key_scope", scope_name(t.scope)},
                   {"memory_span_ms", t.remembered.as_ms()}});
    if (t.in_turn) out.back()["in_turn"] = true;
  }
  return out;
}

}  // namespace

std::string sidecar_config(const Experiment& e, const SidecarConfig& c) {
  const TierSpec& tier = e.tiers[c.tier];
  char seed[20];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(c.seed));
  json settings;
  settings["tier"] = c.tier;
  settings["n_instances"] = sidecars_of(e, c.tier);
  settings["discovery"] = "automatic";
  settings["zone"] = tier.zones[c.place % tier.zones.size()];
  settings["zones"] = tier.zones;
  settings["client_habits"] = {{"marks_retry", e.callers.marks_repeats}};
  settings["allowed"] = {{"probes", false},
                         {"cancel", e.allowed.cancel},
                         {"may_duplicate", e.allowed.copies},
                         {"retry_after", e.allowed.retry_after},
                         {"max_retry_after_ms", e.allowed.most_retry_after.as_ms()},
                         {"max_attempts", e.allowed.dispatches},
                         {"connect_timeout_ms", e.allowed.connect_timeout.as_ms()},
                         {"idle_close_ms", tier.idle_close.as_ms()}};
  settings["rules"] = {{"cold_share", e.rules.cold_share},
                       {"fall_multiple", e.rules.fall_multiple},
                       {"fall_ms", e.rules.fall_window.as_ms()},
                       {"warm_after_ms", e.rules.warm_after.as_ms()},
                       {"settle_after_doubt_ms", e.rules.settle_after_doubt.as_ms()}};
  if (e.rules.resend_span > Span()) {
    settings["rules"]["resend_span_ms"] = e.rules.resend_span.as_ms();
    settings["rules"]["budget_free"] = e.rules.budget_free;
    settings["rules"]["resend_ratio"] = e.rules.resend_ratio;
  }
  settings["classes"] = classes_of(e);
  json out = {{"name", c.name},
              {"listen", c.listen},
              {"discovery", c.discovery},
              {"seed", seed},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 4096}}},
              {"known", json::parse(c.known)},
              {"settings", settings}};
  if (!c.state.empty()) out["state"] = c.state;
  if (!c.state.empty() || e.restart.ask_over > Span() || e.restart.part_with > 0.0)
    out["restart"] = {{"snapshot_ms", e.restart.snapshot_every.as_ms()},
                      {"part_with_per_s", e.restart.part_with},
                      {"ask_over_ms", e.restart.ask_over.as_ms()}};
  return out.dump(1) + "\n";
}

std::string operator_file(const Experiment& e, const SidecarConfig& c,
                          const std::vector<std::string>& discovery) {
  std::ostringstream out;
  out << "name = '" << c.name << "'\n[calls]\nclient_header = 'X-Client'\n[limits]\nsockets = 4096\n"
      << "[[listener]]\naddress = '" << c.listen << "'\n";
  for (const TrackSpec& t : e.tracks) {
    const char* effect = t.effect == TrackEffect::replayable   ? "replayable"
                         : t.effect == TrackEffect::referenced ? "referenced"
                                                               : "single-use";
    out << "[[track]]\nname = '" << t.name << "'\neffect = '" << effect
        << "'\nsoft_limit_ms = " << t.soft_limit.as_ms()
        << "\nclient_timeout_ms = " << t.client_timeout.as_ms() << "\npayoff = " << t.payoff
        << "\nlate_payoff = " << t.late_payoff << "\nrepeat_group = '" << scope_name(t.scope)
        << "'\nrepeat_window_ms = " << t.remembered.as_ms() << "\n[[route]]\nservice = 'lab'\ntrack = '"
        << t.name << "'\nheader = [{ name = 'X-Priority-Class', value = '" << t.name << "' }]\n";
  }
  std::string pools;
  for (std::size_t i = 0; i < e.tiers.size(); ++i) {
    const TierSpec& t = e.tiers[i];
    out << "[[pool]]\nname = '" << t.name << "'\ndiscovery = '" << discovery[i]
        << "'\nsidecars = " << sidecars_of(e, 0)
        << "\ncarries_per_s = " << t.carries_per_s / static_cast<double>(sidecars_of(e, 0))
        << "\nmax_dispatches = " << e.allowed.dispatches
        << "\nconnect_timeout_ms = " << e.allowed.connect_timeout.as_ms()
        << "\nidle_close_ms = " << t.idle_close.as_ms()
        << "\nmax_retry_after_ms = " << e.allowed.most_retry_after.as_ms()
        << "\ncold_share = " << e.rules.cold_share << "\nwarm_after_ms = " << e.rules.warm_after.as_ms()
        << "\nfall_multiple = " << e.rules.fall_multiple << "\nfall_ms = " << e.rules.fall_window.as_ms()
        << "\n";
    pools += (i == 0 ? "'" : ", '") + t.name + "'";
  }
  out << "[[service]]\nname = 'lab'\npools = [" << pools << "]\n" << e.service << "\n";
  return out.str();
}

}  // namespace chutevane::lab
