// Sessions of edges and storage nodes with a controller: members, pushed values, heartbeats.
#include <algorithm>

#include "common/log.hpp"
#include "common/storage_map.hpp"
#include "control/control_plane.hpp"
#include "control/control_plane_limits.hpp"

namespace chutevane::control {
namespace {

using common::Member;

}  // namespace

void ControlPlane::on_hello(common::RpcServer::Connection& connection, const common::MemberHeartbeat& hello) {
  if (hello.closing) {
    sessions_.erase(connection.id());
    return;
  }
  const bool fresh = !sessions_.contains(connection.id());
  Session& session = sessions_[connection.id()];
  if (fresh) session.since = timers_.now();
  session.member = hello.member;
  session.heard = timers_.now();
  session.stamp = hello.stamp;
  session.first = hello.primary;
  session.values.acknowledged(hello.member.number, hello.rejected_push);
  // What was sent since this word was written stays sent.
  if (std::pair(hello.list_term, hello.list_number) > std::pair(session.list_term, session.list_number)) {
    session.list_term = hello.list_term;
    session.list_number = hello.list_number;
  }
  endpoint_list_election_.observe_fencing_token(hello.list_term, incarnation_);
  followed_list_term_ = std::max(followed_list_term_, hello.list_term);
  if (fresh || session.first) push(connection.id(), session);
  if (fresh) {
    common::ControlHeartbeat word;
    word.knowledge_age_ms = static_cast<std::int64_t>(fresh_age().as_ms());
    word.number = register_.known_value() ? register_.known_value()->number : 0;
    word.echo_stamp = hello.stamp;
    word.controllers = controller_addresses();
    connection.send(word);
  }
  acknowledged();
}

void ControlPlane::push(std::uint64_t id, Session& session) {
  common::RpcServer::Connection* const connection = rpc_server_.find(id);
  if (connection == nullptr) return;
  // A whole value is large, and each member has several sessions: it goes down the first alone, unless that
  // one does not bring it.
  const bool leave_to_first = !session.first && timers_.now() - session.since < whole_elsewhere &&
                              session.values.needs_full_value(pushed_);
  if (!leave_to_first) {
    if (const std::string* const record = session.values.next(pushed_, connection->unsent()))
      connection->send_record(common::ValuePush::kind, *record);
  }
  if (!list_.newer_than(session.list_term, session.list_number)) return;
  for (const common::EndpointList& change : list_.since(session.list_term, session.list_number))
    connection->send(change);
  session.list_term = list_.term();
  session.list_number = list_.number();
}

void ControlPlane::heartbeat() {
  common::ControlHeartbeat word;
  word.knowledge_age_ms = static_cast<std::int64_t>(fresh_age().as_ms());
  word.number = register_.known_value() ? register_.known_value()->number : 0;
  const TimePoint now = timers_.now();
  const std::vector<Member> all = members();
  word.edge_count = std::count_if(all.begin(), all.end(), [](const Member& m) { return m.plane == "edge"; });
  const std::vector<std::string> controllers = controller_addresses();
  if (controllers != told_controllers_ || now - told_since_ > full_every) {
    word.controllers = told_controllers_ = controllers;
    told_since_ = now;
  }
  std::vector<std::uint64_t> silent;
  for (auto& [id, session] : sessions_) {
    common::RpcServer::Connection* const connection = rpc_server_.find(id);
    if (connection == nullptr || now - session.heard > session_heard) {
      silent.push_back(id);
      continue;
    }
    push(id, session);  // before the heartbeat, which confirms what has come
    word.echo_stamp = session.stamp;
    connection->send(word);
  }
  for (const std::uint64_t id : silent) {
    sessions_.erase(id);
    if (common::RpcServer::Connection* const connection = rpc_server_.find(id)) connection->close();
  }
  if (!silent.empty()) acknowledged();
}

void ControlPlane::acknowledged() {
  const TimePoint now = timers_.now();
  while (!waiting_.empty()) {
    const Waiting& first = waiting_.front();
    const bool all = std::all_of(sessions_.begin(), sessions_.end(), [&](const auto& one) {
      return one.second.member.plane != "edge" || one.second.member.number >= first.number;
    });
    if (!all && now < first.until) return;
    const auto answer = first.answer;
    waiting_.pop_front();
    answer();
  }
}

void ControlPlane::notify_when_acknowledged(std::int64_t number, std::function<void()> then) {
  waiting_.push_back({number, timers_.now() + acks_most, std::move(then)});
  timers_.after(acks_most + Span::ms(1), [this] { acknowledged(); });
  acknowledged();
}

bool ControlPlane::all_peers_heard() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    return one.second.last && timers_.now() - one.second.heard < peer_heard;
  });
}

// A member's session is told of by a peer's next full word; one that had to look for another control machine
// has found it by then too.
bool ControlPlane::are_members_complete() const {
  return quorum_reached(peer_heard) && all_peers_heard() &&
         timers_.now() - in_contact_since_ >= members_settled_after;
}

ControlStatus ControlPlane::status() const {
  ControlStatus out{settings_.node, fresh_age(), {}, list_.entries().size(), timers_.now()};
  for (const LeaderElection* election : {&endpoint_list_election_, &membership_election_}) {
    if (election->is_leader()) out.led_roles.push_back({election->role(), election->term()});
  }
  return out;
}

void ControlPlane::write_metrics(common::MetricsWriter& out) {
  const auto gauge = [&](std::string_view name, std::string_view unit, std::string_view help, double value) {
    out.gauge(name, unit, help, value);
  };
  const std::optional<common::RegisterValue>& known = register_.known_value();
  const auto number = [](std::int64_t value) { return static_cast<double>(value); };
  operator_api_.write_metrics(out);
  gauge("chutevane_register_number", "", "Number of the newest value known to be chosen.",
        known ? number(known->number) : 0);
  gauge("chutevane_register_epoch", "", "Epoch of the newest set of acceptors known.",
        number(register_.epoch_value().epoch));
  gauge("chutevane_register_ballot_round", "",
        "Round under which the known value was accepted; 0: not known.",
        number(register_.known_ballot().round));
  gauge("chutevane_configuration_version", "", "Newest configuration known to be chosen.",
        known ? number(known->config_version) : 0);
  gauge("chutevane_storage_map", "", "Number of the newest map of storage nodes known to be chosen.",
        known ? number(known->map_version) : 0);
  gauge("chutevane_storage_nodes", "", "Storage nodes in that map.",
        known ? static_cast<double>(known->storage_nodes.size()) : 0);
  gauge("chutevane_storage_copies_missing", "",
        "Lost disks and absent storage nodes that are not made up for yet.",
        known ? static_cast<double>(common::missing_replicas(*known)) : 0);
  gauge("chutevane_knowledge_age_seconds", "seconds",
        "Since a quorum of acceptors last proved that nothing newer was chosen.", fresh_age().as_ms() / 1000);
  gauge("chutevane_control_peers", "", "Other controllers known.", static_cast<double>(peers_.size()));
  gauge("chutevane_control_peers_heard", "", "Other controllers heard of lately.",
        static_cast<double>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& one) {
          return one.second.last && timers_.now() - one.second.heard < peer_heard;
        })));
  gauge("chutevane_sessions", "", "Sessions of edges and storage nodes here.",
        static_cast<double>(sessions_.size()));
  gauge("chutevane_endpoints", "", "Endpoints on the list held here.",
        static_cast<double>(list_.entries().size()));
  out.begin(common::MetricsWriter::Type::gauge, "chutevane_duty_held", "",
            "1 while this controller holds the duty.");
  for (const LeaderElection* election : {&endpoint_list_election_, &membership_election_})
    out.sample(election->is_leader() ? 1 : 0, {{"duty", election->role()}});
  gauge("chutevane_acceptor_voting", "", "1 while this controller's disk votes.",
        acceptor_->is_voting() ? 1 : 0);
  gauge("chutevane_disk_failing", "", "1 while the disk takes nothing.", disk_health_.is_healthy() ? 0 : 1);
}

std::vector<Member> ControlPlane::members() const {
  std::map<std::string, Member> all;
  const auto take = [&](const Member& m) {
    Member& at = all[m.node];
    if (at.node.empty() || at.disk != m.disk || at.complete_map_version < m.complete_map_version) at = m;
  };
  for (const auto& [address, peer] : peers_) {
    if (!peer.last || timers_.now() - peer.heard > peer_heard) continue;
    for (const Member& m : peer.last->members) take(m);
  }
  for (const auto& [id, session] : sessions_) take(session.member);
  std::vector<Member> out;
  for (const auto& [node, m] : all) out.push_back(m);
  return out;
}

}  // namespace chutevane::control
