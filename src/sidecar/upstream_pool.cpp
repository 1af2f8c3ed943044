#include "sidecar/upstream_pool.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "net/socket.hpp"

namespace chutevane::sidecar {
namespace {

// Of the time after which endpoints close an idle connection: well before, so that no request crosses with
// that.
constexpr double idle_timeout_fraction = 0.7;
constexpr double upstream_share = 0.4;  // of the process's descriptors

}  // namespace

UpstreamPool::UpstreamPool(net::Scheduler& scheduler, const config::Config& config,
                           const CallProtocol& protocol, Counters& counters,
                           ConnectionBudget* connection_budget, net::BufferBudget* buffer_budget)
    : scheduler_(scheduler),
      protocol_(protocol),
      counters_(counters),
      connect_timeout_(config.connect_timeout),
      idle_timeout_(config.endpoint_idle_close * idle_timeout_fraction),
      buffer_budget_(buffer_budget != nullptr ? *buffer_budget : own_buffer_budget_),
      connection_budget_(connection_budget != nullptr ? *connection_budget : own_connection_budget_),
      connections_(scheduler) {
  const auto drain_binds_alone = config.settings.find("rules.drain_binds_alone");
  removal_is_final_ = drain_binds_alone == config.settings.end() || drain_binds_alone->second != "true";
  connection_budget_.limit = connection_budget_.full_limit =
      static_cast<std::size_t>(static_cast<double>(config.max_descriptors) * upstream_share);
  connection_budget_.pools.push_back(this);
}

UpstreamPool::~UpstreamPool() { std::erase(connection_budget_.pools, this); }

std::size_t UpstreamPool::ready_count() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
    return one.second.availability == Availability::ready;
  }));
}

std::size_t UpstreamPool::listed_count() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
    return one.second.availability != Availability::gone;
  }));
}

void UpstreamPool::set_share(double share) {
  connection_budget_.limit =
      static_cast<std::size_t>(static_cast<double>(connection_budget_.full_limit) * share);
}

// --- The list

EndpointId UpstreamPool::update(const discovery::EndpointEntry& entry) {
  const auto known = ids_.find(entry.id);
  if (known == ids_.end() && entry.availability == Availability::gone) return 0;
  const EndpointId id = known == ids_.end() ? ++last_id_ : known->second;
  UpstreamEndpoint& endpoint = endpoints_[id];
  if (known == ids_.end()) {
    ids_.emplace(entry.id, id);
    endpoint.id = id;
    endpoint.discovery_id = entry.id;
    log_line("endpoint %012lx is %s at %s", id, entry.id.c_str(), entry.address.c_str());
  }
  if (!entry.address.empty() && entry.address != endpoint.address_text) {
    stop_new_dispatches(endpoint);  // on connections to the former address
    ++endpoint.address_changes;
    endpoint.address_text = entry.address;
    endpoint.address = *net::parse_address(entry.address);
  }
  std::erase(pending_removals_, id);
  if (entry.availability == Availability::gone && endpoint.availability == Availability::ready &&
      !removal_is_final_) {
    pending_removals_.push_back(id);
    return id;
  }
  endpoint.availability = entry.availability;
  if (endpoint.availability != Availability::ready) stop_new_dispatches(endpoint);
  forget_if_unused(endpoint);
  return id;
}

void UpstreamPool::remove_unlisted(std::vector<EndpointId> listed) {
  std::sort(listed.begin(), listed.end());
  std::vector<EndpointId> unlisted;
  for (auto& [id, endpoint] : endpoints_) {
    if (std::binary_search(listed.begin(), listed.end(), id)) continue;
    const bool is_kept = !removal_is_final_ && endpoint.availability == Availability::ready;
    if (is_kept) std::erase(pending_removals_, id);
    (is_kept ? pending_removals_ : unlisted).push_back(id);
  }
  for (const EndpointId id : unlisted) remove(id);
}

void UpstreamPool::remove(EndpointId id) {
  std::erase(pending_removals_, id);
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  found->second.availability = Availability::gone;
  stop_new_dispatches(found->second);
  forget_if_unused(found->second);
}

/// Bounds the memory of a long run, in which endpoints come and go under ever new ids.
void UpstreamPool::forget_if_unused(UpstreamEndpoint& endpoint) {
  if (endpoint.availability != Availability::gone || endpoint.connections > 0) return;
  ids_.erase(endpoint.discovery_id);
  endpoints_.erase(endpoint.id);
}

/// Also what waits for its connect, or for room to write its first byte, must not reach an endpoint that
/// takes nothing new.
void UpstreamPool::stop_new_dispatches(UpstreamEndpoint& endpoint) {
  for (std::size_t i = connections_.size(); i-- > 0;) {
    UpstreamConnection& connection = connections_[i];
    if (&connection.endpoint_ != &endpoint) continue;
    if (connection.stage_ == UpstreamConnection::Stage::idle) {
      unpark(connection);
      drop(connection, Outcome::not_sent);
    } else {
      cancel_unsent(connection);
    }
  }
}

std::string UpstreamPool::discovery_id_of(EndpointId id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? "" : found->second.discovery_id;
}

EndpointId UpstreamPool::id_of(const std::string& discovery_id) const {
  const auto found = ids_.find(discovery_id);
  return found == ids_.end() ? 0 : found->second;
}

// --- Dispatches

UpstreamConnection* UpstreamPool::send(const Dispatch& dispatch, const http::Parser& request,
                                       const std::shared_ptr<BodyPipe>& body) {
  const auto found = endpoints_.find(dispatch.endpoint);
  UpstreamEndpoint* const endpoint = found == endpoints_.end() ? nullptr : &found->second;
  if (UpstreamConnection* const idle = endpoint == nullptr ? nullptr : take_idle(*endpoint)) {
    idle->timer_.cancel();
    idle->stage_ = UpstreamConnection::Stage::writing;
    idle->assign(dispatch, request, body);
    ++counters_.upstream_reused;
    idle->waker_.set(UpstreamConnection::dispatched);
    return idle;
  }
  if (endpoint == nullptr || endpoint->availability != Availability::ready || !reserve_descriptor()) {
    ++counters_.dispatches;
    ++counters_.outcomes[static_cast<std::size_t>(Outcome::not_sent)];
    observer_->on_dispatch_end(dispatch, Outcome::not_sent, nullptr);
    return nullptr;
  }
  UpstreamConnection& connection =
      connections_.add(std::make_unique<UpstreamConnection>(scheduler_, *this, *endpoint));
  ++endpoint->connections;
  ++connection_budget_.used;
  connection.assign(dispatch, request, body);
  ++counters_.upstream_opened;
  connection.task_.start();
  return connection.is_busy_ ? &connection : nullptr;
}

/// Null: there is none. What the endpoint has closed, though nothing of it is known here yet, is dropped.
UpstreamConnection* UpstreamPool::take_idle(UpstreamEndpoint& endpoint) {
  while (!endpoint.idle_connections.empty()) {
    UpstreamConnection& connection = *endpoint.idle_connections.back();
    unpark(connection);
    if (connection.socket_.quiet()) return &connection;
    drop(connection, Outcome::not_sent);
  }
  return nullptr;
}

void UpstreamPool::cancel_unsent(UpstreamConnection& connection) {
  if (connection.is_busy_ && !connection.has_written()) drop(connection, Outcome::not_sent);
}

void UpstreamPool::cancel(UpstreamConnection& connection) {
  const bool request_is_out = connection.stage_ == UpstreamConnection::Stage::reading;
  drop(connection, request_is_out ? Outcome::cancelled : Outcome::not_sent);
}

/// Closes at once; the connection's coroutine finds out in its next turn.
void UpstreamPool::drop(UpstreamConnection& connection, Outcome outcome) {
  connection.socket_.close();
  connection.timer_.cancel();
  connection.waker_.set(UpstreamConnection::closed);
  connection.report(outcome);
}

// --- Idle connections

/// Keeps a connection for the next dispatch; false: it is to be closed, since its endpoint takes nothing new
/// or has moved to another address. Whatever this does, it reports nothing: the dispatch whose response has
/// just come must not end as never sent.
bool UpstreamPool::park(UpstreamConnection& connection) {
  UpstreamEndpoint& endpoint = connection.endpoint_;
  if (endpoint.availability != Availability::ready || endpoint.address_changes != connection.address_changes_)
    return false;
  connection.stage_ = UpstreamConnection::Stage::idle;
  connection.idle_since_ = scheduler_.now();
  connection.timer_.set(connection.idle_since_ + idle_timeout_);
  endpoint.idle_connections.push_back(&connection);
  return true;
}

void UpstreamPool::unpark(UpstreamConnection& connection) {
  std::erase(connection.endpoint_.idle_connections, &connection);
  connection.stage_ = UpstreamConnection::Stage::closed;
}

void UpstreamPool::close_idle(EndpointId id) {
  const auto found = endpoints_.find(id);
  while (found != endpoints_.end() && !found->second.idle_connections.empty()) {
    UpstreamConnection& connection = *found->second.idle_connections.back();
    unpark(connection);
    drop(connection, Outcome::not_sent);
  }
}

UpstreamConnection* UpstreamPool::longest_idle() {
  UpstreamConnection* oldest = nullptr;
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.idle_connections.empty()) continue;
    UpstreamConnection* const first = endpoint.idle_connections.front();
    if (oldest == nullptr || first->idle_since_ < oldest->idle_since_) oldest = first;
  }
  return oldest;
}

/// Whether there is a descriptor for one more connection. At the bound the connection that has been idle
/// longest is closed for it, of whichever pool.
bool UpstreamPool::reserve_descriptor() {
  if (connection_budget_.used < connection_budget_.limit) return true;
  UpstreamConnection* oldest = nullptr;
  for (UpstreamPool* pool : connection_budget_.pools) {
    UpstreamConnection* const one = pool->longest_idle();
    if (one != nullptr && (oldest == nullptr || one->idle_since_ < oldest->idle_since_)) oldest = one;
  }
  if (oldest == nullptr) return false;
  oldest->pool_.unpark(*oldest);
  oldest->pool_.drop(*oldest, Outcome::not_sent);
  return true;
}

void UpstreamPool::on_connection_closed(UpstreamConnection& connection) {
  --connection.endpoint_.connections;
  --connection_budget_.used;
  forget_if_unused(connection.endpoint_);
  connections_.retire(connection);
}

}  // namespace chutevane::sidecar
