// The simulation itself, and fixed seeds of each scenario: about a minute of one core.
#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

#include "tier_simulation/run.hpp"

namespace chutevane::tier_simulation {
namespace {

// ---- it is deterministic

std::pair<std::uint64_t, std::uint64_t> traced(const std::string& scenario, std::uint64_t seed) {
  network_simulation::TraceHash hash;
  network_simulation::Trace trace([&hash](std::string_view line) { hash.add(line); });
  simulate(make_plan(scenario, seed), seed, trace);
  return {hash.value(), hash.lines()};
}

TEST(Simulation, TheSameSeedIsTheSameRun) {
  for (const std::string& scenario : scenarios()) {
    const auto first = traced(scenario, 3), second = traced(scenario, 3);
    EXPECT_EQ(first, second) << scenario;
    EXPECT_GT(first.second, 1000U);
  }
  EXPECT_NE(traced("cut-off-control", 3).first, traced("cut-off-control", 4).first);
}

// ---- plans stay within what may be lost

struct Lost {
  Span from, until;
};

TEST(Plans, NeverMoreMachinesAreLostThanMayBe) {
  for (const std::string& scenario : scenarios()) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const Plan plan = make_plan(scenario, seed);
      if (plan.losses_overlap) continue;  // the next test
      std::vector<Lost> all;
      for (const Fault& fault : plan.faults) {
        if (is_counted_loss(fault)) all.push_back({fault.at, fault.at + fault.duration + catch_up_duration});
      }
      for (const Lost& one : all) {
        std::size_t at_once = 0;
        for (const Lost& other : all) at_once += other.from <= one.from && one.from < other.until ? 1 : 0;
        ASSERT_LE(at_once, plan.shape.tolerated_losses) << scenario << ", seed " << seed;
      }
      // Nor does one begin while those that went all at once are coming back.
      for (const Fault& all_gone : plan.faults) {
        if (all_gone.kind != FaultKind::kill_all && all_gone.kind != FaultKind::power_all) continue;
        const Span until = all_gone.at + all_gone.duration + catch_up_duration;
        for (const Fault& fault : plan.faults)
          ASSERT_FALSE(is_counted_loss(fault) && fault.at > all_gone.at && fault.at < until)
              << scenario << ", seed " << seed;
      }
    }
  }
}

// Where losses overlap beyond that, disks do not.
TEST(Plans, NeverMoreDisksAreLostThanMayBe) {
  std::size_t plans = 0, overlapping = 0, disks_lost = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Plan plan = make_plan("overlapping-losses", seed);
    ASSERT_TRUE(plan.losses_overlap);
    ++plans;
    std::size_t disks = 0, most_away = 0;
    for (const Fault& fault : plan.faults) {
      disks += fault.kind == FaultKind::wipe || fault.kind == FaultKind::replace ? 1 : 0;
      std::size_t away = 0;
      for (const Fault& other : plan.faults) {
        const bool now =
            is_counted_loss(other) && other.at <= fault.at && fault.at < other.at + other.duration;
        away += now ? 1 : 0;
      }
      most_away = std::max(most_away, away);
    }
    ASSERT_LE(disks, plan.shape.tolerated_losses) << "seed " << seed;
    disks_lost += disks;
    overlapping += most_away > plan.shape.tolerated_losses ? 1 : 0;
  }
  EXPECT_GT(overlapping, plans * 8 / 10);
  EXPECT_GT(disks_lost, plans / 2);
}

TEST(Plans, WithCoordinationNeverMoreDisksAreLostThanMayBe) {
  std::size_t overlapping = 0, disks_lost = 0, without_power_at_the_end = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Plan plan = make_plan("coordination", seed);
    const auto lost = std::count_if(plan.faults.begin(), plan.faults.end(), [](const Fault& fault) {
      return fault.kind == FaultKind::wipe || fault.kind == FaultKind::replace;
    });
    const bool is_at_the_end = std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault& fault) {
      return fault.kind == FaultKind::power_all && fault.at + Span::ms(1000) >= plan.active_duration;
    });
    without_power_at_the_end += is_at_the_end ? 1 : 0;
    if (!plan.losses_overlap) continue;  // one behind the other, as many as there are
    ASSERT_LE(static_cast<std::size_t>(lost), plan.shape.tolerated_losses) << "seed " << seed;
    ++overlapping;
    disks_lost += static_cast<std::size_t>(lost);
  }
  EXPECT_GT(overlapping, 100U);
  EXPECT_GT(disks_lost, overlapping / 2);
  EXPECT_GT(without_power_at_the_end, 60U);
}

TEST(Plans, NoScenarioOfThatName) { EXPECT_THROW(make_plan("nothing", 1), std::invalid_argument); }

// ---- it finds what breaks, and tells why in few faults

// Two of three control machines wiped at once leave no majority that knows anything.
Plan beyond_tolerance() {
  Plan plan;
  plan.active_duration = Span::ms(9000);
  for (std::size_t place = 0; place < 2; ++place) {
    Fault fault;
    fault.kind = FaultKind::wipe;
    fault.machine_index = place;
    fault.at = Span::ms(4000);
    fault.duration = Span::ms(500);
    plan.faults.push_back(fault);
  }
  Fault other;
  other.kind = FaultKind::reset;
  other.role = Role::edge;
  other.at = Span::ms(3000);
  plan.faults.push_back(other);
  return plan;
}

TEST(Simulation, FindsAndShrinksALossBeyondTheTolerance) {
  network_simulation::Trace off;
  const RunResult outcome = simulate(beyond_tolerance(), 1, off);
  ASSERT_TRUE(outcome.is_broken());
  const Plan least = shrink_plan(beyond_tolerance(), 1, outcome.violations.front().rule);
  ASSERT_EQ(least.faults.size(), 2U);
  EXPECT_EQ(least.faults[0].kind, FaultKind::wipe);
  EXPECT_EQ(least.faults[1].kind, FaultKind::wipe);
}

TEST(Simulation, ARunWithoutFaultsKeepsAllPromises) {
  Plan plan;
  plan.active_duration = Span::ms(8000);
  network_simulation::Trace off;
  const RunResult outcome = simulate(plan, 1, off);
  EXPECT_FALSE(outcome.is_broken());
  EXPECT_GT(outcome.acknowledged, 5U);
  EXPECT_GT(outcome.turns_found, 20U);
  EXPECT_GT(outcome.checked_samples, 50U);
}

// ---- clients and endpoints

RunResult expect_all_promises_kept(const Plan& plan, std::uint64_t seed) {
  network_simulation::Trace off;
  RunResult outcome = simulate(plan, seed, off);
  for (const Violation& v : outcome.violations)
    ADD_FAILURE() << "seed " << seed << ": " << v.rule << ": " << v.text;
  return outcome;
}

// Clients that stop short of the end of large bodies: all others are served, and memory is given back.
TEST(Traffic, CrowdsHoldUpNobodyElse) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed)
    EXPECT_GT(expect_all_promises_kept(make_plan("crowds", seed), seed).turns_completed, 100U);
}

TEST(Traffic, ACalmDayIsServed) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed)
    EXPECT_GT(expect_all_promises_kept(make_plan("calm-traffic", seed), seed).turns_completed, 100U);
}

// No chain of two turns fits into the edges' caches: what a storage node has returned is used from its reply.
TEST(Traffic, ChainsLargerThanAnEdgesMemoryAreServed) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Plan plan = make_plan("calm-traffic", seed);
    plan.shape.edge_memory_mb = 0.002;
    EXPECT_GT(expect_all_promises_kept(plan, seed).turns_completed, 100U);
  }
}

// ---- applications that call for coordination

TEST(Coordination, IsServedInARunWithoutFaults) {
  Plan plan;
  plan.coordination.is_on = true;
  plan.active_duration = Span::ms(8000);
  EXPECT_GT(expect_all_promises_kept(plan, 1).coordination_calls, 200U);
}

// Two of three controllers lose their disks at once: what was acknowledged is gone, and the clients see it.
TEST(Coordination, FindsALossBeyondTheTolerance) {
  Plan plan = beyond_tolerance();
  plan.coordination.is_on = true;
  network_simulation::Trace off;
  const RunResult outcome = simulate(plan, 1, off);
  EXPECT_TRUE(std::any_of(outcome.violations.begin(), outcome.violations.end(),
                          [](const Violation& v) { return v.rule == "coordination-lost"; }));
}

// ---- found by a search

// A set of acceptors was planned before one of them had opened for the first time: that one never voted, and
// two wiped machines of five stopped the register for good.
TEST(Found, AnAcceptorThatOpensAfterItsSetWasPlannedVotes) {
  expect_all_promises_kept(make_plan("overlapping-losses", 50551), 50551);
}

// What a request that was refused had set aside was given back over a connection that was down.
TEST(Found, AReservationIsGivenBackThoughAnEdgeWasCutOff) {
  expect_all_promises_kept(make_plan("traffic", 13), 13);
}

// Guards against a turn that is lost without any fault: each turn is continued shortly before its retention
// ends, and answered only after that. Its ancestors had expired by then, so that only the edge with the chain
// in its cache could continue it.
TEST(Found, ATurnIsFoundThoughItsAncestorsExpiredDuringItsAnswer) {
  Plan plan;
  plan.shape.storages = 4;
  plan.shape.edges = 3;
  plan.active_duration = Span::ms(20000);
  plan.programs.retention = Span::ms(2000);
  plan.programs.pause = Span::ms(1100);
  plan.programs.max_answer_duration = Span::ms(3000);
  plan.programs.continuation_margin = Span::ms(100);
  plan.programs.budget = 4000;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    EXPECT_GT(expect_all_promises_kept(plan, seed).turns_found, 10U);
}

// Guards against a 404 for a request that is sent just before the retention of its turn ends: the retention
// ran from when the first replica had stored the turn, and not from the end of its answer, and the turn
// expired while it was being looked up.
TEST(Found, ATurnIsFoundUntilTheEndOfItsRetention) {
  Plan plan;
  plan.shape.storages = 4;
  plan.shape.edges = 3;
  plan.network.mean_delay = Span::ms(20);
  plan.active_duration = Span::ms(30000);
  plan.programs.programs = 40;
  plan.programs.retention = Span::ms(1000);
  plan.programs.pause = Span::ms(700);
  plan.programs.continuation_margin = Span();
  plan.programs.budget = 4000;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    EXPECT_GT(expect_all_promises_kept(plan, seed).turns_found, 100U);
}

// Guards against turns that are missing for good at a node that got SIGTERM and was killed before it was
// drained: started again, it stated that it was complete although it lacked what had been stored meanwhile.
TEST(Found, ANodeThatStaysAfterADrainHasItsReplicas) {
  expect_all_promises_kept(make_plan("interrupted-drains", 1), 1);
}

// ---- fixed seeds

struct Seeds {
  const char* scenario;
  std::uint64_t last;
};

class FixedSeeds : public testing::TestWithParam<Seeds> {};

TEST_P(FixedSeeds, KeepAllPromises) {
  std::size_t submissions = 0, rejected = 0, bound = 0, faults = 0;
  for (std::uint64_t seed = 1; seed <= GetParam().last; ++seed) {
    network_simulation::Trace off;
    const RunResult outcome = simulate(make_plan(GetParam().scenario, seed), seed, off);
    for (const Violation& v : outcome.violations)
      ADD_FAILURE() << GetParam().scenario << ", seed " << seed << ": " << v.rule << ": " << v.text;
    submissions += outcome.acknowledged;
    rejected += outcome.rejected;
    bound += outcome.checked_samples;
    for (const std::size_t n : outcome.faults) faults += n;
  }
  // It was no calm day, and what is bound by time was checked.
  EXPECT_GT(submissions, 5 * GetParam().last);
  EXPECT_GT(rejected, 0U);
  EXPECT_GT(bound, 20 * GetParam().last);
  EXPECT_GE(faults, GetParam().last);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, FixedSeeds,
                         testing::Values(Seeds{"cut-off-control", 40}, Seeds{"two-operators", 12},
                                         Seeds{"second-loss", 20}, Seeds{"planned-work", 12},
                                         Seeds{"many-changes", 10}, Seeds{"everything", 30},
                                         Seeds{"interrupted-drains", 20}, Seeds{"overlapping-losses", 20},
                                         Seeds{"coordination", 12}, Seeds{"traffic", 16},
                                         Seeds{"short-retention", 16}),
                         [](const testing::TestParamInfo<Seeds>& seeds) {
                           std::string name = seeds.param.scenario;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace chutevane::tier_simulation
