// Stories of troubles: the same for the same seed, within the tolerance unless they say otherwise.
#include "lab/tier/fault_plan.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace chutevane::lab::tier {
namespace {

constexpr std::uint64_t seeds = 500;
constexpr Span grace = Span::ms(8000);

bool is_loss(const Fault& t) {
  const bool counted = t.plane != MachinePlane::edge;
  switch (t.kind) {
    case FaultKind::pause:
    case FaultKind::kill:
    case FaultKind::wipe:
    case FaultKind::terminate:
    case FaultKind::cut:
    case FaultKind::slow_way: return counted;
    case FaultKind::kill_all:
    case FaultKind::kill_controllers:
    case FaultKind::interrupt_drain:
    case FaultKind::halves: return true;
    default: return false;
  }
}

Span away_until(const Fault& t) { return t.at + (t.kind == FaultKind::terminate ? grace : t.lasts); }

bool takes_all_controllers(const Fault& t) {
  return t.kind == FaultKind::kill_controllers || t.kind == FaultKind::interrupt_drain;
}

TEST(Stories, TheSameSeedIsTheSameStory) {
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string story = describe(draw_fault_plan(seed, {}));
    EXPECT_EQ(story, describe(draw_fault_plan(seed, {})));
    all.insert(story);
  }
  EXPECT_EQ(all.size(), seeds);
}

TEST(Stories, WithinTheToleranceOneMachineIsAwayAtATime) {
  const FaultPlanBounds bounds;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FaultPlan story = draw_fault_plan(seed, bounds);
    if (story.beyond_tolerance) continue;
    Span free_from;
    for (const Fault& t : story.troubles) {
      if (!is_loss(t)) continue;
      EXPECT_GE(t.at, free_from) << "seed " << seed << "\n" << describe(story);
      free_from = away_until(t) + bounds.catch_up;
    }
  }
}

TEST(Stories, BeyondItNoMoreDisksAreLost) {
  std::size_t overlapping = 0, beyond = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FaultPlan story = draw_fault_plan(seed, {});
    if (!story.beyond_tolerance) continue;
    ++beyond;
    std::size_t disks = 0, away = 0;
    Span until;
    for (const Fault& t : story.troubles) {
      disks += t.kind == FaultKind::wipe ? 1 : 0;
      if (!is_loss(t)) continue;
      away += t.at < until ? 1 : 0;
      until = std::max(until, away_until(t));
    }
    EXPECT_LE(disks, 1U) << "seed " << seed;
    overlapping += away > 0 ? 1 : 0;
  }
  EXPECT_GT(beyond, seeds / 5);
  EXPECT_GT(overlapping, beyond * 9 / 10);
}

// Beyond the tolerance controllers have faults that overlap: one stands still while another is killed, all
// are killed at once, all are told to end one after the other.
TEST(Stories, FaultsOfControllersOverlap) {
  std::size_t paused_beside_kill = 0, all_killed = 0, terminated_in_series = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FaultPlan story = draw_fault_plan(seed, {});
    if (!story.beyond_tolerance) continue;
    Span paused_until;
    std::set<std::size_t> told_to_end;
    for (const Fault& t : story.troubles) {
      all_killed += t.kind == FaultKind::kill_controllers ? 1 : 0;
      if (t.plane != MachinePlane::control) continue;
      if (t.kind == FaultKind::pause) paused_until = away_until(t);
      paused_beside_kill += t.kind == FaultKind::kill && t.at < paused_until ? 1 : 0;
      if (t.kind == FaultKind::terminate) told_to_end.insert(t.place);
    }
    terminated_in_series += told_to_end.size() == FaultPlanBounds{}.controllers ? 1 : 0;
  }
  EXPECT_GT(paused_beside_kill, 10U);
  EXPECT_GT(all_killed, 10U);
  EXPECT_GT(terminated_in_series, 10U);
}

// A machine has one fault at a time, so that no story starts a process that is there.
TEST(Stories, AMachineHasOneLossAtATime) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FaultPlan story = draw_fault_plan(seed, {});
    std::map<std::size_t, Span> controller_free_from;
    for (const Fault& t : story.troubles) {
      if (!is_loss(t) || t.kind == FaultKind::halves || t.kind == FaultKind::kill_all) continue;
      if (t.plane != MachinePlane::control && !takes_all_controllers(t)) continue;
      const bool is_of_all = takes_all_controllers(t);
      for (std::size_t place = 0; place < FaultPlanBounds{}.controllers; ++place) {
        if (!is_of_all && place != t.place) continue;
        EXPECT_GE(t.at, controller_free_from[place]) << "seed " << seed << "\n" << describe(story);
        controller_free_from[place] = away_until(t);
      }
    }
  }
}

// A storage node is killed with all controllers while it is drained, and has no other loss until it is back.
TEST(Stories, DrainsAreInterrupted) {
  std::size_t interrupted = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FaultPlan story = draw_fault_plan(seed, {});
    std::map<std::size_t, Span> storage_free_from;
    for (const Fault& t : story.troubles) {
      if (!is_loss(t) || t.plane != MachinePlane::storage) continue;
      if (t.kind == FaultKind::halves || t.kind == FaultKind::kill_all) continue;
      EXPECT_GE(t.at, storage_free_from[t.place]) << "seed " << seed << "\n" << describe(story);
      storage_free_from[t.place] = away_until(t);
      if (t.kind != FaultKind::interrupt_drain) continue;
      ++interrupted;
      EXPECT_TRUE(story.beyond_tolerance);
      EXPECT_LT(t.delay, t.lasts) << "seed " << seed;
    }
  }
  EXPECT_GT(interrupted, 50U);
}

TEST(Stories, EveryKindIsDrawnAndEndsInTime) {
  std::map<FaultKind, std::size_t> drawn;
  const FaultPlanBounds bounds;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const Fault& t : draw_fault_plan(seed, bounds).troubles) {
      ++drawn[t.kind];
      EXPECT_LE(t.at + t.lasts, bounds.active) << "seed " << seed;
      EXPECT_GE(t.lasts, Span()) << "seed " << seed;
    }
  }
  EXPECT_EQ(drawn.size(), fault_kinds);
}

}  // namespace
}  // namespace chutevane::lab::tier
