#include "control/quorum_contact.hpp"

#include <algorithm>

namespace chutevane::control {
namespace {

// Whether the report is of the very disk that the set names. The first set names addresses alone.
bool is_report_of(const AcceptorReport& report, const common::Acceptor& named) {
  if (report.acceptor.address != named.address) return false;
  return named.disk.empty() ? report.has_initial_disk : report.acceptor.disk == named.disk;
}

}  // namespace

void QuorumContact::on_report(const AcceptorReport& report, std::int64_t echo_incarnation,
                              TimePoint echo_stamp) {
  if (echo_incarnation != incarnation_) return;
  Peer& peer = peers_[report.acceptor.address];
  if (echo_stamp < peer.echo) return;  // overtaken by a message over a newer connection
  peer.report = report;
  peer.echo = echo_stamp;
}

template <class Agrees>
std::optional<TimePoint> QuorumContact::newest_of_quorum(const std::vector<common::Acceptor>& acceptors,
                                                         const AcceptorReport& own, TimePoint now,
                                                         Agrees agrees) const {
  std::vector<TimePoint> stamps;
  for (const common::Acceptor& named : acceptors) {
    if (is_report_of(own, named)) {
      if (agrees(own)) stamps.push_back(now);
      continue;
    }
    const auto peer = peers_.find(named.address);
    if (peer == peers_.end() || !is_report_of(peer->second.report, named)) continue;
    if (agrees(peer->second.report)) stamps.push_back(peer->second.echo);
  }
  const std::size_t quorum = acceptors.size() / 2 + 1;
  if (stamps.size() < quorum) return std::nullopt;
  std::sort(stamps.begin(), stamps.end(), std::greater<>());
  return stamps[quorum - 1];
}

std::optional<TimePoint> QuorumContact::last_contact(const std::vector<common::Acceptor>& acceptors,
                                                     const AcceptorReport& own, TimePoint now) const {
  return newest_of_quorum(acceptors, own, now, [](const AcceptorReport&) { return true; });
}

std::optional<TimePoint> QuorumContact::confirmed_until(const std::vector<common::Acceptor>& acceptors,
                                                        const AcceptorReport& own, std::int64_t known,
                                                        TimePoint now) const {
  return newest_of_quorum(acceptors, own, now, [&](const AcceptorReport& report) {
    return report.epoch == own.epoch && report.accepted <= known;
  });
}

}  // namespace chutevane::control
