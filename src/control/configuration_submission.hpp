/// An operator's submission of a configuration, and what a value of the register says of it. No I/O.
///
/// A submission is its base version, its own version and its bytes; a retry has all three alike. Versions
/// rise with each configuration that is accepted, so a submission can be applied to at most one value, and
/// the history of accepted configurations in the value tells a retry from a submission that was superseded.
/// The history is bounded. Where it does not reach back far enough the outcome is undetermined, never
/// superseded. docs/control-side/orders.md proves this.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/messages.hpp"

namespace chutevane::control {

/// Accepted configurations in the history. Each takes about 13 bytes of the value that acceptors store. It
/// covers hours of a day with 16,000 changes, and more than a day with hundreds.
constexpr std::size_t configuration_history_limit = 4096;

/// What an operator submits; all of it makes its identity.
struct ConfigurationSubmission {
  std::int64_t base = 0;     // the version that it was built on
  std::int64_t version = 0;  // its own
  std::int64_t hash = 0;     // common::hash_of(body)
  std::string body;          // the configuration as the operator sent it
};

/// Of a submission, by a value of the register.
enum class SubmissionStatus : std::uint8_t {
  applicable,      // its base is current: applying it is the next change
  accepted,        // it was applied, now or at some earlier time
  superseded,      // a later version than its base is current; it was not applied and never will be
  not_above_base,  // its version is not above its own base: it can't be applied to any value
  undetermined,    // its base is not current yet, or the history does not reach back to it
};

/// What `current`, a chosen value, says of the submission. `history_limit`: entries that the history holds at
/// most; it must be the same at all controllers.
[[nodiscard]] SubmissionStatus evaluate(const common::RegisterValue& current,
                                        const ConfigurationSubmission& submission,
                                        std::size_t history_limit = configuration_history_limit);

/// The next value, with the submission applied to `current`. Its status must be `applicable`.
[[nodiscard]] common::RegisterValue apply_submission(const common::RegisterValue& current,
                                                     const ConfigurationSubmission& submission,
                                                     std::size_t history_limit = configuration_history_limit);

}  // namespace chutevane::control
