// The life of a call: placed, sent, held for a moment with the best paid first, finished.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double wait_part = 0.15;  // of the soft limit: leaves most of it for the answer

Answer Balancer::State::place(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (c.timeout <= now || (c.sent + c.sent_elsewhere > 0 && resends_left(now) < 1))
    return give_up(at, now, false);
  const int endpoint = pick(c, now);
  return endpoint >= 0 ? send(at, static_cast<std::uint32_t>(endpoint), now) : hold_or_give_up(at, now);
}

Answer Balancer::State::send(std::uint32_t at, std::uint32_t endpoint, TimePoint now) {
  Call& c = calls[at];
  Endpoint& e = endpoints[endpoint];
  Answer a{.verdict = Verdict::dispatch, .call = c.id, .endpoint = e.id, .number = c.sent};
  a.span = estimate.ceiling(std::min(tracks[c.track].client_timeout, c.timeout - now), now);
  // Guards rule 2: a connection may take longer to come up than the reference is remembered.
  if (c.bound_to >= 0 && tracks[c.track].effect == Effect::referenced)
    a.until = c.bound_since + tracks[c.track].repeat_window;
  a.fresh = doubted(e, now);
  const Span idle = a.fresh || e.in_flight > 0 || e.last_used == TimePoint() ? Span() : now - e.last_used;
  e.last_used = now;
  c.dispatches[c.sent++] = {endpoint, now, e.zone, e.cell, true, a.span < c.timeout - now, false, idle};
  if (resend_free >= 0.0 && c.sent + c.sent_elsewhere > 1) resends.push_back(now);
  ++c.out;
  c.waiting = false;
  if (e.in_flight++ == 0) e.quiet_since = now;
  ++in_flight;
  if (warmth(e, now) < 1.0) e.cold_tokens -= 1.0;
  return a;
}

// No endpoint takes it now: it is held for a moment if that leaves time for the answer.
Answer Balancer::State::hold_or_give_up(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (!c.waiting) {
    c.waiting = true;
    c.wait_until =
        std::min(now + tracks[c.track].soft_limit * wait_part, c.timeout - answer_guard - look_every);
    if (ready_count > 0 && c.wait_until > now) waiting.push_back(at);
  }
  if (ready_count == 0 || c.wait_until <= now) return give_up(at, now, true);
  return {.verdict = Verdict::wait, .call = c.id, .until = c.wait_until};
}

void Balancer::State::serve_waiting(TimePoint now) {
  if (waiting.empty()) return;
  std::erase_if(waiting, [&](std::uint32_t at) { return !calls[at].waiting; });
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](std::uint32_t a, std::uint32_t b) { return calls[a].payoff > calls[b].payoff; });
  for (std::size_t i = 0; i < waiting.size();) {
    const std::size_t before = waiting.size();
    const Answer a = place(waiting[i], now);
    answers.add_final(a);
    if (a.verdict != Verdict::wait && waiting.size() == before)
      waiting.erase(waiting.begin() + static_cast<long>(i));
    i += a.verdict == Verdict::wait ? 1U : 0U;
  }
}

void Balancer::State::finish(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (c.over) return;
  c.over = true;
  c.waiting = false;
  calls_out -= c.coming || c.queued ? 0 : 1;
  c.queued = false;
  if (can_cancel && c.sent > 0 && c.dispatches[c.sent - 1U].out)
    answers.add(Verdict::cancel, c.id, c.sent - 1U);
  settle(at, now);
}

// The place is reused once the client has its answer and every dispatch has ended.
void Balancer::State::settle(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  if (!c.over || c.out > 0 || !c.in_use) return;
  if (c.line != Line::none) leave_line(at, now);
  if (std::find(waiting.begin(), waiting.end(), at) != waiting.end()) std::erase(waiting, at);
  call_index.erase(c.id);
  c.in_use = false;
  calls.give_back(at);
}

}  // namespace chutevane
