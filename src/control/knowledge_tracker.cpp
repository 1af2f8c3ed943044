#include "control/knowledge_tracker.hpp"

#include <algorithm>

namespace chutevane::control {
namespace {

constexpr Span catch_up_delay = Span::ms(150);  // a notification normally arrives within a few ms
constexpr Span read_timeout = Span::ms(1500);
constexpr Span epoch_fetch_duration = Span::ms(60);  // time for replies of a later epoch's acceptors
constexpr Span age_without_value = Span::ms(60000);  // reported while no value is known

}  // namespace

AcceptorReport report_of(const DurableAcceptor& acceptor, std::int64_t epoch) {
  const bool has_entered = acceptor.is_voting() && acceptor.epoch() == epoch;
  return {acceptor.identity(), epoch, has_entered ? acceptor.accepted_number() : 0};
}

KnowledgeTracker::KnowledgeTracker(net::TimerQueue& timers, Register& reg,
                                   const std::optional<DurableAcceptor>& acceptor, const PeerTable& peers,
                                   AcceptorTransport& transport, std::int64_t incarnation)
    : timers_(timers),
      register_(reg),
      acceptor_(acceptor),
      peers_(peers),
      transport_(transport),
      contact_(incarnation) {}

void KnowledgeTracker::on_gossip(const common::Gossip& gossip) {
  const AcceptorReport report{{gossip.address, gossip.disk, gossip.first}, gossip.epoch, gossip.accepted};
  contact_.on_report(report, gossip.echo_incarnation, TimePoint() + Span::us(gossip.echo_stamp));
}

bool KnowledgeTracker::has_quorum_contact(Span within) const {
  const TimePoint now = timers_.now();
  const auto last_contact = contact_.last_contact(register_.epoch_value(), own_report(), now);
  return last_contact && now - *last_contact < within;
}

std::set<std::string> KnowledgeTracker::acceptors_in_contact(Span within) const {
  return contact_.members_in_contact(register_.epoch_value(), own_report(), timers_.now() - within);
}

Span KnowledgeTracker::age() const {
  return register_.known_value() ? timers_.now() - confirmed_at_ : age_without_value;
}

void KnowledgeTracker::update_confirmed_at() {
  if (!register_.known_value()) return;
  const auto confirmed = contact_.confirmed_until(register_.epoch_value(), own_report(),
                                                  register_.known_value()->number, timers_.now());
  if (confirmed) confirmed_at_ = std::max(confirmed_at_, *confirmed);
}

/// Returns true if the local acceptor or a live peer reports a newer value or epoch than the known one.
bool KnowledgeTracker::is_behind() const {
  if (!register_.known_value()) return true;
  const std::int64_t known = register_.known_value()->number;
  if (acceptor_->is_voting() && acceptor_->accepted_number() > known) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (!peers_.is_live(peer)) return false;
    return peer.last_gossip->known_number > known || peer.last_gossip->accepted > known ||
           peer.last_gossip->epoch > register_.epoch_value().epoch;
  });
}

/// If a peer has reported a later epoch, requests the epoch's initial value from its acceptors, as gossip
/// carries only the acceptor set. Returns false if no peer has reported one.
bool KnowledgeTracker::fetch_later_epoch() {
  const auto later = std::find_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peers_.is_live(peer) && peer.last_gossip->epoch > register_.epoch_value().epoch;
  });
  if (later == peers_.end()) return false;
  is_catching_up_ = true;
  // Copied because a reply may arrive during the call and change the table of peers.
  const std::vector<common::Acceptor> acceptors = later->second.last_gossip->initial.acceptors;
  fetch_epoch_from(acceptors);
  timers_.after(epoch_fetch_duration, [this] {
    is_catching_up_ = false;
    catch_up();
  });
  return true;
}

void KnowledgeTracker::fetch_epoch_from(const std::vector<common::Acceptor>& acceptors) {
  common::Prepare request;  // for epoch 0, which all have left, so the reply carries the newest epoch
  request.read_only = true;
  for (const common::Acceptor& acceptor : acceptors) {
    transport_.prepare(acceptor.address, request, [this](absl::StatusOr<common::Promise> reply) {
      if (reply.ok() && reply->initial.epoch > register_.epoch_value().epoch)
        register_.observe_epoch(reply->initial);
    });
  }
}

void KnowledgeTracker::read_register() {
  is_catching_up_ = true;
  const TimePoint begin = timers_.now();
  register_.read(read_timeout, [this, begin](const absl::StatusOr<RegisterValue>& value) {
    is_catching_up_ = false;
    // A read returns a value that was current at some time after the read began.
    if (value.ok()) confirmed_at_ = std::max(confirmed_at_, begin);
  });
}

void KnowledgeTracker::catch_up() {
  update_confirmed_at();
  const TimePoint now = timers_.now();
  if (!is_behind()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
    timers_.after(catch_up_delay + Span::ms(1), [this] { catch_up(); });  // sooner than the next tick
  }
  const bool may_still_be_notified = register_.known_value() && now - *behind_since_ < catch_up_delay;
  if (is_catching_up_ || may_still_be_notified) return;
  if (fetch_later_epoch() || register_.epoch_value().epoch == 0) return;
  read_register();
}

}  // namespace chutevane::control
