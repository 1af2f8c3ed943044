/// \file
/// The faults that a simulated tier is exposed to. A fault names a kind and its parameters; FaultInjector
/// carries it out.
#pragma once

#include <cstdint>
#include <string>

#include "tier_simulation/machine.hpp"

namespace chutevane::tier_simulation {

enum class FaultKind : std::uint8_t {
  cut_off,     ///< one machine is partitioned from others, as `scope` and `direction` say
  freeze,      ///< its process stands still
  kill,        ///< SIGKILL, and a start after `duration`
  power_loss,  ///< of one machine
  wipe,        ///< it comes back with an empty disk
  replace,     ///< another machine takes its place, at another address
  terminate,   ///< SIGTERM, and a start after `duration`
  disk_slow,
  disk_full,
  disk_failing,
  reset,         ///< of its connections; both ends are notified
  half_lost,     ///< its connections; the other ends are not notified
  lost_answers,  ///< of a control machine to clients
  slow_links,
  new_seeds,        ///< its settings name other seeds
  planned_replace,  ///< a new machine first, then SIGTERM of the old; once it is gone, another of its role is
                    ///< wiped
  retire,           ///< an operator retires a storage machine; once it is gone, another is wiped
  kill_all,         ///< all processes of control and storage at once
  power_all,        ///< all machines of control and storage at once
  halves,           ///< control and storage partitioned in two; edges and clients reach both halves
  interrupted_drain,  ///< SIGTERM of a storage machine, which is killed once the map shows that it is
                      ///< draining, at times with the machine that plans the map; it is back before that one
  endpoint_drain,     ///< an endpoint drains, and another comes
  endpoint_replace,   ///< another process takes an endpoint's address
  endpoint_crash,     ///< an endpoint ends without notice, and another comes
  platform_cut,       ///< the platform's API is partitioned from one control machine
  platform_unavailable,
  platform_stale,  ///< it shows the endpoints as they were when the fault began
  platform_slow,
};
inline constexpr std::size_t fault_kinds = static_cast<std::size_t>(FaultKind::platform_slow) + 1;
const char* name_of(FaultKind kind);

/// From whom a machine is partitioned.
enum class PartitionScope : std::uint8_t { everything, control_only, data_only };
enum class Direction : std::uint8_t { both, to_it, from_it };
/// How the machine is chosen: by its index, or by what it does when the fault begins.
enum class Target : std::uint8_t { by_index, role_holder, last_acknowledger, list_holder };

struct Fault {
  FaultKind kind = FaultKind::cut_off;
  Span at, duration;  ///< `at`: from the beginning of the run
  Role role = Role::control;
  Target target = Target::by_index;
  std::size_t machine_index = 0;  ///< among the machines of its role
  PartitionScope scope = PartitionScope::everything;
  Direction direction = Direction::both;
  bool resets_connections = false;  ///< a partition resets the established connections
  std::uint64_t random_bits = 0;    ///< for whatever else is left to chance when it is carried out
};

/// One line for people and traces.
std::string describe(const Fault& fault);
/// Whether it is a fault of endpoints or of the platform, for plans with traffic.
bool is_traffic_fault(const Fault& fault);
/// Whether it is the loss of one machine of those that the tier tolerates.
bool is_counted_loss(const Fault& fault);

}  // namespace chutevane::tier_simulation
