#include "control/endpoint_list_publisher.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace chutevane::control {
namespace {

// A fifth of the time that an endpoint has to drain; each call of the platform has its price.
constexpr Span poll_interval = Span::ms(600);

}  // namespace

EndpointListPublisher::EndpointListPublisher(net::TimerQueue& timers, PlatformClient& platform,
                                             RoleElection& election, PeerTable& peers,
                                             std::function<void()> on_changed)
    : timers_(timers),
      platform_(platform),
      election_(election),
      peers_(peers),
      on_changed_(std::move(on_changed)) {}

void EndpointListPublisher::start_polling() { poll(); }

void EndpointListPublisher::poll() {
  fetch();
  timers_.after(poll_interval, [this] { poll(); });
}

void EndpointListPublisher::fetch() {
  if (!election_.is_leader() || platform_.is_fetching()) return;
  platform_.fetch_endpoints([this](std::optional<std::vector<common::EndpointEntry>> entries) {
    if (entries && election_.is_leader()) publish(std::move(*entries));
  });
}

void EndpointListPublisher::publish(std::vector<common::EndpointEntry> entries) {
  // The remaining time falls with each fetch, which alone is no change.
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

/// A list that would be rejected by those who follow a later one need not be fetched.
void EndpointListPublisher::step_down_if_overtaken(FencingToken token) {
  if (election_.is_leader()) election_.observe_fencing_token(token);
}

}  // namespace chutevane::control
