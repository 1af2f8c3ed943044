/// Records of the register: its value, the messages of the consensus protocol, and the state of an acceptor.
///
/// control/register.hpp describes the protocol. Acceptors send their replies with
/// RpcServer::Connection::reply().
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/avro.hpp"

namespace chutevane::common {

/// An acceptor of the register (the Paxos role): a control sidecar with its disk.
struct Acceptor {
  static constexpr const char* record = "Acceptor";
  static constexpr std::uint8_t kind = 1;
  std::string address;  ///< `ADDRESS:PORT` of its internal control port
  /// Id of its disk. It is empty only in the first set of acceptors, where it stands for the disk that the
  /// sidecar had at the initial start.
  std::string disk;
  template <class Visitor>
  void each(Visitor& v) {
    v("address", address);
    v("disk", disk);
  }
  bool operator==(const Acceptor&) const = default;
};

/// A storage sidecar in the storage map: replicas are placed on it.
struct StorageNode {
  static constexpr const char* record = "StorageNode";
  static constexpr std::uint8_t kind = 2;
  std::string node;       ///< name of the sidecar, unique in the system
  std::string disk;       ///< id of its disk
  std::string address;    ///< `ADDRESS:PORT` of its internal storage port
  std::string zone;       ///< failure domain
  bool draining = false;  ///< it is leaving the map: its replicas are being copied to other nodes
  /// Its disk replaced a lost one whose replicas have not been restored yet.
  bool disk_replaced = false;
  bool bootstrapping = false;  ///< it has joined, but has not yet pulled all replicas that are placed on it
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

/// An operator's request to drain a storage sidecar permanently.
struct RetiredNode {
  static constexpr const char* record = "Retired";
  static constexpr std::uint8_t kind = 3;
  std::string node;        ///< name of the sidecar
  bool completed = false;  ///< it has left the map: its machine may be switched off
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("completed", completed);
  }
  bool operator==(const RetiredNode&) const = default;
};

/// A configuration that has been applied before. It is stored to detect a repeated request for it
/// (idempotency).
struct AppliedConfiguration {
  static constexpr const char* record = "Taken";
  static constexpr std::uint8_t kind = 4;
  std::int64_t version = 0;  ///< version given in the document
  std::int64_t hash = 0;     ///< hash_of() its text (common/configuration.hpp)
  template <class Visitor>
  void each(Visitor& v) {
    v("version", version);
    v("hash", hash);
  }
  bool operator==(const AppliedConfiguration&) const = default;
};

/// The value of the register: the state on which the whole system agrees. A default-constructed value stands
/// for "no value".
struct RegisterValue {
  static constexpr const char* record = "Value";
  static constexpr std::uint8_t kind = 5;
  std::int64_t number = 0;          ///< increases by one with each chosen value; 0 if there is no value
  std::int64_t epoch = 0;           ///< epoch of the acceptor set; 0 if there is none
  std::vector<Acceptor> acceptors;  ///< acceptor set of this epoch
  /// Acceptor set of the next epoch. If it is not empty, the value is sealed: it is the last one of its
  /// epoch.
  std::vector<Acceptor> next_acceptors;
  std::int64_t config_version = 0;  ///< version of the active configuration; 0 if there is none yet
  Bytes config;                     ///< the active configuration, JSON as it was submitted
  /// The latest configurations, oldest first; not sent to members.
  std::vector<AppliedConfiguration> applied_configurations;
  std::int64_t map_version = 0;            ///< version of the storage map, which increases with each change
  std::vector<StorageNode> storage_nodes;  ///< the storage map
  /// Nodes that were removed from the map because they did not respond, and whose replicas the other nodes
  /// have not restored yet.
  std::vector<StorageNode> absent_nodes;
  std::vector<RetiredNode> retired_nodes;  ///< drains requested by operators
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

/// A register value as the difference from an earlier one, in the encoding of common/value_difference.hpp. If
/// `content` is empty there is no difference, and the message that contains this record has the full value.
struct ValueDifference {
  static constexpr const char* record = "Value_difference";
  static constexpr std::uint8_t kind = 37;
  std::int64_t base = 0;       ///< number of the base value
  std::int64_t base_hash = 0;  ///< content_hash() of the base's record
  std::int64_t hash = 0;       ///< content_hash() of the resulting record
  Bytes content;               ///< the encoded difference; empty if there is none
  template <class Visitor>
  void each(Visitor& v) {
    v("base", base);
    v("base_hash", base_hash);
    v("hash", hash);
    v("content", content);
  }
  bool operator==(const ValueDifference&) const = default;
};

/// A proposal number, ordered by round, then by proposer. Ballots of different proposers are never equal.
struct Ballot {
  static constexpr const char* record = "Ballot";
  static constexpr std::uint8_t kind = 6;
  std::int64_t round = 0;     ///< starts at 1; 0 stands for no ballot
  std::int64_t proposer = 0;  ///< drawn at random by each process
  template <class Visitor>
  void each(Visitor& v) {
    v("round", round);
    v("proposer", proposer);
  }
  bool operator==(const Ballot&) const = default;
  auto operator<=>(const Ballot&) const = default;
};

/// Phase 1 of a proposal, or a read. Sent by a proposer to each acceptor; answered by a Promise.
struct Prepare {
  static constexpr const char* record = "Prepare";
  static constexpr std::uint8_t kind = 7;
  std::int64_t epoch = 0;  ///< the proposer's current epoch
  Ballot ballot;           ///< ballot to promise
  /// First value of that epoch, for an acceptor that has not entered it; empty if it has.
  RegisterValue initial;
  bool read_only = false;  ///< the request is a read: nothing is promised
  /// The proposer already has the value accepted under this ballot, so it need not be sent; round 0 if none.
  Ballot known_ballot{};
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("ballot", ballot);
    v("initial", initial);
    v("look_only", read_only);
    v("known", known_ballot);
  }
};

/// The reply to a Prepare.
struct Promise {
  static constexpr const char* record = "Promise";
  static constexpr std::uint8_t kind = 8;
  std::int64_t verdict = 0;  ///< a control::AcceptorStatus
  std::int64_t epoch = 0;    ///< epoch that the acceptor is in
  Ballot promised;           ///< the highest ballot that it has promised
  Ballot accepted;           ///< ballot under which it accepted `value`; round 0 if it has accepted none
  /// The accepted value. Empty if there is none, or if `value_known` is set.
  RegisterValue value;
  RegisterValue initial;     ///< first value of a later epoch than the proposer's; empty otherwise
  bool value_known = false;  ///< `value` is omitted because it is the one of the proposer's `known_ballot`
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

/// Phase 2 of a proposal. Sent by a proposer to each acceptor; answered by an Accepted.
struct Accept {
  static constexpr const char* record = "Accept";
  static constexpr std::uint8_t kind = 9;
  std::int64_t epoch = 0;        ///< epoch of the Prepare
  Ballot ballot;                 ///< the promised ballot
  RegisterValue value;           ///< empty if it is sent as a difference
  ValueDifference difference{};  ///< difference from the value that the acceptor accepted last
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("ballot", ballot);
    v("value", value);
    v("difference", difference);
  }
};

/// The reply to an Accept.
struct Accepted {
  static constexpr const char* record = "Accepted";
  static constexpr std::uint8_t kind = 10;
  std::int64_t verdict = 0;  ///< a control::AcceptorStatus
  std::int64_t epoch = 0;    ///< epoch that the acceptor is in
  Ballot promised;           ///< the highest ballot that it has promised
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("epoch", epoch);
    v("promised", promised);
  }
};

/// Notification from a proposer to the other control sidecars that a value has been chosen.
struct Chosen {
  static constexpr const char* record = "Chosen";
  static constexpr std::uint8_t kind = 11;
  RegisterValue value;           ///< empty if it is sent as a difference
  RegisterValue initial;         ///< first value of its epoch; empty if the receiver has entered that epoch
  ValueDifference difference{};  ///< difference from a value that the receiver knows
  std::int64_t epoch = 0;        ///< epoch of the value
  Ballot ballot{};               ///< ballot under which the value was accepted; round 0 if not known
  template <class Visitor>
  void each(Visitor& v) {
    v("value", value);
    v("initial", initial);
    v("difference", difference);
    v("epoch", epoch);
    v("ballot", ballot);
  }
};

/// The durable state of an acceptor. Written to disk before a reply that depends on it is sent.
struct AcceptorRecord {
  static constexpr const char* record = "Acceptor_record";
  static constexpr std::uint8_t kind = 12;
  std::int64_t epoch = 0;  ///< epoch that it is in; 0 if it has entered none
  Ballot promised;         ///< the highest ballot that it has promised
  Ballot accepted;         ///< ballot under which it accepted `value`; round 0 if none
  RegisterValue value;     ///< the value accepted last in this epoch
  RegisterValue initial;   ///< first value of this epoch
  template <class Visitor>
  void each(Visitor& v) {
    v("epoch", epoch);
    v("promised", promised);
    v("accepted", accepted);
    v("value", value);
    v("initial", initial);
  }
};

}  // namespace chutevane::common
