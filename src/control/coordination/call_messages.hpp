/// Conversion of calls and answers to and from the messages that controllers exchange. No I/O.
#pragma once

#include <optional>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/coordination/call.hpp"

namespace chutevane::control::coordination {

/// Returns the message for a call. The sender must add the echo of the receiver's clock. `time_left` is the
/// time until the client stops waiting.
common::CoordinationCall to_message(const Call& call, Span time_left);
/// Returns the message for an answer.
common::CoordinationAnswer to_message(const Answer& answer);
/// Returns the call in a message, or std::nullopt if its operation is unknown, e.g. from a later version.
std::optional<Call> call_of(const common::CoordinationCall& message);
/// Returns the answer in a message. An unknown outcome becomes `undetermined`.
Answer from_message(const common::CoordinationAnswer& message);

}  // namespace chutevane::control::coordination
