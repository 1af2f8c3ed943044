/// Evaluates an operator's submission of a configuration against a value of the register. No I/O.
///
/// A submission is identified by its base version, its own version and its bytes; a retry repeats all three.
/// Versions rise with each accepted configuration, so a submission can be applied to at most one value. The
/// history of accepted configurations in the value distinguishes a retry from a superseded submission. The
/// history is bounded; if it does not reach back far enough, the status is undetermined, never superseded.
/// docs/control-side/orders.md proves this.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/messages.hpp"

namespace chutevane::control {

/// Maximum number of accepted configurations in the history. Each takes about 13 bytes of the value that
/// acceptors store. The history covers hours at 16,000 changes a day, and more than a day at hundreds a day.
constexpr std::size_t configuration_history_limit = 4096;

/// A configuration as an operator submits it. All fields together identify the submission.
struct ConfigurationSubmission {
  std::int64_t base = 0;     // version that the configuration was derived from
  std::int64_t version = 0;  // version of the configuration
  std::int64_t hash = 0;     // common::hash_of(body)
  std::string body;          // the configuration as the operator sent it
};

/// Status of a submission with respect to a value of the register.
enum class SubmissionStatus : std::uint8_t {
  applicable,      // its base is current: applying it is the next change
  accepted,        // it was applied, now or at some earlier time
  superseded,      // a later version than its base is current; it was not applied and never will be
  not_above_base,  // its version is not above its own base: it cannot be applied to any value
  undetermined,    // its base is not current yet, or the history does not reach back to it
};

/// Returns the status of the submission with respect to `current`, a chosen value. `history_limit`: maximum
/// number of entries in the history; it must be the same at all controllers.
[[nodiscard]] SubmissionStatus evaluate(const common::RegisterValue& current,
                                        const ConfigurationSubmission& submission,
                                        std::size_t history_limit = configuration_history_limit);

/// Returns `current` with the submission applied. The status of the submission must be `applicable`.
[[nodiscard]] common::RegisterValue apply_submission(const common::RegisterValue& current,
                                                     const ConfigurationSubmission& submission,
                                                     std::size_t history_limit = configuration_history_limit);

}  // namespace chutevane::control
