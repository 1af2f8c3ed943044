/// Counters and a rate-limited log of the answers of a storage node to requests of edges.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "storage/replica_status.hpp"

namespace chutevane::storage {

/// Kinds of requests that edges send. The order is that of the labels in label_of().
enum class RequestKind : std::uint8_t { reserve, store_turn, find_turn };
constexpr std::size_t request_kind_count = static_cast<std::size_t>(RequestKind::find_turn) + 1;

/// Returns the name of the kind in metrics and logs.
constexpr std::string_view label_of(RequestKind kind) {
  constexpr std::array<std::string_view, request_kind_count> labels = {"reserve", "keep", "find"};
  return labels[static_cast<std::size_t>(kind)];
}

/// The status that a request of an edge was answered with.
struct RequestOutcome {
  RequestKind kind;
  ReplicaStatus status;
  const std::string& attempt;   // of the client's request; empty if there is none
  std::int64_t caller_map = 0;  // version of the storage map that the caller uses
};

/// Counts and logs answers. Not thread-safe.
class RequestStats {
 public:
  /// Counts the answer. Also logs a refusal (`storage.refused`) with `own_map` and the result of
  /// `describe_state`. `not_found` is not logged: it is a common answer to a lookup, and the edge logs it
  /// where it matters.
  void record(const RequestOutcome& outcome, std::int64_t own_map, TimePoint now,
              const std::function<std::string()>& describe_state);
  /// Writes the metric family `chutevane_storage_answers`.
  void write_metrics(common::MetricsWriter& out) const;

 private:
  static constexpr int max_log_lines_per_second = 10;
  std::array<std::array<std::uint64_t, replica_status_count>, request_kind_count> counts_{};
  common::RateLimitedLog refusal_log_{"storage.refused", max_log_lines_per_second};
};

}  // namespace chutevane::storage
