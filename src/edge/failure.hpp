// Why a client did not get an endpoint's whole answer: one cause for each own answer, cut and closed
// connection, counted and told in a bounded log line. Nothing here acts on the ordinary path.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "chutevane/types.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"

namespace chutevane::edge {

enum class Cause : std::uint8_t {
  // Own answers: the request is wrong, or no configuration allows it.
  malformed_request,   // 400, 413, 414, 431, 501, as the parser says
  slow_request,        // 408: it did not come whole in time
  missing_attempt_id,  // 400: a turn without one
  missing_program,     // 400: a turn with a budget and without a program
  no_route,            // 404
  no_such_turn,        // 404: storage is certain
  budget_spent,        // 402
  // Own answers: 503, it has not run and will not.
  no_configuration,
  route_uncertain,   // no route here, and no session with control stands
  turn_uncertain,    // storage is not certain whether there is such a turn
  budget_uncertain,  // no majority of storage has set the budget aside in time
  no_endpoint,       // none is listed, or none has room
  endpoints_full,    // all that it may be sent to have turned it away
  time_spent,        // no time was left for an attempt
  // Own answers: 502 and 504, it may have run.
  endpoint_broke_off,
  bad_answer,             // no seal, another request's id, an encoding
  refusal_without_proof,  // a status that promises what the endpoint has not proven
  endpoint_timeout,       // no whole answer within the time
  // The client's connection ends without a whole answer.
  stream_broke_off,  // by its endpoint
  stream_bad,        // event ids that do not rise, an event that is too large
  stream_timeout,
  turn_not_kept,   // no majority of storage has kept it in time
  process_ended,   // the time to end was over with a request in hand
  client_left,     // the client has closed or reset its connection
  client_stalled,  // the client takes nothing of its answer, or rests too long
};
constexpr std::size_t causes = static_cast<std::size_t>(Cause::client_stalled) + 1;
std::string_view name_of(Cause cause);
// Whether the connection ended without a whole answer.
constexpr bool closes_connection(Cause cause) { return cause >= Cause::stream_broke_off; }

// What is known of the request when it fails.
struct FailureReport {
  Cause cause = Cause::no_endpoint;
  int status = 0;  // of the own answer; 0: the connection was closed
  std::string_view attempt_id, route, service, endpoint;
  Span held;                 // since the request was read whole
  std::size_t attempts = 0;  // that were sent to endpoints
  Span session_age;          // of what is known from control
  std::size_t sessions = 0;  // with control that stand
  std::int64_t configuration_version = 0, map = 0;
  std::string_view last_attempt;  // how the last attempt ended
};
std::string describe(const FailureReport& report);

// Counts failures by cause and writes their lines.
class FailureCounters {
 public:
  FailureCounters() = default;
  void count(Cause cause) { ++counts_[static_cast<std::size_t>(cause)]; }
  std::uint64_t of(Cause cause) const { return counts_[static_cast<std::size_t>(cause)]; }
  // `report` makes the report, only where a line may go out.
  template <class MakeReport>
  void log(TimePoint now, MakeReport&& report) {
    if (log_.admits(now)) log_.line(describe(report()));
  }
  void write(common::MetricsWriter& out) const;

 private:
  static constexpr int lines_most = 20;  // a second
  std::array<std::uint64_t, causes> counts_{};
  common::RateLimitedLog log_{"request.failed", lines_most};
};

}  // namespace chutevane::edge
