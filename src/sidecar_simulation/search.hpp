// Many days in processes of their own: a day that crashes or never ends costs that day. And a broken day made
// small: what it does not need is dropped while it still breaks.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "sidecar_simulation/run.hpp"

namespace chutevane::sidecar_simulation {

// A day in a process of its own; one that ends it by a signal is reported as broken ("rule 0: signal 11").
DayReport play_apart(const Scenario& scenario);

struct Found {
  std::uint64_t seed = 0;
  std::vector<std::string> breaches;
};

struct SearchReport {
  std::uint64_t days = 0, events = 0, calls = 0, dispatches = 0;
  double simulated_s = 0.0, cpu_s = 0.0, wall_s = 0.0;
  std::vector<Found> broken;  // by seed
  Coverage coverage;
};

// Seeds from `first` to `last`, both included, over `jobs` processes. `progress` hears of it a few times a
// second. `enough`: broken days after which it stops; 0: none.
using Progress = std::function<void(const SearchReport& so_far, std::uint64_t of)>;
SearchReport search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                    std::size_t enough, const Progress& progress);

// The smallest scenario found that breaks as the given one does, over at most `tries` days; `told` hears of
// each step. The given one has no swarm.
Scenario shrink(const Scenario& scenario, const std::string& kind, std::size_t tries,
                const std::function<void(const std::string&)>& told);

}  // namespace chutevane::sidecar_simulation
