/// A balancer's state of one endpoint.
#pragma once

#include <cstdint>

#include "base/histogram.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

struct Endpoint {
  [[nodiscard]] bool is_ready() const { return availability == Availability::ready; }

  // --- From the endpoint list
  EndpointId id = 0;
  std::uint64_t ring_hash = 0;  ///< the same at all sidecars
  std::uint16_t zone = 0, cell = 0, model = 0;
  Availability availability = Availability::gone;
  TimePoint started_at;       ///< start time of its process; zero: long ago
  bool is_unlisted = false;   ///< the list has removed it; it is kept until it fails (endpoint_list.cpp)
  bool is_in_subset = false;  ///< it is in the subset that this sidecar prefers

  // --- Calls and connections
  int in_flight = 0;
  int connections = 0;     ///< connections that have served a call and may still be open
  TimePoint last_used_at;  ///< last use of any of its connections; zero: never
  TimePoint active_since;  ///< last response; without one, the time since which calls have been in flight

  // --- Health
  int consecutive_failures = 0;
  Span ejection_pause;  ///< duration of the last ejection, doubled with each one; zero: not ejected
  TimePoint ejected_until;
  bool is_outlier = false;        ///< its tail latency is far above its peers', so it gets one call at a time
  double concurrency_cap = -1.0;  ///< maximum calls in flight after a start or an ejection; negative: no cap

  // --- Latency and load
  double latency_ms = 0.0;     ///< smoothed over responses; 0: not measured
  double reported_load = 0.0;  ///< calls in the endpoint, as last reported
  TimePoint load_reported_at;
  TimePoint load_published_at;  ///< last time that this or another sidecar published its load

  // --- Slow start
  double slow_start_tokens = 0.0;  ///< calls that may be sent to it while it warms up
  TimePoint slow_start_refilled_at;

  /// The last member because it is large: the members that endpoint selection reads stay close together.
  WindowedHistogram response_times;
};

}  // namespace chutevane
