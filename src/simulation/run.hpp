// One run of a plan under a seed, and what it found.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/plan.hpp"

namespace chutevane::simulation {

struct Outcome {
  std::vector<Violation> violations;
  // What came about, to see that a scenario brings about what it is for.
  std::size_t orders = 0, acknowledged = 0, refused = 0, reads = 0, pushes = 0, turns_found = 0;
  std::size_t bound = 0;  // samples of edges that were in touch: what is bound by time was checked
  std::array<std::size_t, fault_kinds> faults{};
  std::uint64_t events = 0;
  std::uint64_t trace_hash = 0;  // only where it was traced
  bool broken() const { return !violations.empty(); }
};

// The same seed, plan and program give the same run, byte for byte of the trace.
Outcome run(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace);

// The fewest faults of the plan, dropped one at a time, with which the run still breaks the same rule.
Plan shrunk(const Plan& plan, std::uint64_t seed, const std::string& rule);

}  // namespace chutevane::simulation
