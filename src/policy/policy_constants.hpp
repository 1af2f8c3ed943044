/// Constants that several parts of the policy share. Others are defined in the source that uses them.
#pragma once

#include "chutevane/types.hpp"

namespace chutevane {

constexpr double min_subset_size = 3.0;  // usable endpoints; if one fails, two are left to choose from
// Calls in progress at an endpoint, over all sidecars. With fewer its cores are idle.
constexpr double min_calls_per_endpoint = 2.5;
constexpr int trial_results = 25;  // results that test a restored limit: the memory of late_gain
constexpr Span limit_update_interval = Span::ms(250);  // some tens of results on a busy sidecar
constexpr double published_load_scale = 16.0;          // loads are published as whole numbers
constexpr double initial_concurrency_cap = 1.0;        // calls in flight: enough to see whether it responds
constexpr double max_retry_tokens = 20.0;              // retries: a sidecar's calls at one endpoint that dies
constexpr Span look_interval = Span::ms(50);     // between checks for silent endpoints and waiting calls
constexpr Span clock_granularity = Span::ms(1);  // well above the truncation of times to microseconds
constexpr Span response_margin = Span::ms(25);   // time between the end of a wait and the client's timeout
constexpr Span initial_subscribe_backoff = Span::ms(500), max_subscribe_backoff = Span::ms(8000);

}  // namespace chutevane
