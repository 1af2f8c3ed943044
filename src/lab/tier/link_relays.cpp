#include "lab/tier/link_relays.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace chutevane::lab::tier {

LinkRelays::LinkRelays(net::Scheduler& scheduler, std::uint64_t seed, NameOfPeer name_of_peer)
    : scheduler_(scheduler), seed_(seed), name_of_peer_(std::move(name_of_peer)) {}

void LinkRelays::add(const std::string& machine, const sockaddr_in& announced, const sockaddr_in& bound) {
  auto port = std::make_unique<HttpPort>();
  port->machine = machine;
  port->bound = bound;
  port->listener =
      std::make_unique<net::Listener>(scheduler_, [this, at = port.get()](int fd) { accepted(*at, fd); });
  port->listener->listen(announced);
  ports_.push_back(std::move(port));
}

void LinkRelays::accepted(HttpPort& port, int fd) {
  sockaddr_in peer{}, own{};
  socklen_t peer_size = sizeof peer, own_size = sizeof own;
  const bool known = ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0 &&
                     ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &own_size) == 0;
  relay(port, known ? name_of_peer_(peer, own) : "").accepted(fd);
}

Relay& LinkRelays::relay(HttpPort& port, const std::string& opener) {
  auto& at = port.relays[opener];
  if (!at) {
    at = std::make_unique<Relay>(scheduler_, port.bound,
                                 seed_ + std::hash<std::string>()(opener + port.machine));
    settle(port, opener, *at);
  }
  return *at;
}

std::uint64_t LinkRelays::begin(LinkFaultOf fault_of) {
  fault_player_[++last_trouble_] = std::move(fault_of);
  settle();
  return last_trouble_;
}

void LinkRelays::end(std::uint64_t trouble) {
  fault_player_.erase(trouble);
  settle();
}

LinkRelays::LinkFault LinkRelays::ills_of(const std::string& from, const std::string& to) const {
  LinkFault out;
  for (const auto& [number, trouble] : fault_player_) {
    const LinkFault one = trouble(from, to);
    out.blocked = out.blocked || one.blocked;
    out.delay = std::max(out.delay, one.delay);
  }
  return out;
}

void LinkRelays::settle(const HttpPort& port, const std::string& opener, Relay& relay) const {
  const LinkFault there = ills_of(opener, port.machine), back = ills_of(port.machine, opener);
  WayIlls fault_of;
  fault_of.from_sidecar = there.blocked;  // the relay's words: the near end is who has opened the connection
  fault_of.to_sidecar = back.blocked;
  fault_of.delay = std::max(there.delay, back.delay);
  relay.suffer(fault_of, true);
}

void LinkRelays::settle() {
  for (const auto& port : ports_) {
    for (const auto& [opener, relay] : port->relays) settle(*port, opener, *relay);
  }
}

void LinkRelays::reset(const std::function<bool(const std::string&, const std::string&)>& which) {
  for (const auto& port : ports_) {
    for (const auto& [opener, relay] : port->relays) {
      if (which(opener, port->machine)) relay->cut();
    }
  }
}

}  // namespace chutevane::lab::tier
