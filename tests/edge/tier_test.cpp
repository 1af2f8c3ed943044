// The decisions for one called tier, in played time: ceilings, spent and skipped attempts, shares, pass-over,
// parts of prompts, and endpoints that fail.
#include "edge/tier.hpp"

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "edge/held_parts.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::edge::Ended;
using chutevane::edge::HeldParts;
using chutevane::edge::Part;
using chutevane::edge::Placing;
using chutevane::edge::Tier;

namespace {

std::vector<Tier::Known> endpoints(int n, const std::string& zone = "z") {
  std::vector<Tier::Known> out;
  for (int i = 0; i < n; ++i) out.push_back({numbered("e", i), zone, 10, false});
  return out;
}

Placing parts(std::initializer_list<Part> all) {
  Placing out;
  out.affinity = true;
  out.parts = all;
  return out;
}

}  // namespace

TEST_GROUP(TierTimes) {
  Tier tier{"z", 1};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { tier.listed(endpoints(3), now); }
  void served(int n, double ms) {
    for (int i = 0; i < n; ++i) {
      tier.sent("e0", {}, now);
      tier.answered("e0", {}, Span::ms(ms), now);
      tier.ended("e0", {}, Ended::served, now);
    }
  }
  void cut(int n) {
    for (int i = 0; i < n; ++i) {
      tier.sent("e1", {}, now);
      tier.ended("e1", {}, Ended::cut, now);
    }
  }
  double ceiling(double deadline, double left, bool repeatable = true) {
    return tier.ceiling(Span::ms(deadline), Span::ms(left), repeatable, now).as_ms();
  }
};

// Of three terms the least; the third only where it is measured and the call may be repeated.
TEST(TierTimes, CeilingIsTheLeastOfThree) {
  DOUBLES_EQUAL(2000, ceiling(2000, 5000), 0);
  DOUBLES_EQUAL(700, ceiling(2000, 700), 0);
  served(200, 100);
  const double third = ceiling(1e6, 1e6);
  CHECK_TRUE(third > 300 * 0.85 && third < 300 * 1.2);
  DOUBLES_EQUAL(third, ceiling(2000, 5000), 0);
  DOUBLES_EQUAL(120, ceiling(120, 5000), 0);
  DOUBLES_EQUAL(90, ceiling(2000, 90), 0);
  DOUBLES_EQUAL(2000, ceiling(2000, 5000, false), 0);
  DOUBLES_EQUAL(60, ceiling(2000, 60, false), 0);
}

// Three times a p95 of some ms is below a pause of the machine: not below 50 ms by that term, and not above
// the others by its floor.
TEST(TierTimes, FloorOfFiftyMilliseconds) {
  served(200, 2);
  DOUBLES_EQUAL(50, ceiling(2000, 5000), 0);
  DOUBLES_EQUAL(30, ceiling(2000, 30), 0);
  DOUBLES_EQUAL(20, ceiling(20, 5000), 0);
}

TEST(TierTimes, UnmeasuredBelowTwentyServed) {
  served(19, 10);
  DOUBLES_EQUAL(2000, ceiling(2000, 5000), 0);
  served(1, 10);
  CHECK_TRUE(ceiling(2000, 5000) < 100);
  // Old ones are no measure.
  now = now + Span::ms(30000);
  DOUBLES_EQUAL(2000, ceiling(2000, 5000), 0);
}

// The slow ones are cut and so never measured: past a fifth of the served the estimate is not believed.
TEST(TierTimes, StarvedIsUnmeasured) {
  served(100, 10);
  cut(20);
  CHECK_TRUE(ceiling(2000, 5000) < 100);
  cut(1);
  DOUBLES_EQUAL(2000, ceiling(2000, 5000), 0);
  served(5, 10);
  CHECK_TRUE(ceiling(2000, 5000) < 100);
}

TEST(TierTimes, CeilingFollowsTheSlowTail) {
  served(90, 10);
  served(10, 400);
  CHECK_TRUE(ceiling(1e6, 1e6) > 1000);
}

TEST(TierTimes, SpentCalls) {
  CHECK_TRUE(Tier::spent(Span()) && Tier::spent(Span::ms(-5)));
  CHECK_FALSE(Tier::spent(Span::us(1)));
}

// Less left than half of the served take: it would not come to its end.
TEST(TierTimes, ShortRetriesAreSkipped) {
  CHECK_TRUE(tier.worth_retry(Span::ms(1), now));  // unmeasured
  served(100, 100);
  CHECK_FALSE(tier.worth_retry(Span::ms(80), now));
  CHECK_TRUE(tier.worth_retry(Span::ms(125), now));
  CHECK_FALSE(tier.worth_retry(Span(), now));
  CHECK_FALSE(tier.worth_retry(Span::ms(-1), now));
  now = now + Span::ms(30000);
  CHECK_TRUE(tier.worth_retry(Span::ms(1), now));
}

TEST_GROUP(TierPlaces) {
  Tier tier{"z", 9};
  TimePoint now = TimePoint::at_ms(1e6);
  std::map<std::string, int> draw(int n, const Placing& placing = {}) {
    std::map<std::string, int> out;
    for (int i = 0; i < n; ++i) {
      if (const auto id = tier.place(placing, now)) ++out[*id];
    }
    return out;
  }
  void served(const std::string& id, double ms, int n = 1) {
    for (int i = 0; i < n; ++i) {
      tier.sent(id, {}, now);
      tier.answered(id, {}, Span::ms(ms), now);
      tier.ended(id, {}, Ended::served, now);
    }
  }
  void solved() { now = now + Span::ms(2100); }
  // An attempt that was sent so long ago.
  Placing attempt_of(Span held) const {
    Placing out;
    out.sent = now - held;
    return out;
  }
};

TEST(TierPlaces, NoneAtAll) {
  CHECK_TRUE(tier.empty());
  CHECK_FALSE(tier.place({}, now).has_value());
  tier.listed(endpoints(1), now);
  CHECK_FALSE(tier.empty());
  tier.listed({}, now);
  CHECK_TRUE(tier.empty() && !tier.place({}, now).has_value());
  // What ends for one that is gone harms nobody.
  tier.ended("e0", {}, Ended::failed, now);
  tier.answered("e0", {}, Span::ms(3), now);
  tier.load("e0", 1, 2, 3, now);
}

TEST(TierPlaces, UnheardAreAlike) {
  tier.listed(endpoints(3), now);
  const auto drawn = draw(3000);
  CHECK_EQUAL(3U, drawn.size());
  for (const auto& [id, n] : drawn) CHECK_WHERE(n > 850 && n < 1150, id);
}

// What is seldom in flight is drawn from a part of the endpoints, its own zone's first; more of it from a
// wider one: however many attempts there are, it goes by how many are in flight at once.
TEST(TierPlaces, APartThatGrowsWithWhatIsInFlight) {
  auto list = endpoints(12);
  for (std::size_t i = 0; i < list.size(); ++i) list[i].zone = i < 4 ? "z" : "far";
  tier.listed(list, now);
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  CHECK_EQUAL(3U, few.size());
  for (const std::string& id : few) CHECK_WHERE(std::stoi(id.substr(1)) < 4, id);
  // 100 attempts in 10 s that take 400 ms: 4 in flight on the mean, a half at each endpoint.
  for (int i = 0; i < 100; ++i) {
    const std::string id = *tier.place({}, now);
    const Placing attempt;
    tier.sent(id, attempt, now);
    now = now + Span::ms(40);
    tier.ended(id, attempt_of(Span::ms(400)), Ended::served, now);
  }
  CHECK_EQUAL(8U, draw(4000).size());
  // As many that take 40 ms: 0.4 in flight.
  for (int i = 0; i < 100; ++i) {
    const std::string id = *tier.place({}, now);
    tier.sent(id, {}, now);
    now = now + Span::ms(40);
    tier.ended(id, attempt_of(Span::ms(40)), Ended::served, now);
  }
  CHECK_EQUAL(3U, draw(4000).size());
  now = now + Span::ms(20000);
  CHECK_EQUAL(3U, draw(4000).size());
}

// A part whose endpoints have free places is not left for a connection more; one that is nearly full is.
TEST(TierPlaces, ANearlyFullPartReachesFurther) {
  tier.listed(endpoints(6), now);  // 10 places each
  tier.sent("e0", {}, now);
  tier.ended("e0", attempt_of(Span::ms(1)), Ended::served, now);  // short: few are in flight on the mean
  std::set<std::string> few;
  for (const auto& [id, n] : draw(1000)) few.insert(id);
  for (const std::string& id : few) {
    for (int i = 0; i < 7; ++i) tier.sent(id, {}, now);
  }
  for (const auto& [id, n] : draw(1000)) CHECK_WHERE(few.contains(id), id);
  // The one with the most free places is taken of those.
  tier.ended(*few.begin(), {}, Ended::served, now);
  CHECK_EQUAL(1U, draw(1000).size());
  CHECK_TRUE(draw(1).contains(*few.begin()));
  for (const std::string& id : few) {
    for (int i = 0; i < 2; ++i) tier.sent(id, {}, now);
  }
  for (const auto& [id, n] : draw(1000)) CHECK_WHERE(!few.contains(id), id);
}

TEST(TierPlaces, SharesAreInverseToLatency) {
  tier.listed(endpoints(3), now);
  served("e0", 10, 50);
  served("e1", 20, 50);
  served("e2", 40, 50);
  solved();
  auto got = draw(7000);
  CHECK_TRUE(std::abs(got["e0"] - 4000) < 250 && std::abs(got["e1"] - 2000) < 250);
  CHECK_TRUE(std::abs(got["e2"] - 1000) < 200);
}

// One that nothing is known of gets as much as the others on the mean.
TEST(TierPlaces, UnheardAmongOthersGetsTheMean) {
  tier.listed(endpoints(3), now);
  served("e0", 10, 50);
  served("e1", 30, 50);
  solved();
  auto got = draw(6000);
  CHECK_TRUE(std::abs(got["e2"] - 2000) < 250);
}

// A smoothed latency: one slow answer does not undo many.
TEST(TierPlaces, LatencyIsSmoothed) {
  tier.listed(endpoints(2), now);
  served("e0", 10, 50);
  served("e1", 10, 50);
  served("e0", 60, 1);
  solved();
  auto got = draw(4000);
  CHECK_TRUE(got["e0"] > 4000 / 4 && got["e0"] < 2000);
  served("e0", 10, 50);
  solved();
  got = draw(4000);
  CHECK_TRUE(std::abs(got["e0"] - 2000) < 250);
}

TEST(TierPlaces, WhatWasLearntStaysOverAList) {
  tier.listed(endpoints(2), now);
  served("e0", 10, 50);
  served("e1", 40, 50);
  auto more = endpoints(2);
  more.push_back({"new", "z", 10, false});
  tier.listed(more, now);
  auto got = draw(6000);
  CHECK_TRUE(got["e0"] > got["e1"] * 3);
  CHECK_TRUE(got["new"] > 0);
  tier.listed({more[0], more[2]}, now);
  CHECK_TRUE(draw(2000)["e1"] == 0);
}

// Well above the mean in flight: passed over, whatever its share.
TEST(TierPlaces, PassOver) {
  tier.listed(endpoints(3), now);
  served("e0", 20, 50);
  served("e1", 50, 50);
  served("e2", 50, 50);
  solved();
  CHECK_TRUE(draw(300)["e0"] > 100);
  for (int i = 0; i < 6; ++i) tier.sent("e0", {}, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  for (int i = 0; i < 6; ++i) tier.ended("e0", {}, Ended::served, now);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// What others have there counts while it is fresh.
TEST(TierPlaces, LoadThatIsTold) {
  tier.listed(endpoints(2), now);
  tier.load("e0", 8, 4, 10, now);
  CHECK_TRUE(draw(300)["e0"] == 0);
  now = now + Span::ms(2500);
  CHECK_TRUE(draw(300)["e0"] > 100);
}

// In flight they stay near each other.
TEST(TierPlaces, FlightIsEven) {
  tier.listed(endpoints(4), now);
  std::map<std::string, int> flight;
  for (int i = 0; i < 200; ++i) {
    const auto id = tier.place({}, now);
    tier.sent(*id, {}, now);
    ++flight[*id];
  }
  for (const auto& [id, n] : flight) CHECK_WHERE(n >= 40 && n <= 62, id);
}

TEST(TierPlaces, AvoidedAreNotTaken) {
  tier.listed(endpoints(3), now);
  Placing placing;
  placing.avoid = {"e0", "e2"};
  CHECK_TRUE(draw(100, placing)["e1"] == 100);
  placing.avoid.push_back("e1");
  CHECK_FALSE(tier.place(placing, now).has_value());
  placing.affinity = true;
  placing.parts = {{7, 10}};
  CHECK_FALSE(tier.place(placing, now).has_value());
}

// One that fails is shunned for a time that doubles up to a bound, and is itself again with its first answer.
TEST(TierPlaces, FailedIsShunned) {
  tier.listed(endpoints(3), now);
  Span before;
  for (int failures = 1; failures <= 8; ++failures) {
    tier.sent("e0", {}, now);
    tier.ended("e0", {}, Ended::failed, now);
    const TimePoint start = now;
    CHECK_TRUE(draw(100)["e0"] == 0);
    while (draw(60)["e0"] == 0) {
      now = now + Span::ms(50);
      CHECK_TRUE(now - start < Span::ms(6000));
    }
    const Span shunned = now - start;
    CHECK_TRUE(shunned >= std::min(before * 1.6, Span::ms(4900)));
    if (failures == 1) CHECK_TRUE(shunned >= Span::ms(250) && shunned <= Span::ms(450));
    before = shunned;
  }
  served("e0", 10);
  tier.sent("e0", {}, now);
  tier.ended("e0", {}, Ended::failed, now);
  CHECK_TRUE(draw(100)["e0"] == 0);
  now = now + Span::ms(400);
  CHECK_TRUE(draw(300)["e0"] > 0);
}

// A promise that it has not run, or a cut by the caller's own clock, is no failure of the endpoint.
TEST(TierPlaces, TurnedAwayAndCutAreNotShunned) {
  tier.listed(endpoints(2), now);
  for (const Ended how : {Ended::turned_away, Ended::cut}) {
    for (int i = 0; i < 5; ++i) {
      tier.sent("e0", {}, now);
      tier.ended("e0", {}, how, now);
    }
  }
  CHECK_TRUE(draw(400)["e0"] > 100);
}

// When most have failed it is not they: nobody is passed over, and somebody is always taken.
TEST(TierPlaces, ShunnedButNeverAll) {
  for (int n = 1; n <= 6; ++n) {
    Tier t("z", 3);
    t.listed(endpoints(n), now);
    for (int failed = 0; failed < n; ++failed) {
      t.sent(numbered("e", failed), {}, now);
      t.ended(numbered("e", failed), {}, Ended::failed, now);
      std::set<std::string> taken;
      for (int i = 0; i < 400; ++i) {
        const auto id = t.place({}, now);
        CHECK_TRUE(id.has_value());
        taken.insert(*id);
      }
      const int shunned = failed + 1;
      const auto open = static_cast<std::size_t>(2 * shunned > n ? n : n - shunned);
      // All of its part that are open, and where none of these is, all others that are.
      CHECK_TRUE(taken.size() >= 1 && taken.size() <= open);
      CHECK_TRUE(taken.size() == open || (n > 3 && taken.size() <= 3));
      if (2 * shunned <= n) {
        for (int f = 0; f < shunned; ++f) CHECK_FALSE(taken.contains(numbered("e", f)));
      }
    }
  }
}

TEST(TierPlaces, Crowded) {
  CHECK_FALSE(tier.crowded());
  tier.listed(endpoints(2), now);  // 20 places
  for (int i = 0; i < 10; ++i) tier.sent("e0", {}, now);
  CHECK_FALSE(tier.crowded());
  tier.sent("e1", {}, now);
  CHECK_TRUE(tier.crowded());
}

TEST(TierPlaces, OwnZoneFirst) {
  auto all = endpoints(2);
  all[1].zone = "far";
  tier.listed(all, now);
  auto got = draw(4000);
  CHECK_TRUE(got["e0"] > got["e1"] && got["e1"] > 500);
}

TEST_GROUP(TierParts) {
  Tier tier{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override {
    tier.listed(endpoints(6), now);
    tier.engine(100000, 0);
  }
  std::string placed(const Placing& p) { return tier.place(p, now).value_or("none"); }
  // So many attempts have been in flight on the mean of the last 10 s.
  void keep_in_flight(Tier & at, int attempts) const {
    constexpr int sent_a_second = 10;
    for (int i = 0; i < 10 * sent_a_second; ++i) {
      Placing one;
      at.sent("e0", one, now);
      one.sent = now - Span::ms(1000.0 * attempts / sent_a_second);
      at.ended("e0", one, Ended::served, now);
    }
  }
  void serve(const std::string& id, const Placing& p) {
    tier.sent(id, p, now);
    tier.answered(id, p, Span::ms(50), now);
    tier.ended(id, p, Ended::served, now);
  }
};

// Where the parts before are held, however often and whatever is behind them.
TEST(TierParts, GoesWhereItsPartsAreHeld) {
  for (std::uint64_t session = 0; session < 30; ++session) {
    const std::uint64_t base = 1000 * (session + 1);
    Placing p = parts({{base, 800}});
    const std::string first = placed(p);
    serve(first, p);
    for (std::uint64_t n = 1; n < 5; ++n) {
      p.parts.push_back({base + n, 200});
      CHECK_TRUE(placed(p) == first);
      serve(first, p);
    }
  }
}

// Unheard-of parts: all sidecars whose part is all endpoints take the same one, so that it is read at one.
TEST(TierParts, AllSidecarsTakeTheSame) {
  std::map<std::string, int> spread;
  for (std::uint64_t key = 1; key < 400; ++key) {
    const Placing p = parts({{key * 7919, 500}});
    std::set<std::string> taken;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
      Tier other("z", seed);
      auto list = endpoints(6);
      if (seed % 2 == 1) std::reverse(list.begin(), list.end());
      other.listed(list, now);
      keep_in_flight(other, 3);
      taken.insert(*other.place(p, now));
    }
    CHECK_EQUAL(static_cast<std::size_t>(1), taken.size());
    ++spread[*taken.begin()];
  }
  for (const auto& [id, n] : spread) CHECK_WHERE(n > 30 && n < 110, id);
  CHECK_EQUAL(static_cast<std::size_t>(6), spread.size());
}

// A sidecar with little in flight keeps to a few endpoints of its own: each of its connections has its price,
// and what it hears of few is fresher.
TEST(TierParts, AFewEndpointsOfItsOwn) {
  std::set<std::string> of_all;
  for (std::uint64_t seed = 0; seed < 12; ++seed) {
    Tier other("z", seed);
    other.listed(endpoints(12), now);
    std::set<std::string> taken;
    for (std::uint64_t key = 1; key < 100; ++key) taken.insert(*other.place(parts({{key * 7919, 500}}), now));
    CHECK_EQUAL(3U, taken.size());
    of_all.insert(taken.begin(), taken.end());
  }
  CHECK_TRUE(of_all.size() > 8);
}

// A part counts as held only behind held parts.
TEST(TierParts, HeldPartBehindOneThatIsNotCountsForNothing) {
  const Placing whole = parts({{1, 500}, {2, 500}});
  serve("e3", whole);
  const Placing front = parts({{1, 500}, {9, 10}});
  CHECK_TRUE(placed(front) == "e3");
  // Its second part lies at e3, its first nowhere: as good as unheard of.
  keep_in_flight(tier, 3);
  std::set<std::string> taken;
  for (std::uint64_t key = 100; key < 140; ++key) taken.insert(placed(parts({{key, 500}, {2, 500}})));
  CHECK_TRUE(taken.size() > 3);
}

// Where much is being read or runs, another one reads it anew.
TEST(TierParts, LoadOutweighsParts) {
  const Placing p = parts({{1, 300}});
  const std::string first = placed(p);
  serve(first, p);
  for (int i = 0; i < 4; ++i) tier.sent(first, parts({{50 + static_cast<std::uint64_t>(i), 2000}}), now);
  CHECK_TRUE(placed(p) != first);
  for (int i = 0; i < 4; ++i)
    tier.ended(first, parts({{50 + static_cast<std::uint64_t>(i), 2000}}), Ended::served, now);
  CHECK_TRUE(placed(p) == first);
}

// What fails is shunned here too, and what is avoided is not taken.
TEST(TierParts, FailedAndAvoided) {
  Placing p = parts({{1, 300}});
  const std::string first = placed(p);
  serve(first, p);
  tier.sent(first, p, now);
  tier.ended(first, p, Ended::failed, now);
  CHECK_TRUE(placed(p) != first);
  now = now + Span::ms(400);
  CHECK_TRUE(placed(p) == first);
  p.avoid = {first};
  CHECK_TRUE(placed(p) != first);
}

// Bytes to another zone are dear: a held part there has to be worth them.
TEST(TierParts, AnotherZone) {
  auto list = endpoints(2);
  list[1].zone = "far";
  tier.listed(list, now);
  Placing p = parts({{1, 100}});
  serve("e1", p);
  p.bytes = 250;  // as 50 tokens
  CHECK_TRUE(placed(p) == "e1");
  p.bytes = 1000;  // as 200
  CHECK_TRUE(placed(p) == "e0");
}

// Without parts it is drawn as any other.
TEST(TierParts, AffinityWithoutParts) {
  std::set<std::string> taken;
  for (int i = 0; i < 100; ++i) taken.insert(placed(parts({})));
  CHECK_EQUAL(3U, taken.size());  // those of its part, while nothing runs there
}

TEST_GROUP(TierHeldParts){};

TEST(TierHeldParts, TheLongestUnusedGivesWay) {
  HeldParts held;
  for (std::uint64_t id = 1; id <= 4; ++id) held.use(id, 25, 100);
  CHECK_TRUE(held.has(1) && held.tokens() == 100);
  held.use(1, 25, 100);  // used again
  held.use(5, 25, 100);
  CHECK_TRUE(held.has(1) && !held.has(2) && held.has(3) && held.tokens() == 100);
  held.use(6, 90, 100);
  CHECK_TRUE(held.has(6) && !held.has(3) && held.tokens() <= 100);
  held.use(7, 500, 100);  // larger than all: the newest is kept
  CHECK_TRUE(held.has(7) && !held.has(6));
  held.clear();
  CHECK_TRUE(!held.has(7) && held.tokens() == 0);
}

TEST_GROUP(TierUnread) {
  Tier tier{"z", 5};
  TimePoint now = TimePoint::at_ms(1e6);
};

// An answer takes off what its own prompt still had to be read, and nothing of what others have.
TEST(TierUnread, HeldPartsAreNotTakenOffOthers) {
  tier.listed(endpoints(2), now);
  tier.engine(1e6, 0);
  const Placing held = parts({{1, 5000}}), other = parts({{2, 4000}});
  tier.sent("e0", held, now);
  tier.answered("e0", held, Span::ms(50), now);
  tier.ended("e0", held, Ended::served, now);
  tier.sent("e0", other, now);  // 4000 tokens are being read there
  tier.sent("e0", held, now);   // nothing to be read
  tier.answered("e0", held, Span::ms(50), now);
  tier.ended("e0", held, Ended::served, now);
  for (int i = 0; i < 2; ++i) tier.sent("e1", {}, now);  // two run there, and nothing is being read
  // An unheard-of prompt goes where nothing is being read, whatever its rank.
  for (std::uint64_t key = 100; key < 130; ++key)
    CHECK_WHERE(tier.place(parts({{key, 30}}), now) == "e1", numbered("key ", static_cast<long long>(key)));
}
