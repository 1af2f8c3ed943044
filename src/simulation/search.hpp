// Many seeds of a scenario, side by side in processes of their own.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/run.hpp"

namespace chutevane::simulation {

struct FoundSeed {
  std::uint64_t seed = 0;
  std::string rule, text;
};

struct Tally {
  std::uint64_t seeds = 0, orders = 0, acknowledged = 0, refused = 0, reads = 0, pushes = 0, turns_found = 0;
  std::array<std::uint64_t, fault_kinds> faults{};
  std::vector<FoundSeed> found;      // the first violation of each seed that breaks
  std::vector<std::string> crashes;  // processes of the search that did not come to their end
};

// Seeds first..last; `stop_at_first`: no further seeds once one is found.
Tally search(const std::string& scenario, std::uint64_t first, std::uint64_t last, std::size_t jobs,
             bool stop_at_first = false);

}  // namespace chutevane::simulation
