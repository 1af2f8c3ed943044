// Which states days have reached: how dispatches ended in each stage of their connection, where callers'
// connections ended, what the module answered while each fault or trouble was in force. Counts only.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "sidecar/counters.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

class Coverage {
 public:
  static constexpr std::size_t stages = 5, outcomes = 8, verdicts = 9, caller_ends = 6;
  static constexpr std::size_t kinds = lab::fault_kinds + trouble_kinds;

  void add(const sidecar::Counters& counters);
  // What was answered between two looks at a sidecar's counters, with these kinds in force.
  void add_verdicts(const std::array<std::uint64_t, verdicts>& answered, const std::vector<int>& in_force);
  void strike(std::size_t kind, std::uint64_t times) { strikes_[kind] += times; }
  void add(const Coverage& other);

  std::string as_line() const;  // numbers with spaces; add_line() reads it
  void add_line(const std::string& line);
  // What was reached how often, and what never was.
  std::string report() const;
  std::uint64_t outcome(std::size_t stage, std::size_t outcome) const { return outcomes_[stage][outcome]; }
  std::uint64_t strikes(std::size_t kind) const { return strikes_[kind]; }

 private:
  template <class F>
  void each(F f);
  std::array<std::array<std::uint64_t, outcomes>, stages> outcomes_{};
  std::array<std::uint64_t, verdicts> verdicts_{};
  std::array<std::uint64_t, caller_ends> caller_ends_{};
  std::array<std::array<std::uint64_t, verdicts>, kinds> verdicts_by_kind_{};
  std::array<std::uint64_t, kinds> strikes_{};
};

}  // namespace chutevane::sidecar_simulation
