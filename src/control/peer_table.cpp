#include "control/peer_table.hpp"

#include <algorithm>

#include "control/control_timing.hpp"
#include "control/register_value.hpp"

namespace chutevane::control {
namespace {

constexpr Span expiry_timeout = Span::ms(15000);  // a replaced machine does not return
constexpr int running_timeout_factor = 4;         // of peer_liveness_timeout

}  // namespace

PeerTable::PeerTable(net::Scheduler& scheduler, net::TimerQueue& timers, std::string own_address)
    : scheduler_(scheduler), timers_(timers), own_address_(std::move(own_address)) {}

void PeerTable::add(const std::string& address) {
  if (address == own_address_ || address.empty() || peers_.contains(address)) return;
  const auto parsed = net::parse_address(address);
  if (!parsed) return;
  Peer& peer = peers_[address];
  peer.added_at = timers_.now();
  peer.connection = std::make_unique<common::RpcClient>(scheduler_, timers_, *parsed,
                                                        seed_of(own_address_ + address, timers_.now()));
  peer.connection->on_up([this, address] {
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;  // removed in the meantime
    found->second.notified_number = 0;
    if (connected_callback_) connected_callback_(found->second);
  });
}

common::RpcClient* PeerTable::connection_to(const std::string& address) {
  add(address);
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : found->second.connection.get();
}

Peer* PeerTable::record_gossip(const common::Gossip& gossip) {
  add(gossip.address);
  const auto found = peers_.find(gossip.address);
  if (found == peers_.end()) return nullptr;
  Peer& peer = found->second;
  peer.received_at = timers_.now();
  common::Gossip complete = gossip;
  if (!gossip.full && peer.last_gossip) {
    complete.initial = std::move(peer.last_gossip->initial);
    complete.controllers = std::move(peer.last_gossip->controllers);
    complete.members = std::move(peer.last_gossip->members);
  }
  peer.last_gossip = std::move(complete);
  return &peer;
}

std::vector<std::string> PeerTable::remove_expired(const std::vector<common::Acceptor>& acceptors) {
  retired_connections_.clear();
  std::vector<std::string> removed;
  const TimePoint now = timers_.now();
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const TimePoint last_sign = std::max(peer.received_at, peer.added_at);
    const bool has_expired = now - last_sign > expiry_timeout && !contains_address(acceptors, it->first);
    if (has_expired && peers_.size() > 1) {
      retired_connections_.push_back(std::move(peer.connection));
      removed.push_back(it->first);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

bool PeerTable::is_live(const Peer& peer) const {
  return peer.last_gossip && timers_.now() - peer.received_at < peer_liveness_timeout;
}

bool PeerTable::are_all_live() const { return live_count() == peers_.size(); }

std::size_t PeerTable::live_count() const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) { return is_live(entry.second); }));
}

std::vector<std::string> PeerTable::running_addresses() const {
  std::vector<std::string> out;
  const TimePoint now = timers_.now();
  for (const auto& [address, peer] : peers_) {
    const bool is_recent = now - peer.received_at < peer_liveness_timeout * running_timeout_factor;
    if (peer.last_gossip && !peer.last_gossip->draining && is_recent) out.push_back(address);
  }
  return out;
}

}  // namespace chutevane::control
