/// The other controllers that a controller knows: connections to them, and what they last reported.
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
  /// The last gossip message. One that left out the long parts is completed by those of the one before.
  std::optional<common::Gossip> last_gossip;
  TimePoint received_at;             // when the last gossip message came
  TimePoint added_at;                // when the address became known
  std::int64_t notified_number = 0;  // newest value that the peer was notified of over this connection
};

/// Owns the peers, by address. Peers are added by settings, by gossip and by the register's set of acceptors.
/// They are removed when nothing has been heard of them for some time, unless they are acceptors. A reference
/// to a peer is valid until remove_expired().
class PeerTable {
 public:
  /// `own_address`: of this controller, which is never a peer of its own.
  PeerTable(net::Scheduler& scheduler, net::TimerQueue& timers, std::string own_address);

  /// Called each time the connection to a peer has been established.
  void on_connected(std::function<void(Peer&)> callback) { connected_callback_ = std::move(callback); }

  /// Begins to connect to a controller that is not known yet. Ignores this controller's own address and text
  /// that is no address.
  void add(const std::string& address);
  /// The connection to that controller, which is added if need be. Null: it is this controller's own address,
  /// or none.
  common::RpcClient* connection_to(const std::string& address);
  /// Keeps what a peer reports; a sender that is not known yet is added. Null: the sender names no address.
  Peer* record_gossip(const common::Gossip& gossip);
  /// Removes peers that have not been heard of for long and are not among `acceptors`; the last peer stays.
  /// Returns their addresses. Must not be called from within a connection's callback.
  std::vector<std::string> remove_expired(const std::vector<common::Acceptor>& acceptors);

  /// Whether the peer has sent gossip recently.
  bool is_live(const Peer& peer) const;
  bool are_all_live() const;
  std::size_t live_count() const;
  /// Addresses of peers that are not shutting down and were heard of within a few gossip intervals.
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
  // Of removed peers: kept until the next call of remove_expired(), as their coroutines may be running.
  std::vector<std::unique_ptr<common::RpcClient>> retired_connections_;
  std::function<void(Peer&)> connected_callback_;
};

}  // namespace chutevane::control
