/// Implements RequestStats: counts and logs answers to edges.
#include "storage/request_stats.hpp"

namespace chutevane::storage {

void RequestStats::record(const RequestOutcome& outcome, std::int64_t own_map, TimePoint now,
                          const std::function<std::string()>& describe_state) {
  ++counts_[static_cast<std::size_t>(outcome.kind)][static_cast<std::size_t>(outcome.status)];
  if (outcome.status == ReplicaStatus::ok || outcome.status == ReplicaStatus::not_found) return;
  if (!refusal_log_.admits(now)) return;
  refusal_log_.line("id=" + (outcome.attempt.empty() ? "none" : outcome.attempt) +
                    " asked=" + std::string(label_of(outcome.kind)) +
                    " verdict=" + std::string(label_of(outcome.status)) +
                    " asked_map=" + std::to_string(outcome.caller_map) + " map=" + std::to_string(own_map) +
                    " state=" + describe_state());
}

void RequestStats::write_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::counter, "chutevane_storage_answers", "",
            "Answers to edges, by what was asked and the verdict.");
  for (std::size_t kind = 0; kind < request_kind_count; ++kind) {
    for (std::size_t status = 0; status < replica_status_count; ++status) {
      if (counts_[kind][status] == 0) continue;
      out.sample(static_cast<double>(counts_[kind][status]),
                 {{"asked", label_of(static_cast<RequestKind>(kind))},
                  {"verdict", label_of(static_cast<ReplicaStatus>(status))}});
    }
  }
}

}  // namespace chutevane::storage
