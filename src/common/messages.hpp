// The records of api/*.avsc as plain values. A field stands here and in its schema file.
#pragma once

#include "common/avro.hpp"

namespace chutevane::common {

// A control sidecar that votes: where it hears, and which disk it is.
struct Acceptor {
  static constexpr const char* record = "Acceptor";
  static constexpr std::uint8_t kind = 1;  // on the wire
  std::string address;
  std::string disk;
  template <class Visitor>
  void each(Visitor& v) {
    v("address", address);
    v("disk", disk);
  }
  bool operator==(const Acceptor&) const = default;
};

// A storage sidecar of the map.
struct StorageNode {
  static constexpr const char* record = "StorageNode";
  static constexpr std::uint8_t kind = 2;  // on the wire
  std::string node;
  std::string disk;
  std::string address;
  std::string zone;
  bool draining = false;
  bool disk_replaced = false;  // its disk took the place of one that was lost, and is not made up for yet
  bool bootstrapping = false;  // it has come in, and has not been whole since
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("disk", disk);
    v("address", address);
    v("zone", zone);
    v("leaving", draining);
    v("lost", disk_replaced);
    v("joining", bootstrapping);
  }
  bool operator==(const StorageNode&) const = default;
};

struct RetiredNode {
  static constexpr const char* record = "Retired";
  static constexpr std::uint8_t kind = 3;  // on the wire
  std::string node;
  bool completed = false;
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("completed", completed);
  }
  bool operator==(const RetiredNode&) const = default;
};

// A configuration that was taken, so that a repeat of it is known.
struct AppliedConfiguration {
  static constexpr const char* record = "Taken";
  static constexpr std::uint8_t kind = 4;  // on the wire
  std::int64_t version = 0;
  std::int64_t hash = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("version", version);
    v("hash", hash);
  }
  bool operator==(const AppliedConfiguration&) const = default;
};

// What the register holds.
struct RegisterValue {
  static constexpr const char* record = "Value";
  static constexpr std::uint8_t kind = 5;  // on the wire
  std::int64_t number = 0;
  std::int64_t epoch = 0;
  std::vector<Acceptor> acceptors;
  std::vector<Acceptor> next_acceptors;
  std::int64_t config_version = 0;
  Bytes config;
  std::vector<AppliedConfiguration> applied_configurations;
  std::int64_t map_version = 0;
  std::vector<StorageNode> storage_nodes;
  std::vector<StorageNode>
      absent_nodes;  // given up while silent: the others have not made up for their copies yet
  std::vector<RetiredNode> retired_nodes;
  template <class Visitor>
  void each(Visitor& v) {
    v("number", number);
    v("epoch", epoch);
    v("acceptors", acceptors);
    v("next", next_acceptors);
    v("config_version", config_version);
    v("config", config);
    v("taken", applied_configurations);
    v("map", map_version);
    v("storage_nodes", storage_nodes);
    v("absent", absent_nodes);
    v("retired", retired_nodes);
  }
  bool operator==(const RegisterValue&) const = default;
};

// What makes one value's record out of another's (common/value_difference.hpp); empty: the message that it
// stands in has the value whole.
struct ValueDifference {
  static constexpr const char* record = "Value_difference";
  static constexpr std::uint8_t kind = 37;  // on the wire
  std::int64_t base = 0;
  std::int64_t base_hash = 0;
  std::int64_t hash = 0;
  Bytes content;
  template <class Visitor>
  void each(Visitor& v) {
    v("base", base);
    v("base_hash", base_hash);
    v("hash", hash);
    v("content", content);
  }
  bool operator==(const ValueDifference&) const = default;
};

struct Ballot {
  static constexpr const char* record = "Ballot";
  static constexpr std::uint8_t kind = 6;  // on the wire
  std::int64_t round = 0;
  std::int64_t proposer = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("round", round);
    v("proposer", proposer);
  }
  bool operator==(const Ballot&) const = default;
  auto operator<=>(const Ballot&) const = default;
};

struct Prepare {
  static constexpr const char* record = "Prepare";
  static constexpr std::uint8_t kind = 7;  // on the wire
  std::int64_t epoch = 0;
  Ballot ballot;
  RegisterValue initial;  // empty: for an acceptor that is in that epoch already
  bool read_only = false;
  Ballot known_ballot{};  // the asker has the value that was accepted under it; round 0: none
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("ballot", ballot);
    v("initial", initial);
    v("look_only", read_only);
    v("known", known_ballot);
  }
};

struct Promise {
  static constexpr const char* record = "Promise";
  static constexpr std::uint8_t kind = 8;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t epoch = 0;
  Ballot promised;
  Ballot accepted;
  RegisterValue value;    // empty: the asker has it, `accepted` being what it named
  RegisterValue initial;  // of an epoch that the asker does not know; empty otherwise
  bool value_known = false;
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("epoch", epoch);
    v("promised", promised);
    v("accepted", accepted);
    v("value", value);
    v("initial", initial);
    v("value_known", value_known);
  }
};

struct Accept {
  static constexpr const char* record = "Accept";
  static constexpr std::uint8_t kind = 9;  // on the wire
  std::int64_t epoch = 0;
  Ballot ballot;
  RegisterValue value;           // empty: it comes as a difference
  ValueDifference difference{};  // from the value that the acceptor has accepted last
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("ballot", ballot);
    v("value", value);
    v("difference", difference);
  }
};

struct Accepted {
  static constexpr const char* record = "Accepted";
  static constexpr std::uint8_t kind = 10;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t epoch = 0;
  Ballot promised;
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("epoch", epoch);
    v("promised", promised);
  }
};

struct Chosen {
  static constexpr const char* record = "Chosen";
  static constexpr std::uint8_t kind = 11;  // on the wire
  RegisterValue value;                      // empty: it comes as a difference
  RegisterValue initial;                    // empty: for a receiver that is in that epoch already
  ValueDifference difference{};
  std::int64_t epoch = 0;
  Ballot ballot{};  // under which the value was accepted; round 0: not known
  template <class Visitor>
  void each(Visitor& v) {
    v("value", value);
    v("initial", initial);
    v("difference", difference);
    v("epoch", epoch);
    v("ballot", ballot);
  }
};

// What an acceptor keeps on disk.
struct AcceptorRecord {
  static constexpr const char* record = "Acceptor_record";
  static constexpr std::uint8_t kind = 12;  // on the wire
  std::int64_t epoch = 0;
  Ballot promised;
  Ballot accepted;
  RegisterValue value;
  RegisterValue initial;
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("promised", promised);
    v("accepted", accepted);
    v("value", value);
    v("initial", initial);
  }
};

// Who this disk is, and whom it knew.
struct ControllerRecord {
  static constexpr const char* record = "Controller_record";
  static constexpr std::uint8_t kind = 13;  // on the wire
  std::string disk;
  bool first = false;
  RegisterValue known;
  RegisterValue initial;
  std::vector<std::string> controllers;
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("first", first);
    v("known", known);
    v("initial", initial);
    v("controllers", controllers);
  }
};

// A sidecar whose session stands.
struct Member {
  static constexpr const char* record = "Member";
  static constexpr std::uint8_t kind = 14;  // on the wire
  std::string node;
  std::string plane;
  std::string disk;
  std::string address;
  std::string zone;
  std::int64_t number = 0;
  std::int64_t complete_map_version = 0;
  bool counted = false;
  bool draining = false;
  bool disk_failing = false;
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

struct HeldRole {
  static constexpr const char* record = "Held_duty";
  static constexpr std::uint8_t kind = 15;  // on the wire
  std::string name;
  std::int64_t term = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("name", name);
    v("term", term);
  }
};

// From one control sidecar to each other, four times a second.
struct Gossip {
  static constexpr const char* record = "Gossip";
  static constexpr std::uint8_t kind = 16;  // on the wire
  std::string node;
  std::string address;
  std::string control;
  std::string disk;
  std::string zone;
  bool draining = false;
  bool full = false;
  std::int64_t epoch = 0;
  std::int64_t known_number = 0;
  std::int64_t accepted = 0;
  bool voting = false;
  bool first = false;
  bool disk_failing = false;
  RegisterValue initial;
  std::int64_t list_term = 0;
  std::int64_t list_number = 0;
  std::int64_t incarnation = 0;       // of the sender's process
  std::int64_t stamp = 0;             // the sender's steady clock at sending, in microseconds
  std::int64_t echo_incarnation = 0;  // of the receiver's process, as the sender heard last
  std::int64_t echo_stamp = 0;        // the newest stamp that the sender has received from the receiver
  std::vector<std::string> controllers;
  std::vector<HeldRole> held_roles;
  std::vector<Member> members;
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

struct VoteRequest {
  static constexpr const char* record = "Vote";
  static constexpr std::uint8_t kind = 17;  // on the wire
  std::string role;
  std::int64_t term = 0;
  std::string node;
  template <class Visitor>
  void each(Visitor& v) {
    v("duty", role);
    v("term", term);
    v("node", node);
  }
};

struct VoteReply {
  static constexpr const char* record = "Voted";
  static constexpr std::uint8_t kind = 18;  // on the wire
  bool granted = false;
  std::int64_t term = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("granted", granted);
    v("term", term);
  }
};

// An endpoint as the platform lists it.
struct EndpointEntry {
  static constexpr const char* record = "Listed";
  static constexpr std::uint8_t kind = 19;  // on the wire
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::int64_t capacity = 0;
  bool draining = false;
  std::int64_t slow_start_ms = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("id", id);
    v("service", service);
    v("address", address);
    v("zone", zone);
    v("capacity", capacity);
    v("draining", draining);
    v("cold_ms", slow_start_ms);
  }
  bool operator==(const EndpointEntry&) const = default;
};

// The change from number base to number, or the whole list where base is 0.
struct EndpointList {
  static constexpr const char* record = "Endpoint_list";
  static constexpr std::uint8_t kind = 20;  // on the wire
  std::int64_t term = 0;
  std::int64_t number = 0;
  std::int64_t base = 0;
  std::vector<EndpointEntry> entries;
  std::vector<std::string> removed_ids;
  template <class Visitor>
  void each(Visitor& v) {
    v("term", term);
    v("number", number);
    v("base", base);
    v("entries", entries);
    v("gone", removed_ids);
  }
};

// A sidecar's word when it opens its session, and with each heartbeat.
struct MemberHeartbeat {
  static constexpr const char* record = "Hello";
  static constexpr std::uint8_t kind = 21;  // on the wire
  Member member;
  std::int64_t list_term = 0;
  std::int64_t list_number = 0;
  bool primary = false;
  bool closing = false;
  std::int64_t stamp = 0;  // the sender's steady clock at sending, in microseconds
  std::int64_t rejected_push =
      0;  // the newest push that could not be applied, where no later one was; 0: none
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

// A newer value of the register, down a session: whole, or as the difference from one that the receiver has.
struct ValuePush {
  static constexpr const char* record = "Push";
  static constexpr std::uint8_t kind = 22;  // on the wire
  std::int64_t number = 0;
  RegisterValue value;
  ValueDifference difference;
  template <class Visitor>
  void each(Visitor& v) {
    v("number", number);
    v("value", value);
    v("difference", difference);
  }
};

// From control down a session, four times a second.
struct ControlHeartbeat {
  static constexpr const char* record = "Heartbeat";
  static constexpr std::uint8_t kind = 23;  // on the wire
  std::int64_t knowledge_age_ms = 0;        // age of the sender's knowledge of the register
  std::int64_t echo_stamp = 0;              // of the newest MemberHeartbeat received down this session
  std::int64_t number = 0;
  std::int64_t edge_count = 0;
  std::vector<std::string> controllers;
  template <class Visitor>
  void each(Visitor& v) {
    v("fresh_ms", knowledge_age_ms);
    v("echo_stamp", echo_stamp);
    v("number", number);
    v("edges", edge_count);
    v("controllers", controllers);
  }
};

// Before a turn runs: its most is set aside.
struct ReserveRequest {
  static constexpr const char* record = "Reserve";
  static constexpr std::uint8_t kind = 24;  // on the wire
  std::int64_t map_version = 0;
  std::string program;
  std::string attempt;
  std::int64_t max_tokens = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("program", program);
    v("attempt", attempt);
    v("most", max_tokens);
  }
};

struct Reservation {
  static constexpr const char* record = "Reservation";
  static constexpr std::uint8_t kind = 32;  // on the wire
  std::string attempt;
  std::int64_t tokens = 0;
  bool committed = false;
  template <class Visitor>
  void each(Visitor& v) {
    v("attempt", attempt);
    v("tokens", tokens);
    v("settled", committed);
  }
  bool operator==(const Reservation&) const = default;
};

// With all that this one knows of the program's other attempts.
struct ReserveReply {
  static constexpr const char* record = "Reserved";
  static constexpr std::uint8_t kind = 25;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t map_version = 0;
  std::vector<Reservation> others;
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("others", others);
  }
};

// What a reservation came to.
struct CommitUsage {
  static constexpr const char* record = "Settle";
  static constexpr std::uint8_t kind = 26;  // on the wire
  std::string program;
  std::string attempt;
  std::int64_t used_tokens = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("program", program);
    v("attempt", attempt);
    v("used", used_tokens);
  }
};

// A turn that was answered whole.
struct Turn {
  static constexpr const char* record = "Turn";
  static constexpr std::uint8_t kind = 27;  // on the wire
  std::string id;
  std::string previous;
  std::string program;
  Bytes input;
  Bytes output;
  std::int64_t retention_ms = 0;
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

struct StoreTurnRequest {
  static constexpr const char* record = "Keep";
  static constexpr std::uint8_t kind = 28;  // on the wire
  std::int64_t map_version = 0;
  Turn turn;
  std::int64_t used_tokens = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("turn", turn);
    v("used", used_tokens);
  }
};

struct StoreTurnReply {
  static constexpr const char* record = "Kept";
  static constexpr std::uint8_t kind = 29;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t map_version = 0;
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
  }
};

struct FindTurnRequest {
  static constexpr const char* record = "Find";
  static constexpr std::uint8_t kind = 30;  // on the wire
  std::int64_t map_version = 0;
  std::string id;
  std::string attempt;  // of the request that asks, for logs; empty: no request does
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("id", id);
    v("attempt", attempt);
  }
};

// The turn and what it goes on from, the newest first.
struct FindTurnReply {
  static constexpr const char* record = "Found";
  static constexpr std::uint8_t kind = 31;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t map_version = 0;
  std::vector<Turn> turns;
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("map", map_version);
    v("turns", turns);
  }
};

// What a program has set aside and spent.
struct Account {
  static constexpr const char* record = "Account";
  static constexpr std::uint8_t kind = 33;  // on the wire
  std::string program;
  std::vector<Reservation> entries;
  template <class Visitor>
  void each(Visitor& v) {
    v("program", program);
    v("entries", entries);
  }
  bool operator==(const Account&) const = default;
};

// From one storage sidecar to another: what is mine by this map.
struct PullRequest {
  static constexpr const char* record = "Pull";
  static constexpr std::uint8_t kind = 34;  // on the wire
  std::int64_t map_version = 0;
  std::string node;
  bool turns = false;
  std::string after_id;
  std::vector<std::string> wanted_ids;
  template <class Visitor>
  void each(Visitor& v) {
    v("map", map_version);
    v("node", node);
    v("turns", turns);
    v("after", after_id);
    v("wanted", wanted_ids);
  }
};

struct PullReply {
  static constexpr const char* record = "Pulled";
  static constexpr std::uint8_t kind = 35;  // on the wire
  std::int64_t verdict = 0;
  std::int64_t map_version = 0;
  bool last = false;
  std::vector<Account> accounts;
  std::vector<std::string> ids;
  std::vector<Turn> turns;
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

// Who this disk is.
struct StorageNodeRecord {
  static constexpr const char* record = "Storage_node_record";
  static constexpr std::uint8_t kind = 36;  // on the wire
  std::string disk;
  bool held = false;  // not used any more; disks of before have it
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("held", held);
  }
};

// The newest map that this disk's process went by.
struct MapRecord {
  static constexpr const char* record = "Map_record";
  static constexpr std::uint8_t kind = 38;  // on the wire
  std::string disk;
  std::int64_t map_version = 0;  // 0: none yet
  bool complete = false;         // all that is its own by that map is on this disk
  template <class Visitor>
  void each(Visitor& v) {
    v("disk", disk);
    v("map", map_version);
    v("whole", complete);
  }
};

}  // namespace chutevane::common
