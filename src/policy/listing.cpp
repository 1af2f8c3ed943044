// Which endpoints there are and may be sent to: the list, drains, starts. A fresh or returning endpoint has a
// cap that grows with its answers, a cold one a budget.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double cold_depth = 0.3;  // of the window's budget that may go out in one burst
constexpr double cold_least = 1.0;  // sends/s of all sidecars: lets idle ones hear from it at all

double Balancer::State::warmth(const Endpoint& e, TimePoint now) const {
  if (e.came_up <= TimePoint() || now - e.came_up >= warm_after) return 1.0;
  return cold_share + (1.0 - cold_share) * std::max(0.0, (now - e.came_up) / warm_after);
}

// What no judgement of health may set aside: drains, cold endpoints, and repeats within their group.
bool Balancer::State::open_by_rules(const Call& c, const Endpoint& e, TimePoint now) {
  if (!e.ready() || (c.bound_to >= 0 && !within_repeats(c, e, now))) return false;
  if (e.fresh_cap >= 0.0 && e.in_flight >= e.fresh_cap) return false;
  if (warmth(e, now) >= 1.0) return true;
  fill_cold(const_cast<Endpoint&>(e), now);
  return e.cold_tokens >= 1.0;
}

// Guards against a cold endpoint pushed over by all sidecars: each sends its own mean rate per endpoint, by
// how warm it must be, in bursts well under the window; outside its own part it is one of all.
void Balancer::State::fill_cold(Endpoint& e, TimePoint now) {
  const double per_s =
      std::max(cold_least / sidecars, rate / std::max(1, e.in_part ? spread : ready_count) * warmth(e, now));
  const double depth =
      std::max(1.0, cold_part * per_s * fall_window.as_ms() / 1000.0 * fall_multiple * cold_depth);
  e.cold_tokens = std::min(depth, e.cold_tokens + cold_part * per_s * (now - e.cold_filled).as_ms() / 1000.0);
  e.cold_filled = now;
}

// Guards against a list that is wrong, where only draining binds: one without a failure against it is kept
// until its own calls fail. Harm: one call for each that is gone indeed.
void Balancer::State::called_gone(Endpoint& e, TimePoint now) {
  e.unlisted = !gone_binds && e.ready() && e.misses == 0 && e.bar == Span() && !silent(e, now);
  if (!e.unlisted) e.availability = Availability::gone;
}

// For a new endpoint: the place of one that is gone and that no call in hand was sent to, or a new place.
std::uint32_t Balancer::State::free_place() {
  std::vector<bool> named(endpoints.size() + 1, false);
  for (std::uint32_t i = 0; i < calls.size(); ++i) {
    for (std::size_t n = 0; calls[i].in_use && n < calls[i].sent; ++n)
      named[calls[i].dispatches[n].endpoint] = true;
  }
  std::uint32_t at = 0;
  while (at < endpoints.size() && (named[at] || endpoints[at].availability != Availability::gone)) ++at;
  if (at == endpoints.size()) return endpoints.emplace_back(), at;
  endpoint_index.erase(endpoints[at].id);
  endpoints[at] = Endpoint();
  return at;
}

Answers Balancer::State::listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now) {
  if (kind == ListKind::failed) {
    // The pause is drawn so that sidecars whose subscriptions broke together do not ask together.
    subscribe_at = now + subscribe_pause * (0.5 + chance.unit());
    subscribe_pause = std::min(subscribe_most, subscribe_pause * 2.0);
    return answers;
  }
  if (kind == ListKind::cached && must_subscribe) {
    answers.add(Verdict::subscribe);
  } else {
    subscribe_pause = subscribe_first;
  }
  std::vector<bool> named(endpoints.size(), false);
  for (const ListedEndpoint& l : entries) {
    std::uint32_t at = endpoint_index.find(l.id);
    if (at == IdIndex::none) {
      if (l.availability == Availability::gone) continue;
      endpoint_index.put(l.id, at = free_place());
    }
    if (at < named.size()) named[at] = true;
    Endpoint& e = endpoints[at];
    if (l.availability == Availability::gone) {
      called_gone(e, now);
      continue;
    }
    e.unlisted = false;
    // A fresh start: nothing that was known of the process before it holds.
    if (l.availability == Availability::ready && (!e.ready() || l.came_up != e.came_up)) {
      const int out = e.in_flight;
      e = Endpoint();
      e.times = WindowedHistogram(estimate.spec().window);
      e.in_flight = out;
      e.quiet_since = e.cold_filled = now;
      e.came_up = l.came_up;
      e.cold_tokens = chance.unit();  // far under one a window: chance says who is first
      if (warmth(e, now) < 1.0) e.fresh_cap = fresh_start;
    }
    e.id = l.id;
    e.zone = l.zone, e.cell = l.cell, e.model = l.model;
    e.mark = mix_bits(l.mark != 0 ? l.mark : l.id);
    if (models.size() <= e.model) models.resize(e.model + 1U, models.empty() ? 0.0 : models[0]);
    e.availability = l.availability;
  }
  for (std::size_t i = 0; kind != ListKind::changes && i < named.size(); ++i)
    if (!named[i]) called_gone(endpoints[i], now);
  solve(now);
  serve_waiting(now);
  return answers;
}

}  // namespace chutevane
