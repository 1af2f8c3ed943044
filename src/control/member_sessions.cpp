#include "control/member_sessions.hpp"

#include <algorithm>

#include "control/control_timing.hpp"

namespace chutevane::control {
namespace {

constexpr Span session_timeout = Span::ms(1300);  // four heartbeats of a member
// Time for the full value to arrive over the member's primary session.
constexpr Span primary_session_grace = Span::ms(600);

}  // namespace

MemberSessions::MemberSessions(net::TimerQueue& timers, common::RpcServer& server,
                               const common::EndpointTable& endpoints)
    : timers_(timers), server_(server), endpoints_(endpoints) {}

bool MemberSessions::on_heartbeat(common::RpcServer::Connection& connection,
                                  const common::MemberHeartbeat& heartbeat) {
  const auto [found, is_new] = sessions_.try_emplace(connection.id());
  Session& session = found->second;
  if (is_new) session.opened_at = timers_.now();
  session.member = heartbeat.member;
  session.received_at = timers_.now();
  session.stamp = heartbeat.stamp;
  session.is_primary = heartbeat.primary;
  session.values.acknowledged(heartbeat.member.number, heartbeat.rejected_push);
  // Changes sent after the member wrote this message still count as sent.
  const EndpointListPosition acknowledged{heartbeat.list_term, heartbeat.list_number};
  session.list_position = std::max(session.list_position, acknowledged);
  if (is_new || session.is_primary) push(connection.id(), session);
  return is_new;
}

void MemberSessions::on_value(const common::RegisterValue& value) {
  common::RegisterValue pushed = value;
  pushed.applied_configurations.clear();
  pushed_values_.add(pushed);
  push_to_primary_sessions();
}

void MemberSessions::push_to_primary_sessions() {
  for (auto& [id, session] : sessions_) {
    if (session.is_primary) push(id, session);
  }
}

void MemberSessions::push(std::uint64_t connection_id, Session& session) {
  common::RpcServer::Connection* const connection = server_.find(connection_id);
  if (connection == nullptr) return;
  // A full value is large and each member has several sessions, so it is sent over the primary session alone,
  // unless it does not arrive there in time.
  const bool leave_to_primary = !session.is_primary &&
                                timers_.now() - session.opened_at < primary_session_grace &&
                                session.values.needs_full_value(pushed_values_);
  if (!leave_to_primary) {
    if (const std::string* const record = session.values.next(pushed_values_, connection->unsent()))
      connection->send_record(common::ValuePush::kind, *record);
  }
  const EndpointListPosition& position = session.list_position;
  if (!endpoints_.newer_than(position.token, position.number)) return;
  for (const common::EndpointList& change : endpoints_.changes_since(position.token, position.number))
    connection->send(change);
  session.list_position = {endpoints_.term(), endpoints_.number()};
}

bool MemberSessions::send_heartbeats(common::ControlHeartbeat heartbeat,
                                     const std::vector<std::string>& controllers) {
  const TimePoint now = timers_.now();
  if (controllers != sent_controllers_ || now - controllers_sent_at_ > full_message_interval) {
    heartbeat.controllers = sent_controllers_ = controllers;
    controllers_sent_at_ = now;
  }
  std::vector<std::uint64_t> expired;
  for (auto& [id, session] : sessions_) {
    common::RpcServer::Connection* const connection = server_.find(id);
    if (connection == nullptr || now - session.received_at > session_timeout) {
      expired.push_back(id);
      continue;
    }
    push(id, session);  // before the heartbeat, which confirms what the member has
    heartbeat.echo_stamp = session.stamp;
    connection->send(heartbeat);
  }
  for (const std::uint64_t id : expired) {
    sessions_.erase(id);
    if (common::RpcServer::Connection* const connection = server_.find(id)) connection->close();
  }
  return !expired.empty();
}

bool MemberSessions::have_edges_acknowledged(std::int64_t number) const {
  return std::all_of(sessions_.begin(), sessions_.end(), [&](const auto& entry) {
    const common::Member& member = entry.second.member;
    return member.plane != "edge" || member.number >= number;
  });
}

std::vector<common::Member> MemberSessions::members() const {
  std::vector<common::Member> out;
  for (const auto& [id, session] : sessions_) out.push_back(session.member);
  return out;
}

}  // namespace chutevane::control
