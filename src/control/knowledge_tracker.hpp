/// How current a controller's knowledge of the register is, and catching up when it is behind.
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

/// What this controller's acceptor reports to others about that epoch: 0 accepted where it is in another one.
AcceptorReport report_of(const DurableAcceptor& acceptor, std::int64_t epoch);

/// Usually a controller learns of a chosen value from the one that changed it. Gossip tells how far the
/// others are: a controller that stays behind for a moment reads the register itself. The age of its
/// knowledge follows from reads and from the peers' proof of contact (quorum_contact.hpp).
class KnowledgeTracker {
 public:
  /// All arguments must outlive this object. `acceptor` must hold a value before any other call.
  KnowledgeTracker(net::TimerQueue& timers, Register& reg, const std::optional<DurableAcceptor>& acceptor,
                   const PeerTable& peers, AcceptorTransport& transport, std::int64_t incarnation);

  /// Gossip of a peer has come.
  void on_gossip(const common::Gossip& gossip);
  void remove_peer(const std::string& address) { contact_.remove_peer(address); }

  /// Updates the age of the knowledge. Where this controller has been behind for `catch_up_delay`, reads the
  /// register. To be called with each tick and each gossip message.
  void catch_up();

  /// How long ago it was last proven that nothing newer than the known value had been chosen.
  Span age() const;
  /// Whether a quorum of acceptors has exchanged messages with this controller, the first of them sent less
  /// than `within` ago.
  bool has_quorum_contact(Span within) const;
  /// Addresses of the acceptors with which it has exchanged messages in that time; its own if it is one.
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
  TimePoint confirmed_at_;  // nothing that was chosen before is newer than the known value
  std::optional<TimePoint> behind_since_;
  bool is_catching_up_ = false;  // a read, or a request for a later epoch, is under way
};

}  // namespace chutevane::control
