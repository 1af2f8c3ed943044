// The stand-in endpoints of a run, and the list that names them: they drain, are replaced, or end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/tier/endpoint.hpp"
#include "lab/tier/platform.hpp"

namespace chutevane::lab::tier {

class EndpointSet {
 public:
  // Where the endpoint of that number, from 1 on, listens.
  using AddressOf = std::function<sockaddr_in(std::size_t number)>;
  EndpointSet(net::Scheduler& scheduler, net::TimerQueue& timers, AddressOf address_of, Auditor& auditor,
              ListStandIn& list, std::uint64_t seed, double spoilt_part);
  // Of `words` where it streams, else of `tools`.
  void add(const std::string& id, bool streams);
  std::size_t size() const { return endpoints_.size(); }
  const std::vector<std::unique_ptr<EndpointStandIn>>& all() const { return endpoints_; }
  // The place of one that serves and may go: another of its service serves too. `luck` picks.
  EndpointStandIn* one_that_may_go(std::size_t luck) const;
  EndpointStandIn* find(const std::string& id) const;

  // It leaves in good order, and another comes; the new one's id.
  std::string drain(EndpointStandIn& old);
  // Another process at its address, at once: the list has the old id for a while.
  std::string replace(EndpointStandIn& old);
  // It ends without a word, and stays on the list for a while; another comes.
  std::string lose(EndpointStandIn& old);

 private:
  EndpointStandIn& add(const EndpointSpec& spec);
  std::string next_id(const EndpointStandIn& old);
  bool serves(const EndpointStandIn& endpoint) const { return !endpoint.draining() && !endpoint.ended(); }

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const AddressOf address_of_;
  Auditor& auditor_;
  ListStandIn& list_;
  const std::uint64_t seed_;
  const double spoilt_part_;
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints_;
  std::size_t words_ = 0, tools_ = 0, addresses_used_ = 0;
};

}  // namespace chutevane::lab::tier
