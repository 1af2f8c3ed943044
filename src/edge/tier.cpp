#include "edge/tier.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::edge {
namespace {

constexpr double other_zone = 0.6;             // of its share, for an endpoint of another zone
constexpr double part_attempts = 10;           // of this sidecar's in 10 s, for each endpoint of its part
constexpr std::size_t part_least = 3;          // endpoints: one may fail and one be loaded
constexpr double zone_tokens_per_byte = 0.2;   // what a byte to another zone counts as, in prompt tokens
constexpr double running_tokens = 24;          // what a running request costs the next one, in tokens
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
  shares_.begin(now);  // of none: solved anew
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
  estimate_.starve(now);
  return estimate_.ceiling(most, now);
}

bool Tier::worth_retry(Span left, TimePoint now) { return !spent(left) && left >= estimate_.median(now); }

void Tier::solve(TimePoint now) {
  if (now < shares_.solve_at() && shares_.size() == places_.size()) return;
  shares_.begin(now);
  for (const Place& p : places_) shares_.hear(p.smoothed_ms);
  for (const Place& p : places_)
    shares_.add(shares_.speed(p.smoothed_ms) * (p.zone == zone_ ? 1.0 : other_zone));
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
  const double bound = shares_.pass_over(in_flight, static_cast<int>(open.size()));
  const auto fit = [&](std::size_t i, int) {
    return may[i] && load(places_[i]) <= bound ? Shares::Fit::yes : Shares::Fit::no;
  };
  const auto busy = static_cast<std::size_t>(recent_.sum(now) / part_attempts);
  const std::size_t part = std::min(shares_.size(), std::max(part_least, busy));
  int drawn = shares_.draw(Arc{0, part}, random_, 0, fit);
  if (drawn < 0 && part < shares_.size()) drawn = shares_.draw(Arc{0, shares_.size()}, random_, 0, fit);
  if (drawn >= 0) return places_[static_cast<std::size_t>(drawn)].id;
  const auto cost = [&](std::size_t i) {
    return (load(places_[i]) + 1) / shares_.speed(places_[i].smoothed_ms);
  };
  return places_[*std::min_element(open.begin(), open.end(),
                                   [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); })]
      .id;
}

// Where the least is to be read before it runs: what is not held of the prompt, what is being read there, and
// what runs. Of those alike all sidecars take the same.
std::string Tier::by_parts(const std::vector<std::size_t>& open, const Placing& placing, TimePoint now) {
  double best = 0;
  std::uint64_t best_rank = 0;
  std::size_t chosen = open.front();
  const std::uint64_t key = placing.parts.front().id;
  for (const std::size_t i : open) {
    const Place& p = places_[i];
    double unheld = 0;
    bool whole = true;  // a part counts as held only behind held parts
    for (const Part& part : placing.parts) {
      whole = whole && p.held.has(part.id);
      if (!whole) unheld += part.tokens;
    }
    const double others = now - p.told < report_fresh ? p.others : 0;
    double cost = unheld + p.unread + running_tokens * (p.in_flight + others);
    if (p.zone != zone_) cost += placing.bytes * zone_tokens_per_byte;
    const std::uint64_t r = rank(p.id, key);
    if (i == open.front() || cost < best - 0.5 || (cost < best + 0.5 && r < best_rank)) {
      best = cost;
      best_rank = r;
      chosen = i;
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
  bool whole = true;
  for (const Part& part : placing.parts) {
    whole = whole && p->held.has(part.id);
    if (!whole) placing.unread += part.tokens;
  }
  p->unread += placing.unread;
  for (const Part& part : placing.parts) p->held.use(part.id, part.tokens, kv_tokens_ * kv_part);
}

void Tier::answered(const std::string& id, const Placing& placing, Span latency, TimePoint now) {
  estimate_.served(latency, now);
  Place* const p = find(id);
  if (p == nullptr) return;
  const double ms = std::max(latency.as_ms(), 0.1);
  shares_.smooth(p->smoothed_ms, ms);
  p->failures = 0;
  p->shunned_until = TimePoint();
  p->unread = std::max(0.0, p->unread - std::exchange(placing.unread, 0.0));
}

void Tier::ended(const std::string& id, const Placing& placing, Ended how, TimePoint now) {
  if (how == Ended::cut) estimate_.cut(Span::ms(1), now);
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

void Tier::load(const std::string& id, double running, double waiting, double, TimePoint now) {
  Place* const p = find(id);
  if (p == nullptr) return;
  p->others = std::max(0.0, running + waiting - p->in_flight);
  p->told = now;
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
