#include "limit/limiter.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::limit {
namespace {

constexpr std::uint32_t looked_at =
    8;  // of the oldest, for one with nothing in flight: bounds the work of a call

}  // namespace

std::string_view name_of(Refusal refusal) {
  static constexpr std::string_view names[] = {"none",        "service busy", "service rate",
                                               "client busy", "client rate",  "client share"};
  return names[static_cast<std::size_t>(refusal)];
}

Limiter::Limiter(const LimitSpec& spec, std::uint64_t seed, TimePoint now) : spec_(spec), seed_(seed) {
  clients_.resize(1);
  clients_[shared_place].bucket = {spec.client_rate.burst, now};
  bucket_ = {spec.rate.burst, now};
}

// How long until there is a token; zero when there is one now.
Span Limiter::until_token(Bucket& b, const Rate& rate, TimePoint now) {
  if (rate.per_s <= 0.0) return Span();
  const double most = std::max(1.0, rate.burst);
  b.tokens = std::min(most, b.tokens + rate.per_s * std::max(0.0, (now - b.filled).as_ms()) / 1000.0);
  b.filled = now;
  return b.tokens >= 1.0 ? Span() : Span::ms((1.0 - b.tokens) / rate.per_s * 1000.0) + Span::us(1);
}

void Limiter::unlink(std::uint32_t place) {
  Client& c = clients_[place];
  (c.newer == none ? newest_ : clients_[c.newer].older) = c.older;
  (c.older == none ? oldest_ : clients_[c.older].newer) = c.newer;
  c.newer = c.older = none;
}

void Limiter::link_newest(std::uint32_t place) {
  Client& c = clients_[place];
  c.newer = none;
  c.older = newest_;
  if (newest_ != none) clients_[newest_].newer = place;
  newest_ = place;
  if (oldest_ == none) oldest_ = place;
}

void Limiter::forget(std::uint32_t place) {
  unlink(place);
  index_.erase(clients_[place].key);
  free_.push_back(place);
}

std::uint32_t Limiter::place_of(std::string_view client, TimePoint now) {
  if (client.empty() || !tells_clients()) return shared_place;
  const std::uint64_t key = XXH3_64bits_withSeed(client.data(), client.size(), seed_);
  const auto found = index_.find(key);
  if (found != index_.end()) {
    unlink(found->second);
    link_newest(found->second);
    clients_[found->second].seen = now;
    return found->second;
  }
  // Those that have been idle long go first, a few with each call; then, at the bound, the oldest.
  std::uint32_t at = oldest_;
  for (std::uint32_t i = 0; i < looked_at && at != none; ++i) {
    const std::uint32_t next = clients_[at].newer;
    const bool stale = now - clients_[at].seen > spec_.client_idle;
    const bool full = index_.size() >= spec_.clients;
    if (!stale && !full) break;
    if (clients_[at].in_flight == 0) forget(at);
    at = next;
  }
  if (index_.size() >= spec_.clients) return shared_place;
  std::uint32_t place = static_cast<std::uint32_t>(clients_.size());
  if (free_.empty()) {
    clients_.emplace_back();
  } else {
    place = free_.back();
    free_.pop_back();
    clients_[place] = Client();
  }
  clients_[place].key = key;
  clients_[place].seen = now;
  clients_[place].bucket = {std::max(1.0, spec_.client_rate.burst), now};
  index_.emplace(key, place);
  link_newest(place);
  return place;
}

Admission Limiter::admit(std::string_view client, TimePoint now) {
  Admission out;
  out.place = place_of(client, now);
  Client& c = clients_[out.place];
  const auto refuse = [&](Refusal why, Span come_back) {
    out.refusal = why;
    out.come_back = come_back;
    return out;
  };
  // Both buckets are looked at before either is taken from: a call refused by one costs nothing of the other.
  const Span client_wait = until_token(c.bucket, spec_.client_rate, now);
  if (client_wait > Span()) return refuse(Refusal::client_rate, client_wait);
  if (spec_.client_in_flight > 0.0 && c.in_flight >= spec_.client_in_flight)
    return refuse(Refusal::client_busy, spec_.come_back);
  if (spec_.in_flight > 0.0) {
    if (in_flight_ >= spec_.in_flight) return refuse(Refusal::service_busy, spec_.come_back);
    const double others = active_ + (c.in_flight == 0 ? 1.0 : 0.0);
    const double even = spec_.in_flight / std::max(1.0, others);
    const double open_to_all = spec_.in_flight * (1.0 - spec_.kept_for_quiet);
    if (in_flight_ >= open_to_all && c.in_flight >= std::min(even, open_to_all))
      return refuse(Refusal::client_share, spec_.come_back);
  }
  const Span service_wait = until_token(bucket_, spec_.rate, now);
  if (service_wait > Span()) return refuse(Refusal::service_rate, service_wait);
  if (spec_.client_rate.per_s > 0.0) c.bucket.tokens -= 1.0;
  if (spec_.rate.per_s > 0.0) bucket_.tokens -= 1.0;
  in_flight_ += 1.0;
  if (c.in_flight++ == 0) ++active_;
  return out;
}

void Limiter::ended(std::uint32_t place) {
  in_flight_ -= 1.0;
  if (--clients_[place].in_flight == 0) --active_;
}

std::size_t Limiter::bytes() const {
  constexpr std::size_t entry = 40;  // of the index's nodes, about
  return sizeof *this + clients_.capacity() * sizeof(Client) + free_.capacity() * sizeof(std::uint32_t) +
         index_.size() * entry + index_.bucket_count() * sizeof(void*);
}

}  // namespace chutevane::limit
