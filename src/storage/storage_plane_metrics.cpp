/// Writes the metrics of a storage node. docs/operators/system.md lists them.
#include "storage/storage_plane.hpp"

namespace chutevane::storage {

void StoragePlane::write_metrics(common::MetricsWriter& out) {
  const auto gauge = [&](std::string_view name, std::string_view unit, std::string_view help, double value) {
    out.gauge(name, unit, help, value);
  };
  const auto count = [](auto value) { return static_cast<double>(value); };
  request_stats_.write_metrics(out);
  ancestor_fetcher_.write_metrics(out);
  gauge("chutevane_storage_turns", "", "Turns held.", count(store_.turn_count()));
  gauge("chutevane_storage_accounts", "", "Accounts of programs held.", count(store_.account_count()));
  gauge("chutevane_storage_bytes", "bytes", "Turns in memory and on disk.", count(store_.turn_bytes()));
  gauge("chutevane_storage_map", "", "Number of the map of storage nodes.", count(map_.version));
  gauge("chutevane_storage_nodes", "", "Storage nodes in that map.", count(map_.nodes.size()));
  gauge("chutevane_storage_ready", "", "1 where accounts are complete by that map.",
        transfer_.is_ready() ? 1 : 0);
  gauge("chutevane_storage_whole", "", "1 where turns are complete by that map.",
        transfer_.is_complete() ? 1 : 0);
  gauge("chutevane_storage_sources", "", "Other nodes of the take-over under way, or of the last one.",
        count(transfer_.source_count()));
  out.counter("chutevane_disk_syncs", "", "Syncs of the disk.", count(group_commit_.commit_count()));
  out.counter("chutevane_disk_sync_seconds", "seconds", "Time in syncs of the disk.",
              group_commit_.commit_time().as_ms() / 1000);
  gauge("chutevane_disk_failing", "", "1 while the disk takes nothing.", store_.is_failing() ? 1 : 0);
  gauge("chutevane_control_sessions", "", "Sessions with control that stand.",
        count(sessions_->usable_count()));
  gauge("chutevane_knowledge_age_seconds", "seconds", "Age of what is known from control.",
        sessions_->knowledge_age().as_ms() / 1000);
}

}  // namespace chutevane::storage
