/// \file
/// A scenario: an experiment of the lab, the network that it runs on, infrastructure faults, and whether all
/// this is sampled anew for each seed.
///
/// Its file is that of an experiment with the tables [world], [swarm] and [[trouble]] beside its keys; an
/// unknown key is an error.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/experiment.hpp"
#include "network_simulation/network_conditions.hpp"

namespace chutevane::sidecar_simulation {

/// Faults of processes, machines and links, beside the lab's faults of stand-ins.
enum class InfrastructureFaultKind : std::uint8_t {
  partition,       ///< nothing passes
  cut,             ///< connections are reset at both ends
  lost_end,        ///< one end of connections is gone, the other is not notified
  slow_link,       ///< delays are `factor` times as long
  sidecar_paused,  ///< stopped, as by SIGSTOP
  endpoint_paused,
  discovery_paused,
  callers_paused,    ///< those of the first tier
  power_lost,        ///< of a sidecar's machine: no peer is notified; back after `duration`
  reload,            ///< SIGHUP
  reload_wrong,      ///< SIGHUP with a configuration that cannot be read
  reload_and_end,    ///< SIGHUP and SIGTERM at the same moment
  endpoint_drained,  ///< accepts nothing new, ends after `duration`, then comes back cold
  moved,             ///< an endpoint's id comes back at the address of another
  clock_stepped,     ///< a sidecar's Unix time steps by `factor` seconds, forward or back
};
inline constexpr std::size_t infrastructure_fault_kinds = 15;

/// The far side of the links of sidecars that a fault concerns.
enum class LinkPeer : std::uint8_t { callers, endpoints, discovery };
/// The direction that is lost.
enum class Direction : std::uint8_t { both, to_sidecar, from_sidecar };

struct InfrastructureFault {
  InfrastructureFaultKind kind = InfrastructureFaultKind::partition;
  std::string tier;  ///< its sidecars are concerned; empty: the first tier
  LinkPeer link = LinkPeer::endpoints;
  Direction direction = Direction::both;
  Span at;            ///< from the beginning of the measured time
  Span duration;      ///< zero for momentary faults
  int sidecars = 0;   ///< how many, drawn by the seed; 0: all
  int endpoints = 0;  ///< likewise
  std::string zone;   ///< of the endpoints; empty: any
  double factor = 20.0;
};

struct Scenario {
  lab::Experiment experiment;
  network_simulation::NetworkConditions network;
  int max_descriptors = 1024;  ///< of a sidecar's process
  bool is_sampled = false;     ///< each seed draws network, callers and faults
  int max_faults = 5;          ///< that are drawn
  std::vector<InfrastructureFault> infrastructure_faults;
};

/// Throws lab::ExperimentError, which names every mistake with line and column; `file` is for these messages.
Scenario read_scenario(std::string_view text, const std::string& file);
Scenario load_scenario(const std::string& file);
/// A file that reads as the same scenario, to the microsecond and the last bit.
std::string write_scenario(const Scenario& scenario);

/// What a seed draws from a sampled scenario; any other is returned as it is, with that seed.
Scenario sample_scenario(const Scenario& from, std::uint64_t seed);

/// The name in files of a kind of fault: the lab's first, then infrastructure faults.
std::string kind_name(std::size_t kind);

}  // namespace chutevane::sidecar_simulation
