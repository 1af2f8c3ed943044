/// Admission limits of a service: calls in flight and calls per second, over all clients and for each. No
/// I/O. What exceeds a limit is rejected at once, with the time after which a retry is worth it.
///
/// The table of clients is bounded. A new client takes the entry of the one that was seen longest ago and has
/// nothing in flight; without such an entry it shares one entry with all other clients that found none. The
/// service's own limits hold whoever asks.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::limit {

/// A token bucket.
struct Rate {
  double per_s = 0.0;  // 0: no limit
  double burst = 0.0;  // calls at once; at least 1 where there is a limit
};

/// The names of the settings differ where the operator's file has other words (operator_file/reader.cpp).
struct LimitConfig {
  double max_in_flight = 0.0;  // calls of the service; 0: no limit
  Rate rate;
  double max_client_in_flight = 0.0;  // calls of each client, whatever capacity there is; 0: no limit
  Rate client_rate;
  /// The last part of the service's calls in flight is reserved for clients that have less than an even share
  /// of them: one noisy client leaves that much to the others.
  double reserved_share = 0.2;
  std::size_t max_clients = 10000;             // that are told apart
  Span client_idle_timeout = Span::ms(60000);  // after which a client is forgotten
  /// What a rejection states where no token bucket tells: calls in flight are to end first.
  Span retry_after = Span::ms(250);
};

/// The limit that a rejected call would have exceeded.
enum class Rejection : std::uint8_t {
  none,
  service_in_flight,
  service_rate,
  client_in_flight,
  client_rate,
  client_share
};
std::string_view name_of(Rejection rejection);

struct Admission {
  Rejection rejection = Rejection::none;
  Span retry_after;  // of a rejection
  /// Of an admitted call, for release().
  std::uint32_t client_slot = 0;
};

class Limiter {
 public:
  Limiter(const LimitConfig& config, std::uint64_t seed, TimePoint now);
  /// Each admitted call is released once. `client`: any key; clients are told apart by its hash. Empty: no
  /// client in particular, all of these are one.
  [[nodiscard]] Admission admit(std::string_view client, TimePoint now);
  void release(std::uint32_t client_slot);
  /// Whether it matters to admit() who the client is.
  bool needs_client_key() const {
    return config_.max_client_in_flight > 0.0 || config_.client_rate.per_s > 0.0 ||
           config_.max_in_flight > 0.0;
  }
  std::size_t clients() const { return slot_by_key_.size(); }
  std::size_t bytes() const;  // of memory, about
  double in_flight() const { return in_flight_; }

 private:
  static constexpr std::uint32_t none = 0xffffffffU, shared_slot = 0;
  struct Bucket {
    double tokens = 0.0;
    TimePoint filled_at;
  };
  struct Client {
    std::uint64_t key = 0;
    std::uint32_t newer = none, older = none;  // slots, by when clients were last seen
    Bucket bucket;
    std::uint32_t in_flight = 0;
    TimePoint last_seen;
  };
  std::uint32_t slot_of(std::string_view client, TimePoint now);
  std::uint32_t new_slot(std::uint64_t key, TimePoint now);
  void evict(TimePoint now);
  void unlink(std::uint32_t slot);
  void link_newest(std::uint32_t slot);
  void forget(std::uint32_t slot);
  Rejection exceeded_concurrency(const Client& client) const;
  static Span time_until_token(Bucket& bucket, const Rate& rate, TimePoint now);

  LimitConfig config_;
  std::uint64_t seed_;
  std::vector<Client> clients_;  // by slot
  std::vector<std::uint32_t> free_slots_;
  std::unordered_map<std::uint64_t, std::uint32_t> slot_by_key_;
  std::uint32_t newest_ = none, oldest_ = none;
  std::uint32_t active_clients_ = 0;  // with calls in flight
  double in_flight_ = 0.0;
  Bucket bucket_;
};

}  // namespace chutevane::limit
