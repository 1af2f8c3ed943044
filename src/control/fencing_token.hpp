/// Fencing tokens: totally ordered numbers under which the leader of a role publishes its results.
///
/// Leader election terms are kept in memory only. A voter that restarts forgets its vote and may vote again,
/// so two processes may win the same term. A token therefore combines the term (high bits) with a random
/// number of the leader's process (low bits). Receivers reject results with a lower token than the highest
/// one that they have accepted.
#pragma once

#include <cstdint>

namespace chutevane::control {

/// Number of a leadership period. 0 means that there has been none yet.
using Term = std::int64_t;
/// Orders results of different leaders of one role: by term, then by process.
using FencingToken = std::int64_t;

/// Bits of a token that identify the process.
constexpr unsigned fencing_process_bits = 32;

/// `incarnation`: random number drawn at each start of a process, of which the low 32 bits are used. The
/// probability that two leaders of the same term draw the same bits is 1 in 2^32.
constexpr FencingToken make_fencing_token(Term term, std::uint64_t incarnation) {
  constexpr std::uint64_t process_mask = (1ULL << fencing_process_bits) - 1;
  return term << fencing_process_bits | static_cast<std::int64_t>(incarnation & process_mask);
}

constexpr Term term_of(FencingToken token) { return token >> fencing_process_bits; }

}  // namespace chutevane::control
