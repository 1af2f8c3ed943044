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

void ControlPlane::ballot(Duty& duty, std::int64_t term) {
  struct Count {
    std::size_t yes = 0, asked = 0, answered = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  const std::size_t needed = majority(register_.initial());
  const auto hear = [this, count, &duty, term, needed](bool yes) {
    ++count->answered;
    count->yes += yes ? 1 : 0;
    if (count->over) return;
    if (count->yes >= needed) {
      count->over = true;
      duty.won(term, timers_.now());
      common::log_info("duty.won", duty.name() + ", term " + std::to_string(term));
      gossip();
      if (&duty == &list_duty_) read_list_now();
    } else if (count->answered == count->asked) {
      count->over = true;
      duty.lost(timers_.now());
      stand(duty);
    }
  };
  const std::vector<common::Acceptor> voters = register_.initial().acceptors;
  count->asked = voters.size();
  for (const common::Acceptor& a : voters) {
    if (a.address == address_) {
      hear(duty.vote(term, timers_.now()));
      continue;
    }
    common::RpcClient* const to = link(a.address);
    if (to == nullptr) {
      hear(false);
      continue;
    }
    to->call<common::VoteReply>(
        common::VoteRequest{duty.name(), term, settings_.node}, vote_most,
        [hear](absl::StatusOr<common::VoteReply> got) { hear(got.ok() && got->granted); });
  }
}

void ControlPlane::stand(Duty& duty) {
  const TimePoint now = timers_.now();
  std::int64_t term = 0;
  if (leaving_ || register_.initial().epoch == 0) return;
  if (duty.stand(now, term)) return ballot(duty, term);
  const TimePoint again = duty.look_again();
  // Not with the loop's step: those who began together would go on together.
  if (again > now)
    timers_.at(again, [this, &duty, again] {
      if (duty.look_again() == again) stand(duty);
    });
}

void ControlPlane::work_duties() {
  if (leaving_) return;
  const TimePoint now = timers_.now();
  for (Duty* duty : {&list_duty_, &roster_duty_}) {
    const bool just_won = now - duty->won_at() < duty_vacant_after;  // its ballots stand for the echoes
    if (duty->mine() && !just_won && !quorum_reached(duty_vacant_after)) duty->give_up(now);
    stand(*duty);
  }
  if (roster_duty_.mine()) {
    if (!had_roster_) roster_.restart();
    keep_roster();
  }
  had_roster_ = roster_duty_.mine();
}

void ControlPlane::read_list() {
  read_list_now();
  timers_.after(list_every, [this] { read_list(); });
}

void ControlPlane::read_list_now() {
  if (!list_duty_.mine() || platform_.reading()) return;
  platform_.read([this](std::optional<std::vector<common::EndpointEntry>> entries) {
    if (entries && list_duty_.mine()) list_was_read(std::move(*entries));
  });
}

void ControlPlane::list_was_read(std::vector<common::EndpointEntry> entries) {
  for (common::EndpointEntry& e : entries)
    e.slow_start_ms = e.slow_start_ms > 0 ? 1 : 0;  // falls with time: no news by itself
  const std::int64_t term = list_.term(), number = list_.number();
  if (!list_.update(told_term(list_duty_.term(), holder_), entries)) return;
  for (auto& [address, peer] : peers_) {
    for (const common::EndpointList& change : list_.changes_since(term, number)) peer.link->send(change);
  }
  list_changed();
}

void ControlPlane::take_list(const common::EndpointList& told) {
  step_down_if_overtaken(told.term);
  if (list_.apply(told)) list_changed();
}

// A list that would be turned away by those who follow this one need not be read.
void ControlPlane::step_down_if_overtaken(std::int64_t told) {
  if (list_duty_.mine()) list_duty_.learn_told(told, holder_);
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
  if (changing_roster_ || !register_.known() || !quorum_reached(duty_vacant_after)) return;
  const TimePoint now = timers_.now();
  const common::RegisterValue& value = *register_.known();
  // One whose disk fails can't vote: it is counted as gone, so that another takes its place.
  std::vector<LiveController> live;
  if (!acceptor_->disk_failing()) live.push_back({address_, record_.disk, record_.first, !leaving_});
  for (const auto& [address, peer] : peers_) {
    if (peer.last && !peer.last->disk_failing && now - peer.heard < peer_heard)
      live.push_back({address, peer.last->disk, peer.last->first, !peer.last->draining});
  }
  const auto next = roster_.acceptors(value, live, now);
  const std::vector<common::Member> all = members();
  if (copies_may_outlive(value, all)) roster_.turns_are_kept_for(longest_retention(value));
  const auto wanted = next ? std::nullopt : roster_.storage_nodes(value, all, now);
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
