/// The endpoints of one pool and the connections to them.
///
/// Each connection carries one dispatch at a time; of an endpoint's idle connections the one used last is
/// used next, so that the others can age out. An endpoint that drains or is gone gets nothing new: its idle
/// connections are closed and what has not begun to be written is taken back.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "discovery/endpoint_list.hpp"
#include "net/task_group.hpp"
#include "sidecar/call_protocol.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/dispatch.hpp"
#include "sidecar/upstream_connection.hpp"

namespace chutevane::sidecar {

/// Descriptors for connections to endpoints, over all pools of a process.
struct ConnectionBudget {
  std::size_t limit = 0, used = 0;
  std::size_t full_limit = 0;  // while no other process has a share
  std::vector<UpstreamPool*> pools;
};

class UpstreamPool {
 public:
  /// `connection_budget`, `buffer_budget`: shared with other pools, and outlive this one; null: the pool has
  /// its own.
  UpstreamPool(net::Scheduler& scheduler, const config::Config& config, const CallProtocol& protocol,
               Counters& counters, ConnectionBudget* connection_budget = nullptr,
               net::BufferBudget* buffer_budget = nullptr);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;
  /// Set once before the first send(); outlives the pool's connections.
  void set_observer(DispatchObserver& observer) { observer_ = &observer; }

  /// Takes over one entry of discovery's list. Returns the id under which the balancer knows the endpoint, or
  /// 0 for one that is gone and was not known. An endpoint is forgotten once it is gone and its last
  /// connection is closed; if it is listed again then, it gets another id.
  EndpointId update(const discovery::EndpointEntry& entry);
  /// A full list has come: all endpoints but these are gone.
  void remove_unlisted(std::vector<EndpointId> listed);
  /// Endpoints that the list calls gone, kept until remove(): only where `rules.drain_binds_alone` says that
  /// a disappearance from the list is no proof.
  const std::vector<EndpointId>& pending_removals() const { return pending_removals_; }
  void remove(EndpointId id);
  /// The next dispatch there opens a new connection.
  void close_idle(EndpointId id);

  std::string discovery_id_of(EndpointId id) const;         // empty: not known
  EndpointId id_of(const std::string& discovery_id) const;  // 0: not known
  std::size_t size() const { return endpoints_.size(); }    // known endpoints, listed or not
  std::size_t listed_count() const;
  std::size_t ready_count() const;  // that take calls, by the list
  /// This process's part, 0 to 1, of the descriptors, while two processes serve side by side.
  void set_share(double share);

  /// Sends `request` to the dispatch's endpoint. The observer is told how it ends, perhaps before this
  /// returns: then, or where there is no connection to be had, the result is null. `body`: of a streamed
  /// request.
  UpstreamConnection* send(const Dispatch& dispatch, const http::Parser& request,
                           const std::shared_ptr<BodyPipe>& body = {});
  /// Takes a dispatch back if its first byte has not been written.
  void cancel_unsent(UpstreamConnection& connection);
  /// Ends a dispatch whatever its state, and its connection with it.
  void cancel(UpstreamConnection& connection);

 private:
  friend class UpstreamConnection;
  void stop_new_dispatches(UpstreamEndpoint& endpoint);
  void forget_if_unused(UpstreamEndpoint& endpoint);
  bool reserve_descriptor();
  UpstreamConnection* longest_idle();
  void drop(UpstreamConnection& connection, Outcome outcome);
  UpstreamConnection* take_idle(UpstreamEndpoint& endpoint);
  // Called by connections.
  bool park(UpstreamConnection& connection);
  void unpark(UpstreamConnection& connection);
  void on_connection_closed(UpstreamConnection& connection);

  net::Scheduler& scheduler_;
  const CallProtocol& protocol_;
  Counters& counters_;
  DispatchObserver* observer_ = nullptr;
  const Span connect_timeout_, idle_timeout_;
  net::BufferBudget own_buffer_budget_;
  net::BufferBudget& buffer_budget_;
  ConnectionBudget own_connection_budget_;
  ConnectionBudget& connection_budget_;
  bool removal_is_final_ = true;  // what the list calls gone is gone
  std::vector<EndpointId> pending_removals_;
  EndpointId last_id_ = 0;
  std::unordered_map<EndpointId, UpstreamEndpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;  // by discovery's ids
  net::TaskGroup<UpstreamConnection> connections_;
};

}  // namespace chutevane::sidecar
