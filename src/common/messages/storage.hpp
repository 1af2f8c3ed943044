/// Records of the storage plane: accounts of programs, retained turns, anti-entropy, what a storage disk
/// stores.
///
/// Accounts and turns are replicated: an edge sends each request to every replica that the storage map names,
/// and counts the replies. Each message names the version of the map that its sender goes by, so that the two
/// ends notice where they differ.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/avro.hpp"

namespace chutevane::common {

/// From an edge to the replicas of a program's account, before a turn runs: reserves the most tokens that
/// it may use. Answered by a ReserveReply.
struct ReserveRequest {
  static constexpr const char* record = "Reserve";
  static constexpr std::uint8_t kind = 24;
  std::int64_t map_version = 0;  ///< of the storage map that the sender places by
  std::string program;           ///< id of the program
  std::string attempt;           ///< id of the reservation
  std::int64_t max_tokens = 0;   ///< to be reserved
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("program", program);
    v("attempt", attempt);
    v("most", max_tokens);
  }
};

/// Tokens that one attempt has reserved from its program's budget, or has used.
struct Reservation {
  static constexpr const char* record = "Reservation";
  static constexpr std::uint8_t kind = 32;
  std::string attempt;      ///< its id
  std::int64_t tokens = 0;  ///< reserved, or used once committed
  bool committed = false;   ///< `tokens` is the usage, and final
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
  std::int64_t map_version = 0;     ///< of the storage map that the replica goes by
  std::vector<Reservation> others;  ///< all that the replica knows of the program's other attempts
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("others", others);
  }
};

/// Notification from an edge to the replicas: what a reservation's attempt has used. It replaces the
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

/// A turn that was answered completely, as it is retained for turns that continue it.
struct Turn {
  static constexpr const char* record = "Turn";
  static constexpr std::uint8_t kind = 27;
  std::string id;                 ///< of the turn
  std::string previous;           ///< id of the turn that it continues; empty: none
  std::string program;            ///< id of the program; empty: none
  Bytes input;                    ///< body of the request
  Bytes output;                   ///< body of the answer
  std::int64_t retention_ms = 0;  ///< milliseconds to retain it, from when a replica stores it
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

/// From an edge to the replicas of a turn: store it durably. Answered by a StoreTurnReply.
struct StoreTurnRequest {
  static constexpr const char* record = "Keep";
  static constexpr std::uint8_t kind = 28;
  std::int64_t map_version = 0;  ///< of the storage map that the sender places by
  Turn turn;                     ///< to be stored
  std::int64_t used_tokens = 0;  ///< commits the usage of the turn's reservation too; negative: it has none
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
  std::int64_t map_version = 0;  ///< of the storage map that the replica goes by
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
  }
};

/// From an edge to the replicas of a turn: a read. Answered by a FindTurnReply.
struct FindTurnRequest {
  static constexpr const char* record = "Find";
  static constexpr std::uint8_t kind = 30;
  std::int64_t map_version = 0;  ///< of the storage map that the sender places by
  std::string id;                ///< of the turn
  std::string attempt;           ///< of the request that the read is for, for logs; empty: none
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
  std::int64_t map_version = 0;  ///< of the storage map that the replica goes by
  std::vector<Turn> turns;       ///< the turn, then those that it continues, newest first
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("turns", turns);
  }
};

/// The durable account of a program: what it has reserved and used.
struct Account {
  static constexpr const char* record = "Account";
  static constexpr std::uint8_t kind = 33;
  std::string program;               ///< id of the program
  std::vector<Reservation> entries;  ///< one an attempt
  template <class Visitor>
  void each(Visitor& v) {
    v("program", program);
    v("entries", entries);
  }
  bool operator==(const Account&) const = default;
};

/// From one storage sidecar to another, page by page: what is placed on the sender by this version of the
/// map (anti-entropy). Answered by a PullReply.
struct PullRequest {
  static constexpr const char* record = "Pull";
  static constexpr std::uint8_t kind = 34;
  std::int64_t map_version = 0;         ///< of the storage map
  std::string node;                     ///< name of the sender
  bool turns = false;                   ///< ids of turns are asked for; else accounts
  std::string after_id;                 ///< the page begins after this id; empty: the first page
  std::vector<std::string> wanted_ids;  ///< not empty: these turns are asked for, and no page
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
  std::int64_t map_version = 0;   ///< of the storage map that the replica goes by
  bool last = false;              ///< no page follows
  std::vector<Account> accounts;  ///< of the page
  std::vector<std::string> ids;   ///< of the page's turns
  std::vector<Turn> turns;        ///< those that were named in `wanted_ids` and are there
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
  bool held = false;  ///< not used any more; disks of older versions have it
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("held", held);
  }
};

/// The newest version of the storage map that the process of this disk has gone by.
struct MapRecord {
  static constexpr const char* record = "Map_record";
  static constexpr std::uint8_t kind = 38;
  std::string disk;              ///< id of the disk
  std::int64_t map_version = 0;  ///< 0: none yet
  bool complete = false;         ///< all replicas that are placed on it by that version are on this disk
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("map", map_version);
    v("whole", complete);
  }
};

}  // namespace chutevane::common
