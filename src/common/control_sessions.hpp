/// The sessions of an edge or a storage node with the control plane.
///
/// A process keeps sessions with up to three controllers, chosen by hashing, so that one may fail and another
/// may be partitioned unseen. Down each session come values of the register, changes of the endpoint list and
/// heartbeats; up go the process's own heartbeats, which acknowledge what it holds. While one session is up,
/// the process is a member of the system.
///
/// One session is the primary: changes are pushed down it at once. The others get a change with their next
/// heartbeat, and only where the process does not have it by then.
///
/// Each session proves how old the process's knowledge of the register is at most (knowledge_age()). No clock
/// of another machine is compared: a controller echoes the time stamp of a heartbeat that this process has
/// sent, and states the age of its own knowledge.
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
  /// `self`: what the heartbeats say of this process. `scheduler` and `timers` must outlive this.
  ControlSessions(net::Scheduler& scheduler, net::TimerQueue& timers, const ProcessSettings& settings,
                  Member self);
  /// Called with each newer value of the register; their numbers rise.
  void on_value(std::function<void(const RegisterValue&)> callback) { on_value_ = std::move(callback); }
  /// Called after each change of the endpoint list.
  void on_endpoints(std::function<void(const EndpointTable&)> callback) {
    on_endpoints_ = std::move(callback);
  }
  /// The newest value of the register that has arrived.
  const std::optional<RegisterValue>& value() const { return values_.value(); }
  const EndpointTable& endpoints() const { return endpoints_; }

  // Each of these sends a heartbeat down all sessions at once.
  /// This storage node has all replicas that are its own by that version of the map.
  void report_complete_map(std::int64_t map) {
    self_.complete_map_version = map;
    send_heartbeats();
  }
  /// It is about to leave, and others are to take over its replicas. It is a member still.
  void report_draining() {
    self_.draining = true;
    send_heartbeats();
  }
  void report_disk_failing(bool failing) {
    self_.disk_failing = failing;
    send_heartbeats();
  }
  /// The last heartbeat: the process is no member any more.
  void close() {
    closing_ = true;
    send_heartbeats();
  }

  /// Takes the seed controllers from changed settings.
  void reload(const ProcessSettings& settings);
  /// Sessions whose controller has been heard of, and has proved fresh knowledge, within their timeouts.
  std::size_t usable_count() const;
  /// No value older than this that is not held here can have been chosen, as the best session proves.
  Span knowledge_age() const;
  /// Edges that are members, as a controller last reported; at least 1.
  std::size_t edge_count() const { return edge_count_; }

 private:
  struct Session {
    std::unique_ptr<RpcClient> link;
    TimePoint opened_at;
    TimePoint heartbeat_at;  // when the controller's newest heartbeat came
    // No value chosen before this time is newer than what this controller has sent: the stamp of a heartbeat
    // of ours that it has echoed, less the age of its own knowledge.
    TimePoint confirmed_at;
    std::int64_t confirmed_number = 0;  // the newest value that it named with that proof
    std::int64_t rejected_push = 0;     // number of the newest push that could not be applied; 0: none
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
  const std::uint16_t port_;  // of the control plane, on all machines
  Member self_;
  bool closing_ = false;
  std::size_t edge_count_ = 1;
  std::vector<std::string> seeds_, controllers_;  // addresses
  std::map<std::string, Session> sessions_;       // by address
  std::vector<std::unique_ptr<RpcClient>>
      closed_links_;  // destroyed by a later tick: their callbacks may be running
  ValueReceiver values_;
  EndpointTable endpoints_;
  std::string primary_;  // address; empty: none
  std::function<void(const RegisterValue&)> on_value_;
  std::function<void(const EndpointTable&)> on_endpoints_;
};

/// The address at which a controller listens for its peers, from the one at which clients call it.
std::string internal_control_address(const sockaddr_in& control, std::uint16_t port);

}  // namespace chutevane::common
