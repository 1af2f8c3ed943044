// Tests of AcceptorSetPlanner: members are replaced after their timeout and not sooner.
#include "control/acceptor_set_planner.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/replica_count.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Acceptor;
using chutevane::common::RegisterValue;
using chutevane::control::acceptor_absence_timeout;
using chutevane::control::AcceptorSetPlanner;
using chutevane::control::LiveController;
using chutevane::control::NamedAcceptorSet;
using chutevane::control::replicas_for;

namespace {

constexpr Span tick_interval = Span::ms(250);

LiveController controller(int n, const std::string& disk = "") {
  return {{numbered("c", n), disk.empty() ? numbered("d", n) : disk, true}, true};
}

std::vector<LiveController> controllers(std::initializer_list<int> numbers) {
  std::vector<LiveController> out;
  for (const int n : numbers) out.push_back(controller(n));
  return out;
}

RegisterValue with_acceptors(std::initializer_list<int> numbers) {
  RegisterValue out;
  out.epoch = 2;
  for (const int n : numbers) out.acceptors.push_back({numbered("c", n), numbered("d", n)});
  return out;
}

bool has(const std::vector<Acceptor>& set, const std::string& address, const std::string& disk) {
  return std::any_of(set.begin(), set.end(),
                     [&](const Acceptor& a) { return a.address == address && a.disk == disk; });
}

std::optional<std::vector<Acceptor>> members_of(const std::optional<NamedAcceptorSet>& next) {
  return next ? std::optional(next->members()) : std::nullopt;
}

// The first changed set, and the time until it was planned.
struct Watched {
  std::optional<std::vector<Acceptor>> next;
  Span after;
};
// Calls plan() with each tick until the set changes, for up to `most`.
Watched watch(AcceptorSetPlanner& planner, const RegisterValue& value,
              const std::vector<LiveController>& live, TimePoint& now, Span most) {
  const TimePoint start = now;
  while (now - start <= most) {
    if (auto next = members_of(planner.plan(value, live, now))) return {next, now - start};
    now = now + tick_interval;
  }
  return {std::nullopt, now - start};
}

}  // namespace

TEST_GROUP(AcceptorSetPlanning) {
  AcceptorSetPlanner planner{1};
  TimePoint now = TimePoint::at_ms(1e6);
};

TEST(AcceptorSetPlanning, ReplicaCountToleratesTheLosses) {
  CHECK_EQUAL(static_cast<std::size_t>(1), replicas_for(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), replicas_for(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), replicas_for(2));
}

TEST(AcceptorSetPlanning, NoChangeWhileAllArePresent) {
  const auto got =
      watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5}), now, Span::ms(60000));
  CHECK_FALSE(got.next.has_value());
}

// Not before the timeout, since a restarted process returns with its disk.
TEST(AcceptorSetPlanning, LostAcceptorIsReplacedAfterTheTimeout) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(got.after > acceptor_absence_timeout);
  CHECK_TRUE(got.after <= acceptor_absence_timeout + tick_interval);
  CHECK_EQUAL(static_cast<std::size_t>(3), got.next->size());
  CHECK_TRUE(has(*got.next, "c4", "d4") && !has(*got.next, "c3", "d3"));
}

// The next loss may follow `catchUpS` after the successor of the lost machine started, even if the leader was
// lost with that machine. The acceptor must have been replaced by then.
TEST(AcceptorSetPlanning, LostAcceptorIsReplacedBeforeTheNextLoss) {
  constexpr Span catch_up = Span::ms(4000), election = Span::ms(1300), change = Span::ms(200);
  planner.restart();
  const Watched got = watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(election + got.after + tick_interval + change < catch_up);
}

TEST(AcceptorSetPlanning, AcceptorThatReturnsInTimeStays) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  for (int round = 0; round < 10; ++round) {
    CHECK_FALSE(watch(planner, value, controllers({1, 2, 4}), now, acceptor_absence_timeout - tick_interval)
                    .next.has_value());
    CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  }
}

TEST(AcceptorSetPlanning, LostAcceptorStaysWithoutAFreeController) {
  CHECK_FALSE(
      watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2}), now, Span::ms(30000)).next.has_value());
}

TEST(AcceptorSetPlanning, ControllerThatShutsDownIsNotAdded) {
  std::vector<LiveController> live = controllers({1, 2, 4});
  live[2].is_eligible = false;
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// The replacing controller may have been running for long, so another loss may follow at any time once the
// member has exited.
TEST(AcceptorSetPlanning, MemberThatShutsDownIsReplacedBeforeItExits) {
  std::vector<LiveController> live = controllers({1, 2, 3, 4});
  live[2].is_eligible = false;
  const auto next = members_of(planner.plan(with_acceptors({1, 2, 3}), live, now));
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(next->size() == 3 && has(*next, "c4", "d4") && !has(*next, "c3", "d3"));
  // Without a free controller the member keeps voting.
  live.pop_back();
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
  // A controller that is shutting down as well is not a replacement.
  live = controllers({1, 2, 3, 4});
  live[2].is_eligible = live[3].is_eligible = false;
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// The old disk and its promises are lost for good, so there is nothing to wait for.
TEST(AcceptorSetPlanning, NewDiskAtTheSameAddressReplacesAtOnce) {
  std::vector<LiveController> live = controllers({1, 2});
  live.push_back({{"c3", "new", false}, true});
  live.push_back(controller(4));
  const auto next = members_of(planner.plan(with_acceptors({1, 2, 3}), live, now));
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(has(*next, "c3", "new"));
  CHECK_FALSE(has(*next, "c3", "d3") || has(*next, "c4", "d4"));
}

// A new leader does not count absences from before its election.
TEST(AcceptorSetPlanning, RestartDiscardsAbsences) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  now = now + Span::ms(60000);
  planner.restart();
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value() && got.after > acceptor_absence_timeout);
}

TEST(AcceptorSetPlanning, SmallSetGrowsToTolerateTheLosses) {
  AcceptorSetPlanner of_two(2);
  const auto next = members_of(of_two.plan(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5, 6}), now));
  CHECK_TRUE(next.has_value());
  CHECK_EQUAL(static_cast<std::size_t>(5), next->size());
  // A fourth member alone would not tolerate more losses, so the set stays.
  CHECK_FALSE(of_two.plan(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4}), now).has_value());
}

// The first set has only addresses; the next set names the disk of each member.
TEST(AcceptorSetPlanning, SetAfterTheFirstNamesAllDisks) {
  RegisterValue value;
  value.epoch = 1;
  value.acceptors = {{"c1", ""}, {"c2", ""}, {"c3", ""}};
  const std::vector<LiveController> all = controllers({1, 2, 3, 4});
  CHECK_FALSE(watch(planner, value, all, now, Span::ms(10000)).next.has_value());
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(10000));
  CHECK_TRUE(got.next.has_value());
  for (const Acceptor& a : *got.next) CHECK_FALSE(a.disk.empty());
  // A controller at a known address whose disk was not new at the first start has another disk.
  std::vector<LiveController> wiped = controllers({1, 2});
  wiped.push_back({{"c3", "new", false}, true});
  const auto next = members_of(planner.plan(value, wiped, now));
  CHECK_TRUE(next.has_value() && has(*next, "c3", "new") && has(*next, "c1", "d1") && has(*next, "c2", "d2"));
}

// The first set grows while one of its controllers has not started yet.
TEST(AcceptorSetPlanning, ChangeWaitsForTheDisksOfTheFirstSet) {
  AcceptorSetPlanner of_two(2);
  RegisterValue first;
  first.epoch = 1;
  first.acceptors = {{"c1", ""}, {"c2", ""}, {"c3", ""}};
  CHECK_FALSE(members_of(of_two.plan(first, controllers({1, 3, 4, 5}), now)).has_value());
  now = now + tick_interval;
  const auto next = members_of(of_two.plan(first, controllers({1, 2, 3, 4, 5}), now));
  CHECK_TRUE(next.has_value() && next->size() == 5 && has(*next, "c2", "d2"));
}

// After the timeout the set changes without the members that are still missing, to an odd number.
TEST(AcceptorSetPlanning, MemberThatNeverStartsIsLeftOutAfterTheTimeout) {
  for (const bool second_is_missing : {false, true}) {
    AcceptorSetPlanner of_two(2);
    RegisterValue first;
    first.epoch = 1;
    for (int n = 1; n <= 5; ++n) first.acceptors.push_back({numbered("c", n), ""});
    std::vector<LiveController> live = controllers({1, 2, 3});
    if (!second_is_missing) live.push_back(controller(4));
    live[0] = {{"c1", "new", false}, true};  // requires a change
    const Watched got = watch(of_two, first, live, now, Span::ms(20000));
    CHECK_TRUE(got.next.has_value() && got.after > acceptor_absence_timeout);
    CHECK_EQUAL(static_cast<std::size_t>(3), got.next->size());
    CHECK_TRUE(has(*got.next, "c1", "new") && !has(*got.next, "c1", "d1"));
    for (const Acceptor& member : *got.next) CHECK_FALSE(member.disk.empty());
    // The missing member arrives after all, and the set grows again if that makes it odd.
    RegisterValue second;
    second.epoch = 2;
    second.acceptors = *got.next;
    live.push_back(controller(4));
    if (!second_is_missing) live.back() = controller(5);
    CHECK_TRUE(members_of(of_two.plan(second, live, now)).has_value() == !second_is_missing);
  }
}

// Earlier versions could store a later set that names a member by its address alone.
TEST(AcceptorSetPlanning, MemberWithoutADiskInALaterSetIsRepairedAtOnce) {
  AcceptorSetPlanner of_two(2);
  RegisterValue stored = with_acceptors({1, 2, 3, 4, 5});
  stored.acceptors[1].disk.clear();
  const auto repaired = members_of(of_two.plan(stored, controllers({1, 2, 3, 4, 5}), now));
  CHECK_TRUE(repaired.has_value() && *repaired == with_acceptors({1, 2, 3, 4, 5}).acceptors);
  // If that controller is absent, a free one replaces it after the timeout.
  const Watched got = watch(of_two, stored, controllers({1, 3, 4, 5, 6}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value() && has(*got.next, "c6", "d6") && !has(*got.next, "c2", ""));
}

// A peer that reports no disk cannot become an acceptor.
TEST(AcceptorSetPlanning, ControllerWithoutADiskIsNotFree) {
  std::vector<LiveController> live = controllers({1, 2});
  live.push_back({{"c4", "", true}, true});
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(20000)).next.has_value());
}

// Controllers leave, return and lose disks at random. A set must never shrink, never name a controller twice,
// and replace a member only for a valid reason.
TEST(AcceptorSetPlanning, RandomAbsences) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    chutevane::simulated::RandomSource random(seed);
    AcceptorSetPlanner r(1);
    RegisterValue value = with_acceptors({0, 1, 2});
    std::vector<int> disks(6, 0);
    std::vector<TimePoint> seen(6, now);
    std::vector<bool> up(6, true);
    for (int step = 0; step < 400; ++step) {
      now = now + tick_interval;
      const std::size_t one = random.below(6);
      if (random.chance(0.06)) up[one] = !up[one];
      if (random.chance(0.01)) ++disks[one];
      std::vector<LiveController> live;
      for (std::size_t i = 0; i < 6; ++i) {
        if (!up[i]) continue;
        seen[i] = now;
        const std::string disk = numbered("d", i) + std::string(static_cast<std::size_t>(disks[i]), 'x');
        live.push_back({{numbered("c", i), disk, disks[i] == 0}, true});
      }
      const auto next = members_of(r.plan(value, live, now));
      if (!next) continue;
      CHECK_TRUE(next->size() == 3 && *next != value.acceptors);
      for (std::size_t i = 0; i < 3; ++i) {
        const Acceptor& a = (*next)[i];
        CHECK_EQUAL(1, static_cast<int>(std::count_if(next->begin(), next->end(), [&](const Acceptor& b) {
                      return a.address == b.address;
                    })));
        if (value.acceptors[i] == a) continue;
        const Acceptor& before = value.acceptors[i];
        const auto number = static_cast<std::size_t>(before.address[1] - '0');
        const bool wiped = a.address == before.address;
        CHECK_TRUE(wiped || disks[number] > 0 || now - seen[number] > acceptor_absence_timeout);
      }
      value.acceptors = *next;
      ++value.epoch;
    }
  }
}

// A controller with a new disk replaces its own former membership and never also that of another member, or
// one address would have two votes.
TEST(AcceptorSetPlanning, NoAddressIsNamedTwice) {
  for (int order = 0; order < 2; ++order) {
    AcceptorSetPlanner watching(1);
    RegisterValue value;
    value.epoch = 2;
    for (const char* n : {"1", "2", "3"})
      value.acceptors.push_back({std::string("a") + n, std::string("d") + n});
    std::vector<LiveController> live{{{"a2", "other", false}, true}, {{"a3", "d3", false}, true}};
    if (order == 1) std::swap(live[0], live[1]);
    // Both others are absent for longer than the timeout and none is free; then one returns with a new disk.
    const std::vector<LiveController> alone{{{"a3", "d3", false}, true}};
    for (int i = 0; i < 50; ++i, now = now + Span::ms(100))
      CHECK_FALSE(members_of(watching.plan(value, alone, now)).has_value());
    for (int i = 0; i < 100; ++i) {
      if (auto next = members_of(watching.plan(value, live, now))) {
        value.acceptors = *next;
        ++value.epoch;
      }
      std::set<std::string> places;
      for (const auto& a : value.acceptors) places.insert(a.address);
      CHECK_EQUAL(value.acceptors.size(), places.size());
      now = now + Span::ms(100);
    }
    CHECK_TRUE(value.acceptors[1].disk == "other");
  }
}
