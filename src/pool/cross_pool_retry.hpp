/// Whether a call that one pool has given up may be sent to another. No I/O.
///
/// The rules on retries hold across pools as they do within one: a call that is not idempotent may go on only
/// if no endpoint can have run it; one with an idempotency key only to a pool whose endpoints share the
/// memory of keys with those that may have run it; and one budget of dispatches counts over all pools.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::pool {

/// What running a call twice does. In settings: `replayable`, `referenced`, `single-use`.
enum class Idempotency : std::uint8_t {
  idempotent,      // no harm
  keyed,           // no harm where the endpoints remember the call's idempotency key
  non_idempotent,  // the call's effect twice
};

/// The attempts that were made for a call.
struct AttemptHistory {
  int dispatches = 0;         // over all pools so far
  bool may_have_run = false;  // at least one of them, for all that is known
  TimePoint first_sent;       // of those that may have run
};

/// The call, and the pool that it might go to.
struct CrossPoolRetry {
  Idempotency idempotency = Idempotency::idempotent;
  /// The next pool remembers keys together with all pools that the call was in.
  bool shares_key_memory = false;
  /// A key is remembered by all of a group of pools, not by zone or cell alone.
  bool memory_spans_group = true;
  Span key_retention;
  int max_dispatches = 1;
  TimePoint deadline;  // the client's patience
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

/// `none`: the retry is allowed.
inline RetryDenial check_cross_pool_retry(const CrossPoolRetry& retry, const AttemptHistory& history,
                                          TimePoint now) {
  if (retry.deadline <= now) return RetryDenial::deadline_passed;
  if (history.dispatches >= retry.max_dispatches) return RetryDenial::dispatches_exhausted;
  if (!history.may_have_run || retry.idempotency == Idempotency::idempotent) return RetryDenial::none;
  if (retry.idempotency == Idempotency::non_idempotent) return RetryDenial::may_have_run;
  if (!retry.shares_key_memory || !retry.memory_spans_group) return RetryDenial::other_key_memory;
  // The next pool counts the retention from its own first dispatch: the key must still be remembered from the
  // very first one until the last moment at which that pool may send.
  if (retry.deadline > history.first_sent + retry.key_retention) return RetryDenial::key_forgotten;
  return RetryDenial::none;
}

}  // namespace chutevane::pool
