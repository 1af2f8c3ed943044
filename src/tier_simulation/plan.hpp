/// \file
/// The plan of a run: the tier's shape, its load and the faults, all drawn from a seed by a named scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tier_simulation/agent_programs.hpp"
#include "tier_simulation/coordination_client.hpp"
#include "tier_simulation/deployment.hpp"
#include "tier_simulation/fault.hpp"
#include "tier_simulation/operators.hpp"
#include "tier_simulation/traffic.hpp"

namespace chutevane::tier_simulation {

/// Machines that went together come back one by one, within this time.
inline constexpr Span max_restart_delay = Span::ms(400);

struct Plan {
  Shape shape;
  network_simulation::NetworkConditions network;
  OperatorLoad operators;
  ProgramLoad programs;
  TrafficLoad traffic;
  CoordinationLoad coordination;
  Span active_duration = Span::ms(30000);  ///< then there are no more faults and submissions
  Span quiet_duration = Span::ms(12000);   ///< within it the tier has to recover
  std::vector<Fault> faults;               ///< by time
  /// More machines are away at once than the tier tolerates, though no more disks are lost than that.
  bool losses_overlap = false;
};

/// The names of all scenarios.
std::vector<std::string> scenarios();
/// Throws std::invalid_argument if there is no scenario of that name.
Plan make_plan(const std::string& scenario, std::uint64_t seed);

}  // namespace chutevane::tier_simulation
