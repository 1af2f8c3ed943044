/// Which controllers are members of a set of acceptors. No I/O.
///
/// The acceptor itself, the planner of sets and the proof of contact with a quorum all ask is_acceptor(): a
/// controller that one of them counted and another did not would be an acceptor that never votes.
///
/// A set names its acceptors by address and disk, so that one which has lost its disk is no member any more.
/// Only the first set, which is made of settings before any disk is known, names them by address alone. It
/// means the disks that were new when the system was first started. Every later set is a NamedAcceptorSet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "control/register_value.hpp"

namespace chutevane::control {

/// A controller as it may become an acceptor: its own view of itself, or what its gossip says.
struct AcceptorIdentity {
  std::string address;            // of its internal port
  std::string disk;               // id; empty where a peer has not reported any
  bool has_initial_disk = false;  // its disk was new when the whole system was first started
};

/// Whether `controller` is that member of the set of `epoch`. A member without a disk in a later epoch than
/// the first is nobody: earlier versions have stored such sets.
bool is_acceptor(const AcceptorIdentity& controller, const Acceptor& member, std::int64_t epoch);

/// Whether `controller` is a member of the epoch's set.
bool contains_acceptor(const RegisterValue& epoch_value, const AcceptorIdentity& controller);

/// A set for an epoch after the first: each member with its disk, no address twice.
class NamedAcceptorSet {
 public:
  /// Nothing: a member has no address or no disk, an address stands twice, or there are no members.
  static std::optional<NamedAcceptorSet> make(std::vector<Acceptor> members);
  const std::vector<Acceptor>& members() const { return members_; }

 private:
  explicit NamedAcceptorSet(std::vector<Acceptor> members) : members_(std::move(members)) {}
  std::vector<Acceptor> members_;
};

/// The last value of its epoch: `value`, with the set of the next epoch.
RegisterValue sealed_with(RegisterValue value, const NamedAcceptorSet& next);

}  // namespace chutevane::control
