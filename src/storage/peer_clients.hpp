/// RPC clients that connect one storage node to its peers.
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

/// Owns one RPC client per peer address. A client is created at its first use and lives as long as this
/// object. The destructor drops calls in flight without running their callbacks.
class PeerClients {
 public:
  PeerClients(net::Scheduler& scheduler, net::TimerQueue& timers, std::string own_node)
      : scheduler_(scheduler), timers_(timers), own_node_(std::move(own_node)) {}

  /// Returns the client for `address`, the text form that the storage map contains. For an address that
  /// cannot be parsed, returns a client that never connects.
  common::RpcClient& client_for(const std::string& address) {
    std::unique_ptr<common::RpcClient>& client = clients_[address];
    if (!client) {
      const auto parsed = net::parse_address(address);
      // Gives each pair of nodes different jitter for its connection attempts.
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
