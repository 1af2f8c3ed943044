// A story of troubles for the tier's processes: drawn from a seed, the same for the same seed, and readable.
// Without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::lab::tier {

enum class FaultKind : std::uint8_t {
  pause,             // SIGSTOP, and SIGCONT after `lasts`
  kill,              // SIGKILL, and a start after `lasts` with the disk as it was
  wipe,              // the same, with an empty disk
  kill_all,          // SIGKILL of all processes of control and storage at once
  kill_controllers,  // SIGKILL of all controllers at once
  terminate,         // SIGTERM, and a new start once it has ended
  reload,            // SIGHUP with a changed file
  cut,               // one machine from all others
  halves,            // control and storage in two halves; edges reach both
  slow_way,          // what goes to and from one machine comes late
  lose_answers,      // answers of one machine are lost: its connections are reset before they arrive
  change,            // a configuration
  race,              // two configurations on the same version
  drain_endpoint,    // one drains and another comes
  replace_endpoint,  // another process is at its address
  endpoint_dies,     // one ends without a word
  crowd,             // clients send large bodies to one machine, stop short of their end and stay
  interrupt_drain,   // SIGTERM of a storage node, which is killed with all controllers `delay` later; it is
                     // started again at once, and they are after `lasts`
};
constexpr std::size_t fault_kinds = static_cast<std::size_t>(FaultKind::interrupt_drain) + 1;
const char* name_of(FaultKind kind);

enum class CutDirection : std::uint8_t { both, to_it, from_it };

enum class MachinePlane : std::uint8_t { edge, control, storage };
const char* name_of(MachinePlane plane);

struct Fault {
  FaultKind kind = FaultKind::pause;
  Span at, lasts;  // from the begin of the load
  MachinePlane plane = MachinePlane::storage;
  std::size_t place = 0;  // of the machine in its plane, from 0 on
  CutDirection direction = CutDirection::both;
  bool resets = false;  // a cut: connections that stand are reset, else nothing more is heard on them
  Span delay;           // of a slow way; of the kill that interrupts a drain
};
std::string describe(const Fault& trouble);

// How clients and endpoints behave for the whole of it: parts of all requests.
struct Misbehavior {
  double client_leaves = 0, client_half_closes = 0, client_stalls = 0;
  double endpoint_spoils = 0;
  double operator_loses_answer = 0;
};

struct FaultPlan {
  std::vector<Fault> troubles;  // in order of time
  Misbehavior misbehavior;
  // More machines are away at once than may be lost, though no more disks: service may rest meanwhile.
  bool beyond_tolerance = false;
  Span ends() const;
};
std::string describe(const FaultPlan& story);

// `active`: for how long troubles begin. One machine with a disk may be lost at a time, `catch_up` after it
// is back the next one; in every third story machines are away together, and one disk is lost at most.
struct FaultPlanBounds {
  Span active = Span::ms(10000);
  Span catch_up = Span::ms(4200);
  std::size_t edges = 3, controllers = 3, storage_nodes = 4;
};
FaultPlan draw_fault_plan(std::uint64_t seed, const FaultPlanBounds& bounds);

}  // namespace chutevane::lab::tier
