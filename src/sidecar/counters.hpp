/// What a sidecar has received, sent and answered since it started. Printed on SIGUSR1 and at the end
/// (as_json()), and served at the admin address (summary_json()); the printed names are those of the
/// operators' pages and do not follow the members' names here.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::sidecar {

/// What a downstream connection was doing when it was closed.
enum class DownstreamClose : std::uint8_t {
  before_request,
  within_request,
  call_in_flight,
  writing,
  after_last_response,
  idle
};

/// How a request ended for its client, by the status that was sent: a response, a rejection that is safe to
/// retry, or an abort without such a promise.
enum class RequestResult : std::uint8_t { succeeded, declined, aborted };

struct Counters {
  /// Requests of one track and how they ended, each counted once.
  struct Class {
    std::string name;
    std::array<std::uint64_t, 3> results{};  // by RequestResult
  };
  std::vector<Class> classes;     // by track
  std::uint64_t forwards = 0;     // dispatches whose last byte was written
  std::uint64_t outstanding = 0;  // requests that have been accepted and have not ended
  std::uint64_t sighup_applied = 0, sighup_rejected = 0;

  // API calls
  std::uint64_t calls = 0, completed = 0, rejected = 0, aborted = 0;
  std::uint64_t client_disconnects = 0;  // the client left while its call was in flight
  std::uint64_t bad_requests = 0;        // answered locally with 4xx
  std::uint64_t limited = 0;             // rejected by a service's limits
  std::uint64_t cross_pool_retries = 0;  // given by one pool to another

  // Dispatches to endpoints
  std::uint64_t dispatches = 0;
  std::array<std::uint64_t, 8> outcomes{};  // by Outcome
  /// Coverage for tests and simulations: outcomes by the stage of the upstream connection, and what the
  /// balancer has decided, by Verdict.
  std::array<std::array<std::uint64_t, 8>, 5> outcomes_by_stage{};
  std::array<std::uint64_t, 9> verdicts{};
  std::array<std::uint64_t, 6> downstream_closes{};  // connections, by DownstreamClose

  // Connections
  std::uint64_t upstream_opened = 0, upstream_reused = 0;
  std::uint64_t downstream_accepted = 0;
  std::uint64_t downstream_evicted = 0;     // closed to make room for a new one
  std::uint64_t downstream_rebalanced = 0;  // closed with a rejection, to be opened anew at another sidecar

  // Updates of the endpoint list
  std::uint64_t list_updates = 0, list_failures = 0;

  void record_result(std::uint32_t track, RequestResult result) {
    if (track < classes.size()) ++classes[track].results[static_cast<std::size_t>(result)];
  }
  std::string as_json() const;
  /// `discovered`: endpoints in the list; `ejected`: those of them that get no calls at the moment.
  std::string summary_json(std::size_t discovered, std::size_t ejected) const;
};

}  // namespace chutevane::sidecar
