#include "lab/auditor.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace chutevane::lab {
namespace {

constexpr std::size_t breaches_kept = 100;
constexpr Span kept_after = Span::ms(10000);  // a call's end: what comes for it later is still told as such
constexpr double cold_cores_least = 0.05;     // of a machine: a budget is never nothing

std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string text(const char* format, ...) {
  char room[256];
  va_list args;
  va_start(args, format);
  std::vsnprintf(room, sizeof room, format, args);
  va_end(args);
  return room;
}

}  // namespace

Auditor::Auditor(const RulesSpec& rules, std::vector<TrackSpec> tracks, bool copies_allowed)
    : rules_(rules), tracks_(std::move(tracks)), copies_allowed_(copies_allowed) {
  for (const TrackSpec& t : tracks_) longest_ = std::max({longest_, t.client_timeout, t.remembered});
}

void Auditor::breach(int rule, CallKey call, TimePoint at, std::string what) {
  ++breach_count_;
  if (breaches_.size() < breaches_kept) breaches_.push_back({rule, call, at, std::move(what)});
}

std::string Auditor::name_of(EndpointKey endpoint) const { return "endpoint " + std::to_string(endpoint); }

// --- Callers ---------------------------------------------------------------------------------------

void Auditor::asked(const Ask& ask) {
  Call& c = calls_[ask.call];
  c.ask = ask;
  c.excused = doubts_[ask.sidecar] > 0;
  order_.push_back(ask.call);
  dues_.emplace(ask.sent + ask.timeout + rules_.wait_most(), ask.call);
  last_call_ = std::max(last_call_, ask.call);
  if (ask.key != 0 && tracks_[ask.track].in_turn) turns_[{ask.sidecar, ask.key}].push_back(ask.call);
  if (rules_.resend_span > Span()) taken_[ask.sidecar].calls.push_back(ask.sent);
}

void Auditor::moved(CallKey call, std::size_t sidecar) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  Ask& ask = found->second.ask;
  if (ask.key != 0 && tracks_[ask.track].in_turn) {
    std::erase(turns_[{ask.sidecar, ask.key}], call);
    turns_[{sidecar, ask.key}].push_back(call);
  }
  ask.sidecar = sidecar;
  if (rules_.resend_span > Span()) taken_[sidecar].calls.push_back(ask.sent);
  if (doubts_[sidecar] > 0) found->second.excused = true;
}

void Auditor::answered(CallKey call, Final how, bool own, TimePoint at) {
  const auto found = calls_.find(call);
  if (found == calls_.end())
    return breach(1, call, at, "an answer to a call that nobody asked, or that is long over");
  Call& c = found->second;
  if (c.answered) return breach(1, call, at, "a second final answer");
  c.answered = true;
  c.how = how;
  c.answered_at = at;
  const Span took = at - c.ask.sent;
  if (took > c.ask.timeout + rules_.wait_most() && !c.excused)
    breach(1, call, at, text("answered after %.1f ms of %.1f", took.as_ms(), c.ask.timeout.as_ms()));
  if (how == Final::done && !own) breach(1, call, at, "served with a body that no endpoint made for it");
  if (how != Final::rejected || tracks_[c.ask.track].effect == TrackEffect::replayable) return;
  for (const Dispatch& d : c.dispatches) {
    if (d.turned_away || d.last_byte > at) continue;
    // A referenced call may be tried again by its reference: only a single effect makes rejecting a promise.
    if (tracks_[c.ask.track].effect == TrackEffect::single_use)
      breach(2, call, at,
             "rejected, though " + name_of(d.endpoint) + " had it whole since " +
                 text("%.1f ms", (at - d.last_byte).as_ms()) + (d.ran ? " and ran it" : ""));
  }
}

void Auditor::answered_again(CallKey call, TimePoint at) {
  breach(1, call, at, "more on its connection than its one answer");
}

void Auditor::excused(CallKey call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) found->second.excused = true;
}

void Auditor::doubt(std::size_t sidecar, bool begins) {
  doubts_[sidecar] += begins ? 1 : -1;
  excuse_open(sidecar);
}

void Auditor::excuse_open(std::size_t sidecar) {
  for (auto& [key, c] : calls_) {
    if (c.ask.sidecar == sidecar && !c.answered) c.excused = true;
  }
}

void Auditor::sidecar_killed(std::size_t sidecar, TimePoint at) {
  for (auto& [key, c] : calls_) {
    if (c.ask.sidecar == sidecar && !c.answered && c.ask.sent <= at) c.excused = true;
  }
}

// --- Endpoints -------------------------------------------------------------------------------------

void Auditor::endpoint_up(const Life& life) { endpoints_[life.endpoint].life = life; }

std::uint64_t Auditor::dispatched(CallKey call, EndpointKey endpoint, TimePoint first_byte,
                                  TimePoint last_byte) {
  const std::uint64_t id = ++next_dispatch_;
  if (counts_only_) return id;
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    breach(1, call, last_byte,
           call > last_call_ || call == 0 ? "a dispatch of a call that nobody asked"
                                          : "a dispatch of a call that is long over");
    return id;
  }
  Call& c = found->second;
  // In the order in which they were sent: over a way of many lengths a later one may arrive first.
  const auto sent_later = [&](const Dispatch& d) { return d.last_byte > last_byte; };
  auto place = std::find_if(c.dispatches.begin(), c.dispatches.end(), sent_later);
  place = c.dispatches.insert(place, {id, endpoint, first_byte, last_byte, TimePoint::never(), false, false});
  for (auto later = place + 1; later != c.dispatches.end(); ++later)
    to_judge_.push_back({call, later->id, last_byte + rules_.slack});
  dispatch_call_[id] = call;
  if (c.answered && last_byte > c.answered_at + rules_.slack)
    breach(1, call, last_byte,
           text("sent to endpoint %u %.1f ms after its final answer", endpoint,
                (last_byte - c.answered_at).as_ms()));
  Endpoint& e = endpoints_[endpoint];
  const std::size_t sidecar = c.ask.sidecar;
  const auto told = e.told.find(sidecar);
  if (told != e.told.end() && first_byte > told->second + rules_.drain_grace + rules_.slack)
    breach(3, call, first_byte,
           text("sent to endpoint %u %.1f ms after sidecar %zu was told that it takes nothing new", endpoint,
                (first_byte - told->second).as_ms(), sidecar));
  judge_cold(e, call, last_byte);
  if (c.dispatches.size() > 1 && rules_.resend_span > Span()) judge_budget(sidecar, call, last_byte);
  if (c.dispatches.size() == 1 && c.ask.key != 0 && tracks_[c.ask.track].in_turn)
    to_judge_.push_back({call, id, last_byte + rules_.slack});
  // Judged a moment later: how earlier dispatches ended may lie in another connection's bytes of this turn.
  if (c.dispatches.size() > 1) to_judge_.push_back({call, id, last_byte + rules_.slack});
  return id;
}

// Rule 6. The edges of the span are given to the sidecar, and calls that it may not have taken yet.
void Auditor::judge_budget(std::size_t sidecar, CallKey call, TimePoint at) {
  Taken& t = taken_[sidecar];
  if (at < uncounted_until_) return t.again.clear();
  t.again.push_back(at);
  while (at - t.again.front() >= rules_.resend_span - rules_.wait_most()) t.again.pop_front();
  while (!t.calls.empty() && at - t.calls.front() > rules_.resend_span + rules_.wait_most())
    t.calls.pop_front();
  const double most = rules_.budget_free + rules_.resend_ratio * static_cast<double>(t.calls.size());
  if (static_cast<double>(t.again.size()) > most)
    breach(6, call, at,
           text("%zu dispatches beyond a first by sidecar %zu in its span, where %zu calls taken allow %.2f",
                t.again.size(), sidecar, t.calls.size(), most));
}

// Rule 5: none of a key goes out beside another, nor before one that was taken earlier. What a
// key's rest hides is not seen from here: an endpoint can't tell a time-out from an answer that was read.
void Auditor::judge_turn(const Call& c, const Dispatch& d) {
  for (const CallKey key : turns_[{c.ask.sidecar, c.ask.key}]) {
    const auto found = calls_.find(key);
    if (found == calls_.end() || key == c.ask.call || found->second.excused) continue;
    const Call& other = found->second;
    const auto beside = [&](const Dispatch& o) {
      return o.last_byte <= d.last_byte && o.over_at > d.last_byte + rules_.slack;
    };
    if (std::any_of(other.dispatches.begin(), other.dispatches.end(), beside))
      breach(5, c.ask.call, d.last_byte,
             text("sent while call %llu of its key was out", (unsigned long long)key));
    // One that has not gone out by now may never do so; one that goes out now was passed by those before.
    const bool passed = !other.dispatches.empty() && c.dispatches.front().id == d.id &&
                        other.dispatches.front().last_byte + rules_.slack < d.last_byte;
    if (passed && d.last_byte >= uncounted_until_ && c.ask.sent + rules_.wait_most() < other.ask.sent)
      breach(5, c.ask.call, d.last_byte,
             text("sent after call %llu, taken %.1f ms later with its key", (unsigned long long)key,
                  (other.ask.sent - c.ask.sent).as_ms()));
  }
}

// Rule 4: what a cold endpoint is sent within any window stays under a multiple of what it can do in it.
void Auditor::judge_cold(Endpoint& e, CallKey call, TimePoint at) {
  const Life& life = e.life;
  if (life.came_up <= TimePoint() || at - life.came_up >= rules_.warm_after) {
    e.arrivals.clear();
    return;
  }
  e.arrivals.push_back(at);
  while (!e.arrivals.empty() && at - e.arrivals.front() > rules_.fall_window) e.arrivals.pop_front();
  const double age = std::max(0.0, (at - life.came_up) / rules_.warm_after);
  const double warmth = std::max(cold_cores_least, rules_.cold_share + (1.0 - rules_.cold_share) * age);
  const double budget = rules_.fall_multiple * life.cores * warmth * rules_.fall_window.as_ms();
  const double used = static_cast<double>(e.arrivals.size()) * life.mean_work_ms;
  most_cold_part_ = std::max(most_cold_part_, used / budget);
  if (used > budget)
    breach(4, call, at,
           text("endpoint %u, up for %.0f ms, was sent %.0f ms of work within %.0f ms; it falls at %.0f",
                life.endpoint, (at - life.came_up).as_ms(), used, rules_.fall_window.as_ms(), budget));
}

Auditor::Dispatch* Auditor::find(std::uint64_t dispatch, Call** call) {
  const auto key = dispatch_call_.find(dispatch);
  if (key == dispatch_call_.end()) return nullptr;
  Call& c = calls_.at(key->second);
  if (call != nullptr) *call = &c;
  for (Dispatch& d : c.dispatches) {
    if (d.id == dispatch) return &d;
  }
  return nullptr;
}

void Auditor::ran(std::uint64_t dispatch, TimePoint at) {
  Call* c = nullptr;
  Dispatch* const d = find(dispatch, &c);
  ++effects_;
  if (d == nullptr) return;
  d->ran = true;
  if (tracks_[c->ask.track].effect == TrackEffect::replayable) return;
  const int times = ++c->effects;
  if (tracks_[c->ask.track].effect == TrackEffect::single_use && c->answered && c->how == Final::rejected)
    breach(2, c->ask.call, at,
           text("single-use, ran at endpoint %u %.1f ms after it was rejected", d->endpoint,
                (at - c->answered_at).as_ms()));
  if (times > 1)
    breach(2, c->ask.call, at,
           text("its effect took place %d times, the last at endpoint %u", times, d->endpoint));
}

void Auditor::turned_away(std::uint64_t dispatch, TimePoint at) {
  if (Dispatch* d = find(dispatch)) {
    d->turned_away = true;
    d->over_at = std::min(d->over_at, at);
  }
}

void Auditor::over(std::uint64_t dispatch, TimePoint at) {
  if (Dispatch* d = find(dispatch)) d->over_at = std::min(d->over_at, at);
}

void Auditor::told(std::size_t sidecar, EndpointKey endpoint, TimePoint at) {
  endpoints_[endpoint].told.try_emplace(sidecar, at);
}

void Auditor::judge(const Sent& sent) {
  const auto found = calls_.find(sent.call);
  if (found == calls_.end()) return;
  const Call& c = found->second;
  const auto same = [&](const Dispatch& d) { return d.id == sent.id; };
  const auto at = std::find_if(c.dispatches.begin(), c.dispatches.end(), same);
  if (at == c.dispatches.end()) return;
  if (c.ask.key != 0 && tracks_[c.ask.track].in_turn) judge_turn(c, *at);
  for (auto before = c.dispatches.begin(); before != at; ++before) {
    if (!copies_allowed_ && before->over_at > at->last_byte + rules_.slack)
      breach(
          2, sent.call, at->last_byte,
          text("sent to endpoint %u while it was still out at endpoint %u", at->endpoint, before->endpoint));
    if (!before->turned_away) judge_effects(c, *at, *before);
  }
}

// `before` came whole and may have run.
void Auditor::judge_effects(const Call& c, const Dispatch& d, const Dispatch& before) {
  const TrackSpec& track = tracks_[c.ask.track];
  if (track.effect == TrackEffect::replayable) return;
  if (track.effect == TrackEffect::single_use)
    return breach(2, c.ask.call, d.last_byte,
                  text("single-use, sent to endpoint %u though endpoint %u may have run it", d.endpoint,
                       before.endpoint));
  const Life &to = endpoints_[d.endpoint].life, &from = endpoints_[before.endpoint].life;
  const bool group = to.group == from.group &&
                     (track.scope == Scope::all || (track.scope == Scope::zone && to.zone == from.zone) ||
                      (track.scope == Scope::cell && to.cell == from.cell));
  if (!group)
    breach(2, c.ask.call, d.last_byte,
           text("referenced, sent to endpoint %u outside the group of endpoint %u, which may have run it",
                d.endpoint, before.endpoint));
  if (group && d.last_byte - before.last_byte > track.remembered + rules_.slack)
    breach(2, c.ask.call, d.last_byte,
           text("referenced, sent to endpoint %u when its first run was no longer remembered", d.endpoint));
}

void Auditor::expire(Call& c, TimePoint now) {
  if (c.answered || c.excused || c.reported) return;
  c.reported = true;
  breach(1, c.ask.call, now, text("no final answer within %.1f ms", c.ask.timeout.as_ms()));
}

void Auditor::settle(TimePoint now) {
  while (!to_judge_.empty() && to_judge_.front().due < now) {
    judge(to_judge_.front());
    to_judge_.pop_front();
  }
  while (!dues_.empty() && dues_.top().first < now) {
    const auto found = calls_.find(dues_.top().second);
    dues_.pop();
    if (found != calls_.end()) expire(found->second, now);
  }
  // Guards the memory of long runs: what lies far enough back is judged, and nothing more is told of it.
  while (!order_.empty()) {
    const Call& c = calls_.at(order_.front());
    if (now < c.ask.sent + c.ask.timeout + longest_ + kept_after) break;
    for (const Dispatch& d : c.dispatches) dispatch_call_.erase(d.id);
    if (const auto turn = turns_.find({c.ask.sidecar, c.ask.key}); turn != turns_.end()) {
      std::erase(turn->second, order_.front());
      if (turn->second.empty()) turns_.erase(turn);
    }
    calls_.erase(order_.front());
    order_.pop_front();
  }
}

void Auditor::finish(TimePoint now) { settle(now + longest_ + rules_.slack); }

}  // namespace chutevane::lab
