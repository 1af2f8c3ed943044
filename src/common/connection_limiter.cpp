/// ConnectionLimiter: the order in which connections are ended.
#include "common/connection_limiter.hpp"

#include <algorithm>
#include <limits>

namespace chutevane::common {

std::size_t connections_of(std::size_t descriptors, double fraction) {
  if (descriptors == 0) return std::numeric_limits<std::size_t>::max();
  return std::max<std::size_t>(static_cast<std::size_t>(static_cast<double>(descriptors) * fraction), 1);
}

std::string_view name_of(ShedCause cause) { return cause == ShedCause::memory ? "memory" : "connections"; }

std::list<ConnectionLimiter::Connection*>& ConnectionLimiter::list_of(Phase phase) {
  switch (phase) {
    case Phase::idle: return idle_;
    case Phase::receiving:
    case Phase::sending: return waiting_;
    case Phase::closing: return closing_;
    case Phase::serving: break;
  }
  return serving_;
}

void ConnectionLimiter::add(Connection& connection) {
  ++size_;
  connection.limiter_phase_ = Phase::idle;
  connection.limiter_position_ = idle_.insert(idle_.end(), &connection);
}

void ConnectionLimiter::remove(Connection& connection) {
  --size_;
  list_of(connection.limiter_phase_).erase(connection.limiter_position_);
}

void ConnectionLimiter::set_phase(Connection& connection, Phase phase) {
  if (connection.limiter_phase_ == phase) return;
  std::list<Connection*>& to = list_of(phase);
  to.splice(to.end(), list_of(connection.limiter_phase_), connection.limiter_position_);
  connection.limiter_phase_ = phase;
  connection.unit_progress_ = 0;
}

bool ConnectionLimiter::on_progress(Connection& connection, std::size_t bytes) {
  connection.unit_progress_ += bytes;
  if (connection.unit_progress_ < progress_unit) return false;
  connection.unit_progress_ = 0;
  std::list<Connection*>& list = list_of(connection.limiter_phase_);
  list.splice(list.end(), list, connection.limiter_position_);
  return true;
}

bool ConnectionLimiter::make_room(const Connection* growing) {
  while (budget_.full()) {
    Connection* const victim = memory_victim(growing);
    if (victim == nullptr) return false;
    shed(*victim, ShedCause::memory);
  }
  return true;
}

ConnectionLimiter::Connection* ConnectionLimiter::memory_victim(const Connection* growing) {
  for (const std::list<Connection*>* const list : {&closing_, &waiting_}) {
    for (Connection* const connection : *list) {
      if (connection != growing && !is_small(*connection)) return connection;
    }
  }
  return nullptr;
}

bool ConnectionLimiter::admit() {
  while (size_ >= max_connections_) {
    Connection* const victim = connection_victim();
    if (victim == nullptr) {
      ++refused_;
      return false;
    }
    shed(*victim, ShedCause::connections);
  }
  return true;
}

ConnectionLimiter::Connection* ConnectionLimiter::connection_victim() {
  if (!closing_.empty()) return closing_.front();
  for (Connection* const connection : idle_) {
    if (!connection->has_unread_bytes()) return connection;
  }
  return waiting_.empty() ? nullptr : waiting_.front();
}

void ConnectionLimiter::shed(Connection& victim, ShedCause cause) {
  ++shed_[static_cast<std::size_t>(cause)];
  if (log_.admits(scheduler_.now()))
    log_.line("port=" + port_ + " cause=" + std::string(name_of(cause)) + " held=" +
              std::to_string(victim.held_bytes()) + " budget_used=" + std::to_string(budget_.bytes()) +
              " budget=" + std::to_string(budget_.limit()) + " connections=" + std::to_string(size_));
  victim.on_shed(cause);
}

void write_connection_metrics(MetricsWriter& out, const std::vector<const ConnectionLimiter*>& ports) {
  out.begin(MetricsWriter::Type::gauge, "chutevane_port_connections", "", "Open connections, by port.");
  for (const ConnectionLimiter* const port : ports)
    out.sample(static_cast<double>(port->size()), {{"port", port->port()}});
  out.begin(MetricsWriter::Type::counter, "chutevane_connections_shed", "",
            "Connections of clients ended because memory or connections ran short, by port and cause.");
  for (const ConnectionLimiter* const port : ports) {
    for (const ShedCause cause : {ShedCause::memory, ShedCause::connections})
      out.sample(static_cast<double>(port->shed_count(cause)),
                 {{"port", port->port()}, {"cause", name_of(cause)}});
  }
  out.begin(MetricsWriter::Type::counter, "chutevane_connections_refused", "",
            "Connections closed at once because all others of the port were being served, by port.");
  for (const ConnectionLimiter* const port : ports)
    out.sample(static_cast<double>(port->refused_count()), {{"port", port->port()}});
}

}  // namespace chutevane::common
