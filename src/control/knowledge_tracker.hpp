/// Tracks how current a controller's knowledge of the register is, and catches up when it is behind.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/acceptor.hpp"
#include "control/acceptor_transport.hpp"
#include "control/peer_table.hpp"
#include "control/quorum_contact.hpp"
#include "control/register.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// Returns what this controller's acceptor reports to peers about `epoch`. The accepted number is 0 if the
/// acceptor is in another epoch.
AcceptorReport report_of(const DurableAcceptor& acceptor, std::int64_t epoch);

/// Usually a controller receives a chosen value from the controller that changed it. Gossip carries the
/// numbers that the others know: a controller that stays behind for `catch_up_delay` reads the register
/// itself. The age of its knowledge is derived from reads and from the proof of contact with a quorum
/// (quorum_contact.hpp).
class KnowledgeTracker {
 public:
  /// All arguments must outlive this object. `acceptor` must hold a value before any other call.
  KnowledgeTracker(net::TimerQueue& timers, Register& reg, const std::optional<DurableAcceptor>& acceptor,
                   const PeerTable& peers, AcceptorTransport& transport, std::int64_t incarnation);

  /// Processes a gossip message of a peer.
  void on_gossip(const common::Gossip& gossip);
  void remove_peer(const std::string& address) { contact_.remove_peer(address); }

  /// Updates the age of the knowledge, and reads the register if this controller has been behind for
  /// `catch_up_delay`. Must be called with each tick and each gossip message.
  void catch_up();

  /// Returns the time since it was last proven that no value newer than the known one had been chosen.
  Span age() const;
  /// Returns true if each acceptor of a quorum has echoed a message that this controller sent less than
  /// `within` ago.
  bool has_quorum_contact(Span within) const;
  /// Returns the addresses of the acceptors that have echoed a message sent within that time, with its own if
  /// this controller is an acceptor.
  std::set<std::string> acceptors_in_contact(Span within) const;

 private:
  bool is_behind() const;
  bool fetch_later_epoch();
  void fetch_epoch_from(const std::vector<common::Acceptor>& acceptors);
  void read_register();
  AcceptorReport own_report() const { return report_of(*acceptor_, register_.epoch_value().epoch); }
  void update_confirmed_at();

  net::TimerQueue& timers_;
  Register& register_;
  const std::optional<DurableAcceptor>& acceptor_;
  const PeerTable& peers_;
  AcceptorTransport& transport_;
  QuorumContact contact_;
  TimePoint confirmed_at_;  // no value chosen before this time is newer than the known value
  std::optional<TimePoint> behind_since_;
  bool is_catching_up_ = false;  // a read, or a request for a later epoch, is in progress
};

}  // namespace chutevane::control
