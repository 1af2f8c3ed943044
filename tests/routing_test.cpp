/// Routes, traffic splits, failover and limits, without sockets.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "limit/limiter.hpp"
#include "pool/cross_pool_retry.hpp"
#include "pool/failover.hpp"
#include "pool/traffic_split.hpp"
#include "route/route_table.hpp"

namespace chutevane {
namespace {

TimePoint at(double ms) { return TimePoint::at_ms(100000.0 + ms); }

// --- Routes ----------------------------------------------------------------------------------------

using route::HeaderMatcher;
using route::Route;
using PathKind = Route::PathKind;
using HeaderKind = HeaderMatcher::Kind;

struct TestRequest final : route::RequestView {
  std::string h, p, m;
  std::map<std::string, std::string> headers;
  TestRequest(std::string host_, std::string path_, std::string method_ = "GET",
              std::map<std::string, std::string> headers_ = {})
      : h(std::move(host_)), p(std::move(path_)), m(std::move(method_)), headers(std::move(headers_)) {}
  std::string_view host() const override { return h; }
  std::string_view path() const override { return p; }
  std::string_view method() const override { return m; }
  std::optional<std::string_view> header(std::string_view name) const override {
    const auto found = headers.find(std::string(name));
    if (found == headers.end()) return std::nullopt;
    return found->second;
  }
};

constexpr std::uint32_t none = route::RouteTable::none;

TEST(Routes, TheMostSpecificHostWins) {
  const std::vector<Route> r = {{"", PathKind::any, "", "", {}},
                                {"*.example.org", PathKind::any, "", "", {}},
                                {"*.a.example.org", PathKind::any, "", "", {}},
                                {"b.a.example.org", PathKind::any, "", "", {}}};
  const route::RouteTable t(r);
  EXPECT_EQ(t.match(TestRequest("else", "/")), 0U);
  EXPECT_EQ(t.match(TestRequest("example.org", "/")), 0U);  // a suffix does not match the domain itself
  EXPECT_EQ(t.match(TestRequest("x.example.org", "/")), 1U);
  EXPECT_EQ(t.match(TestRequest("x.a.example.org", "/")), 2U);
  EXPECT_EQ(t.match(TestRequest("B.A.Example.org.:8080", "/")), 3U);
  EXPECT_EQ(t.match(TestRequest(std::string(300, 'x') + ".example.org", "/")), 0U);
}

TEST(Routes, PrefixesMatchWholeSegmentsAndTheLongestWins) {
  const std::vector<Route> r = {{"", PathKind::prefix, "/a", "", {}},
                                {"", PathKind::prefix, "/a/b/", "", {}},
                                {"", PathKind::exact, "/a/b", "", {}},
                                {"", PathKind::prefix, "/", "", {}}};
  const route::RouteTable t(r);
  EXPECT_EQ(t.match(TestRequest("h", "/a")), 0U);
  EXPECT_EQ(t.match(TestRequest("h", "/a/x")), 0U);
  EXPECT_EQ(t.match(TestRequest("h", "/ab")), 3U);
  EXPECT_EQ(t.match(TestRequest("h", "/a/b")), 2U);
  EXPECT_EQ(t.match(TestRequest("h", "/a/b/")), 1U);
  EXPECT_EQ(t.match(TestRequest("h", "/a/bc")), 0U);
}

TEST(Routes, AHostWithoutAMatchingPathFallsBackToTheNext) {
  const std::vector<Route> r = {{"a.org", PathKind::exact, "/x", "", {}},
                                {"*.org", PathKind::any, "", "PUT", {}}};
  const route::RouteTable t(r);
  EXPECT_EQ(t.match(TestRequest("a.org", "/x")), 0U);
  EXPECT_EQ(t.match(TestRequest("a.org", "/y", "PUT")), 1U);
  EXPECT_EQ(t.match(TestRequest("a.org", "/y", "GET")), none);
}

TEST(Routes, MethodThenHeadersDecide) {
  const std::vector<Route> r = {{"", PathKind::any, "", "", {{"v", HeaderKind::exact, "2"}}},
                                {"", PathKind::any, "", "POST", {}},
                                {"", PathKind::any, "", "", {{"v", HeaderKind::prefix, "2"}}},
                                {"", PathKind::any, "", "", {{"v", HeaderKind::present, ""}}},
                                {"", PathKind::any, "", "", {}}};
  const route::RouteTable t(r);
  EXPECT_EQ(t.match(TestRequest("h", "/", "GET", {{"v", "2"}})), 0U);
  EXPECT_EQ(t.match(TestRequest("h", "/", "GET", {{"v", "21"}})), 2U);
  EXPECT_EQ(t.match(TestRequest("h", "/", "GET", {{"v", "3"}})), 3U);
  EXPECT_EQ(t.match(TestRequest("h", "/", "GET")), 4U);
  EXPECT_EQ(t.match(TestRequest("h", "/", "POST", {{"v", "2"}})), 1U);
}

TEST(Routes, AmbiguousRoutesAreNamedAndExclusiveOnesAreAllowed) {
  const Route x{"", PathKind::any, "", "", {{"x", HeaderKind::exact, "1"}}};
  const Route other{"", PathKind::any, "", "", {{"x", HeaderKind::exact, "2"}}};
  const Route y{"", PathKind::any, "", "", {{"y", HeaderKind::exact, "1"}}};
  EXPECT_NO_THROW(route::RouteTable(std::vector<Route>{x, other}));
  EXPECT_THROW(route::RouteTable(std::vector<Route>{x, x}), route::AmbiguousRouteError);
  try {
    const route::RouteTable t(std::vector<Route>{x, other, y});
    FAIL() << "a request can have both headers";
  } catch (const route::AmbiguousRouteError& e) {
    EXPECT_EQ(e.first, 0U);
    EXPECT_EQ(e.second, 2U);
  }
}

Route any_route() {
  Route out;
  out.host = *rc::gen::element<std::string>("", "a.org", "b.a.org", "*.org", "*.a.org");
  out.path_kind = *rc::gen::element(PathKind::any, PathKind::exact, PathKind::prefix);
  if (out.path_kind != PathKind::any)
    out.path = *rc::gen::element<std::string>("/", "/a", "/a/", "/a/b", "/ab", "/a//b", "/b");
  out.method = *rc::gen::element<std::string>("", "", "GET", "POST");
  for (const char* name : {"x", "y"}) {
    const int kind = *rc::gen::inRange(0, 6);
    if (kind > 2) continue;
    HeaderMatcher h{name, static_cast<HeaderKind>(kind), ""};
    if (h.kind != HeaderKind::present) h.value = *rc::gen::element<std::string>("1", "2", "12");
    out.headers.push_back(h);
  }
  return out;
}

// Compares the compiled table with a linear scan, on random tables.
TEST(Routes, TheCompiledTableAgreesWithALinearScan) {
  const bool held = rc::check([] {
    std::vector<Route> routes;
    for (int i = *rc::gen::inRange(1, 25); i > 0; --i) {
      routes.push_back(any_route());
      try {
        const route::RouteTable t(routes);
      } catch (const route::AmbiguousRouteError&) {
        routes.pop_back();
      }
    }
    const route::RouteTable table(routes);
    for (int i = 0; i < 20; ++i) {
      TestRequest asked(
          *rc::gen::element<std::string>("a.org", "b.a.org", "c.org", "A.ORG:80", "x", ".a.org", "b.b.a.org"),
          *rc::gen::element<std::string>("/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/a//b", "//", "/b/"),
          *rc::gen::element<std::string>("GET", "POST", "PUT"));
      for (const char* name : {"x", "y"}) {
        const std::string v = *rc::gen::element<std::string>("", "1", "2", "12", "123");
        if (!v.empty()) asked.headers[name] = v;
      }
      std::uint32_t best = none;
      for (std::uint32_t r = 0; r < routes.size(); ++r) {
        if (matches(routes[r], asked) && (best == none || compare_specificity(routes[r], routes[best]) < 0))
          best = r;
      }
      RC_ASSERT(table.match(asked) == best);
    }
  });
  EXPECT_TRUE(held);
}

// --- Splits ----------------------------------------------------------------------------------------

std::string key(int i) { return "caller-" + std::to_string(i); }

TEST(TrafficSplit, FollowsTheWeightsAndKeepsAClientAtItsTarget) {
  const std::vector<pool::SplitTarget> targets = {{"old", 90}, {"new", 10}, {"none", 0}};
  const pool::TrafficSplit split(targets);
  std::array<int, 3> count{};
  for (int i = 0; i < 20000; ++i) {
    ++count[split.choose(key(i))];
    ASSERT_EQ(split.choose(key(i)), split.choose(key(i)));
  }
  EXPECT_NEAR(count[1], 2000, 150);
  EXPECT_EQ(count[2], 0);
  EXPECT_EQ(split.choose(0.0), 0U);
  EXPECT_EQ(split.choose(0.95), 1U);
  EXPECT_EQ(split.choose(0.9999999), 1U);
}

// Only the share that a target gains moves, and only to that target, whatever the order of the targets.
TEST(TrafficSplit, AWeightChangeMovesTheMinimum) {
  const pool::TrafficSplit before(std::vector<pool::SplitTarget>{{"a", 80}, {"b", 10}, {"c", 10}});
  const pool::TrafficSplit after(
      std::vector<pool::SplitTarget>{{"c", 10}, {"a", 80}, {"b", 35}});  // b from 0.10 to 0.28
  const std::array<std::size_t, 3> place = {1, 2, 0};
  int moved = 0, elsewhere = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::size_t was = place[before.choose(key(i))], now = after.choose(key(i));
    moved += was != now ? 1 : 0;
    elsewhere += was != now && now != 2 ? 1 : 0;
  }
  EXPECT_EQ(elsewhere, 0);
  EXPECT_NEAR(moved / 20000.0, 0.28 - 0.10, 0.015);
}

// --- Failover --------------------------------------------------------------------------------------

// Simulated pools with a capacity in calls/s; calls above it fail.
struct FailoverBench {
  explicit FailoverBench(std::vector<double> stated_rates = {0, 0}, const pool::FailoverConfig& config = {})
      : failover(config, stated_rates, 7, at(0)),
        capacity(stated_rates.size(), 1e9),
        sent(stated_rates.size(), 0) {
    for (std::size_t i = 0; i < stated_rates.size(); ++i) failover.set_ready(i, 10, at(0));
  }
  // Sends `rate` calls/s for `ms` and counts the calls of each pool.
  void run_for(double ms, double rate = 200) {
    std::fill(sent.begin(), sent.end(), 0);
    const double end = now + ms;
    for (; now < end; now += 1000.0 / rate) {
      const std::size_t p = failover.choose(at(now));
      ++sent[p];
      // A pool completes as many calls as its capacity allows per 100 ms.
      if (now - window > 100) window = now, in_window.assign(capacity.size(), 0);
      failover.record_end(p, ++in_window[p] <= capacity[p] / 10, at(now));
    }
  }
  double share_of_calls(std::size_t p) const {
    double all = 0;
    for (const double s : sent) all += s;
    return all > 0 ? sent[p] / all : 0;
  }
  pool::Failover failover;
  std::vector<double> capacity, sent, in_window = {0, 0, 0};
  double now = 0, window = -1000;
};

TEST(Failover, AHealthyPoolKeepsAllCalls) {
  FailoverBench b;
  b.run_for(5000);
  EXPECT_EQ(b.share_of_calls(0), 1.0);
  EXPECT_EQ(b.failover.health(0), 1.0);
}

TEST(Failover, SpareCapacityIsUsedBeforeCallsMove) {
  FailoverBench b;
  b.run_for(1000);
  b.failover.set_ready(0, 8, at(b.now));  // 80% are ready: the value of whole_from
  b.run_for(3000);
  EXPECT_EQ(b.share_of_calls(0), 1.0);
}

TEST(Failover, TheNextPoolsShareRisesInProportionToTheLoss) {
  FailoverBench b({0, 1000});
  b.run_for(1000);
  b.failover.set_ready(0, 4, at(b.now));  // 0.4 of 0.8: half is missing
  b.run_for(1000);
  b.run_for(2000);
  EXPECT_NEAR(b.share_of_calls(1), 0.5, 0.08);
  EXPECT_NEAR(b.failover.share(1), 0.5, 0.01);
}

TEST(Failover, ALostPoolLosesAllCallsWithinASecond) {
  FailoverBench b({0, 1000});
  b.run_for(2000);
  b.failover.set_ready(0, 0, at(b.now));
  b.run_for(1000);
  b.run_for(1000);
  EXPECT_GT(b.share_of_calls(1), 0.95);
}

TEST(Failover, CallsReturnSlowly) {
  FailoverBench b({0, 1000});
  b.run_for(1000);
  b.failover.set_ready(0, 0, at(b.now));
  b.run_for(3000);
  b.failover.set_ready(0, 10, at(b.now));
  b.run_for(4000);  // 0.05 per second: a fifth has returned
  EXPECT_NEAR(b.failover.share(0), 0.2, 0.03);
  b.run_for(20000);
  EXPECT_EQ(b.failover.share(0), 1.0);
}

// A pool that fails silently must not count as healthy each time its recorded failures have decayed.
TEST(Failover, AFailedPoolGetsAFewProbesAndRecovers) {
  FailoverBench b({0, 1000});
  b.run_for(1000);
  b.capacity[0] = 0;
  b.run_for(5000);
  b.run_for(20000);
  EXPECT_LT(b.sent[0], 60);  // two calls/s of 200
  EXPECT_GT(b.sent[0], 20);
  b.capacity[0] = 1e9;
  b.run_for(3000);
  EXPECT_GT(b.failover.share(0), 0.03);  // its recovery is detected, and calls return slowly
  b.run_for(25000);
  EXPECT_EQ(b.failover.share(0), 1.0);
}

// Failover must not turn the loss of one pool into the loss of two.
TEST(Failover, TheNextPoolGetsNoMoreThanItIsKnownToSustain) {
  FailoverBench b({0, 80});
  b.run_for(1000);
  b.failover.set_ready(0, 0, at(b.now));
  b.run_for(2000);
  b.run_for(2000);
  EXPECT_NEAR(b.share_of_calls(1), 0.4, 0.06);  // 80 of 200 calls/s; the first pool rejects the rest
}

TEST(Failover, APoolOfUnknownCapacityGetsAGrowingShare) {
  FailoverBench b;
  b.capacity[1] = 150;
  b.run_for(1000);
  b.failover.set_ready(0, 0, at(b.now));
  b.run_for(1000);
  const double first = b.failover.share(1);
  EXPECT_LT(first, 0.5);  // 5 calls/s for each of ten endpoints, of 200 calls/s
  b.run_for(20000);
  EXPECT_GT(b.failover.share(1), first + 0.1);
  EXPECT_LT(b.failover.share(1), 0.95);  // its capacity is 0.75 of them
}

TEST(Failover, AFlappingPoolDoesNotMoveItsCallsEachTime) {
  FailoverBench b({0, 1000});
  b.run_for(2000);
  double moved = 0.0, last = b.failover.share(0);
  for (int i = 0; i < 10; ++i) {
    b.failover.set_ready(0, i % 2 == 0 ? 0 : 10, at(b.now));
    b.run_for(1000);
    moved += std::abs(b.failover.share(0) - last);
    last = b.failover.share(0);
  }
  EXPECT_LT(moved, 1.6);  // once down, then only the slow return; otherwise it would be ten times all calls
  EXPECT_LT(b.failover.share(0), 0.1);
}

TEST(Failover, TwoDegradedPoolsShareCallsAndPanicModeSpreadsThem) {
  FailoverBench b({0, 1000});
  b.run_for(1000);
  b.failover.set_ready(0, 4, at(b.now));
  b.failover.set_ready(1, 4, at(b.now));
  b.run_for(3000);
  EXPECT_FALSE(b.failover.panic());
  EXPECT_GT(b.share_of_calls(0), 0.45);
  EXPECT_GT(b.share_of_calls(1), 0.2);
  b.failover.set_ready(0, 1, at(b.now));
  b.failover.set_ready(1, 3, at(b.now));
  b.run_for(500);
  b.run_for(2000);
  EXPECT_TRUE(b.failover.panic());
  EXPECT_NEAR(b.share_of_calls(1), 0.75, 0.06);
}

TEST(Failover, SharesAlwaysAddUpToOne) {
  const bool held = rc::check([] {
    FailoverBench b({0, 50, 0});
    for (int i = 0; i < 20; ++i) {
      const auto p = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
      b.failover.set_ready(p, *rc::gen::inRange(0, 12), at(b.now));
      b.capacity[p] = *rc::gen::inRange(0, 300);
      b.run_for(*rc::gen::inRange(50, 1500));
      double sum = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        RC_ASSERT(b.failover.share(k) >= 0.0);
        sum += b.failover.share(k);
      }
      RC_ASSERT(sum > 0.999999);
      RC_ASSERT(sum < 1.000001);
    }
  });
  EXPECT_TRUE(held);
}

// --- Retries in another pool --------------------------------------------------------------------------

TEST(CrossPoolRetry, TheRetryRulesHoldAcrossPools) {
  using pool::Idempotency;
  using pool::RetryDenial;
  pool::CrossPoolRetry retry;
  retry.max_dispatches = 4;
  retry.deadline = at(1000);
  retry.key_retention = Span::ms(5000);
  pool::AttemptHistory fresh, ran;
  ran.dispatches = 1;
  ran.may_have_run = true;
  ran.first_sent = at(-100);
  const auto denial = [&](Idempotency idempotency, const pool::AttemptHistory& history) {
    retry.idempotency = idempotency;
    return check_cross_pool_retry(retry, history, at(0));
  };
  for (const Idempotency i : {Idempotency::idempotent, Idempotency::keyed, Idempotency::non_idempotent})
    EXPECT_EQ(denial(i, fresh), RetryDenial::none);
  EXPECT_EQ(denial(Idempotency::idempotent, ran), RetryDenial::none);
  EXPECT_EQ(denial(Idempotency::non_idempotent, ran), RetryDenial::may_have_run);
  EXPECT_EQ(denial(Idempotency::keyed, ran), RetryDenial::other_key_memory);
  retry.shares_key_memory = true;
  EXPECT_EQ(denial(Idempotency::keyed, ran), RetryDenial::none);
  retry.key_retention = Span::ms(1050);  // the next pool might send after it has ended
  EXPECT_EQ(denial(Idempotency::keyed, ran), RetryDenial::key_forgotten);
  retry.memory_spans_group = false;
  EXPECT_EQ(denial(Idempotency::keyed, ran), RetryDenial::other_key_memory);
  ran.dispatches = 4;
  EXPECT_EQ(denial(Idempotency::idempotent, ran), RetryDenial::dispatches_exhausted);
  EXPECT_EQ(check_cross_pool_retry(retry, fresh, at(1000)), RetryDenial::deadline_passed);
}

// --- Limits ----------------------------------------------------------------------------------------

using limit::Limiter;
using limit::Rejection;

TEST(Limits, RatesRejectAtOnceWithARetryDelay) {
  limit::LimitConfig config;
  config.client_rate = {10, 2};
  Limiter l(config, 1, at(0));
  EXPECT_EQ(l.admit("a", at(0)).rejection, Rejection::none);
  EXPECT_EQ(l.admit("a", at(0)).rejection, Rejection::none);
  const limit::Admission no = l.admit("a", at(0));
  EXPECT_EQ(no.rejection, Rejection::client_rate);
  EXPECT_NEAR(no.retry_after.as_ms(), 100.0, 0.1);
  EXPECT_EQ(l.admit("b", at(0)).rejection, Rejection::none);
  EXPECT_EQ(l.admit("a", at(0) + no.retry_after).rejection, Rejection::none);
}

TEST(Limits, ARejectionTakesNoTokenOfTheOtherBucket) {
  limit::LimitConfig config;
  config.rate = {1, 1};
  config.client_rate = {1, 1};
  Limiter l(config, 1, at(0));
  EXPECT_EQ(l.admit("a", at(0)).rejection, Rejection::none);
  EXPECT_EQ(l.admit("b", at(0)).rejection, Rejection::service_rate);
  EXPECT_EQ(l.admit("a", at(0)).rejection, Rejection::client_rate);
  EXPECT_EQ(l.admit("b", at(1001)).rejection, Rejection::none);  // its token was not taken
}

// A noisy client cannot take the even shares of the others.
TEST(Limits, ANoisyClientCannotTakeTheSharesOfOthers) {
  limit::LimitConfig config;
  config.max_in_flight = 100;
  Limiter l(config, 1, at(0));
  int noisy = 0;
  std::vector<std::uint32_t> places;
  for (int i = 0; i < 500; ++i) {
    const limit::Admission a = l.admit("noisy", at(0));
    if (a.rejection == Rejection::none)
      ++noisy, places.push_back(a.client_slot);
    else
      EXPECT_EQ(a.rejection, Rejection::client_share);
  }
  EXPECT_EQ(noisy, 80);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(l.admit("quiet", at(1)).rejection, Rejection::none);
  const limit::Admission full = l.admit("third", at(1));
  EXPECT_EQ(full.rejection, Rejection::service_in_flight);
  EXPECT_EQ(full.retry_after, config.retry_after);
  // As the noisy client's calls end, the quiet client can grow to its even share first.
  for (int i = 0; i < 40; ++i) l.release(places[static_cast<std::size_t>(i)]);
  for (int i = 0; i < 200; ++i) static_cast<void>(l.admit("noisy", at(2)));
  int quiet = 20;
  while (l.admit("quiet", at(3)).rejection == Rejection::none) ++quiet;
  EXPECT_GE(quiet, 40);
}

// With a new key for every call the table of clients stays bounded, and the service's limit holds.
TEST(Limits, TheTableStaysBoundedWithANewKeyForEveryCall) {
  limit::LimitConfig config;
  config.max_in_flight = 50;
  config.client_rate = {1, 1};
  config.max_clients = 1000;
  Limiter l(config, 1, at(0));
  std::vector<std::uint32_t> places;
  int admitted = 0;
  for (int i = 0; i < 100000; ++i) {
    const limit::Admission a = l.admit(key(i), at(i * 0.1));
    if (a.rejection == Rejection::none) ++admitted, places.push_back(a.client_slot);
    if (places.size() == 40) {
      for (const std::uint32_t p : places) l.release(p);
      places.clear();
    }
    ASSERT_LE(l.clients(), 1000U);
  }
  EXPECT_EQ(admitted, 100000);
  EXPECT_LT(l.bytes(), 250000U);
}

TEST(Limits, IdleClientsAreEvictedAndBusyOnesAreNot) {
  limit::LimitConfig config;
  config.max_client_in_flight = 1;
  config.max_clients = 2;
  Limiter l(config, 1, at(0));
  const limit::Admission busy = l.admit("busy", at(0));
  l.release(l.admit("idle", at(1)).client_slot);
  static_cast<void>(l.admit("new", at(70000)));
  EXPECT_EQ(l.clients(), 2U);
  EXPECT_EQ(l.admit("busy", at(70001)).rejection, Rejection::client_in_flight);
  // The table is full: further clients share one entry, and are limited together.
  EXPECT_EQ(l.admit("x", at(70002)).rejection, Rejection::none);
  EXPECT_EQ(l.admit("y", at(70003)).rejection, Rejection::client_in_flight);
  l.release(busy.client_slot);
  EXPECT_EQ(l.admit("busy", at(70004)).rejection, Rejection::none);
}

}  // namespace
}  // namespace chutevane
