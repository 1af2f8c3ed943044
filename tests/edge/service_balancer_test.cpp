/// The load balancer of one service in simulated time: timeouts, skipped retries, weights, overload, prefix
/// affinity, and ejection of failing endpoints.
#include "edge/service_balancer.hpp"

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "edge/prefix_cache_index.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::edge::AttemptContext;
using chutevane::edge::AttemptOutcome;
using chutevane::edge::PrefixCacheIndex;
using chutevane::edge::PromptBlock;
using chutevane::edge::ServiceBalancer;

namespace {

std::vector<ServiceBalancer::EndpointInfo> endpoints(int n, const std::string& zone = "z") {
  std::vector<ServiceBalancer::EndpointInfo> result;
  result.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) result.push_back({numbered("e", i), zone, 10});
  return result;
}

AttemptContext prompt_of(std::initializer_list<PromptBlock> all) {
  AttemptContext result;
  result.has_affinity = true;
  result.prompt = all;
  return result;
}

}  // namespace

TEST_GROUP(BalancerTimeouts) {
  ServiceBalancer balancer{"z", 1};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { balancer.update_endpoints(endpoints(3), now); }
  void serve_attempts(int n, double ms) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent("e0", {}, now);
      balancer.on_response("e0", {}, Span::ms(ms), now);
      balancer.on_attempt_ended("e0", {}, AttemptOutcome::served, now);
    }
  }
  void time_out_attempts(int n) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent("e1", {}, now);
      balancer.on_attempt_ended("e1", {}, AttemptOutcome::adaptive_timeout, now);
    }
  }
  double timeout(double deadline, double left, bool repeatable = true) {
    return balancer.attempt_timeout(Span::ms(deadline), Span::ms(left), repeatable, now).as_ms();
  }
};

// The timeout is the smallest of three terms. The adaptive one applies only if there are enough observations
// and the request may be retried.
TEST(BalancerTimeouts, TimeoutIsTheLeastOfThree) {
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(700, timeout(2000, 700), 0);
  serve_attempts(200, 100);
  const double third = timeout(1e6, 1e6);
  CHECK_TRUE(third > 300 * 0.85 && third < 300 * 1.2);
  DOUBLES_EQUAL(third, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(120, timeout(120, 5000), 0);
  DOUBLES_EQUAL(90, timeout(2000, 90), 0);
  DOUBLES_EQUAL(2000, timeout(2000, 5000, false), 0);
  DOUBLES_EQUAL(60, timeout(2000, 60, false), 0);
}

// Three times a p95 of a few ms is shorter than scheduling pauses of the machine, so the adaptive term is at
// least 50 ms. The floor does not raise the timeout above the other terms.
TEST(BalancerTimeouts, FloorOfFiftyMilliseconds) {
  serve_attempts(200, 2);
  DOUBLES_EQUAL(50, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(30, timeout(2000, 30), 0);
  DOUBLES_EQUAL(20, timeout(20, 5000), 0);
}

TEST(BalancerTimeouts, NotAdaptiveBelowTwentyResponses) {
  serve_attempts(19, 10);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  serve_attempts(1, 10);
  CHECK_TRUE(timeout(2000, 5000) < 100);
  // Observations expire.
  now = now + Span::ms(30000);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
}

// Attempts ended by the adaptive timeout yield no latency. If they exceed a fifth of the served ones, the
// estimate is starved and not used.
TEST(BalancerTimeouts, NotAdaptiveWhileStarved) {
  serve_attempts(100, 10);
  time_out_attempts(20);
  CHECK_TRUE(timeout(2000, 5000) < 100);
  time_out_attempts(1);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  serve_attempts(5, 10);
  CHECK_TRUE(timeout(2000, 5000) < 100);
}

TEST(BalancerTimeouts, TimeoutFollowsTheSlowTail) {
  serve_attempts(90, 10);
  serve_attempts(10, 400);
  CHECK_TRUE(timeout(1e6, 1e6) > 1000);
}

TEST(BalancerTimeouts, NoTimeLeft) {
  CHECK_TRUE(ServiceBalancer::is_expired(Span()) && ServiceBalancer::is_expired(Span::ms(-5)));
  CHECK_FALSE(ServiceBalancer::is_expired(Span::us(1)));
}

// A retry is skipped if less time is left than the median attempt takes.
TEST(BalancerTimeouts, RetriesWithTooLittleTimeAreSkipped) {
  CHECK_TRUE(balancer.allows_retry(Span::ms(1), now));  // no observations
  serve_attempts(100, 100);
  CHECK_FALSE(balancer.allows_retry(Span::ms(80), now));
  CHECK_TRUE(balancer.allows_retry(Span::ms(125), now));
  CHECK_FALSE(balancer.allows_retry(Span(), now));
  CHECK_FALSE(balancer.allows_retry(Span::ms(-1), now));
  now = now + Span::ms(30000);
  CHECK_TRUE(balancer.allows_retry(Span::ms(1), now));
}

TEST_GROUP(BalancerChoice) {
  ServiceBalancer balancer{"z", 9};
  TimePoint now = TimePoint::at_ms(1e6);
  std::map<std::string, int> draw(int n, const AttemptContext& attempt = {}) {
    std::map<std::string, int> result;
    for (int i = 0; i < n; ++i) {
      if (const auto id = balancer.choose_endpoint(attempt, now)) ++result[*id];
    }
    return result;
  }
  void serve_attempts(const std::string& id, double ms, int n = 1) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent(id, {}, now);
      balancer.on_response(id, {}, Span::ms(ms), now);
      balancer.on_attempt_ended(id, {}, AttemptOutcome::served, now);
    }
  }
  void recompute_weights() { now = now + Span::ms(2100); }
  // Returns an attempt that was sent `duration` ago.
  AttemptContext attempt_of(Span duration) const {
    AttemptContext result;
    result.sent_at = now - duration;
    return result;
  }
};

TEST(BalancerChoice, NoEndpoints) {
  CHECK_TRUE(balancer.empty());
  CHECK_FALSE(balancer.choose_endpoint({}, now).has_value());
  balancer.update_endpoints(endpoints(1), now);
  CHECK_FALSE(balancer.empty());
  balancer.update_endpoints({}, now);
  CHECK_TRUE(balancer.empty() && !balancer.choose_endpoint({}, now).has_value());
  // Events of a removed endpoint are ignored.
  balancer.on_attempt_ended("e0", {}, AttemptOutcome::failed, now);
  balancer.on_response("e0", {}, Span::ms(3), now);
  balancer.on_load_report("e0", 1, 2, now);
}

TEST(BalancerChoice, UnobservedEndpointsAreEquallyLikely) {
  balancer.update_endpoints(endpoints(3), now);
  const auto drawn = draw(3000);
  CHECK_EQUAL(3U, drawn.size());
  for (const auto& [id, n] : drawn) CHECK_WHERE(n > 850 && n < 1150, id);
}

// The size of the subset depends on the number of attempts in flight, not on their rate. Endpoints of the own
// zone come first.
TEST(BalancerChoice, SubsetGrowsWithAttemptsInFlight) {
  auto list = endpoints(12);
  for (std::size_t i = 0; i < list.size(); ++i) list[i].zone = i < 4 ? "z" : "far";
  balancer.update_endpoints(list, now);
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  CHECK_EQUAL(3U, few.size());
  for (const std::string& id : few) CHECK_WHERE(std::stoi(id.substr(1)) < 4, id);
  // 100 attempts in 10 s that take 400 ms: 4 in flight on average, one half per endpoint.
  for (int i = 0; i < 100; ++i) {
    const std::string id = *balancer.choose_endpoint({}, now);
    const AttemptContext attempt;
    balancer.on_attempt_sent(id, attempt, now);
    now = now + Span::ms(40);
    balancer.on_attempt_ended(id, attempt_of(Span::ms(400)), AttemptOutcome::served, now);
  }
  CHECK_EQUAL(8U, draw(4000).size());
  // The same rate with 40 ms: 0.4 in flight.
  for (int i = 0; i < 100; ++i) {
    const std::string id = *balancer.choose_endpoint({}, now);
    balancer.on_attempt_sent(id, {}, now);
    now = now + Span::ms(40);
    balancer.on_attempt_ended(id, attempt_of(Span::ms(40)), AttemptOutcome::served, now);
  }
  CHECK_EQUAL(3U, draw(4000).size());
  now = now + Span::ms(20000);
  CHECK_EQUAL(3U, draw(4000).size());
}

// The draw leaves the subset only if its endpoints are nearly full, because an additional connection has a
// cost.
TEST(BalancerChoice, NearlyFullSubsetIsLeft) {
  balancer.update_endpoints(endpoints(6), now);  // 10 slots each
  balancer.on_attempt_sent("e0", {}, now);
  balancer.on_attempt_ended("e0", attempt_of(Span::ms(1)), AttemptOutcome::served,
                            now);  // short, so that few are in flight on average
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  for (const std::string& id : few) {
    for (int i = 0; i < 7; ++i) balancer.on_attempt_sent(id, {}, now);
  }
  for (const auto& [id, n] : draw(1000)) CHECK_WHERE(few.contains(id), id);
  // The endpoint with the most free slots is chosen.
  balancer.on_attempt_ended(*few.begin(), {}, AttemptOutcome::served, now);
  CHECK_EQUAL(1U, draw(1000).size());
  CHECK_TRUE(draw(1).contains(*few.begin()));
  for (const std::string& id : few) {
    for (int i = 0; i < 2; ++i) balancer.on_attempt_sent(id, {}, now);
  }
  for (const auto& [id, n] : draw(1000)) CHECK_WHERE(!few.contains(id), id);
}

TEST(BalancerChoice, WeightsAreInverseToLatency) {
  balancer.update_endpoints(endpoints(3), now);
  serve_attempts("e0", 10, 50);
  serve_attempts("e1", 20, 50);
  serve_attempts("e2", 40, 50);
  recompute_weights();
  auto draws = draw(7000);
  CHECK_TRUE(std::abs(draws["e0"] - 4000) < 250 && std::abs(draws["e1"] - 2000) < 250);
  CHECK_TRUE(std::abs(draws["e2"] - 1000) < 200);
}

// An endpoint without observations gets the mean weight of the others.
TEST(BalancerChoice, UnobservedGetsTheMeanWeight) {
  balancer.update_endpoints(endpoints(3), now);
  serve_attempts("e0", 10, 50);
  serve_attempts("e1", 30, 50);
  recompute_weights();
  auto draws = draw(6000);
  CHECK_TRUE(std::abs(draws["e2"] - 2000) < 250);
}

// A single slow response has little effect on the smoothed latency.
TEST(BalancerChoice, LatencyIsSmoothed) {
  balancer.update_endpoints(endpoints(2), now);
  serve_attempts("e0", 10, 50);
  serve_attempts("e1", 10, 50);
  serve_attempts("e0", 60, 1);
  recompute_weights();
  auto draws = draw(4000);
  CHECK_TRUE(draws["e0"] > 4000 / 4 && draws["e0"] < 2000);
  serve_attempts("e0", 10, 50);
  recompute_weights();
  draws = draw(4000);
  CHECK_TRUE(std::abs(draws["e0"] - 2000) < 250);
}

TEST(BalancerChoice, StateSurvivesAListUpdate) {
  balancer.update_endpoints(endpoints(2), now);
  serve_attempts("e0", 10, 50);
  serve_attempts("e1", 40, 50);
  auto more = endpoints(2);
  more.push_back({"new", "z", 10});
  balancer.update_endpoints(more, now);
  auto draws = draw(6000);
  CHECK_TRUE(draws["e0"] > draws["e1"] * 3);
  CHECK_TRUE(draws["new"] > 0);
  balancer.update_endpoints({more[0], more[2]}, now);
  CHECK_TRUE(draw(2000)["e1"] == 0);
}

// An endpoint with well above the mean in flight is skipped, whatever its weight.
TEST(BalancerChoice, OverloadedIsSkipped) {
  balancer.update_endpoints(endpoints(3), now);
  serve_attempts("e0", 20, 50);
  serve_attempts("e1", 50, 50);
  serve_attempts("e2", 50, 50);
  recompute_weights();
  CHECK_TRUE(draw(300)["e0"] > 100);
  for (int i = 0; i < 6; ++i) balancer.on_attempt_sent("e0", {}, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  for (int i = 0; i < 6; ++i) balancer.on_attempt_ended("e0", {}, AttemptOutcome::served, now);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// A reported load counts while it is recent.
TEST(BalancerChoice, ReportedLoadCounts) {
  balancer.update_endpoints(endpoints(2), now);
  balancer.on_load_report("e0", 8, 4, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  now = now + Span::ms(2500);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// The numbers of attempts in flight remain similar.
TEST(BalancerChoice, AttemptsInFlightAreEven) {
  balancer.update_endpoints(endpoints(4), now);
  std::map<std::string, int> flight;
  for (int i = 0; i < 200; ++i) {
    const auto id = balancer.choose_endpoint({}, now);
    balancer.on_attempt_sent(*id, {}, now);
    ++flight[*id];
  }
  for (const auto& [id, n] : flight) CHECK_WHERE(n >= 40 && n <= 62, id);
}

TEST(BalancerChoice, AvoidedAreNotChosen) {
  balancer.update_endpoints(endpoints(3), now);
  AttemptContext attempt;
  attempt.avoid = {"e0", "e2"};
  CHECK_TRUE(draw(100, attempt)["e1"] == 100);
  attempt.avoid.push_back("e1");
  CHECK_FALSE(balancer.choose_endpoint(attempt, now).has_value());
  attempt.has_affinity = true;
  attempt.prompt = {{7, 10}};
  CHECK_FALSE(balancer.choose_endpoint(attempt, now).has_value());
}

// A failing endpoint is ejected for a time that doubles up to a limit. A response resets the ejection time.
TEST(BalancerChoice, FailedIsEjected) {
  balancer.update_endpoints(endpoints(3), now);
  Span before;
  for (int failures = 1; failures <= 8; ++failures) {
    balancer.on_attempt_sent("e0", {}, now);
    balancer.on_attempt_ended("e0", {}, AttemptOutcome::failed, now);
    const TimePoint start = now;
    CHECK_TRUE(draw(100)["e0"] == 0);
    while (draw(60)["e0"] == 0) {
      now = now + Span::ms(50);
      CHECK_TRUE(now - start < Span::ms(6000));
    }
    const Span ejected = now - start;
    CHECK_TRUE(ejected >= std::min(before * 1.6, Span::ms(4900)));
    if (failures == 1) CHECK_TRUE(ejected >= Span::ms(250) && ejected <= Span::ms(450));
    before = ejected;
  }
  serve_attempts("e0", 10);
  balancer.on_attempt_sent("e0", {}, now);
  balancer.on_attempt_ended("e0", {}, AttemptOutcome::failed, now);
  CHECK_TRUE(draw(100)["e0"] == 0);
  now = now + Span::ms(400);
  CHECK_TRUE(draw(300)["e0"] > 0);
}

// A rejection or an adaptive timeout does not count as a failure of the endpoint.
TEST(BalancerChoice, RejectedAndTimedOutAreNotEjected) {
  balancer.update_endpoints(endpoints(2), now);
  for (const AttemptOutcome how : {AttemptOutcome::rejected, AttemptOutcome::adaptive_timeout}) {
    for (int i = 0; i < 5; ++i) {
      balancer.on_attempt_sent("e0", {}, now);
      balancer.on_attempt_ended("e0", {}, how, now);
    }
  }
  CHECK_TRUE(draw(400)["e0"] > 100);
}

// If most endpoints have failed, the cause is probably not the endpoints: none is excluded, and one is always
// chosen.
TEST(BalancerChoice, NobodyIsExcludedIfMostHaveFailed) {
  for (int n = 1; n <= 6; ++n) {
    ServiceBalancer t("z", 3);
    t.update_endpoints(endpoints(n), now);
    for (int failed = 0; failed < n; ++failed) {
      t.on_attempt_sent(numbered("e", failed), {}, now);
      t.on_attempt_ended(numbered("e", failed), {}, AttemptOutcome::failed, now);
      std::set<std::string> taken;
      for (int i = 0; i < 400; ++i) {
        const auto id = t.choose_endpoint({}, now);
        CHECK_TRUE(id.has_value());
        taken.insert(*id);
      }
      const int ejected = failed + 1;
      const auto open = static_cast<std::size_t>(2 * ejected > n ? n : n - ejected);
      // All available endpoints of the subset, or all other available ones if the subset has none.
      CHECK_TRUE(!taken.empty() && taken.size() <= open);
      CHECK_TRUE(taken.size() == open || (n > 3 && taken.size() <= 3));
      if (2 * ejected <= n) {
        for (int f = 0; f < ejected; ++f) CHECK_FALSE(taken.contains(numbered("e", f)));
      }
    }
  }
}

TEST(BalancerChoice, Crowded) {
  CHECK_FALSE(balancer.is_crowded());
  balancer.update_endpoints(endpoints(2), now);  // 20 slots
  for (int i = 0; i < 10; ++i) balancer.on_attempt_sent("e0", {}, now);
  CHECK_FALSE(balancer.is_crowded());
  balancer.on_attempt_sent("e1", {}, now);
  CHECK_TRUE(balancer.is_crowded());
}

TEST(BalancerChoice, OwnZoneFirst) {
  auto all = endpoints(2);
  all[1].zone = "far";
  balancer.update_endpoints(all, now);
  auto draws = draw(4000);
  CHECK_TRUE(draws["e0"] > draws["e1"] && draws["e1"] > 500);
}

TEST_GROUP(BalancerPrefixAffinity) {
  ServiceBalancer balancer{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override {
    balancer.update_endpoints(endpoints(6), now);
    balancer.set_engine(100000, 0);
  }
  std::string choose(const AttemptContext& p) { return balancer.choose_endpoint(p, now).value_or("none"); }
  // Simulates a mean of `attempts` attempts in flight over the last 10 s.
  void keep_in_flight(ServiceBalancer & at, int attempts) const {
    constexpr int sent_a_second = 10;
    for (int i = 0; i < 10 * sent_a_second; ++i) {
      AttemptContext one;
      at.on_attempt_sent("e0", one, now);
      one.sent_at = now - Span::ms(1000.0 * attempts / sent_a_second);
      at.on_attempt_ended("e0", one, AttemptOutcome::served, now);
    }
  }
  void serve(const std::string& id, const AttemptContext& p) {
    balancer.on_attempt_sent(id, p, now);
    balancer.on_response(id, p, Span::ms(50), now);
    balancer.on_attempt_ended(id, p, AttemptOutcome::served, now);
  }
};

// Requests go where the first blocks of their prompt are cached, however often and whatever follows these
// blocks.
TEST(BalancerPrefixAffinity, GoesWhereItsPromptIsCached) {
  for (std::uint64_t session = 0; session < 30; ++session) {
    const std::uint64_t base = 1000 * (session + 1);
    AttemptContext p = prompt_of({{base, 800}});
    const std::string first = choose(p);
    serve(first, p);
    for (std::uint64_t n = 1; n < 5; ++n) {
      p.prompt.push_back({base + n, 200});
      CHECK_TRUE(choose(p) == first);
      serve(first, p);
    }
  }
}

// For an unknown prompt, all processes whose subset contains all endpoints choose the same one, so that it is
// processed only once.
TEST(BalancerPrefixAffinity, AllProcessesChooseTheSame) {
  std::map<std::string, int> spread;
  for (std::uint64_t key = 1; key < 400; ++key) {
    const AttemptContext p = prompt_of({{key * 7919, 500}});
    std::set<std::string> taken;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
      ServiceBalancer other("z", seed);
      auto list = endpoints(6);
      if (seed % 2 == 1) std::reverse(list.begin(), list.end());
      other.update_endpoints(list, now);
      keep_in_flight(other, 3);
      taken.insert(*other.choose_endpoint(p, now));
    }
    CHECK_EQUAL(static_cast<std::size_t>(1), taken.size());
    ++spread[*taken.begin()];
  }
  for (const auto& [id, n] : spread) CHECK_WHERE(n > 30 && n < 110, id);
  CHECK_EQUAL(static_cast<std::size_t>(6), spread.size());
}

// A process with few attempts in flight uses a small subset: connections have a cost, and the load reports of
// few endpoints are more recent.
TEST(BalancerPrefixAffinity, SubsetIsAFewEndpointsOfItsOwn) {
  std::set<std::string> of_all;
  for (std::uint64_t seed = 0; seed < 12; ++seed) {
    ServiceBalancer other("z", seed);
    other.update_endpoints(endpoints(12), now);
    std::set<std::string> taken;
    for (std::uint64_t key = 1; key < 100; ++key)
      taken.insert(*other.choose_endpoint(prompt_of({{key * 7919, 500}}), now));
    CHECK_EQUAL(3U, taken.size());
    of_all.insert(taken.begin(), taken.end());
  }
  CHECK_TRUE(of_all.size() > 8);
}

// A cached block is reusable only if all blocks before it are cached.
TEST(BalancerPrefixAffinity, CachedBlockBehindAMissingOneIsNotReusable) {
  const AttemptContext whole = prompt_of({{1, 500}, {2, 500}});
  serve("e3", whole);
  const AttemptContext front = prompt_of({{1, 500}, {9, 10}});
  CHECK_TRUE(choose(front) == "e3");
  // The second block is cached at e3 but the first one is not, so the prompt counts as unknown.
  keep_in_flight(balancer, 3);
  std::set<std::string> taken;
  for (std::uint64_t key = 100; key < 140; ++key) taken.insert(choose(prompt_of({{key, 500}, {2, 500}})));
  CHECK_TRUE(taken.size() > 3);
}

// If the endpoint with the cached prompt is loaded, another one processes the prompt again.
TEST(BalancerPrefixAffinity, LoadOutweighsTheCache) {
  const AttemptContext p = prompt_of({{1, 300}});
  const std::string first = choose(p);
  serve(first, p);
  for (int i = 0; i < 4; ++i)
    balancer.on_attempt_sent(first, prompt_of({{50 + static_cast<std::uint64_t>(i), 2000}}), now);
  CHECK_TRUE(choose(p) != first);
  for (int i = 0; i < 4; ++i)
    balancer.on_attempt_ended(first, prompt_of({{50 + static_cast<std::uint64_t>(i), 2000}}),
                              AttemptOutcome::served, now);
  CHECK_TRUE(choose(p) == first);
}

// Ejected endpoints, and those to avoid, are not chosen by cost either.
TEST(BalancerPrefixAffinity, FailedAndAvoidedAreNotChosen) {
  AttemptContext p = prompt_of({{1, 300}});
  const std::string first = choose(p);
  serve(first, p);
  balancer.on_attempt_sent(first, p, now);
  balancer.on_attempt_ended(first, p, AttemptOutcome::failed, now);
  CHECK_TRUE(choose(p) != first);
  now = now + Span::ms(400);
  CHECK_TRUE(choose(p) == first);
  p.avoid = {first};
  CHECK_TRUE(choose(p) != first);
}

// Bytes to another zone have a cost, which a cached prompt there must outweigh.
TEST(BalancerPrefixAffinity, AnotherZone) {
  auto list = endpoints(2);
  list[1].zone = "far";
  balancer.update_endpoints(list, now);
  AttemptContext p = prompt_of({{1, 100}});
  serve("e1", p);
  p.body_bytes = 250;  // costs as much as 50 tokens
  CHECK_TRUE(choose(p) == "e1");
  p.body_bytes = 1000;  // costs as much as 200 tokens
  CHECK_TRUE(choose(p) == "e0");
}

// Without a prompt the endpoint is chosen by weight.
TEST(BalancerPrefixAffinity, AffinityWithoutAPromptDraws) {
  std::set<std::string> taken;
  for (int i = 0; i < 100; ++i) taken.insert(choose(prompt_of({})));
  CHECK_EQUAL(3U, taken.size());  // the subset, while nothing is in flight
}

TEST_GROUP(PrefixCache){};

TEST(PrefixCache, LeastRecentlyUsedIsEvicted) {
  PrefixCacheIndex cache;
  for (std::uint64_t id = 1; id <= 4; ++id) cache.touch(id, 25, 100);
  CHECK_TRUE(cache.contains(1) && cache.tokens() == 100);
  cache.touch(1, 25, 100);  // makes it the most recently used one
  cache.touch(5, 25, 100);
  CHECK_TRUE(cache.contains(1) && !cache.contains(2) && cache.contains(3) && cache.tokens() == 100);
  cache.touch(6, 90, 100);
  CHECK_TRUE(cache.contains(6) && !cache.contains(3) && cache.tokens() <= 100);
  cache.touch(7, 500, 100);  // larger than the cache; the newest block stays
  CHECK_TRUE(cache.contains(7) && !cache.contains(6));
  cache.clear();
  CHECK_TRUE(!cache.contains(7) && cache.tokens() == 0);
}

TEST_GROUP(BalancerPrefill) {
  ServiceBalancer balancer{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
};

// A response removes the pending prefill of its own prompt, but not that of others.
TEST(BalancerPrefill, CompletedPrefillLeavesThatOfOthers) {
  balancer.update_endpoints(endpoints(2), now);
  balancer.set_engine(1e6, 0);
  const AttemptContext cache = prompt_of({{1, 5000}}), other = prompt_of({{2, 4000}});
  balancer.on_attempt_sent("e0", cache, now);
  balancer.on_response("e0", cache, Span::ms(50), now);
  balancer.on_attempt_ended("e0", cache, AttemptOutcome::served, now);
  balancer.on_attempt_sent("e0", other, now);  // 4000 tokens are being processed there
  balancer.on_attempt_sent("e0", cache, now);  // nothing to process
  balancer.on_response("e0", cache, Span::ms(50), now);
  balancer.on_attempt_ended("e0", cache, AttemptOutcome::served, now);
  for (int i = 0; i < 2; ++i)
    balancer.on_attempt_sent("e1", {}, now);  // two requests run there without prefill
  // An unknown prompt goes to the endpoint without pending prefill, whatever its rank.
  for (std::uint64_t key = 100; key < 130; ++key)
    CHECK_WHERE(balancer.choose_endpoint(prompt_of({{key, 30}}), now) == "e1",
                numbered("key ", static_cast<long long>(key)));
}
