/// Decides whether a call that failed in one pool may be retried in another.
///
/// The retry rules hold across pools as they do within one: a call that is not idempotent may be retried only
/// if no endpoint can have run it; a call with an idempotency key only in a pool whose endpoints share the
/// memory of keys with those that may have run it; and all pools together have one budget of dispatches.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::pool {

/// The effect of running a call twice. In settings: `replayable`, `referenced`, `single-use`.
enum class Idempotency : std::uint8_t {
  idempotent,      // harmless
  keyed,           // harmless if the endpoints remember the call's idempotency key
  non_idempotent,  // the call takes effect twice
};

/// The attempts that were made for a call.
struct AttemptHistory {
  int dispatches = 0;         // number of attempts in all pools
  bool may_have_run = false;  // at least one of them may have been executed
  TimePoint first_sent;       // when the first attempt that may have been executed was sent
};

/// The properties of the call and of the next pool that decide whether the call may be retried there.
struct CrossPoolRetry {
  Idempotency idempotency = Idempotency::idempotent;
  /// The next pool shares its memory of idempotency keys with all pools that the call was in.
  bool shares_key_memory = false;
  /// Keys are remembered by the whole group of pools, not only by a zone or cell.
  bool memory_spans_group = true;
  Span key_retention;  // time for which endpoints remember a key
  int max_dispatches = 1;
  TimePoint deadline;  // when the client times out
};

/// Why a retry is not allowed.
enum class RetryDenial : std::uint8_t {
  none,
  deadline_passed,
  dispatches_exhausted,
  may_have_run,
  other_key_memory,
  key_forgotten
};

/// Returns RetryDenial::none if the retry is allowed.
inline RetryDenial check_cross_pool_retry(const CrossPoolRetry& retry, const AttemptHistory& history,
                                          TimePoint now) {
  if (retry.deadline <= now) return RetryDenial::deadline_passed;
  if (history.dispatches >= retry.max_dispatches) return RetryDenial::dispatches_exhausted;
  if (!history.may_have_run || retry.idempotency == Idempotency::idempotent) return RetryDenial::none;
  if (retry.idempotency == Idempotency::non_idempotent) return RetryDenial::may_have_run;
  if (!retry.shares_key_memory || !retry.memory_spans_group) return RetryDenial::other_key_memory;
  // The next pool counts the retention from its own first dispatch. So the key must be remembered from the
  // first dispatch of all until the last moment at which that pool may send, which is the deadline.
  if (retry.deadline > history.first_sent + retry.key_retention) return RetryDenial::key_forgotten;
  return RetryDenial::none;
}

}  // namespace chutevane::pool
