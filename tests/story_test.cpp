// Stories of troubles: the same for the same seed, within the tolerance unless they say otherwise.
#include "lab/tier/story.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace chutevane::lab::tier {
namespace {

constexpr std::uint64_t seeds = 500;
constexpr Span grace = Span::ms(8000);

bool is_loss(const Trouble& t) {
  const bool counted = t.plane != MachinePlane::edge;
  switch (t.kind) {
    case TroubleKind::pause:
    case TroubleKind::kill:
    case TroubleKind::wipe:
    case TroubleKind::terminate:
    case TroubleKind::cut:
    case TroubleKind::slow_way: return counted;
    case TroubleKind::kill_all:
    case TroubleKind::halves: return true;
    default: return false;
  }
}

Span away_until(const Trouble& t) { return t.at + (t.kind == TroubleKind::terminate ? grace : t.lasts); }

TEST(Stories, TheSameSeedIsTheSameStory) {
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string story = describe(draw_story(seed, {}));
    EXPECT_EQ(story, describe(draw_story(seed, {})));
    all.insert(story);
  }
  EXPECT_EQ(all.size(), seeds);
}

TEST(Stories, WithinTheToleranceOneMachineIsAwayAtATime) {
  const StoryBounds bounds;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Story story = draw_story(seed, bounds);
    if (story.beyond_tolerance) continue;
    Span free_from;
    for (const Trouble& t : story.troubles) {
      if (!is_loss(t)) continue;
      EXPECT_GE(t.at, free_from) << "seed " << seed << "\n" << describe(story);
      free_from = away_until(t) + bounds.catch_up;
    }
  }
}

TEST(Stories, BeyondItNoMoreDisksAreLost) {
  std::size_t overlapping = 0, beyond = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Story story = draw_story(seed, {});
    if (!story.beyond_tolerance) continue;
    ++beyond;
    std::size_t disks = 0, away = 0;
    Span until;
    for (const Trouble& t : story.troubles) {
      disks += t.kind == TroubleKind::wipe ? 1 : 0;
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

TEST(Stories, EveryKindIsDrawnAndEndsInTime) {
  std::map<TroubleKind, std::size_t> drawn;
  const StoryBounds bounds;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const Trouble& t : draw_story(seed, bounds).troubles) {
      ++drawn[t.kind];
      EXPECT_LE(t.at + t.lasts, bounds.active) << "seed " << seed;
      EXPECT_GE(t.lasts, Span()) << "seed " << seed;
    }
  }
  EXPECT_EQ(drawn.size(), trouble_kinds);
}

}  // namespace
}  // namespace chutevane::lab::tier
