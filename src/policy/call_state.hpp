/// What a balancer knows of one call and of its attempts, and of the traffic classes that calls belong to.
#pragma once

#include <array>
#include <cstdint>

#include "base/row.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

inline constexpr std::size_t max_dispatches_of_call = 8;

/// Whether a call may be sent again once an attempt of it may have been executed.
enum class Idempotency : std::uint8_t {
  idempotent,      ///< always ("replayable")
  keyed,           ///< for some time, to endpoints that know its idempotency key ("referenced")
  non_idempotent,  ///< never ("single-use")
};

/// The endpoints that know the idempotency key of a keyed call, by the first one that may have executed it.
enum class RetryScope : std::uint8_t { all, zone, cell };

/// A traffic class, as the deployment's settings state it ("tracks.N.").
struct Track {
  Span latency_target;      ///< a response within it has the full value ("soft_limit_ms")
  Span client_timeout;      ///< when clients commonly give up
  Span idempotency_window;  ///< how long a keyed call may be sent again ("repeat_window_ms")
  double value = 1.0;       ///< of a response in time ("payoff")
  double late_value = 0.0;  ///< of a response after the latency target
  Idempotency idempotency = Idempotency::idempotent;
  RetryScope retry_scope = RetryScope::all;
  bool is_ordered_by_key = false;  ///< calls with the same key run one at a time, in their order
};

/// The timeouts that clients of a track commonly state on their first try: a call with a shorter one is taken
/// for a client's retry.
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

/// The calls of one key that run one at a time, in the order in which they arrived. The first one is in
/// flight, or is the next to be sent.
struct KeyQueue : Row {
  std::uint64_t key = 0;
  int length = 0;
  bool in_use = false;
  TimePoint blocked_until;  ///< by then an attempt whose end is unknown has ended, as the settings state
};

/// One attempt of a call.
struct Dispatch {
  std::uint32_t endpoint = 0;  ///< index
  TimePoint sent_at;
  std::uint16_t zone = 0, cell = 0;  ///< the endpoint's at sending: its id may come back elsewhere
  bool is_in_flight = false;
  bool has_adaptive_timeout = false;  ///< one that is shorter than the client's
  bool is_abandoned = false;  ///< cancelled since its endpoint is silent; the call is to be sent again
  Span connection_idle;       ///< how long the endpoint's connection had idled
};

struct Call {
  CallId id = 0;
  std::uint32_t track = 0;
  double value = 0.0;
  std::uint64_t key = 0;
  double key_popularity = 0.0;  ///< as the call arrived

  TimePoint arrived_at;
  TimePoint deadline;         ///< when the client gives up
  TimePoint target_deadline;  ///< the end of the latency target, from the client's first try
  TimePoint wait_until;       ///< how long it waits for an endpoint, or in its key's queue
  TimePoint progressed_at;    ///< when a part of its request was last sent on

  bool in_use = false;
  bool is_over = false;       ///< the client has its answer, or has left
  bool is_waiting = false;    ///< for an endpoint
  bool is_uploading = false;  ///< its request is large and still arrives
  bool is_queued = false;     ///< behind others of its key
  std::uint32_t key_queue = KeyQueue::none;
  std::uint32_t next_in_queue = KeyQueue::none;

  std::uint8_t dispatch_count = 0;
  std::uint8_t in_flight_count = 0;
  std::uint8_t dispatched_elsewhere = 0;  ///< by other pools: one budget covers all
  int first_executed = -1;                ///< the earliest attempt that may have been executed; -1: none
  TimePoint executed_since;               ///< when that one was sent
  std::array<Dispatch, max_dispatches_of_call> dispatches;
};

}  // namespace chutevane
