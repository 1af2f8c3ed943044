// Gossip of a controller with its peers.
#include <xxhash.h>

#include "control/control_plane.hpp"
#include "control/control_timing.hpp"

namespace chutevane::control {
namespace {

using common::Gossip;

// A connection that has been silent for longer than both of these may be broken without a visible error.
constexpr Span connection_silence_timeout = Span::ms(3000);
constexpr Span gossip_silence_timeout = Span::ms(1500);

/// Returns a digest of the parts that only a full message contains.
std::uint64_t digest_of_long_parts(const Gossip& gossip) {
  Gossip long_parts;
  long_parts.initial = gossip.initial;
  long_parts.controllers = gossip.controllers;
  long_parts.members = gossip.members;
  const std::string record = common::encoded(long_parts);
  return XXH3_64bits(record.data(), record.size());
}

/// Returns the message for this peer, with the stamp of the peer's last message as proof that it was
/// received.
Gossip with_echo(Gossip gossip, const Peer& peer) {
  if (peer.last_gossip) {
    gossip.echo_incarnation = peer.last_gossip->incarnation;
    gossip.echo_stamp = peer.last_gossip->stamp;
  }
  return gossip;
}

}  // namespace

/// Returns the addresses of the controllers with which members may open sessions.
std::vector<std::string> ControlPlane::controller_addresses() const {
  std::vector<std::string> out;
  if (!is_shutting_down_) out.push_back(address_);
  for (std::string& address : peers_.running_addresses()) out.push_back(std::move(address));
  return out;
}

/// Creates a message with the parts that change frequently, which every message contains.
Gossip ControlPlane::make_short_gossip() {
  // The acceptor may have entered an epoch that this process's register does not know yet.
  register_.observe_epoch(acceptor_->epoch_value());
  const AcceptorReport report = report_of(*acceptor_, register_.epoch_value().epoch);
  const EndpointListPosition list_position = endpoint_list_.reported_position();
  Gossip out;
  out.node = settings_.node;
  out.address = address_;
  out.control = settings_.control ? net::text_of(*settings_.control) : "";
  out.disk = record_.disk;
  out.zone = settings_.zone;
  out.draining = is_shutting_down_;
  out.epoch = report.epoch;
  out.known_number = register_.known_value() ? register_.known_value()->number : 0;
  out.accepted = report.accepted;
  out.voting = acceptor_->is_voting();
  out.first = record_.first;
  out.disk_failing = is_disk_failing();
  out.list_term = list_position.token;
  out.list_number = list_position.number;
  out.incarnation = static_cast<std::int64_t>(incarnation_);
  out.stamp = (timers_.now() - TimePoint()).as_us();
  if (!is_shutting_down_) out.held_roles = led_roles();
  return out;
}

/// Creates a message that also contains the long parts: the set of acceptors, the controllers and the members
/// with a session here. All other contents of the register are read from the acceptors.
Gossip ControlPlane::make_full_gossip() {
  Gossip out = make_short_gossip();
  out.full = true;
  out.initial.epoch = register_.epoch_value().epoch;
  out.initial.acceptors = register_.epoch_value().acceptors;
  out.controllers = controller_addresses();
  out.members = sessions_.members();
  return out;
}

void ControlPlane::send_gossip() {
  // The long parts seldom change. They are sent when they have changed, and periodically for peers that
  // missed them.
  const TimePoint now = timers_.now();
  Gossip gossip = make_full_gossip();
  const std::uint64_t digest = digest_of_long_parts(gossip);
  if (digest == full_gossip_digest_ && now - full_gossip_sent_at_ < full_message_interval) {
    gossip = make_short_gossip();
  } else {
    full_gossip_digest_ = digest;
    full_gossip_sent_at_ = now;
  }
  for (auto& [address, peer] : peers_) {
    common::RpcClient& connection = *peer.connection;
    const bool is_silent = connection.time_since_receive() > connection_silence_timeout &&
                           now - peer.received_at > gossip_silence_timeout;
    if (connection.up() && is_silent) {
      connection.reconnect();
    } else {
      connection.send(with_echo(gossip, peer));
    }
  }
}

/// Sends a full message to a newly connected peer, which may not know this controller yet.
void ControlPlane::send_full_gossip(Peer& peer) {
  peer.connection->send(with_echo(make_full_gossip(), peer));
}

void ControlPlane::on_gossip(const Gossip& gossip) {
  if (gossip.address == address_) return;
  Peer* const peer = peers_.record_gossip(gossip);
  if (peer == nullptr) return;
  knowledge_.on_gossip(gossip);
  for (const std::string& address : gossip.controllers) peers_.add(address);
  endpoint_list_election_.on_gossip(gossip);
  membership_election_.on_gossip(gossip);
  endpoint_list_.on_peer_position(*peer, {gossip.list_term, gossip.list_number});
  knowledge_.catch_up();
}

}  // namespace chutevane::control
