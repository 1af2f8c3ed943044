/// Admission limits of a service: calls in flight and calls per second, in total and per client. A call that
/// exceeds a limit is rejected at once, with the time after which a retry is worthwhile. Does no I/O.
///
/// The table of clients is bounded. If it is full, a new client replaces the least recently seen one that has
/// no calls in flight. If there is none, the new client shares one entry with all others without an entry.
/// The limits of the service hold for all clients in any case.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::limit {

/// A token bucket.
struct Rate {
  double per_s = 0.0;  // tokens per second; 0: no limit
  double burst = 0.0;  // capacity in calls; if there is a limit, at least 1 is used
};

/// The operator's file has its own names for some of these settings (operator_file/reader.cpp).
struct LimitConfig {
  double max_in_flight = 0.0;  // calls of the service; 0: no limit
  Rate rate;
  double max_client_in_flight = 0.0;  // calls of each client, even if the service has capacity; 0: no limit
  Rate client_rate;
  /// Fraction of `max_in_flight` that is reserved for clients with less than an even share of the calls in
  /// flight, so that one noisy client cannot take all capacity.
  double reserved_share = 0.2;
  std::size_t max_clients = 10000;             // clients with an entry of their own
  Span client_idle_timeout = Span::ms(60000);  // time after which an idle client's entry is removed
  /// The retry delay of a rejection by a limit on calls in flight: one of these calls must end first.
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
/// Returns the name of the limit, for metrics and messages.
std::string_view name_of(Rejection rejection);

/// The result of Limiter::admit().
struct Admission {
  Rejection rejection = Rejection::none;
  Span retry_after;               // if rejected: time after which a retry is worthwhile
  std::uint32_t client_slot = 0;  // if admitted: the argument of release()
};

class Limiter {
 public:
  /// `seed` is that of the hash of client keys.
  Limiter(const LimitConfig& config, std::uint64_t seed, TimePoint now);
  /// Admits or rejects a call. Each admitted call must be released once. `client` is any key, and clients are
  /// distinguished by its hash. All calls with an empty key share one entry.
  [[nodiscard]] Admission admit(std::string_view client, TimePoint now);
  void release(std::uint32_t client_slot);
  /// Returns true if admit() depends on the client.
  bool needs_client_key() const {
    return config_.max_client_in_flight > 0.0 || config_.client_rate.per_s > 0.0 ||
           config_.max_in_flight > 0.0;
  }
  std::size_t clients() const { return slot_by_key_.size(); }
  std::size_t bytes() const;  // approximate memory use
  double in_flight() const { return in_flight_; }

 private:
  static constexpr std::uint32_t none = 0xffffffffU, shared_slot = 0;
  struct Bucket {
    double tokens = 0.0;
    TimePoint filled_at;
  };
  struct Client {
    std::uint64_t key = 0;
    std::uint32_t newer = none, older = none;  // slots; the list is ordered by `last_seen`
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
  std::vector<Client> clients_;  // indexed by slot
  std::vector<std::uint32_t> free_slots_;
  std::unordered_map<std::uint64_t, std::uint32_t> slot_by_key_;
  std::uint32_t newest_ = none, oldest_ = none;
  std::uint32_t active_clients_ = 0;  // clients with calls in flight
  double in_flight_ = 0.0;
  Bucket bucket_;
};

}  // namespace chutevane::limit
