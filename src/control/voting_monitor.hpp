/// Detects acceptors that are in contact but do not vote. No I/O.
///
/// A controller observes the epoch's acceptors in two ways: gossip shows which of them are in contact, and
/// the replies to its prepare requests show which of them answer as members of the epoch. An acceptor in
/// contact that answers as a non-member, or not at all, adds no fault tolerance although it counts in the
/// set's size. Without this check, that would go unnoticed until machines are lost.
///
/// Requests are sent only when there is something to change or to read. So that a single failure is not taken
/// for a lasting one when there are few requests, a suspect is probed again until it votes or is out of
/// contact (suspects()).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// Outcome of a request to an acceptor.
enum class AcceptorReply : std::uint8_t {
  member,      ///< the acceptor replied as a member of the epoch or of a later one
  non_member,  ///< the acceptor replied that it is not a member
  none,        ///< no reply within the request's timeout, or the connection was lost
};

/// An acceptor that has been in contact for this long, and has not replied as a member in this time, counts
/// as not voting. Longer than a change of the set, a request's timeout and the detection of a lost peer.
constexpr Span non_voting_delay = Span::ms(2000);

/// Interval at which a suspect is probed. It is not shorter because the request may carry the full value.
constexpr Span suspect_interval = Span::ms(1000);

/// Tracks the replies of the acceptors of one epoch. Must be called from one thread; times are from one
/// steady clock.
class VotingMonitor {
 public:
  /// Processes the outcome of a request of that epoch to the acceptor at that address.
  void on_reply(std::int64_t epoch, const std::string& address, AcceptorReply reply, TimePoint now);

  /// Must be called regularly, with the newest epoch and the addresses of its acceptors that are in contact
  /// according to gossip. Returns true if non_voting() has changed.
  bool update(std::int64_t epoch, const std::set<std::string>& in_contact, TimePoint now);

  /// Returns the addresses of the acceptors in contact whose last request failed. They should be probed every
  /// suspect_interval.
  std::vector<std::string> suspects() const;
  /// Returns the addresses of the acceptors that were in contact and did not vote for `non_voting_delay`.
  const std::set<std::string>& non_voting() const { return non_voting_; }

 private:
  void enter_epoch(std::int64_t epoch);

  std::int64_t epoch_ = 0;
  std::map<std::string, TimePoint> not_voting_since_;  // first failed request since the last vote, by address
  std::set<std::string> non_voting_;
};

}  // namespace chutevane::control
