/// The replicated state of the coordination service: locks, numbers, keys. No I/O.
///
/// It is the value of a register (control/register.hpp), so all controllers agree on it and on the order of
/// its changes. It contains no time of any clock: when a hold ends, each controller finds out by itself
/// (local_times.hpp).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::control::coordination {

/// A lock that was taken at least once. It stays when it is free, so that its fencing tokens go on rising.
struct Lock {
  std::string holder;          ///< empty: it is free
  std::int64_t fence = 0;      ///< of the newest acquisition
  std::int64_t hold_ms = 0;    ///< for how long it was granted last
  std::uint64_t grant_id = 0;  ///< id of the call that acquired, renewed or released it last
  /// Rises with each acquisition, renewal and release: a call that is carried out again after a newer one is
  /// another grant.
  std::int64_t grant_number = 0;
  /// Id of the call of the newest acquisition. It stays when the hold is renewed or released, so that a copy
  /// of that call which is late does nothing.
  std::uint64_t acquire_id = 0;
  bool operator==(const Lock&) const = default;
};

struct KeyValue {
  std::string value;
  std::int64_t revision = 0;
  bool operator==(const KeyValue&) const = default;
};

/// One put of a key, as watchers see it.
struct PutEvent {
  std::string key;  ///< its whole name
  std::string value;
  std::int64_t revision = 0;
  bool operator==(const PutEvent&) const = default;
};

/// The keys that begin alike up to the first dot. They share one count of revisions.
struct KeyGroup {
  std::int64_t revision = 0;  ///< of the newest put; 0: none
  std::map<std::string, KeyValue> keys;
  /// The newest puts, without a gap, the oldest first. It serves watchers that resume, and recognizes a put
  /// that is sent again after its key has moved on.
  std::deque<PutEvent> history;
  bool operator==(const KeyGroup&) const = default;
};

struct State {
  std::map<std::string, Lock> locks;
  std::map<std::string, std::int64_t> numbers;  ///< the newest one given under each name
  std::map<std::string, KeyGroup> groups;       ///< by prefix, with its dot
  bool operator==(const State&) const = default;
};

/// Up to and with the first dot. Nothing: the name has no dot, or begins with one.
std::optional<std::string> group_of(std::string_view key);

/// The state as bytes; an empty state is the empty text. docs/storage-format.md has the format.
std::string encode(const State& state);
/// Nothing: the bytes are not what encode() makes.
std::optional<State> decode(std::string_view bytes);

}  // namespace chutevane::control::coordination
