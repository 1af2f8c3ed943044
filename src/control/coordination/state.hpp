/// The replicated state of the coordination service: locks, numbers, keys. No I/O.
///
/// The state is the value of a register (control/register.hpp), so all controllers agree on it and on the
/// order of its changes. It contains no clock times: each controller determines by itself when a hold expires
/// (local_times.hpp).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::control::coordination {

/// A lock that was acquired at least once. It is kept while it is free, so that its fencing tokens keep
/// increasing.
struct Lock {
  std::string holder;          ///< empty if the lock is free
  std::int64_t fence = 0;      ///< fencing token of the newest acquisition
  std::int64_t hold_ms = 0;    ///< duration of the newest grant
  std::uint64_t grant_id = 0;  ///< id of the call that last acquired, renewed or released it
  /// Increases with each acquisition, renewal and release. Hence a call that is executed again after a newer
  /// one is a different grant.
  std::int64_t grant_number = 0;
  /// Id of the call of the newest acquisition. It does not change when the hold is renewed or released, so
  /// that a late copy of that call has no effect.
  std::uint64_t acquire_id = 0;
  bool operator==(const Lock&) const = default;
};

/// Value and revision of a key.
struct KeyValue {
  std::string value;
  std::int64_t revision = 0;
  bool operator==(const KeyValue&) const = default;
};

/// One put of a key, as watchers see it.
struct PutEvent {
  std::string key;  ///< the full name, including the group
  std::string value;
  std::int64_t revision = 0;
  bool operator==(const PutEvent&) const = default;
};

/// The keys with the same prefix up to the first dot. They share one revision counter.
struct KeyGroup {
  std::int64_t revision = 0;  ///< of the newest put; 0 if there is none
  std::map<std::string, KeyValue> keys;
  /// The newest puts without gaps, the oldest first. Watchers resume from it, and a put that is sent again is
  /// recognized by it after its key has got a newer value.
  std::deque<PutEvent> history;
  bool operator==(const KeyGroup&) const = default;
};

/// The whole state of the service.
struct State {
  std::map<std::string, Lock> locks;
  std::map<std::string, std::int64_t> numbers;  ///< newest number issued under each name
  std::map<std::string, KeyGroup> groups;       ///< by prefix, including its dot
  bool operator==(const State&) const = default;
};

/// Returns the prefix of the key up to and including the first dot, or std::nullopt if the key has no dot or
/// begins with one.
std::optional<std::string> group_of(std::string_view key);

/// Returns the encoded state; an empty state is encoded as no bytes. docs/storage-format.md specifies the
/// format.
std::string encode(const State& state);
/// Returns std::nullopt if the bytes are no valid encoding.
std::optional<State> decode(std::string_view bytes);

}  // namespace chutevane::control::coordination
