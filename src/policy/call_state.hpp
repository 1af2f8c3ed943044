/// A balancer's state of one call and its attempts, and the traffic classes that calls belong to.
#pragma once

#include <array>
#include <cstdint>

#include "base/row.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

inline constexpr std::size_t max_dispatches_of_call = 8;

/// Whether a call may be retried after an attempt that may have been executed.
enum class Idempotency : std::uint8_t {
  idempotent,      ///< always ("replayable")
  keyed,           ///< for a limited time, at endpoints that know its idempotency key ("referenced")
  non_idempotent,  ///< never ("single-use")
};

/// The endpoints that know the idempotency key of a keyed call: all, or those in the zone or the cell of the
/// first endpoint that may have executed it.
enum class RetryScope : std::uint8_t { all, zone, cell };

/// A traffic class, as defined by the deployment's settings ("tracks.N.").
struct Track {
  Span latency_target;      ///< a response within this time has the full value ("soft_limit_ms")
  Span client_timeout;      ///< the usual timeout of clients
  Span idempotency_window;  ///< time during which a keyed call may be retried ("repeat_window_ms")
  double value = 1.0;       ///< value of a response within the latency target ("payoff")
  double late_value = 0.0;  ///< value of a response after the latency target
  Idempotency idempotency = Idempotency::idempotent;
  RetryScope retry_scope = RetryScope::all;
  bool is_ordered_by_key = false;  ///< calls with the same key run one at a time, in order of arrival
};

/// The timeouts that clients of a track usually state on their first try. A call with a shorter timeout is
/// taken for a client's retry.
struct TimeoutStatistics {
  struct Candidate {
    Span timeout;
    double weight = 0.0;
  };
  std::array<Candidate, 3> candidates;
  std::size_t usual = 0;  ///< the most frequent one
};

struct KeyPopularity {
  std::uint64_t key = 0;
  double weight = 0.0;  ///< fraction of the recent calls
};

/// The calls of one key, which run one at a time in order of arrival. The first one is in flight, or is the
/// next to be sent.
struct KeyQueue : IntrusiveQueue {
  std::uint64_t key = 0;
  int length = 0;
  bool in_use = false;
  TimePoint blocked_until;  ///< time by which an attempt of unknown outcome has ended, by the settings
};

/// One attempt of a call.
struct Dispatch {
  std::uint32_t endpoint = 0;  ///< index into the balancer's endpoints
  TimePoint sent_at;
  std::uint16_t zone = 0, cell = 0;  ///< the endpoint's when sent: its id may return in another zone or cell
  bool is_in_flight = false;
  bool has_adaptive_timeout = false;  ///< its timeout is shorter than the client's
  bool is_abandoned = false;          ///< cancelled because its endpoint is silent; the call is to be retried
  Span connection_idle;               ///< how long the endpoint's connection had been idle
};

/// An API call, from its arrival until its last attempt has ended.
struct Call {
  CallId id = 0;
  std::uint32_t track = 0;
  double value = 0.0;
  std::uint64_t key = 0;
  double key_popularity = 0.0;  ///< fraction of the recent calls with this key, at arrival

  TimePoint arrived_at;
  TimePoint deadline;         ///< when the client times out
  TimePoint target_deadline;  ///< the end of the latency target, counted from the client's first try
  TimePoint wait_until;       ///< the end of its wait for an endpoint, or in its key's queue
  TimePoint progressed_at;    ///< when a part of its request was last forwarded

  bool in_use = false;
  bool is_over = false;       ///< the client has its response, or has disconnected
  bool is_waiting = false;    ///< waiting for an endpoint
  bool is_uploading = false;  ///< its large request is still being received
  bool is_queued = false;     ///< waiting behind other calls with its key
  std::uint32_t key_queue = KeyQueue::none;
  std::uint32_t next_in_queue = KeyQueue::none;

  std::uint8_t dispatch_count = 0;
  std::uint8_t in_flight_count = 0;
  std::uint8_t dispatched_elsewhere = 0;  ///< attempts by other pools, which count against the same budget
  int first_executed = -1;                ///< the earliest attempt that may have been executed; -1: none
  TimePoint executed_since;               ///< when that attempt was sent
  std::array<Dispatch, max_dispatches_of_call> dispatches;
};

}  // namespace chutevane
