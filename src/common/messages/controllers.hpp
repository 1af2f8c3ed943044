/// Messages between control sidecars, and the record that each of them stores on its disk.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/messages/register.hpp"
#include "common/messages/sessions.hpp"

namespace chutevane::common {

/// The durable state of a control sidecar, except the state of its acceptors. It is read at each start.
struct ControllerRecord {
  static constexpr const char* record = "Controller_record";
  static constexpr std::uint8_t kind = 13;
  std::string disk;  ///< id of the disk, generated for a new disk or after a loss of its acceptor's state
  /// True if the disk was new at the initial start of the system and has kept its id. The first set of
  /// acceptors has no disk ids: a sidecar with an address of that set belongs to it only if this is true.
  bool first = false;
  RegisterValue known;                   ///< the newest known chosen value
  RegisterValue initial;                 ///< first value of the newest known epoch
  std::vector<std::string> controllers;  ///< `ADDRESS:PORT` of the known control sidecars
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("first", first);
    v("known", known);
    v("initial", initial);
    v("controllers", controllers);
  }
};

/// A singleton role whose lease the sender holds.
struct HeldRole {
  static constexpr const char* record = "Held_duty";
  static constexpr std::uint8_t kind = 15;
  std::string name;       ///< name of the role
  std::int64_t term = 0;  ///< term of the lease, which is its fencing token
  template <class Visitor>
  void each(Visitor& v) {
    v("name", name);
    v("term", term);
  }
};

/// Sent by each control sidecar to every other one four times per second. `initial`, `controllers` and
/// `members` are sent only if `full` is set; otherwise those of the latest full message remain valid.
struct Gossip {
  static constexpr const char* record = "Gossip";
  static constexpr std::uint8_t kind = 16;
  std::string node;               ///< name of the sender
  std::string address;            ///< `ADDRESS:PORT` of its internal control port
  std::string control;            ///< `ADDRESS:PORT` of its operator API; empty if it has none
  std::string disk;               ///< id of its disk
  std::string zone;               ///< failure domain
  bool draining = false;          ///< the sender is shutting down gracefully
  bool full = false;              ///< the message has all fields
  std::int64_t epoch = 0;         ///< newest epoch whose first value it knows
  std::int64_t known_number = 0;  ///< number of the newest chosen value that it knows; 0 if none
  std::int64_t accepted = 0;     ///< number of the value that its acceptor has accepted in `epoch`; 0 if none
  bool voting = false;           ///< its acceptor has entered an epoch
  bool first = false;            ///< as in ControllerRecord
  bool disk_failing = false;     ///< writes to its acceptor's disk fail
  RegisterValue initial;         ///< only the epoch and the acceptors of the epoch's first value
  std::int64_t list_term = 0;    ///< term of the newest endpoint list that it or one of its sessions has
  std::int64_t list_number = 0;  ///< number of that list; 0 if it does not have that list itself
  std::int64_t incarnation = 0;  ///< identifies the sender's process; drawn at random at each start
  std::int64_t stamp = 0;        ///< the sender's steady clock at sending, in microseconds
  /// Incarnation in the latest message that the sender received from the receiver; 0 if it received none.
  std::int64_t echo_incarnation = 0;
  std::int64_t echo_stamp = 0;  ///< `stamp` of that message, in microseconds
  /// `ADDRESS:PORT` of the control sidecars that the sender considers present.
  std::vector<std::string> controllers;
  std::vector<HeldRole> held_roles;  ///< roles whose leases the sender holds
  std::vector<Member> members;       ///< sidecars with a session at the sender
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("address", address);
    v("control", control);
    v("disk", disk);
    v("zone", zone);
    v("leaving", draining);
    v("full", full);
    v("epoch", epoch);
    v("known", known_number);
    v("accepted", accepted);
    v("voting", voting);
    v("first", first);
    v("disk_failing", disk_failing);
    v("initial", initial);
    v("list_term", list_term);
    v("list_number", list_number);
    v("life", incarnation);
    v("stamp", stamp);
    v("echo_life", echo_incarnation);
    v("echo_stamp", echo_stamp);
    v("controllers", controllers);
    v("duties", held_roles);
    v("members", members);
  }
};

/// Sent by a candidate to each acceptor's sidecar: requests a vote in the election of a role's holder.
/// Answered by a VoteReply.
struct VoteRequest {
  static constexpr const char* record = "Vote";
  static constexpr std::uint8_t kind = 17;
  std::string role;       ///< name of the role
  std::int64_t term = 0;  ///< term of the requested lease
  std::string node;       ///< name of the candidate
  template <class Visitor>
  void each(Visitor& v) {
    v("duty", role);
    v("term", term);
    v("node", node);
  }
};

/// The reply to a VoteRequest.
struct VoteReply {
  static constexpr const char* record = "Voted";
  static constexpr std::uint8_t kind = 18;
  bool granted = false;   ///< the voter votes for the candidate
  std::int64_t term = 0;  ///< term of the newest lease of that role that the voter knows
  template <class Visitor>
  void each(Visitor& v) {
    v("granted", granted);
    v("term", term);
  }
};

/// Sent by the holder of the role `list` to another control sidecar: requests an attempt to fetch the
/// platform's list. Answered by a PlatformCheckReply once the attempt has ended.
struct PlatformCheckRequest {
  static constexpr const char* record = "Platform_check";
  static constexpr std::uint8_t kind = 39;
  std::string node;  ///< name of the role's holder
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
  }
};

/// The reply to a PlatformCheckRequest.
struct PlatformCheckReply {
  static constexpr const char* record = "Platform_checked";
  static constexpr std::uint8_t kind = 40;
  bool is_reachable = false;  ///< the sender has just fetched the complete list
  template <class Visitor>
  void each(Visitor& v) {
    v("reachable", is_reachable);
  }
};

}  // namespace chutevane::common
