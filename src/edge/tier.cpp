#include "edge/tier.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::edge {
namespace {

constexpr double other_zone = 0.6;  // of its share, for an endpoint of another zone
constexpr double part_in_flight =
    0.5;                               // of this sidecar's attempts at each endpoint of its part, on the mean
constexpr double held_gain = 0.05;     // per attempt: smooths over about 40 of them
constexpr double nearly_full = 0.75;   // of its places: with fewer taken nobody waits there
constexpr std::size_t part_least = 3;  // endpoints: one may fail and one be loaded
constexpr double zone_tokens_per_byte = 0.2;   // what a byte to another zone counts as, in prompt tokens
constexpr double beyond_part_ms = 20;          // a new connection, and its price, against a wait
constexpr Span report_fresh = Span::ms(2000);  // of an endpoint's load
constexpr Span shun_first = Span::ms(300), shun_most = Span::ms(5000);  // after failures in a row, doubling
constexpr double kv_part = 0.8;  // of an endpoint's memory: running requests have the rest

std::uint64_t rank(const std::string& id, std::uint64_t key) {
  return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

}  // namespace

Tier::Tier(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), seed_(seed), random_(seed) {}

Tier::Place* Tier::find(const std::string& id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &places_[found->second];
}

void Tier::listed(const std::vector<Known>& endpoints, TimePoint now) {
  std::vector<Place> next;
  for (const Known& e : endpoints) {
    Place* const known = find(e.id);
    Place p = known != nullptr ? std::move(*known) : Place{};
    p.id = e.id;
    p.zone = e.zone;
    p.capacity = e.capacity;
    p.cold = e.cold;
    next.push_back(std::move(p));
  }
  // In an order of its own, its zone first: draws are made from the first of them while these have room.
  // Guards endpoints, and what connections cost, against one connection of every sidecar to each.
  const auto far = [&](const Place& p) { return p.zone != zone_; };
  std::sort(next.begin(), next.end(), [&](const Place& a, const Place& b) {
    return std::pair(far(a), rank(a.id, seed_)) < std::pair(far(b), rank(b.id, seed_));
  });
  places_ = std::move(next);
  index_.clear();
  for (std::size_t i = 0; i < places_.size(); ++i) index_[places_[i].id] = i;
  shares_.begin_update(now);  // of none: solved anew
  solve(now);
}

double Tier::in_flight() const {
  double out = 0;
  for (const Place& p : places_) out += p.in_flight;
  return out;
}

Span Tier::ceiling(Span deadline, Span left, bool repeatable, TimePoint now) {
  const Span most = std::min(deadline, left);
  if (!repeatable) return most;
  estimate_.update_starved(now);
  return estimate_.attempt_timeout(most, now);
}

bool Tier::worth_retry(Span left, TimePoint now) { return !spent(left) && left >= estimate_.median(now); }

void Tier::solve(TimePoint now) {
  if (now < shares_.next_update_at() && shares_.size() == places_.size()) return;
  shares_.begin_update(now);
  for (const Place& p : places_) shares_.add_measured_latency(p.smoothed_ms);
  for (const Place& p : places_)
    shares_.add_weight(shares_.speed(p.smoothed_ms) * (p.zone == zone_ ? 1.0 : other_zone));
}

std::optional<std::string> Tier::place(const Placing& placing, TimePoint now) {
  solve(now);
  std::vector<std::size_t> open, shunned;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    if (std::find(placing.avoid.begin(), placing.avoid.end(), places_[i].id) != placing.avoid.end()) continue;
    (places_[i].shunned_until > now ? shunned : open).push_back(i);
  }
  // When most have failed it is not they: nobody is passed over.
  if (open.empty() || open.size() < shunned.size()) open.insert(open.end(), shunned.begin(), shunned.end());
  if (open.empty()) return std::nullopt;
  if (placing.affinity && !placing.parts.empty()) return by_parts(open, placing, now);
  return draw(open, now);
}

// Draws by shares; an endpoint well above the mean in flight is passed over.
std::string Tier::draw(const std::vector<std::size_t>& open, TimePoint now) {
  const auto load = [&](const Place& p) {
    return p.in_flight + (now - p.told < report_fresh ? p.others : 0);
  };
  double in_flight = 0;
  std::vector<bool> may(places_.size());
  for (const std::size_t i : open) {
    in_flight += load(places_[i]);
    may[i] = true;
  }
  const double bound = shares_.overload_threshold(in_flight, static_cast<int>(open.size()));
  const auto fit = [&](std::size_t i, int) {
    return may[i] && load(places_[i]) <= bound ? LatencyWeights::Fit::accepted
                                               : LatencyWeights::Fit::rejected;
  };
  const std::size_t near = part(now);
  int drawn = shares_.draw(RingRange{0, near}, random_, 0, fit);
  if (drawn < 0) drawn = least_loaded_of_part(near, may, load);
  if (drawn < 0 && near < shares_.size()) drawn = shares_.draw(RingRange{0, shares_.size()}, random_, 0, fit);
  if (drawn >= 0) return places_[static_cast<std::size_t>(drawn)].id;
  const auto cost = [&](std::size_t i) {
    return (load(places_[i]) + 1) / shares_.speed(places_[i].smoothed_ms);
  };
  return places_[*std::min_element(open.begin(), open.end(),
                                   [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); })]
      .id;
}

// All of the part are above the mean. It is passed over as a whole only where its endpoints are nearly full:
// with free places nobody waits there, and a connection beyond the part has its price.
template <class May, class Load>
int Tier::least_loaded_of_part(std::size_t near, const May& may, const Load& load) const {
  int least = -1;
  for (std::size_t i = 0; i < near; ++i) {
    if (!may[i] || load(places_[i]) >= nearly_full * static_cast<double>(places_[i].capacity)) continue;
    if (least < 0 || load(places_[i]) < load(places_[static_cast<std::size_t>(least)]))
      least = static_cast<int>(i);
  }
  return least;
}

std::size_t Tier::part(TimePoint now) {
  // Before any has ended there is no mean yet.
  const double mean_in_flight =
      held_ms_ > 0 ? recent_.sum(now) * held_ms_ / recent_window.as_ms() : in_flight();
  const auto busy = static_cast<std::size_t>(std::ceil(mean_in_flight / part_in_flight));
  return std::min(places_.size(), std::max(part_least, busy));
}

double Tier::others_at(const Place& place, TimePoint now) const {
  if (!place.heard) return model_.others_unheard();
  return model_.others_now(place.others, now - place.told);
}

double Tier::cost(const Place& p, const Placing& placing, TimePoint now) const {
  double unheld = 0;
  bool whole = true;  // a part counts as held only behind held parts
  for (const Part& part : placing.parts) {
    whole = whole && p.held.has(part.id);
    if (!whole) unheld += part.tokens;
  }
  const double others = others_at(p, now), running = p.in_flight + others;
  const double places = batch_ > 0 ? batch_ : static_cast<double>(p.capacity);
  double cost = unheld * (1 + running) + p.unread + running * model_.mean_unread();
  cost += model_.wait_ms(p.in_flight, others, places) / model_.ms_per_token();
  if (p.zone != zone_) cost += placing.bytes * zone_tokens_per_byte;
  return cost;
}

// Where it costs the least, among the endpoints of its part; beyond them where that is worth a connection. Of
// those alike all sidecars take the same.
std::string Tier::by_parts(const std::vector<std::size_t>& open, const Placing& placing, TimePoint now) {
  double best = 0;
  std::uint64_t best_rank = 0;
  std::size_t chosen = open.front();
  const std::uint64_t key = placing.parts.front().id;
  const std::size_t near = std::min(part(now), open.size());
  const double beyond = beyond_part_ms / model_.ms_per_token();
  for (std::size_t n = 0; n < open.size(); ++n) {
    if (n >= near && best <= beyond) break;
    const Place& p = places_[open[n]];
    const double there = cost(p, placing, now) + (n >= near ? beyond : 0);
    const std::uint64_t r = rank(p.id, key);
    if (n == 0 || there < best - 0.5 || (there < best + 0.5 && r < best_rank)) {
      best = there;
      best_rank = r;
      chosen = open[n];
    }
  }
  return places_[chosen].id;
}

void Tier::sent(const std::string& id, const Placing& placing, TimePoint now) {
  Place* const p = find(id);
  if (p == nullptr) return;
  p->in_flight += 1;
  recent_.add(1, now);
  placing.unread = 0;
  placing.sent = now;
  bool whole = true;
  for (const Part& part : placing.parts) {
    whole = whole && p->held.has(part.id);
    if (!whole) placing.unread += part.tokens;
  }
  p->unread += placing.unread;
  for (const Part& part : placing.parts) p->held.use(part.id, part.tokens, kv_tokens_ * kv_part);
}

void Tier::answered(const std::string& id, const Placing& placing, Span latency, TimePoint now) {
  estimate_.record_response(latency, now);
  if (!placing.parts.empty()) model_.prompt_read(placing.unread, latency);
  Place* const p = find(id);
  if (p == nullptr) return;
  const double ms = std::max(latency.as_ms(), 0.1);
  shares_.smooth(p->smoothed_ms, ms);
  p->failures = 0;
  p->shunned_until = TimePoint();
  p->unread = std::max(0.0, p->unread - std::exchange(placing.unread, 0.0));
}

void Tier::ended(const std::string& id, const Placing& placing, Ended how, TimePoint now) {
  if (how == Ended::cut) estimate_.record_adaptive_timeout(Span::ms(1), now);
  note_held(placing, how, now);
  Place* const p = find(id);
  if (p == nullptr) return;
  p->in_flight = std::max(0.0, p->in_flight - 1);
  if (p->in_flight < 0.5) p->unread = 0;
  if (how == Ended::served) return;
  p->unread = std::max(0.0, p->unread - std::exchange(placing.unread, 0.0));
  if (how == Ended::failed) {
    p->failures += 1;
    const double times = std::exp2(std::min(p->failures - 1, 5.0));
    p->shunned_until = now + std::min(shun_most, shun_first * times);
  }
}

// How long an attempt held its place.
void Tier::note_held(const Placing& placing, Ended how, TimePoint now) {
  if (!placing.sent) return;
  const Span held = now - *std::exchange(placing.sent, std::nullopt);
  held_ms_ += (held.as_ms() - held_ms_) * (held_ms_ > 0 ? held_gain : 1.0);
  if (how == Ended::served && !placing.parts.empty()) model_.place_held(held);
}

void Tier::load(const std::string& id, double running, double waiting, double, TimePoint now) {
  Place* const p = find(id);
  if (p == nullptr) return;
  p->others = std::max(0.0, running + waiting - p->in_flight);
  p->heard = true;
  p->told = now;
  model_.others_told(p->others);
}

bool Tier::crowded() const {
  double taken = 0, all = 0;
  for (const Place& p : places_) {
    taken += p.in_flight + p.others;
    all += static_cast<double>(p.capacity);
  }
  return all > 0 && taken > all / 2;
}

}  // namespace chutevane::edge
