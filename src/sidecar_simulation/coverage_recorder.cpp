#include "sidecar_simulation/coverage_recorder.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr Span after_effect_duration = Span::ms(1000);  // of a fault that is over, or is momentary

}  // namespace

CoverageRecorder::CoverageRecorder(SimulatedEnvironment& environment, Coverage& coverage)
    : environment_(environment),
      coverage_(coverage),
      recorded_(environment.sidecars().size()),
      in_force_(Coverage::fault_kinds, 0) {}

void CoverageRecorder::begin_fault(std::size_t kind, Span duration) {
  record_verdicts();
  ++in_force_[kind];
  environment_.simulator().run_after(duration + after_effect_duration, [this, kind] {
    record_verdicts();
    --in_force_[kind];
  });
}

void CoverageRecorder::end_incarnation(std::size_t sidecar, const sidecar::Counters& counters) {
  record_verdicts(sidecar, counters);
  recorded_[sidecar] = {};
  coverage_.add(counters);
}

void CoverageRecorder::record_verdicts() {
  for (std::size_t i = 0; i < environment_.sidecars().size(); ++i) {
    if (const sidecar::Counters* counters = environment_.sidecars()[i]->counters())
      record_verdicts(i, *counters);
  }
}

void CoverageRecorder::record_verdicts(std::size_t sidecar, const sidecar::Counters& counters) {
  std::array<std::uint64_t, Coverage::verdicts> since{};
  for (std::size_t v = 0; v < since.size(); ++v) since[v] = counters.verdicts[v] - recorded_[sidecar][v];
  recorded_[sidecar] = counters.verdicts;
  coverage_.add_verdicts(since, in_force_);
}

}  // namespace chutevane::sidecar_simulation
