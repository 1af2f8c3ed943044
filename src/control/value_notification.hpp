/// How a controller notifies another one of a chosen value. No I/O.
///
/// The notification carries the difference from the receiver's value where that is known, or the full value.
/// One that cannot be applied is dropped: its receiver finds out by gossip that it is behind, and reads the
/// register.
#pragma once

#include <cstdint>

#include "common/value_update.hpp"
#include "control/register.hpp"

namespace chutevane::control {

/// What is known of the receiver, by its gossip or by what it was sent.
struct PeerPosition {
  std::int64_t epoch = 0;
  std::int64_t number = 0;  // of its newest value; 0: not known
};

/// A notification of the newest value that `reg` knows; there must be one. `recent`: this controller's recent
/// values, from which the difference is made.
common::Chosen make_chosen_notification(common::RecentValues& recent, const Register& reg,
                                        const PeerPosition& receiver);

/// Applies a notification to `reg`. `recent`: the receiver's recent values. False: it could not be applied.
bool apply_chosen_notification(Register& reg, const common::RecentValues& recent,
                               const common::Chosen& notification);

}  // namespace chutevane::control
