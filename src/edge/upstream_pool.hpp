/// The endpoints of the list and the connections to them. The most recently used idle connection is used
/// first, so that surplus ones time out.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/upstream_connection.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

/// A server of a service. Kept alive by its connections after it has gone from the list.
struct Endpoint {
  std::string id;
  std::string service;
  std::string zone;
  sockaddr_in address{};
  bool is_draining = false;                           ///< gets no new requests
  bool is_removed = false;                            ///< it has gone from the list
  std::size_t capacity = 0;                           ///< requests that it runs at once
  std::size_t connection_count = 0;                   ///< open ones, idle ones included
  std::vector<UpstreamConnection*> idle_connections;  ///< the most recently used last
};

/// Endpoints and connections of one process. Not thread-safe. Must outlive all requests that it sends.
class UpstreamPool {
 public:
  /// `max_connections`: over all endpoints.
  UpstreamPool(net::Scheduler& scheduler, net::TimerQueue& timers, std::size_t max_connections);

  /// Replaces the list. What is draining or gone gets nothing from now on, not even requests that wait for
  /// their connection.
  void update_endpoints(const std::vector<Endpoint>& list);
  /// Null: it is not on the list.
  std::shared_ptr<Endpoint> find(const std::string& id) const;
  /// Those that are not draining, by id.
  std::vector<std::shared_ptr<Endpoint>> endpoints_of(const std::string& service) const;
  std::size_t size() const { return endpoints_.size(); }

  /// Sends a request on an idle or a new connection. Null: the handler has been called already, with a
  /// failure or a response.
  [[nodiscard]] UpstreamConnection* send(const std::shared_ptr<Endpoint>& endpoint, ResponseHandler& handler,
                                         UpstreamRequest request);

  std::size_t connections_opened() const { return connections_opened_; }  ///< since the start
  std::size_t open_connections() const { return connections_.size(); }
  /// Checks the invariant that the connections counted at each endpoint are those that are open.
  void check_connection_counts();

  /// Called by a connection that has closed; it is destroyed in a later turn of the loop.
  void on_closed(UpstreamConnection& connection);

 private:
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::size_t max_connections_;
  std::map<std::string, std::shared_ptr<Endpoint>> endpoints_;  // by id
  std::size_t connections_opened_ = 0;
  net::TaskGroup<UpstreamConnection> connections_;
};

}  // namespace chutevane::edge
