/// \file
/// Runs many seeds of a scenario, each job in a process of its own.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tier_simulation/run.hpp"

namespace chutevane::tier_simulation {

struct BrokenSeed {
  std::uint64_t seed = 0;
  std::string rule, text;
};

struct SearchReport {
  std::uint64_t seeds = 0, submissions = 0, acknowledged = 0, rejected = 0, reads = 0, pushes = 0,
                turns_found = 0, checked_samples = 0, liveness_reads = 0, turns_completed = 0,
                coordination_calls = 0;
  std::array<std::uint64_t, fault_kinds> faults{};
  std::vector<BrokenSeed> broken;    ///< the first violation of each broken seed, by seed
  std::vector<std::string> crashes;  ///< jobs that ended by a crash, with the seed
};

struct SearchOptions {
  std::size_t jobs = 1;
  bool stop_at_first = false;     ///< each job ends at its first broken seed
  std::set<std::string> ignored;  ///< rules whose violations are not reported
};
/// Seeds first..last, both included. Throws std::invalid_argument for an unknown scenario, std::runtime_error
/// if no process can be created.
SearchReport search(const std::string& scenario, std::uint64_t first, std::uint64_t last,
                    const SearchOptions& options);

}  // namespace chutevane::tier_simulation
