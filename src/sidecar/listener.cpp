#include "sidecar/listener.hpp"

#include <memory>
#include <utility>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

using net::Waker;

constexpr double downstream_share = 0.5;  // of the process's descriptors
constexpr Span accept_retry_interval = Span::ms(50);
constexpr Waker::Bits has_room = Waker::own, retry_due = Waker::own << 1U;

}  // namespace

Listener::Listener(net::Scheduler& scheduler, const config::Config& config, const CallProtocol& protocol,
                   CallRouter& router, Counters& counters, ActiveRequestIds& active_ids,
                   net::BufferBudget& buffer_budget)
    : scheduler_(scheduler),
      protocol_(protocol),
      router_(router),
      counters_(counters),
      idle_timeout_(config.idle_timeout),
      request_timeout_(config.request_timeout),
      full_connection_limit_(
          static_cast<std::size_t>(static_cast<double>(config.max_descriptors) * downstream_share)),
      connection_limit_(full_connection_limit_),
      waker_(scheduler),
      timer_(scheduler, waker_, retry_due),
      socket_(scheduler, waker_),
      active_ids_(active_ids),
      buffer_budget_(buffer_budget),
      parting_(config.rebalance_per_s),
      connections_(scheduler),
      task_(accept()) {}

void Listener::listen(const sockaddr_in& address) {
  socket_.listen(address);
  task_.start();
}

void Listener::listen_on(int fd) {
  socket_.adopt(fd);
  task_.start();
}

void Listener::leave_new_connections(bool to_other) {
  if (std::exchange(leaves_new_, to_other) && !to_other) waker_.set(has_room);
}

void Listener::set_share(double share) {
  connection_limit_ = static_cast<std::size_t>(static_cast<double>(full_connection_limit_) * share);
}

net::Task Listener::accept() {
  while (socket_.open()) {
    accept_pending();
    co_await waker_.wait(Waker::readable | has_room | retry_due);
  }
}

void Listener::accept_pending() {
  bool exhausted = false;
  while (socket_.open() && !leaves_new_) {
    const bool is_full = connections_.size() >= connection_limit_;
    DownstreamConnection* const idle = is_full ? longest_idle() : nullptr;
    is_paused_ = is_full && idle == nullptr;
    if (is_paused_) {
      timer_.set(scheduler_.now() + accept_retry_interval);
      return;
    }
    const int fd = socket_.accept(exhausted);
    if (fd < 0) break;
    ++counters_.downstream_accepted;
    if (idle != nullptr) evict(*idle);
    DownstreamConnection& connection =
        connections_.add(std::make_unique<DownstreamConnection>(scheduler_, *this, fd));
    connection.task_.start();
  }
  if (!exhausted) return;
  log_line("no descriptors left: closing an idle connection");
  if (DownstreamConnection* const idle = longest_idle()) evict(*idle);
  timer_.set(scheduler_.now() + accept_retry_interval);
}

DownstreamConnection* Listener::longest_idle() {
  DownstreamConnection* oldest = nullptr;
  TimePoint oldest_since;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    const std::optional<TimePoint> since = connections_[i].evictable_since();
    if (!since || (oldest != nullptr && *since >= oldest_since) || !connections_[i].socket_.quiet()) continue;
    oldest = &connections_[i];
    oldest_since = *since;
  }
  return oldest;
}

void Listener::evict(DownstreamConnection& connection) {
  ++counters_.downstream_evicted;
  close(connection);
}

/// The connection's coroutine finds out in its next turn.
void Listener::close(DownstreamConnection& connection) {
  connection.socket_.close();
  connection.waker_.set(DownstreamConnection::closed);
}

void Listener::on_connection_idle() {
  if (is_paused_) waker_.set(has_room);
}

void Listener::on_connection_closed(DownstreamConnection& connection) {
  connections_.retire(connection);
  if (is_paused_) waker_.set(has_room);
}

void Listener::stop_listening() {
  accept_pending();
  socket_.close();
}

void Listener::close_idle(Span min_idle) {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    DownstreamConnection& connection = connections_[i];
    if (!connection.is_idle() || scheduler_.now() - connection.idle_since_ < min_idle ||
        !connection.socket_.quiet())
      continue;
    close(connection);
  }
}

}  // namespace chutevane::sidecar
