/// Sessions of members (edges and storage nodes) with a controller: what each member has acknowledged, and
/// what is pushed to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/value_update.hpp"
#include "control/endpoint_list_publisher.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// A member keeps sessions with several controllers, one of which is its primary. Changes of the register and
/// of the list of endpoints are pushed over primary sessions at once, and over the others with the next
/// heartbeat if the member still lacks them.
class MemberSessions {
 public:
  /// The references must outlive this object. `endpoints`: this controller's copy of the list.
  MemberSessions(net::TimerQueue& timers, common::RpcServer& server, const common::EndpointTable& endpoints);

  /// Processes a member's heartbeat. The first one opens the session; returns true if it did.
  bool on_heartbeat(common::RpcServer::Connection& connection, const common::MemberHeartbeat& heartbeat);
  void close(std::uint64_t connection_id) { sessions_.erase(connection_id); }

  /// Pushes a chosen value, without the history of configurations, which members do not need.
  void on_value(const common::RegisterValue& value);
  void on_endpoint_list_changed() { push_to_primary_sessions(); }
  /// Pushes what is missing and sends a heartbeat over each session, and closes sessions whose last message
  /// is too old. Returns true if any were closed. `heartbeat` lacks the fields that differ by session.
  /// `controllers` is sent along if it has changed, and every `full_message_interval`.
  bool send_heartbeats(common::ControlHeartbeat heartbeat, const std::vector<std::string>& controllers);

  /// Returns true if all edges with a session have acknowledged the value with that number or a later one.
  bool have_edges_acknowledged(std::int64_t number) const;
  std::vector<common::Member> members() const;
  std::size_t size() const { return sessions_.size(); }

 private:
  /// One connection of a member.
  struct Session {
    common::Member member;
    TimePoint opened_at;
    TimePoint received_at;               // when the last message arrived
    std::int64_t stamp = 0;              // `stamp` of that message, echoed in each heartbeat
    EndpointListPosition list_position;  // newest position that the member has or was sent
    common::PushCursor values;
    bool is_primary = false;
  };
  void push(std::uint64_t connection_id, Session& session);
  void push_to_primary_sessions();

  net::TimerQueue& timers_;
  common::RpcServer& server_;
  const common::EndpointTable& endpoints_;
  std::map<std::uint64_t, Session> sessions_;  // by connection ID
  common::RecentValues pushed_values_;
  std::vector<std::string> sent_controllers_;
  TimePoint controllers_sent_at_;
};

}  // namespace chutevane::control
