/// Why a client did not get an endpoint's whole response: one cause for each response of the edge's own and
/// for each connection that ends too early. Counted as metrics and written to a rate-limited log. A request
/// that succeeds costs nothing here.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "chutevane/types.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"

namespace chutevane::edge {

/// The names are the values of the metrics' label `cause` and of `cause=` in the log.
enum class FailureCause : std::uint8_t {
  // The edge answers: the request is wrong, or no configuration allows it.
  malformed_request,   ///< 400, 413, 414, 431, 501, as the parser says
  slow_request,        ///< 408: it was not complete in time
  missing_attempt_id,  ///< 400: a turn without one
  missing_program,     ///< 400: a request with a budget and without a program
  no_route,            ///< 404
  no_such_turn,        ///< 404: proven by storage
  budget_spent,        ///< 402
  // The edge answers 503: it has not run and will not.
  no_configuration,
  route_uncertain,   ///< no route is known, and there is no session with control
  turn_uncertain,    ///< storage can't tell in time whether there is such a turn
  budget_uncertain,  ///< no quorum of storage has reserved the budget in time
  no_endpoint,       ///< none is listed, or none has capacity
  endpoints_full,    ///< all that it may be sent to have rejected it
  time_spent,        ///< no time was left for an attempt
  // The edge answers 502 or 504: it may have run.
  endpoint_broke_off,
  bad_answer,             ///< no seal, another request's id, a content encoding
  refusal_without_proof,  ///< a status that states that it did not run, without the endpoint's proof
  endpoint_timeout,       ///< no whole response in time
  // The client's connection ends before its response does.
  stream_broke_off,  ///< by its endpoint
  stream_bad,        ///< event ids that do not rise, an event that is too large
  stream_timeout,
  turn_not_kept,   ///< no quorum of storage has stored it in time
  process_ended,   ///< the time for a graceful shutdown was over
  client_left,     ///< the client has closed or reset its connection
  client_stalled,  ///< the client does not read its response, or is idle for too long
};
constexpr std::size_t failure_cause_count = static_cast<std::size_t>(FailureCause::client_stalled) + 1;
std::string_view name_of(FailureCause cause);
/// Whether the client's connection ended before its response did; else the edge answered itself.
constexpr bool closes_connection(FailureCause cause) { return cause >= FailureCause::stream_broke_off; }

/// What is known of a request when it fails. The views need to live only for the call that takes the report.
struct FailureReport {
  FailureCause cause = FailureCause::no_endpoint;
  int status = 0;  ///< of the edge's own response; 0: the connection was closed
  std::string_view attempt_id;
  std::string_view route;
  std::string_view service;
  std::string_view endpoint;      ///< of the last attempt
  std::string_view last_attempt;  ///< how it ended
  Span elapsed;                   ///< since the request was read completely
  std::size_t attempts = 0;       ///< that were sent to endpoints
  Span control_state_age;         ///< age of the newest state that a session with control has confirmed
  std::size_t sessions = 0;       ///< open sessions with control
  std::int64_t configuration_version = 0;
  std::int64_t storage_map = 0;  ///< number of the storage map
};
/// The report as `key=value` pairs for the log; values are cut at 64 bytes.
std::string describe(const FailureReport& report);

/// Counts failures by cause and logs them, at most 20 lines a second. Not thread-safe.
class FailureRecorder {
 public:
  void count(FailureCause cause) { ++counts_[static_cast<std::size_t>(cause)]; }
  std::uint64_t count_of(FailureCause cause) const { return counts_[static_cast<std::size_t>(cause)]; }
  /// `make_report` is called only where the line is going to be written.
  template <class MakeReport>
  void log(TimePoint now, MakeReport&& make_report) {
    if (log_.admits(now)) log_.line(describe(make_report()));
  }
  void write(common::MetricsWriter& out) const;

 private:
  static constexpr int max_lines_per_second = 20;
  std::array<std::uint64_t, failure_cause_count> counts_{};
  common::RateLimitedLog log_{"request.failed", max_lines_per_second};
};

}  // namespace chutevane::edge
