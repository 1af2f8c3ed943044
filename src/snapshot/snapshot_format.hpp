/// What a sidecar has learned, and its serialized form. No I/O.
///
/// A serialized snapshot is one line, "chutevane-state FORMAT BYTES CHECKSUM" (the checksum is XXH3 of 64
/// bits, in hexadecimal), followed by that many bytes of JSON. By these a text that was truncated or changed
/// anywhere is told from a complete one. The same form goes into the state file (snapshot_store.hpp) and from
/// one process to the next in a hot restart (hot_restart/transfer.hpp).
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"
#include "snapshot/age.hpp"

namespace chutevane::snapshot {

/// Why a text is no snapshot; what() begins with the JSON key at fault, or with "state".
struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// What was learned of one endpoint. Ejections and concurrency caps are not kept: they rest on the calls of
/// one process, and the next one begins without.
struct EndpointRecord {
  std::string name;         ///< discovery's id
  std::string address;      ///< an id may later name another address
  TimePoint started_at;     ///< of the endpoint's process
  double latency_ms = 0.0;  ///< smoothed; 0: not measured
};

struct Snapshot {
  std::string sidecar_name;
  std::string deployment;  ///< see deployment_name(): the figures of another one mean something else
  std::uint32_t sidecar_count = 0;
  std::uint64_t incarnation = 0;   ///< how many processes of this sidecar have written, this one included
  bool is_clean_shutdown = false;  ///< the last one of a process that shut down: it spent nothing afterwards
  ClockReading written_at;
  std::vector<EndpointRecord> endpoints;
  LearnedLoad load;
  discovery::EndpointList endpoint_list;  ///< as last received, complete
};

/// Some 2,600 endpoints; a parsed snapshot takes less than 32 MB.
constexpr std::size_t max_snapshot_bytes = 1U << 19U;

/// Tier and traffic classes, such as "tier 0: plan,sale": between processes with the same one, learned
/// figures can be passed on.
[[nodiscard]] std::string deployment_name(const Settings& settings);

/// At most `max_snapshot_bytes`: what does not fit is left out, the last endpoints and the end of the list
/// first. A list that was cut is not marked as complete.
[[nodiscard]] std::string serialize(const Snapshot& snapshot);
/// Throws FormatError.
Snapshot parse(std::string_view text);
/// For operators: one figure a line, its age as of `now`.
[[nodiscard]] std::string describe(const Snapshot& snapshot, const ClockReading& now);

}  // namespace chutevane::snapshot
