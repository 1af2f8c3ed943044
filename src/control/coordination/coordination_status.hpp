/// What a controller knows of the coordination service, as operators see it. No I/O.
///
/// It is read from this controller's own copy of the state: nobody is asked, so it may be behind, and it is
/// served also where calls get 503.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "common/messages.hpp"
#include "control/coordination/state.hpp"

namespace chutevane::control::coordination {

/// Whether the request's target is `Coordination.Retrieve`, whatever its method and query.
bool is_status_target(std::string_view target);

/// Of each list of names in one answer, in the order of the names; the totals count all.
constexpr std::size_t max_listed_names = 200;

/// State of one controller's part of the service.
struct CoordinationStatus {
  std::string node;
  std::string proposer;                ///< address of the controller that calls are passed to at present
  bool is_available = false;           ///< whether calls can be decided here
  std::size_t queue_length = 0;        ///< calls that wait for their batch here
  std::size_t watcher_count = 0;       ///< clients that wait for puts here
  common::RegisterValue epoch;         ///< the newest epoch that is known, with its acceptors
  std::int64_t known_number = 0;       ///< of the newest value known to be chosen; 0: none
  std::size_t state_bytes = 0;         ///< of that value
  const State* known_state = nullptr;  ///< not owned; null: none is known, or it cannot be read
};

/// The JSON body of `Coordination.Retrieve` (api/operators.yaml).
std::string coordination_status_json(const CoordinationStatus& status);

}  // namespace chutevane::control::coordination
