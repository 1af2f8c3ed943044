/// Connections from one storage node to its peers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "common/rpc.hpp"
#include "net/scheduler.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::storage {

/// One client for each address, created at the first use and kept for the life of the process. Destroyed, it
/// drops calls in flight without an answer.
class PeerClients {
 public:
  PeerClients(net::Scheduler& scheduler, net::TimerQueue& timers, std::string own_node)
      : scheduler_(scheduler), timers_(timers), own_node_(std::move(own_node)) {}

  /// `address`: as text, from the storage map. One that cannot be parsed yields a client that never connects.
  common::RpcClient& at(const std::string& address) {
    std::unique_ptr<common::RpcClient>& client = clients_[address];
    if (!client) {
      const auto parsed = net::parse_address(address);
      // Each pair of nodes spreads its attempts to connect differently.
      const std::size_t seed = std::hash<std::string>()(address + own_node_);
      client = std::make_unique<common::RpcClient>(scheduler_, timers_, parsed.value_or(sockaddr_in{}), seed);
    }
    return *client;
  }

 private:
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::string own_node_;
  std::map<std::string, std::unique_ptr<common::RpcClient>> clients_;  // by address
};

}  // namespace chutevane::storage
