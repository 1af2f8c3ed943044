/// The load balancer of one service, in simulated time: time-outs, skipped retries, weights,
/// pass-over, prefix affinity, and endpoints that fail.
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
  std::vector<ServiceBalancer::EndpointInfo> out;
  out.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) out.push_back({numbered("e", i), zone, 10});
  return out;
}

AttemptContext prompt_of(std::initializer_list<PromptBlock> all) {
  AttemptContext out;
  out.has_affinity = true;
  out.prompt = all;
  return out;
}

}  // namespace

TEST_GROUP(BalancerTimeouts) {
  ServiceBalancer balancer{"z", 1};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { balancer.update_endpoints(endpoints(3), now); }
  void served(int n, double ms) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent("e0", {}, now);
      balancer.on_response("e0", {}, Span::ms(ms), now);
      balancer.on_attempt_ended("e0", {}, AttemptOutcome::served, now);
    }
  }
  void timed_out(int n) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent("e1", {}, now);
      balancer.on_attempt_ended("e1", {}, AttemptOutcome::adaptive_timeout, now);
    }
  }
  double timeout(double deadline, double left, bool repeatable = true) {
    return balancer.attempt_timeout(Span::ms(deadline), Span::ms(left), repeatable, now).as_ms();
  }
};

// Of three terms the least; the third only where it is measured and the call may be repeated.
TEST(BalancerTimeouts, TimeoutIsTheLeastOfThree) {
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(700, timeout(2000, 700), 0);
  served(200, 100);
  const double third = timeout(1e6, 1e6);
  CHECK_TRUE(third > 300 * 0.85 && third < 300 * 1.2);
  DOUBLES_EQUAL(third, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(120, timeout(120, 5000), 0);
  DOUBLES_EQUAL(90, timeout(2000, 90), 0);
  DOUBLES_EQUAL(2000, timeout(2000, 5000, false), 0);
  DOUBLES_EQUAL(60, timeout(2000, 60, false), 0);
}

// Three times a p95 of some ms is below a pause of the machine: not below 50 ms by that term, and not above
// the others by its floor.
TEST(BalancerTimeouts, FloorOfFiftyMilliseconds) {
  served(200, 2);
  DOUBLES_EQUAL(50, timeout(2000, 5000), 0);
  DOUBLES_EQUAL(30, timeout(2000, 30), 0);
  DOUBLES_EQUAL(20, timeout(20, 5000), 0);
}

TEST(BalancerTimeouts, UnmeasuredBelowTwentyServed) {
  served(19, 10);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  served(1, 10);
  CHECK_TRUE(timeout(2000, 5000) < 100);
  // Old ones are no measure.
  now = now + Span::ms(30000);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
}

// The slow ones are cut and so never measured: past a fifth of the served the estimate is not believed.
TEST(BalancerTimeouts, StarvedIsUnmeasured) {
  served(100, 10);
  timed_out(20);
  CHECK_TRUE(timeout(2000, 5000) < 100);
  timed_out(1);
  DOUBLES_EQUAL(2000, timeout(2000, 5000), 0);
  served(5, 10);
  CHECK_TRUE(timeout(2000, 5000) < 100);
}

TEST(BalancerTimeouts, TimeoutFollowsTheSlowTail) {
  served(90, 10);
  served(10, 400);
  CHECK_TRUE(timeout(1e6, 1e6) > 1000);
}

TEST(BalancerTimeouts, NoTimeLeft) {
  CHECK_TRUE(ServiceBalancer::is_expired(Span()) && ServiceBalancer::is_expired(Span::ms(-5)));
  CHECK_FALSE(ServiceBalancer::is_expired(Span::us(1)));
}

// Less left than half of the served take: it would not come to its end.
TEST(BalancerTimeouts, RetriesWithTooLittleTimeAreSkipped) {
  CHECK_TRUE(balancer.allows_retry(Span::ms(1), now));  // unmeasured
  served(100, 100);
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
    std::map<std::string, int> out;
    for (int i = 0; i < n; ++i) {
      if (const auto id = balancer.choose_endpoint(attempt, now)) ++out[*id];
    }
    return out;
  }
  void served(const std::string& id, double ms, int n = 1) {
    for (int i = 0; i < n; ++i) {
      balancer.on_attempt_sent(id, {}, now);
      balancer.on_response(id, {}, Span::ms(ms), now);
      balancer.on_attempt_ended(id, {}, AttemptOutcome::served, now);
    }
  }
  void recompute_weights() { now = now + Span::ms(2100); }
  // An attempt that was sent so long ago.
  AttemptContext attempt_of(Span duration) const {
    AttemptContext out;
    out.sent_at = now - duration;
    return out;
  }
};

TEST(BalancerChoice, NoneAtAll) {
  CHECK_TRUE(balancer.empty());
  CHECK_FALSE(balancer.choose_endpoint({}, now).has_value());
  balancer.update_endpoints(endpoints(1), now);
  CHECK_FALSE(balancer.empty());
  balancer.update_endpoints({}, now);
  CHECK_TRUE(balancer.empty() && !balancer.choose_endpoint({}, now).has_value());
  // What ends for one that is gone harms nobody.
  balancer.on_attempt_ended("e0", {}, AttemptOutcome::failed, now);
  balancer.on_response("e0", {}, Span::ms(3), now);
  balancer.on_load_report("e0", 1, 2, now);
}

TEST(BalancerChoice, UnobservedAreAlike) {
  balancer.update_endpoints(endpoints(3), now);
  const auto drawn = draw(3000);
  CHECK_EQUAL(3U, drawn.size());
  for (const auto& [id, n] : drawn) CHECK_WHERE(n > 850 && n < 1150, id);
}

// What is seldom in flight is drawn from a part of the endpoints, its own zone's first; more of it from a
// wider one: however many attempts there are, it goes by how many are in flight at once.
TEST(BalancerChoice, SubsetGrowsWithAttemptsInFlight) {
  auto list = endpoints(12);
  for (std::size_t i = 0; i < list.size(); ++i) list[i].zone = i < 4 ? "z" : "far";
  balancer.update_endpoints(list, now);
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  CHECK_EQUAL(3U, few.size());
  for (const std::string& id : few) CHECK_WHERE(std::stoi(id.substr(1)) < 4, id);
  // 100 attempts in 10 s that take 400 ms: 4 in flight on the mean, a half at each endpoint.
  for (int i = 0; i < 100; ++i) {
    const std::string id = *balancer.choose_endpoint({}, now);
    const AttemptContext attempt;
    balancer.on_attempt_sent(id, attempt, now);
    now = now + Span::ms(40);
    balancer.on_attempt_ended(id, attempt_of(Span::ms(400)), AttemptOutcome::served, now);
  }
  CHECK_EQUAL(8U, draw(4000).size());
  // As many that take 40 ms: 0.4 in flight.
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

// A part whose endpoints have free places is not left for a connection more; one that is nearly full is.
TEST(BalancerChoice, NearlyFullSubsetIsLeft) {
  balancer.update_endpoints(endpoints(6), now);  // 10 places each
  balancer.on_attempt_sent("e0", {}, now);
  balancer.on_attempt_ended("e0", attempt_of(Span::ms(1)), AttemptOutcome::served,
                            now);  // short: few are in flight on the mean
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  for (const std::string& id : few) {
    for (int i = 0; i < 7; ++i) balancer.on_attempt_sent(id, {}, now);
  }
  for (const auto& [id, n] : draw(1000)) CHECK_WHERE(few.contains(id), id);
  // The one with the most free places is taken of those.
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
  served("e0", 10, 50);
  served("e1", 20, 50);
  served("e2", 40, 50);
  recompute_weights();
  auto got = draw(7000);
  CHECK_TRUE(std::abs(got["e0"] - 4000) < 250 && std::abs(got["e1"] - 2000) < 250);
  CHECK_TRUE(std::abs(got["e2"] - 1000) < 200);
}

// One that nothing is known of gets as much as the others on the mean.
TEST(BalancerChoice, UnobservedGetsTheMeanWeight) {
  balancer.update_endpoints(endpoints(3), now);
  served("e0", 10, 50);
  served("e1", 30, 50);
  recompute_weights();
  auto got = draw(6000);
  CHECK_TRUE(std::abs(got["e2"] - 2000) < 250);
}

// A smoothed latency: one slow answer does not undo many.
TEST(BalancerChoice, LatencyIsSmoothed) {
  balancer.update_endpoints(endpoints(2), now);
  served("e0", 10, 50);
  served("e1", 10, 50);
  served("e0", 60, 1);
  recompute_weights();
  auto got = draw(4000);
  CHECK_TRUE(got["e0"] > 4000 / 4 && got["e0"] < 2000);
  served("e0", 10, 50);
  recompute_weights();
  got = draw(4000);
  CHECK_TRUE(std::abs(got["e0"] - 2000) < 250);
}

TEST(BalancerChoice, StateSurvivesAListUpdate) {
  balancer.update_endpoints(endpoints(2), now);
  served("e0", 10, 50);
  served("e1", 40, 50);
  auto more = endpoints(2);
  more.push_back({"new", "z", 10});
  balancer.update_endpoints(more, now);
  auto got = draw(6000);
  CHECK_TRUE(got["e0"] > got["e1"] * 3);
  CHECK_TRUE(got["new"] > 0);
  balancer.update_endpoints({more[0], more[2]}, now);
  CHECK_TRUE(draw(2000)["e1"] == 0);
}

// Well above the mean in flight: passed over, whatever its share.
TEST(BalancerChoice, PassOver) {
  balancer.update_endpoints(endpoints(3), now);
  served("e0", 20, 50);
  served("e1", 50, 50);
  served("e2", 50, 50);
  recompute_weights();
  CHECK_TRUE(draw(300)["e0"] > 100);
  for (int i = 0; i < 6; ++i) balancer.on_attempt_sent("e0", {}, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  for (int i = 0; i < 6; ++i) balancer.on_attempt_ended("e0", {}, AttemptOutcome::served, now);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// What others have there counts while it is fresh.
TEST(BalancerChoice, ReportedLoadCounts) {
  balancer.update_endpoints(endpoints(2), now);
  balancer.on_load_report("e0", 8, 4, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  now = now + Span::ms(2500);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// In flight they stay near each other.
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

// One that fails is ejected for a time that doubles up to a bound, and is itself again with its first answer.
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
  served("e0", 10);
  balancer.on_attempt_sent("e0", {}, now);
  balancer.on_attempt_ended("e0", {}, AttemptOutcome::failed, now);
  CHECK_TRUE(draw(100)["e0"] == 0);
  now = now + Span::ms(400);
  CHECK_TRUE(draw(300)["e0"] > 0);
}

// A promise that it has not run, or a cut by the caller's own clock, is no failure of the endpoint.
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

// When most have failed it is not they: nobody is passed over, and somebody is always taken.
TEST(BalancerChoice, EjectedButNeverMost) {
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
      // All of its part that are open, and where none of these is, all others that are.
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
  balancer.update_endpoints(endpoints(2), now);  // 20 places
  for (int i = 0; i < 10; ++i) balancer.on_attempt_sent("e0", {}, now);
  CHECK_FALSE(balancer.is_crowded());
  balancer.on_attempt_sent("e1", {}, now);
  CHECK_TRUE(balancer.is_crowded());
}

TEST(BalancerChoice, OwnZoneFirst) {
  auto all = endpoints(2);
  all[1].zone = "far";
  balancer.update_endpoints(all, now);
  auto got = draw(4000);
  CHECK_TRUE(got["e0"] > got["e1"] && got["e1"] > 500);
}

TEST_GROUP(BalancerPrefixAffinity) {
  ServiceBalancer balancer{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override {
    balancer.update_endpoints(endpoints(6), now);
    balancer.set_engine(100000, 0);
  }
  std::string placed(const AttemptContext& p) { return balancer.choose_endpoint(p, now).value_or("none"); }
  // So many attempts have been in flight on the mean of the last 10 s.
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

// Where the parts before are held, however often and whatever is behind them.
TEST(BalancerPrefixAffinity, GoesWhereItsPromptIsCached) {
  for (std::uint64_t session = 0; session < 30; ++session) {
    const std::uint64_t base = 1000 * (session + 1);
    AttemptContext p = prompt_of({{base, 800}});
    const std::string first = placed(p);
    serve(first, p);
    for (std::uint64_t n = 1; n < 5; ++n) {
      p.prompt.push_back({base + n, 200});
      CHECK_TRUE(placed(p) == first);
      serve(first, p);
    }
  }
}

// Unheard-of parts: all sidecars whose part is all endpoints take the same one, so that it is read at one.
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

// A sidecar with little in flight keeps to a few endpoints of its own: each of its connections has its price,
// and what it hears of few is fresher.
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

// A part counts as held only behind held parts.
TEST(BalancerPrefixAffinity, CachedBlockBehindAMissingOneIsNotReusable) {
  const AttemptContext whole = prompt_of({{1, 500}, {2, 500}});
  serve("e3", whole);
  const AttemptContext front = prompt_of({{1, 500}, {9, 10}});
  CHECK_TRUE(placed(front) == "e3");
  // Its second part lies at e3, its first nowhere: as good as unheard of.
  keep_in_flight(balancer, 3);
  std::set<std::string> taken;
  for (std::uint64_t key = 100; key < 140; ++key) taken.insert(placed(prompt_of({{key, 500}, {2, 500}})));
  CHECK_TRUE(taken.size() > 3);
}

// Where much is being read or runs, another one reads it anew.
TEST(BalancerPrefixAffinity, LoadOutweighsTheCache) {
  const AttemptContext p = prompt_of({{1, 300}});
  const std::string first = placed(p);
  serve(first, p);
  for (int i = 0; i < 4; ++i)
    balancer.on_attempt_sent(first, prompt_of({{50 + static_cast<std::uint64_t>(i), 2000}}), now);
  CHECK_TRUE(placed(p) != first);
  for (int i = 0; i < 4; ++i)
    balancer.on_attempt_ended(first, prompt_of({{50 + static_cast<std::uint64_t>(i), 2000}}),
                              AttemptOutcome::served, now);
  CHECK_TRUE(placed(p) == first);
}

// What fails is ejected here too, and what is avoided is not taken.
TEST(BalancerPrefixAffinity, FailedAndAvoidedAreNotChosen) {
  AttemptContext p = prompt_of({{1, 300}});
  const std::string first = placed(p);
  serve(first, p);
  balancer.on_attempt_sent(first, p, now);
  balancer.on_attempt_ended(first, p, AttemptOutcome::failed, now);
  CHECK_TRUE(placed(p) != first);
  now = now + Span::ms(400);
  CHECK_TRUE(placed(p) == first);
  p.avoid = {first};
  CHECK_TRUE(placed(p) != first);
}

// Bytes to another zone are dear: a held part there has to be worth them.
TEST(BalancerPrefixAffinity, AnotherZone) {
  auto list = endpoints(2);
  list[1].zone = "far";
  balancer.update_endpoints(list, now);
  AttemptContext p = prompt_of({{1, 100}});
  serve("e1", p);
  p.body_bytes = 250;  // as 50 tokens
  CHECK_TRUE(placed(p) == "e1");
  p.body_bytes = 1000;  // as 200
  CHECK_TRUE(placed(p) == "e0");
}

// Without parts it is drawn as any other.
TEST(BalancerPrefixAffinity, AffinityWithoutAPromptDraws) {
  std::set<std::string> taken;
  for (int i = 0; i < 100; ++i) taken.insert(placed(prompt_of({})));
  CHECK_EQUAL(3U, taken.size());  // those of its part, while nothing runs there
}

TEST_GROUP(PrefixCache){};

TEST(PrefixCache, LeastRecentlyUsedIsEvicted) {
  PrefixCacheIndex held;
  for (std::uint64_t id = 1; id <= 4; ++id) held.touch(id, 25, 100);
  CHECK_TRUE(held.contains(1) && held.tokens() == 100);
  held.touch(1, 25, 100);  // used again
  held.touch(5, 25, 100);
  CHECK_TRUE(held.contains(1) && !held.contains(2) && held.contains(3) && held.tokens() == 100);
  held.touch(6, 90, 100);
  CHECK_TRUE(held.contains(6) && !held.contains(3) && held.tokens() <= 100);
  held.touch(7, 500, 100);  // larger than all: the newest is kept
  CHECK_TRUE(held.contains(7) && !held.contains(6));
  held.clear();
  CHECK_TRUE(!held.contains(7) && held.tokens() == 0);
}

TEST_GROUP(BalancerPrefill) {
  ServiceBalancer balancer{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
};

// An answer takes off what its own prompt still had to be read, and nothing of what others have.
TEST(BalancerPrefill, CompletedPrefillLeavesThatOfOthers) {
  balancer.update_endpoints(endpoints(2), now);
  balancer.set_engine(1e6, 0);
  const AttemptContext held = prompt_of({{1, 5000}}), other = prompt_of({{2, 4000}});
  balancer.on_attempt_sent("e0", held, now);
  balancer.on_response("e0", held, Span::ms(50), now);
  balancer.on_attempt_ended("e0", held, AttemptOutcome::served, now);
  balancer.on_attempt_sent("e0", other, now);  // 4000 tokens are being read there
  balancer.on_attempt_sent("e0", held, now);   // nothing to be read
  balancer.on_response("e0", held, Span::ms(50), now);
  balancer.on_attempt_ended("e0", held, AttemptOutcome::served, now);
  for (int i = 0; i < 2; ++i)
    balancer.on_attempt_sent("e1", {}, now);  // two run there, and nothing is being read
  // An unheard-of prompt goes where nothing is being read, whatever its rank.
  for (std::uint64_t key = 100; key < 130; ++key)
    CHECK_WHERE(balancer.choose_endpoint(prompt_of({{key, 30}}), now) == "e1",
                numbered("key ", static_cast<long long>(key)));
}
