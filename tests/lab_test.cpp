// The lab's logic without sockets: distributions, machines, the time line, the auditor, the figures.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/auditor.hpp"
#include "lab/discovery.hpp"
#include "lab/ledger.hpp"
#include "lab/machine.hpp"
#include "lab/memory.hpp"
#include "lab/statistics.hpp"
#include "lab/timeline.hpp"

namespace chutevane::lab {
namespace {

TimePoint at(double ms) { return TimePoint::at_ms(100000.0 + ms); }

const std::string head = R"(name = "t"
lasts_ms = 10000
[callers]
rate = 10
[[track]]
name = "plan"
soft_limit_ms = 300
client_timeout_ms = 1000
[[track]]
name = "alert"
effect = "referenced"
repeat_group = "zone"
repeat_window_ms = 2000
soft_limit_ms = 300
client_timeout_ms = 1000
[[track]]
name = "sale"
effect = "single-use"
payoff = 4
late_payoff = 0.5
soft_limit_ms = 300
client_timeout_ms = 1000
[[tier]]
name = "edge"
endpoints = 6
zones = ["a", "b"]
work = { mean_ms = 10 }
)";

Experiment experiment(const std::string& more = "") { return read_experiment(head + more, "t.toml"); }

std::string error_of(const std::string& text) {
  try {
    read_experiment(text, "t.toml");
  } catch (const ExperimentError& e) {
    return e.what();
  }
  return "";
}

// --- Chance ----------------------------------------------------------------------------------------

TEST(Chance, DistributionsHaveTheMeanThatWasAskedFor) {
  using Kind = Distribution::Kind;
  for (const Distribution d : {Distribution{Kind::fixed, 10, 0}, Distribution{Kind::exponential, 10, 0},
                               Distribution{Kind::lognormal, 10, 0.6}, Distribution{Kind::pareto, 10, 3.0}}) {
    Chance chance(3, "test");
    double sum = 0.0;
    for (int i = 0; i < 200000; ++i) sum += chance.draw(d);
    EXPECT_NEAR(sum / 200000, 10.0, 0.15) << static_cast<int>(d.kind);
  }
}

TEST(Chance, StreamsAreTheirOwnAndRepeat) {
  Chance a(1, "arrivals"), again(1, "arrivals"), b(1, "habits"), other(2, "arrivals");
  const std::uint32_t first = a();
  EXPECT_EQ(first, again());
  EXPECT_NE(first, b());
  EXPECT_NE(first, other());
}

// --- Machine ---------------------------------------------------------------------------------------

struct MachineBench {
  explicit MachineBench(const MachineSpec& spec, TimePoint came_up = TimePoint()) : machine(spec, came_up) {}
  std::vector<Machine::JobId> ended(double ms) {
    machine.advance(at(ms));
    const auto out = machine.ended();
    machine.taken_note();
    return out;
  }
  Machine machine;
};

using Jobs = std::vector<Machine::JobId>;

TEST(Machine, WorksOffInOrderAndTurnsAwayBeyondItsQueue) {
  MachineBench b({.cores = 1, .queue = 1, .cold_share = 1.0, .warm_after = {}});
  EXPECT_TRUE(b.machine.offer(1, 10, at(0)));
  EXPECT_TRUE(b.machine.offer(2, 10, at(0)));
  EXPECT_FALSE(b.machine.offer(3, 10, at(0)));
  EXPECT_EQ(b.ended(9.9), Jobs{});
  EXPECT_NEAR((b.machine.next_end() - at(10)).as_ms(), 0.0, 0.01);
  EXPECT_EQ(b.ended(10.1), Jobs{1});
  EXPECT_EQ(b.ended(20.2), Jobs{2});
}

TEST(Machine, AColdOneIsSlowAndWarmsEvenly) {
  MachineBench b({.cores = 1, .queue = 10, .cold_share = 0.2, .warm_after = Span::ms(1000)}, at(0));
  EXPECT_NEAR(b.machine.warmth(at(500)), 0.6, 1e-9);
  b.machine.offer(1, 100, at(0));
  // The work done by t is 0.2 t + 0.4 t^2 / 1000: 100 ms of it by 309 ms.
  EXPECT_EQ(b.ended(300), Jobs{});
  EXPECT_EQ(b.ended(318), Jobs{1});
}

TEST(Machine, ANeighbourTakesFromAllAndASlowOneFromEach) {
  MachineBench b({.cores = 2, .queue = 10, .cold_share = 1.0, .warm_after = {}});
  b.machine.offer(1, 10, at(0));
  b.machine.offer(2, 10, at(0));
  b.machine.burden(1.0, 1.0, at(5));  // one core for the two from here on
  EXPECT_EQ(b.ended(14.9), Jobs{});
  EXPECT_EQ(b.ended(15.1), (Jobs{1, 2}));
  b.machine.burden(0.25, 2.0, at(20));
  b.machine.offer(3, 10, at(20));
  EXPECT_EQ(b.ended(59.9), Jobs{});
  EXPECT_EQ(b.ended(60.1), Jobs{3});
}

TEST(Machine, WhatIsWithdrawnMakesRoom) {
  MachineBench b({.cores = 1, .queue = 5, .cold_share = 1.0, .warm_after = {}});
  for (Machine::JobId id = 1; id <= 3; ++id) b.machine.offer(id, 10, at(0));
  b.machine.withdraw(2, at(1));
  b.machine.withdraw(1, at(2));
  EXPECT_EQ(b.ended(12.1), Jobs{3});
}

TEST(Memory, AReferenceCountsOnceWithinTheWindow) {
  ReferenceMemory memory(Span::ms(100));
  EXPECT_TRUE(memory.first("k", at(0), at(0)));
  EXPECT_FALSE(memory.first("k", at(99), at(400)));
  EXPECT_TRUE(memory.first("k", at(151), at(151)));
  EXPECT_EQ(memory.size(), 1U);
}

// --- Experiment and time line ----------------------------------------------------------------------

TEST(Experiments, EachMistakeIsNamedWithItsPlace) {
  EXPECT_EQ(error_of(head), "");
  const std::string e =
      error_of(head + "sidecar = 2\n[[fault]]\nkind = \"silence\"\nat_ms = -1\nfor_ms = 5\n");
  EXPECT_NE(e.find("t.toml:28:11: tier.sidecar: unknown; did you mean sidecars?"), std::string::npos) << e;
  EXPECT_NE(e.find("t.toml:30:8: fault.kind: 'silence' is none of silent, slow"), std::string::npos) << e;
  EXPECT_NE(e.find("t.toml:31:9: fault.at_ms: no number from 0 to 3600000"), std::string::npos) << e;
}

TEST(Experiments, WhatOnlyTheWholeTellsIsCheckedToo) {
  EXPECT_NE(
      error_of(head + "[[fault]]\nkind=\"slow\"\ntier=\"deep\"\nat_ms=0\nfor_ms=1\n").find("no tier 'deep'"),
      std::string::npos);
  EXPECT_NE(error_of(head + "[[fault]]\nkind=\"slow\"\nat_ms=9000\nfor_ms=2000\n")
                .find("ends after the experiment"),
            std::string::npos);
  EXPECT_NE(
      error_of(head + "[[fault]]\nkind=\"zone-lost\"\nat_ms=9000\nfor_ms=1\n").find("fault.zone: missing"),
      std::string::npos);
  EXPECT_NE(error_of("name = \"x\"\n").find("callers: missing"), std::string::npos);
  EXPECT_NE(error_of("name = ").find("t.toml:1:"), std::string::npos);
  EXPECT_NE(error_of(head + "[tier.work.track.none]\nmean_ms = 1\n").find("tier.work"), std::string::npos);
}

TEST(Timeline, TheSeedDrawsTheTargets) {
  const Experiment e = experiment(
      "[[fault]]\nkind=\"slow\"\nendpoints=2\nat_ms=1000\nfor_ms=500\nfactor=4\n"
      "[[fault]]\nkind=\"zone-lost\"\nzone=\"b\"\nat_ms=1500\nfor_ms=500\n");
  const Timeline a(e, 1), again(e, 1);
  EXPECT_EQ(a.targets(0), again.targets(0));
  EXPECT_EQ(a.targets(0).size(), 2U);
  EXPECT_EQ(a.targets(1), (std::vector<std::size_t>{1, 3, 5}));
  bool differs = false;
  for (std::uint64_t seed = 2; seed < 10; ++seed)
    differs = differs || Timeline(e, seed).targets(0) != a.targets(0);
  EXPECT_TRUE(differs);
  ASSERT_EQ(a.steps().size(), 4U);
  EXPECT_FALSE(a.steps()[1].begins);  // the first ends before the second begins
  EXPECT_EQ(a.steps()[2].fault, 1U);
}

TEST(Timeline, IllsOfSeveralFaultsComeTogether) {
  const Experiment e = experiment(
      "[[fault]]\nkind=\"slow\"\nendpoints=6\nat_ms=0\nfor_ms=500\nfactor=4\n"
      "[[fault]]\nkind=\"neighbour\"\nendpoints=6\nat_ms=0\nfor_ms=500\npart=0.25\n"
      "[[fault]]\nkind=\"spoilt\"\nendpoints=6\nat_ms=0\nfor_ms=500\nprobability=0.5\n"
      "[[fault]]\nkind=\"spoilt\"\nendpoints=6\nat_ms=0\nfor_ms=500\nprobability=0.5\n"
      "[[fault]]\nkind=\"burst\"\nat_ms=0\nfor_ms=500\nfactor=2.5\n"
      "[[fault]]\nkind=\"discovery-late\"\nat_ms=0\nfor_ms=500\ndelay_ms=700\n");
  const Timeline t(e, 1);
  const std::vector<bool> all(6, true), none(6, false);
  const Ills ills = t.ills(0, 0, all);
  EXPECT_DOUBLE_EQ(ills.speed, 0.25);
  EXPECT_DOUBLE_EQ(ills.cores_part, 0.75);
  EXPECT_DOUBLE_EQ(ills.spoilt, 0.75);
  EXPECT_EQ(t.ills(0, 0, none), Ills{});
  EXPECT_DOUBLE_EQ(t.rate_factor(all), 2.5);
  EXPECT_EQ(t.list_ills(0, all).delay, Span::ms(700));
}

// --- Discovery's view ------------------------------------------------------------------------------

TEST(View, TellsWhatIsDueAndOnlyTheNewestOfEach) {
  Book book;
  Listed one{"s-1", "127.0.0.1:1", "a", 0, Availability::ready, TimePoint(), 7};
  book.publish(one, at(0));
  View view(book);
  EXPECT_FALSE(view.advance(at(99), Span::ms(100)));
  EXPECT_EQ(view.next(Span::ms(100)), at(100));
  EXPECT_TRUE(view.advance(at(100), Span::ms(100)));
  EXPECT_NE(view.whole().find("SERVING"), std::string::npos);
  one.availability = Availability::draining;
  book.publish(one, at(200));
  one.availability = Availability::gone;
  book.publish(one, at(210));
  EXPECT_TRUE(view.advance(at(400), Span::ms(100)));
  EXPECT_EQ(view.after(1).find("DRAINING"), std::string::npos);
  EXPECT_NE(view.after(1).find("DELETED"), std::string::npos);
  EXPECT_EQ(view.whole().find("s-1"), std::string::npos);
  EXPECT_EQ(view.closed(1, view.version()), (std::vector<EndpointKey>{7, 7}));
  EXPECT_TRUE(view.closed(3, view.version()).empty());
}

// --- Auditor: each rule is shown to be judged ------------------------------------------------------

constexpr std::size_t plan = 0, alert = 1, sale = 2;

struct Audit {
  explicit Audit(bool copies = false) : auditor(experiment().rules, experiment().tracks, copies) {
    for (EndpointKey k = 1; k <= 3; ++k) {
      Auditor::Life life;
      life.endpoint = k;
      life.zone = k % 2;  // 1 and 3 are of one zone
      life.mean_work_ms = 10.0;
      life.cores = 2.0;
      if (k == 3) life.came_up = at(0);
      auditor.endpoint_up(life);
    }
  }
  void ask(CallKey call, std::size_t track, double when = 0) {
    Auditor::Ask a;
    a.call = call;
    a.track = track;
    a.sent = at(when);
    a.timeout = Span::ms(1000);
    auditor.asked(a);
  }
  std::uint64_t send(CallKey call, EndpointKey endpoint, double when) {
    return auditor.dispatched(call, endpoint, at(when), at(when));
  }
  // The rule that was broken; 0: none.
  int rule(double when = 5000) {
    auditor.settle(at(when));
    return auditor.breach_count() == 0 ? 0 : auditor.breaches().front().rule;
  }
  Auditor auditor;
};

TEST(Auditor, LetsPassWhatIsInOrder) {
  Audit a;
  a.ask(1, sale);
  const auto first = a.send(1, 1, 10);
  a.auditor.turned_away(first, at(12));
  const auto second = a.send(1, 2, 15);
  a.auditor.ran(second, at(16));
  a.auditor.over(second, at(40));
  a.auditor.answered(1, Final::done, true, at(41));
  EXPECT_EQ(a.rule(), 0);
}

TEST(Auditor, RuleOneNoAnswer) {
  Audit a;
  a.ask(1, plan);
  EXPECT_EQ(a.rule(1049), 0);
  EXPECT_EQ(a.rule(1051), 1);
  EXPECT_EQ(a.auditor.breach_count(), 1U);
  a.auditor.settle(at(3000));
  EXPECT_EQ(a.auditor.breach_count(), 1U);  // told once
}

TEST(Auditor, RuleOneTooLateTwiceOrNotItsOwn) {
  Audit late, twice, foreign, more;
  for (Audit* a : {&late, &twice, &foreign, &more}) a->ask(1, plan);
  late.auditor.answered(1, Final::done, true, at(1060));
  EXPECT_EQ(late.rule(), 1);
  twice.auditor.answered(1, Final::rejected, true, at(10));
  twice.auditor.answered(1, Final::done, true, at(20));
  EXPECT_EQ(twice.rule(), 1);
  foreign.auditor.answered(1, Final::done, false, at(20));
  EXPECT_EQ(foreign.rule(), 1);
  more.auditor.answered(1, Final::done, true, at(10));
  more.auditor.answered_again(1, at(11));
  EXPECT_EQ(more.rule(), 1);
}

TEST(Auditor, RuleOneNothingIsSentAfterTheAnswer) {
  Audit a, unknown;
  a.ask(1, plan);
  a.auditor.answered(1, Final::broken_off, false, at(100));
  a.send(1, 1, 140);
  EXPECT_EQ(a.rule(200), 0);
  a.send(1, 1, 160);
  EXPECT_EQ(a.rule(300), 1);
  unknown.send(99, 1, 10);
  EXPECT_EQ(unknown.rule(), 1);
}

TEST(Auditor, WhatAKilledSidecarHeldIsExcused) {
  Audit a;
  a.ask(1, plan);
  a.auditor.sidecar_killed(0, at(500));
  a.ask(2, plan, 600);
  EXPECT_EQ(a.rule(1100), 0);
  EXPECT_EQ(a.rule(1700), 1);
  EXPECT_EQ(a.auditor.breaches().front().call, 2U);
}

TEST(Auditor, RuleTwoSingleUse) {
  Audit again, rejected, twice;
  for (Audit* a : {&again, &rejected, &twice}) a->ask(1, sale);
  again.auditor.over(again.send(1, 1, 10), at(20));
  again.send(1, 2, 30);
  EXPECT_EQ(again.rule(), 2);
  rejected.auditor.over(rejected.send(1, 1, 10), at(20));
  rejected.auditor.answered(1, Final::rejected, true, at(30));
  EXPECT_EQ(rejected.rule(), 2);
  const auto sent = twice.send(1, 1, 10);
  twice.auditor.ran(sent, at(11));
  twice.auditor.ran(sent, at(12));
  EXPECT_EQ(twice.rule(), 2);
}

TEST(Auditor, RuleTwoReferencedOnlyInItsGroupAndWindow) {
  Audit group, window, fine;
  for (Audit* a : {&group, &window, &fine}) a->ask(1, alert);
  for (Audit* a : {&group, &window, &fine}) a->auditor.over(a->send(1, 1, 10), at(20));
  fine.send(1, 3, 30);
  fine.auditor.answered(1, Final::done, true, at(40));
  EXPECT_EQ(fine.rule(), 0);
  group.send(1, 2, 30);
  group.auditor.answered(1, Final::done, true, at(40));
  EXPECT_EQ(group.rule(), 2);
  window.auditor.answered(1, Final::done, true, at(900));
  window.send(1, 1, 940);
  EXPECT_EQ(window.rule(), 0);
  window.send(1, 1, 2070);  // also after its answer; both are told
  window.auditor.settle(at(5000));
  EXPECT_EQ(window.auditor.breaches().back().rule, 2);
}

TEST(Auditor, RuleTwoCopiesOnlyWhereAllowed) {
  Audit barred, allowed(true), closed;
  for (Audit* a : {&barred, &allowed, &closed}) {
    a->ask(1, plan);
    const auto first = a->send(1, 1, 10);
    if (a == &closed) a->auditor.over(first, at(45));  // its end was only read after the second's bytes
    a->send(1, 2, 30);
    a->auditor.answered(1, Final::done, true, at(40));
  }
  EXPECT_EQ(barred.rule(), 2);
  EXPECT_EQ(allowed.rule(), 0);
  EXPECT_EQ(closed.rule(), 0);
}

TEST(Auditor, RuleThreeNothingNewPastTheGrace) {
  Audit a;
  a.auditor.told(0, 1, at(0));
  a.auditor.told(0, 1, at(1500));  // the first telling counts
  a.ask(1, plan, 2000);
  a.send(1, 1, 2040);
  a.auditor.answered(1, Final::done, true, at(2050));
  EXPECT_EQ(a.rule(2100), 0);
  a.ask(2, plan, 2060);
  a.send(2, 1, 2061);
  EXPECT_EQ(a.rule(2200), 3);
}

TEST(Auditor, RuleFourAColdEndpointIsNotPushedOver) {
  Audit a;
  // 3 x 2 cores x 0.2 warmth x 1500 ms is 1800 ms of work: 180 calls.
  for (CallKey c = 1; c <= 181; ++c) {
    a.ask(c, plan);
    a.send(c, 3, 1);
    a.auditor.answered(c, Final::done, true, at(20));
    if (c == 180) {
      EXPECT_EQ(a.rule(30), 0);
      EXPECT_NEAR(a.auditor.most_cold_part(), 1.0, 0.01);
    }
  }
  EXPECT_EQ(a.rule(40), 4);
}

// With the further rules stated: key 7 in turn, two dispatches beyond a first in a second.
struct FurtherAudit : Audit {
  static Experiment stated() {
    Experiment e = experiment();
    for (TrackSpec& t : e.tracks) t.in_turn = true;
    e.rules.budget_free = 2;
    e.rules.resend_span = Span::ms(1000);
    return e;
  }
  FurtherAudit() { auditor = Auditor(stated().rules, stated().tracks, false); }
  void ask_for(CallKey call, std::uint64_t key, double when) {
    Auditor::Ask a;
    a.call = call, a.track = plan, a.sent = at(when), a.timeout = Span::ms(1000), a.key = key;
    auditor.asked(a);
  }
};

TEST(Auditor, RuleFiveCallsOfAKeyInTurn) {
  FurtherAudit beside, before, good;
  for (FurtherAudit* a : {&beside, &before, &good}) a->ask_for(1, 7, 0), a->ask_for(2, 7, 100);
  beside.send(1, 1, 110);
  beside.send(2, 2, 120);
  EXPECT_EQ(beside.rule(900), 5);
  before.auditor.over(before.send(2, 2, 120), at(130));
  before.send(1, 1, 300);
  EXPECT_EQ(before.rule(900), 5);
  const auto first = good.send(1, 1, 10);
  good.auditor.over(first, at(150));
  good.auditor.answered(1, Final::done, true, at(151));
  good.send(2, 2, 160);
  EXPECT_EQ(good.rule(900), 0);
}

TEST(Auditor, RuleSixABudgetOfDispatches) {
  FurtherAudit a;
  for (CallKey call = 1; call <= 3; ++call) {
    a.ask_for(call, 0, 0);
    a.auditor.turned_away(a.send(call, 1, 10), at(11));
    EXPECT_EQ(a.rule(15), 0) << call;
    a.send(call, 2, 20 + static_cast<double>(call));
  }
  EXPECT_EQ(a.rule(100), 6);
}

TEST(Auditor, ForgetsWhatIsOver) {
  Audit a;
  for (CallKey c = 1; c <= 100; ++c) {
    a.ask(c, plan, static_cast<double>(c));
    a.auditor.answered(c, Final::done, true, at(static_cast<double>(c) + 5));
  }
  a.auditor.settle(at(30000));
  EXPECT_EQ(a.auditor.calls_held(), 0U);
  EXPECT_EQ(a.rule(30001), 0);
}

// --- Figures ---------------------------------------------------------------------------------------

TEST(Statistics, QuantilesAreWithinAHundredth) {
  LatencyTable t;
  for (int i = 1; i <= 10000; ++i) t.add(i * 0.1);
  EXPECT_NEAR(t.quantile(0.5), 500.0, 5.0);
  EXPECT_NEAR(t.quantile(0.99), 990.0, 10.0);
  EXPECT_EQ(LatencyTable().quantile(0.5), 0.0);
}

TEST(Statistics, ABootstrapIntervalHoldsTheMean) {
  const std::vector<double> same(10, 0.5);
  EXPECT_EQ(bootstrap(same, 1).low, 0.5);
  EXPECT_EQ(bootstrap(same, 1).high, 0.5);
  // Of how many draws from a known distribution does the interval hold its mean? 95% are hoped for; ten
  // values give somewhat less.
  Chance chance(5, "coverage");
  int held = 0;
  for (int i = 0; i < 400; ++i) {
    std::vector<double> values;
    for (int j = 0; j < 10; ++j) values.push_back(chance.unit());
    const Interval b = bootstrap(values, static_cast<std::uint64_t>(i), 400);
    held += b.low <= 0.5 && b.high >= 0.5 ? 1 : 0;
  }
  EXPECT_GT(held, 340);
  EXPECT_LT(held, 400);
}

TEST(Ledger, CountsByTrackSliceAndFault) {
  const Experiment e = experiment("[[fault]]\nkind=\"slow\"\nat_ms=1000\nfor_ms=500\n");
  Ledger l(e, at(0));
  l.ended(sale, at(100), at(200), Ending::in_time, 1);
  l.ended(sale, at(1100), at(1500), Ending::late, 2);
  l.ended(plan, at(1600), at(1700), Ending::rejected, 1);
  l.ended(plan, at(1600), at(1700), Ending::left, 1);
  l.ended(plan, at(-1), at(10), Ending::in_time, 1);        // before the measured time
  l.ended(plan, at(10000), at(10010), Ending::in_time, 1);  // after it
  l.dispatched(sale, at(1100));
  EXPECT_EQ(l.all().asked, 4U);
  EXPECT_DOUBLE_EQ(l.tracks()[sale].payoff_got, 4.0 + 2.0);
  EXPECT_DOUBLE_EQ(l.all().payoff_asked, 4.0 + 4.0 + 1.0);
  EXPECT_EQ(l.during(e.faults[0]).asked, 1U);
  EXPECT_EQ(l.during(e.faults[0]).dispatches, 1U);
  EXPECT_EQ(l.outside_faults().asked, 3U);
  EXPECT_NEAR(l.tracks()[sale].latency.quantile(1.0), 400.0, 4.0);
}

TEST(Examples, AreInOrderAndNamedAsTheirFiles) {
  int read = 0;
  for (const auto& file : std::filesystem::directory_iterator(EXAMPLES)) {
    if (!file.is_regular_file()) continue;  // scenarios of the world have a test of their own
    EXPECT_EQ(load_experiment(file.path()).name, file.path().stem());
    ++read;
  }
  EXPECT_GE(read, 6);
}

}  // namespace
}  // namespace chutevane::lab
