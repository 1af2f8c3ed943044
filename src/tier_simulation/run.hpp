/// \file
/// One run of a plan under a seed, and the violations that it found.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tier_simulation/plan.hpp"

namespace chutevane::tier_simulation {

struct RunResult {
  std::vector<Violation> violations;
  /// Counts that show whether a scenario brings about what it is for.
  std::size_t submissions = 0, acknowledged = 0, rejected = 0, reads = 0, pushes = 0, turns_found = 0;
  std::size_t checked_samples = 0;     ///< of edges in contact, for which promises bound by time were checked
  std::size_t turns_completed = 0;     ///< through the edges, at clients
  std::size_t coordination_calls = 0;  ///< with a clear answer
  std::size_t liveness_reads = 0;      ///< that had to be answered, as a majority was in contact
  std::array<std::size_t, fault_kinds> faults{};  ///< by kind
  std::uint64_t events = 0;
  [[nodiscard]] bool is_broken() const { return !violations.empty(); }
};

/// Runs the plan to its end. The same seed, plan and program give the same run, byte for byte of the trace.
RunResult simulate(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace);

/// Drops faults one at a time for as long as the run still breaks the rule; what is left.
Plan shrink_plan(const Plan& plan, std::uint64_t seed, const std::string& rule);

}  // namespace chutevane::tier_simulation
