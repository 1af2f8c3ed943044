/// Accepts clients' connections and owns them, within a bound on descriptors.
///
/// At the bound the connection that has been idle longest is evicted for each new one. Without one that may
/// be evicted, accepting pauses until one becomes idle or closes.
#pragma once

#include <netinet/in.h>

#include <optional>

#include "config/config.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"
#include "sidecar/call_protocol.hpp"
#include "sidecar/call_router.hpp"
#include "sidecar/downstream_connection.hpp"
#include "sidecar/parting.hpp"
#include "sidecar/request_ids.hpp"

namespace chutevane::sidecar {

class Listener {
 public:
  /// All references outlive it. `active_ids` and `buffer_budget` are shared by the listeners of a process;
  /// `config` gives this one's part of the descriptors.
  Listener(net::Scheduler& scheduler, const config::Config& config, const CallProtocol& protocol,
           CallRouter& router, Counters& counters, ActiveRequestIds& active_ids,
           net::BufferBudget& buffer_budget);
  /// Throws std::system_error.
  void listen(const sockaddr_in& address);
  /// Takes over a listening descriptor of another process.
  void listen_on(int fd);
  int descriptor() const { return socket_.descriptor(); }
  std::optional<sockaddr_in> address() const { return socket_.local(); }
  std::size_t size() const { return connections_.size(); }

  /// Whether new connections are left to the other process that listens on the same descriptor.
  void leave_new_connections(bool to_other);
  /// This process's part, 0 to 1, of the descriptors, while two processes serve side by side.
  void set_share(double share);
  /// Limits on slow requests and idle connections, from each connection's next wait on.
  void set_timeouts(Span request, Span idle) { request_timeout_ = request, idle_timeout_ = idle; }

  // Draining, step by step (DrainPhase in sidecar.hpp).

  /// From now on `GET /ready` answers 503; everything else is served as before.
  void start_draining() { is_draining_ = true; }
  /// Takes back all that a drain began: ready again, and connections are kept.
  void end_draining() { is_draining_ = closes_after_response_ = false; }
  /// Accepts what waits in the backlog, unless that is left to the other process, then stops listening.
  void stop_listening();
  /// From now on each response ends its connection.
  void close_after_responses() { closes_after_response_ = true; }
  /// Closes connections that have been idle for at least so long.
  void close_idle(Span min_idle);

 private:
  friend class DownstreamConnection;
  net::Task accept();
  void accept_pending();
  DownstreamConnection* longest_idle();
  void evict(DownstreamConnection& connection);
  static void close(DownstreamConnection& connection);
  // Called by connections.
  void on_connection_idle();
  void on_connection_closed(DownstreamConnection& connection);

  net::Scheduler& scheduler_;
  const CallProtocol& protocol_;
  CallRouter& router_;
  Counters& counters_;
  Span idle_timeout_, request_timeout_;
  const std::size_t full_connection_limit_;  // while no other process has a share
  std::size_t connection_limit_;
  bool leaves_new_ = false, is_draining_ = false, closes_after_response_ = false;
  bool is_paused_ = false;  // at the bound, with no connection to evict
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  ActiveRequestIds& active_ids_;
  net::BufferBudget& buffer_budget_;
  Parting parting_;
  net::TaskGroup<DownstreamConnection> connections_;
  net::Task task_;
};

}  // namespace chutevane::sidecar
