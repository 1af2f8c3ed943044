// The set of acceptors: members are replaced after their time and not sooner.
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

// Looks again and again; when the set changes, how long that took.
struct Watched {
  std::optional<std::vector<Acceptor>> next;
  Span after;
};
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

TEST(AcceptorSetPlanning, CopiesBearTheLosses) {
  CHECK_EQUAL(static_cast<std::size_t>(1), replicas_for(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), replicas_for(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), replicas_for(2));
}

TEST(AcceptorSetPlanning, NothingChangesWhileAllAreThere) {
  const auto got =
      watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5}), now, Span::ms(60000));
  CHECK_FALSE(got.next.has_value());
}

// Not sooner than its time: a process that is started again comes back with its disk.
TEST(AcceptorSetPlanning, LostOneIsReplacedAfterItsTime) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(got.after > acceptor_absence_timeout);
  CHECK_TRUE(got.after <= acceptor_absence_timeout + tick_interval);
  CHECK_EQUAL(static_cast<std::size_t>(3), got.next->size());
  CHECK_TRUE(has(*got.next, "c4", "d4") && !has(*got.next, "c3", "d3"));
}

// Its successor began when it went: the next loss may come `catchUpS` later, also where
// the leader went with it.
TEST(AcceptorSetPlanning, ItsPlaceIsAnothersBeforeTheNextLoss) {
  constexpr Span catch_up = Span::ms(4000), duty_won = Span::ms(1300), change = Span::ms(200);
  planner.restart();
  const Watched got = watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(duty_won + got.after + tick_interval + change < catch_up);
}

TEST(AcceptorSetPlanning, OneThatComesBackInTimeStays) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  for (int round = 0; round < 10; ++round) {
    CHECK_FALSE(watch(planner, value, controllers({1, 2, 4}), now, acceptor_absence_timeout - tick_interval)
                    .next.has_value());
    CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  }
}

TEST(AcceptorSetPlanning, WithoutAnotherTheLostOneStays) {
  CHECK_FALSE(
      watch(planner, with_acceptors({1, 2, 3}), controllers({1, 2}), now, Span::ms(30000)).next.has_value());
}

TEST(AcceptorSetPlanning, OneThatLeavesTakesNoPlace) {
  std::vector<LiveController> live = controllers({1, 2, 4});
  live[2].is_eligible = false;
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// Its successor may have been there for long: once it is gone the next loss comes at any moment.
TEST(AcceptorSetPlanning, OneThatLeavesIsReplacedBeforeItGoes) {
  std::vector<LiveController> live = controllers({1, 2, 3, 4});
  live[2].is_eligible = false;
  const auto next = members_of(planner.plan(with_acceptors({1, 2, 3}), live, now));
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(next->size() == 3 && has(*next, "c4", "d4") && !has(*next, "c3", "d3"));
  // Nobody is there in its stead: it votes on.
  live.pop_back();
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
  // Nor one that leaves as well.
  live = controllers({1, 2, 3, 4});
  live[2].is_eligible = live[3].is_eligible = false;
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// Its disk is gone for good, and with it what it promised: there is nothing to wait for.
TEST(AcceptorSetPlanning, SameAddressWithAnotherDiskAtOnce) {
  std::vector<LiveController> live = controllers({1, 2});
  live.push_back({{"c3", "new", false}, true});
  live.push_back(controller(4));
  const auto next = members_of(planner.plan(with_acceptors({1, 2, 3}), live, now));
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(has(*next, "c3", "new"));
  CHECK_FALSE(has(*next, "c3", "d3") || has(*next, "c4", "d4"));
}

// A new leader counts against nobody what it has not seen.
TEST(AcceptorSetPlanning, WatchedAnew) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(planner.plan(value, controllers({1, 2, 3, 4}), now).has_value());
  now = now + Span::ms(60000);
  planner.restart();
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value() && got.after > acceptor_absence_timeout);
}

TEST(AcceptorSetPlanning, SmallSetGrowsToBearTheLosses) {
  AcceptorSetPlanner of_two(2);
  const auto next = members_of(of_two.plan(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5, 6}), now));
  CHECK_TRUE(next.has_value());
  CHECK_EQUAL(static_cast<std::size_t>(5), next->size());
  // One more alone bears no more: the set stays.
  CHECK_FALSE(of_two.plan(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4}), now).has_value());
}

// The first set is known by its addresses alone; the next names each disk that is there.
TEST(AcceptorSetPlanning, FirstSetIsNamedWithItsDisks) {
  RegisterValue value;
  value.epoch = 1;
  value.acceptors = {{"c1", ""}, {"c2", ""}, {"c3", ""}};
  const std::vector<LiveController> all = controllers({1, 2, 3, 4});
  CHECK_FALSE(watch(planner, value, all, now, Span::ms(10000)).next.has_value());
  const Watched got = watch(planner, value, controllers({1, 2, 4}), now, Span::ms(10000));
  CHECK_TRUE(got.next.has_value());
  for (const Acceptor& a : *got.next) CHECK_FALSE(a.disk.empty());
  // One at a known address, whose disk is not of the first start, is another disk.
  std::vector<LiveController> wiped = controllers({1, 2});
  wiped.push_back({{"c3", "new", false}, true});
  const auto next = members_of(planner.plan(value, wiped, now));
  CHECK_TRUE(next.has_value() && has(*next, "c3", "new") && has(*next, "c1", "d1") && has(*next, "c2", "d2"));
}

// The first set, grown while some of its controllers have yet to open for the first time.
TEST(AcceptorSetPlanning, AChangeWaitsForTheDisksOfTheFirstSet) {
  AcceptorSetPlanner of_two(2);
  RegisterValue first;
  first.epoch = 1;
  first.acceptors = {{"c1", ""}, {"c2", ""}, {"c3", ""}};
  CHECK_FALSE(members_of(of_two.plan(first, controllers({1, 3, 4, 5}), now)).has_value());
  now = now + tick_interval;
  const auto next = members_of(of_two.plan(first, controllers({1, 2, 3, 4, 5}), now));
  CHECK_TRUE(next.has_value() && next->size() == 5 && has(*next, "c2", "d2"));
}

// Waiting ends: the set grows without those that are still missing, and to an odd number.
TEST(AcceptorSetPlanning, OneThatNeverOpensIsLeftOutAfterItsTime) {
  for (const bool second_is_missing : {false, true}) {
    AcceptorSetPlanner of_two(2);
    RegisterValue first;
    first.epoch = 1;
    for (int n = 1; n <= 5; ++n) first.acceptors.push_back({numbered("c", n), ""});
    std::vector<LiveController> live = controllers({1, 2, 3});
    if (!second_is_missing) live.push_back(controller(4));
    live[0] = {{"c1", "new", false}, true};  // the change that cannot wait for ever
    const Watched got = watch(of_two, first, live, now, Span::ms(20000));
    CHECK_TRUE(got.next.has_value() && got.after > acceptor_absence_timeout);
    CHECK_EQUAL(static_cast<std::size_t>(3), got.next->size());
    CHECK_TRUE(has(*got.next, "c1", "new") && !has(*got.next, "c1", "d1"));
    for (const Acceptor& member : *got.next) CHECK_FALSE(member.disk.empty());
    // It comes after all, and the set grows again as soon as that makes it odd.
    RegisterValue second;
    second.epoch = 2;
    second.acceptors = *got.next;
    live.push_back(controller(4));
    if (!second_is_missing) live.back() = controller(5);
    CHECK_TRUE(members_of(of_two.plan(second, live, now)).has_value() == !second_is_missing);
  }
}

// As earlier versions have stored it: a later set that names a member by its address alone.
TEST(AcceptorSetPlanning, AMemberWithoutADiskInALaterSetIsNamedAtOnce) {
  AcceptorSetPlanner of_two(2);
  RegisterValue stored = with_acceptors({1, 2, 3, 4, 5});
  stored.acceptors[1].disk.clear();
  const auto healed = members_of(of_two.plan(stored, controllers({1, 2, 3, 4, 5}), now));
  CHECK_TRUE(healed.has_value() && *healed == with_acceptors({1, 2, 3, 4, 5}).acceptors);
  // Where its controller is not there, a free one takes its place after its time.
  const Watched got = watch(of_two, stored, controllers({1, 3, 4, 5, 6}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value() && has(*got.next, "c6", "d6") && !has(*got.next, "c2", ""));
}

// A peer that reports no disk becomes no acceptor.
TEST(AcceptorSetPlanning, AControllerWithoutADiskIsNotFree) {
  std::vector<LiveController> live = controllers({1, 2});
  live.push_back({{"c4", "", true}, true});
  CHECK_FALSE(watch(planner, with_acceptors({1, 2, 3}), live, now, Span::ms(20000)).next.has_value());
}

// Days of comings and goings: a set never shrinks, never names one twice, and changes a place only for a
// cause.
TEST(AcceptorSetPlanning, ComingsAndGoings) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    chutevane::simulated::RandomSource luck(seed);
    AcceptorSetPlanner r(1);
    RegisterValue value = with_acceptors({0, 1, 2});
    std::vector<int> disks(6, 0);
    std::vector<TimePoint> seen(6, now);
    std::vector<bool> up(6, true);
    for (int step = 0; step < 400; ++step) {
      now = now + tick_interval;
      const std::size_t one = luck.below(6);
      if (luck.chance(0.06)) up[one] = !up[one];
      if (luck.chance(0.01)) ++disks[one];
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

// A controller with a new disk gets its own place back, and never another's beside it: one address would vote
// as two.
TEST(AcceptorSetPlanning, NoAddressIsNamedTwice) {
  for (int order = 0; order < 2; ++order) {
    AcceptorSetPlanner watching(1);
    RegisterValue value;
    value.epoch = 2;
    for (const char* n : {"1", "2", "3"})
      value.acceptors.push_back({std::string("a") + n, std::string("d") + n});
    std::vector<LiveController> live{{{"a2", "other", false}, true}, {{"a3", "d3", false}, true}};
    if (order == 1) std::swap(live[0], live[1]);
    // Both others are gone for longer than their time, and none is free; then one comes back with a new disk.
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
