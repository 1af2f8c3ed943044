// Whether a call goes again: repeats within their group, rescues from silence, and the budget of dispatches
// that some deployments state. Dispatches again are a bounded share of the calls.
#include "policy/shared.hpp"

namespace chutevane {

// Of a call that may have run: it can go nowhere again.
bool Balancer::State::repeats_over(const Call& c, TimePoint now) const {
  const Track& t = tracks[c.track];
  return t.effect == Effect::single_use ||
         (t.effect == Effect::referenced && now - c.bound_since >= t.repeat_window);
}

bool Balancer::State::within_repeats(const Call& c, const Endpoint& e, TimePoint now) const {
  const Track& t = tracks[c.track];
  if (t.effect == Effect::replayable) return true;
  if (repeats_over(c, now)) return false;
  const Dispatch& first = c.dispatches[static_cast<std::size_t>(c.bound_to)];
  return t.group == Group::all || (t.group == Group::zone ? first.zone == e.zone : first.cell == e.cell);
}

bool Balancer::State::may_go_again(const Call& c, TimePoint now) {
  if (c.sent + c.sent_elsewhere >= most_dispatches || (c.bound_to >= 0 && repeats_over(c, now))) return false;
  return resends_left(now) > rescuing && worth_sending(c, Span(), now);
}

// A retry that cannot end in time is skipped (the design); where late answers pay nothing, in soft time.
bool Balancer::State::worth_sending(const Call& c, Span wait, TimePoint now) {
  Span left = c.timeout - now;
  if (first_tier && tracks[c.track].late_payoff <= 0.0) left = std::min(left, c.soft_end - now);
  return left - wait > estimate.median(now);
}

// Dispatches beyond a call's first that the stated budget leaves. Calls count while the whole of their slice
// lies within the span, so that it is never more than the rule allows.
int Balancer::State::resends_left(TimePoint now) {
  if (resend_free < 0.0) return std::numeric_limits<int>::max();
  while (!resends.empty() && now - resends.front() > resend_span + clock_grain) resends.pop_front();
  return static_cast<int>(resend_free + resend_ratio * taken.sum(now)) - static_cast<int>(resends.size());
}

// Calls at an endpoint that alone is silent go elsewhere where their track permits, before their soft limit.
void Balancer::State::rescue(TimePoint now) {
  int quiet = 0;
  for (const Endpoint& e : endpoints) quiet += e.ready() && silent(e, now) ? 1 : 0;
  all_silent = quiet * 2 > ready_count;
  if (quiet == 0 || all_silent || !can_cancel) return;
  for (std::uint32_t at = 0; at < calls.size(); ++at) {
    Call& c = calls[at];
    if (!c.in_use || c.over || c.out != 1 || c.sent == 0 || retry_tokens < 1.0) continue;
    Dispatch& d = c.dispatches[c.sent - 1U];
    if (!d.out || d.rescued || tracks[c.track].effect != Effect::replayable) continue;
    if (!silent(endpoints[d.endpoint], now) || now - d.sent < estimate.high(now) || !may_go_again(c, now))
      continue;
    d.rescued = true;
    ++rescuing;
    answers.add(Verdict::cancel, c.id, c.sent - 1U);
    retry_tokens -= 1.0;
  }
}

}  // namespace chutevane
