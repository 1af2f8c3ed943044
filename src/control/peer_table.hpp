/// Table of the other controllers that a controller knows: connections to them, and their last reports.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// Another controller.
struct Peer {
  std::unique_ptr<common::RpcClient> connection;  // never null
  /// The last gossip message. If it omits the long parts, they are taken from the message before.
  std::optional<common::Gossip> last_gossip;
  TimePoint received_at;             // when the last gossip message arrived
  TimePoint added_at;                // when the address became known
  std::int64_t notified_number = 0;  // number of the newest value sent over this connection
};

/// Owns the peers, by address. Peers are added from the settings, from gossip and from the register's set of
/// acceptors. A peer that is not an acceptor is removed once it has sent no gossip for some time. A reference
/// to a peer is valid until remove_expired().
class PeerTable {
 public:
  /// `own_address`: this controller's address, which is never added as a peer.
  PeerTable(net::Scheduler& scheduler, net::TimerQueue& timers, std::string own_address);

  /// Sets a callback that is called each time the connection to a peer has been established.
  void on_connected(std::function<void(Peer&)> callback) { connected_callback_ = std::move(callback); }

  /// Adds a controller that is not known yet and starts to connect to it. Ignores this controller's own
  /// address and strings that are not addresses.
  void add(const std::string& address);
  /// Returns the connection to that controller, which is added if it is not known. Returns nullptr for this
  /// controller's own address and for strings that are not addresses.
  common::RpcClient* connection_to(const std::string& address);
  /// Stores a gossip message; a sender that is not known yet is added. Returns nullptr if the message
  /// contains no valid address of the sender.
  Peer* record_gossip(const common::Gossip& gossip);
  /// Removes peers that have sent no gossip for a long time and are not among `acceptors`; the last peer
  /// stays. Returns their addresses. Must not be called from within a connection's callback.
  std::vector<std::string> remove_expired(const std::vector<common::Acceptor>& acceptors);

  /// Returns true if the peer has sent gossip within `peer_liveness_timeout`.
  bool is_live(const Peer& peer) const;
  bool are_all_live() const;
  std::size_t live_count() const;
  /// Returns the addresses of peers that are not shutting down and have sent gossip within a few seconds.
  std::vector<std::string> running_addresses() const;

  std::size_t size() const { return peers_.size(); }
  auto begin() { return peers_.begin(); }
  auto end() { return peers_.end(); }
  auto begin() const { return peers_.begin(); }
  auto end() const { return peers_.end(); }

 private:
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::string own_address_;
  std::map<std::string, Peer> peers_;
  // Connections of removed peers, kept until the next call of remove_expired() as their coroutines may be
  // running.
  std::vector<std::unique_ptr<common::RpcClient>> retired_connections_;
  std::function<void(Peer&)> connected_callback_;
};

}  // namespace chutevane::control
