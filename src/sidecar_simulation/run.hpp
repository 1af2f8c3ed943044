// One day: a scenario with everything in it explicit, played under its seed and judged.
#pragma once

#include <string>
#include <vector>

#include "lab/auditor.hpp"
#include "sidecar_simulation/coverage.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

struct DayReport {
  std::uint64_t seed = 0;
  std::vector<std::string> breaches;  // the first ones: "rule 2: call 17 at 3.214 s: what was seen"
  std::uint64_t breach_count = 0;
  double simulated_s = 0.0;
  std::uint64_t events = 0, calls = 0, dispatches = 0;
  double service = 1.0;  // payoff got of payoff asked
  Coverage coverage;
  bool broken() const { return breach_count > 0; }
  // Breaches are the same if the first one's rule is: what a smaller scenario has to keep.
  std::string kind() const;
};

// Beside the four rules a day breaks one if a sidecar ends by an exception, or still holds a call when all is
// quiet ("rule 0").
DayReport play(const Scenario& scenario, network_simulation::Trace& trace);

}  // namespace chutevane::sidecar_simulation
