/// Creates and applies the notification of a chosen value from one controller to another. No I/O.
///
/// The notification carries the difference from the receiver's value if that is known, else the full value. A
/// notification that cannot be applied is dropped: its receiver detects from gossip that it is behind, and
/// reads the register.
#pragma once

#include <cstdint>

#include "common/value_update.hpp"
#include "control/register.hpp"

namespace chutevane::control {

/// The position of a receiver, known from its gossip or from what it was sent.
struct PeerPosition {
  std::int64_t epoch = 0;
  std::int64_t number = 0;  // of its newest value; 0 if not known
};

/// Returns a notification of the newest value that `reg` knows; there must be one. `recent`: this
/// controller's recent values, from which the difference is computed.
common::Chosen make_chosen_notification(common::RecentValues& recent, const Register& reg,
                                        const PeerPosition& receiver);

/// Applies a notification to `reg`. Returns false if it cannot be applied. `recent`: the receiver's recent
/// values.
bool apply_chosen_notification(Register& reg, const common::RecentValues& recent,
                               const common::Chosen& notification);

}  // namespace chutevane::control
