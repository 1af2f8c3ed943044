#include "admin/admin_server.hpp"

#include <memory>
#include <utility>

namespace chutevane::admin {
namespace {

using net::Waker;

constexpr Span accept_retry_interval = Span::ms(50);  // where no descriptor was left
constexpr Waker::Bits retry = Waker::own;

}  // namespace

AdminServer::AdminServer(net::Scheduler& scheduler, AdminHandler& handler, std::size_t max_connections)
    : scheduler_(scheduler),
      handler_(handler),
      max_connections_(max_connections),
      waker_(scheduler),
      retry_timer_(scheduler, waker_, retry),
      socket_(scheduler, waker_),
      connections_(scheduler),
      task_(accept()) {}

void AdminServer::listen(const sockaddr_in& address) {
  socket_.listen(address);
  task_.start();
}

// Without this, connections that are held open without a complete request would keep operators out. One whose
// response is under way goes first: its request has had its effect.
void AdminServer::evict_oldest() {
  AdminConnection* oldest = nullptr;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    AdminConnection& candidate = connections_[i];
    if (!candidate.socket_.open()) continue;
    if (oldest == nullptr || std::pair(!candidate.has_request_, candidate.opened_at_) <
                                 std::pair(!oldest->has_request_, oldest->opened_at_))
      oldest = &candidate;
  }
  if (oldest == nullptr) return;
  oldest->socket_.close();
  oldest->waker_.set(AdminConnection::evicted);
}

net::Task AdminServer::accept() {
  while (true) {
    bool exhausted = false;
    while (true) {
      const int descriptor = socket_.accept(exhausted);
      if (descriptor < 0) break;
      if (connections_.size() >= max_connections_) evict_oldest();
      connections_.add(std::make_unique<AdminConnection>(scheduler_, *this, descriptor)).task_.start();
    }
    if (exhausted) {
      evict_oldest();
      retry_timer_.set(scheduler_.now() + accept_retry_interval);
    }
    co_await waker_.wait(Waker::readable | retry);
  }
}

}  // namespace chutevane::admin
