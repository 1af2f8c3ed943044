/// The administration port: a second address, on which operators call a sidecar with HTTP/1.1 requests, apart
/// from the port that its clients use.
///
///     GET /control/ready            200 while clients are accepted, 503 otherwise
///     GET /control/counters         JSON
///     GET /control/coming-back      JSON: progress to full service after the start
///     PUT /control/out-of-service   drains the process without ending it; 503 while it shuts down
///     PUT /control/in-service       undoes that; 503 while it shuts down
#pragma once

#include <netinet/in.h>

#include <optional>

#include "admin/admin_connection.hpp"
#include "admin/admin_handler.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"

namespace chutevane::admin {

/// Runs on the scheduler's thread. One request a connection.
class AdminServer {
 public:
  /// At most `max_connections` at once, so that operators' tools cannot use up the process's descriptors:
  /// with one more, the oldest whose request has been answered is closed, else the oldest.
  AdminServer(net::Scheduler& scheduler, AdminHandler& handler, std::size_t max_connections);
  /// Throws std::system_error.
  void listen(const sockaddr_in& address);
  [[nodiscard]] std::optional<sockaddr_in> address() const { return socket_.local(); }
  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

 private:
  friend class AdminConnection;
  net::Task accept();
  void evict_oldest();

  net::Scheduler& scheduler_;
  AdminHandler& handler_;
  const std::size_t max_connections_;
  net::Waker waker_;
  net::Timer retry_timer_;
  net::Socket socket_;
  net::TaskGroup<AdminConnection> connections_;
  net::Task task_;
};

}  // namespace chutevane::admin
