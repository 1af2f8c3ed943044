/// Calls and answers as they go from one controller to another. No I/O.
#pragma once

#include <optional>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/coordination/call.hpp"

namespace chutevane::control::coordination {

/// Without the echo of the receiver's clock, which the sender adds.
common::CoordinationCall to_message(const Call& call, Span time_left);
common::CoordinationAnswer to_message(const Answer& answer);
/// Nothing: the operation is not known here, as that of a later version.
std::optional<Call> call_of(const common::CoordinationCall& message);
/// An outcome that is not known here counts as `undetermined`.
Answer from_message(const common::CoordinationAnswer& message);

}  // namespace chutevane::control::coordination
