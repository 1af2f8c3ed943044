// Limits of a service, without I/O: calls in flight and calls a second, over all and by client. What goes
// beyond is refused at once, with the time after which it may come back.
//
// The table of clients is bounded: the one that was seen longest ago and has nothing in flight goes for a new
// one, and a new one that finds no place shares one place with all such. The service's own limits hold
// whoever asks.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::limit {

struct Rate {
  double per_s = 0.0;  // 0: no limit
  double burst = 0.0;  // calls at once; at least 1 where there is a limit
};

struct LimitSpec {
  double in_flight = 0.0;  // of the service; 0: no limit
  Rate rate;
  double client_in_flight = 0.0;  // of each client, whatever room there is
  Rate client_rate;
  // The last part of the service's room is for clients that have less than an even share of it: one noisy
  // client leaves that much to the others.
  double kept_for_quiet = 0.2;
  std::size_t clients = 10000;         // that are told apart
  Span client_idle = Span::ms(60000);  // after which one is forgotten
  Span come_back = Span::ms(250);      // told where no bucket says when: calls in flight are to end first
};

enum class Refusal : std::uint8_t {
  none,
  service_busy,
  service_rate,
  client_busy,
  client_rate,
  client_share
};
std::string_view name_of(Refusal refusal);

struct Admission {
  Refusal refusal = Refusal::none;
  Span come_back;           // where refused: after which a try is worth it
  std::uint32_t place = 0;  // for ended()
};

class Limiter {
 public:
  Limiter(const LimitSpec& spec, std::uint64_t seed, TimePoint now);
  // Clients by the hash of their key; empty: nobody in particular, all of them one.
  Admission admit(std::string_view client, TimePoint now);
  // Whether it matters who asks.
  bool tells_clients() const {
    return spec_.client_in_flight > 0.0 || spec_.client_rate.per_s > 0.0 || spec_.in_flight > 0.0;
  }
  void ended(std::uint32_t place);  // of a call that was admitted
  std::size_t clients() const { return index_.size(); }
  std::size_t bytes() const;
  double in_flight() const { return in_flight_; }

 private:
  static constexpr std::uint32_t none = 0xffffffffU, shared_place = 0;
  struct Bucket {
    double tokens = 0.0;
    TimePoint filled;
  };
  struct Client {
    std::uint64_t key = 0;
    std::uint32_t newer = none, older = none;  // by when they were last seen
    Bucket bucket;
    std::uint32_t in_flight = 0;
    TimePoint seen;
  };
  std::uint32_t place_of(std::string_view client, TimePoint now);
  void unlink(std::uint32_t place);
  void link_newest(std::uint32_t place);
  void forget(std::uint32_t place);
  static Span until_token(Bucket& bucket, const Rate& rate, TimePoint now);

  LimitSpec spec_;
  std::uint64_t seed_;
  std::vector<Client> clients_;  // place 0 is shared by those that found none
  std::vector<std::uint32_t> free_;
  std::unordered_map<std::uint64_t, std::uint32_t> index_;
  std::uint32_t newest_ = none, oldest_ = none;
  std::uint32_t active_ = 0;  // clients with calls in flight
  double in_flight_ = 0.0;
  Bucket bucket_;
};

}  // namespace chutevane::limit
