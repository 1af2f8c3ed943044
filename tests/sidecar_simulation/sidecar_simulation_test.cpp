#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "sidecar_simulation/search.hpp"
#include "sidecar_simulation/shrink.hpp"

namespace chutevane::sidecar_simulation {
namespace {

namespace fs = std::filesystem;

// --- Runs

Scenario example(const char* name) {
  return load_scenario(std::string(EXAMPLES) + "/world/" + name + ".toml");
}

std::string hash_of(const Scenario& s) {
  network_simulation::TraceHash hash;
  network_simulation::Trace trace([&](std::string_view line) { hash.add(line); });
  const RunReport r = simulate(s, trace);
  return std::to_string(hash.lines()) + "/" + std::to_string(hash.value()) + "/" + std::to_string(r.calls);
}

TEST(SimulationRun, TwoHundredSeedsGiveTheSameTraceTwice) {
  Scenario s = example("one-tier");
  s.experiment.settle = Span::ms(100);
  s.experiment.lasts = Span::ms(600);
  std::vector<std::string> first;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) first.push_back(hash_of(sample_scenario(s, seed)));
  // Other addresses for all that is allocated: an order by address would show.
  std::vector<std::unique_ptr<char[]>> litter;
  for (std::size_t i = 1; i < 2000; ++i) litter.push_back(std::make_unique<char[]>(i * 7 % 900 + 16));
  for (std::size_t i = 0; i < litter.size(); i += 3) litter[i].reset();
  for (std::uint64_t seed = 200; seed >= 1; --seed)
    ASSERT_EQ(hash_of(sample_scenario(s, seed)), first[seed - 1]) << "seed " << seed;
}

TEST(SimulationRun, SeedsDiffer) {
  const Scenario s = example("one-tier");
  EXPECT_NE(hash_of(sample_scenario(s, 1)), hash_of(sample_scenario(s, 2)));
}

// What was found once, and the hard cases: each file is a run that broke a rule or is made to.
class KeptScenario : public ::testing::TestWithParam<std::string> {};

TEST_P(KeptScenario, BreaksNoRule) {
  const Scenario s = load_scenario(GetParam());
  network_simulation::Trace none;
  const RunReport r = simulate(sample_scenario(s, s.experiment.seed), none);
  EXPECT_FALSE(r.is_broken()) << r.breaches.front();
  EXPECT_GT(r.calls, 10U);
  for (const InfrastructureFault& t : s.infrastructure_faults)
    EXPECT_GT(r.coverage.fault_count(lab::fault_kinds + static_cast<std::size_t>(t.kind)), 0U)
        << kind_name(lab::fault_kinds + static_cast<std::size_t>(t.kind)) << " did not show";
}

std::vector<std::string> kept_files() {
  std::vector<std::string> out;
  for (const auto& entry : fs::directory_iterator(KEPT)) out.push_back(entry.path().string());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Files, KeptScenario, ::testing::ValuesIn(kept_files()), [](const auto& one) {
  std::string name = fs::path(one.param).stem().string();
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

TEST(SimulationRun, SampledRunsOfEachExampleBreakNoRule) {
  for (const char* name : {"one-tier", "two-tiers", "pools", "further-rules"}) {
    const SearchReport r = search(example(name), 1, 60, 4, 0, {});
    EXPECT_EQ(r.runs, 60U);
    EXPECT_TRUE(r.broken.empty()) << name << " seed " << r.broken.front().seed << ": "
                                  << r.broken.front().breaches.front();
    EXPECT_GT(r.coverage.outcome_count(0, 4), 0U) << "no connection failed to come up";
    EXPECT_GT(r.coverage.outcome_count(2, 3), 0U) << "no dispatch timed out";
    EXPECT_GT(r.coverage.outcome_count(2, 5), 0U) << "no answer was cut off";
  }
}

// --- Scenario files

TEST(ScenarioFile, WhatIsWrittenReadsTheSame) {
  for (const char* name : {"one-tier", "two-tiers", "pools", "further-rules"}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      const Scenario drawn = sample_scenario(example(name), seed);
      const std::string text = write_scenario(drawn);
      EXPECT_EQ(write_scenario(read_scenario(text, "again")), text);
    }
  }
}

TEST(ScenarioFile, MistakesAreNamedWithTheirPlace) {
  const auto error_of = [](const std::string& more) {
    std::string text = write_scenario(example("one-tier"));
    try {
      read_scenario(text + more, "f.toml");
    } catch (const lab::ExperimentError& e) {
      return std::string(e.what());
    }
    return std::string("no error");
  };
  EXPECT_NE(error_of("[[trouble]]\nkind = 'quake'\nat_ms = 1\n").find("'quake' is none of partition"),
            std::string::npos);
  EXPECT_NE(error_of("[[trouble]]\nkind = 'partition'\nat_ms = 1\n").find("trouble.for_ms: missing"),
            std::string::npos);
  EXPECT_NE(error_of("[[trouble]]\nkind = 'cut'\nat_ms = 1\ntier = 'x'\n").find("no tier 'x'"),
            std::string::npos);
  EXPECT_NE(error_of("[[trouble]]\nkind = 'cut'\nat_ms = 1\nfast = 2\n").find("trouble.fast"),
            std::string::npos);
  EXPECT_EQ(error_of(""), "no error");
}

// What a sidecar has stored outlives its process, in the world as on disks; a state of an hour ago, or torn,
// breaks no rule.
TEST(Restart, SnapshotsOutliveProcessesAndDamagedOnesBreakNoRule) {
  Scenario s = example("one-tier");
  s.is_sampled = false;
  s.experiment.restart.state = true;
  const auto fault = [&](lab::FaultKind kind, double at_ms, double age_ms) {
    lab::FaultSpec f;
    f.kind = kind;
    f.tier = "shop";
    f.endpoints = 20;
    f.at = Span::ms(at_ms);
    f.age = Span::ms(age_ms);
    f.down = Span::ms(300);
    s.experiment.faults.push_back(f);
  };
  fault(lab::FaultKind::sidecar_killed, 1500, 0);
  fault(lab::FaultKind::state_old, 1600, 30000);
  fault(lab::FaultKind::sidecar_killed, 3000, 0);
  fault(lab::FaultKind::state_torn, 3100, 0);
  fault(lab::FaultKind::state_old, 3150, 30000);  // of a torn one: nothing more happens to it
  std::size_t with_limit = 0, set_aside = 0;
  network_simulation::Trace trace([&](std::string_view line) {
    with_limit += line.find("its limit") != std::string_view::npos ? 1 : 0;
    set_aside += line.find("state: set aside") != std::string_view::npos ? 1 : 0;
  });
  const RunReport r = simulate(read_scenario(write_scenario(s), "restart"), trace);
  EXPECT_FALSE(r.is_broken()) << r.breaches.front();
  EXPECT_GT(with_limit, 0U);
  EXPECT_GT(set_aside, 0U);
}

// A second answer that comes later than the next request was sent is taken for that one's: HTTP/1.1 has
// nothing to tell them apart. A scenario that breaks a rule for certain, then, to search for and to shrink.
Scenario certainly_broken() {
  Scenario s = example("one-tier");
  s.experiment.callers.request_bytes = 0;
  s.experiment.callers.rate = 200.0;
  s.experiment.tiers.front().work.mean = 2.0;
  lab::FaultSpec f;
  f.kind = lab::FaultKind::doubled;
  f.tier = "shop";
  f.endpoints = 5;
  f.lasts = Span::ms(4000);
  s.experiment.faults.push_back(f);
  f.kind = lab::FaultKind::slow;
  f.at = Span::ms(7000);  // long after the first breach
  f.lasts = Span::ms(500);
  s.experiment.faults.push_back(f);
  s.is_sampled = false;
  s.network.split_probability = 1.0;
  s.network.retransmit_probability = 0.05;
  return s;
}

TEST(Search, FindsABrokenRunAndShrinksIt) {
  const SearchReport r = search(certainly_broken(), 1, 400, 1, 1, {});  // one process: the same run each time
  ASSERT_FALSE(r.broken.empty());
  EXPECT_EQ(r.broken.front().breaches.front().substr(0, 6), "rule 1");
  const Scenario whole = sample_scenario(certainly_broken(), r.broken.front().seed);
  const std::string kind = simulate_in_subprocess(whole).first_broken_rule();
  const Scenario small = shrink(whole, kind, 25, [](const std::string&) {});
  EXPECT_EQ(simulate_in_subprocess(small).first_broken_rule(), kind);
  ASSERT_EQ(small.experiment.faults.size(), 1U) << "the slow endpoint has nothing to do with it";
  EXPECT_EQ(small.experiment.faults.front().kind, lab::FaultKind::doubled);
  EXPECT_LT(small.experiment.lasts, whole.experiment.lasts);
}

TEST(Search, StopsWhenEnoughIsFound) {
  const SearchReport r = search(certainly_broken(), 1, 100000, 2, 1, {});
  EXPECT_GE(r.broken.size(), 1U);
  EXPECT_LT(r.runs, 1000U);
}

TEST(CoverageLine, ReadsBackAndAddsUp) {
  sidecar::Counters c;
  c.outcomes_by_stage[2][0] = 5;
  c.verdicts[3] = 2;
  Coverage one, two;
  one.add(c);
  one.count_fault(3, 4);
  two.add(one);
  two.add_serialized(one.serialize());
  EXPECT_EQ(two.outcome_count(2, 0), 10U);
  EXPECT_EQ(two.fault_count(3), 8U);
  EXPECT_NE(two.report().find("reading/timed-out"), std::string::npos) << "what was never reached is named";
}

}  // namespace
}  // namespace chutevane::sidecar_simulation
