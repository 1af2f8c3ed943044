#include "tier_simulation/search.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace chutevane::tier_simulation {
namespace {

constexpr std::size_t max_line_size = 1000;  // bytes: a pipe takes a line of this size atomically

void write_line(int pipe, std::string line) {
  std::replace(line.begin(), line.end(), '\n', ' ');
  line.resize(std::min(line.size(), max_line_size));
  line += '\n';
  if (::write(pipe, line.data(), line.size()) < 0) std::_Exit(1);
}

void add(SearchReport& report, const RunResult& result) {
  ++report.seeds;
  report.submissions += result.submissions;
  report.acknowledged += result.acknowledged;
  report.rejected += result.rejected;
  report.reads += result.reads;
  report.pushes += result.pushes;
  report.turns_found += result.turns_found;
  report.checked_samples += result.checked_samples;
  report.liveness_reads += result.liveness_reads;
  report.turns_completed += result.turns_completed;
  report.coordination_calls += result.coordination_calls;
  for (std::size_t i = 0; i < fault_kinds; ++i) report.faults[i] += result.faults[i];
}

// One job's part of the seeds: every jobs-th. Its results go into the pipe, a line each.
void run_job(const std::string& scenario, std::uint64_t first, std::uint64_t last, int pipe,
             const SearchOptions& options) {
  for (std::uint64_t seed = first; seed <= last; seed += options.jobs) {
    write_line(pipe, "at " + std::to_string(first) + " " + std::to_string(seed));
    network_simulation::Trace off;
    const RunResult result = simulate(make_plan(scenario, seed), seed, off);
    SearchReport one;
    add(one, result);
    std::ostringstream line;
    line << "sum " << one.submissions << ' ' << one.acknowledged << ' ' << one.rejected << ' ' << one.reads
         << ' ' << one.pushes << ' ' << one.turns_found << ' ' << one.checked_samples << ' '
         << one.liveness_reads << ' ' << one.turns_completed << ' ' << one.coordination_calls;
    for (const std::uint64_t n : one.faults) line << ' ' << n;
    write_line(pipe, line.str());
    const auto v = std::find_if(result.violations.begin(), result.violations.end(),
                                [&](const Violation& at) { return !options.ignored.contains(at.rule); });
    if (v == result.violations.end()) continue;
    write_line(pipe, "found " + std::to_string(seed) + " " + v->rule + " " + v->text);
    if (options.stop_at_first) return;
  }
}

void handle_line(SearchReport& report, std::map<std::string, std::string>& last_seeds,
                 const std::string& line) {
  std::istringstream in(line);
  std::string what;
  in >> what;
  if (what == "at") {
    std::string of, seed;
    in >> of >> seed;
    last_seeds[of] = seed;
  } else if (what == "sum") {
    ++report.seeds;
    for (std::uint64_t* sum : {&report.submissions, &report.acknowledged, &report.rejected, &report.reads,
                               &report.pushes, &report.turns_found, &report.checked_samples,
                               &report.liveness_reads, &report.turns_completed, &report.coordination_calls}) {
      std::uint64_t n = 0;
      in >> n;
      *sum += n;
    }
    for (std::uint64_t& sum : report.faults) {
      std::uint64_t n = 0;
      in >> n;
      sum += n;
    }
  } else if (what == "found") {
    BrokenSeed found;
    in >> found.seed >> found.rule;
    std::getline(in, found.text);
    report.broken.push_back(std::move(found));
  }
}

void read_all(int pipe, SearchReport& report, std::map<std::string, std::string>& last_seeds) {
  std::string buffered;
  char buffer[65536];
  for (ssize_t got = ::read(pipe, buffer, sizeof buffer); got > 0;
       got = ::read(pipe, buffer, sizeof buffer)) {
    buffered.append(buffer, static_cast<std::size_t>(got));
    for (std::size_t end = buffered.find('\n'); end != std::string::npos; end = buffered.find('\n')) {
      handle_line(report, last_seeds, buffered.substr(0, end));
      buffered.erase(0, end + 1);
    }
  }
}

}  // namespace

SearchReport search(const std::string& scenario, std::uint64_t first, std::uint64_t last,
                    const SearchOptions& options) {
  make_plan(scenario, first);  // throws for an unknown name
  int ends[2];
  if (::pipe(ends) != 0) throw std::runtime_error("no pipe");
  std::map<pid_t, std::uint64_t> children;
  for (std::size_t i = 0; i < options.jobs; ++i) {
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error("no process");
    if (child == 0) {
      ::close(ends[0]);
      run_job(scenario, first + i, last, ends[1], options);
      std::_Exit(0);
    }
    children[child] = first + i;
  }
  ::close(ends[1]);
  SearchReport report;
  std::map<std::string, std::string> last_seeds;
  read_all(ends[0], report, last_seeds);
  ::close(ends[0]);
  for (const auto& [child, its_first] : children) {
    int status = 0;
    ::waitpid(child, &status, 0);
    if (status != 0)
      report.crashes.push_back("status " + std::to_string(status) + " at seed " +
                               last_seeds[std::to_string(its_first)]);
  }
  std::sort(report.broken.begin(), report.broken.end(),
            [](const BrokenSeed& a, const BrokenSeed& b) { return a.seed < b.seed; });
  return report;
}

}  // namespace chutevane::tier_simulation
