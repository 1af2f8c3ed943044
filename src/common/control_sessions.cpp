#include "common/control_sessions.hpp"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>

#include "common/invariant.hpp"
#include "common/log.hpp"

namespace chutevane::common {
namespace {

constexpr Span heartbeat_interval = Span::ms(300);  // a controller ends a session after four missed ones
constexpr Span heartbeat_timeout = Span::ms(1000);  // for the controller's heartbeats
// Limit on the age of a controller's confirmed knowledge. An echo is delayed by up to one heartbeat interval
// of each side, and the echoes between controllers that it depends on by the same again: 1.1 s plus network
// delays. Half as much again is allowed for delayed turns of the event loop.
constexpr Span max_knowledge_age = Span::ms(1700);
constexpr std::size_t max_sessions = 3;  // one may fail, and one may be partitioned without being detected

std::uint64_t hash_of_pair(const std::string& a, const std::string& b) {
  return XXH3_64bits_withSeed(a.data(), a.size(), XXH3_64bits(b.data(), b.size()));
}

bool contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

}  // namespace

std::string internal_control_address(const sockaddr_in& control, std::uint16_t port) {
  sockaddr_in out = control;
  out.sin_port = htons(port);
  return net::text_of(out);
}

ControlSessions::ControlSessions(net::Scheduler& scheduler, net::TimerQueue& timers,
                                 const ProcessSettings& settings, Member self)
    : scheduler_(scheduler),
      timers_(timers),
      port_(static_cast<std::uint16_t>(settings.first_port + control_plane_port)),
      self_(std::move(self)) {
  reload(settings);
  timers_.after(Span::ms(1), [this] { tick(); });
}

void ControlSessions::reload(const ProcessSettings& settings) {
  seeds_.clear();
  for (const sockaddr_in& seed : settings.seeds) seeds_.push_back(internal_control_address(seed, port_));
}

std::size_t ControlSessions::usable_count() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [&](const auto& one) {
    return one.second.link->up() && usable(one.second);
  }));
}

Span ControlSessions::knowledge_age() const {
  TimePoint newest;
  for (const auto& [address, session] : sessions_) newest = std::max(newest, session.confirmed_at);
  return timers_.now() - newest;
}

bool ControlSessions::usable(const Session& session) const {
  const TimePoint now = timers_.now();
  check_invariant(Invariant::confirmed_value_is_held, session.confirmed_number <= values_.number(), [&] {
    return std::to_string(session.confirmed_number) + " confirmed, " + std::to_string(values_.number()) +
           " held";
  });
  return now - session.heartbeat_at < heartbeat_timeout && now - session.confirmed_at < max_knowledge_age;
}

bool ControlSessions::may_become_usable(const Session& session) const {
  return usable(session) || timers_.now() - session.opened_at < heartbeat_timeout;
}

// Returns the known controllers, or the seeds if none are known, ordered by their hash with this process
// (rendezvous hashing).
std::vector<std::string> ControlSessions::ranked_controllers() const {
  std::vector<std::string> out = controllers_.empty() ? seeds_ : controllers_;
  if (usable_count() == 0) {  // all known controllers may be gone
    for (const std::string& seed : seeds_)
      if (!contains(out, seed)) out.push_back(seed);
  }
  std::sort(out.begin(), out.end(), [&](const std::string& a, const std::string& b) {
    return hash_of_pair(a, self_.node) < hash_of_pair(b, self_.node);
  });
  return out;
}

// Skips controllers that do not respond or have lost contact with their majority.
void ControlSessions::choose_controllers() {
  const std::vector<std::string> ranked = ranked_controllers();
  std::size_t chosen = 0;
  if (!primary_stays()) primary_.clear();
  for (const std::string& address : ranked) {
    if (chosen >= max_sessions) break;
    const auto found = sessions_.find(address);
    if (found == sessions_.end()) {
      const auto to = net::parse_address(address);
      if (!to) continue;
      open_session(address, *to);
      ++chosen;
    } else if (may_become_usable(found->second)) {
      if (primary_.empty() && found->second.link->up()) primary_ = address;
      ++chosen;
    }
  }
  close_unneeded_sessions(ranked);
}

void ControlSessions::open_session(const std::string& address, const sockaddr_in& to) {
  Session& session = sessions_[address];
  session.opened_at = timers_.now();
  session.link = std::make_unique<RpcClient>(scheduler_, timers_, to, hash_of_pair(address, self_.node));
  session.link->on_up([this, address] { on_session_up(address); });
  session.link->on_message(
      [this, address](std::uint8_t kind, std::string_view record) { on_message(address, kind, record); });
}

void ControlSessions::on_session_up(const std::string& address) {
  // The link of a closed session may still connect before it is destroyed.
  const auto found = sessions_.find(address);
  if (found == sessions_.end()) return;
  found->second.rejected_push = 0;
  if (primary_.empty()) primary_ = address;  // so that changes are pushed before the next tick
  send_heartbeat(found->second);
}

void ControlSessions::close_unneeded_sessions(const std::vector<std::string>& wanted) {
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (contains(wanted, it->first) || may_become_usable(it->second)) {
      ++it;
    } else {
      closed_links_.push_back(std::move(it->second.link));
      it = sessions_.erase(it);
    }
  }
}

// The primary is kept as long as possible: another session would send again what is in flight on this one.
bool ControlSessions::primary_stays() const {
  const auto found = sessions_.find(primary_);
  return found != sessions_.end() && found->second.link->up() && may_become_usable(found->second);
}

void ControlSessions::tick() {
  closed_links_.clear();
  for (auto& [address, session] : sessions_) {
    if (session.link->up() && session.link->time_since_receive() > heartbeat_timeout)
      session.link->reconnect();
  }
  choose_controllers();
  send_heartbeats();
  timers_.after(heartbeat_interval, [this] { tick(); });
}

void ControlSessions::send_heartbeats() {
  for (auto& [address, session] : sessions_) send_heartbeat(session);
}

void ControlSessions::send_heartbeat(Session& session) {
  MemberHeartbeat heartbeat;
  heartbeat.member = self_;
  heartbeat.member.number = values_.number();
  heartbeat.list_term = endpoints_.term();
  heartbeat.list_number = endpoints_.number();
  heartbeat.primary = primary_ == net::text_of(session.link->to());
  heartbeat.closing = closing_;
  heartbeat.stamp = (timers_.now() - TimePoint()).as_us();
  heartbeat.rejected_push = session.rejected_push > values_.number() ? session.rejected_push : 0;
  session.link->send(heartbeat);
}

void ControlSessions::on_message(const std::string& address, std::uint8_t kind, std::string_view record) {
  const auto found = sessions_.find(address);
  if (found == sessions_.end()) return;
  if (kind == ControlHeartbeat::kind) {
    ControlHeartbeat heartbeat;
    if (decode(record, heartbeat)) on_heartbeat(found->second, heartbeat);
  } else if (kind == ValuePush::kind) {
    ValuePush push;
    if (decode(record, push)) on_push(found->second, push);
  } else if (kind == EndpointList::kind) {
    EndpointList list;
    if (decode(record, list) && endpoints_.apply(list) && on_endpoints_) on_endpoints_(endpoints_);
  }
}

void ControlSessions::on_heartbeat(Session& session, const ControlHeartbeat& heartbeat) {
  session.heartbeat_at = timers_.now();
  const TimePoint confirmed_at = TimePoint() + Span::us(heartbeat.echo_stamp) -
                                 Span::ms(static_cast<double>(heartbeat.knowledge_age_ms));
  // A heartbeat confirms nothing if its value has not arrived or could not be applied.
  if (heartbeat.number <= values_.number()) {
    session.confirmed_at = std::max(session.confirmed_at, confirmed_at);
    session.confirmed_number = std::max(session.confirmed_number, heartbeat.number);
  }
  if (!heartbeat.controllers.empty()) controllers_ = heartbeat.controllers;
  if (heartbeat.edge_count > 0) edge_count_ = static_cast<std::size_t>(heartbeat.edge_count);
}

void ControlSessions::on_push(Session& session, const ValuePush& push) {
  const std::int64_t number = push.number, before = values_.number();
  switch (values_.receive(push)) {
    case ValueReceiver::Result::newer:
      check_invariant(Invariant::value_number_rises, values_.number() > before,
                      [&] { return std::to_string(values_.number()) + " after " + std::to_string(before); });
      if (on_value_) on_value_(*values_.value());
      break;
    case ValueReceiver::Result::stale: break;
    case ValueReceiver::Result::rejected:
      log_warning("value.refused",
                  "value " + std::to_string(number) + " could not be applied: requesting the full value");
      session.rejected_push = std::max(session.rejected_push, number);
  }
  send_heartbeats();  // acknowledges the value, so that other controllers do not push it as well
}

}  // namespace chutevane::common
