/// The list of endpoints at a controller: fetched from the platform by the leader of the role `list`, passed
/// on to the other controllers, and followed by those that do not lead.
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

/// A place in the sequence of lists: fencing token of the leader that published it, and number of the change.
/// Positions are ordered; whoever follows the list never goes back.
struct EndpointListPosition {
  FencingToken token = 0;
  std::int64_t number = 0;
  auto operator<=>(const EndpointListPosition&) const = default;
};

/// Owns this controller's copy of the list. A copy that is at a lower position than what arrives takes it
/// over; whatever is at a lower position than the copy is ignored (common/endpoint_table.hpp).
class EndpointListPublisher {
 public:
  /// `on_changed`: called whenever the list has changed here. The references must outlive this object.
  /// `node`: name of this controller.
  EndpointListPublisher(net::TimerQueue& timers, PlatformClient& platform, RoleElection& election,
                        PeerTable& peers, std::string node, std::function<void()> on_changed);

  /// Begins to fetch the list at a fixed interval, whenever this controller leads.
  void start_polling();
  /// This controller has become the leader: fetches now.
  void on_elected();

  /// Fetches the list for another controller, which leads: whether that succeeded. Calls back at once, with
  /// false, while a fetch is under way.
  void check_platform(const std::function<void(bool is_reachable)>& callback);

  /// A leader's change of the list has come.
  void on_endpoint_list(const common::EndpointList& change);
  /// A peer has the list up to that position: a leader sends it what it lacks.
  void on_peer_position(Peer& peer, const EndpointListPosition& position);
  /// A member with a session here follows the list of that leader.
  void on_member_token(FencingToken token);

  const common::EndpointTable& table() const { return table_; }
  EndpointListPosition position() const { return {table_.term(), table_.number()}; }
  /// What to report to peers. Where a member here follows the list of a later leader than this controller
  /// does, that leader's token with number 0: the leader has to learn that it is followed, and sends all.
  EndpointListPosition reported_position() const;
  /// How old the list is, as its leader knows it: since its last complete fetch, or its election.
  Span age() const { return reachability_.silence(timers_.now()); }

 private:
  void poll();
  /// Where this controller leads and no fetch is under way.
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
