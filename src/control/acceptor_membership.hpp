/// Decides which controllers are members of a set of acceptors. No I/O.
///
/// The acceptor, the planner of acceptor sets and the proof of contact with a quorum all use is_acceptor().
/// If they disagreed, a controller could be counted as an acceptor and never vote.
///
/// A set names its acceptors by address and disk, so an acceptor that has lost its disk is no longer a
/// member. Only the first set, which is built from the settings before any disk is known, names them by
/// address alone. It stands for the disks that were new when the system was first started. Every later set is
/// a NamedAcceptorSet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "control/register_value.hpp"

namespace chutevane::control {

/// What identifies a controller as an acceptor: its own view, or what its gossip reports.
struct AcceptorIdentity {
  std::string address;            // of its internal port
  std::string disk;               // ID of its disk; empty if the peer has not reported one
  bool has_initial_disk = false;  // its disk was new when the whole system was first started
};

/// Returns true if `controller` is `member` of the acceptor set of `epoch`. After the first epoch, a member
/// without a disk matches no controller; earlier versions have stored such sets.
bool is_acceptor(const AcceptorIdentity& controller, const Acceptor& member, std::int64_t epoch);

/// Returns true if `controller` is a member of the epoch's acceptor set.
bool contains_acceptor(const RegisterValue& epoch_value, const AcceptorIdentity& controller);

/// A set for an epoch after the first: each member with its disk, no address twice.
class NamedAcceptorSet {
 public:
  /// Returns std::nullopt if a member lacks an address or a disk, an address occurs twice, or `members` is
  /// empty.
  static std::optional<NamedAcceptorSet> make(std::vector<Acceptor> members);
  const std::vector<Acceptor>& members() const { return members_; }

 private:
  explicit NamedAcceptorSet(std::vector<Acceptor> members) : members_(std::move(members)) {}
  std::vector<Acceptor> members_;
};

/// Returns `value` as the last value of its epoch, with the acceptor set of the next epoch.
RegisterValue sealed_with(RegisterValue value, const NamedAcceptorSet& next);

}  // namespace chutevane::control
