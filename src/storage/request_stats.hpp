/// Counters and a bounded log of what edges asked a storage node for and were answered.
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

/// What edges ask for. The order is that of the labels in the metrics.
enum class RequestKind : std::uint8_t { reserve, store_turn, find_turn };
constexpr std::size_t request_kind_count = static_cast<std::size_t>(RequestKind::find_turn) + 1;

/// As metrics and logs name it.
constexpr std::string_view label_of(RequestKind kind) {
  constexpr std::array<std::string_view, request_kind_count> labels = {"reserve", "keep", "find"};
  return labels[static_cast<std::size_t>(kind)];
}

/// What a request of an edge was answered with.
struct RequestOutcome {
  RequestKind kind;
  ReplicaStatus status;
  const std::string& attempt;   // of the client's request; empty: no request asks
  std::int64_t caller_map = 0;  // version that the caller goes by
};

/// Not thread-safe.
class RequestStats {
 public:
  /// Counts the answer. A refusal is logged too (`storage.refused`), with `own_map` and what `describe_state`
  /// returns; not so `not_found`, which is the common answer to those who look for a turn and is logged by
  /// the edge where it matters.
  void record(const RequestOutcome& outcome, std::int64_t own_map, TimePoint now,
              const std::function<std::string()>& describe_state);
  /// The family `chutevane_storage_answers`.
  void write_metrics(common::MetricsWriter& out) const;

 private:
  static constexpr int max_log_lines_per_second = 10;
  std::array<std::array<std::uint64_t, replica_status_count>, request_kind_count> counts_{};
  common::RateLimitedLog refusal_log_{"storage.refused", max_log_lines_per_second};
};

}  // namespace chutevane::storage
