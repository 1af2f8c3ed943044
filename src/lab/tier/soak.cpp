#include "lab/tier/soak.hpp"

#include <time.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "lab/tier/coordination_report.hpp"

namespace chutevane::lab::tier {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t processes_of_a_seed = 11;  // ten of the tier, and their lab
constexpr const char *story_file = "story.txt", *report_file = "soak.json";

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc | std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error(path.string() + ": cannot be written");
}

std::string seed_folder(const std::string& folder, std::uint64_t seed) {
  return (fs::path(folder) / ("seed-" + std::to_string(seed))).string();
}

std::string report_of(const FleetResult& r, const FaultPlan& story) {
  nlohmann::json out;
  out["started"] = r.started;
  out["beyondTolerance"] = story.beyond_tolerance;
  for (std::size_t i = 0; i < rule_count; ++i) out["checks"][name_of(static_cast<Rule>(i))] = r.counts[i];
  for (std::size_t i = 0; i < fault_kinds; ++i)
    out["played"][name_of(static_cast<FaultKind>(i))] = r.played[i];
  out["breaches"] = nlohmann::json::array();
  for (const Violation& b : r.violations)
    out["breaches"].push_back(std::string(name_of(b.rule)) + ": " + b.what);
  for (std::size_t i = 0; i < coordination_rules; ++i)
    out["coordinationChecks"][name_of(static_cast<CoordinationRule>(i))] = r.coordination_counts[i];
  for (const CoordinationViolation& b : r.coordination_violations)
    out["breaches"].push_back(std::string(name_of(b.rule)) + ": " + b.what);
  out["coordination"] = json_of(r.coordination);
  out["turnsWhole"] = r.figures.turns_whole;
  out["lingeringContinued"] = r.lingering_continued;
  out["heirs"] = r.load.heirs;
  out["heirsWhole"] = r.load.heirs_whole;
  out["orders"] = r.operator_calls;
  out["reads"] = r.operator_reads;
  out["calmReads"] = r.operator_calm_reads;
  out["excused"] = r.excused;
  out["left"] = r.figures.left;
  out["workedForNobody"] = r.figures.worked_for_nobody;
  out["residentMb"] = r.resident_mb;
  out["lateMostMs"] =
      r.lateness_ms.empty() ? 0 : *std::max_element(r.lateness_ms.begin(), r.lateness_ms.end());
  out["trouble"] = r.trouble;
  return out.dump(1) + "\n";
}

// What a seed's process has written, added up.
void add(SoakSummary& sum, SoakSummary::Seed& seed) {
  std::ifstream in(fs::path(seed.folder) / report_file);
  const auto report = nlohmann::json::parse(in, nullptr, false);
  if (!report.is_object()) {
    seed.broken = true;
    seed.violations.push_back("no report: its lab has ended before");
    return;
  }
  seed.whole = report.at("started").get<bool>();
  seed.beyond_tolerance = report.at("beyondTolerance").get<bool>();
  for (std::size_t i = 0; i < rule_count; ++i) {
    const auto count = report.at("checks").at(name_of(static_cast<Rule>(i))).get<std::uint64_t>();
    sum.counts[i] += count;
    seed.broken = seed.broken || count > 0;
  }
  for (std::size_t i = 0; i < coordination_rules; ++i) {
    const char* const rule = name_of(static_cast<CoordinationRule>(i));
    const auto count = report.at("coordinationChecks").at(rule).get<std::uint64_t>();
    sum.coordination_counts[i] += count;
    seed.broken = seed.broken || count > 0;
  }
  add_json(sum.coordination, report.at("coordination"));
  seed.broken = seed.broken || !seed.whole;
  for (const auto& report_violation : report.at("breaches"))
    seed.violations.push_back(report_violation.get<std::string>());
  if (!seed.whole) seed.violations.push_back("did not start: " + report.at("trouble").get<std::string>());
  for (std::size_t i = 0; i < fault_kinds; ++i) {
    const auto count = report.at("played").at(name_of(static_cast<FaultKind>(i))).get<std::uint64_t>();
    sum.played[i] += count;
    if (seed.broken) sum.in_broken_seeds[i] += count;
  }
  const auto figure = [&](const char* name) { return report.at(name).get<std::uint64_t>(); };
  sum.turns_whole += figure("turnsWhole");
  sum.lingering_continued += figure("lingeringContinued");
  sum.heirs += figure("heirs");
  sum.heirs_whole += figure("heirsWhole");
  sum.orders += figure("orders");
  sum.reads += figure("reads");
  sum.calm_reads += figure("calmReads");
  sum.excused += figure("excused");
  sum.left += figure("left");
  sum.worked_for_nobody += figure("workedForNobody");
  sum.late_most_ms = std::max(sum.late_most_ms, report.at("lateMostMs").get<double>());
  sum.resident_mb = std::max(sum.resident_mb, report.at("residentMb").get<double>());
}

struct Job {
  std::unique_ptr<Process> process = std::make_unique<Process>();
  std::size_t seed = 0;  // its place in the summary
};

}  // namespace

FleetResult play_seed(std::uint64_t seed, const SoakSpec& soak, const std::string& folder, Fleet*& running) {
  FaultPlanBounds bounds;
  bounds.active = Span::ms(soak.seconds * 1000);
  FleetSpec spec;
  spec.programs = soak.programs;
  spec.folder = folder;
  spec.seed = seed;
  spec.seconds = soak.seconds;
  spec.coordination_calls_per_s = soak.calls_per_s;
  spec.story = draw_fault_plan(seed, bounds);
  write_file(fs::path(folder) / story_file, "seed " + std::to_string(seed) + "\n" + describe(*spec.story));
  Fleet fleet(spec);
  running = &fleet;
  FleetResult result = fleet.run();
  running = nullptr;
  write_file(fs::path(folder) / report_file, report_of(result, *spec.story));
  write_file(fs::path(folder) / "tier.json", json_of(result));
  return result;
}

bool SoakSummary::broken() const {
  return std::any_of(seeds.begin(), seeds.end(), [](const Seed& s) { return s.broken; });
}

SoakSummary run_soak(const SoakSpec& spec, const volatile bool& stop) {
  SoakSummary out;
  std::vector<Job> running;
  std::set<std::uint64_t> stopped;  // seeds that were under way when it was told to stop
  std::uint64_t next = spec.first;
  while ((next <= spec.last && !stop) || !running.empty()) {
    while (next <= spec.last && running.size() < spec.jobs && !stop) {
      SoakSummary::Seed seed;
      seed.number = next++;
      seed.folder = seed_folder(spec.folder, seed.number);
      fs::remove_all(seed.folder);
      fs::create_directories(seed.folder);
      Job& job = running.emplace_back();
      job.seed = out.seeds.size();
      job.process->start(
          {spec.lab, "soak", "--seed", std::to_string(seed.number), "--seconds", std::to_string(spec.seconds),
           "--calls", std::to_string(spec.calls_per_s), "--programs", spec.programs, "--out", seed.folder},
          (fs::path(seed.folder) / "lab.log").string());
      out.seeds.push_back(std::move(seed));
    }
    out.processes = std::max(out.processes, running.size() * processes_of_a_seed);
    std::erase_if(running, [&](Job& job) {
      if (stop && job.process->running() && !job.process->ended()) {  // told nothing: it does not count
        job.process->kill();
        stopped.insert(out.seeds[job.seed].number);
        return true;
      }
      if (job.process->running() && !job.process->ended()) return false;
      SoakSummary::Seed& seed = out.seeds[job.seed];
      add(out, seed);
      std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed.number),
                   seed.broken ? seed.violations.front().c_str() : "held");
      return true;
    });
    const timespec pause{0, 50'000'000};
    ::nanosleep(&pause, nullptr);
  }
  std::erase_if(out.seeds, [&](const SoakSummary::Seed& seed) { return stopped.contains(seed.number); });
  return out;
}

std::string table_of(const SoakSummary& s) {
  std::string out = "trouble              played   in broken seeds\n";
  char line[300];
  for (std::size_t i = 0; i < fault_kinds; ++i) {
    std::snprintf(line, sizeof line, "%-18s %8llu %17llu\n", name_of(static_cast<FaultKind>(i)),
                  static_cast<unsigned long long>(s.played[i]),
                  static_cast<unsigned long long>(s.in_broken_seeds[i]));
    out += line;
  }
  const auto broken =
      std::count_if(s.seeds.begin(), s.seeds.end(), [](const auto& one) { return one.broken; });
  const auto beyond =
      std::count_if(s.seeds.begin(), s.seeds.end(), [](const auto& one) { return one.beyond_tolerance; });
  std::snprintf(line, sizeof line, "%zu seeds, %lld of them with losses beyond the tolerance; %lld broken\n",
                s.seeds.size(), static_cast<long long>(beyond), static_cast<long long>(broken));
  out += line;
  std::snprintf(line, sizeof line,
                "turns answered whole %llu, of them on from turns of a short retention %llu; heirs %llu, "
                "answered %llu; orders sent %llu; reads answered "
                "%llu, had to be "
                "answered %llu\n",
                static_cast<unsigned long long>(s.turns_whole),
                static_cast<unsigned long long>(s.lingering_continued),
                static_cast<unsigned long long>(s.heirs), static_cast<unsigned long long>(s.heirs_whole),
                static_cast<unsigned long long>(s.orders), static_cast<unsigned long long>(s.reads),
                static_cast<unsigned long long>(s.calm_reads));
  out += line;
  std::snprintf(
      line, sizeof line,
      "clients that left %llu, worked for half a second later %llu; misses of service amid troubles %llu\n",
      static_cast<unsigned long long>(s.left), static_cast<unsigned long long>(s.worked_for_nobody),
      static_cast<unsigned long long>(s.excused));
  out += line;
  std::snprintf(line, sizeof line,
                "processes at once %zu; a seed's processes have at most %.0f MB together\n", s.processes,
                s.resident_mb);
  out += line;
  out += table_of(s.coordination) + "rules of these calls, broken:";
  for (std::size_t i = 0; i < coordination_rules; ++i)
    out += std::string(" ") + name_of(static_cast<CoordinationRule>(i)) + " " +
           std::to_string(s.coordination_counts[i]);
  out += "\n";
  for (const SoakSummary::Seed& seed : s.seeds) {
    if (!seed.broken) continue;
    out += "BROKEN, seed " + std::to_string(seed.number) + " (" + seed.folder + ")\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(seed.violations.size(), 3); ++i)
      out += "  " + seed.violations[i] + "\n";
    std::ifstream story(fs::path(seed.folder) / story_file);
    for (std::string text; std::getline(story, text);) out += "    " + text + "\n";
  }
  return out;
}

}  // namespace chutevane::lab::tier
