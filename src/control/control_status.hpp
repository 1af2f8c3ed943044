/// What a controller knows of itself and of the system, as operators see it.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/register.hpp"

namespace chutevane::control {

/// State of this controller that it knows without asking any other.
struct ControlStatus {
  std::string node;
  Span knowledge_age;  // since it was last proven that nothing newer had been chosen
  std::vector<common::HeldRole> led_roles;
  std::size_t endpoint_count = 0;
  TimePoint now;                     // by its steady clock
  std::set<std::string> non_voting;  // addresses of acceptors (VotingMonitor)
};

/// The JSON body of `Status.Retrieve` (api/operators.yaml). `members`: all in contact with any controller.
std::string status_json(const ControlStatus& status, const Register& reg,
                        const std::vector<common::Member>& members);

}  // namespace chutevane::control
