// The serving tier's real processes on loopback, with faults; and its auditor, shown to find what is planted.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <string>

#include "lab/tier/fleet.hpp"

namespace chutevane::lab::tier {
namespace {

// --- the auditor ------------------------------------------------------------------------------------

// Two turns of a program, the second on from the first, each answered whole; every way to spoil it is one
// step of this.
class Auditing : public ::testing::Test {
 protected:
  Auditor::Ask ask(const std::string& id, const std::string& previous = "") {
    return {id, RequestKind::turn, "p", previous, "in-" + id, 8, 40};
  }
  std::uint64_t run(const std::string& id, const std::string& body) {
    const std::uint64_t run = auditor.ran(id, "i-1", body);
    auditor.generated(run, "one of " + id + "\n", 4);
    auditor.generated(run, "two of " + id + "\n", 4);
    auditor.run_whole(run);
    return run;
  }
  void client(const std::string& id, std::uint64_t run) {
    auditor.came(id, 1, "one of " + id + "\n");
    auditor.came(id, 3, "two of " + id + "\n");
    auditor.answered(id, AttemptOutcome::whole, Auditor::seal_of(run));
  }
  void first_turn() {
    auditor.asked(ask("a"));
    client("a", run("a", "in-a"));
  }
  // That breach and no other.
  void expect_only(Rule rule) {
    EXPECT_EQ(auditor.count(rule), 1U) << name_of(rule);
    EXPECT_EQ(auditor.all(), 1U) << (auditor.violations().empty() ? "" : auditor.violations().front().what);
  }
  Auditor auditor;
};

const std::string chain = "in-aone of a\ntwo of a\nin-b";

// A turn is lost if a request that was sent within its retention gets 404; what follows its end is in order.
TEST_F(Auditing, ATurnIsLostOnlyWithinItsRetention) {
  const TimePoint answered = TimePoint::at_ms(5000);
  auditor.asked(ask("a"));
  const std::uint64_t first = run("a", "in-a");
  auditor.came("a", 1, "one of a\n");
  auditor.came("a", 3, "two of a\n");
  auditor.answered("a", AttemptOutcome::whole, Auditor::seal_of(first), answered);
  Auditor::Ask late = ask("b", "a");
  late.retention = Span::ms(2000);
  auditor.asked(late, answered + Span::ms(2000));
  auditor.answered("b", AttemptOutcome::unknown, "", answered + Span::ms(2001));
  EXPECT_EQ(auditor.all(), 0U);
  Auditor::Ask in_time = ask("c", "a");
  in_time.retention = Span::ms(2000);
  auditor.asked(in_time, answered + Span::ms(1999));
  auditor.answered("c", AttemptOutcome::unknown, "", answered + Span::ms(2500));
  expect_only(Rule::lost);
}

TEST_F(Auditing, FindsNothingInWhatIsRight) {
  first_turn();
  auditor.asked(ask("b", "a"));
  client("b", run("b", chain));
  auditor.asked({"t", RequestKind::idempotent, "p", "", "", 0, std::nullopt});
  auditor.ran("t", "i-2", "");
  const std::uint64_t again = auditor.ran("t", "i-3", "");
  auditor.generated(again, "plain", 0);
  auditor.run_whole(again);
  auditor.came_plain("t", "plain");
  auditor.answered("t", AttemptOutcome::whole, Auditor::seal_of(again));
  EXPECT_EQ(auditor.all(), 0U) << auditor.violations().front().what;
  EXPECT_EQ(auditor.figures().turns_whole, 2U);
  EXPECT_EQ(auditor.figures().longest_chain, 2U);
}

TEST_F(Auditing, FindsADoubledRun) {
  auditor.asked(ask("a"));
  client("a", run("a", "in-a"));
  auditor.ran("a", "i-2", "in-a");
  expect_only(Rule::twice);
}

TEST_F(Auditing, FindsADoubledActOfATool) {
  auditor.asked({"t", RequestKind::once, "p", "", "act", 0, std::nullopt});
  auditor.ran("t", "i-1", "act");
  auditor.ran("t", "i-1", "act");
  expect_only(Rule::twice);
}

TEST_F(Auditing, FindsAShortChain) {
  for (const std::string& body : {std::string("in-b"), chain.substr(1), std::string("in-aone of a\nin-b"),
                                  std::string("in-aone of a\ntwo of ain-b"), chain + "\n"}) {
    Auditing::auditor = Auditor();
    first_turn();
    auditor.asked(ask("b", "a"));
    auditor.ran("b", "i-1", body);
    expect_only(Rule::chain);
  }
}

TEST_F(Auditing, FindsALostTurn) {
  first_turn();
  auditor.asked(ask("b", "a"));
  auditor.answered("b", AttemptOutcome::unknown, "");
  expect_only(Rule::lost);
}

TEST_F(Auditing, FindsAnOverrunBudget) {
  first_turn();
  auditor.asked(ask("b", "a"));
  const std::uint64_t run = auditor.ran("b", "i-1", chain);
  for (int i = 0; i < 10; ++i) auditor.generated(run, "x\n", 4);  // 48 of 40 in all
  expect_only(Rule::overrun);
}

// What completed turns used and no more counts, and nothing of those that were refused a while ago.
TEST_F(Auditing, FindsARefusalWithBudgetLeft) {
  const auto at = [](double ms) { return TimePoint::at_ms(ms); };
  first_turn();  // 8 of 40
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    auditor.asked(ask(id, "a"), at(1000 + i));
    auditor.answered(id, AttemptOutcome::promised, "", at(1500));
  }
  auditor.asked(ask("soon", "a"), at(1900));  // what they had set aside may be on its way back
  auditor.answered("soon", AttemptOutcome::spent, "", at(1950));
  EXPECT_EQ(auditor.all(), 0U);
  auditor.asked(ask("later", "a"), at(4000));
  auditor.answered("later", AttemptOutcome::spent, "", at(4050));
  expect_only(Rule::budget_left);
}

// The budget is on what is handed to clients. What is generated for one that has left is none of it, before
// and after; all that is generated for others is.
TEST_F(Auditing, BudgetIsOfClientsThatAreThere) {
  first_turn();
  const std::int64_t handed_before = auditor.figures().tokens_handed;
  auditor.asked(ask("b", "a"));
  const std::uint64_t abandoned = auditor.ran("b", "i-1", chain);
  auditor.generated(abandoned, "x\n", 4);
  auditor.generated(abandoned, "y\n", 4);
  auditor.came("b", 1, "x\n");
  auditor.left("b", TimePoint());
  for (int i = 0; i < 10; ++i) auditor.generated(abandoned, "z\n", 4);
  EXPECT_EQ(auditor.all(), 0U);
  EXPECT_EQ(static_cast<std::int64_t>(auditor.figures().tokens_handed) - handed_before, 4);
  auditor.asked(ask("c", "a"));
  const std::uint64_t run = auditor.ran("c", "i-1", "in-aone of a\ntwo of a\nin-c");
  const std::int64_t rest = 40 - static_cast<std::int64_t>(auditor.figures().tokens_handed);
  for (std::int64_t i = 0; i < rest / 4; ++i) auditor.generated(run, "x\n", 4);
  EXPECT_EQ(auditor.all(), 0U);
  auditor.generated(run, "x\n", 4);
  expect_only(Rule::overrun);
}

TEST_F(Auditing, FindsAnAnswerOfTwoRuns) {
  auditor.asked(ask("a"));
  const std::uint64_t run = auditor.ran("a", "i-1", "in-a");
  auditor.generated(run, "one of a\n", 4);
  auditor.generated(run, "two of a\n", 4);
  auditor.run_whole(run);
  auditor.came("a", 1, "one of a\n");
  auditor.came("a", 2, "two of another\n");
  auditor.answered("a", AttemptOutcome::whole, Auditor::seal_of(run));
  expect_only(Rule::joined);
}

TEST_F(Auditing, FindsAHalfAnswerThatLooksWhole) {
  auditor.asked(ask("a"));
  const std::uint64_t run = auditor.ran("a", "i-1", "in-a");
  auditor.generated(run, "one of a\n", 4);
  auditor.came("a", 1, "one of a\n");
  auditor.answered("a", AttemptOutcome::whole, Auditor::seal_of(run));
  expect_only(Rule::joined);
}

TEST_F(Auditing, FindsEventsOutOfOrder) {
  auditor.asked(ask("a"));
  const std::uint64_t run = auditor.ran("a", "i-1", "in-a");
  for (const char* data : {"one\n", "two\n"}) auditor.generated(run, data, 4);
  auditor.run_whole(run);
  auditor.came("a", 2, "one\n");
  auditor.came("a", 2, "two\n");
  auditor.answered("a", AttemptOutcome::whole, Auditor::seal_of(run));
  expect_only(Rule::joined);
}

TEST_F(Auditing, FindsARefusalThatRan) {
  auditor.asked(ask("a"));
  auditor.answered("a", AttemptOutcome::promised, "");
  auditor.ran("a", "i-1", "in-a");
  expect_only(Rule::promised);
}

TEST_F(Auditing, FindsABudgetThatIsSaidToBeSpentTooSoon) {
  first_turn();
  auditor.asked(ask("b", "a"));
  auditor.answered("b", AttemptOutcome::spent, "");  // 16 of 40
  expect_only(Rule::denied);
}

TEST_F(Auditing, FindsATurnOnFromOneThatNeverEnded) {
  auditor.asked(ask("a"));
  run("a", "in-a");
  auditor.answered("a", AttemptOutcome::broken, "");
  auditor.asked(ask("b", "a"));
  auditor.ran("b", "i-1", chain);
  expect_only(Rule::invented);
}

// --- the tier ---------------------------------------------------------------------------------------

// In memory where there is such a folder: a disk that other programs keep busy stands still for seconds, and
// the verdict is to be about the tier.
struct QuietFolder {
  QuietFolder() {
    char quiet[] = "/dev/shm/chutevane-tier-XXXXXX", other[] = "/tmp/chutevane-tier-XXXXXX";
    const char* const made = ::mkdtemp(quiet);
    path = made != nullptr ? made : ::mkdtemp(other);
  }
  ~QuietFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

std::uint64_t count(const FleetResult& r, Rule rule) { return r.counts[static_cast<std::size_t>(rule)]; }

// A storage node with its disk, a controller with a change in flight, and an edge, one after the other.
TEST(TierFleet, LosesNothingThroughFaults) {
  QuietFolder folder;
  FleetSpec spec;
  spec.programs = PROGRAMS;
  spec.folder = folder.path;
  spec.seed = 3;
  spec.seconds = 8;
  Fleet fleet(spec);
  const FleetResult r = fleet.run();
  ASSERT_TRUE(r.started) << table_of(r);
  for (std::size_t i = 0; i < rule_count; ++i)
    EXPECT_EQ(r.counts[i], 0U) << name_of(static_cast<Rule>(i)) << "\n" << table_of(r);
  EXPECT_EQ(count(r, Rule::lost) + count(r, Rule::twice) + count(r, Rule::overrun), 0U);
  // That the run has tried what it judges.
  EXPECT_GT(r.figures.turns_whole, 50U) << table_of(r);
  EXPECT_GE(r.figures.longest_chain, 3U) << table_of(r);
  EXPECT_GT(r.load.loops, 0U) << table_of(r);
  EXPECT_EQ(r.load.loops_spent, r.load.loops) << table_of(r);
  EXPECT_GT(r.load.heirs, 0U) << table_of(r);
  EXPECT_EQ(r.load.heirs_whole, r.load.heirs) << table_of(r);
  EXPECT_EQ(r.load.strangers_refused, r.load.strangers) << table_of(r);
  EXPECT_EQ(r.change_ms.size(), 3U) << table_of(r);
  EXPECT_EQ(r.force_ms.size(), 3U) << table_of(r);
  EXPECT_GT(r.troubles, 0U) << table_of(r);
  EXPECT_GT(r.turned_away, 0U) << table_of(r);
  EXPECT_EQ(r.faults.size(), 5U) << table_of(r);
}

// --- stories ----------------------------------------------------------------------------------------

Fault storage_trouble(FaultKind kind, std::size_t number, double at_ms, double lasts_ms) {
  Fault out;
  out.kind = kind;
  out.plane = MachinePlane::storage;
  out.place = number - 1;
  out.at = Span::ms(at_ms);
  out.lasts = Span::ms(lasts_ms);
  return out;
}

FleetResult play(const FaultPlan& story, double seconds) {
  QuietFolder folder;
  FleetSpec spec;
  spec.programs = PROGRAMS;
  spec.folder = folder.path;
  spec.seed = 5;
  spec.seconds = seconds;
  spec.story = story;
  Fleet fleet(spec);
  return fleet.run();
}

void expect_all_held(const FleetResult& r) {
  ASSERT_TRUE(r.started) << table_of(r);
  for (std::size_t i = 0; i < rule_count; ++i)
    EXPECT_EQ(r.counts[i], 0U) << name_of(static_cast<Rule>(i)) << "\n" << table_of(r);
  EXPECT_GT(r.load.heirs, 0U) << table_of(r);
  EXPECT_EQ(r.load.heirs_whole, r.load.heirs) << table_of(r);
}

// One storage node stands still over the moment at which another comes back with an empty disk: one disk is
// lost, and what lay at these two alone is on the one that stood still.
TEST(TierFleet, AKeptTurnOutlivesAPauseBesideALostDisk) {
  FaultPlan story;
  story.beyond_tolerance = true;
  story.troubles = {storage_trouble(FaultKind::pause, 4, 2500, 4500),
                    storage_trouble(FaultKind::wipe, 2, 2600, 2200)};
  expect_all_held(play(story, 7));
}

}  // namespace
}  // namespace chutevane::lab::tier
