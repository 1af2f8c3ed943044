// Many stories of troubles on real processes, one after the other or a few at once, each in a lab of its own.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/tier/fleet.hpp"

namespace chutevane::lab::tier {

struct SoakSpec {
  std::string lab;       // this program, for a process of each seed
  std::string programs;  // folder of chutevane-control, -storage, -edge
  std::string folder;    // for each seed's folder; it is there
  std::uint64_t first = 1, last = 1;
  double seconds = 10;  // for which troubles begin, of each seed
  std::size_t jobs = 1;
  double calls_per_s = 30;  // of applications, for locks, numbers, keys and watches, about
};

// One seed, in this process. Its story and report are written into the folder.
FleetResult play_seed(std::uint64_t seed, const SoakSpec& spec, const std::string& folder, Fleet*& running);

struct SoakSummary {
  struct Seed {
    std::uint64_t number = 0;
    bool whole = false;  // it came to its end and told what it found
    bool broken = false, beyond_tolerance = false;
    std::string folder;
    std::vector<std::string> violations;
  };
  std::vector<Seed> seeds;
  std::array<std::uint64_t, fault_kinds> played{}, in_broken_seeds{};
  std::array<std::uint64_t, rule_count> counts{};
  std::array<std::uint64_t, coordination_rules> coordination_counts{};
  CoordinationFigures coordination;
  std::uint64_t turns_whole = 0, lingering_continued = 0, heirs = 0, heirs_whole = 0, orders = 0, reads = 0,
                calm_reads = 0, excused = 0, left = 0, worked_for_nobody = 0;
  double resident_mb = 0;     // of one seed's processes, at the most
  double late_most_ms = 0;    // a lab's own timers: relays stand still as long
  std::size_t processes = 0;  // at once, labs among them
  bool broken() const;
};
// A process for each seed; their output goes to the seeds' folders. Stops early where `stop` says so.
SoakSummary run_soak(const SoakSpec& spec, const volatile bool& stop);
std::string table_of(const SoakSummary& summary);

}  // namespace chutevane::lab::tier
