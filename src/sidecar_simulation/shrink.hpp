/// \file
/// Makes a scenario that breaks a rule smaller: whatever it does not need for that is dropped.
#pragma once

#include <functional>
#include <string>

#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

/// The smallest scenario found whose first broken rule is `rule`, after at most `max_attempts` runs.
/// `scenario` is not sampled. `on_step` is called with a description of each step that was kept.
Scenario shrink(const Scenario& scenario, const std::string& rule, std::size_t max_attempts,
                const std::function<void(const std::string&)>& on_step);

}  // namespace chutevane::sidecar_simulation
