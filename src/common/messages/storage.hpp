/// Records of the storage plane: accounts of programs, retained turns, anti-entropy, and the records on a
/// storage disk.
///
/// Accounts and turns are replicated: an edge sends each request to every replica in the storage map and
/// counts the replies. Requests and replies contain the version of the map that their sender uses, so that
/// both ends detect different versions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/avro.hpp"

namespace chutevane::common {

/// Sent by an edge to the replicas of a program's account before a turn runs: reserves the maximum number of
/// tokens that the turn may use. Answered by a ReserveReply.
struct ReserveRequest {
  static constexpr const char* record = "Reserve";
  static constexpr std::uint8_t kind = 24;
  std::int64_t map_version = 0;  ///< version of the storage map that the sender uses
  std::string program;           ///< id of the program
  std::string attempt;           ///< id of the reservation
  std::int64_t max_tokens = 0;   ///< number of tokens to reserve
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("program", program);
    v("attempt", attempt);
    v("most", max_tokens);
  }
};

/// The tokens of its program's budget that one attempt has reserved or used.
struct Reservation {
  static constexpr const char* record = "Reservation";
  static constexpr std::uint8_t kind = 32;
  std::string attempt;      ///< id of the attempt
  std::int64_t tokens = 0;  ///< reserved tokens, or used tokens once committed
  bool committed = false;   ///< `tokens` is the final usage
  template <class Visitor>
  void each(Visitor& v) {
    v("attempt", attempt);
    v("tokens", tokens);
    v("settled", committed);
  }
  bool operator==(const Reservation&) const = default;
};

/// The reply to a ReserveRequest.
struct ReserveReply {
  static constexpr const char* record = "Reserved";
  static constexpr std::uint8_t kind = 25;
  std::int64_t verdict = 0;         ///< a storage::ReplicaStatus
  std::int64_t map_version = 0;     ///< version of the storage map that the replica uses
  std::vector<Reservation> others;  ///< the program's other attempts known to the replica
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("others", others);
  }
};

/// Notification from an edge to the replicas of the usage of a reservation's attempt. It replaces the
/// reservation.
struct CommitUsage {
  static constexpr const char* record = "Settle";
  static constexpr std::uint8_t kind = 26;
  std::string program;           ///< id of the program
  std::string attempt;           ///< id of the reservation
  std::int64_t used_tokens = 0;  ///< the final usage; 0 releases the reservation
  template <class Visitor>
  void each(Visitor& v) {
    v("program", program);
    v("attempt", attempt);
    v("used", used_tokens);
  }
};

/// A completely answered turn, retained for turns that continue it.
struct Turn {
  static constexpr const char* record = "Turn";
  static constexpr std::uint8_t kind = 27;
  std::string id;                 ///< id of the turn
  std::string previous;           ///< id of the turn that it continues; empty if none
  std::string program;            ///< id of the program; empty if none
  Bytes input;                    ///< body of the request
  Bytes output;                   ///< body of the response
  std::int64_t retention_ms = 0;  ///< retention time in milliseconds, from when a replica stores it
  template <class Visitor>
  void each(Visitor& v) {
    v("id", id);
    v("previous", previous);
    v("program", program);
    v("input", input);
    v("output", output);
    v("keep_ms", retention_ms);
  }
  bool operator==(const Turn&) const = default;
};

/// Sent by an edge to the replicas of a turn: stores the turn durably. Answered by a StoreTurnReply.
struct StoreTurnRequest {
  static constexpr const char* record = "Keep";
  static constexpr std::uint8_t kind = 28;
  std::int64_t map_version = 0;  ///< version of the storage map that the sender uses
  Turn turn;                     ///< turn to store
  std::int64_t used_tokens = 0;  ///< usage to commit for the turn's reservation; negative if it has none
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("turn", turn);
    v("used", used_tokens);
  }
};

/// The reply to a StoreTurnRequest, sent once the turn is on disk.
struct StoreTurnReply {
  static constexpr const char* record = "Kept";
  static constexpr std::uint8_t kind = 29;
  std::int64_t verdict = 0;      ///< a storage::ReplicaStatus
  std::int64_t map_version = 0;  ///< version of the storage map that the replica uses
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
  }
};

/// Sent by an edge to the replicas of a turn: reads the turn. Answered by a FindTurnReply.
struct FindTurnRequest {
  static constexpr const char* record = "Find";
  static constexpr std::uint8_t kind = 30;
  std::int64_t map_version = 0;  ///< version of the storage map that the sender uses
  std::string id;                ///< id of the turn
  std::string attempt;           ///< attempt id of the request that needs the turn, for logs; empty if none
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("id", id);
    v("attempt", attempt);
  }
};

/// The reply to a FindTurnRequest.
struct FindTurnReply {
  static constexpr const char* record = "Found";
  static constexpr std::uint8_t kind = 31;
  std::int64_t verdict = 0;      ///< a storage::ReplicaStatus
  std::int64_t map_version = 0;  ///< version of the storage map that the replica uses
  std::vector<Turn> turns;       ///< the turn, then those that it continues, newest first
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("turns", turns);
  }
};

/// The durable account of a program: its reserved and used tokens.
struct Account {
  static constexpr const char* record = "Account";
  static constexpr std::uint8_t kind = 33;
  std::string program;               ///< id of the program
  std::vector<Reservation> entries;  ///< one entry for each attempt
  template <class Visitor>
  void each(Visitor& v) {
    v("program", program);
    v("entries", entries);
  }
  bool operator==(const Account&) const = default;
};

/// Sent by a storage sidecar to another (anti-entropy): requests, page by page, what this version of the map
/// places on the sender. Answered by a PullReply.
struct PullRequest {
  static constexpr const char* record = "Pull";
  static constexpr std::uint8_t kind = 34;
  std::int64_t map_version = 0;         ///< version of the storage map
  std::string node;                     ///< name of the sender
  bool turns = false;                   ///< true requests ids of turns, false requests accounts
  std::string after_id;                 ///< the page begins after this id; empty for the first page
  std::vector<std::string> wanted_ids;  ///< if not empty, requests these turns instead of a page
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("node", node);
    v("turns", turns);
    v("after", after_id);
    v("wanted", wanted_ids);
  }
};

/// The reply to a PullRequest.
struct PullReply {
  static constexpr const char* record = "Pulled";
  static constexpr std::uint8_t kind = 35;
  std::int64_t verdict = 0;       ///< a storage::ReplicaStatus
  std::int64_t map_version = 0;   ///< version of the storage map that the replica uses
  bool last = false;              ///< this is the last page
  std::vector<Account> accounts;  ///< accounts of the page
  std::vector<std::string> ids;   ///< ids of the page's turns
  std::vector<Turn> turns;        ///< the turns of `wanted_ids` that the replica has
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("last", last);
    v("accounts", accounts);
    v("ids", ids);
    v("turns", turns);
  }
};

/// The identity of a storage sidecar's disk.
struct StorageNodeRecord {
  static constexpr const char* record = "Storage_node_record";
  static constexpr std::uint8_t kind = 36;
  std::string disk;   ///< id of the disk, generated when the disk was new
  bool held = false;  ///< no longer used; present on disks of older versions
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("held", held);
  }
};

/// The newest version of the storage map that the process with this disk has used.
struct MapRecord {
  static constexpr const char* record = "Map_record";
  static constexpr std::uint8_t kind = 38;
  std::string disk;              ///< id of the disk
  std::int64_t map_version = 0;  ///< 0 if there is none yet
  bool complete = false;         ///< this disk has all replicas that that version places on it
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("map", map_version);
    v("whole", complete);
  }
};

}  // namespace chutevane::common
