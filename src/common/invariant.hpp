// Promises of the code that are checked while it runs: a name, a condition, what to print.
//
// A violation is counted by name. In tests, in the simulation and in the soak it ends the process at once, so
// that the seed and the state are at hand. In service it is logged at a bounded rate, and the process goes
// on.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chutevane::common {

enum class Invariant : std::uint8_t {
  value_number_rises,             // what a member holds of the register never goes back
  one_value_under_a_number,       // of the register, as far as one controller knows
  configuration_version_rises,    // nor the configuration in force at an edge
  confirmed_value_is_held,        // a session confirms only knowledge that the member holds
  accepted_not_above_promised,    // an acceptor accepts under no later ballot than it has promised
  answered_after_sync,            // storage answers only for what is on disk
  kept_by_enough_disks,           // a turn counts as kept only once more disks than may be lost have it
  reserved_before_sent,           // a turn with a budget is sent only once its most is set aside
  unknown_only_when_whole,        // storage denies a turn only when it has taken over all that is its own
  not_sent_twice,                 // what may have run and can't be repeated is not sent again
  answer_belongs_to_exchange,     // an answer's id is that of the request in hand
  exchange_ends_once,             // an exchange of a client ends exactly once
  places_held_by_attempts,        // endpoints are charged with no more attempts than are under way
  connections_equal_descriptors,  // connections that an endpoint is charged with equal those open
  log_is_bounded,                 // the log beside a slot stays within its bound
};
constexpr std::size_t invariants = static_cast<std::size_t>(Invariant::log_is_bounded) + 1;
std::string_view name_of(Invariant invariant);

enum class InvariantMode : std::uint8_t {
  count_and_log,  // in service
  fatal,          // a violation ends the process with SIGABRT
  count_only,     // for tests that provoke one
};
// Unless set, `fatal` where the variable CHUTEVANE_INVARIANTS is "fatal", else `count_and_log`.
void set_invariant_mode(InvariantMode mode);

struct InvariantCount {
  std::string_view name;
  std::uint64_t violations = 0;
};
std::array<InvariantCount, invariants> invariant_counts();
std::uint64_t violations_of(Invariant invariant);

void report_violation(Invariant invariant, const std::string& detail);

// `describe` is called only where the condition does not hold. Returns the condition.
template <class Describe>
bool check_invariant(Invariant invariant, bool holds, Describe&& describe) {
  if (!holds) [[unlikely]]
    report_violation(invariant, describe());
  return holds;
}

}  // namespace chutevane::common
