/// Reads the HTTP requests of the coordination service (api/operators.yaml). No I/O.
///
/// Everything in a request is checked: a field that is missing, malformed or out of its bounds is a finding
/// that names its place.
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

/// A request for the puts of a group after a revision.
struct WatchRequest {
  std::string group;       ///< with its dot
  std::int64_t after = 0;  ///< 0: only the present revision is asked for
  Span wait;               ///< how long to wait for a put at most
};

using CoordinationRequest = std::variant<Call, WatchRequest>;

/// Whether the request's target is one of this service's, whatever its method.
bool is_coordination_target(std::string_view target);

/// What the request asks for; a call's id is not set. Nothing: it has findings, or, where it has none, its
/// method does not exist for its target.
std::optional<CoordinationRequest> read_coordination_request(const http::Parser& request,
                                                             common::Findings& findings);

}  // namespace chutevane::control::coordination
