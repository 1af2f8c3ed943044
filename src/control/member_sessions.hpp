/// Sessions of members (edges and storage nodes) with a controller: what each has acknowledged, and what is
/// pushed down to it.
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
/// of the list of endpoints are pushed down primary sessions at once, and down the others with the next
/// heartbeat where they are still needed.
class MemberSessions {
 public:
  /// The references must outlive this object. `endpoints`: this controller's list.
  MemberSessions(net::TimerQueue& timers, common::RpcServer& server, const common::EndpointTable& endpoints);

  /// A member's message has come; the first one opens the session. True: it was the first.
  bool on_heartbeat(common::RpcServer::Connection& connection, const common::MemberHeartbeat& heartbeat);
  void close(std::uint64_t connection_id) { sessions_.erase(connection_id); }

  /// A value was chosen: pushes it. Members have no use for the history of configurations, which is left out.
  void on_value(const common::RegisterValue& value);
  void on_endpoint_list_changed() { push_to_primary_sessions(); }
  /// Pushes what is missing and sends a heartbeat down each session. Sessions whose member has not been heard
  /// of for too long are closed. `heartbeat`: without the parts that differ by session. `controllers`: are
  /// included when they have changed, and now and then. True: sessions were closed.
  bool send_heartbeats(common::ControlHeartbeat heartbeat, const std::vector<std::string>& controllers);

  /// Whether all edges with a session have that value of the register, or a later one.
  bool have_edges_acknowledged(std::int64_t number) const;
  std::vector<common::Member> members() const;
  std::size_t size() const { return sessions_.size(); }

 private:
  /// One connection of a member.
  struct Session {
    common::Member member;
    TimePoint opened_at;
    TimePoint received_at;               // when the last message came
    std::int64_t stamp = 0;              // of that message: returned with each heartbeat
    EndpointListPosition list_position;  // that the member has, or that was sent
    common::PushCursor values;
    bool is_primary = false;
  };
  void push(std::uint64_t connection_id, Session& session);
  void push_to_primary_sessions();

  net::TimerQueue& timers_;
  common::RpcServer& server_;
  const common::EndpointTable& endpoints_;
  std::map<std::uint64_t, Session> sessions_;  // by number of the connection
  common::RecentValues pushed_values_;
  std::vector<std::string> sent_controllers_;
  TimePoint controllers_sent_at_;
};

}  // namespace chutevane::control
