/// Records of the sessions between members (edge and storage sidecars) and control sidecars.
///
/// A member keeps sessions with several control sidecars (common/control_sessions.hpp) and sends heartbeats
/// on each; control sidecars push register values and endpoint lists, and send their own heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/messages/register.hpp"

namespace chutevane::common {

/// A sidecar's description of itself, which control sidecars forward to each other.
struct Member {
  static constexpr const char* record = "Member";
  static constexpr std::uint8_t kind = 14;
  std::string node;         ///< name of the sidecar, unique in the system
  std::string plane;        ///< "edge" or "storage"
  std::string disk;         ///< id of its disk; empty if it has none
  std::string address;      ///< `ADDRESS:PORT` of its internal port
  std::string zone;         ///< failure domain
  std::int64_t number = 0;  ///< number of the newest register value that it has; 0 if none
  /// The newest version of the storage map for which it has all replicas that are placed on it; 0 if none.
  std::int64_t complete_map_version = 0;
  /// Its machine counts towards the machine losses that the system must tolerate (setting `lossCounted`).
  bool counted = false;
  bool draining = false;      ///< it is shutting down gracefully and must be given no new work
  bool disk_failing = false;  ///< writes to its disk fail
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

/// Sent by a member on each of its sessions: when the session is established, and at each heartbeat.
struct MemberHeartbeat {
  static constexpr const char* record = "Hello";
  static constexpr std::uint8_t kind = 21;
  Member member;                 ///< the sender
  std::int64_t list_term = 0;    ///< term of the endpoint list that it has; 0 if none
  std::int64_t list_number = 0;  ///< number of that list
  bool primary = false;          ///< this session is the primary: changes are pushed on it immediately
  bool closing = false;          ///< the session is ending: the sender opens another elsewhere or shuts down
  std::int64_t stamp = 0;        ///< the sender's steady clock at sending, in microseconds
  /// Number of the newest push that it could not apply, until it has a newer value; 0 if none.
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

/// Pushes a newer register value on a session: in full, or as the difference from one that the receiver has.
struct ValuePush {
  static constexpr const char* record = "Push";
  static constexpr std::uint8_t kind = 22;
  std::int64_t number = 0;     ///< number of the value
  RegisterValue value;         ///< empty if it is sent as a difference
  ValueDifference difference;  ///< difference from a value that the receiver has
  template <class Visitor>
  void each(Visitor& v) {
    v("number", number);
    v("value", value);
    v("difference", difference);
  }
};

/// Sent by a control sidecar on each session, four times per second.
struct ControlHeartbeat {
  static constexpr const char* record = "Heartbeat";
  static constexpr std::uint8_t kind = 23;
  /// Age of the sender's knowledge in milliseconds: every value chosen longer ago than this has a number of
  /// at most `number`.
  std::int64_t knowledge_age_ms = 0;
  /// `stamp` of the newest MemberHeartbeat received on this session, in microseconds.
  std::int64_t echo_stamp = 0;
  std::int64_t number = 0;      ///< number of the newest chosen value that the sender knows; 0 if none
  std::int64_t edge_count = 0;  ///< number of edge sidecars in the system; 0 if not known
  std::vector<std::string> controllers;  ///< `ADDRESS:PORT` of the control sidecars; empty if unchanged
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
