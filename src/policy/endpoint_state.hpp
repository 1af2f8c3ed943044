/// What a balancer knows of one endpoint.
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
  TimePoint started_at;       ///< of its process; zero: long ago
  bool is_unlisted = false;   ///< the list has removed it; it is kept until it fails (endpoint_list.cpp)
  bool is_in_subset = false;  ///< of the endpoints that this sidecar prefers

  // --- Calls and connections
  int in_flight = 0;
  int connections = 0;     ///< that have served and may still be open
  TimePoint last_used_at;  ///< of any connection; zero: never
  TimePoint active_since;  ///< last sign of life; or, with none since, when calls began to be in flight

  // --- Health
  int consecutive_failures = 0;
  Span ejection_pause;  ///< of the last ejection, doubled with each; zero: it is not ejected
  TimePoint ejected_until;
  bool is_outlier = false;        ///< its tail latency is far above its peers': one call at a time
  double concurrency_cap = -1.0;  ///< calls in flight, after a start or an ejection; negative: no cap

  // --- Latency and load
  double latency_ms = 0.0;     ///< smoothed over responses; 0: not measured
  double reported_load = 0.0;  ///< calls that it holds, as last reported
  TimePoint load_reported_at;
  TimePoint load_published_at;  ///< by or to other sidecars

  // --- Slow start
  double slow_start_tokens = 0.0;  ///< calls that may be sent to it while it warms up
  TimePoint slow_start_refilled_at;

  /// Last, as it is large: what every choice of an endpoint reads stays close together.
  WindowedHistogram response_times;
};

}  // namespace chutevane
