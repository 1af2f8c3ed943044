/// Decides which of a port's connections are ended when memory or descriptors run short.
///
/// Memory is counted in the budget of the process (net::BufferBudget), in which all channels count their
/// buffers. When it is full, the connections whose clients keep this process waiting are ended, one after the
/// other, until there is room again: first those that wait for their client to close, then those that have
/// made no progress for the longest time. Progress is counted in units of progress_unit bytes of a request
/// that were received, or of a response that were sent, so that single bytes now and then do not keep a
/// connection. Requests that are being served are not ended, since they may have run.
///
/// The number of connections is limited too. A new one takes the place of the one that has been idle for the
/// longest time, or else of one that keeps this process waiting. Without either it is refused.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "net/scheduler.hpp"

namespace chutevane::common {

/// Why a connection is ended before its time.
enum class ShedCause : std::uint8_t {
  memory,       ///< the budget is full
  connections,  ///< the port has as many connections as it may
};

class ConnectionLimiter {
 public:
  /// What a connection waits for.
  enum class Phase : std::uint8_t {
    idle,       ///< for the first byte of a request
    receiving,  ///< for the rest of a request
    serving,    ///< for the response: it is not ended
    sending,    ///< for the client to read a response
    closing,    ///< for the client to close, after the last response
  };

  /// A connection of the port. It must call remove() before it is destroyed.
  class Connection {
   public:
    /// Ends the connection, or answers it, so that it holds next to nothing. `connections`: its descriptor
    /// must be closed on return.
    virtual void on_shed(ShedCause cause) = 0;
    /// Bytes of its buffers.
    virtual std::size_t held_bytes() const = 0;
    /// True if bytes have arrived that were not read yet: it is not idle, and this process is late.
    virtual bool has_unread_bytes() const = 0;

   protected:
    ~Connection() = default;

   private:
    friend class ConnectionLimiter;
    Phase limiter_phase_ = Phase::serving;
    std::size_t unit_progress_ = 0;  // bytes since the last whole unit
    std::list<Connection*>::iterator limiter_position_;
  };

  /// `port` names it in logs and metrics. `scheduler`, whose budget it keeps, must outlive this object.
  ConnectionLimiter(std::string port, net::Scheduler& scheduler, std::size_t max_connections)
      : port_(std::move(port)),
        scheduler_(scheduler),
        budget_(scheduler.buffer_budget()),
        max_connections_(max_connections) {}

  /// Makes room for one more connection. Returns false if it must be refused.
  [[nodiscard]] bool admit();
  /// Adds an idle connection.
  void add(Connection& connection);
  void remove(Connection& connection);
  void set_phase(Connection& connection, Phase phase);
  /// Counts bytes received of a request, or sent of a response. Returns true if they complete a unit.
  bool on_progress(Connection& connection, std::size_t bytes);
  /// Ends connections while the budget is full, but not `growing`, whose caller goes on using it. Returns
  /// false if the budget is full nevertheless.
  bool make_room(const Connection* growing);
  /// Returns true if a connection holds so little that ending it would not help.
  static bool is_small(const Connection& connection) { return connection.held_bytes() <= small_bytes; }

  std::size_t size() const { return size_; }
  std::uint64_t shed_count(ShedCause cause) const { return shed_[static_cast<std::size_t>(cause)]; }
  std::uint64_t refused_count() const { return refused_; }
  const std::string& port() const { return port_; }

  static constexpr std::size_t progress_unit = 16 * 1024;  ///< bytes

 private:
  static constexpr std::size_t small_bytes = 4 * 1024;  // one read of a common message
  static constexpr int max_log_lines_per_second = 2;
  std::list<Connection*>& list_of(Phase phase);
  Connection* memory_victim(const Connection* growing);
  Connection* connection_victim();
  void shed(Connection& victim, ShedCause cause);

  const std::string port_;
  net::Scheduler& scheduler_;
  net::BufferBudget& budget_;
  const std::size_t max_connections_;
  std::size_t size_ = 0;
  // Each in the order of the last progress, the oldest first.
  std::list<Connection*> idle_, waiting_, serving_, closing_;
  std::array<std::uint64_t, 2> shed_{};  // by cause
  std::uint64_t refused_ = 0;
  RateLimitedLog log_{"connections.shed", max_log_lines_per_second};
};

/// Returns the number of connections of a port that gets a fraction of the process's descriptors, at least 1;
/// 0 descriptors are no limit.
std::size_t connections_of(std::size_t descriptors, double fraction);
/// Returns the name of a cause, a value of the label `cause`.
std::string_view name_of(ShedCause cause);
/// Writes the metrics of these ports, which are all ports of the process.
void write_connection_metrics(MetricsWriter& out, const std::vector<const ConnectionLimiter*>& ports);

}  // namespace chutevane::common
