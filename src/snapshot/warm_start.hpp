/// Warm start: which figures of a snapshot a process that starts may use. No I/O; docs/restart.md has the
/// rules as a table.
///
/// A figure counts as evidence (as good as the process's own measurement), as an initial guess (used until
/// its own measurements replace it), or not at all, by the snapshot's age and origin. A figure that no longer
/// holds does harm: a limit of yesterday's load lets a full fleet in over its capacity, and a retry budget
/// that each restart fills again is no bound on retries.
#pragma once

#include "snapshot/snapshot_format.hpp"

namespace chutevane::snapshot {

/// The process that starts.
struct ProcessContext {
  std::string sidecar_name;
  std::string deployment;
  std::uint32_t sidecar_count = 0;
  ClockReading now;
};

/// What the process starts with. Figures that do not count are zero or absent.
struct WarmStart {
  std::vector<EndpointRecord> endpoints;  ///< initial guesses, where the list has the same process there
  LearnedLoad load;
  bool is_list_usable = false;  ///< the snapshot's endpoint list may be used until discovery answers
  Age age;
  std::string reason;  ///< for the log: what was taken and what was not, and why
};

/// Nothing counts of a snapshot of another sidecar or deployment, or without a known age.
[[nodiscard]] WarmStart evaluate(const Snapshot& snapshot, const ProcessContext& context);
/// Without a usable snapshot: all is learned anew, and budgets start empty, since the process before may have
/// spent them.
[[nodiscard]] WarmStart cold_start(const std::string& reason);
/// Keeps the endpoints that `list` has with the same address and start, and lowers the limit in proportion:
/// it was learned with the endpoints of that time.
[[nodiscard]] WarmStart restrict_to_list(WarmStart warm_start, const discovery::EndpointList& list);
/// The list to start from: the snapshot's, if it may be used and has a higher version than `configured`.
[[nodiscard]] const discovery::EndpointList& newer_list(const discovery::EndpointList& configured,
                                                        const Snapshot& snapshot,
                                                        const WarmStart& warm_start);

}  // namespace chutevane::snapshot
