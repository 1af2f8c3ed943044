// Many services behind routes: which route, which pool, what limits; each pool decides within itself. One
// service with one pool, as the platform has it, goes straight to its driver.
#pragma once

#include <memory>
#include <vector>

#include "limit/limiter.hpp"
#include "opfile/file.hpp"
#include "pool/failover.hpp"
#include "pool/split.hpp"
#include "sidecar/callers.hpp"
#include "sidecar/driver.hpp"

namespace chutevane::sidecar {

// A pool of endpoints, with the balancer that decides in it.
struct Pool {
  Pool(net::Scheduler& scheduler, const config::Config& config, const Front& front, Counters& counters,
       Room* room = nullptr, net::BufferBudget* held = nullptr)
      : endpoints(scheduler, config, front, counters, room, held),
        driver(scheduler, config, endpoints, counters) {}
  Endpoints endpoints;
  Driver driver;
};

// The platform's: its protocol tells the track, and there is one pool.
class SingleService final : public Intake {
 public:
  SingleService(const Front& front, Driver& driver) : front_(front), driver_(driver) {}
  Front::Kind read(const http::Parser& request, ApiCall& call, std::uint32_t&,
                   std::string_view& why) const override {
    return front_.read_request(request, call, why);
  }
  CallId take(const ApiCall& call, std::uint32_t, Caller& caller) override {
    return driver_.take(call, caller);
  }
  void caller_left(CallId call) override { driver_.caller_left(call); }
  void break_off_all() override { driver_.break_off_all(); }

 private:
  const Front& front_;
  Driver& driver_;
};

class Services final : public Intake {
 public:
  // `pools` in the model's order; they and the model outlive it.
  Services(net::Scheduler& scheduler, const opfile::Model& model, const Front& front,
           std::vector<std::unique_ptr<Pool>>& pools, Counters& counters);
  ~Services();

  Front::Kind read(const http::Parser& request, ApiCall& call, std::uint32_t& way,
                   std::string_view& why) const override;
  CallId take(const ApiCall& call, std::uint32_t way, Caller& caller) override;
  void caller_left(CallId call) override;
  void break_off_all() override;

  std::size_t in_hand() const { return in_hand_; }
  const pool::Failover& failover(std::size_t service, std::size_t side) const {
    return services_[service].sides[side].failover;
  }
  const limit::Limiter& limiter(std::size_t service) const { return services_[service].limiter; }

 private:
  class Flight;
  struct Side {
    std::vector<std::size_t> pools;
    pool::Failover failover;
  };
  struct Service {
    std::vector<Side> sides;
    pool::Split split;
    limit::Limiter limiter;
  };
  void start(Flight& flight, std::size_t nth);
  // Whether another pool has been given the call.
  bool goes_on(Flight& flight, const pool::Spent& spent);
  Caller* release(Flight& flight);
  void count(const Flight& flight, bool well);
  net::Task keep_ready();

  net::Scheduler& scheduler_;
  const opfile::Model& model_;
  const Front& front_;
  std::vector<std::unique_ptr<Pool>>& pools_;
  Counters& counters_;
  Pcg chance_;
  std::vector<Service> services_;
  std::vector<std::unique_ptr<Flight>> flights_;
  std::vector<std::uint32_t> free_;
  IdIndex index_;
  CallId last_id_ = 0;
  std::size_t in_hand_ = 0;
  bool ending_ = false;
  net::Waker waker_;
  net::Timer timer_;
  net::Task keeper_;
};

// What a route's table looks at in a request.
class RoutedRequest final : public route::Request {
 public:
  explicit RoutedRequest(const http::Parser& parser) : parser_(parser) {}
  std::string_view host() const override { return parser_.find("Host").value_or(""); }
  std::string_view path() const override { return parser_.target().substr(0, parser_.target().find('?')); }
  std::string_view method() const override { return parser_.method(); }
  std::optional<std::string_view> header(std::string_view name) const override { return parser_.find(name); }

 private:
  const http::Parser& parser_;
};

// A pool's part of the model in the form that a pool is made of.
config::Config pool_config(const opfile::Model& model, std::size_t pool);
HeaderNames header_names(const opfile::Model& model);

}  // namespace chutevane::sidecar
