/// The calls of the coordination service, and what they are answered. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "chutevane/types.hpp"

namespace chutevane::control::coordination {

/// The numbers go over the wire in `CoordinationCall`; they are never used again for another operation.
enum class Operation : std::int64_t {
  acquire_lock = 1,
  renew_lock = 2,
  release_lock = 3,
  next_number = 4,
  put_key = 5,
  get_key = 6,
  get_group_revision = 7,
};
/// For metrics and log lines.
std::string_view name_of(Operation operation);

/// One call of a client. Fields that its operation does not use are empty.
struct Call {
  Operation operation = Operation::get_key;
  /// Drawn at random by the controller that took the call from its client. A call that is carried out twice,
  /// because its first execution was not heard of, is recognized by it.
  std::uint64_t id = 0;
  std::string name;        ///< of the lock, number, key, or group (with its dot)
  std::string holder;      ///< of a lock
  std::int64_t fence = 0;  ///< fencing token that the holder was given
  Span hold;               ///< for how long the holder wants the lock, from now on
  std::string value;       ///< to be put
  /// Of an acquisition: a grant of the lock that has ended by the clock of the controller that passed the
  /// call on. What has ended by one controller's clock has ended. 0: none.
  std::uint64_t expired_grant_id = 0;
  std::int64_t expired_grant_number = 0;
  /// Revision that the key must have; 0: it must not exist yet; any_revision: whatever it has.
  std::int64_t applies_to = 0;
};
constexpr std::int64_t any_revision = -1;

/// What became of a call. The numbers go over the wire in `CoordinationAnswer`.
enum class Outcome : std::int64_t {
  done = 0,               ///< it has taken effect, or was read
  held_by_other = 1,      ///< another holder has the lock, or the caller has lost it: no effect
  revision_mismatch = 2,  ///< the key has another revision: no effect, and none later
  not_found = 3,          ///< the key does not exist
  limit_reached = 4,      ///< a queue or a table is full: no effect, and none later
  unavailable = 5,        ///< no quorum, or the call is too old: no effect, and none later
  undetermined = 6,       ///< not known: it may have taken effect, or may do so later
  declined = 7,           ///< between controllers: the receiver has not begun it, another one may
};
std::string_view name_of(Outcome outcome);

struct Answer {
  Outcome outcome = Outcome::undetermined;
  /// The fencing token, the number, or the revision of the key or group.
  std::int64_t number = 0;
  std::string value;  ///< of the key that was read
};

}  // namespace chutevane::control::coordination
