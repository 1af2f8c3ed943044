#include "limit/limiter.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::limit {
namespace {

/// Maximum number of entries, from the oldest, that one admission checks for eviction: bounds its cost.
constexpr std::uint32_t max_eviction_scan = 8;

}  // namespace

std::string_view name_of(Rejection rejection) {
  static constexpr std::string_view names[] = {"none",        "service busy", "service rate",
                                               "client busy", "client rate",  "client share"};
  return names[static_cast<std::size_t>(rejection)];
}

Limiter::Limiter(const LimitConfig& config, std::uint64_t seed, TimePoint now)
    : config_(config), seed_(seed) {
  clients_.resize(1);
  clients_[shared_slot].bucket = {config.client_rate.burst, now};
  bucket_ = {config.rate.burst, now};
}

/// Refills the bucket. Returns the time until it has a token, or zero if it has one or there is no limit.
Span Limiter::time_until_token(Bucket& bucket, const Rate& rate, TimePoint now) {
  if (rate.per_s <= 0.0) return Span();
  const double capacity = std::max(1.0, rate.burst);
  const double elapsed_ms = std::max(0.0, (now - bucket.filled_at).as_ms());
  bucket.tokens = std::min(capacity, bucket.tokens + rate.per_s * elapsed_ms / 1000.0);
  bucket.filled_at = now;
  if (bucket.tokens >= 1.0) return Span();
  return Span::ms((1.0 - bucket.tokens) / rate.per_s * 1000.0) + Span::us(1);
}

void Limiter::unlink(std::uint32_t slot) {
  Client& client = clients_[slot];
  (client.newer == none ? newest_ : clients_[client.newer].older) = client.older;
  (client.older == none ? oldest_ : clients_[client.older].newer) = client.newer;
  client.newer = client.older = none;
}

void Limiter::link_newest(std::uint32_t slot) {
  Client& client = clients_[slot];
  client.newer = none;
  client.older = newest_;
  if (newest_ != none) clients_[newest_].newer = slot;
  newest_ = slot;
  if (oldest_ == none) oldest_ = slot;
}

void Limiter::forget(std::uint32_t slot) {
  unlink(slot);
  slot_by_key_.erase(clients_[slot].key);
  free_slots_.push_back(slot);
}

std::uint32_t Limiter::slot_of(std::string_view client, TimePoint now) {
  if (client.empty() || !needs_client_key()) return shared_slot;
  const std::uint64_t key = XXH3_64bits_withSeed(client.data(), client.size(), seed_);
  const auto found = slot_by_key_.find(key);
  if (found != slot_by_key_.end()) {
    unlink(found->second);
    link_newest(found->second);
    clients_[found->second].last_seen = now;
    return found->second;
  }
  evict(now);
  return slot_by_key_.size() >= config_.max_clients ? shared_slot : new_slot(key, now);
}

/// Evicts idle clients, and if the table is full the least recently seen ones without calls in flight.
void Limiter::evict(TimePoint now) {
  std::uint32_t slot = oldest_;
  for (std::uint32_t i = 0; i < max_eviction_scan && slot != none; ++i) {
    const std::uint32_t next = clients_[slot].newer;
    const bool is_stale = now - clients_[slot].last_seen > config_.client_idle_timeout;
    const bool is_full = slot_by_key_.size() >= config_.max_clients;
    if (!is_stale && !is_full) break;
    if (clients_[slot].in_flight == 0) forget(slot);
    slot = next;
  }
}

std::uint32_t Limiter::new_slot(std::uint64_t key, TimePoint now) {
  std::uint32_t slot = static_cast<std::uint32_t>(clients_.size());
  if (free_slots_.empty()) {
    clients_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    clients_[slot] = Client();
  }
  clients_[slot].key = key;
  clients_[slot].last_seen = now;
  clients_[slot].bucket = {std::max(1.0, config_.client_rate.burst), now};
  slot_by_key_.emplace(key, slot);
  link_newest(slot);
  return slot;
}

/// Returns the limit on calls in flight that one more call of this client would exceed.
Rejection Limiter::exceeded_concurrency(const Client& client) const {
  if (config_.max_client_in_flight > 0.0 && client.in_flight >= config_.max_client_in_flight)
    return Rejection::client_in_flight;
  if (config_.max_in_flight <= 0.0) return Rejection::none;
  if (in_flight_ >= config_.max_in_flight) return Rejection::service_in_flight;
  const double active_clients = active_clients_ + (client.in_flight == 0 ? 1.0 : 0.0);
  const double even_share = config_.max_in_flight / std::max(1.0, active_clients);
  const double unreserved = config_.max_in_flight * (1.0 - config_.reserved_share);
  if (in_flight_ >= unreserved && client.in_flight >= std::min(even_share, unreserved))
    return Rejection::client_share;
  return Rejection::none;
}

Admission Limiter::admit(std::string_view key, TimePoint now) {
  Admission out;
  out.client_slot = slot_of(key, now);
  Client& client = clients_[out.client_slot];
  // All limits are checked before any token is taken: a call that one limit rejects does not use up another.
  out.retry_after = time_until_token(client.bucket, config_.client_rate, now);
  if (out.retry_after > Span()) {
    out.rejection = Rejection::client_rate;
    return out;
  }
  out.rejection = exceeded_concurrency(client);
  if (out.rejection != Rejection::none) {
    out.retry_after = config_.retry_after;
    return out;
  }
  out.retry_after = time_until_token(bucket_, config_.rate, now);
  if (out.retry_after > Span()) {
    out.rejection = Rejection::service_rate;
    return out;
  }
  if (config_.client_rate.per_s > 0.0) client.bucket.tokens -= 1.0;
  if (config_.rate.per_s > 0.0) bucket_.tokens -= 1.0;
  in_flight_ += 1.0;
  if (client.in_flight++ == 0) ++active_clients_;
  return out;
}

void Limiter::release(std::uint32_t client_slot) {
  in_flight_ -= 1.0;
  if (--clients_[client_slot].in_flight == 0) --active_clients_;
}

std::size_t Limiter::bytes() const {
  constexpr std::size_t map_entry = 40;  // approximate size of a node of the index
  return sizeof *this + clients_.capacity() * sizeof(Client) +
         free_slots_.capacity() * sizeof(std::uint32_t) + slot_by_key_.size() * map_entry +
         slot_by_key_.bucket_count() * sizeof(void*);
}

}  // namespace chutevane::limit
