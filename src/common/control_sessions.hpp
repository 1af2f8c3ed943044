/// The sessions of an edge or a storage node with the control plane.
///
/// A process keeps sessions with up to three controllers, chosen by hashing, so that it tolerates the failure
/// of one controller and an undetected partition of another. Controllers send register values, changes of the
/// endpoint list and heartbeats on each session; the process sends its own heartbeats, which acknowledge the
/// newest value that it has. The process is a member of the system as long as at least one session is up.
///
/// One session is the primary: its controller pushes changes immediately. The other controllers push a change
/// with their next heartbeat, and only if the process has not acknowledged it by then.
///
/// Each session gives an upper bound for the age of the process's knowledge of the register
/// (knowledge_age()). Clocks of different machines are never compared: a controller echoes the timestamp of a
/// heartbeat that this process has sent, and reports the age of its own knowledge.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/endpoint_table.hpp"
#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "common/value_update.hpp"

namespace chutevane::common {

class ControlSessions {
 public:
  /// `self` describes this process in its heartbeats. `scheduler` and `timers` must outlive this object.
  ControlSessions(net::Scheduler& scheduler, net::TimerQueue& timers, const ProcessSettings& settings,
                  Member self);
  /// Sets the callback for newer values of the register. Their numbers strictly increase.
  void on_value(std::function<void(const RegisterValue&)> callback) { on_value_ = std::move(callback); }
  /// Sets the callback for changes of the endpoint list.
  void on_endpoints(std::function<void(const EndpointTable&)> callback) {
    on_endpoints_ = std::move(callback);
  }
  /// Returns the newest register value received, or std::nullopt before the first one.
  const std::optional<RegisterValue>& value() const { return values_.value(); }
  const EndpointTable& endpoints() const { return endpoints_; }

  // Each of these functions immediately sends a heartbeat on all sessions.
  /// Reports that this storage node has all replicas that version `map` of the storage map places on it.
  void report_complete_map(std::int64_t map) {
    self_.complete_map_version = map;
    send_heartbeats();
  }
  /// Reports that this process is shutting down and that others should take over its replicas. It remains a
  /// member until close().
  void report_draining() {
    self_.draining = true;
    send_heartbeats();
  }
  void report_disk_failing(bool failing) {
    self_.disk_failing = failing;
    send_heartbeats();
  }
  /// Sends the last heartbeat: the process is no longer a member.
  void close() {
    closing_ = true;
    send_heartbeats();
  }

  /// Takes over the seed controllers from changed settings.
  void reload(const ProcessSettings& settings);
  /// Returns the number of sessions that are up, and whose controller has sent a heartbeat and confirmed
  /// sufficiently recent knowledge within the timeouts.
  std::size_t usable_count() const;
  /// Returns the maximum age of this process's knowledge: every register value chosen longer ago than this is
  /// not newer than value(). Taken from the session with the best bound.
  Span knowledge_age() const;
  /// Returns the number of edges that are members, as last reported by a controller; at least 1.
  std::size_t edge_count() const { return edge_count_; }

 private:
  struct Session {
    std::unique_ptr<RpcClient> link;
    TimePoint opened_at;
    TimePoint heartbeat_at;  // arrival of the controller's newest heartbeat
    // No value chosen before this time is newer than what this controller has sent. It is the timestamp of
    // our heartbeat that the controller has echoed, minus the age of the controller's own knowledge.
    TimePoint confirmed_at;
    std::int64_t confirmed_number = 0;  // number of the newest value that the controller has confirmed
    std::int64_t rejected_push = 0;     // number of the newest push that could not be applied; 0 if none
  };

  void tick();
  void send_heartbeats();
  void send_heartbeat(Session& session);
  void choose_controllers();
  std::vector<std::string> ranked_controllers() const;
  void open_session(const std::string& address, const sockaddr_in& to);
  void close_unneeded_sessions(const std::vector<std::string>& wanted);
  bool usable(const Session& session) const;
  bool may_become_usable(const Session& session) const;
  bool primary_stays() const;
  void on_session_up(const std::string& address);
  void on_message(const std::string& address, std::uint8_t kind, std::string_view record);
  void on_heartbeat(Session& session, const ControlHeartbeat& heartbeat);
  void on_push(Session& session, const ValuePush& push);

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::uint16_t port_;  // internal port of the control plane, the same on all machines
  Member self_;
  bool closing_ = false;
  std::size_t edge_count_ = 1;
  std::vector<std::string> seeds_, controllers_;  // addresses
  std::map<std::string, Session> sessions_;       // by address
  std::vector<std::unique_ptr<RpcClient>>
      closed_links_;  // destroyed by a later tick: their callbacks may be running
  ValueReceiver values_;
  EndpointTable endpoints_;
  std::string primary_;  // address; empty if there is no primary
  std::function<void(const RegisterValue&)> on_value_;
  std::function<void(const EndpointTable&)> on_endpoints_;
};

/// Returns the address at which a controller listens for its peers, given its address for clients and the
/// internal port of the control plane.
std::string internal_control_address(const sockaddr_in& control, std::uint16_t port);

}  // namespace chutevane::common
