/// UpstreamPool: endpoint list and connection reuse.
#include "edge/upstream_pool.hpp"

#include "common/invariant.hpp"

namespace chutevane::edge {

UpstreamPool::UpstreamPool(net::Scheduler& scheduler, net::TimerQueue& timers, std::size_t max_connections)
    : scheduler_(scheduler), timers_(timers), max_connections_(max_connections), connections_(scheduler) {}

void UpstreamPool::update_endpoints(const std::vector<Endpoint>& list) {
  std::map<std::string, std::shared_ptr<Endpoint>> updated;
  for (const Endpoint& entry : list) {
    const auto known = endpoints_.find(entry.id);
    std::shared_ptr<Endpoint> endpoint =
        known != endpoints_.end() ? known->second : std::make_shared<Endpoint>(entry);
    // An id identifies one process, whose other attributes never change.
    endpoint->is_draining = entry.is_draining;
    updated[entry.id] = std::move(endpoint);
  }
  for (const auto& [id, endpoint] : endpoints_) {
    if (!updated.contains(id)) endpoint->is_removed = true;
    if (!endpoint->is_removed && !endpoint->is_draining) continue;
    while (!endpoint->idle_connections.empty()) endpoint->idle_connections.back()->close();
  }
  endpoints_ = std::move(updated);
}

std::shared_ptr<Endpoint> UpstreamPool::find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Endpoint>> UpstreamPool::endpoints_of(const std::string& service) const {
  std::vector<std::shared_ptr<Endpoint>> endpoints;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint->service == service && !endpoint->is_draining) endpoints.push_back(endpoint);
  }
  return endpoints;
}

UpstreamConnection* UpstreamPool::send(const std::shared_ptr<Endpoint>& endpoint, ResponseHandler& handler,
                                       UpstreamRequest request) {
  while (!endpoint->idle_connections.empty()) {
    UpstreamConnection& idle = *endpoint->idle_connections.back();
    endpoint->idle_connections.pop_back();
    if (!idle.is_reusable()) {
      idle.close();
      continue;
    }
    idle.send(handler, std::move(request));
    return idle.serves(handler) ? &idle : nullptr;
  }
  if (endpoint->is_draining || endpoint->is_removed || connections_.size() >= max_connections_) {
    handler.on_response_failed(UpstreamFailure::not_sent);
    return nullptr;
  }
  ++endpoint->connection_count;
  ++connections_opened_;
  UpstreamConnection& opened =
      connections_.add(std::make_unique<UpstreamConnection>(*this, scheduler_, timers_, endpoint));
  opened.send(handler, std::move(request));
  if (!opened.connect(endpoint->address)) return nullptr;
  return opened.serves(handler) ? &opened : nullptr;
}

void UpstreamPool::on_closed(UpstreamConnection& connection) {
  Endpoint& endpoint = connection.endpoint();
  std::erase(endpoint.idle_connections, &connection);
  --endpoint.connection_count;
  connections_.retire(connection);
}

void UpstreamPool::check_connection_counts() {
  std::map<const Endpoint*, std::size_t> open;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    if (!connections_[i].is_closed()) ++open[&connections_[i].endpoint()];
  }
  for (const auto& entry : endpoints_) {
    const Endpoint& endpoint = *entry.second;
    const auto found = open.find(&endpoint);
    const std::size_t open_count = found == open.end() ? 0 : found->second;
    common::check_invariant(
        common::Invariant::connections_equal_descriptors, endpoint.connection_count == open_count, [&] {
          return entry.first + ": connections counted " + std::to_string(endpoint.connection_count) +
                 ", open " + std::to_string(open_count);
        });
  }
}

}  // namespace chutevane::edge
