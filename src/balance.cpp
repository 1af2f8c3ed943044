// The decisions of chutevane, put together: what src/policy/ decides by concern answers the events of
// include/chutevane/balancer.hpp. docs/design.md has the design (caps, cutoffs, shares) and the why of all.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double retry_share = 0.2;     // dispatches again per API call
constexpr double mean_gain = 0.01;      // per call: payoff mean over about the last 100
constexpr double mean_out_gain = 0.03;  // per look: the mean over about 1.5 s, some answer times

Answers Balancer::State::serve(TimePoint now) {
  serve_lines(now);
  serve_waiting(now);
  return answers;
}

void Balancer::State::tick(TimePoint now) {
  if (now >= subscribe_at) subscribe_at = TimePoint::never(), answers.add(Verdict::subscribe);
  if (now >= shares.solve_at()) solve(now);
  if (now >= step_at) step_limit(now);
  serve_lines(now);
  if (now >= look_at) {
    look_at = now + look_every;
    mean_out += (calls_out - mean_out) * mean_out_gain;
    rescue(now);
    if (lines.size() > 0) give_up_queued(now), serve_lines(now);
    serve_waiting(now);
  }
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed, TimePoint now)
    : state_(std::make_unique<State>(settings, seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

TimePoint Balancer::next_wake() const {
  const TimePoint rested = state_->rests.empty() ? TimePoint::never() : state_->rests.front().first;
  return std::min({state_->shares.solve_at(), state_->look_at, state_->subscribe_at, rested});
}

Answers Balancer::listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now) {
  return state_->begin_event().listed(kind, entries, now);
}

Answer Balancer::arrived(const ApiCall& given, TimePoint now) {
  State& s = state_->begin_event();
  ApiCall call = given;
  call.track = std::min(call.track, static_cast<std::uint32_t>(s.tracks.size() - 1));
  const std::uint32_t at = s.calls.take();
  Call& c = s.calls[at];
  const Track& track = s.tracks[call.track];
  c.id = call.id, c.track = call.track, c.key = call.key, c.coming = call.coming;
  c.arrived = c.moved_at = now;
  c.timeout = now + call.left;
  c.soft_end = now + track.soft_limit - call.elsewhere.spent;
  c.sent_elsewhere = call.elsewhere.dispatches;
  c.payoff = track.payoff;
  c.in_use = true;
  if (s.warm_keys && c.key != 0) c.popularity = s.popularity(c.key);
  s.call_index.put(call.id, at);
  s.payoff_seen = std::min(1.0 / mean_gain, s.payoff_seen + 1.0);
  s.payoff_mean += (c.payoff - s.payoff_mean) / s.payoff_seen;
  if (!call.elsewhere.was && s.resend_free >= 0.0) s.taken.add(1, now);
  if (!call.elsewhere.was) s.retry_tokens = std::min(retry_depth, s.retry_tokens + retry_share);
  ++s.step_arrivals;
  s.calls_out += c.coming ? 0 : 1;
  s.step_peak = std::max(s.step_peak, s.calls_out);
  if (s.first_tier && !call.elsewhere.was) c.soft_end = c.soft_end - s.age_of(call);
  if (!s.admitted(c)) return s.give_up(at, now, true);
  // Guards the retry budget: one that may have run in another pool is a dispatch again here.
  if (call.elsewhere.may_have_run && s.retry_tokens < 1.0) return s.give_up(at, now, false);
  if (call.elsewhere.may_have_run) s.retry_tokens -= 1.0;
  return track.in_turn && c.key != 0 ? s.line_up(at, now) : s.place(at, now);
}

Answers Balancer::ended(const DispatchEnd& end, TimePoint now) {
  State& s = state_->begin_event();
  const std::uint32_t at = s.call_index.find(end.call);
  if (at == IdIndex::none || end.number >= s.calls[at].sent) return s.answers;
  Call& c = s.calls[at];
  Dispatch& d = c.dispatches[end.number];
  if (!d.out) return s.answers;
  d.out = false;
  --c.out;
  s.rescuing -= d.rescued ? 1 : 0;
  if (end.outcome == Outcome::not_sent && end.number + c.sent_elsewhere > 0) {
    const auto sent = std::find(s.resends.begin(), s.resends.end(), d.sent);
    if (sent != s.resends.end()) s.resends.erase(sent);
  }
  if (c.line != Line::none && (end.outcome == Outcome::timed_out || end.outcome == Outcome::reset ||
                               end.outcome == Outcome::cancelled)) {
    s.lines[c.line].rests_until = now + s.settle_after_doubt + clock_grain;
    s.rests.emplace_back(s.lines[c.line].rests_until, c.line);
  }
  s.learn(s.endpoints[d.endpoint], d, end, now);
  const bool ran = end.outcome != Outcome::not_sent && end.outcome != Outcome::not_connected &&
                   end.outcome != Outcome::turned_away;
  // What may have run binds the call from the send of the first such dispatch.
  if (ran && c.bound_to < 0) c.bound_to = static_cast<int>(end.number), c.bound_since = d.sent;
  if (c.over) {
    s.settle(at, now);
  } else if (end.call_over) {
    s.count_answer(c, end.outcome == Outcome::done, now);
    s.finish(at, now);
  } else if (c.out == 0) {
    const bool free = !ran || d.rescued;
    if (!end.last && s.may_go_again(c, now) && (free || s.retry_tokens >= 1.0)) {
      if (!free) s.retry_tokens -= 1.0;
      s.answers.add_final(s.place(at, now));
    } else {
      s.count_answer(c, false, now);
      s.answers.push_back(s.give_up(at, now, false));
    }
  }
  return s.serve(now);
}

// Guards a large request against its own length: while it comes neither its client nor its endpoint waits.
void Balancer::moved(CallId call, bool last, TimePoint now) {
  const std::uint32_t at = state_->call_index.find(call);
  if (at == IdIndex::none) return;
  Call& c = state_->calls[at];
  if (last && std::exchange(c.coming, false)) state_->calls_out += c.over || c.queued ? 0 : 1;
  const Span later = now - std::exchange(c.moved_at, now);
  c.arrived = c.arrived + later, c.timeout = c.timeout + later, c.soft_end = c.soft_end + later;
  if (c.sent == 0) return;
  Dispatch& d = c.dispatches[c.sent - 1U];
  d.sent = state_->endpoints[d.endpoint].quiet_since = now;
}

void Balancer::broke(EndpointId endpoint, TimePoint now) {
  if (Endpoint* e = state_->known(endpoint)) state_->miss(*e, now, "answers break");
}

Answers Balancer::client_left(CallId call, TimePoint now) {
  State& s = state_->begin_event();
  const std::uint32_t at = s.call_index.find(call);
  if (at == IdIndex::none || s.calls[at].over) return s.answers;
  s.finish(at, now);
  return s.serve(now);
}

void Balancer::told(EndpointId endpoint, std::uint32_t news, TimePoint now) {
  if (Endpoint* e = state_->known(endpoint)) e->held = news / tell_scale, e->held_at = e->told_at = now;
}

Answers Balancer::woken(TimePoint now) {
  state_->begin_event().tick(now);
  return state_->answers;
}

std::vector<Learnt> Balancer::learnt() const {
  std::vector<Learnt> out;
  for (const Endpoint& e : state_->endpoints)
    if (e.ready() && e.latency_ms > 0.0) out.push_back({e.id, e.came_up, e.latency_ms});
  return out;
}

void Balancer::recall(std::span<const Learnt> known, TimePoint now) {
  for (const Learnt& l : known) {
    Endpoint* e = state_->known(l.endpoint);
    if (e && e->ready() && e->came_up == l.came_up && e->latency_ms <= 0.0) e->latency_ms = l.latency_ms;
  }
  state_->solve(now);
}

Carried Balancer::carried(TimePoint now) const {
  Carried out{state_->limit, state_->rate, state_->late_part, state_->retry_tokens};
  const auto n = static_cast<double>(out.times_ms.size());
  for (std::size_t i = 0; i < out.times_ms.size() && state_->estimate.measured(now); ++i)
    out.times_ms[i] = state_->estimate.quantile((i + 0.5) / n, now).as_ms();
  return out;
}

void Balancer::carry(const Carried& c, TimePoint now) {
  State& s = *state_;
  s.limit = c.limit, s.rate = c.rate, s.late_part = c.late_part, s.on_trial = c.on_trial ? trial_answers : 0;
  s.retry_tokens = std::clamp(c.retry_tokens, 0.0, retry_depth);
  for (const double ms : c.times_ms)
    if (ms > 0.0) s.estimate.served(Span::ms(ms), now);
  for (Endpoint& e : s.endpoints) e.cold_tokens = c.budgets_spent ? 0.0 : e.cold_tokens;
}

void Balancer::share(double part) { state_->cold_part = part; }

std::size_t Balancer::avoided(TimePoint now) const {
  std::size_t out = 0;
  for (const Endpoint& e : state_->endpoints) out += e.ready() && (e.bar > Span() || state_->silent(e, now));
  return out;
}

bool Balancer::usable(EndpointId endpoint) const {
  const Endpoint* e = state_->known(endpoint);
  return e && e->ready();
}

std::size_t Balancer::endpoints_kept() const { return state_->endpoints.size(); }

}  // namespace chutevane
