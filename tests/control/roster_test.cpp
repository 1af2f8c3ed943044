// Who should vote, and who should keep turns: replaced after their time and not sooner, retired only when all
// that stay are whole.
#include "control/roster.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/storage_map.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Acceptor;
using chutevane::common::Member;
using chutevane::common::RegisterValue;
using chutevane::common::StorageNode;
using chutevane::control::acceptor_lost_after;
using chutevane::control::copies_for;
using chutevane::control::LiveController;
using chutevane::control::retire;
using chutevane::control::RetireVerdict;
using chutevane::control::Roster;
using chutevane::control::storage_node_lost_after;

namespace {

constexpr Span look_every = Span::ms(250);

LiveController controller(int n, const std::string& disk = "") {
  return {numbered("c", n), disk.empty() ? numbered("d", n) : disk, true, true};
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

// Looks again and again; when the set changes, how long that took.
struct Watched {
  std::optional<std::vector<Acceptor>> next;
  Span after;
};
Watched watch(Roster& roster, const RegisterValue& value, const std::vector<LiveController>& live,
              TimePoint& now, Span most) {
  const TimePoint start = now;
  while (now - start <= most) {
    if (auto next = roster.acceptors(value, live, now)) return {next, now - start};
    now = now + look_every;
  }
  return {std::nullopt, now - start};
}

}  // namespace

TEST_GROUP(RosterAcceptors) {
  Roster roster{1};
  TimePoint now = TimePoint::at_ms(1e6);
};

TEST(RosterAcceptors, CopiesBearTheLosses) {
  CHECK_EQUAL(static_cast<std::size_t>(1), copies_for(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), copies_for(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), copies_for(2));
}

TEST(RosterAcceptors, NothingChangesWhileAllAreThere) {
  const auto got =
      watch(roster, with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5}), now, Span::ms(60000));
  CHECK_FALSE(got.next.has_value());
}

// Not sooner than its time: a process that is started again comes back with its disk.
TEST(RosterAcceptors, LostOneIsReplacedAfterItsTime) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(roster.acceptors(value, controllers({1, 2, 3, 4}), now).has_value());
  const Watched got = watch(roster, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(got.after > acceptor_lost_after);
  CHECK_TRUE(got.after <= acceptor_lost_after + look_every);
  CHECK_EQUAL(static_cast<std::size_t>(3), got.next->size());
  CHECK_TRUE(has(*got.next, "c4", "d4") && !has(*got.next, "c3", "d3"));
}

// Its successor began when it went: the next loss may come `catchUpS` later, also where the one that keeps
// the roster went with it.
TEST(RosterAcceptors, ItsPlaceIsAnothersBeforeTheNextLoss) {
  constexpr Span catch_up = Span::ms(4000), duty_won = Span::ms(1300), change = Span::ms(200);
  roster.restart();
  const Watched got = watch(roster, with_acceptors({1, 2, 3}), controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value());
  CHECK_TRUE(duty_won + got.after + look_every + change < catch_up);
}

TEST(RosterAcceptors, OneThatComesBackInTimeStays) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  for (int round = 0; round < 10; ++round) {
    CHECK_FALSE(
        watch(roster, value, controllers({1, 2, 4}), now, acceptor_lost_after - look_every).next.has_value());
    CHECK_FALSE(roster.acceptors(value, controllers({1, 2, 3, 4}), now).has_value());
  }
}

TEST(RosterAcceptors, WithoutAnotherTheLostOneStays) {
  CHECK_FALSE(
      watch(roster, with_acceptors({1, 2, 3}), controllers({1, 2}), now, Span::ms(30000)).next.has_value());
}

TEST(RosterAcceptors, OneThatLeavesTakesNoPlace) {
  std::vector<LiveController> live = controllers({1, 2, 4});
  live[2].ready = false;
  CHECK_FALSE(watch(roster, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// Its successor may have been there for long: once it is gone the next loss comes at any moment.
TEST(RosterAcceptors, OneThatLeavesIsReplacedBeforeItGoes) {
  std::vector<LiveController> live = controllers({1, 2, 3, 4});
  live[2].ready = false;
  const auto next = roster.acceptors(with_acceptors({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(next->size() == 3 && has(*next, "c4", "d4") && !has(*next, "c3", "d3"));
  // Nobody is there in its stead: it votes on.
  live.pop_back();
  CHECK_FALSE(watch(roster, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
  // Nor one that leaves as well.
  live = controllers({1, 2, 3, 4});
  live[2].ready = live[3].ready = false;
  CHECK_FALSE(watch(roster, with_acceptors({1, 2, 3}), live, now, Span::ms(30000)).next.has_value());
}

// Its disk is gone for good, and with it what it promised: there is nothing to wait for.
TEST(RosterAcceptors, SameAddressWithAnotherDiskAtOnce) {
  std::vector<LiveController> live = controllers({1, 2});
  live.push_back({"c3", "new", false, true});
  live.push_back(controller(4));
  const auto next = roster.acceptors(with_acceptors({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(has(*next, "c3", "new"));
  CHECK_FALSE(has(*next, "c3", "d3") || has(*next, "c4", "d4"));
}

// Who begins to keep the roster does not hold against anybody what it has not seen.
TEST(RosterAcceptors, WatchedAnew) {
  const RegisterValue value = with_acceptors({1, 2, 3});
  CHECK_FALSE(roster.acceptors(value, controllers({1, 2, 3, 4}), now).has_value());
  now = now + Span::ms(60000);
  roster.restart();
  const Watched got = watch(roster, value, controllers({1, 2, 4}), now, Span::ms(20000));
  CHECK_TRUE(got.next.has_value() && got.after > acceptor_lost_after);
}

TEST(RosterAcceptors, SmallSetGrowsToBearTheLosses) {
  Roster of_two(2);
  const auto next = of_two.acceptors(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4, 5, 6}), now);
  CHECK_TRUE(next.has_value());
  CHECK_EQUAL(static_cast<std::size_t>(5), next->size());
  // One more alone bears no more: the set stays.
  CHECK_FALSE(of_two.acceptors(with_acceptors({1, 2, 3}), controllers({1, 2, 3, 4}), now).has_value());
}

// The first set is known by its addresses alone; the next names each disk that is there.
TEST(RosterAcceptors, FirstSetIsNamedWithItsDisks) {
  RegisterValue value;
  value.epoch = 1;
  value.acceptors = {{"c1", ""}, {"c2", ""}, {"c3", ""}};
  const std::vector<LiveController> all = controllers({1, 2, 3, 4});
  CHECK_FALSE(watch(roster, value, all, now, Span::ms(10000)).next.has_value());
  const Watched got = watch(roster, value, controllers({1, 2, 4}), now, Span::ms(10000));
  CHECK_TRUE(got.next.has_value());
  for (const Acceptor& a : *got.next) CHECK_FALSE(a.disk.empty());
  // One at a known address, whose disk is not of the first start, is another disk.
  std::vector<LiveController> wiped = controllers({1, 2});
  wiped.push_back({"c3", "new", false, true});
  const auto next = roster.acceptors(value, wiped, now);
  CHECK_TRUE(next.has_value() && has(*next, "c3", "new") && has(*next, "c1", "d1") && has(*next, "c2", "d2"));
}

// Days of comings and goings: a set never shrinks, never names one twice, and changes a place only for a
// cause.
TEST(RosterAcceptors, ComingsAndGoings) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    chutevane::simulated::RandomSource luck(seed);
    Roster r(1);
    RegisterValue value = with_acceptors({0, 1, 2});
    std::vector<int> disks(6, 0);
    std::vector<TimePoint> seen(6, now);
    std::vector<bool> up(6, true);
    for (int step = 0; step < 400; ++step) {
      now = now + look_every;
      const std::size_t one = luck.below(6);
      if (luck.chance(0.06)) up[one] = !up[one];
      if (luck.chance(0.01)) ++disks[one];
      std::vector<LiveController> live;
      for (std::size_t i = 0; i < 6; ++i) {
        if (!up[i]) continue;
        seen[i] = now;
        const std::string disk = numbered("d", i) + std::string(static_cast<std::size_t>(disks[i]), 'x');
        live.push_back({numbered("c", i), disk, disks[i] == 0, true});
      }
      const auto next = r.acceptors(value, live, now);
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
        CHECK_TRUE(wiped || disks[number] > 0 || now - seen[number] > acceptor_lost_after);
      }
      value.acceptors = *next;
      ++value.epoch;
    }
  }
}

namespace {

StorageNode storage_node(int n) {
  const std::string s = std::to_string(n);
  return {"n" + s, "d" + s, "a" + s, "z", false};
}

RegisterValue with_storage_nodes(std::initializer_list<int> numbers, std::int64_t map = 7) {
  RegisterValue out;
  out.map_version = map;
  for (const int n : numbers) out.storage_nodes.push_back(storage_node(n));
  return out;
}

Member member(int n, std::int64_t whole) {
  const std::string s = std::to_string(n);
  Member out;
  out.node = "n" + s;
  out.plane = "storage";
  out.disk = "d" + s;
  out.address = "a" + s;
  out.zone = "z";
  out.complete_map_version = whole;
  return out;
}

std::vector<Member> members(std::initializer_list<int> numbers, std::int64_t whole) {
  std::vector<Member> out;
  for (const int n : numbers) out.push_back(member(n, whole));
  return out;
}

bool lists(const RegisterValue& value, const std::string& node) {
  return std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                     [&](const StorageNode& c) { return c.node == node; });
}

}  // namespace

TEST_GROUP(RosterStorageNodes) {
  Roster roster{1};
  TimePoint now = TimePoint::at_ms(1e6);
  std::optional<RegisterValue> watched(const RegisterValue& value, const std::vector<Member>& live, Span most,
                                       Span* took) {
    const TimePoint start = now;
    while (now - start <= most) {
      if (auto next = roster.storage_nodes(value, live, now)) {
        *took = now - start;
        return next;
      }
      now = now + look_every;
    }
    return std::nullopt;
  }
  Span after;
};

TEST(RosterStorageNodes, NothingChangesWhileAllAreThere) {
  CHECK_FALSE(
      watched(with_storage_nodes({1, 2, 3}), members({1, 2, 3}, 7), Span::ms(30000), &after).has_value());
}

TEST(RosterStorageNodes, ANewOneJoinsAtOnce) {
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  Member other = member(9, 0);
  other.plane = "edge";  // of another plane
  live.push_back(other);
  const auto next = roster.storage_nodes(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value() && next->map_version == 8 && next->storage_nodes.size() == 4);
  StorageNode newcomer = storage_node(4);
  newcomer.bootstrapping = true;
  CHECK_TRUE(next->storage_nodes.back() == newcomer);
}

// The same node with an empty disk: the map tells, so that it takes over anew what is its own.
TEST(RosterStorageNodes, AWipedOneIsNamedAtOnceWithItsNewDisk) {
  std::vector<Member> live = members({1, 2, 3}, 7);
  live[1].disk = "new";
  const auto next = roster.storage_nodes(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value() && next->map_version == 8 && next->storage_nodes.size() == 3);
  CHECK_TRUE(next->storage_nodes[1].disk == "new" && next->storage_nodes[1].node == "n2");
}

TEST(RosterStorageNodes, GoneAfterItsTimeAndNotSooner) {
  const RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_FALSE(roster.storage_nodes(value, members({1, 2, 3, 4}, 7), now).has_value());
  const auto next = watched(value, members({1, 2, 4}, 7), Span::ms(30000), &after);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(after > storage_node_lost_after && after <= storage_node_lost_after + look_every);
  CHECK_TRUE(!lists(*next, "n3") && next->storage_nodes.size() == 3 && next->map_version == 8);
}

// Two of three copies lie on machines of which one is gone and replaced: the next loss may come `catchUpS`
// after the successor began. What is noticed after 1.3 s without a session, and taken over in some hundred
// ms, has to be given up well before.
TEST(RosterStorageNodes, OneThatWasReplacedIsGivenUpSoon) {
  constexpr Span catch_up = Span::ms(4100), noticed = Span::ms(1300), take_over = Span::ms(800);
  for (const bool newcomer_first : {false, true}) {
    Roster watching(1);
    RegisterValue value = with_storage_nodes({1, 2, 3});
    if (newcomer_first) {
      value = *watching.storage_nodes(value, members({1, 2, 3, 4}, 7), now);
    } else {
      now = now + look_every;
      CHECK_FALSE(watching.storage_nodes(value, members({1, 2, 3}, 7), now).has_value());
      value = *watching.storage_nodes(value, members({1, 2, 4}, 7), now);
    }
    const TimePoint start = now;
    std::optional<RegisterValue> next;
    while (!next && now - start < Span::ms(10000)) {
      now = now + look_every;
      next = watching.storage_nodes(value, members({1, 2, 4}, value.map_version), now);
    }
    CHECK_TRUE(next.has_value() && !lists(*next, "n3") && next->storage_nodes.size() == 3);
    CHECK_TRUE(noticed + (now - start) + look_every + take_over < catch_up);
  }
}

// The copies lie there: fewer than bear the losses are not left in the map.
// One whose disk takes nothing is there and keeps nothing: another takes its part, and it comes back with its
// disk.
TEST(RosterStorageNodes, OneWhoseDiskFailsCountsAsGone) {
  const RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  CHECK_FALSE(roster.storage_nodes(value, live, now).has_value());
  live[2].disk_failing = true;
  const auto next = watched(value, live, Span::ms(30000), &after);
  CHECK_TRUE(next.has_value() && !lists(*next, "n3"));
  CHECK_TRUE(after > storage_node_lost_after && after <= storage_node_lost_after + look_every);
  CHECK_FALSE(watched(*next, live, Span::ms(5000), &after).has_value());
  live[2].disk_failing = false;
  const auto again = roster.storage_nodes(*next, live, now);
  CHECK_TRUE(again.has_value() && lists(*again, "n3"));
}

TEST(RosterStorageNodes, TheLastCopiesStayInTheMap) {
  CHECK_FALSE(
      watched(with_storage_nodes({1, 2, 3}), members({1, 2}, 7), Span::ms(30000), &after).has_value());
  CHECK_FALSE(watched(with_storage_nodes({1, 2, 3}), {}, Span::ms(30000), &after).has_value());
}

// Emptied only when each that stays has what lay there, by this map and on this disk.
TEST(RosterStorageNodes, RetiredOnlyWhenAllThatStayAreWhole) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(retire(value, "n4", 1) == RetireVerdict::taken);
  CHECK_EQUAL(8, static_cast<int>(value.map_version));
  CHECK_TRUE(value.storage_nodes[3].draining && !value.retired_nodes[0].completed);
  for (int behind = 1; behind <= 3; ++behind) {  // one is not whole by the newest map
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live[static_cast<std::size_t>(behind - 1)].complete_map_version = 7;
    CHECK_FALSE(watched(value, live, Span::ms(10000), &after).has_value());
  }
  for (int gone = 1; gone <= 3; ++gone) {  // one is not heard of
    Roster fresh(1);
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live.erase(live.begin() + gone - 1);
    CHECK_FALSE(fresh.storage_nodes(value, live, now).has_value());
  }
  for (int wiped = 1; wiped <= 3; ++wiped) {  // one has another disk: the map is told of it first
    Roster fresh(1);
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live[static_cast<std::size_t>(wiped - 1)].disk = "new";
    const auto next = fresh.storage_nodes(value, live, now);
    CHECK_TRUE(next.has_value() && lists(*next, "n4") && !next->retired_nodes[0].completed &&
               next->map_version == 9);
    CHECK_FALSE(fresh.storage_nodes(*next, live, now).has_value());  // it was whole by the map before
  }
  const auto next = roster.storage_nodes(value, members({1, 2, 3, 4}, 8), now);
  CHECK_TRUE(next.has_value() && !lists(*next, "n4"));
  CHECK_TRUE(next->retired_nodes[0].completed && next->map_version == 9);
  // Its machine is not taken in again.
  CHECK_FALSE(roster.storage_nodes(*next, members({1, 2, 3, 4}, 9), now).has_value());
}

// The one that leaves need not be whole, nor be there.
TEST(RosterStorageNodes, TheLeavingOneItselfIsNotWaitedFor) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(retire(value, "n4", 1) == RetireVerdict::taken);
  const auto next = roster.storage_nodes(value, members({1, 2, 3}, 8), now);
  CHECK_TRUE(next.has_value() && !lists(*next, "n4") && next->retired_nodes[0].completed);
}

// A machine that got SIGTERM may hold one of the last copies: it is emptied first, where enough stay.
TEST(RosterStorageNodes, OneThatGotSigtermIsEmptiedFirst) {
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  live[3].draining = true;
  const auto marked = roster.storage_nodes(with_storage_nodes({1, 2, 3, 4}), live, now);
  CHECK_TRUE(marked.has_value() && marked->map_version == 8 && marked->storage_nodes.size() == 4);
  CHECK_TRUE(marked->storage_nodes[3].draining && marked->retired_nodes.empty());
  CHECK_FALSE(watched(*marked, live, Span::ms(10000), &after).has_value());  // nobody has taken over yet
  for (int behind = 0; behind < 3; ++behind) {
    for (Member& m : live) m.complete_map_version = 8;
    live[static_cast<std::size_t>(behind)].complete_map_version = 7;
    CHECK_FALSE(roster.storage_nodes(*marked, live, now).has_value());
  }
  for (Member& m : live) m.complete_map_version = 8;
  const auto given_up = roster.storage_nodes(*marked, live, now);
  CHECK_TRUE(given_up.has_value() && !lists(*given_up, "n4") && given_up->retired_nodes.empty());
  // While its process comes to its end it is not taken in again; its next one is.
  for (Member& m : live) m.complete_map_version = 9;
  CHECK_FALSE(roster.storage_nodes(*given_up, live, now).has_value());
  live[3].draining = false;
  const auto back = roster.storage_nodes(*given_up, live, now);
  CHECK_TRUE(back.has_value() && lists(*back, "n4") && !back->storage_nodes.back().draining);
}

// With just enough it keeps its place: it is lost while it is away, and comes back with its disk.
TEST(RosterStorageNodes, SigtermWithoutAnotherChangesNothing) {
  std::vector<Member> live = members({1, 2, 3}, 7);
  live[2].draining = true;
  CHECK_FALSE(watched(with_storage_nodes({1, 2, 3}), live, Span::ms(10000), &after).has_value());
}

// It ended before it was emptied, and is started again: it has its place. An order to empty it would stand.
TEST(RosterStorageNodes, StartedAgainItHasItsPlace) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value.storage_nodes[3].draining = true;
  const auto next = roster.storage_nodes(value, members({1, 2, 3, 4}, 6), now);
  CHECK_TRUE(next.has_value() && !next->storage_nodes[3].draining && next->map_version == 8);
  value.retired_nodes.push_back({"n4", false});
  CHECK_FALSE(roster.storage_nodes(value, members({1, 2, 3, 4}, 6), now).has_value());
}

TEST(RosterStorageNodes, TwoLeaveOneAfterTheOther) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4, 5});
  CHECK_TRUE(retire(value, "n4", 1) == RetireVerdict::taken &&
             retire(value, "n5", 1) == RetireVerdict::taken);
  const auto next = roster.storage_nodes(value, members({1, 2, 3, 4, 5}, 9), now);
  CHECK_TRUE(next.has_value() && next->storage_nodes.size() == 4 && next->map_version == 10);
  CHECK_FALSE(roster.storage_nodes(*next, members({1, 2, 3, 4, 5}, 9), now).has_value());
  const auto then = roster.storage_nodes(*next, members({1, 2, 3, 5}, 10), now);
  CHECK_TRUE(then.has_value() && then->storage_nodes.size() == 3);
  CHECK_TRUE(then->retired_nodes[0].completed && then->retired_nodes[1].completed);
}

TEST(RosterStorageNodes, TooFewAreRefused) {
  for (const std::size_t losses : {0U, 1U, 2U}) {
    RegisterValue value;
    for (int n = 0; n < static_cast<int>(copies_for(losses)); ++n)
      value.storage_nodes.push_back(storage_node(n));
    const RegisterValue before = value;
    CHECK_TRUE(retire(value, "n0", losses) == RetireVerdict::too_few);
    CHECK_TRUE(value == before);
    value.storage_nodes.push_back(storage_node(90));
    CHECK_TRUE(retire(value, "n0", losses) == RetireVerdict::taken);
    // The one that leaves does not count for the next.
    const RegisterValue left = value;
    CHECK_TRUE(retire(value, "n90", losses) == RetireVerdict::too_few);
    CHECK_TRUE(value == left);
  }
}

TEST(RosterStorageNodes, UnknownAndRepeatedOrders) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(retire(value, "n8", 1) == RetireVerdict::unknown);
  CHECK_TRUE(retire(value, "n1", 1) == RetireVerdict::taken);
  const RegisterValue before = value;
  CHECK_TRUE(retire(value, "n1", 1) == RetireVerdict::known);
  CHECK_TRUE(value == before);
}

TEST_GROUP(RosterRetiringAndLost) { TimePoint now = TimePoint::at_ms(1e6); };

// A machine that is to be emptied is gone for longer than its time, and comes back: the order stands, it gets
// nothing new, and it comes to its end.
TEST(RosterRetiringAndLost, TheOrderStands) {
  Roster roster(1);
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(retire(value, "n4", 1) == RetireVerdict::taken);
  std::vector<Member> three = members({1, 2, 3}, 0);  // not whole yet: it is not emptied
  for (int i = 0; i < 40; ++i) {
    if (auto next = roster.storage_nodes(value, three, now)) value = *next;
    now = now + look_every;
  }
  if (auto next = roster.storage_nodes(value, members({1, 2, 3, 4}, 0), now)) value = *next;
  for (const StorageNode& c : value.storage_nodes)
    CHECK_WHERE(c.node != "n4" || c.draining, "it gets turns again");
  for (int i = 0; i < 40 && !value.retired_nodes[0].completed; ++i) {
    if (auto next = roster.storage_nodes(value, members({1, 2, 3, 4}, value.map_version), now)) value = *next;
    now = now + look_every;
  }
  CHECK_WHERE(value.retired_nodes[0].completed, "the order never ends");
}

// Copies that are missing: of lost disks, and of nodes that were given up while silent. Guards turns whose
// only copies left are away.
TEST_GROUP(RosterAbsent) {
  TimePoint now = TimePoint::at_ms(1e6);
  Roster roster{1};
  // What the map becomes while these are there and whole by the newest map; it has not changed for so long.
  RegisterValue simulated(RegisterValue value, const std::vector<int>& present, const std::vector<int>& whole,
                          Span most) {
    const TimePoint end = now + most;
    while (now < end) {
      if (const auto next = roster.storage_nodes(value, live(value, present, whole), now)) value = *next;
      now = now + look_every;
    }
    return value;
  }
  std::vector<Member> live(const RegisterValue& value, const std::vector<int>& present,
                           const std::vector<int>& whole) const {
    std::vector<Member> out;
    for (const int n : present) {
      const bool is_whole = std::find(whole.begin(), whole.end(), n) != whole.end();
      out.push_back(member(n, is_whole ? value.map_version : 0));
      const auto disk = disks.find(n);
      if (disk != disks.end()) out.back().disk = disk->second;
    }
    return out;
  }
  std::map<int, std::string> disks;  // other than the first ones
};

TEST(RosterAbsent, ASilentOneIsNotGivenUpBesideALostDisk) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "new";
  value = simulated(value, {1, 2, 3}, {1, 3}, Span::ms(60000));  // 2 needs what 4 has
  CHECK_TRUE(lists(value, "n4") && value.absent_nodes.empty());
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  // It is back, and 2 is whole: made up for.
  value = simulated(value, {1, 2, 3, 4}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
  // From here on it may be given up.
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(10000));
  CHECK_FALSE(lists(value, "n4"));
}

TEST(RosterAbsent, GivenUpItIsRememberedUntilTheOthersAreWhole) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value = simulated(value, {1, 2, 3}, {1, 2}, Span::ms(10000));
  CHECK_TRUE(!lists(value, "n4") && value.absent_nodes.size() == 1 && value.absent_nodes[0].disk == "d4");
  // A disk is lost meanwhile: both are missing.
  disks[2] = "new";
  value = simulated(value, {1, 2, 3}, {1}, Span::ms(10000));
  LONGS_EQUAL(2, chutevane::common::missing_replicas(value));
  // The silent one brings its copies back: only the lost disk is missing.
  value = simulated(value, {1, 2, 3, 4}, {1}, Span::ms(1000));
  CHECK_TRUE(lists(value, "n4") && value.absent_nodes.empty());
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  value = simulated(value, {1, 2, 3, 4}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
}

TEST(RosterAbsent, OneThatComesBackWithoutItsDiskHasLostIt) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value = simulated(value, {1, 2, 3}, {1, 2}, Span::ms(10000));
  LONGS_EQUAL(1, value.absent_nodes.size());
  disks[4] = "new";
  value = simulated(value, {1, 2, 3, 4}, {1, 2}, Span::ms(1000));
  CHECK_TRUE(value.absent_nodes.empty() && value.storage_nodes.back().disk_replaced);
}

TEST(RosterAbsent, OfTwoSilentOnesNeitherIsGivenUp) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4, 5});
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(60000));
  LONGS_EQUAL(5, value.storage_nodes.size());
  // Where two may be lost both are.
  Roster bears_two(2);
  RegisterValue larger = with_storage_nodes({1, 2, 3, 4, 5, 6, 7});
  for (int i = 0; i < 80; ++i, now = now + look_every) {
    const auto next = bears_two.storage_nodes(larger, live(larger, {1, 2, 3, 4, 5}, {1, 2, 3}), now);
    if (next) larger = *next;
  }
  LONGS_EQUAL(5, larger.storage_nodes.size());
  LONGS_EQUAL(2, larger.absent_nodes.size());
}

// One node alone makes up for its lost disk, also while another stands still: a second loss may come then.
TEST(RosterAbsent, ALostDiskIsMadeUpForByItsOwnNode) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "new";
  value = simulated(value, {1, 2, 3, 4}, {1, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(600));  // 4 has just fallen silent
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
  // Not where one has come that is not whole yet: its part may lie at the lost disk's node no more.
  RegisterValue other = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "newer";
  other = simulated(other, {1, 2, 3, 4, 5}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(1, chutevane::common::missing_replicas(other));
}

// What a disk that never comes back holds is past its time some day: nothing waits for ever.
TEST(RosterAbsent, WhatIsPastItsTimeIsNotWaitedFor) {
  using chutevane::control::copies_outlived_after;
  for (const bool longer : {false, true}) {
    Roster watching(1);
    const Span retention = copies_outlived_after * (longer ? 2.0 : 0.5);
    watching.turns_are_kept_for(retention);
    const Span needed = std::max(retention, copies_outlived_after);
    RegisterValue value = with_storage_nodes({1, 2, 3, 4});
    disks[2] = "new";
    TimePoint at = now;
    const TimePoint begin = at;
    std::optional<Span> given_up;
    while (!given_up && at - begin < needed * 2) {
      if (const auto next = watching.storage_nodes(value, live(value, {1, 2, 3}, {1, 3}), at)) value = *next;
      if (chutevane::common::missing_replicas(value) == 0 && at > begin) given_up = at - begin;
      at = at + look_every;
    }
    CHECK_TRUE(given_up.has_value());
    CHECK_TRUE(*given_up > needed && *given_up < needed + Span::ms(2000));
  }
}

TEST_GROUP(RosterSpare) { TimePoint now = TimePoint::at_ms(1e6); };

// With one more than is needed a silent one is not waited for; with just enough it has its longer time.
TEST(RosterSpare, ASilentOneGoesSoonerWhereOneIsToSpare) {
  using chutevane::control::storage_node_spared_after;
  for (const bool spare : {true, false}) {
    Roster roster(1);
    const RegisterValue value =
        spare ? with_storage_nodes({1, 2, 3, 4, 5}) : with_storage_nodes({1, 2, 3, 4});
    const auto live = spare ? members({2, 3, 4, 5}, 7) : members({2, 3, 4}, 7);
    const Span after = spare ? storage_node_spared_after : storage_node_lost_after;
    Span waited;
    while (!roster.storage_nodes(value, live, now + waited)) {
      waited = waited + Span::ms(50);
      CHECK_TRUE(waited < Span::ms(10000));
    }
    CHECK_TRUE(waited > after && waited <= after + Span::ms(100));
  }
}

// The map says which disk took the place of a lost one, and keeps saying so; one that is new is no loss.
TEST(RosterSpare, ALostDiskIsMarked) {
  Roster roster(1);
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  live[0].disk = "another";
  const auto next = roster.storage_nodes(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value());
  for (const StorageNode& c : next->storage_nodes) CHECK_WHERE(c.disk_replaced == (c.node == "n1"), c.node);
  live[0].address = "moved";
  const auto then = roster.storage_nodes(*next, live, now);
  CHECK_TRUE(then.has_value());
  for (const StorageNode& c : then->storage_nodes) CHECK_WHERE(c.disk_replaced == (c.node == "n1"), c.node);
}

// A controller with a new disk gets its own place back, and never another's beside it: one address would vote
// as two.
TEST(RosterSpare, NoAddressHasTwoPlaces) {
  for (int order = 0; order < 2; ++order) {
    Roster roster(1);
    RegisterValue value;
    value.epoch = 2;
    for (const char* n : {"1", "2", "3"})
      value.acceptors.push_back({std::string("a") + n, std::string("d") + n});
    std::vector<chutevane::control::LiveController> live{{"a2", "other", false, true},
                                                         {"a3", "d3", false, true}};
    if (order == 1) std::swap(live[0], live[1]);
    // Both others are gone for longer than their time, and none is free; then one comes back with a new disk.
    const std::vector<chutevane::control::LiveController> alone{{"a3", "d3", false, true}};
    for (int i = 0; i < 50; ++i, now = now + Span::ms(100))
      CHECK_FALSE(roster.acceptors(value, alone, now).has_value());
    for (int i = 0; i < 100; ++i) {
      if (auto next = roster.acceptors(value, live, now)) {
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
