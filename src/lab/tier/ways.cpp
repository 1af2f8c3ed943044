#include "lab/tier/ways.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace chutevane::lab::tier {

Ways::Ways(net::Scheduler& scheduler, std::uint64_t seed, NameOfPeer name_of_peer)
    : scheduler_(scheduler), seed_(seed), name_of_peer_(std::move(name_of_peer)) {}

void Ways::add(const std::string& machine, const sockaddr_in& announced, const sockaddr_in& bound) {
  auto port = std::make_unique<Port>();
  port->machine = machine;
  port->bound = bound;
  port->listener =
      std::make_unique<net::Listener>(scheduler_, [this, at = port.get()](int fd) { accepted(*at, fd); });
  port->listener->listen(announced);
  ports_.push_back(std::move(port));
}

void Ways::accepted(Port& port, int fd) {
  sockaddr_in peer{}, own{};
  socklen_t peer_size = sizeof peer, own_size = sizeof own;
  const bool known = ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0 &&
                     ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &own_size) == 0;
  relay(port, known ? name_of_peer_(peer, own) : "").accepted(fd);
}

Relay& Ways::relay(Port& port, const std::string& opener) {
  auto& at = port.relays[opener];
  if (!at) {
    at = std::make_unique<Relay>(scheduler_, port.bound,
                                 seed_ + std::hash<std::string>()(opener + port.machine));
    settle(port, opener, *at);
  }
  return *at;
}

std::uint64_t Ways::begin(IllsOf ills) {
  troubles_[++last_trouble_] = std::move(ills);
  settle();
  return last_trouble_;
}

void Ways::end(std::uint64_t trouble) {
  troubles_.erase(trouble);
  settle();
}

Ways::Ills Ways::ills_of(const std::string& from, const std::string& to) const {
  Ills out;
  for (const auto& [number, trouble] : troubles_) {
    const Ills one = trouble(from, to);
    out.blocked = out.blocked || one.blocked;
    out.delay = std::max(out.delay, one.delay);
  }
  return out;
}

void Ways::settle(const Port& port, const std::string& opener, Relay& relay) const {
  const Ills there = ills_of(opener, port.machine), back = ills_of(port.machine, opener);
  WayIlls ills;
  ills.from_sidecar = there.blocked;  // the relay's words: the near end is who has opened the connection
  ills.to_sidecar = back.blocked;
  ills.delay = std::max(there.delay, back.delay);
  relay.suffer(ills, true);
}

void Ways::settle() {
  for (const auto& port : ports_) {
    for (const auto& [opener, relay] : port->relays) settle(*port, opener, *relay);
  }
}

void Ways::reset(const std::function<bool(const std::string&, const std::string&)>& which) {
  for (const auto& port : ports_) {
    for (const auto& [opener, relay] : port->relays) {
      if (which(opener, port->machine)) relay->cut();
    }
  }
}

}  // namespace chutevane::lab::tier
