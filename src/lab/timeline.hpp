// The faults of an experiment on its time line, without I/O: which begin and end when, whom they hit, and
// what an endpoint suffers from all of them together. The seed draws the targets; the same seed draws the
// same.
#pragma once

#include <vector>

#include "lab/experiment.hpp"

namespace chutevane::lab {

// What an endpoint suffers at a moment.
struct Ills {
  bool silent = false, refused = false, reset_accepted = false;
  double speed = 1.0, cores_part = 1.0;
  // Probabilities by request.
  double reset_amid = 0.0, reset_after = 0.0, reset_answer = 0.0, half_answer = 0.0, spoilt = 0.0,
         doubled = 0.0, error = 0.0;
  bool operator==(const Ills&) const = default;
};

// What happens to one agent of discovery.
struct ListIlls {
  bool silent = false, broken = false, truncated = false;
  Span delay;
  bool operator==(const ListIlls&) const = default;
};

// What the way between a sidecar and someone suffers.
struct WayIlls {
  bool to_sidecar = false, from_sidecar = false;  // nothing comes through
  bool held = false;                              // nothing new comes up
  Span delay, spread;
  double bytes_per_s = 0.0;  // 0: as fast as it goes
  bool operator==(const WayIlls&) const = default;
};

struct Step {
  Span at;
  std::size_t fault = 0;
  bool begins = true;
};

class Timeline {
 public:
  Timeline(const Experiment& experiment, std::uint64_t seed);

  // Beginnings and ends in order of time; an end before a beginning at the same moment.
  const std::vector<Step>& steps() const { return steps_; }
  // Places of the endpoints in their tier, or of the sidecars, that a fault hits; ascending.
  const std::vector<std::size_t>& targets(std::size_t fault) const { return targets_[fault]; }
  std::size_t tier_of(std::size_t fault) const { return tiers_[fault]; }

  // With these faults in force.
  Ills ills(std::size_t tier, std::size_t place, const std::vector<bool>& in_force) const;
  ListIlls list_ills(std::size_t tier, const std::vector<bool>& in_force) const;
  WayIlls way_ills(std::size_t tier, std::size_t sidecar, WayTo link, std::size_t far,
                   const std::vector<bool>& in_force) const;
  // Whether a fault is of this way.
  bool hits_way(std::size_t fault, std::size_t tier, std::size_t sidecar, WayTo link, std::size_t far) const;
  double rate_factor(const std::vector<bool>& in_force) const;

 private:
  bool hits(std::size_t fault, std::size_t tier, std::size_t place) const;
  const Experiment& experiment_;
  std::vector<Step> steps_;
  std::vector<std::vector<std::size_t>> targets_;
  std::vector<std::vector<std::size_t>> far_;  // endpoints at the other end of broken ways; none: all
  std::vector<std::size_t> tiers_;
};

// The zone of an endpoint by its place: zones take turns.
std::size_t zone_of(const TierSpec& tier, std::size_t place);
// Whether a fault is aimed at sidecars, not at endpoints.
bool hits_sidecars(FaultKind kind);
// Sidecars before a tier.
std::size_t sidecars_of(const Experiment& experiment, std::size_t tier);

}  // namespace chutevane::lab
