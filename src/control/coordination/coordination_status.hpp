/// One controller's view of the coordination service, for operators. No I/O.
///
/// It is taken from this controller's own copy of the state without asking other controllers. It may
/// therefore be outdated, and is also served while calls are answered with 503.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "common/messages.hpp"
#include "control/coordination/state.hpp"

namespace chutevane::control::coordination {

/// Returns true if the request target is `Coordination.Retrieve`, whatever the method and the query.
bool is_status_target(std::string_view target);

/// Maximum length of each list of names in one response, in order of names. The totals count all names.
constexpr std::size_t max_listed_names = 200;

/// State of one controller's part of the service.
struct CoordinationStatus {
  std::string node;
  std::string proposer;                ///< address of the controller that currently proposes calls
  bool is_available = false;           ///< whether calls can be executed here
  std::size_t queue_length = 0;        ///< calls that wait for their batch here
  std::size_t watcher_count = 0;       ///< clients that wait for puts here
  common::RegisterValue epoch;         ///< newest known epoch, with its acceptors
  std::int64_t known_number = 0;       ///< number of the newest value known to be chosen; 0 if none
  std::size_t state_bytes = 0;         ///< size of that value
  const State* known_state = nullptr;  ///< not owned; null if none is known or it cannot be decoded
};

/// Returns the JSON body of the response to `Coordination.Retrieve` (api/operators.yaml).
std::string coordination_status_json(const CoordinationStatus& status);

}  // namespace chutevane::control::coordination
