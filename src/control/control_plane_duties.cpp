// Duties of a controller: ballots, the platform's list of endpoints, the sets of acceptors and storage nodes.
#include <algorithm>

#include "common/log.hpp"
#include "common/storage_map.hpp"
#include "control/control_plane.hpp"
#include "control/control_plane_limits.hpp"

namespace chutevane::control {
namespace {

using common::Member;

}  // namespace

void ControlPlane::request_votes(LeaderElection& election, std::int64_t term) {
  struct Count {
    std::size_t yes = 0, asked = 0, answered = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  const std::size_t needed = quorum_size(register_.epoch_value());
  const auto hear = [this, count, &election, term, needed](bool yes) {
    ++count->answered;
    count->yes += yes ? 1 : 0;
    if (count->over) return;
    if (count->yes >= needed) {
      count->over = true;
      election.on_elected(term, timers_.now());
      common::log_info("duty.won", election.role() + ", term " + std::to_string(term));
      gossip();
      if (&election == &endpoint_list_election_) read_list_now();
    } else if (count->answered == count->asked) {
      count->over = true;
      election.on_campaign_lost(timers_.now());
      campaign(election);
    }
  };
  const std::vector<common::Acceptor> voters = register_.epoch_value().acceptors;
  count->asked = voters.size();
  for (const common::Acceptor& a : voters) {
    if (a.address == address_) {
      hear(election.grant_vote(term, timers_.now()));
      continue;
    }
    common::RpcClient* const to = link(a.address);
    if (to == nullptr) {
      hear(false);
      continue;
    }
    to->call<common::VoteReply>(
        common::VoteRequest{election.role(), term, settings_.node}, vote_most,
        [hear](absl::StatusOr<common::VoteReply> got) { hear(got.ok() && got->granted); });
  }
}

void ControlPlane::campaign(LeaderElection& election) {
  const TimePoint now = timers_.now();
  if (leaving_ || register_.epoch_value().epoch == 0) return;
  if (const std::optional<Term> term = election.start_campaign(now)) return request_votes(election, *term);
  const std::optional<TimePoint> next = election.next_campaign_at();
  if (!next || *next <= now) return;
  // Not with the loop's step: those who began together would go on together.
  timers_.at(*next, [this, &election, next] {
    if (election.next_campaign_at() == next) campaign(election);
  });
}

void ControlPlane::work_duties() {
  if (leaving_) return;
  const TimePoint now = timers_.now();
  for (LeaderElection* election : {&endpoint_list_election_, &membership_election_}) {
    const bool just_won =
        now - election->elected_at() < leader_lease_duration;  // its ballots stand for the echoes
    if (election->is_leader() && !just_won && !quorum_reached(leader_lease_duration))
      election->step_down(now);
    campaign(*election);
  }
  if (membership_election_.is_leader()) {
    if (!had_roster_) {
      acceptor_planner_.restart();
      storage_planner_.restart();
    }
    keep_roster();
  }
  had_roster_ = membership_election_.is_leader();
}

void ControlPlane::read_list() {
  read_list_now();
  timers_.after(list_every, [this] { read_list(); });
}

void ControlPlane::read_list_now() {
  if (!endpoint_list_election_.is_leader() || platform_.is_fetching()) return;
  platform_.fetch_endpoints([this](std::optional<std::vector<common::EndpointEntry>> entries) {
    if (entries && endpoint_list_election_.is_leader()) list_was_read(std::move(*entries));
  });
}

void ControlPlane::list_was_read(std::vector<common::EndpointEntry> entries) {
  for (common::EndpointEntry& e : entries)
    e.slow_start_ms = e.slow_start_ms > 0 ? 1 : 0;  // falls with time: no news by itself
  const std::int64_t term = list_.term(), number = list_.number();
  if (!list_.update(make_fencing_token(endpoint_list_election_.term(), incarnation_), entries)) return;
  for (auto& [address, peer] : peers_) {
    for (const common::EndpointList& change : list_.since(term, number)) peer.link->send(change);
  }
  list_changed();
}

void ControlPlane::take_list(const common::EndpointList& told) {
  step_down_if_overtaken(told.term);
  if (list_.apply(told)) list_changed();
}

// A list that would be turned away by those who follow this one need not be read.
void ControlPlane::step_down_if_overtaken(std::int64_t told) {
  if (endpoint_list_election_.is_leader()) endpoint_list_election_.observe_fencing_token(told, incarnation_);
}

void ControlPlane::list_changed() {
  for (auto& [id, session] : sessions_) {
    if (session.first) push(id, session);
  }
}

namespace {

// Whether the roster may have to know how long a disk that is away is waited for.
bool copies_may_outlive(const common::RegisterValue& value, const std::vector<common::Member>& members) {
  return common::missing_replicas(value) > 0 ||
         std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                     [&](const common::StorageNode& c) {
                       return std::none_of(members.begin(), members.end(),
                                           [&](const common::Member& m) { return m.node == c.node; });
                     });
}

}  // namespace

// By the configuration that is chosen, which is read once for each version.
Span ControlPlane::longest_retention(const common::RegisterValue& value) {
  if (retention_version_ == value.config_version) return longest_retention_;
  common::Findings findings;
  const auto read = common::read_configuration(value.config.data, findings);
  if (!read) return longest_retention_;
  retention_version_ = value.config_version;
  longest_retention_ = Span();
  for (const common::Route& route : read->routes) {
    if (route.retained) longest_retention_ = std::max(longest_retention_, route.retention);
  }
  return longest_retention_;
}

void ControlPlane::keep_roster() {
  if (changing_roster_ || !register_.known_value() || !quorum_reached(leader_lease_duration)) return;
  const TimePoint now = timers_.now();
  const common::RegisterValue& value = *register_.known_value();
  // One whose disk fails can't vote: it is counted as gone, so that another takes its place.
  std::vector<LiveController> live;
  if (!acceptor_->is_disk_failing()) live.push_back({address_, record_.disk, record_.first, !leaving_});
  for (const auto& [address, peer] : peers_) {
    if (peer.last && !peer.last->disk_failing && now - peer.heard < peer_heard)
      live.push_back({address, peer.last->disk, peer.last->first, !peer.last->draining});
  }
  const auto next = acceptor_planner_.plan(value, live, now);
  const std::vector<common::Member> all = members();
  if (copies_may_outlive(value, all)) storage_planner_.set_longest_retention(longest_retention(value));
  const auto wanted = next ? std::nullopt : storage_planner_.plan(value, all, now);
  if (!next && !wanted) return;
  changing_roster_ = true;
  const std::int64_t number = value.number;
  register_.change(
      [number, next, wanted](const common::RegisterValue& current) -> std::optional<common::RegisterValue> {
        if (current.number != number) return std::nullopt;  // decided on another value: look again
        if (wanted) return wanted;
        common::RegisterValue out = current;
        out.next_acceptors = *next;
        return out;
      },
      Span::ms(1500),
      [this, changed = next.has_value()](absl::StatusOr<common::RegisterValue> got) {
        changing_roster_ = false;
        if (!got.ok()) return;
        announce(*got);
        common::log_info(changed ? "roster.acceptors" : "roster.storage_nodes",
                         "number " + std::to_string(got->number) + ", epoch " + std::to_string(got->epoch) +
                             ", map " + std::to_string(got->map_version) + " of " +
                             std::to_string(got->storage_nodes.size()));
        if (changed) gossip();
      });
}

}  // namespace chutevane::control
