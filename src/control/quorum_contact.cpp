#include "control/quorum_contact.hpp"

#include <algorithm>

namespace chutevane::control {

void QuorumContact::on_report(const AcceptorReport& report, std::int64_t echo_incarnation,
                              TimePoint echo_stamp) {
  if (echo_incarnation != incarnation_) return;
  Peer& peer = peers_[report.acceptor.address];
  if (echo_stamp < peer.echo) return;  // overtaken by a message over a newer connection
  peer.report = report;
  peer.echo = echo_stamp;
}

template <class Agrees>
std::optional<TimePoint> QuorumContact::newest_of_quorum(const RegisterValue& epoch_value,
                                                         const AcceptorReport& own, TimePoint now,
                                                         Agrees agrees) const {
  std::vector<TimePoint> stamps;
  for (const Acceptor& member : epoch_value.acceptors) {
    if (is_acceptor(own.acceptor, member, epoch_value.epoch)) {
      if (agrees(own)) stamps.push_back(now);
      continue;
    }
    const auto peer = peers_.find(member.address);
    if (peer == peers_.end() || !is_acceptor(peer->second.report.acceptor, member, epoch_value.epoch))
      continue;
    if (agrees(peer->second.report)) stamps.push_back(peer->second.echo);
  }
  const std::size_t quorum = quorum_size(epoch_value);
  if (stamps.size() < quorum) return std::nullopt;
  std::sort(stamps.begin(), stamps.end(), std::greater<>());
  return stamps[quorum - 1];
}

std::optional<TimePoint> QuorumContact::last_contact(const RegisterValue& epoch_value,
                                                     const AcceptorReport& own, TimePoint now) const {
  return newest_of_quorum(epoch_value, own, now, [](const AcceptorReport&) { return true; });
}

std::set<std::string> QuorumContact::members_in_contact(const RegisterValue& epoch_value,
                                                        const AcceptorReport& own, TimePoint since) const {
  std::set<std::string> out;
  for (const Acceptor& member : epoch_value.acceptors) {
    const auto peer = peers_.find(member.address);
    const bool is_peer = peer != peers_.end() && peer->second.echo >= since &&
                         is_acceptor(peer->second.report.acceptor, member, epoch_value.epoch);
    if (is_peer || is_acceptor(own.acceptor, member, epoch_value.epoch)) out.insert(member.address);
  }
  return out;
}

std::optional<TimePoint> QuorumContact::confirmed_until(const RegisterValue& epoch_value,
                                                        const AcceptorReport& own, std::int64_t known,
                                                        TimePoint now) const {
  return newest_of_quorum(epoch_value, own, now, [&](const AcceptorReport& report) {
    return report.epoch == own.epoch && report.accepted <= known;
  });
}

}  // namespace chutevane::control
