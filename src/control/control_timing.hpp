/// Intervals and timeouts that several parts of a controller share.
#pragma once

#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// The controller's loop: gossip, heartbeats, elections.
constexpr Span tick_interval = Span::ms(250);
/// A peer that was heard of within this time is live: three gossip intervals and some.
constexpr Span peer_liveness_timeout = Span::ms(800);
/// Long parts of periodic messages are repeated so often, for those that missed the last one.
constexpr Span full_message_interval = Span::ms(2000);

/// A seed for random choices that differs by name and by time of start.
std::uint64_t seed_of(const std::string& name, TimePoint now);

}  // namespace chutevane::control
