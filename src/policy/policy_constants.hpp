/// Constants that several concerns of the policy share. Those of one concern stand in its source.
#pragma once

#include "chutevane/types.hpp"

namespace chutevane {

constexpr double min_subset_size = 3.0;         // endpoints: two may fail and two are left to choose from
constexpr double min_calls_per_endpoint = 2.5;  // in progress, over all sidecars: fewer leave its cores idle
constexpr int trial_results = 25;               // as many as late_gain looks back on: tries a restored limit
constexpr Span limit_update_interval = Span::ms(250);  // some tens of results on a busy sidecar
constexpr double published_load_scale = 16.0;          // loads are published as whole numbers
constexpr double initial_concurrency_cap = 1.0;        // calls in flight: enough to see whether it responds
constexpr double max_retry_tokens = 20.0;        // dispatches: a sidecar's calls at one endpoint that dies
constexpr Span look_interval = Span::ms(50);     // between checks for silence, and of calls that wait
constexpr Span clock_granularity = Span::ms(1);  // amply what times lose by truncation to microseconds
constexpr Span response_margin = Span::ms(25);   // waits end so long before the client gives up
constexpr Span initial_subscribe_backoff = Span::ms(500), max_subscribe_backoff = Span::ms(8000);

}  // namespace chutevane
