#include "simulation/search.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace chutevane::simulation {
namespace {

constexpr std::size_t line_most = 1000;  // bytes: a pipe takes so many in one piece

void tell(int pipe, std::string line) {
  std::replace(line.begin(), line.end(), '\n', ' ');
  line.resize(std::min(line.size(), line_most));
  line += '\n';
  if (::write(pipe, line.data(), line.size()) < 0) std::_Exit(1);
}

void add(Tally& tally, const Outcome& outcome) {
  ++tally.seeds;
  tally.orders += outcome.orders;
  tally.acknowledged += outcome.acknowledged;
  tally.refused += outcome.refused;
  tally.reads += outcome.reads;
  tally.pushes += outcome.pushes;
  tally.turns_found += outcome.turns_found;
  tally.bound += outcome.bound;
  for (std::size_t i = 0; i < fault_kinds; ++i) tally.faults[i] += outcome.faults[i];
}

// One job's part of the seeds; what it finds goes into the pipe, a line each.
void job(const std::string& scenario, std::uint64_t first, std::uint64_t last, int pipe,
         const SearchOptions& options) {
  for (std::uint64_t seed = first; seed <= last; seed += options.jobs) {
    tell(pipe, "at " + std::to_string(first) + " " + std::to_string(seed));
    network_simulation::Trace off;
    const Outcome outcome = run(make_plan(scenario, seed), seed, off);
    Tally one;
    add(one, outcome);
    std::ostringstream line;
    line << "sum " << one.orders << ' ' << one.acknowledged << ' ' << one.refused << ' ' << one.reads << ' '
         << one.pushes << ' ' << one.turns_found << ' ' << one.bound;
    for (const std::uint64_t n : one.faults) line << ' ' << n;
    tell(pipe, line.str());
    const auto v = std::find_if(outcome.violations.begin(), outcome.violations.end(),
                                [&](const Violation& at) { return !options.ignored.contains(at.rule); });
    if (v == outcome.violations.end()) continue;
    tell(pipe, "found " + std::to_string(seed) + " " + v->rule + " " + v->text);
    if (options.stop_at_first) return;
  }
}

void take(Tally& tally, std::map<std::string, std::string>& last_seeds, const std::string& line) {
  std::istringstream in(line);
  std::string what;
  in >> what;
  if (what == "at") {
    std::string of, seed;
    in >> of >> seed;
    last_seeds[of] = seed;
  } else if (what == "sum") {
    ++tally.seeds;
    for (std::uint64_t* sum : {&tally.orders, &tally.acknowledged, &tally.refused, &tally.reads,
                               &tally.pushes, &tally.turns_found, &tally.bound}) {
      std::uint64_t n = 0;
      in >> n;
      *sum += n;
    }
    for (std::uint64_t& sum : tally.faults) {
      std::uint64_t n = 0;
      in >> n;
      sum += n;
    }
  } else if (what == "found") {
    FoundSeed found;
    in >> found.seed >> found.rule;
    std::getline(in, found.text);
    tally.found.push_back(std::move(found));
  }
}

void read_all(int pipe, Tally& tally, std::map<std::string, std::string>& last_seeds) {
  std::string held;
  char room[65536];
  for (ssize_t got = ::read(pipe, room, sizeof room); got > 0; got = ::read(pipe, room, sizeof room)) {
    held.append(room, static_cast<std::size_t>(got));
    for (std::size_t end = held.find('\n'); end != std::string::npos; end = held.find('\n')) {
      take(tally, last_seeds, held.substr(0, end));
      held.erase(0, end + 1);
    }
  }
}

}  // namespace

Tally search(const std::string& scenario, std::uint64_t first, std::uint64_t last,
             const SearchOptions& options) {
  make_plan(scenario, first);  // a wrong name is told of here
  int ends[2];
  if (::pipe(ends) != 0) throw std::runtime_error("no pipe");
  std::map<pid_t, std::uint64_t> children;
  for (std::size_t i = 0; i < options.jobs; ++i) {
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error("no process");
    if (child == 0) {
      ::close(ends[0]);
      job(scenario, first + i, last, ends[1], options);
      std::_Exit(0);
    }
    children[child] = first + i;
  }
  ::close(ends[1]);
  Tally tally;
  std::map<std::string, std::string> last_seeds;
  read_all(ends[0], tally, last_seeds);
  ::close(ends[0]);
  for (const auto& [child, its_first] : children) {
    int status = 0;
    ::waitpid(child, &status, 0);
    if (status != 0)
      tally.crashes.push_back("status " + std::to_string(status) + " at seed " +
                              last_seeds[std::to_string(its_first)]);
  }
  std::sort(tally.found.begin(), tally.found.end(),
            [](const FoundSeed& a, const FoundSeed& b) { return a.seed < b.seed; });
  return tally;
}

}  // namespace chutevane::simulation
