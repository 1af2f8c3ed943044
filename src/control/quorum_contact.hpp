/// Proof of recent contact with a quorum of the register's acceptors. No I/O.
///
/// A controller sends each peer a message that carries a stamp: its own steady clock at sending. Each peer
/// returns, with its next message, the newest stamp that it has received (an echo), and the number of the
/// value that its disk has accepted. An echo proves two things, however long either message was under way:
/// the peer received what was sent at that stamp, and what it reports was true at some time after it.
///
/// From echoes of a quorum follows the age of this controller's knowledge. Let T be a time such that a
/// quorum of the epoch's acceptors has echoed a stamp of T or later and reported an accepted number that is
/// not above the known one. A value chosen before T was accepted by another quorum before T. The two share
/// an acceptor, accepted numbers never fall, so that acceptor's report is at least that value's number:
/// nothing chosen before T is newer than what is known. A sealed value, which ends an epoch, counts as any
/// accepted value; an acceptor that has entered a later epoch reports that epoch and agrees to nothing here.
///
/// It rests on: an acceptor's disk keeps what it accepted (docs/register.md); an acceptor whose disk was
/// replaced has another disk name, and its reports count for nothing until an epoch names that disk; the
/// steady clock of this process never goes back. Peers' clocks do not matter.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/acceptor_membership.hpp"

namespace chutevane::control {

/// What a peer's message says of its acceptor, and the stamp that it echoes.
struct AcceptorReport {
  AcceptorIdentity acceptor;
  std::int64_t epoch = 0;
  std::int64_t accepted = 0;  // number of the value, 0: none in this epoch
};

/// Collects the echoes and reports of the peers and answers for what time they prove contact. To be called
/// from one thread; times are of this process's steady clock.
class QuorumContact {
 public:
  /// `incarnation`: drawn anew at each start of the process, so that an echo of an earlier incarnation proves
  /// nothing.
  explicit QuorumContact(std::int64_t incarnation) : incarnation_(incarnation) {}
  std::int64_t incarnation() const { return incarnation_; }

  /// A peer's message has come. `echo_incarnation`, `echo_stamp`: what it returns of this controller's
  /// messages.
  void on_report(const AcceptorReport& report, std::int64_t echo_incarnation, TimePoint echo_stamp);
  /// Drops what that peer has proven.
  void remove_peer(const std::string& address) { peers_.erase(address); }

  /// The newest time since which a quorum has received from this controller and it from them, whatever they
  /// have accepted: what a lease rests on. Nothing: there was none. `epoch_value` names the acceptors.
  std::optional<TimePoint> last_contact(const RegisterValue& epoch_value, const AcceptorReport& own,
                                        TimePoint now) const;
  /// The newest time T such that no value chosen before T has a number above `known`.
  std::optional<TimePoint> confirmed_until(const RegisterValue& epoch_value, const AcceptorReport& own,
                                           std::int64_t known, TimePoint now) const;
  /// Addresses of the acceptors that have received from this controller, and it from them, what was sent at
  /// `since` or later; its own if it is one.
  std::set<std::string> members_in_contact(const RegisterValue& epoch_value, const AcceptorReport& own,
                                           TimePoint since) const;

 private:
  /// The newest report of a peer, and the newest stamp that it has echoed.
  struct Peer {
    AcceptorReport report;
    TimePoint echo;
  };
  template <class Agrees>
  std::optional<TimePoint> newest_of_quorum(const RegisterValue& epoch_value, const AcceptorReport& own,
                                            TimePoint now, Agrees agrees) const;

  const std::int64_t incarnation_;
  std::map<std::string, Peer> peers_;  // by address
};

}  // namespace chutevane::control
