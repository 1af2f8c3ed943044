/// StorageClient: storage map, connections and replica groups.
#include "edge/storage_client.hpp"

#include <algorithm>

#include "storage/placement.hpp"

namespace chutevane::edge {

StorageClient::StorageClient(net::Scheduler& scheduler, net::TimerQueue& timers, std::string zone,
                             std::size_t tolerated_losses, std::size_t cache_bytes, std::uint64_t seed)
    : scheduler_(scheduler),
      timers_(timers),
      zone_(std::move(zone)),
      tolerated_losses_(tolerated_losses),
      seed_(seed),
      cache_(cache_bytes) {}

void StorageClient::on_storage_map(std::int64_t map_version,
                                   const std::vector<common::StorageNode>& storage_nodes) {
  if (map_version <= map_version_) return;
  map_version_ = map_version;
  storage_nodes_ = storage_nodes;
  // Connects now, so that the first operation does not wait for the connection.
  for (const common::StorageNode& storage_node : storage_nodes_) connection_to(storage_node.address);
}

bool StorageClient::can_replicate() const {
  const auto staying = std::count_if(storage_nodes_.begin(), storage_nodes_.end(),
                                     [](const common::StorageNode& node) { return !node.draining; });
  return static_cast<std::size_t>(staying) > tolerated_losses_;
}

common::RpcClient& StorageClient::connection_to(const std::string& address) {
  auto& connection = connections_[address];
  if (!connection) {
    const auto socket_address = net::parse_address(address);
    connection =
        std::make_unique<common::RpcClient>(scheduler_, timers_, socket_address.value_or(sockaddr_in{}),
                                            seed_ ^ std::hash<std::string>()(address));
    connection->on_up([this, address, connection = connection.get()] {
      for (const common::CommitUsage& message : usage_outboxes_[address].recent(timers_.now()))
        connection->send(message);
    });
  }
  return *connection;
}

void StorageClient::send_usage(std::size_t index, const common::CommitUsage& message) {
  node(index).send(message);
  usage_outboxes_[storage_nodes_[index].address].add(message, timers_.now());
}

std::vector<std::size_t> StorageClient::replica_group(const std::string& program) const {
  return storage::replica_group(program, storage_nodes_, tolerated_losses_);
}

void StorageClient::move_own_zone_first(std::vector<std::size_t>& nodes) const {
  std::stable_partition(nodes.begin(), nodes.end(),
                        [&](std::size_t index) { return storage_nodes_[index].zone == zone_; });
}

std::size_t StorageClient::required_replicas(std::size_t group_size) const {
  return std::max(storage::quorum_size(group_size), tolerated_losses_ + 1);
}

}  // namespace chutevane::edge
