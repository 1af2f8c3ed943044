// A sidecar's configuration as the platform writes it, from an experiment.
#pragma once

#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace chutevane::lab {

struct SidecarConfig {
  std::string name, listen, discovery;
  std::uint64_t seed = 0;
  std::size_t tier = 0, place = 0;  // which of its tier's sidecars
  std::string known;                // discovery's JSON
  std::string state;                // where it keeps what it learns; empty: nowhere
};

std::string sidecar_config(const Experiment& experiment, const SidecarConfig& config);
// An operator's file for an experiment whose tiers are pools; `discovery` of each.
std::string operator_file(const Experiment& experiment, const SidecarConfig& config,
                          const std::vector<std::string>& discovery);

}  // namespace chutevane::lab
