/// \file
/// chutevane-tier-simulation: runs the serving tier under seeds and faults, and looks for broken promises.
#include <cstdio>
#include <cxxopts.hpp>
#include <sstream>
#include <stdexcept>

#include "tier_simulation/search.hpp"

namespace {

using namespace chutevane::tier_simulation;
namespace network_simulation = chutevane::network_simulation;

void print_report(const std::string& scenario, const SearchReport& report) {
  std::printf(
      "%s: %llu seeds, %zu broken; orders %llu, acknowledged %llu, refused %llu, reads %llu, pushes %llu, "
      "turns found %llu, samples in touch %llu, reads that had to be answered %llu, turns "
      "completed %llu, calls for coordination %llu\n",
      scenario.c_str(), static_cast<unsigned long long>(report.seeds), report.broken.size(),
      static_cast<unsigned long long>(report.submissions),
      static_cast<unsigned long long>(report.acknowledged), static_cast<unsigned long long>(report.rejected),
      static_cast<unsigned long long>(report.reads), static_cast<unsigned long long>(report.pushes),
      static_cast<unsigned long long>(report.turns_found),
      static_cast<unsigned long long>(report.checked_samples),
      static_cast<unsigned long long>(report.liveness_reads),
      static_cast<unsigned long long>(report.turns_completed),
      static_cast<unsigned long long>(report.coordination_calls));
  std::printf("faults:");
  for (std::size_t i = 0; i < fault_kinds; ++i) {
    if (report.faults[i] > 0)
      std::printf(" %s %llu;", name_of(static_cast<FaultKind>(i)),
                  static_cast<unsigned long long>(report.faults[i]));
  }
  std::printf("\n");
  for (const std::string& crash : report.crashes) std::printf("CRASH %s\n", crash.c_str());
  for (const BrokenSeed& found : report.broken)
    std::printf("seed %llu: %s:%s\n", static_cast<unsigned long long>(found.seed), found.rule.c_str(),
                found.text.c_str());
}

std::set<std::string> split(const std::string& list) {
  std::set<std::string> out;
  std::stringstream in(list);
  for (std::string one; std::getline(in, one, ',');) out.insert(one);
  return out;
}

int search_seeds(const std::string& scenario, const std::string& seeds, const SearchOptions& options) {
  const std::size_t dots = seeds.find("..");
  if (dots == std::string::npos) throw std::invalid_argument("--seeds A..B");
  const SearchReport report =
      search(scenario, std::stoull(seeds.substr(0, dots)), std::stoull(seeds.substr(dots + 2)), options);
  print_report(scenario, report);
  return report.broken.empty() && report.crashes.empty() ? 0 : 1;
}

bool belongs_to_story(std::string_view line) {
  for (const char* what : {"connect ", "accept ", "arrive ", "close ", "listen ",
                           "cut c=", "refused c=", "lost-connect", "block from"}) {
    if (line.find(what) != std::string_view::npos && line.find("order ") == std::string_view::npos)
      return false;
  }
  return true;
}

int run_seed(const std::string& scenario, std::uint64_t seed, const std::string& trace_of, bool shrink) {
  Plan plan = make_plan(scenario, seed);
  network_simulation::Trace off;
  chutevane::tier_simulation::RunResult result = simulate(plan, seed, off);
  if (shrink && result.is_broken()) plan = shrink_plan(plan, seed, result.violations.front().rule);
  std::printf("scenario %s, seed %llu: %zu control, %zu storage, %zu edges, %zu losses borne\n",
              scenario.c_str(), static_cast<unsigned long long>(seed), plan.shape.controls,
              plan.shape.storages, plan.shape.edges, plan.shape.tolerated_losses);
  for (const Fault& fault : plan.faults) std::printf("  %s\n", describe(fault).c_str());
  const bool whole = trace_of == "all";
  std::string start;
  network_simulation::Trace trace([&](std::string_view line) {
    if (whole || belongs_to_story(line)) std::printf("%.*s\n", static_cast<int>(line.size()), line.data());
  });
  result = simulate(plan, seed, trace_of.empty() ? off : trace);
  for (const Violation& v : result.violations)
    std::printf("BROKEN at %.3f: %s: %s\n", v.at.as_ms() / 1000, v.rule.c_str(), v.text.c_str());
  std::printf(
      "%zu orders, %zu acknowledged, %zu refused, %zu reads, %zu pushes, %zu turns found, %llu events\n",
      result.submissions, result.acknowledged, result.rejected, result.reads, result.pushes,
      result.turns_found, static_cast<unsigned long long>(result.events));
  return result.is_broken() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("chutevane-tier-simulation",
                           "search or run: the serving tier under seeds and faults");
  options.add_options()("command", "search, run or list", cxxopts::value<std::string>())(
      "scenario", "its name", cxxopts::value<std::string>()->default_value("everything"))(
      "seeds", "of a search: A..B", cxxopts::value<std::string>()->default_value("1..100"))(
      "seed", "of a run", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "ignore", "rules that a search passes over, by commas",
      cxxopts::value<std::string>()->default_value(""))("jobs", "processes side by side",
                                                        cxxopts::value<std::size_t>()->default_value("1"))(
      "first", "a search ends each of its jobs at its first find")("trace", "print a run's story")(
      "all", "with --trace: each connection and segment too")(
      "shrink", "drop faults while the run stays broken")("help", "this");
  options.parse_positional({"command"});
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0 || given.count("command") == 0)
      return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
    const std::string command = given["command"].as<std::string>(),
                      scenario = given["scenario"].as<std::string>();
    if (command == "list") {
      for (const std::string& name : scenarios()) std::printf("%s\n", name.c_str());
      return 0;
    }
    if (command == "search")
      return search_seeds(scenario, given["seeds"].as<std::string>(),
                          {given["jobs"].as<std::size_t>(), given.count("first") > 0,
                           split(given["ignore"].as<std::string>())});
    if (command == "run")
      return run_seed(scenario, given["seed"].as<std::uint64_t>(),
                      given.count("trace") == 0 ? ""
                      : given.count("all") > 0  ? "all"
                                                : "story",
                      given.count("shrink") > 0);
    throw std::invalid_argument("no command " + command);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "chutevane-tier-simulation: %s\n", e.what());
    return 2;
  }
}
