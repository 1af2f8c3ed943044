/// The applications' calls for locks, numbers, keys and watches, as a stand-in of an application sends them,
/// and what is answered. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::lab::tier {

enum class CoordinationKind : std::uint8_t {
  acquire_lock,
  renew_lock,
  release_lock,
  next_number,
  put_key,
  get_key,
  watch,
};
constexpr std::size_t coordination_kinds = static_cast<std::size_t>(CoordinationKind::watch) + 1;
const char* name_of(CoordinationKind kind);

/// The group of a key: its name up to the first dot, with it.
std::string group_of_key(const std::string& key);

struct CoordinationCall {
  CoordinationKind kind = CoordinationKind::get_key;
  std::string name;                        ///< of the lock, number, key, or group with its dot
  std::string holder;                      ///< of a lock
  std::int64_t fence = 0;                  ///< fencing token: renewed or released
  Span hold;                               ///< of a lock that is taken or renewed
  std::string value;                       ///< put; no other put has it
  std::optional<std::int64_t> applies_to;  ///< put: revision the key must have
  std::int64_t after = 0;                  ///< watch: 0 asks for the present revision
  TimePoint after_received_at;             ///< watch: when its caller got `after`
  Span wait;                               ///< watch: the most that it waits for a put
  /// The call is one of those at the end of a run, with all processes back.
  bool at_end = false;
};

struct CoordinationEvent {
  std::string name, value;
  std::int64_t revision = 0;
};

/// How a call ended.
enum class CoordinationOutcome : std::uint8_t {
  done,               ///< 200
  held_by_other,      ///< 409
  revision_mismatch,  ///< 412
  not_found,          ///< 404 to a read
  history_gone,       ///< 410 to a watch
  refused,            ///< 429, 503: it has not taken effect and never will
  unclear,            ///< no answer, or one that promises nothing
  malformed,          ///< an answer that the API does not have
};
constexpr std::size_t coordination_outcomes = static_cast<std::size_t>(CoordinationOutcome::malformed) + 1;
const char* name_of(CoordinationOutcome outcome);

struct CoordinationAnswer {
  CoordinationOutcome outcome = CoordinationOutcome::unclear;
  std::int64_t number = 0;  ///< fencing token, number or revision
  std::string value;        ///< read
  std::vector<CoordinationEvent> events;
};

/// The HTTP request, for the controller at `host`.
std::string coordination_request_text(const CoordinationCall& call, std::string_view host);

/// What the status and the body of a whole answer say.
CoordinationAnswer read_coordination_answer(CoordinationKind kind, int status, const std::string& body);

}  // namespace chutevane::lab::tier
