// A day as its file describes it: an experiment of the lab, the network it is played on, what goes wrong with
// that, and whether a swarm draws all this anew for each seed.
//
// The file is an experiment's, with [world], [swarm] and [[trouble]] beside its keys; each key is checked.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/experiment.hpp"
#include "network_simulation/simulator.hpp"

namespace chutevane::sidecar_simulation {

// What goes wrong with processes and the ways between them, beside the lab's faults.
enum class TroubleKind : std::uint8_t {
  partition,       // nothing comes through
  cut,             // connections reset at both ends
  lost_end,        // one end gone without a word to the other
  slow_link,       // delays `factor` times as long
  sidecar_paused,  // stopped, as by SIGSTOP
  endpoint_paused,
  discovery_paused,
  callers_paused,    // of the first tier
  power_lost,        // a sidecar's machine: nobody is told; back after `for_ms`
  reload,            // SIGHUP
  reload_wrong,      // SIGHUP with a configuration that cannot be read
  reload_and_end,    // SIGHUP and SIGTERM in one moment
  endpoint_drained,  // takes nothing new, gone after `for_ms`, back cold
  moved,             // an endpoint's id comes back at another's address
  clock_stepped,     // a sidecar's Unix time, forward or back by `factor` seconds: what it stores is stamped
                     // with it
};
inline constexpr std::size_t trouble_kinds = 15;
enum class Link : std::uint8_t { callers, endpoints, discovery };        // between those and sidecars
enum class Direction : std::uint8_t { both, to_sidecar, from_sidecar };  // what does not come through

struct Trouble {
  TroubleKind kind = TroubleKind::partition;
  std::string tier;  // its sidecars; the first, where none is named
  Link link = Link::endpoints;
  Direction direction = Direction::both;
  Span at, lasts;     // from the beginning of the measured time
  int sidecars = 0;   // drawn by the seed; 0: all
  int endpoints = 0;  // the same
  std::string zone;   // of the endpoints
  double factor = 20.0;
};

struct Scenario {
  lab::Experiment experiment;
  network_simulation::NetworkConditions chances;
  int descriptors = 1024;  // of a sidecar
  bool swarm = false;      // all of the following is drawn by the seed
  int faults_most = 5;     // that a swarm draws
  std::vector<Trouble> troubles;
};

// Throws lab::ExperimentError; `file` is for messages.
Scenario read_scenario(std::string_view text, const std::string& file);
Scenario load_scenario(const std::string& file);
// A file that reads as this scenario, to the microsecond and the last bit.
std::string write_scenario(const Scenario& scenario);

// The scenario that a seed draws from one with a swarm; another is returned as it is, with that seed.
Scenario draw_scenario(const Scenario& from, std::uint64_t seed);

// Faults of the lab first, then troubles.
std::string kind_name(std::size_t kind);

}  // namespace chutevane::sidecar_simulation
