// The ways between the tier's machines: relays in front of the ports where processes hear their peers. Each
// ordered pair of machines can be cut, one way or both, delayed, or have its connections reset.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/relay.hpp"
#include "net/channel.hpp"

namespace chutevane::lab::tier {

class LinkRelays {
 public:
  // The machine whose process holds the far end of a connection, by that end and the own one; empty: not
  // known.
  using NameOfPeer = std::function<std::string(const sockaddr_in& end, const sockaddr_in& own_end)>;

  LinkRelays(net::Scheduler& scheduler, std::uint64_t seed, NameOfPeer name_of_peer);
  // What comes to `announced` goes on to `bound`, where the machine's process listens.
  void add(const std::string& machine, const sockaddr_in& announced, const sockaddr_in& bound);

  // What a trouble does to the way from one machine to another.
  struct LinkFault {
    bool blocked = false;
    Span delay;
  };
  using LinkFaultOf = std::function<LinkFault(const std::string& from, const std::string& to)>;
  // In force until ended, beside others. The number is for end().
  std::uint64_t begin(LinkFaultOf fault_of);
  void end(std::uint64_t trouble);
  // Resets the connections between machines of which this is so.
  void reset(const std::function<bool(const std::string& opener, const std::string& listener)>& which);

 private:
  struct HttpPort {
    std::string machine;
    sockaddr_in bound{};
    std::unique_ptr<net::Listener> listener;
    std::map<std::string, std::unique_ptr<Relay>> relays;  // by the machine that opens the connection
  };
  void accepted(HttpPort& port, int fd);
  Relay& relay(HttpPort& port, const std::string& opener);
  void settle();
  void settle(const HttpPort& port, const std::string& opener, Relay& relay) const;
  LinkFault ills_of(const std::string& from, const std::string& to) const;

  net::Scheduler& scheduler_;
  const std::uint64_t seed_;
  NameOfPeer name_of_peer_;
  std::vector<std::unique_ptr<HttpPort>> ports_;
  std::map<std::uint64_t, LinkFaultOf> fault_player_;
  std::uint64_t last_trouble_ = 0;
};

}  // namespace chutevane::lab::tier
