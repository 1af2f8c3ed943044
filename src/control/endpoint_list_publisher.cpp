#include "control/endpoint_list_publisher.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "common/log.hpp"

namespace chutevane::control {
namespace {

// A fifth of the time that an endpoint has to drain. Not shorter, since each call of the platform has
// a cost.
constexpr Span poll_interval = Span::ms(600);
// Time for a complete fetch by a peer: a page takes up to 0.8 s, and pages are spaced by the rate limit.
constexpr Span platform_check_timeout = Span::ms(2500);

}  // namespace

EndpointListPublisher::EndpointListPublisher(net::TimerQueue& timers, PlatformClient& platform,
                                             RoleElection& election, PeerTable& peers, std::string node,
                                             std::function<void()> on_changed)
    : timers_(timers),
      platform_(platform),
      election_(election),
      peers_(peers),
      node_(std::move(node)),
      on_changed_(std::move(on_changed)) {}

void EndpointListPublisher::start_polling() { poll(); }

void EndpointListPublisher::on_elected() {
  reachability_.on_reached(timers_.now());
  fetch();
}

void EndpointListPublisher::poll() {
  fetch();
  const TimePoint now = timers_.now();
  if (reachability_.should_ask_peer(election_.is_leader(), now)) ask_peer();
  timers_.after(poll_interval, [this] { poll(); });
}

void EndpointListPublisher::fetch() {
  if (!election_.is_leader() || platform_.is_fetching()) return;
  platform_.fetch_endpoints([this](std::optional<std::vector<common::EndpointEntry>> entries) {
    if (!entries || !election_.is_leader()) return;
    reachability_.on_reached(timers_.now());
    publish(std::move(*entries));
  });
}

void EndpointListPublisher::check_platform(const std::function<void(bool is_reachable)>& callback) {
  if (platform_.is_fetching()) return callback(false);
  platform_.fetch_endpoints([callback](const std::optional<std::vector<common::EndpointEntry>>& entries) {
    callback(entries.has_value());
  });
}

/// Asks the next peer whether it can reach the platform, which this leader cannot reach.
void EndpointListPublisher::ask_peer() {
  std::vector<const std::pair<const std::string, Peer>*> live;
  for (const auto& entry : peers_) {
    const bool may_lead = peers_.is_live(entry.second) && !entry.second.last_gossip->draining;
    if (may_lead) live.push_back(&entry);
  }
  if (live.empty()) return;
  const auto& [address, peer] = *live[reachability_.next_peer(live.size(), timers_.now())];
  peer.connection->call<common::PlatformCheckReply>(
      common::PlatformCheckRequest{node_}, platform_check_timeout,
      [this, address = address](const absl::StatusOr<common::PlatformCheckReply>& reply) {
        on_peer_reply(address, reply.ok() && reply->is_reachable);
      });
}

void EndpointListPublisher::on_peer_reply(const std::string& address, bool is_reachable) {
  const bool should_step_down = reachability_.on_reply(is_reachable, timers_.now());
  if (!should_step_down || !election_.is_leader()) return;
  common::log_warning("list.given_up", "platform not reached for " +
                                           std::to_string(static_cast<long>(age().as_ms())) +
                                           " ms, but peer " + address + " reaches it");
  election_.step_down_for(list_step_down_duration);
}

void EndpointListPublisher::publish(std::vector<common::EndpointEntry> entries) {
  // Only whether slow start is active counts: the remaining time falls with each fetch.
  for (common::EndpointEntry& entry : entries) entry.slow_start_ms = entry.slow_start_ms > 0 ? 1 : 0;
  const EndpointListPosition before = position();
  if (!table_.update(election_.fencing_token(), entries)) return;
  for (auto& [address, peer] : peers_) {
    for (const common::EndpointList& change : table_.changes_since(before.token, before.number))
      peer.connection->send(change);
  }
  on_changed_();
}

void EndpointListPublisher::on_endpoint_list(const common::EndpointList& change) {
  step_down_if_overtaken(change.term);
  if (table_.apply(change)) on_changed_();
}

void EndpointListPublisher::on_peer_position(Peer& peer, const EndpointListPosition& position) {
  step_down_if_overtaken(position.token);
  if (!election_.is_leader()) return;
  for (const common::EndpointList& change : table_.changes_since(position.token, position.number))
    peer.connection->send(change);
}

void EndpointListPublisher::on_member_token(FencingToken token) {
  election_.observe_fencing_token(token);
  newest_member_token_ = std::max(newest_member_token_, token);
}

EndpointListPosition EndpointListPublisher::reported_position() const {
  if (newest_member_token_ > table_.term()) return {newest_member_token_, 0};
  return position();
}

/// Steps down if this controller leads with a lower token, since receivers would reject its list.
void EndpointListPublisher::step_down_if_overtaken(FencingToken token) {
  if (election_.is_leader()) election_.observe_fencing_token(token);
}

}  // namespace chutevane::control
