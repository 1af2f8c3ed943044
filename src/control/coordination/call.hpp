/// Calls of the coordination service and their answers. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chutevane/types.hpp"

namespace chutevane::control::coordination {

/// Operation of a call. The values are part of the wire format (`CoordinationCall`) and must never be reused
/// for another operation.
enum class Operation : std::int64_t {
  acquire_lock = 1,
  renew_lock = 2,
  release_lock = 3,
  next_number = 4,
  put_key = 5,
  get_key = 6,
  get_group_revision = 7,
};
/// Returns the name of the operation in metrics and log lines.
std::string_view name_of(Operation operation);

/// A client's call. Fields that its operation does not use are empty.
struct Call {
  Operation operation = Operation::get_key;
  /// Random id, set by the controller that received the call from the client. It identifies a call that is
  /// executed again because the answer to its first execution was lost.
  std::uint64_t id = 0;
  std::string name;        ///< of the lock, number, key, or group (including its dot)
  std::string holder;      ///< of a lock
  std::int64_t fence = 0;  ///< fencing token that the holder received
  Span hold;               ///< how long the holder wants the lock, from now on
  std::string value;       ///< of a put
  /// In an acquisition, identifies a grant of the lock that has expired by the clock of the controller that
  /// forwarded the call; 0 if there is none. A grant that has expired by the clock of one controller has
  /// expired for all.
  std::uint64_t expired_grant_id = 0;
  std::int64_t expired_grant_number = 0;
  /// Revision that the key must have for a put to apply. If 0, the key must not exist; if any_revision, the
  /// put applies unconditionally.
  std::int64_t applies_to = 0;
};
constexpr std::int64_t any_revision = -1;

/// Outcome of a call. The values are part of the wire format (`CoordinationAnswer`).
enum class Outcome : std::int64_t {
  done = 0,               ///< the call has taken effect, or the value was read
  held_by_other = 1,      ///< another holder has the lock, or the caller has lost it; no effect
  revision_mismatch = 2,  ///< the key has another revision; no effect, now or later
  not_found = 3,          ///< the key does not exist
  limit_reached = 4,      ///< a queue or a table is full; no effect, now or later
  unavailable = 5,        ///< no quorum, or the call is too old; no effect, now or later
  undetermined = 6,       ///< unknown; the call may have taken effect, or may do so later
  declined = 7,           ///< between controllers only: the receiver has not started it, so another one may
};
/// Returns the name of the outcome in metrics and log lines.
std::string_view name_of(Outcome outcome);

/// Answer to a call.
struct Answer {
  Outcome outcome = Outcome::undetermined;
  /// The fencing token, the number, or the revision of the key or group.
  std::int64_t number = 0;
  std::string value;  ///< of the key that was read
};

}  // namespace chutevane::control::coordination
