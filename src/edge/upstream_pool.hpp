/// The endpoints of the endpoint list and a pool of connections to them. The most recently used idle
/// connection is reused first, so that surplus connections time out.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/upstream_connection.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

/// A server of a service. Its connections keep the object alive after its removal from the list.
struct Endpoint {
  std::string id;
  std::string service;
  std::string zone;
  sockaddr_in address{};
  bool is_draining = false;                           ///< receives no new requests
  bool is_removed = false;                            ///< was removed from the list
  std::size_t capacity = 0;                           ///< number of requests that it runs concurrently
  std::size_t connection_count = 0;                   ///< open connections, including idle ones
  std::vector<UpstreamConnection*> idle_connections;  ///< most recently used last
};

/// Endpoints and upstream connections of one process. Not thread-safe. Must outlive all requests that it
/// sends.
class UpstreamPool {
 public:
  /// `max_connections` bounds the total number of connections to all endpoints.
  UpstreamPool(net::Scheduler& scheduler, net::TimerQueue& timers, std::size_t max_connections);

  /// Replaces the endpoint list. Draining and removed endpoints receive no further requests, not even those
  /// that are waiting for their connection.
  void update_endpoints(const std::vector<Endpoint>& list);
  /// Returns null if the endpoint is not on the list.
  std::shared_ptr<Endpoint> find(const std::string& id) const;
  /// Returns the endpoints of the service that are not draining, ordered by id.
  std::vector<std::shared_ptr<Endpoint>> endpoints_of(const std::string& service) const;
  std::size_t size() const { return endpoints_.size(); }

  /// Sends a request on an idle or a new connection. Returns null if the handler has already been called with
  /// a failure or a complete response.
  [[nodiscard]] UpstreamConnection* send(const std::shared_ptr<Endpoint>& endpoint, ResponseHandler& handler,
                                         UpstreamRequest request);

  std::size_t connections_opened() const { return connections_opened_; }  ///< total since the start
  std::size_t open_connections() const { return connections_.size(); }
  /// Checks the invariant that the connection count of each endpoint equals its number of open connections.
  void check_connection_counts();

  /// Called by a connection that has closed. It is destroyed in a later iteration of the event loop.
  void on_closed(UpstreamConnection& connection);

 private:
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::size_t max_connections_;
  std::map<std::string, std::shared_ptr<Endpoint>> endpoints_;  // by endpoint id
  std::size_t connections_opened_ = 0;
  net::TaskGroup<UpstreamConnection> connections_;
};

}  // namespace chutevane::edge
