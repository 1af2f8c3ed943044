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

class Ways {
 public:
  // The machine whose process holds the far end of a connection, by that end and the own one; empty: not
  // known.
  using NameOfPeer = std::function<std::string(const sockaddr_in& end, const sockaddr_in& own_end)>;

  Ways(net::Scheduler& scheduler, std::uint64_t seed, NameOfPeer name_of_peer);
  // What comes to `announced` goes on to `bound`, where the machine's process listens.
  void add(const std::string& machine, const sockaddr_in& announced, const sockaddr_in& bound);

  // What a trouble does to the way from one machine to another.
  struct Ills {
    bool blocked = false;
    Span delay;
  };
  using IllsOf = std::function<Ills(const std::string& from, const std::string& to)>;
  // In force until ended, beside others. The number is for end().
  std::uint64_t begin(IllsOf ills);
  void end(std::uint64_t trouble);
  // Resets the connections between machines of which this is so.
  void reset(const std::function<bool(const std::string& opener, const std::string& listener)>& which);

 private:
  struct Port {
    std::string machine;
    sockaddr_in bound{};
    std::unique_ptr<net::Listener> listener;
    std::map<std::string, std::unique_ptr<Relay>> relays;  // by the machine that opens the connection
  };
  void accepted(Port& port, int fd);
  Relay& relay(Port& port, const std::string& opener);
  void settle();
  void settle(const Port& port, const std::string& opener, Relay& relay) const;
  Ills ills_of(const std::string& from, const std::string& to) const;

  net::Scheduler& scheduler_;
  const std::uint64_t seed_;
  NameOfPeer name_of_peer_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::map<std::uint64_t, IllsOf> troubles_;
  std::uint64_t last_trouble_ = 0;
};

}  // namespace chutevane::lab::tier
