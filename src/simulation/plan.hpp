// What a run is made of: the tier's shape, its load, and the faults, all drawn from a seed by a scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/deployment.hpp"
#include "simulation/operators.hpp"
#include "simulation/programs.hpp"

namespace chutevane::simulation {

enum class FaultKind : std::uint8_t {
  cut_off,     // one machine from others, as `reach` and `direction` say
  freeze,      // its process stands still
  kill,        // SIGKILL, and a start after `lasts`
  power_loss,  // of one machine
  wipe,        // it comes back with an empty disk
  replace,     // another machine comes for it, at another address
  terminate,   // SIGTERM, and a start after `lasts`
  disk_slow,
  disk_full,
  disk_failing,
  reset,         // its connections, both ends are told
  half_lost,     // its connections, the other ends are not told
  lost_answers,  // of a control machine to callers
  slow_links,
  new_seeds,        // its settings name other seeds
  planned_replace,  // another first, then SIGTERM; once it is gone, another of its role is wiped
  retire,           // an order to empty a storage machine; once it is emptied it goes, and another is wiped
  kill_all,         // processes of control and storage, at once
  power_all,        // machines of control and storage, at once
  halves,           // control and storage cut in two; edges and callers reach both
};
constexpr std::size_t fault_kinds = static_cast<std::size_t>(FaultKind::halves) + 1;
const char* name_of(FaultKind kind);

enum class Reach : std::uint8_t { everything, control_only, data_only };
enum class Direction : std::uint8_t { both, to_it, from_it };
// The machine that a fault is done to: by its place, or by what it does at that moment.
enum class Target : std::uint8_t { by_place, duty_holder, acknowledger };

struct Fault {
  FaultKind kind = FaultKind::cut_off;
  Span at, lasts;  // from the beginning of the run
  Role role = Role::control;
  Target target = Target::by_place;
  std::size_t place = 0;
  Reach reach = Reach::everything;
  Direction direction = Direction::both;
  bool told = false;  // a cut resets the connections that stand
  std::uint64_t luck = 0;
};
std::string describe(const Fault& fault);
// Whether it is the loss of one machine of those that may be lost.
bool counted(const Fault& fault);

constexpr Span restart_spread = Span::ms(400);  // machines that went together come back one by one

struct Plan {
  Shape shape;
  network_simulation::NetworkConditions chances;
  OperatorLoad operators;
  ProgramLoad programs;
  Span active = Span::ms(30000);  // then no more faults and orders
  Span quiet = Span::ms(12000);   // then all is to be well
  std::vector<Fault> faults;
  // More machines are away at once than may be lost, though no more disks are lost than that.
  bool losses_overlap = false;
};

std::vector<std::string> scenarios();
// Throws std::invalid_argument where there is no scenario of that name.
Plan make_plan(const std::string& scenario, std::uint64_t seed);

}  // namespace chutevane::simulation
