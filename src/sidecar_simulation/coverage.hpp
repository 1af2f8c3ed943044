/// \file
/// Which states simulated runs have reached: how dispatches ended in each stage of their connection, where
/// callers' connections ended, and what the decision module answered while each kind of fault was in force.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "sidecar/counters.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

/// Counts only; adding the counts of two runs gives those of both.
class Coverage {
 public:
  static constexpr std::size_t stages = 5, outcomes = 8, verdicts = 9, caller_ends = 6;
  /// Faults of the lab first, then infrastructure faults.
  static constexpr std::size_t fault_kinds = lab::fault_kinds + infrastructure_fault_kinds;

  /// Adds the counters of a sidecar that has ended.
  void add(const sidecar::Counters& counters);
  /// Adds what was answered between two looks at a sidecar's counters. `in_force`: by kind, how many faults
  /// of it are.
  void add_verdicts(const std::array<std::uint64_t, verdicts>& answered, const std::vector<int>& in_force);
  void count_fault(std::size_t kind, std::uint64_t times) { fault_counts_[kind] += times; }
  void add(const Coverage& other);

  /// All counts as one line, which add_serialized() reads.
  [[nodiscard]] std::string serialize() const;
  void add_serialized(const std::string& line);
  /// For people: what was reached how often, and what never was.
  [[nodiscard]] std::string report() const;
  [[nodiscard]] std::uint64_t outcome_count(std::size_t stage, std::size_t outcome) const {
    return outcomes_[stage][outcome];
  }
  [[nodiscard]] std::uint64_t fault_count(std::size_t kind) const { return fault_counts_[kind]; }

 private:
  void report_fault_kinds(std::ostream& out, std::string& never) const;
  template <class F>
  void for_each_counter(F f);
  std::array<std::array<std::uint64_t, outcomes>, stages> outcomes_{};
  std::array<std::uint64_t, verdicts> verdicts_{};
  std::array<std::uint64_t, caller_ends> caller_ends_{};
  std::array<std::array<std::uint64_t, verdicts>, fault_kinds> verdicts_by_kind_{};
  std::array<std::uint64_t, fault_kinds> fault_counts_{};
};

}  // namespace chutevane::sidecar_simulation
