/// Status of a controller and of the system as this controller knows it, for operators.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/register.hpp"

namespace chutevane::control {

/// State that this controller knows without asking another one.
struct ControlStatus {
  std::string node;
  Span knowledge_age;  // time since it was last proven that no newer value had been chosen
  std::vector<common::HeldRole> led_roles;
  std::size_t endpoint_count = 0;
  TimePoint now;                     // by its steady clock
  std::set<std::string> non_voting;  // addresses of acceptors (VotingMonitor)
};

/// Returns the JSON body of `Status.Retrieve` (api/operators.yaml). `members`: all members in contact with
/// any controller.
std::string status_json(const ControlStatus& status, const Register& reg,
                        const std::vector<common::Member>& members);

}  // namespace chutevane::control
