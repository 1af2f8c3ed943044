// Many seeds of a scenario, side by side in processes of their own.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "simulation/run.hpp"

namespace chutevane::simulation {

struct FoundSeed {
  std::uint64_t seed = 0;
  std::string rule, text;
};

struct Tally {
  std::uint64_t seeds = 0, orders = 0, acknowledged = 0, refused = 0, reads = 0, pushes = 0, turns_found = 0,
                bound = 0;
  std::array<std::uint64_t, fault_kinds> faults{};
  std::vector<FoundSeed> found;      // the first violation of each seed that breaks
  std::vector<std::string> crashes;  // processes of the search that did not come to their end
};

struct SearchOptions {
  std::size_t jobs = 1;
  bool stop_at_first = false;     // each job ends at its first find
  std::set<std::string> ignored;  // rules whose violations are known and not looked for
};
// Seeds first..last.
Tally search(const std::string& scenario, std::uint64_t first, std::uint64_t last,
             const SearchOptions& options);

}  // namespace chutevane::simulation
