/// Request failures: names of causes, log lines and metrics.
#include "edge/request_failure.hpp"

namespace chutevane::edge {
namespace {

// In the order of FailureCause.
constexpr std::array<std::string_view, failure_cause_count> cause_names = {
    "malformed_request",
    "slow_request",
    "missing_attempt_id",
    "missing_program",
    "no_route",
    "no_such_turn",
    "budget_spent",
    "no_configuration",
    "route_uncertain",
    "turn_uncertain",
    "budget_uncertain",
    "no_endpoint",
    "endpoints_full",
    "time_spent",
    "memory_full",
    "too_many_connections",
    "endpoint_broke_off",
    "bad_answer",
    "refusal_without_proof",
    "response_memory_full",
    "endpoint_timeout",
    "stream_broke_off",
    "stream_bad",
    "stream_timeout",
    "turn_not_kept",
    "process_ended",
    "client_left",
    "client_stalled",
};

void append(std::string& out, std::string_view key, std::string_view value) {
  constexpr std::size_t max_value_bytes = 64;  // ids and names from clients are not bounded otherwise
  if (value.empty()) return;
  out.append(out.empty() ? "" : " ").append(key).append("=").append(value.substr(0, max_value_bytes));
}

void append(std::string& out, std::string_view key, std::int64_t value) {
  append(out, key, std::string_view(std::to_string(value)));
}

}  // namespace

std::string_view name_of(FailureCause cause) { return cause_names[static_cast<std::size_t>(cause)]; }

std::string describe(const FailureReport& report) {
  std::string out;
  append(out, "id", report.attempt_id.empty() ? std::string_view("none") : report.attempt_id);
  append(out, "cause", name_of(report.cause));
  if (report.status != 0) append(out, "status", report.status);
  append(out, "route", report.route);
  append(out, "service", report.service);
  append(out, "endpoint", report.endpoint);
  append(out, "last_attempt", report.last_attempt);
  append(out, "attempts", static_cast<std::int64_t>(report.attempts));
  append(out, "held_ms", static_cast<std::int64_t>(report.elapsed.as_ms()));
  append(out, "sessions", static_cast<std::int64_t>(report.sessions));
  append(out, "session_age_ms", static_cast<std::int64_t>(report.control_state_age.as_ms()));
  append(out, "configuration", report.configuration_version);
  append(out, "map", report.storage_map);
  return out;
}

void FailureRecorder::write(common::MetricsWriter& out) const {
  using Type = common::MetricsWriter::Type;
  out.begin(Type::counter, "chutevane_own_answers", "",
            "Requests answered by this sidecar itself and not by an endpoint, by cause.");
  for (std::size_t i = 0; i < failure_cause_count; ++i) {
    const auto cause = static_cast<FailureCause>(i);
    if (!closes_connection(cause)) out.sample(static_cast<double>(counts_[i]), {{"cause", cause_names[i]}});
  }
  out.begin(Type::counter, "chutevane_closed_without_answer", "",
            "Connections of clients that ended before the request in hand was answered whole, by cause.");
  for (std::size_t i = 0; i < failure_cause_count; ++i) {
    const auto cause = static_cast<FailureCause>(i);
    if (closes_connection(cause)) out.sample(static_cast<double>(counts_[i]), {{"cause", cause_names[i]}});
  }
}

}  // namespace chutevane::edge
