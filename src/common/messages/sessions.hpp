/// Records of sessions between members (edge and storage sidecars) and control sidecars.
///
/// A member keeps sessions with several control sidecars (common/control_sessions.hpp) and sends heartbeats
/// down each; control sidecars push register values and endpoint lists, and send heartbeats of their own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/messages/register.hpp"

namespace chutevane::common {

/// A sidecar with a session, as it describes itself and as control sidecars pass it on to each other.
struct Member {
  static constexpr const char* record = "Member";
  static constexpr std::uint8_t kind = 14;
  std::string node;         ///< name of the sidecar, unique in the system
  std::string plane;        ///< "edge" or "storage"
  std::string disk;         ///< id of its disk; empty: it has none
  std::string address;      ///< `ADDRESS:PORT` of its internal port
  std::string zone;         ///< failure domain
  std::int64_t number = 0;  ///< of the newest register value that it has; 0: none
  /// The newest version of the storage map by which it has all replicas that are placed on it; 0: none.
  std::int64_t complete_map_version = 0;
  /// Its machine counts towards the machine losses that the system must tolerate (setting `lossCounted`).
  bool counted = false;
  bool draining = false;      ///< it shuts down gracefully: it is to be given nothing new
  bool disk_failing = false;  ///< its disk refuses writes
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("plane", plane);
    v("disk", disk);
    v("address", address);
    v("zone", zone);
    v("number", number);
    v("whole", complete_map_version);
    v("counted", counted);
    v("leaving", draining);
    v("disk_failing", disk_failing);
  }
};

/// From a member down each of its sessions: when it opens the session, and at each heartbeat.
struct MemberHeartbeat {
  static constexpr const char* record = "Hello";
  static constexpr std::uint8_t kind = 21;
  Member member;                 ///< the sender
  std::int64_t list_term = 0;    ///< term of the endpoint list that it has; 0: none
  std::int64_t list_number = 0;  ///< number of that list
  bool primary = false;          ///< this session is the one that it takes its updates from first
  bool closing = false;    ///< the session is at its end: the sender opens another elsewhere or shuts down
  std::int64_t stamp = 0;  ///< the sender's steady clock at sending, in microseconds
  /// Number of the newest push that it could not apply, as long as it has no later value; 0: none.
  std::int64_t rejected_push = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("member", member);
    v("list_term", list_term);
    v("list_number", list_number);
    v("first", primary);
    v("ending", closing);
    v("stamp", stamp);
    v("refused", rejected_push);
  }
};

/// A newer register value down a session: in full, or as the difference from one that the receiver has.
struct ValuePush {
  static constexpr const char* record = "Push";
  static constexpr std::uint8_t kind = 22;
  std::int64_t number = 0;     ///< of the value
  RegisterValue value;         ///< empty: it is sent as a difference
  ValueDifference difference;  ///< from a value that the receiver has
  template <class Visitor>
  void each(Visitor& v) {
    v("number", number);
    v("value", value);
    v("difference", difference);
  }
};

/// From a control sidecar down each session, four times a second.
struct ControlHeartbeat {
  static constexpr const char* record = "Heartbeat";
  static constexpr std::uint8_t kind = 23;
  /// Milliseconds: no value that was chosen longer ago than this is newer than `number`.
  std::int64_t knowledge_age_ms = 0;
  /// `stamp` of the newest MemberHeartbeat received down this session, in microseconds.
  std::int64_t echo_stamp = 0;
  std::int64_t number = 0;               ///< of the newest chosen value that the sender knows; 0: none
  std::int64_t edge_count = 0;           ///< edge sidecars in the system; 0: not known
  std::vector<std::string> controllers;  ///< `ADDRESS:PORT` of the control sidecars; empty: as sent before
  template <class Visitor>
  void each(Visitor& v) {
    v("fresh_ms", knowledge_age_ms);
    v("echo_stamp", echo_stamp);
    v("number", number);
    v("edges", edge_count);
    v("controllers", controllers);
  }
};

}  // namespace chutevane::common
