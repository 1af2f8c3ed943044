/// Invariants of the code that are checked at run time, also in production.
///
/// Violations are counted for each invariant. In tests, simulations and soak runs a violation aborts the
/// process immediately, so that the seed and the state are available for analysis. In production the first
/// violations are logged and the process continues; the metric chutevane_invariant_violations has the counts.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chutevane::common {

/// The names used in metrics and logs are defined in invariant.cpp, in the same order.
enum class Invariant : std::uint8_t {
  value_number_rises,           ///< a member's register value is never replaced by an older one
  one_value_under_a_number,     ///< a controller never learns two chosen values with the same number
  configuration_version_rises,  ///< an edge's configuration is never replaced by an older one
  confirmed_value_is_held,      ///< a session confirms only values that the member has
  accepted_not_above_promised,  ///< an acceptor never accepts a ballot higher than it has promised
  answered_after_sync,          ///< storage acknowledges only what has been synced to disk
  kept_by_enough_disks,         ///< a turn is acknowledged only once more disks have it than may be lost
  reserved_before_sent,         ///< a turn with a budget is sent only after its tokens were reserved
  unknown_only_when_whole,      ///< storage reports a turn as not found only when its replica is complete
  not_sent_twice,              ///< a request that may have been executed and is not repeatable is not retried
  answer_belongs_to_exchange,  ///< an answer's id is that of the request in progress
  exchange_ends_once,          ///< an exchange with a client ends exactly once
  places_held_by_attempts,     ///< no more attempts are counted against endpoints than are in flight
  connections_equal_descriptors,  ///< connections counted against an endpoint equal those that are open
  log_is_bounded,                 ///< the log of a DurableState stays within its limit
};
constexpr std::size_t invariant_kind_count = static_cast<std::size_t>(Invariant::log_is_bounded) + 1;
/// Returns the name used in metrics and logs.
std::string_view name_of(Invariant invariant);

enum class InvariantMode : std::uint8_t {
  count_and_log,  ///< for production
  fatal,          ///< a violation aborts the process
  count_only,     ///< for tests that cause violations
};
/// The default is `fatal` if the environment variable CHUTEVANE_INVARIANTS is "fatal", else `count_and_log`.
void set_invariant_mode(InvariantMode mode);

struct InvariantCount {
  std::string_view name;
  std::uint64_t violations = 0;
};
/// Returns the counts since the process started, in the order of Invariant.
std::array<InvariantCount, invariant_kind_count> invariant_counts();
/// Returns the number of violations of one invariant since the process started.
std::uint64_t violations_of(Invariant invariant);

/// Counts a violation, and logs it or aborts the process, depending on the mode. `detail` describes the
/// violating values.
void report_violation(Invariant invariant, const std::string& detail);

/// Reports a violation if `holds` is false. `describe` returns the detail and is called only in that case.
/// Returns `holds`.
template <class Describe>
bool check_invariant(Invariant invariant, bool holds, Describe&& describe) {
  if (!holds) [[unlikely]]
    report_violation(invariant, describe());
  return holds;
}

}  // namespace chutevane::common
