/// Parses the HTTP requests of the coordination service (api/operators.yaml). No I/O.
///
/// Every field of a request is checked: one that is missing, malformed or out of bounds adds a finding that
/// names the field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "chutevane/types.hpp"
#include "common/findings.hpp"
#include "control/coordination/call.hpp"
#include "http/parser.hpp"

namespace chutevane::control::coordination {

/// A request to wait for the puts of a group after a revision.
struct WatchRequest {
  std::string group;       ///< including its dot
  std::int64_t after = 0;  ///< 0 requests only the current revision
  Span wait;               ///< maximum time to wait for a put
};

using CoordinationRequest = std::variant<Call, WatchRequest>;

/// Returns true if the request target belongs to this service, whatever the method.
bool is_coordination_target(std::string_view target);

/// Parses the request. The id of a call is not set. Returns std::nullopt if the request is invalid: either
/// `findings` has the reasons, or, if it is empty, the method does not exist for the target.
std::optional<CoordinationRequest> read_coordination_request(const http::Parser& request,
                                                             common::Findings& findings);

}  // namespace chutevane::control::coordination
