/// Intervals and timeouts that several parts of a controller share.
#pragma once

#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// Interval of the controller's loop, which sends gossip and heartbeats and runs elections.
constexpr Span tick_interval = Span::ms(250);
/// A peer whose last gossip message is more recent than this is live. Slightly more than three gossip
/// intervals.
constexpr Span peer_liveness_timeout = Span::ms(800);
/// Interval at which the long parts of periodic messages are repeated, for receivers that missed the last
/// one.
constexpr Span full_message_interval = Span::ms(2000);

/// Returns a seed for random choices that depends on `name` and on the time.
std::uint64_t seed_of(const std::string& name, TimePoint now);

}  // namespace chutevane::control
