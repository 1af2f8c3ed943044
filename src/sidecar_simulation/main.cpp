/// \file
/// chutevane-sidecar-simulation: runs of a whole fleet on a simulated clock and network, by seed.
#include <unistd.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>

#include "sidecar_simulation/search.hpp"
#include "sidecar_simulation/shrink.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr int exit_ok = 0, exit_failed = 1, exit_invalid_file = 2, exit_rule_broken = 3;
constexpr std::size_t max_shown_broken = 20;

void print_report(const RunReport& r) {
  for (const std::string& b : r.breaches) std::printf("%s\n", b.c_str());
  std::printf("seed %llu: %s; %.1f s played, %llu events, %llu calls, %llu dispatches, payoff %.3f\n",
              static_cast<unsigned long long>(r.seed), r.is_broken() ? "BROKEN" : "all rules kept",
              r.simulated_s, static_cast<unsigned long long>(r.events),
              static_cast<unsigned long long>(r.calls), static_cast<unsigned long long>(r.dispatches),
              r.service);
}

int run_command(const Scenario& s, std::uint64_t seed, bool traced, bool hashed) {
  network_simulation::TraceHash hash;
  network_simulation::Trace trace;
  if (traced || hashed)
    trace = network_simulation::Trace([&](std::string_view line) {
      hash.add(line);
      if (traced) std::printf("%.*s\n", static_cast<int>(line.size()), line.data());
    });
  const RunReport r = simulate(sample_scenario(s, seed), trace);
  print_report(r);
  if (hashed)
    std::printf("trace: %llu lines, hash %016llx\n", static_cast<unsigned long long>(hash.lines()),
                static_cast<unsigned long long>(hash.value()));
  return r.is_broken() ? exit_rule_broken : exit_ok;
}

int search_command(const Scenario& s, const cxxopts::ParseResult& given) {
  const std::string seeds = given["seeds"].as<std::string>();
  unsigned long long first = 0, last = 0;
  if (std::sscanf(seeds.c_str(), "%llu..%llu", &first, &last) != 2 || last < first)
    throw std::runtime_error("--seeds " + seeds + ": write A..B, A not beyond B");
  const bool terminal = ::isatty(STDERR_FILENO) != 0;
  double next = 0.0;
  const auto progress = [&](const SearchReport& r, std::uint64_t total) {
    if (r.wall_s < next) return;
    next = r.wall_s + (terminal ? 0.5 : 10.0);
    std::fprintf(stderr, "%s%llu of %llu days, %.0f s, %zu broken%s", terminal ? "\r" : "",
                 static_cast<unsigned long long>(r.runs), static_cast<unsigned long long>(total), r.wall_s,
                 r.broken.size(), terminal ? "   " : "\n");
  };
  const SearchReport r =
      search(s, first, last, given["jobs"].as<int>(), given["enough"].as<std::size_t>(), progress);
  if (terminal) std::fputc('\n', stderr);
  std::printf(
      "%s: %llu days, %.0f s played in %.1f s (%.1f s of CPU): %.0f s a second of one core, %.2fM events/s\n",
      s.experiment.name.c_str(), static_cast<unsigned long long>(r.runs), r.simulated_s, r.wall_s, r.cpu_s,
      r.simulated_s / r.cpu_s, static_cast<double>(r.events) / r.cpu_s / 1e6);
  std::printf("%llu calls, %llu dispatches, %llu events\n", static_cast<unsigned long long>(r.calls),
              static_cast<unsigned long long>(r.dispatches), static_cast<unsigned long long>(r.events));
  if (given.count("coverage") > 0) std::printf("%s", r.coverage.report().c_str());
  std::printf("%zu broken\n", r.broken.size());
  for (std::size_t i = 0; i < std::min(max_shown_broken, r.broken.size()); ++i)
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(r.broken[i].seed),
                r.broken[i].breaches.empty() ? "" : r.broken[i].breaches.front().c_str());
  if (r.broken.size() > max_shown_broken) std::printf("(%zu more)\n", r.broken.size() - max_shown_broken);
  return r.broken.empty() ? exit_ok : exit_rule_broken;
}

int shrink_command(const Scenario& s, std::uint64_t seed, const cxxopts::ParseResult& given) {
  const Scenario whole = sample_scenario(s, seed);
  const RunReport first = simulate_in_subprocess(whole);
  if (!first.is_broken()) {
    std::fprintf(stderr, "seed %llu breaks no rule: nothing to shrink\n",
                 static_cast<unsigned long long>(seed));
    return exit_failed;
  }
  std::fprintf(stderr, "%s\n", first.breaches.front().c_str());
  const Scenario least =
      shrink(whole, first.first_broken_rule(), given["tries"].as<std::size_t>(),
             [](const std::string& what) { std::fprintf(stderr, "  %s\n", what.c_str()); });
  const RunReport last = simulate_in_subprocess(least);
  const std::string out = given["out"].as<std::string>();
  std::ofstream file(out, std::ios::trunc);
  file << "# " << (last.breaches.empty() ? first : last).breaches.front() << "\n" << write_scenario(least);
  if (!file.flush()) throw std::runtime_error(out + ": cannot be written");
  std::printf("%s: %zu faults, %zu troubles left of %zu and %zu\n", out.c_str(),
              least.experiment.faults.size(), least.infrastructure_faults.size(),
              whole.experiment.faults.size(), whole.infrastructure_faults.size());
  return exit_ok;
}

int command(int argc, char** argv) {
  cxxopts::Options options("chutevane-sidecar-simulation",
                           "Runs a fleet of sidecars on a simulated clock and network");
  auto add = options.add_options();
  add("command", "run, search, shrink or show (the scenario that a seed draws)",
      cxxopts::value<std::string>());
  add("file", "a scenario", cxxopts::value<std::string>());
  add("seed", "instead of the file's", cxxopts::value<std::uint64_t>());
  add("trace", "run: a line for each event");
  add("hash", "run: how many lines the trace has, and their hash");
  add("seeds", "search: A..B", cxxopts::value<std::string>()->default_value("1..1000"));
  add("jobs", "search: processes at a time", cxxopts::value<int>()->default_value("8"));
  add("enough", "search: stop after so many broken days; 0: none",
      cxxopts::value<std::size_t>()->default_value("0"));
  add("coverage", "search: which states were reached, and which never");
  add("tries", "shrink: days at most", cxxopts::value<std::size_t>()->default_value("400"));
  add("out", "shrink: the scenario written", cxxopts::value<std::string>()->default_value("shrunk.toml"));
  add("h,help", "this text");
  options.parse_positional({"command", "file"});
  options.positional_help("run FILE | search FILE | shrink FILE | show FILE");
  try {
    const auto given = options.parse(argc, argv);
    const std::string what = given.count("command") > 0 ? given["command"].as<std::string>() : "";
    if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? exit_failed : exit_ok;
    if (given.count("file") == 0 ||
        (what != "run" && what != "search" && what != "shrink" && what != "show")) {
      std::fprintf(stderr, "%s", options.help().c_str());
      return exit_invalid_file;
    }
    const Scenario s = load_scenario(given["file"].as<std::string>());
    const std::uint64_t seed =
        given.count("seed") > 0 ? given["seed"].as<std::uint64_t>() : s.experiment.seed;
    if (what == "search") return search_command(s, given);
    if (what == "shrink") return shrink_command(s, seed, given);
    if (what == "run") return run_command(s, seed, given.count("trace") > 0, given.count("hash") > 0);
    return std::printf("%s", write_scenario(sample_scenario(s, seed)).c_str()) < 0 ? exit_failed : exit_ok;
  } catch (const lab::ExperimentError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return exit_invalid_file;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "chutevane-sidecar-simulation: %s\n", e.what());
    return exit_failed;
  }
}

}  // namespace
}  // namespace chutevane::sidecar_simulation

int main(int argc, char** argv) { return chutevane::sidecar_simulation::command(argc, argv); }
