// What operators saw of their orders, and whether it can be: a checker for configurations that are replaced
// on an expected version, where versions rise. It knows calls, their times and their answers, and nothing of
// how these came about. An answer that was lost on its way counts too: it might have come.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::simulated {

// All that makes an order the same when it is sent again.
struct OrderKey {
  std::int64_t base = 0, version = 0;
  std::string body;
  auto operator<=>(const OrderKey&) const = default;
};

class OrderHistory {
 public:
  void sent(const OrderKey& order, TimePoint at);
  void answered(const OrderKey& order, TimePoint sent, TimePoint at, int status);
  // A configuration that was read back; version 0: none was taken yet.
  void read(TimePoint sent, TimePoint at, std::int64_t version, const std::string& body);
  // The first thing that cannot be; empty: all can.
  std::string fault() const;
  // Orders, and not tries.
  std::size_t acknowledged() const { return count(200); }
  std::size_t refused() const { return count(412); }

 private:
  struct Try {
    TimePoint sent, at;
    int status = 0;
  };
  struct Order {
    TimePoint first_sent;
    std::vector<Try> answers;
    bool had(int status) const;
    bool was_refused() const { return had(400) || had(412); }
  };
  // A version that was in force at some time in between: acknowledged, or read.
  struct Seen {
    TimePoint sent, at;
    std::int64_t version = 0;
    const std::string* body = nullptr;  // none: nothing was in force
    const OrderKey* order = nullptr;    // none: it was read
  };
  std::size_t count(int status) const;
  std::vector<Seen> all_seen() const;
  std::string fault_of_orders() const;
  std::string fault_of_times(const std::vector<Seen>& seen) const;
  std::string fault_of_refusals(const std::vector<Seen>& seen) const;

  std::map<OrderKey, Order> orders_;
  struct Read {
    TimePoint sent, at;
    std::int64_t version = 0;
    std::string body;
  };
  std::vector<Read> reads_;
};

}  // namespace chutevane::simulated
