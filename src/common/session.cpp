#include "common/session.hpp"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>

#include "common/invariant.hpp"
#include "common/log.hpp"

namespace chutevane::common {
namespace {

constexpr Span heartbeat_every = Span::ms(300);  // a session that is not heard of for four of these is over
constexpr Span silent_most = Span::ms(1000);     // without a heartbeat
// Age of what a controller is known to know. An echo is up to a heartbeat and a Hello old, the echoes that it
// rests on at the controller as much again: 1.1 s and the ways between them; half of it is kept for late
// turns.
constexpr Span knowledge_most = Span::ms(1700);
constexpr std::size_t ways_most = 3;  // sessions: one may be lost, and one be cut off unseen

std::uint64_t mixed(const std::string& a, const std::string& b) {
  return XXH3_64bits_withSeed(a.data(), a.size(), XXH3_64bits(b.data(), b.size()));
}

}  // namespace

std::string inner_address(const sockaddr_in& control, std::uint16_t port) {
  sockaddr_in out = control;
  out.sin_port = htons(port);
  return net::text_of(out);
}

Sessions::Sessions(net::Scheduler& scheduler, net::TimerQueue& later, const ProcessSettings& settings,
                   Member self)
    : scheduler_(scheduler),
      timers_(later),
      port_(static_cast<std::uint16_t>(settings.first_port + control_plane_port)),
      self_(std::move(self)) {
  reread(settings);
  timers_.after(Span::ms(1), [this] { tick(); });
}

void Sessions::reread(const ProcessSettings& settings) {
  seeds_.clear();
  for (const sockaddr_in& seed : settings.seeds) seeds_.push_back(inner_address(seed, port_));
}

std::size_t Sessions::standing() const {
  return static_cast<std::size_t>(std::count_if(ways_.begin(), ways_.end(), [&](const auto& one) {
    return one.second.link->up() && usable(one.second);
  }));
}

Span Sessions::knowledge_age() const {
  TimePoint newest;
  for (const auto& [address, way] : ways_) newest = std::max(newest, way.confirmed);
  return timers_.now() - newest;
}

bool Sessions::usable(const Way& way) const {
  const TimePoint now = timers_.now();
  check_invariant(Invariant::confirmed_value_is_held, way.confirmed_number <= values_.number(), [&] {
    return std::to_string(way.confirmed_number) + " confirmed, " + std::to_string(values_.number()) + " held";
  });
  return now - way.heard < silent_most && now - way.confirmed < knowledge_most;
}

bool Sessions::may_become_usable(const Way& way) const {
  return usable(way) || timers_.now() - way.since < silent_most;
}

// The control sidecars that hash nearest to this one, of those that are known; seeds while none are. One that
// is silent, or has lost its majority, is passed over for the next.
void Sessions::choose() {
  std::vector<std::string> known = controllers_.empty() ? seeds_ : controllers_;
  if (standing() == 0) {  // what was known may be gone: the settings' seeds too
    for (const std::string& seed : seeds_)
      if (std::find(known.begin(), known.end(), seed) == known.end()) known.push_back(seed);
  }
  std::sort(known.begin(), known.end(), [&](const std::string& a, const std::string& b) {
    return mixed(a, self_.node) < mixed(b, self_.node);
  });
  const TimePoint now = timers_.now();
  std::size_t good = 0;
  if (!first_stays()) first_.clear();
  for (const std::string& address : known) {
    if (good >= ways_most) break;
    const auto found = ways_.find(address);
    if (found == ways_.end()) {
      const auto to = net::parse_address(address);
      if (!to) continue;
      Way& way = ways_[address];
      way.since = now;
      way.link = std::make_unique<RpcClient>(scheduler_, timers_, *to, mixed(address, self_.node));
      way.link->on_up([this, address] {
        // One that was parted with may come up all the same before it is destroyed.
        const auto at = ways_.find(address);
        if (at == ways_.end()) return;
        at->second.refused = 0;
        if (first_.empty()) first_ = address;  // what is new need not wait for the next look
        tell(at->second);
      });
      way.link->on_word(
          [this, address](std::uint8_t kind, std::string_view record) { word(address, kind, record); });
      ++good;
    } else if (may_become_usable(found->second)) {
      if (first_.empty() && found->second.link->up()) first_ = address;
      ++good;
    }
  }
  for (auto it = ways_.begin(); it != ways_.end();) {
    const bool wanted = std::find(known.begin(), known.end(), it->first) != known.end();
    if (wanted || may_become_usable(it->second)) {
      ++it;
    } else {
      leaving_.push_back(std::move(it->second.link));
      it = ways_.erase(it);
    }
  }
}

// What is on its way down it would be sent anew down another.
bool Sessions::first_stays() const {
  const auto way = ways_.find(first_);
  return way != ways_.end() && way->second.link->up() && may_become_usable(way->second);
}

void Sessions::tick() {
  leaving_.clear();
  for (auto& [address, way] : ways_) {
    if (way.link->up() && way.link->silent() > silent_most) way.link->restart();
  }
  choose();
  tell_all();
  timers_.after(heartbeat_every, [this] { tick(); });
}

void Sessions::tell_all() {
  for (auto& [address, way] : ways_) tell(way);
}

void Sessions::tell(Way& way) {
  Hello hello;
  hello.member = self_;
  hello.member.number = values_.number();
  hello.list_term = list_.term();
  hello.list_number = list_.number();
  hello.first = first_ == net::text_of(way.link->to());
  hello.ending = ending_;
  hello.stamp = (timers_.now() - TimePoint()).as_us();
  hello.refused = way.refused > values_.number() ? way.refused : 0;
  way.link->tell(hello);
}

void Sessions::word(const std::string& address, std::uint8_t kind, std::string_view record) {
  const auto way = ways_.find(address);
  if (way == ways_.end()) return;
  if (kind == Heartbeat::kind) {
    Heartbeat heartbeat;
    if (!decode(record, heartbeat)) return;
    way->second.heard = timers_.now();
    const TimePoint confirmed =
        TimePoint() + Span::us(heartbeat.echo_stamp) - Span::ms(static_cast<double>(heartbeat.fresh_ms));
    // One whose newest value has not come, was held back or could not be applied confirms nothing.
    if (heartbeat.number <= values_.number()) {
      way->second.confirmed = std::max(way->second.confirmed, confirmed);
      way->second.confirmed_number = std::max(way->second.confirmed_number, heartbeat.number);
    }
    if (!heartbeat.controllers.empty()) controllers_ = heartbeat.controllers;
    if (heartbeat.edges > 0) edges_ = static_cast<std::size_t>(heartbeat.edges);
  } else if (kind == Push::kind) {
    Push push;
    if (!decode(record, push)) return;
    pushed(way->second, std::move(push));
  } else if (kind == EndpointList::kind) {
    EndpointList list;
    if (!decode(record, list) || !list_.apply(list)) return;
    if (told_list_) told_list_(list_);
  }
}

void Sessions::pushed(Way& way, Push push) {
  const std::int64_t number = push.number, before = values_.number();
  switch (values_.take(std::move(push))) {
    case ValueReceiver::Came::newer:
      check_invariant(Invariant::value_number_rises, values_.number() > before,
                      [&] { return std::to_string(values_.number()) + " after " + std::to_string(before); });
      if (told_value_) told_value_(*values_.value());
      break;
    case ValueReceiver::Came::old: break;
    case ValueReceiver::Came::refused:
      log_warning("value.refused", "number " + std::to_string(number) + ": asked for whole");
      way.refused = std::max(way.refused, number);
  }
  tell_all();  // the acknowledgement; who has not sent it yet need not
}

}  // namespace chutevane::common
