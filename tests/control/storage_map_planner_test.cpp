// Tests of StorageMapPlanner: nodes are removed after their timeout and not sooner, retired only when all
// staying nodes are complete, and kept on the list of absent nodes while their replicas are needed.
#include "control/storage_map_planner.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/storage_map.hpp"
#include "control/replica_count.hpp"
#include "control/retirement.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Member;
using chutevane::common::RegisterValue;
using chutevane::common::StorageNode;
using chutevane::control::replicas_for;
using chutevane::control::request_retirement;
using chutevane::control::RetirementOutcome;
using chutevane::control::storage_node_absence_timeout;
using chutevane::control::StorageMapPlanner;

namespace {

constexpr Span tick_interval = Span::ms(250);

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

Member member(int n, std::int64_t complete) {
  const std::string s = std::to_string(n);
  Member out;
  out.node = "n" + s;
  out.plane = "storage";
  out.disk = "d" + s;
  out.address = "a" + s;
  out.zone = "z";
  out.complete_map_version = complete;
  return out;
}

std::vector<Member> members(std::initializer_list<int> numbers, std::int64_t complete) {
  std::vector<Member> out;
  for (const int n : numbers) out.push_back(member(n, complete));
  return out;
}

bool contains_node(const RegisterValue& value, const std::string& node) {
  return std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(),
                     [&](const StorageNode& c) { return c.node == node; });
}

}  // namespace

TEST_GROUP(StorageMapPlanning) {
  StorageMapPlanner planner{1};
  TimePoint now = TimePoint::at_ms(1e6);
  // Calls plan() with each tick until the map changes, for up to `most`; sets `took` to the time until then.
  std::optional<RegisterValue> watched(const RegisterValue& value, const std::vector<Member>& live, Span most,
                                       Span* took) {
    const TimePoint start = now;
    while (now - start <= most) {
      if (auto next = planner.plan(value, live, now)) {
        *took = now - start;
        return next;
      }
      now = now + tick_interval;
    }
    return std::nullopt;
  }
  Span after;
};

TEST(StorageMapPlanning, NoChangeWhileAllArePresent) {
  CHECK_FALSE(
      watched(with_storage_nodes({1, 2, 3}), members({1, 2, 3}, 7), Span::ms(30000), &after).has_value());
}

TEST(StorageMapPlanning, NewNodeJoinsAtOnce) {
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  Member other = member(9, 0);
  other.plane = "edge";  // not a storage node
  live.push_back(other);
  const auto next = planner.plan(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value() && next->map_version == 8 && next->storage_nodes.size() == 4);
  StorageNode newcomer = storage_node(4);
  newcomer.bootstrapping = true;
  CHECK_TRUE(next->storage_nodes.back() == newcomer);
}

// A node that returns with an empty disk is updated in the map, so that it rebuilds its replicas.
TEST(StorageMapPlanning, WipedNodeGetsItsNewDiskAtOnce) {
  std::vector<Member> live = members({1, 2, 3}, 7);
  live[1].disk = "new";
  const auto next = planner.plan(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value() && next->map_version == 8 && next->storage_nodes.size() == 3);
  CHECK_TRUE(next->storage_nodes[1].disk == "new" && next->storage_nodes[1].node == "n2");
}

TEST(StorageMapPlanning, RemovedAfterTheTimeoutAndNotSooner) {
  const RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_FALSE(planner.plan(value, members({1, 2, 3, 4}, 7), now).has_value());
  const auto next = watched(value, members({1, 2, 4}, 7), Span::ms(30000), &after);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(after > storage_node_absence_timeout && after <= storage_node_absence_timeout + tick_interval);
  CHECK_TRUE(!contains_node(*next, "n3") && next->storage_nodes.size() == 3 && next->map_version == 8);
}

// One of the machines with replicas is lost and replaced, and the next loss may follow `catchUpS` after the
// successor started. The loss is detected after 1.3 s without a session, and the takeover lasts some hundred
// ms, so the node must be removed well before.
TEST(StorageMapPlanning, ReplacedNodeIsRemovedSoon) {
  constexpr Span catch_up = Span::ms(4100), noticed = Span::ms(1300), take_over = Span::ms(800);
  for (const bool newcomer_first : {false, true}) {
    StorageMapPlanner watching(1);
    RegisterValue value = with_storage_nodes({1, 2, 3});
    if (newcomer_first) {
      value = *watching.plan(value, members({1, 2, 3, 4}, 7), now);
    } else {
      now = now + tick_interval;
      CHECK_FALSE(watching.plan(value, members({1, 2, 3}, 7), now).has_value());
      value = *watching.plan(value, members({1, 2, 4}, 7), now);
    }
    const TimePoint start = now;
    std::optional<RegisterValue> next;
    while (!next && now - start < Span::ms(10000)) {
      now = now + tick_interval;
      next = watching.plan(value, members({1, 2, 4}, value.map_version), now);
    }
    CHECK_TRUE(next.has_value() && !contains_node(*next, "n3") && next->storage_nodes.size() == 3);
    CHECK_TRUE(noticed + (now - start) + tick_interval + take_over < catch_up);
  }
}

// A node whose disk fails stores nothing and counts as absent. Other nodes take over, and it rejoins once its
// disk works.
TEST(StorageMapPlanning, NodeWithAFailingDiskCountsAsAbsent) {
  const RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  CHECK_FALSE(planner.plan(value, live, now).has_value());
  live[2].disk_failing = true;
  const auto next = watched(value, live, Span::ms(30000), &after);
  CHECK_TRUE(next.has_value() && !contains_node(*next, "n3"));
  CHECK_TRUE(after > storage_node_absence_timeout && after <= storage_node_absence_timeout + tick_interval);
  CHECK_FALSE(watched(*next, live, Span::ms(5000), &after).has_value());
  live[2].disk_failing = false;
  const auto again = planner.plan(*next, live, now);
  CHECK_TRUE(again.has_value() && contains_node(*again, "n3"));
}

// No node is removed if fewer nodes than needed to tolerate the losses would be left.
TEST(StorageMapPlanning, LastReplicasStayInTheMap) {
  CHECK_FALSE(
      watched(with_storage_nodes({1, 2, 3}), members({1, 2}, 7), Span::ms(30000), &after).has_value());
  CHECK_FALSE(watched(with_storage_nodes({1, 2, 3}), {}, Span::ms(30000), &after).has_value());
}

// A node is retired only when each staying node is complete by the current map and on its current disk.
TEST(StorageMapPlanning, RetiredOnlyWhenAllStayingNodesAreComplete) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(request_retirement(value, "n4", 1) == RetirementOutcome::accepted);
  CHECK_EQUAL(8, static_cast<int>(value.map_version));
  CHECK_TRUE(value.storage_nodes[3].draining && !value.retired_nodes[0].completed);
  for (int behind = 1; behind <= 3; ++behind) {  // one is not complete by the newest map
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live[static_cast<std::size_t>(behind - 1)].complete_map_version = 7;
    CHECK_FALSE(watched(value, live, Span::ms(10000), &after).has_value());
  }
  for (int gone = 1; gone <= 3; ++gone) {  // one is out of contact
    StorageMapPlanner fresh(1);
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live.erase(live.begin() + gone - 1);
    CHECK_FALSE(fresh.plan(value, live, now).has_value());
  }
  for (int wiped = 1; wiped <= 3; ++wiped) {  // one has another disk, which the map records first
    StorageMapPlanner fresh(1);
    std::vector<Member> live = members({1, 2, 3, 4}, 8);
    live[static_cast<std::size_t>(wiped - 1)].disk = "new";
    const auto next = fresh.plan(value, live, now);
    CHECK_TRUE(next.has_value() && contains_node(*next, "n4") && !next->retired_nodes[0].completed &&
               next->map_version == 9);
    CHECK_FALSE(fresh.plan(*next, live, now).has_value());  // it is complete only by the previous map
  }
  const auto next = planner.plan(value, members({1, 2, 3, 4}, 8), now);
  CHECK_TRUE(next.has_value() && !contains_node(*next, "n4"));
  CHECK_TRUE(next->retired_nodes[0].completed && next->map_version == 9);
  // The retired node is not added again.
  CHECK_FALSE(planner.plan(*next, members({1, 2, 3, 4}, 9), now).has_value());
}

// The retiring node itself need not be complete or present.
TEST(StorageMapPlanning, RetiringNodeItselfIsNotWaitedFor) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(request_retirement(value, "n4", 1) == RetirementOutcome::accepted);
  const auto next = planner.plan(value, members({1, 2, 3}, 8), now);
  CHECK_TRUE(next.has_value() && !contains_node(*next, "n4") && next->retired_nodes[0].completed);
}

// A node that got SIGTERM may hold one of the last replicas, so it is drained first if enough nodes stay.
TEST(StorageMapPlanning, NodeThatGotSigtermIsDrainedFirst) {
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  live[3].draining = true;
  const auto marked = planner.plan(with_storage_nodes({1, 2, 3, 4}), live, now);
  CHECK_TRUE(marked.has_value() && marked->map_version == 8 && marked->storage_nodes.size() == 4);
  CHECK_TRUE(marked->storage_nodes[3].draining && marked->retired_nodes.empty());
  CHECK_FALSE(watched(*marked, live, Span::ms(10000), &after).has_value());  // no node has taken over yet
  for (int behind = 0; behind < 3; ++behind) {
    for (Member& m : live) m.complete_map_version = 8;
    live[static_cast<std::size_t>(behind)].complete_map_version = 7;
    CHECK_FALSE(planner.plan(*marked, live, now).has_value());
  }
  for (Member& m : live) m.complete_map_version = 8;
  const auto removed = planner.plan(*marked, live, now);
  CHECK_TRUE(removed.has_value() && !contains_node(*removed, "n4") && removed->retired_nodes.empty());
  // It is not added again while its process shuts down, but is added once it has restarted.
  for (Member& m : live) m.complete_map_version = 9;
  CHECK_FALSE(planner.plan(*removed, live, now).has_value());
  live[3].draining = false;
  const auto back = planner.plan(*removed, live, now);
  CHECK_TRUE(back.has_value() && contains_node(*back, "n4") && !back->storage_nodes.back().draining);
}

// If there are just enough nodes, it stays in the map: it is absent for a while and returns with its disk.
TEST(StorageMapPlanning, SigtermWithoutASpareNodeChangesNothing) {
  std::vector<Member> live = members({1, 2, 3}, 7);
  live[2].draining = true;
  CHECK_FALSE(watched(with_storage_nodes({1, 2, 3}), live, Span::ms(10000), &after).has_value());
}

// A node that restarts before it was drained stays in the map. A request to retire it would remain in force.
TEST(StorageMapPlanning, RestartedNodeStaysInTheMap) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value.storage_nodes[3].draining = true;
  const auto next = planner.plan(value, members({1, 2, 3, 4}, 6), now);
  CHECK_TRUE(next.has_value() && !next->storage_nodes[3].draining && next->map_version == 8);
  value.retired_nodes.push_back({"n4", false});
  CHECK_FALSE(planner.plan(value, members({1, 2, 3, 4}, 6), now).has_value());
}

// Guards against a map that says that no replicas are missing while a node that is no longer draining still
// lacks those that are placed on it again: it is bootstrapping until it has fetched them.
TEST(StorageMapPlanning, NodeThatNoLongerDrainsIsBootstrapping) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value.storage_nodes[3].draining = true;
  const auto stays = planner.plan(value, members({1, 2, 3, 4}, 7), now);
  CHECK_TRUE(stays.has_value() && stays->storage_nodes[3].bootstrapping);
  // Node 2 loses its disk and fetches what its new map assigns to it. Node 4 is not complete yet.
  std::vector<Member> live = members({1, 2, 3, 4}, 8);
  live[1].disk = "new";
  live[3].complete_map_version = 7;
  const auto lost = planner.plan(*stays, live, now);
  CHECK_TRUE(lost.has_value() && lost->storage_nodes[1].disk_replaced);
  for (Member& m : live) m.complete_map_version = m.node == "n4" ? 7 : lost->map_version;
  CHECK_FALSE(planner.plan(*lost, live, now).has_value());  // the replicas on the lost disk may be missing
  live[3].complete_map_version = lost->map_version;
  const auto rebuilt = planner.plan(*lost, live, now);
  CHECK_TRUE(rebuilt.has_value());
  LONGS_EQUAL(0, chutevane::common::missing_replicas(*rebuilt));
}

// Guards against replica groups that change while a node keeps its replicas: a node that comes back in
// another zone is drained under its former zone, and joins again in the new one.
TEST(StorageMapPlanning, NodeInAnotherZoneIsDrainedBeforeItMoves) {
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  live[3].zone = "y";
  live[3].address = "new address";
  const auto marked = planner.plan(with_storage_nodes({1, 2, 3, 4}), live, now);
  CHECK_TRUE(marked.has_value() && marked->storage_nodes[3].draining);
  STRCMP_EQUAL("z", marked->storage_nodes[3].zone.c_str());
  STRCMP_EQUAL("new address", marked->storage_nodes[3].address.c_str());
  for (Member& m : live) m.complete_map_version = marked->map_version;
  const auto removed = planner.plan(*marked, live, now);
  CHECK_TRUE(removed.has_value() && !contains_node(*removed, "n4"));
  const auto back = planner.plan(*removed, live, now);
  CHECK_TRUE(back.has_value() && contains_node(*back, "n4"));
  STRCMP_EQUAL("y", back->storage_nodes.back().zone.c_str());
  CHECK_TRUE(back->storage_nodes.back().bootstrapping && !back->storage_nodes.back().draining);
}

// Without a spare node it keeps its replicas, and its former zone.
TEST(StorageMapPlanning, NodeInAnotherZoneStaysIfThereIsNoSpareNode) {
  std::vector<Member> live = members({1, 2, 3}, 7);
  live[2].zone = "y";
  CHECK_FALSE(watched(with_storage_nodes({1, 2, 3}), live, Span::ms(10000), &after).has_value());
}

TEST(StorageMapPlanning, TwoNodesAreRetiredInSequence) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4, 5});
  CHECK_TRUE(request_retirement(value, "n4", 1) == RetirementOutcome::accepted &&
             request_retirement(value, "n5", 1) == RetirementOutcome::accepted);
  const auto next = planner.plan(value, members({1, 2, 3, 4, 5}, 9), now);
  CHECK_TRUE(next.has_value() && next->storage_nodes.size() == 4 && next->map_version == 10);
  CHECK_FALSE(planner.plan(*next, members({1, 2, 3, 4, 5}, 9), now).has_value());
  const auto then = planner.plan(*next, members({1, 2, 3, 5}, 10), now);
  CHECK_TRUE(then.has_value() && then->storage_nodes.size() == 3);
  CHECK_TRUE(then->retired_nodes[0].completed && then->retired_nodes[1].completed);
}

TEST(StorageMapPlanning, RetirementIsRejectedIfTooFewWouldBeLeft) {
  for (const std::size_t losses : {0U, 1U, 2U}) {
    RegisterValue value;
    for (int n = 0; n < static_cast<int>(replicas_for(losses)); ++n)
      value.storage_nodes.push_back(storage_node(n));
    const RegisterValue before = value;
    CHECK_TRUE(request_retirement(value, "n0", losses) == RetirementOutcome::too_few_left);
    CHECK_TRUE(value == before);
    value.storage_nodes.push_back(storage_node(90));
    CHECK_TRUE(request_retirement(value, "n0", losses) == RetirementOutcome::accepted);
    // A retiring node does not count for the next request.
    const RegisterValue left = value;
    CHECK_TRUE(request_retirement(value, "n90", losses) == RetirementOutcome::too_few_left);
    CHECK_TRUE(value == left);
  }
}

TEST(StorageMapPlanning, UnknownAndRepeatedRequests) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(request_retirement(value, "n8", 1) == RetirementOutcome::unknown_node);
  CHECK_TRUE(request_retirement(value, "n1", 1) == RetirementOutcome::accepted);
  const RegisterValue before = value;
  CHECK_TRUE(request_retirement(value, "n1", 1) == RetirementOutcome::already_requested);
  CHECK_TRUE(value == before);
}

TEST_GROUP(StorageMapRetiringAndLost) { TimePoint now = TimePoint::at_ms(1e6); };

// A retiring node is absent for longer than its timeout and returns. The request remains in force, the node
// gets no new turns, and the retirement completes.
TEST(StorageMapRetiringAndLost, RequestRemainsInForce) {
  StorageMapPlanner planner(1);
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  CHECK_TRUE(request_retirement(value, "n4", 1) == RetirementOutcome::accepted);
  std::vector<Member> three = members({1, 2, 3}, 0);  // not complete yet, so it is not drained
  for (int i = 0; i < 40; ++i) {
    if (auto next = planner.plan(value, three, now)) value = *next;
    now = now + tick_interval;
  }
  if (auto next = planner.plan(value, members({1, 2, 3, 4}, 0), now)) value = *next;
  for (const StorageNode& c : value.storage_nodes)
    CHECK_WHERE(c.node != "n4" || c.draining, "the node gets turns again");
  for (int i = 0; i < 40 && !value.retired_nodes[0].completed; ++i) {
    if (auto next = planner.plan(value, members({1, 2, 3, 4}, value.map_version), now)) value = *next;
    now = now + tick_interval;
  }
  CHECK_WHERE(value.retired_nodes[0].completed, "the retirement never completes");
}

// Tests of missing replicas, which are those of lost disks and of nodes that were removed while absent.
// Guards against the loss of turns whose only remaining replicas are on absent nodes.
TEST_GROUP(StorageMapAbsent) {
  TimePoint now = TimePoint::at_ms(1e6);
  StorageMapPlanner planner{1};
  // Runs the planner for `most` while the nodes `present` are in contact and the nodes `complete` are
  // complete by the newest map. Returns the resulting value.
  RegisterValue simulated(RegisterValue value, const std::vector<int>& present,
                          const std::vector<int>& complete, Span most) {
    const TimePoint end = now + most;
    while (now < end) {
      if (const auto next = planner.plan(value, live(value, present, complete), now)) value = *next;
      now = now + tick_interval;
    }
    return value;
  }
  std::vector<Member> live(const RegisterValue& value, const std::vector<int>& present,
                           const std::vector<int>& complete) const {
    std::vector<Member> out;
    for (const int n : present) {
      const bool is_complete = std::find(complete.begin(), complete.end(), n) != complete.end();
      out.push_back(member(n, is_complete ? value.map_version : 0));
      const auto disk = disks.find(n);
      if (disk != disks.end()) out.back().disk = disk->second;
    }
    return out;
  }
  std::map<int, std::string> disks;  // replaced disks, by node
};

TEST(StorageMapAbsent, AbsentNodeStaysWhileADiskIsLost) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "new";
  value = simulated(value, {1, 2, 3}, {1, 3}, Span::ms(60000));  // 2 needs the replicas of 4
  CHECK_TRUE(contains_node(value, "n4") && value.absent_nodes.empty());
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  // Node 4 is back and node 2 is complete, so nothing is missing.
  value = simulated(value, {1, 2, 3, 4}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
  // Now node 4 may be removed.
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(10000));
  CHECK_FALSE(contains_node(value, "n4"));
}

TEST(StorageMapAbsent, RemovedNodeIsListedUntilTheOthersAreComplete) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value = simulated(value, {1, 2, 3}, {1, 2}, Span::ms(10000));
  CHECK_TRUE(!contains_node(value, "n4") && value.absent_nodes.size() == 1 &&
             value.absent_nodes[0].disk == "d4");
  // A disk is lost in the meantime, so both are missing.
  disks[2] = "new";
  value = simulated(value, {1, 2, 3}, {1}, Span::ms(10000));
  LONGS_EQUAL(2, chutevane::common::missing_replicas(value));
  // The absent node returns with its replicas, so only the lost disk is missing.
  value = simulated(value, {1, 2, 3, 4}, {1}, Span::ms(1000));
  CHECK_TRUE(contains_node(value, "n4") && value.absent_nodes.empty());
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  value = simulated(value, {1, 2, 3, 4}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
}

TEST(StorageMapAbsent, NodeThatReturnsWithANewDiskCountsAsReplaced) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  value = simulated(value, {1, 2, 3}, {1, 2}, Span::ms(10000));
  LONGS_EQUAL(1, value.absent_nodes.size());
  disks[4] = "new";
  value = simulated(value, {1, 2, 3, 4}, {1, 2}, Span::ms(1000));
  CHECK_TRUE(value.absent_nodes.empty() && value.storage_nodes.back().disk_replaced);
}

TEST(StorageMapAbsent, NeitherOfTwoAbsentNodesIsRemoved) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4, 5});
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(60000));
  LONGS_EQUAL(5, value.storage_nodes.size());
  // If two losses are tolerated, both are removed.
  StorageMapPlanner tolerates_two(2);
  RegisterValue larger = with_storage_nodes({1, 2, 3, 4, 5, 6, 7});
  for (int i = 0; i < 80; ++i, now = now + tick_interval) {
    const auto next = tolerates_two.plan(larger, live(larger, {1, 2, 3, 4, 5}, {1, 2, 3}), now);
    if (next) larger = *next;
  }
  LONGS_EQUAL(5, larger.storage_nodes.size());
  LONGS_EQUAL(2, larger.absent_nodes.size());
}

// A node alone rebuilds its lost disk, even while another node is out of contact, so that a second loss is
// tolerated.
TEST(StorageMapAbsent, LostDiskIsRebuiltByItsOwnNode) {
  RegisterValue value = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "new";
  value = simulated(value, {1, 2, 3, 4}, {1, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(1, chutevane::common::missing_replicas(value));
  value = simulated(value, {1, 2, 3}, {1, 2, 3}, Span::ms(600));  // 4 has just lost contact
  LONGS_EQUAL(0, chutevane::common::missing_replicas(value));
  // Not if a new node is not complete yet, since its replicas may no longer be on the node with the lost
  // disk.
  RegisterValue other = with_storage_nodes({1, 2, 3, 4});
  disks[2] = "newer";
  other = simulated(other, {1, 2, 3, 4, 5}, {1, 2, 3, 4}, Span::ms(1000));
  LONGS_EQUAL(1, chutevane::common::missing_replicas(other));
}

// The replicas on a disk that never returns expire, so the planner must not wait for them forever.
TEST(StorageMapAbsent, ExpiredReplicasAreNotWaitedFor) {
  using chutevane::control::min_replica_expiry;
  for (const bool longer : {false, true}) {
    StorageMapPlanner watching(1);
    const Span retention = min_replica_expiry * (longer ? 2.0 : 0.5);
    watching.set_longest_retention(retention);
    const Span needed = std::max(retention, min_replica_expiry);
    RegisterValue value = with_storage_nodes({1, 2, 3, 4});
    disks[2] = "new";
    TimePoint at = now;
    const TimePoint begin = at;
    std::optional<Span> removed;
    while (!removed && at - begin < needed * 2) {
      if (const auto next = watching.plan(value, live(value, {1, 2, 3}, {1, 3}), at)) value = *next;
      if (chutevane::common::missing_replicas(value) == 0 && at > begin) removed = at - begin;
      at = at + tick_interval;
    }
    CHECK_TRUE(removed.has_value());
    CHECK_TRUE(*removed > needed && *removed < needed + Span::ms(2000));
  }
}

TEST_GROUP(StorageMapSurplus) { TimePoint now = TimePoint::at_ms(1e6); };

// With a spare node an absent one is removed after the shorter timeout; with just enough, after the longer
// one.
TEST(StorageMapSurplus, AbsentNodeIsRemovedSoonerIfThereIsASpare) {
  using chutevane::control::surplus_node_absence_timeout;
  for (const bool spare : {true, false}) {
    StorageMapPlanner planner(1);
    const RegisterValue value =
        spare ? with_storage_nodes({1, 2, 3, 4, 5}) : with_storage_nodes({1, 2, 3, 4});
    const auto live = spare ? members({2, 3, 4, 5}, 7) : members({2, 3, 4}, 7);
    const Span after = spare ? surplus_node_absence_timeout : storage_node_absence_timeout;
    Span waited;
    while (!planner.plan(value, live, now + waited)) {
      waited = waited + Span::ms(50);
      CHECK_TRUE(waited < Span::ms(10000));
    }
    CHECK_TRUE(waited > after && waited <= after + Span::ms(100));
  }
}

// A disk that replaced a lost one is marked in the map and stays marked. The disk of a new node is not
// marked.
TEST(StorageMapSurplus, ReplacedDiskIsMarked) {
  StorageMapPlanner planner(1);
  std::vector<Member> live = members({1, 2, 3, 4}, 7);
  live[0].disk = "another";
  const auto next = planner.plan(with_storage_nodes({1, 2, 3}), live, now);
  CHECK_TRUE(next.has_value());
  for (const StorageNode& c : next->storage_nodes) CHECK_WHERE(c.disk_replaced == (c.node == "n1"), c.node);
  live[0].address = "moved";
  const auto then = planner.plan(*next, live, now);
  CHECK_TRUE(then.has_value());
  for (const StorageNode& c : then->storage_nodes) CHECK_WHERE(c.disk_replaced == (c.node == "n1"), c.node);
}
