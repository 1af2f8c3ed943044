/// Records of the register: its value, the messages of the consensus protocol, what an acceptor stores.
///
/// control/register.hpp has the protocol. Replies are sent by the acceptor that was asked, with RpcServer's
/// reply.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/avro.hpp"

namespace chutevane::common {

/// An acceptor of the register (the Paxos role): one control sidecar with its disk.
struct Acceptor {
  static constexpr const char* record = "Acceptor";
  static constexpr std::uint8_t kind = 1;
  std::string address;  ///< `ADDRESS:PORT` of its internal control port
  /// Id of its disk; empty in the first set only, where it means the disk of the first start.
  std::string disk;
  template <class Visitor>
  void each(Visitor& v) {
    v("address", address);
    v("disk", disk);
  }
  bool operator==(const Acceptor&) const = default;
};

/// A storage sidecar of the storage map: one that replicas are placed on.
struct StorageNode {
  static constexpr const char* record = "StorageNode";
  static constexpr std::uint8_t kind = 2;
  std::string node;       ///< name of the sidecar, unique in the system
  std::string disk;       ///< id of its disk
  std::string address;    ///< `ADDRESS:PORT` of its internal storage port
  std::string zone;       ///< failure domain
  bool draining = false;  ///< on its way out of the map: its replicas are being copied to the others
  /// Its disk took the place of a lost one, whose replicas have not been restored yet.
  bool disk_replaced = false;
  bool bootstrapping = false;  ///< it has joined, and has not yet pulled all replicas that are placed on it
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

/// An operator's order to drain a storage sidecar for good.
struct RetiredNode {
  static constexpr const char* record = "Retired";
  static constexpr std::uint8_t kind = 3;
  std::string node;        ///< name of the sidecar
  bool completed = false;  ///< it is out of the map: its machine may be switched off
  template <class Visitor>
  void each(Visitor& v) {
    v("node", node);
    v("completed", completed);
  }
  bool operator==(const RetiredNode&) const = default;
};

/// A configuration that has been applied before, so that a repeated request for it is recognised
/// (idempotency).
struct AppliedConfiguration {
  static constexpr const char* record = "Taken";
  static constexpr std::uint8_t kind = 4;
  std::int64_t version = 0;  ///< as in the document
  std::int64_t hash = 0;     ///< hash_of() its text (common/configuration.hpp)
  template <class Visitor>
  void each(Visitor& v) {
    v("version", version);
    v("hash", hash);
  }
  bool operator==(const AppliedConfiguration&) const = default;
};

/// The value of the register: all state that the whole system agrees on. The record of a default-
/// constructed value stands for "none".
struct RegisterValue {
  static constexpr const char* record = "Value";
  static constexpr std::uint8_t kind = 5;
  std::int64_t number = 0;          ///< rises by one with each chosen value; 0: no value
  std::int64_t epoch = 0;           ///< of the acceptor set; 0: none
  std::vector<Acceptor> acceptors;  ///< the set of this epoch
  /// Not empty: the value is sealed, the last of its epoch; the next epoch has this set.
  std::vector<Acceptor> next_acceptors;
  std::int64_t config_version = 0;  ///< of the configuration in force; 0: none yet
  Bytes config;                     ///< the document in force, JSON as it was submitted
  /// The latest ones, oldest first; left out of what members are sent.
  std::vector<AppliedConfiguration> applied_configurations;
  std::int64_t map_version = 0;            ///< of the storage map, rises with each change of it
  std::vector<StorageNode> storage_nodes;  ///< the storage map
  /// Taken out of the map while they did not respond; the others have not restored their replicas yet.
  std::vector<StorageNode> absent_nodes;
  std::vector<RetiredNode> retired_nodes;  ///< drains that operators have ordered
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

/// A register value as its difference from an earlier one (common/value_difference.hpp has the encoding).
/// With empty `content` there is no difference: the message that contains it has the full value.
struct ValueDifference {
  static constexpr const char* record = "Value_difference";
  static constexpr std::uint8_t kind = 37;
  std::int64_t base = 0;       ///< number of the value that it is based on
  std::int64_t base_hash = 0;  ///< content_hash() of the base's record
  std::int64_t hash = 0;       ///< content_hash() of the resulting record
  Bytes content;               ///< the encoded difference; empty: none
  template <class Visitor>
  void each(Visitor& v) {
    v("base", base);
    v("base_hash", base_hash);
    v("hash", hash);
    v("content", content);
  }
  bool operator==(const ValueDifference&) const = default;
};

/// A proposal number. Ordered by round, then by proposer; no two proposers share one.
struct Ballot {
  static constexpr const char* record = "Ballot";
  static constexpr std::uint8_t kind = 6;
  std::int64_t round = 0;     ///< from 1; 0: no ballot
  std::int64_t proposer = 0;  ///< drawn at random by each process
  template <class Visitor>
  void each(Visitor& v) {
    v("round", round);
    v("proposer", proposer);
  }
  bool operator==(const Ballot&) const = default;
  auto operator<=>(const Ballot&) const = default;
};

/// Phase 1 of a proposal, or a read: from a proposer to each acceptor. Answered by a Promise.
struct Prepare {
  static constexpr const char* record = "Prepare";
  static constexpr std::uint8_t kind = 7;
  std::int64_t epoch = 0;  ///< that the proposer believes to be the current one
  Ballot ballot;           ///< to be promised
  /// First value of that epoch, for an acceptor that has not entered it; empty: it has.
  RegisterValue initial;
  bool read_only = false;  ///< only reads: nothing is promised
  /// The proposer has the value that was accepted under it, which need not be sent; round 0: none.
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
  std::int64_t verdict = 0;  ///< a control::Verdict
  std::int64_t epoch = 0;    ///< that the acceptor is in
  Ballot promised;           ///< the highest ballot that it has promised
  Ballot accepted;           ///< under which it accepted `value`; round 0: it has accepted none
  /// Empty: none, or, with `value_known`, the one that the proposer named by its `known_ballot`.
  RegisterValue value;
  RegisterValue initial;     ///< first value of a later epoch than the proposer's; empty otherwise
  bool value_known = false;  ///< `value` is left out because the proposer has it
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

/// Phase 2 of a proposal: from a proposer to each acceptor. Answered by an Accepted.
struct Accept {
  static constexpr const char* record = "Accept";
  static constexpr std::uint8_t kind = 9;
  std::int64_t epoch = 0;        ///< as in the Prepare
  Ballot ballot;                 ///< that was promised
  RegisterValue value;           ///< empty: it is sent as a difference
  ValueDifference difference{};  ///< from the value that the acceptor has accepted last
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
  std::int64_t verdict = 0;  ///< a control::Verdict
  std::int64_t epoch = 0;    ///< that the acceptor is in
  Ballot promised;           ///< the highest ballot that it has promised
  template <class Visitor>
  void each(Visitor& v) {
    v("verdict", verdict);
    v("epoch", epoch);
    v("promised", promised);
  }
};

/// A notification from a proposer to the other control sidecars: this value has been chosen.
struct Chosen {
  static constexpr const char* record = "Chosen";
  static constexpr std::uint8_t kind = 11;
  RegisterValue value;           ///< empty: it is sent as a difference
  RegisterValue initial;         ///< first value of its epoch; empty: the receiver has entered that epoch
  ValueDifference difference{};  ///< from a value that the receiver knows
  std::int64_t epoch = 0;        ///< of the value
  Ballot ballot{};               ///< under which the value was accepted; round 0: not known
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
  std::int64_t epoch = 0;  ///< that it is in; 0: it has entered none
  Ballot promised;         ///< the highest ballot that it has promised
  Ballot accepted;         ///< under which it accepted `value`; round 0: none
  RegisterValue value;     ///< accepted last in this epoch
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
