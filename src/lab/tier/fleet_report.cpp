// What a run of the tier's processes came to, as a table and as JSON.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "lab/tier/coordination_report.hpp"
#include "lab/tier/fleet.hpp"

namespace chutevane::lab::tier {
namespace {

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

double most(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string line(const char* name, const std::string& value) {
  char text[200];
  std::snprintf(text, sizeof text, "  %-34s %s\n", name, value.c_str());
  return text;
}

template <class... Values>
std::string filled(const char* form, Values... values) {
  char text[300];
  std::snprintf(text, sizeof text, form, values...);
  return text;
}

}  // namespace

std::string table_of(const FleetResult& r) {
  if (!r.started) return "the tier did not come up; its last words:\n" + r.trouble;
  const auto n = [](std::uint64_t v) { return std::to_string(v); };
  const auto count = [&](Rule c) { return r.counts[static_cast<std::size_t>(c)]; };
  std::string out =
      "tier: 3 controllers, 4 storage nodes, 3 edges, up after " + filled("%.0f ms\n", r.up.as_ms());
  out += line("turns asked", n(r.figures.turns_asked));
  out += line("answered whole", n(r.figures.turns_whole));
  out += line("lost (0)", n(count(Rule::lost)));
  out += line("run twice (0)", n(count(Rule::twice)));
  out += line("budgets overrun (0)", n(count(Rule::overrun)));
  out += line("joined or short answers (0)", n(count(Rule::joined)));
  out += line("chains checked, wrong (0)", n(r.figures.chains_checked) + ", " + n(count(Rule::chain)) +
                                               ", the longest of " + n(r.figures.longest_chain));
  out += line("refused and run (0)", n(count(Rule::promised)));
  for (const Rule c :
       {Rule::denied, Rule::invented, Rule::drained, Rule::configuration, Rule::unserved, Rule::crashed}) {
    if (count(c) > 0) out += line(name_of(c), n(count(c)) + " (0)");
  }
  out += line("programs, given up (0)", n(r.load.programs) + ", " + n(r.load.given_up));
  out += line("loops, ended by 402", n(r.load.loops) + ", " + n(r.load.loops_spent));
  out += line("heirs of old turns, answered", n(r.load.heirs) + ", " + n(r.load.heirs_whole));
  out += line("asked for what never was, refused", n(r.load.strangers) + ", " + n(r.load.strangers_refused));
  out += line("tool calls, answered", n(r.load.tools) + ", " + n(r.load.tools_whole));
  out += line("tries: 503 and alike, 402, broken",
              n(r.figures.promised) + ", " + n(r.figures.spent) + ", " + n(r.figures.broken));
  out += line("spoilt by endpoints, turned away", n(r.troubles) + ", " + n(r.turned_away));
  out += line("tokens generated, handed over",
              n(r.figures.tokens_generated) + ", " + n(r.figures.tokens_handed));
  out +=
      line("first event, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.first_event_ms, 0.5),
                                                 quantile(r.first_event_ms, 0.99), most(r.first_event_ms)));
  out += line("tool, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.tool_ms, 0.5),
                                             quantile(r.tool_ms, 0.99), most(r.tool_ms)));
  out += line("changes: to the 200, then in force",
              filled("at most %.0f ms, at most %.0f ms, %llu calls", most(r.change_ms), most(r.force_ms),
                     static_cast<unsigned long long>(r.operator_calls)));
  out += line("the lab's timers late, p99, most",
              filled("%.1f, %.1f ms", quantile(r.lateness_ms, 0.99), most(r.lateness_ms)));
  out += line("this disk's sync, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.sync_ms, 0.5),
                                                         quantile(r.sync_ms, 0.99), most(r.sync_ms)));
  out += table_of(r.coordination);
  out += "\n  fault                                     full service after   bad tries of  \n";
  for (const FaultRecord& f : r.faults)
    out += filled("  %-42s %8.0f ms%-8s %5zu of %-6zu %s\n", f.name.c_str(), f.full_service.as_ms(),
                  f.back ? "" : " (not)", f.bad_tries, f.tries, f.note.c_str());
  for (std::size_t i = 0; i < std::min<std::size_t>(r.violations.size(), 20); ++i)
    out += std::string("BROKEN, ") + name_of(r.violations[i].rule) + ": " + r.violations[i].what + "\n";
  const std::size_t shown = std::min<std::size_t>(r.coordination_violations.size(), 20);
  for (std::size_t i = 0; i < shown; ++i) {
    const CoordinationViolation& violation = r.coordination_violations[i];
    out += filled("BROKEN, %s: %s\n", name_of(violation.rule), violation.what.c_str());
  }
  out += r.broken() ? "a check failed\n" : "every check held\n";
  return out;
}

std::string json_of(const FleetResult& r) {
  nlohmann::json out;
  out["started"] = r.started;
  out["upMs"] = r.up.as_ms();
  for (std::size_t i = 0; i < rule_count; ++i) out["checks"][name_of(static_cast<Rule>(i))] = r.counts[i];
  out["turns"] = {{"asked", r.figures.turns_asked}, {"whole", r.figures.turns_whole}};
  out["programs"] = {{"all", r.load.programs}, {"done", r.load.done}, {"givenUp", r.load.given_up}};
  out["firstEventMs"] = {{"p50", quantile(r.first_event_ms, 0.5)}, {"p99", quantile(r.first_event_ms, 0.99)}};
  out["toolMs"] = {{"p50", quantile(r.tool_ms, 0.5)}, {"p99", quantile(r.tool_ms, 0.99)}};
  out["changeMs"] = r.change_ms;
  out["inForceMs"] = r.force_ms;
  out["own"] = {{"latenessP99Ms", quantile(r.lateness_ms, 0.99)},
                {"latenessMostMs", most(r.lateness_ms)},
                {"syncP99Ms", quantile(r.sync_ms, 0.99)},
                {"syncMostMs", most(r.sync_ms)}};
  out["faults"] = nlohmann::json::array();
  for (const FaultRecord& f : r.faults)
    out["faults"].push_back({{"name", f.name},
                             {"atMs", f.at_ms},
                             {"fullServiceMs", f.full_service.as_ms()},
                             {"back", f.back},
                             {"badTries", f.bad_tries},
                             {"tries", f.tries},
                             {"note", f.note}});
  out["badTries"] = nlohmann::json::array();
  for (const FleetResult::BadTry& t : r.bad_tries)
    out["badTries"].push_back({{"id", t.id},
                               {"beganMs", t.began_ms},
                               {"lastedMs", t.lasted_ms},
                               {"firstMs", t.first_ms},
                               {"status", t.status},
                               {"turn", t.turn}});
  out["breaches"] = nlohmann::json::array();
  for (const Violation& b : r.violations)
    out["breaches"].push_back({{"check", name_of(b.rule)}, {"what", b.what}});
  out["coordination"] = json_of(r.coordination);
  for (const CoordinationViolation& b : r.coordination_violations)
    out["breaches"].push_back({{"check", name_of(b.rule)}, {"what", b.what}});
  return out.dump(1) + "\n";
}

}  // namespace chutevane::lab::tier
