/// Proof of recent contact with a quorum of the register's acceptors. No I/O.
///
/// A controller sends each peer a message that carries a stamp: its own steady clock at sending. Each peer
/// returns, with its next message, the newest stamp that it has received (an echo), and the number of the
/// value that its disk has accepted. However long either message was in transit, an echo proves two things:
/// the peer received what was sent at that stamp, and what it reports was true at some time after the stamp.
///
/// The age of this controller's knowledge follows from the echoes of a quorum. Let T be a time such that a
/// quorum of the epoch's acceptors has echoed a stamp of T or later and reported an accepted number that is
/// not above the known one. A value chosen before T was accepted by another quorum before T. The two share
/// an acceptor, accepted numbers never fall, so that acceptor's report is at least that value's number:
/// nothing chosen before T is newer than what is known. A sealed value, which ends an epoch, counts as any
/// accepted value; an acceptor that has entered a later epoch reports that epoch and agrees to nothing here.
///
/// This assumes that an acceptor's disk keeps what it accepted (docs/register.md); that an acceptor whose
/// disk was replaced has another disk name, so that its reports are ignored until an epoch names that disk;
/// and that the steady clock of this process never goes back. Peers' clocks do not matter.
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

/// What a peer's message reports about its acceptor.
struct AcceptorReport {
  AcceptorIdentity acceptor;
  std::int64_t epoch = 0;
  std::int64_t accepted = 0;  // number of the accepted value; 0 if none in this epoch
};

/// Collects the echoes and reports of the peers and computes the times for which they prove contact. Must be
/// called from one thread. Times are from this process's steady clock.
class QuorumContact {
 public:
  /// `incarnation`: random number drawn at each start of the process, so that an echo of a stamp of an
  /// earlier incarnation proves nothing.
  explicit QuorumContact(std::int64_t incarnation) : incarnation_(incarnation) {}
  std::int64_t incarnation() const { return incarnation_; }

  /// Processes a peer's message. `echo_incarnation`, `echo_stamp`: the incarnation and the stamp of the
  /// newest message of this controller that the peer had received.
  void on_report(const AcceptorReport& report, std::int64_t echo_incarnation, TimePoint echo_stamp);
  /// Removes the report and the echo of that peer.
  void remove_peer(const std::string& address) { peers_.erase(address); }

  /// Returns the newest time T such that a quorum has echoed a stamp of T or later, whatever it has accepted.
  /// Leader leases are based on it. Returns std::nullopt if no quorum has echoed a stamp. `epoch_value` names
  /// the acceptors.
  std::optional<TimePoint> last_contact(const RegisterValue& epoch_value, const AcceptorReport& own,
                                        TimePoint now) const;
  /// Returns the newest time T for which it is proven that no value chosen before T has a number above
  /// `known`, or std::nullopt if there is none.
  std::optional<TimePoint> confirmed_until(const RegisterValue& epoch_value, const AcceptorReport& own,
                                           std::int64_t known, TimePoint now) const;
  /// Returns the addresses of the acceptors that have echoed a stamp of `since` or later, with this
  /// controller's own address if it is an acceptor.
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
