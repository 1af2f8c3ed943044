/// \file
/// Attributes what sidecars answer to the faults that are in force at that moment.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "sidecar_simulation/coverage.hpp"
#include "sidecar_simulation/environment.hpp"

namespace chutevane::sidecar_simulation {

/// Compares each sidecar's counters with those of the last look whenever the set of faults in force changes.
class CoverageRecorder {
 public:
  /// Both must outlive the recorder.
  CoverageRecorder(SimulatedEnvironment& environment, Coverage& coverage);

  /// A fault of this kind begins now and is in force for `duration` and the time that its after-effects take.
  void begin_fault(std::size_t kind, Span duration);
  /// A sidecar's process ends: adds its counters.
  void end_incarnation(std::size_t sidecar, const sidecar::Counters& counters);
  /// Attributes what running sidecars have answered since the last call.
  void record_verdicts();

 private:
  void record_verdicts(std::size_t sidecar, const sidecar::Counters& counters);

  SimulatedEnvironment& environment_;
  Coverage& coverage_;
  std::vector<std::array<std::uint64_t, Coverage::verdicts>> recorded_;  // by sidecar
  std::vector<int> in_force_;                                            // by kind of fault
};

}  // namespace chutevane::sidecar_simulation
