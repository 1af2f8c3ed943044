#include "lab/tier/endpoint_set.hpp"

#include <algorithm>

namespace chutevane::lab::tier {
namespace {

constexpr const char* zones[] = {"north", "middle", "south"};
constexpr Span list_behind = Span::ms(800);  // the list has one that crashed for so long
constexpr Span drain_end = Span::ms(2600);   // one that drains serves on for its bound and a little longer

}  // namespace

EndpointSet::EndpointSet(net::Scheduler& scheduler, net::TimerQueue& timers, AddressOf address_of,
                         Auditor& auditor, ListStandIn& list, std::uint64_t seed, double spoilt_part)
    : scheduler_(scheduler),
      timers_(timers),
      address_of_(std::move(address_of)),
      auditor_(auditor),
      list_(list),
      seed_(seed),
      spoilt_part_(spoilt_part) {}

void EndpointSet::add(const std::string& id, bool streams) {
  EndpointSpec e;
  e.id = id;
  e.service = streams ? "words" : "tools";
  e.zone = zones[(endpoints_.size() + 1) % 3];
  e.at = address_of_(++addresses_used_);
  e.streams = streams;
  e.capacity = streams ? 5 : 16;  // few enough that turns find them full at times
  e.queue = streams ? 1 : 4;
  e.trouble = spoilt_part_;
  ++(streams ? words_ : tools_);
  list_.add(add(e));
}

EndpointStandIn& EndpointSet::add(const EndpointSpec& spec) {
  endpoints_.push_back(std::make_unique<EndpointStandIn>(scheduler_, timers_, auditor_, spec, seed_));
  return *endpoints_.back();
}

std::string EndpointSet::next_id(const EndpointStandIn& old) {
  return old.spec().streams ? "i-w" + std::to_string(++words_) : "i-t" + std::to_string(++tools_);
}

EndpointStandIn* EndpointSet::one_that_may_go(std::size_t luck) const {
  std::vector<EndpointStandIn*> open;
  for (const auto& e : endpoints_) {
    const auto others = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& o) {
      return o != e && serves(*o) && o->spec().service == e->spec().service;
    });
    if (serves(*e) && others > 0) open.push_back(e.get());
  }
  return open.empty() ? nullptr : open[luck % open.size()];
}

EndpointStandIn* EndpointSet::find(const std::string& id) const {
  const auto found =
      std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto& e) { return e->spec().id == id; });
  return found == endpoints_.end() ? nullptr : found->get();
}

std::string EndpointSet::drain(EndpointStandIn& old) {
  EndpointSpec e = old.spec();
  e.id = next_id(old);
  e.at = address_of_(++addresses_used_);
  list_.add(add(e));
  old.drain();
  timers_.after(drain_end, [this, &old] {
    list_.remove(old);
    old.end();
  });
  return e.id;
}

std::string EndpointSet::replace(EndpointStandIn& old) {
  EndpointSpec e = old.spec();
  e.id = next_id(old);
  old.end();
  EndpointStandIn& now = add(e);
  timers_.after(list_behind, [this, &old, &now] {
    list_.remove(old);
    list_.add(now);
  });
  return e.id;
}

std::string EndpointSet::lose(EndpointStandIn& old) {
  EndpointSpec e = old.spec();
  e.id = next_id(old);
  e.at = address_of_(++addresses_used_);
  old.end();
  EndpointStandIn& now = add(e);
  timers_.after(list_behind, [this, &old, &now] {
    list_.remove(old);
    list_.add(now);
  });
  return e.id;
}

}  // namespace chutevane::lab::tier
