/// Intervals and limits of a controller, shared by the sources of ControlPlane.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

constexpr Span tick_every = Span::ms(250);
constexpr Span peer_heard = Span::ms(800);        // three words: a peer that was heard of within is there
constexpr Span peer_forgotten = Span::ms(15000);  // a machine that was replaced does not come back
constexpr Span session_heard = Span::ms(1300);    // four beats of a sidecar
constexpr Span behind_most = Span::ms(150);       // news of a change comes within some ms, or is asked for
constexpr Span list_every = Span::ms(600);        // a fifth of the time to drain; each reading has its price
constexpr Span whole_elsewhere = Span::ms(600);   // a session's first way has brought the whole value by then
constexpr Span full_every = Span::ms(2000);       // of the words that say all
constexpr Span members_settled_after = Span::ms(3000);  // a full word of each peer, and a lost session anew
constexpr Span acks_most = Span::ms(300);               // an operator waits so long for edges to acknowledge
constexpr Span answer_most = Span::ms(350);             // of an acceptor: two ways and a sync take some ms
constexpr Span vote_most = Span::ms(300);
constexpr Span leave_least = Span::ms(400);   // between SIGTERM and the end: calls under way
constexpr Span leave_again = Span::ms(50);    // then it looks so often whether its place is another's
constexpr Span grace_spare = Span::ms(600);   // before the platform ends it by force
constexpr std::size_t body_most = 8U << 20U;  // bytes of a configuration

/// A seed for random choices that differs by name and by time of start.
std::uint64_t seed_of(const std::string& text, TimePoint now);

}  // namespace chutevane::control
