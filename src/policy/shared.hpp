// What several concerns go by.
#pragma once

#include <algorithm>
#include <cmath>
#include <numeric>

#include "base/mix_bits.hpp"
#include "base/remembered.hpp"
#include "state.hpp"

namespace chutevane {

constexpr double arc_least = 3.0;    // endpoints: two may fail and two are left to choose from
constexpr double limit_least = 2.5;  // calls at work per endpoint over all sidecars: fewer idle its cores
constexpr int trial_answers = 25;  // that a remembered limit is tried by: as many as late_gain looks back on
constexpr Span limit_every = Span::ms(250);  // long enough for some tens of answers on a busy sidecar
constexpr double tell_scale = 16.0;          // news are whole numbers
constexpr double fresh_start = 1.0;          // call in flight: enough to hear whether it answers
constexpr double retry_depth = 20.0;         // dispatches: a sidecar's calls on one endpoint that dies
constexpr Span look_every = Span::ms(50);    // how often silence and waits are looked at
constexpr Span clock_grain = Span::ms(1);    // what times lose by being cut to whole microseconds, amply
constexpr Span answer_guard = Span::ms(25);  // waits end this long before the client timeout
constexpr Span subscribe_first = Span::ms(500), subscribe_most = Span::ms(8000);  // pause after a failed ask

}  // namespace chutevane
