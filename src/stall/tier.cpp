#include "stall/tier.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::stall {
namespace {

constexpr std::uint32_t samples_least = 20;   // served attempts: below, nothing is measured
constexpr double p95_multiple = 3.0;          // of the ceiling, as in the source
constexpr Span ceiling_least = Span::ms(50);  // a scheduling pause is no failure
constexpr double starved_part = 0.2;          // cuts over served attempts: the estimate feeds on itself
constexpr Span solve_every = Span::ms(2000);
constexpr double smoothing = 0.2;                   // weight of the newest latency
constexpr double over_mean = 1.2, over_more = 0.5;  // in flight: well above the mean (docs/design.md)
constexpr int draws_most = 4;                       // then the least loaded is taken
constexpr double zone_tokens_per_byte = 0.2;        // what a byte to another zone counts as, in prompt tokens
constexpr double running_tokens = 24;               // what a running request costs the next one, in tokens
constexpr Span report_fresh = Span::ms(2000);       // of an endpoint's load
constexpr Span shun_first = Span::ms(300), shun_most = Span::ms(5000);  // after failures in a row, doubling
constexpr double kv_part = 0.8;  // of an endpoint's memory: running requests have the rest

std::uint64_t rank(const std::string& id, std::uint64_t key) {
  return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

}  // namespace

Tier::Tier(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), luck_(seed) {}

Tier::Place* Tier::find(const std::string& id) {
  for (Place& p : places_) {
    if (p.id == id) return &p;
  }
  return nullptr;
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
  places_ = std::move(next);
  solved_ = TimePoint();
  solve(now);
}

bool Tier::measured(TimePoint now) {
  const std::uint32_t served = served_.count(now);
  return served >= samples_least && cuts_.count(now) <= served * starved_part;
}

Span Tier::ceiling(Span deadline, Span left, bool repeatable, TimePoint now) {
  const Span most = std::min(deadline, left);
  if (!repeatable || !measured(now)) return most;
  return std::min(most, std::max(ceiling_least, served_.quantile(0.95, now) * p95_multiple));
}

bool Tier::worth_retry(Span left, TimePoint now) {
  if (spent(left)) return false;
  return served_.count(now) < samples_least || left >= served_.quantile(0.5, now);
}

// Shares by the inverse of smoothed served latency; the unheard at the mean.
void Tier::solve(TimePoint now) {
  if (solved_ != TimePoint() && now - solved_ < solve_every) return;
  solved_ = now;
  double sum = 0;
  std::size_t heard = 0;
  for (const Place& p : places_) {
    if (p.smoothed_ms <= 0) continue;
    sum += 1.0 / p.smoothed_ms;
    ++heard;
  }
  const double mean = heard > 0 ? sum / static_cast<double>(heard) : 1.0;
  for (Place& p : places_) p.share = p.smoothed_ms > 0 ? 1.0 / p.smoothed_ms : mean;
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
std::optional<std::string> Tier::draw(const std::vector<std::size_t>& open, TimePoint now) {
  double shares = 0, in_flight = 0;
  const auto load = [&](const Place& p) {
    return p.in_flight + (now - p.told < report_fresh ? p.others : 0);
  };
  const auto share = [&](const Place& p) { return p.share * (p.zone == zone_ ? 1.0 : 0.6); };
  for (const std::size_t i : open) {
    shares += share(places_[i]);
    in_flight += load(places_[i]);
  }
  const double bound = over_mean * in_flight / static_cast<double>(open.size()) + over_more;
  for (int n = 0; n < draws_most; ++n) {
    double at = luck_.unit() * shares;
    std::size_t drawn = open.back();
    for (const std::size_t i : open) {
      at -= share(places_[i]);
      if (at <= 0) {
        drawn = i;
        break;
      }
    }
    if (load(places_[drawn]) <= bound) return places_[drawn].id;
  }
  const auto least = std::min_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
    return (load(places_[a]) + 1) / places_[a].share < (load(places_[b]) + 1) / places_[b].share;
  });
  return places_[*least].id;
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

void Tier::sent(const std::string& id, Placing& placing, TimePoint) {
  Place* const p = find(id);
  if (p == nullptr) return;
  p->in_flight += 1;
  placing.unread = 0;
  bool whole = true;
  for (const Part& part : placing.parts) {
    whole = whole && p->held.has(part.id);
    if (!whole) placing.unread += part.tokens;
  }
  p->unread += placing.unread;
  for (const Part& part : placing.parts) p->held.use(part.id, part.tokens, kv_tokens_ * kv_part);
}

void Tier::answered(const std::string& id, Placing& placing, Span latency, TimePoint now) {
  served_.add(latency, now);
  Place* const p = find(id);
  if (p == nullptr) return;
  const double ms = std::max(latency.as_ms(), 0.1);
  p->smoothed_ms = p->smoothed_ms > 0 ? p->smoothed_ms + smoothing * (ms - p->smoothed_ms) : ms;
  p->failures = 0;
  p->shunned_until = TimePoint();
  p->unread = std::max(0.0, p->unread - std::exchange(placing.unread, 0.0));
}

void Tier::ended(const std::string& id, Placing& placing, Ended how, TimePoint now) {
  if (how == Ended::cut) cuts_.add(Span::ms(1), now);
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

}  // namespace chutevane::stall
