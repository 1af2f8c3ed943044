/// The list of endpoints at a controller. The leader of the role `list` fetches it from the platform and
/// sends it to the other controllers, which keep a copy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/endpoint_table.hpp"
#include "common/messages.hpp"
#include "control/peer_table.hpp"
#include "control/platform_client.hpp"
#include "control/platform_reachability.hpp"
#include "control/role_election.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// A position in the sequence of lists: the fencing token of the leader that published it, and the number of
/// the change. Positions are ordered, and the position of a copy never goes back.
struct EndpointListPosition {
  FencingToken token = 0;
  std::int64_t number = 0;
  auto operator<=>(const EndpointListPosition&) const = default;
};

/// Owns this controller's copy of the list. Changes at a higher position than the copy are applied; changes
/// at a lower position are ignored (common/endpoint_table.hpp).
class EndpointListPublisher {
 public:
  /// `node`: name of this controller. `on_changed`: called whenever this controller's copy has changed. The
  /// references must outlive this object.
  EndpointListPublisher(net::TimerQueue& timers, PlatformClient& platform, RoleElection& election,
                        PeerTable& peers, std::string node, std::function<void()> on_changed);

  /// Starts to fetch the list at a fixed interval while this controller is the leader.
  void start_polling();
  /// Fetches the list at once. Must be called when this controller has become the leader.
  void on_elected();

  /// Fetches the list on behalf of the leader, which is another controller, and calls back with whether that
  /// succeeded. Calls back at once with false while another fetch is in progress.
  void check_platform(const std::function<void(bool is_reachable)>& callback);

  /// Processes a change of the list sent by a leader.
  void on_endpoint_list(const common::EndpointList& change);
  /// Processes the position that a peer has reported. A leader sends the peer the changes that it lacks.
  void on_peer_position(Peer& peer, const EndpointListPosition& position);
  /// Processes the token of the list that a member with a session here has.
  void on_member_token(FencingToken token);

  const common::EndpointTable& table() const { return table_; }
  EndpointListPosition position() const { return {table_.term(), table_.number()}; }
  /// Returns the position to report to peers. If a member here has the list of a later leader than this
  /// controller, this is that leader's token with number 0, so that the leader learns of the token and sends
  /// the full list.
  EndpointListPosition reported_position() const;
  /// Returns the age of the list at its leader: the time since its last complete fetch or its election.
  Span age() const { return reachability_.time_since_reached(timers_.now()); }

 private:
  void poll();
  /// Fetches the list if this controller is the leader and no fetch is in progress.
  void fetch();
  void publish(std::vector<common::EndpointEntry> entries);
  void ask_peer();
  void on_peer_reply(const std::string& address, bool is_reachable);
  void step_down_if_overtaken(FencingToken token);

  net::TimerQueue& timers_;
  PlatformClient& platform_;
  RoleElection& election_;
  PeerTable& peers_;
  const std::string node_;
  const std::function<void()> on_changed_;
  common::EndpointTable table_;
  FencingToken newest_member_token_ = 0;
  PlatformReachability reachability_;
};

}  // namespace chutevane::control
