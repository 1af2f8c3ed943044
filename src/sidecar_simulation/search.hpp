/// \file
/// Runs many seeds of a scenario, each job in a process of its own: a run that crashes or never ends costs
/// that run alone.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sidecar_simulation/run.hpp"

namespace chutevane::sidecar_simulation {

/// Runs one scenario, as it stands, in a process of its own. A run that ends its process by a signal is
/// reported as broken ("rule 0: signal 11").
RunReport simulate_in_subprocess(const Scenario& scenario);

struct BrokenRun {
  std::uint64_t seed = 0;
  std::vector<std::string> breaches;
};

struct SearchReport {
  std::uint64_t runs = 0, events = 0, calls = 0, dispatches = 0;
  double simulated_s = 0.0, cpu_s = 0.0, wall_s = 0.0;
  std::vector<BrokenRun> broken;  ///< by seed
  Coverage coverage;
};

/// Called a few times a second with the state so far and the number of runs wanted.
using Progress = std::function<void(const SearchReport& so_far, std::uint64_t total)>;

/// Runs the seeds from `first` to `last`, both included, over `jobs` processes. Stops early once `max_broken`
/// runs have broken a rule; 0: never. Throws std::system_error if no process can be created.
SearchReport search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                    std::size_t max_broken, const Progress& progress);

}  // namespace chutevane::sidecar_simulation
