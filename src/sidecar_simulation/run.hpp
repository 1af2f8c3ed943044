/// \file
/// One simulated run: a scenario with everything in it explicit, run under its seed and judged by the lab's
/// auditor.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "network_simulation/trace.hpp"
#include "sidecar_simulation/coverage.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

struct RunReport {
  std::uint64_t seed = 0;
  /// The first few breaches of a rule: "rule 2: call 17 at 3.214 s: what was seen".
  std::vector<std::string> breaches;
  std::uint64_t breach_count = 0;
  double simulated_s = 0.0;
  std::uint64_t events = 0, calls = 0, dispatches = 0;
  double service = 1.0;  ///< payoff received as a share of the payoff asked for
  Coverage coverage;

  [[nodiscard]] bool is_broken() const { return breach_count > 0; }
  /// The rule of the first breach, "rule 2"; empty if none is broken. A shrunk scenario has to keep it.
  [[nodiscard]] std::string first_broken_rule() const;
};

/// Runs a scenario that is not sampled. Beside the auditor's rules, "rule 0" is broken if a sidecar ends by
/// an exception or still holds a call when all is quiet. Errors of the run are reported as breaches, not
/// thrown.
RunReport simulate(const Scenario& scenario, network_simulation::Trace& trace);

}  // namespace chutevane::sidecar_simulation
