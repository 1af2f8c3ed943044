/// Tests ReplicaStore: turns and accounts, also on a disk that loses power or fails at any step.
#include "storage/replica_store.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/memory_disk.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Account;
using chutevane::common::DiskFault;
using chutevane::common::MemoryDisk;
using chutevane::common::Reservation;
using chutevane::common::Turn;
using chutevane::simulated::RandomSource;
using chutevane::storage::ReplicaStore;

namespace {

/// Returns the sum of the tokens that other attempts have reserved or used.
int total(const std::vector<Reservation>& others) {
  std::int64_t out = 0;
  for (const Reservation& r : others) out += r.tokens;
  return static_cast<int>(out);
}

constexpr std::size_t capacity = 64U << 20U;

Turn turn(const std::string& id, const std::string& previous, double retention_ms = 60000,
          std::size_t size = 40) {
  Turn out;
  out.id = id;
  out.previous = previous;
  out.program = "p-" + id.substr(0, 1);
  out.input.data = "in of " + id + std::string(size, 'i');
  out.output.data = "out of " + id + "\n";
  out.retention_ms = static_cast<std::int64_t>(retention_ms);
  return out;
}

std::map<std::string, Account> accounts(const ReplicaStore& store) {
  std::map<std::string, Account> out;
  store.for_each_account("", [&](const Account& a) {
    out[a.program] = a;
    std::sort(out[a.program].entries.begin(), out[a.program].entries.end(),
              [](const Reservation& x, const Reservation& y) { return x.attempt < y.attempt; });
    return true;
  });
  return out;
}

std::int64_t tokens(const ReplicaStore& store, const std::string& program, const std::string& attempt,
                    bool* committed = nullptr) {
  const auto all = accounts(store);
  const auto found = all.find(program);
  if (found == all.end()) return -1;
  for (const Reservation& r : found->second.entries) {
    if (r.attempt != attempt) continue;
    if (committed != nullptr) *committed = r.committed;
    return r.tokens;
  }
  return -1;
}

}  // namespace

TEST_GROUP(ReplicaStoreAccounts) {
  MemoryDisk disk;
  ReplicaStore store{disk, capacity};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { CHECK_TRUE(store.recover(now).ok()); }
};

TEST(ReplicaStoreAccounts, ReserveReturnsEntriesOfOtherAttempts) {
  CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(100, total(store.reserve("p", "b", 50, now)));
  CHECK_EQUAL(0, total(store.reserve("q", "c", 7, now)));
  store.commit_usage("p", "a", 30, now);
  CHECK_EQUAL(80, total(store.reserve("p", "d", 1, now)));
}

// A request that is repeated because its reply was lost counts once.
TEST(ReplicaStoreAccounts, RepeatedRequestsChangeNothing) {
  for (int n = 0; n < 3; ++n) CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(100, total(store.reserve("p", "b", 10, now)));
  CHECK_EQUAL(10, total(store.reserve("p", "a", 100, now)));
  for (int n = 0; n < 3; ++n) store.commit_usage("p", "a", 30, now);
  CHECK_EQUAL(30, total(store.reserve("p", "b", 10, now)));
  CHECK_EQUAL(30, static_cast<int>(tokens(store, "p", "a")));
}

// A reservation that arrives after the usage of its attempt was committed reserves nothing.
TEST(ReplicaStoreAccounts, CommittedUsageIsNotRaised) {
  store.reserve("p", "a", 100, now);
  store.commit_usage("p", "a", 0, now);
  CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(0, total(store.reserve("p", "b", 1, now)));
  store.commit_usage("q", "c", 12, now);  // before its reservation
  store.reserve("q", "c", 90, now);
  CHECK_EQUAL(12, total(store.reserve("q", "d", 1, now)));
  store.merge_account({"q", {{"c", 90, false}}}, now);  // from a peer that missed the usage
  CHECK_EQUAL(12, total(store.reserve("q", "d", 1, now)));
}

// Reservations, committed usage and accounts of peers may arrive in any order and repeatedly. The resulting
// account is the same, also after recovery.
TEST(ReplicaStoreAccounts, OrderOfArrivalDoesNotMatter) {
  struct Change {
    int kind;
    std::string attempt;
    std::int64_t tokens;
  };
  const std::vector<Change> changes = {{0, "a", 100}, {1, "a", 40}, {0, "b", 70}, {0, "c", 60},
                                       {1, "c", 0},   {2, "a", 40}, {2, "b", 70}, {3, "a", 100}};
  std::map<std::string, Account> wanted;
  std::vector<std::size_t> order(changes.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  RandomSource random(4);
  for (int round = 0; round < 600; ++round) {
    for (std::size_t i = order.size(); i-- > 1;) std::swap(order[i], order[random.below(i + 1)]);
    MemoryDisk d;
    ReplicaStore s(d, capacity);
    CHECK_TRUE(s.recover(now).ok());
    for (const std::size_t i : order) {
      const Change& change = changes[i];
      for (std::size_t n = 1 + random.below(2); n > 0; --n) {
        if (change.kind == 0) s.reserve("p", change.attempt, change.tokens, now);
        if (change.kind == 1) s.commit_usage("p", change.attempt, change.tokens, now);
        if (change.kind == 2)
          s.merge_account({"p", {{change.attempt, change.tokens, change.attempt == "a"}}}, now);
        if (change.kind == 3) s.merge_account({"p", {{change.attempt, change.tokens, false}}}, now);
        if (random.chance(0.3)) CHECK_TRUE(s.commit(now).ok());
      }
    }
    CHECK_TRUE(s.commit(now).ok());
    if (wanted.empty()) wanted = accounts(s);
    CHECK_WHERE(accounts(s) == wanted, numbered("round ", round));
    ReplicaStore again(d, capacity);
    CHECK_TRUE(again.recover(now).ok());
    CHECK_WHERE(accounts(again) == wanted, numbered("recovered, round ", round));
  }
  CHECK_EQUAL(static_cast<std::size_t>(3), wanted["p"].entries.size());
  CHECK_TRUE(wanted["p"].entries[0] == (Reservation{"a", 40, true}));
  CHECK_TRUE(wanted["p"].entries[1] == (Reservation{"b", 70, false}));
  CHECK_TRUE(wanted["p"].entries[2] == (Reservation{"c", 0, true}));
}

// An account expires 180 s after its last entry, and not before.
TEST(ReplicaStoreAccounts, ExpireLongAfterTheLastEntry) {
  store.reserve("p", "a", 100, now);
  for (int s = 0; s <= 170; s += 5) store.expire(now + Span::ms(s * 1000.0));
  CHECK_EQUAL(100, static_cast<int>(tokens(store, "p", "a")));
  store.reserve("p", "b", 1, now + Span::ms(170000));
  store.expire(now + Span::ms(340000));
  CHECK_EQUAL(100, static_cast<int>(tokens(store, "p", "a")));
  store.expire(now + Span::ms(400000));
  CHECK_EQUAL(static_cast<std::size_t>(0), store.account_count());
}

TEST_GROUP(ReplicaStoreTurns) {
  MemoryDisk disk;
  ReplicaStore store{disk, capacity};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { CHECK_TRUE(store.recover(now).ok()); }
  std::string chain(const std::string& id, std::size_t most = 1U << 30U) {
    std::string out;
    for (const Turn* t : store.read_chain(id, most, now)) out += t->id + " ";
    return out;
  }
  std::size_t files() { return disk.list_files().size(); }
};

TEST(ReplicaStoreTurns, StoringATurnAgainChangesNothing) {
  CHECK_TRUE(store.store_turn(turn("a1", ""), now));
  const std::size_t bytes = store.turn_bytes();
  for (int n = 0; n < 3; ++n) CHECK_TRUE(store.store_turn(turn("a1", ""), now));
  CHECK_TRUE(store.turn_count() == 1 && store.turn_bytes() == bytes);
  CHECK_TRUE(store.commit(now).ok());
  CHECK_TRUE(*store.find_turn("a1") == turn("a1", ""));
  CHECK_TRUE(store.store_turn(turn("a1", ""), now));
  CHECK_FALSE(store.has_uncommitted());
  CHECK_TRUE(store.find_turn("none") == nullptr);
}

TEST(ReplicaStoreTurns, ReadChainReturnsTheNewestFirst) {
  store.store_turn(turn("a1", ""), now);
  store.store_turn(turn("a2", "a1"), now);
  store.store_turn(turn("a3", "a2"), now);
  store.store_turn(turn("b3", "a2"), now);  // two turns continue the same one
  CHECK_TRUE(chain("a3") == "a3 a2 a1 ");
  CHECK_TRUE(chain("b3") == "b3 a2 a1 ");
  CHECK_TRUE(chain("a1") == "a1 ");
  CHECK_TRUE(chain("x").empty());
  store.store_turn(turn("c2", "not here"), now);
  CHECK_TRUE(chain("c2") == "c2 ");
}

// The size of a read is limited: it returns the newest turns, and at least one.
TEST(ReplicaStoreTurns, ReadChainIsLimitedInSize) {
  store.store_turn(turn("a1", "", 60000, 1000), now);
  store.store_turn(turn("a2", "a1", 60000, 1000), now);
  store.store_turn(turn("a3", "a2", 60000, 1000), now);
  CHECK_TRUE(chain("a3", 1) == "a3 ");
  CHECK_TRUE(chain("a3", 2700) == "a3 a2 ");
  CHECK_TRUE(chain("a3", 1U << 20U) == "a3 a2 a1 ");
}

// Reading a cyclic chain terminates.
TEST(ReplicaStoreTurns, CyclicChain) {
  store.store_turn(turn("a1", "a2"), now);
  store.store_turn(turn("a2", "a1"), now);
  CHECK_TRUE(store.read_chain("a1", 1U << 30U, now).size() < 20000);
  store.store_turn(turn("b1", "b1"), now);
  CHECK_TRUE(store.read_chain("b1", 1U << 30U, now).size() < 20000);
}

TEST(ReplicaStoreTurns, RefusedWithoutChangesWhenFull) {
  MemoryDisk d;
  ReplicaStore small(d, 2000);
  CHECK_TRUE(small.recover(now).ok());
  CHECK_TRUE(small.store_turn(turn("a1", "", 60000, 700), now));
  CHECK_TRUE(small.store_turn(turn("a2", "", 60000, 700), now));
  CHECK_FALSE(small.store_turn(turn("a3", "", 60000, 700), now));
  CHECK_TRUE(small.find_turn("a3") == nullptr && small.turn_count() == 2 && small.turn_bytes() <= 2000);
  CHECK_TRUE(small.store_turn(turn("a1", "", 60000, 700), now));  // it is already stored
  small.expire(now + Span::ms(61000));
  CHECK_TRUE(small.turn_count() == 0 && small.turn_bytes() == 0);
  CHECK_TRUE(small.store_turn(turn("a3", "", 60000, 700), now + Span::ms(61000)));
}

// A turn and its ancestors are kept for the whole retention of the turn.
TEST(ReplicaStoreTurns, RetentionExtendsToTheChain) {
  store.store_turn(turn("a1", "", 10000), now);
  store.store_turn(turn("b1", "", 10000), now);
  const TimePoint later = now + Span::ms(9000);
  store.expire(later);
  store.store_turn(turn("a2", "a1", 10000), later);
  for (int ms = 9500; ms <= 19000; ms += 500) {
    store.expire(now + Span::ms(ms));
    CHECK_TRUE(store.find_turn("a1") != nullptr && store.find_turn("a2") != nullptr);
    if (ms <= 10000) CHECK_TRUE(store.find_turn("b1") != nullptr);
  }
  CHECK_TRUE(store.find_turn("b1") == nullptr);
  store.expire(now + Span::ms(21000));
  CHECK_TRUE(store.find_turn("a1") == nullptr && store.find_turn("a2") == nullptr);
}

// Diagnosis distinguishes an ancestor that has expired here from one that never was here.
TEST(ReplicaStoreTurns, RemembersForSomeTimeWhatHasExpired) {
  store.store_turn(turn("a1", "", 10000), now);
  CHECK_FALSE(store.expired_at("a1").has_value());
  const TimePoint expired_at = now + Span::ms(11000);
  store.expire(expired_at);
  CHECK_TRUE(store.expired_at("a1") == expired_at);
  CHECK_FALSE(store.expired_at("b1").has_value());
  store.expire(expired_at + Span::ms(11000));
  CHECK_FALSE(store.expired_at("a1").has_value());
}

// A node that stores a turn must also have its ancestors, so that they are retained for as long.
TEST(ReplicaStoreTurns, FirstMissingAncestor) {
  store.store_turn(turn("a1", ""), now);
  store.store_turn(turn("a3", "a2"), now);
  CHECK_TRUE(store.first_missing_ancestor("a1").empty());
  CHECK_TRUE(store.first_missing_ancestor("a3") == "a2");
  CHECK_TRUE(store.first_missing_ancestor("none") == "none");
  store.store_turn(turn("a2", "a1"), now);
  CHECK_TRUE(store.first_missing_ancestor("a3").empty());
  store.store_turn(turn("r1", "r2"), now);
  store.store_turn(turn("r2", "r1"), now);
  CHECK_TRUE(store.first_missing_ancestor("r1").empty());  // a cyclic chain has no missing turn
}

// If a program continues turns of another one, these must be replicated with its own turns.
TEST(ReplicaStoreTurns, CrossProgramAncestors) {
  store.store_turn(turn("a1", ""), now);
  store.store_turn(turn("a2", "a1"), now);
  store.store_turn(turn("b1", "a2"), now);
  store.store_turn(turn("b2", "b1"), now);
  store.store_turn(turn("c1", ""), now);
  const auto of = [&](const std::string& program) {
    return store.cross_program_ancestors([&](const std::string& p) { return p == program; });
  };
  CHECK_TRUE(of("p-b") == (std::set<std::string>{"a1", "a2"}));
  CHECK_TRUE(of("p-a").empty() && of("p-c").empty());
}

// Recovery starts the retention of a turn again, so that it never becomes shorter.
TEST(ReplicaStoreTurns, RecoveryDoesNotShortenRetention) {
  store.store_turn(turn("a1", "", 10000), now);
  CHECK_TRUE(store.commit(now).ok());
  disk.power_cycle(1);
  ReplicaStore again(disk, capacity);
  const TimePoint later = now + Span::ms(5000);
  CHECK_TRUE(again.recover(later).ok());
  for (int ms = 0; ms <= 10000; ms += 1000) {
    again.expire(later + Span::ms(ms));
    CHECK_TRUE(again.find_turn("a1") != nullptr);
  }
}

// Guards against a chain that breaks after a restart: a turn of a route with a short retention is kept for as
// long as a turn of another route that continues it, also where its own time begins anew.
TEST(ReplicaStoreTurns, RecoveryKeepsAncestorsForAsLongAsTheirDescendants) {
  store.store_turn(turn("a1", "", 10000), now);
  store.store_turn(turn("a2", "a1", 10000), now);
  store.store_turn(turn("a3", "a2", 60000), now);
  CHECK_TRUE(store.commit(now).ok());
  disk.power_cycle(1);
  ReplicaStore again(disk, capacity);
  CHECK_TRUE(again.recover(now).ok());
  for (int ms = 0; ms <= 60000; ms += 1000) {
    again.expire(now + Span::ms(ms));
    CHECK_TRUE(again.first_missing_ancestor("a3").empty());
  }
  again.expire(now + Span::ms(61001));
  CHECK_EQUAL(static_cast<std::size_t>(0), again.turn_count());
}

// Guards against the same in a state transfer, which sends turns in the order of their ids.
TEST(ReplicaStoreTurns, AnAncestorThatArrivesLaterIsKeptForItsDescendants) {
  store.store_turn(turn("a3", "b2", 60000), now);
  store.store_turn(turn("b1", "", 10000), now);
  store.store_turn(turn("b2", "b1", 10000), now);
  for (int ms = 0; ms <= 60000; ms += 1000) {
    store.expire(now + Span::ms(ms));
    CHECK_TRUE(store.first_missing_ancestor("a3").empty());
  }
  store.expire(now + Span::ms(61001));
  CHECK_EQUAL(static_cast<std::size_t>(0), store.turn_count());
}

// Guards against a chain that breaks once it was read in part: what the reply had no room for is extended
// too.
TEST(ReplicaStoreTurns, ReadingAPartOfAChainExtendsAllOfIt) {
  store.store_turn(turn("a1", "", 10000, 1000), now);
  store.store_turn(turn("a2", "a1", 10000, 1000), now);
  now = now + Span::ms(9000);
  CHECK_TRUE(chain("a2", 1) == "a2 ");
  store.expire(now + Span::ms(10000));
  CHECK_TRUE(chain("a2") == "a2 a1 ");
}

// Segments without live turns are removed. Live turns of an old segment are rewritten first.
TEST(ReplicaStoreTurns, OldSegmentsAreRemoved) {
  std::size_t most_files = 0;
  store.store_turn(turn("keep", "", 1e9), now);
  store.reserve("p", "attempt", 77, now);
  for (int s = 0; s < 400; ++s) {
    const TimePoint at = now + Span::ms(s * 1000.0);
    store.store_turn(turn(numbered("t", s), "", 20000, 240000), at);
    if (s % 50 == 0) store.reserve("p", "attempt", 77, at);  // extends the account's retention
    store.expire(at);
    CHECK_TRUE(store.commit(at).ok());
    most_files = std::max(most_files, files());
  }
  CHECK_TRUE(most_files >= 3 && most_files < 20);  // 96 MB were written, in segments of 4 MB
  disk.power_cycle(3);
  ReplicaStore again(disk, capacity);
  CHECK_TRUE(again.recover(now + Span::ms(400000)).ok());
  CHECK_TRUE(again.find_turn("keep") != nullptr && *again.find_turn("keep") == turn("keep", "", 1e9));
  CHECK_EQUAL(77, static_cast<int>(tokens(again, "p", "attempt")));
  for (int n = 399; n >= 385; --n) CHECK_TRUE(again.find_turn(numbered("t", n)) != nullptr);
}

// Turns and accounts can be visited in several parts: each once, in order of ids or program names.
TEST(ReplicaStoreTurns, VisitedInParts) {
  for (int n = 0; n < 57; ++n) {
    store.store_turn(turn(numbered("t", 100 + n), ""), now);
    store.reserve(numbered("p", 100 + n), "a", 1, now);
  }
  std::string after;
  std::vector<std::string> ids, programs;
  for (bool more = true; more;) {
    std::size_t got = 0;
    store.for_each_turn(after, [&](const Turn& t) {
      ids.push_back(t.id);
      return ++got < 10;
    });
    more = got > 0;
    if (more) after = ids.back();
  }
  after.clear();
  for (bool more = true; more;) {
    std::size_t got = 0;
    store.for_each_account(after, [&](const Account& a) {
      programs.push_back(a.program);
      return ++got < 10;
    });
    more = got > 0;
    if (more) after = programs.back();
  }
  CHECK_TRUE(ids.size() == 57 && std::is_sorted(ids.begin(), ids.end()));
  CHECK_TRUE(programs.size() == 57 && std::is_sorted(programs.begin(), programs.end()));
}

namespace {

/// Applies random changes to a store, and records which of them commit() has acknowledged.
struct RecordedWorkload {
  struct State {
    std::map<std::string, Turn> turns;
    std::map<std::pair<std::string, std::string>, Reservation> entries;
  };
  State acknowledged, attempted;

  // Stops early if a commit fails.
  void run(ReplicaStore& store, TimePoint now, RandomSource& random, int steps, int first = 0) {
    for (int n = first; n < first + steps; ++n) {
      const std::string id = numbered("t", n);
      const std::string program = numbered("p", n % 3);
      if (random.chance(0.7)) {
        const Turn t =
            turn(id, n > 0 && random.chance(0.7) ? numbered("t", n - 1) : "", 1e8, random.below(300));
        if (store.store_turn(t, now)) attempted.turns[id] = t;
      }
      if (random.chance(0.7)) {
        store.reserve(program, id, 10 + n, now);
        attempted.entries.try_emplace({program, id}, Reservation{id, 10 + n, false});
      }
      if (n > 0 && random.chance(0.6)) {
        const std::string committed_attempt =
            numbered("t", static_cast<int>(random.below(static_cast<std::size_t>(n))));
        store.commit_usage(program, committed_attempt, n, now);
        Reservation& r = attempted.entries[{program, committed_attempt}];
        if (!r.committed) r = {committed_attempt, n, true};
      }
      if (random.chance(0.6)) {
        if (!store.commit(now).ok()) return;
        acknowledged = attempted;
      }
    }
    if (store.commit(now).ok()) acknowledged = attempted;
  }
  // Checks that the store has everything that was acknowledged, and nothing that was not attempted.
  void check(const ReplicaStore& store, const std::string& where) const {
    for (const auto& [id, t] : acknowledged.turns) {
      CHECK_WHERE(store.find_turn(id) != nullptr, where + ": lost turn " + id);
      CHECK_WHERE(*store.find_turn(id) == t, where + ": different turn " + id);
    }
    store.for_each_turn("", [&](const Turn& t) {
      const auto found = attempted.turns.find(t.id);
      CHECK_WHERE(found != attempted.turns.end() && found->second == t, where + ": unknown turn " + t.id);
      return true;
    });
    for (const auto& [key, r] : acknowledged.entries) {
      bool is_committed = false;
      const std::int64_t got = tokens(store, key.first, key.second, &is_committed);
      const Reservation& newest = attempted.entries.at(key);
      const bool as_acknowledged = got == r.tokens && is_committed == r.committed;
      const bool as_attempted = got == newest.tokens && is_committed == newest.committed;
      CHECK_WHERE(as_acknowledged || as_attempted, where + ": entry " + key.first + " " + key.second);
    }
  }
};

}  // namespace

TEST_GROUP(ReplicaStoreFaults) { TimePoint now = TimePoint::at_ms(1e6); };

// Power is lost at each disk step in turn: acknowledged changes survive. The recovered store continues and
// loses power again.
TEST(ReplicaStoreFaults, PowerLossAtEveryStep) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    std::size_t points = 0;
    {
      MemoryDisk disk;
      ReplicaStore store(disk, capacity);
      CHECK_TRUE(store.recover(now).ok());
      RandomSource random(seed);
      RecordedWorkload work;
      work.run(store, now, random, 30);
      points = disk.step_count();
    }
    CHECK_TRUE(points > 20);
    for (std::size_t point = 0; point <= points; ++point) {
      for (std::uint64_t loss = 0; loss < 8; ++loss) {
        const std::string where =
            numbered("seed ", seed) + numbered(", point ", point) + numbered(", loss ", loss);
        MemoryDisk disk;
        ReplicaStore store(disk, capacity);
        CHECK_TRUE(store.recover(now).ok());
        disk.lose_power_at(point);
        RandomSource random(seed);
        RecordedWorkload work;
        work.run(store, now, random, 30);
        disk.power_cycle(loss);
        ReplicaStore again(disk, capacity);
        CHECK_WHERE(again.recover(now).ok(), where);
        work.check(again, where);
        // Continues with the recovered state, and loses power once more.
        RecordedWorkload second_work;
        again.for_each_turn("",
                            [&](const Turn& t) { return second_work.acknowledged.turns[t.id] = t, true; });
        for (const auto& [program, account] : accounts(again)) {
          for (const Reservation& r : account.entries)
            second_work.acknowledged.entries[{program, r.attempt}] = r;
        }
        second_work.attempted = second_work.acknowledged;
        disk.lose_power_at(disk.step_count() + loss * 2);
        second_work.run(again, now, random, 12, 100);
        disk.power_cycle(loss + 100);
        ReplicaStore last(disk, capacity);
        CHECK_WHERE(last.recover(now).ok(), where);
        second_work.check(last, where + ", second power loss");
      }
    }
  }
}

// The disk is full, or syncs fail, from each step in turn and for several steps. Acknowledged changes survive
// a power loss at any time, and all changes survive one after the disk works again.
TEST(ReplicaStoreFaults, DiskFaultAtEveryStep) {
  for (const DiskFault fault :
       {DiskFault::full, DiskFault::sync_drops_writes, DiskFault::sync_outcome_unknown}) {
    for (std::size_t from = 0; from < 24; ++from) {
      for (const std::size_t length : {1, 2, 5}) {
        const std::string where = numbered("fault ", static_cast<int>(fault)) + numbered(", from ", from) +
                                  numbered(", steps ", length);
        MemoryDisk disk;
        ReplicaStore store(disk, capacity);
        CHECK_TRUE(store.recover(now).ok());
        disk.inject_fault(fault, from, from + length);
        RandomSource random(from);
        RecordedWorkload work;
        std::size_t failed = 0;
        for (int part = 0; part < 12; ++part) {
          work.run(store, now, random, 3, part * 3);
          failed += store.is_failing() ? 1 : 0;
          for (std::uint64_t loss = 0; loss < 4; ++loss) {
            MemoryDisk copy = disk;
            copy.power_cycle(loss);
            ReplicaStore again(copy, capacity);
            CHECK_WHERE(again.recover(now).ok(), where);
            work.check(again, where + numbered(", part ", part));
          }
        }
        while (!store.commit(now).ok()) CHECK_WHERE(disk.step_count() < from + length + 9, where);
        work.acknowledged = work.attempted;
        disk.power_cycle(from);
        ReplicaStore last(disk, capacity);
        CHECK_WHERE(last.recover(now).ok(), where);
        work.check(last, where + ", at the end");
        CHECK_WHERE(from > 15 || length < 5 || failed > 0, where + ": no commit failed");
      }
    }
  }
}

// While the disk accepts no writes, no segment is removed and no live turn is rewritten; otherwise the buffer
// would grow without any new data.
TEST(ReplicaStoreFaults, NothingIsRewrittenWhileTheDiskFails) {
  MemoryDisk disk;
  ReplicaStore store(disk, capacity);
  CHECK_TRUE(store.recover(now).ok());
  store.store_turn(turn("a", "", 1e9), now);
  store.reserve("p", "a", 7, now);
  CHECK_TRUE(store.commit(now).ok());
  for (int n = 0; n < 9; ++n) store.store_turn(turn(numbered("t", n), "", 1000, 500000), now);
  CHECK_TRUE(store.commit(now).ok());  // exceeds the segment size: the next record goes to a new segment
  store.store_turn(turn("b", "", 1e9), now);
  disk.inject_fault(DiskFault::full, disk.step_count(), disk.step_count() + 1000);
  CHECK_FALSE(store.commit(now).ok());
  const std::size_t steps = disk.step_count();
  for (int n = 0; n < 20; ++n) store.expire(now + Span::ms(151000 + 2000 * n));
  CHECK_EQUAL(steps, disk.step_count());
}

// Power is lost at each disk step while old segments are rewritten and removed.
TEST(ReplicaStoreFaults, PowerLossWhileSegmentsAreRemoved) {
  const auto work = [&](ReplicaStore& store, MemoryDisk& disk, std::size_t point, bool* is_committed) {
    *is_committed = false;
    CHECK_TRUE(store.recover(now).ok());
    store.store_turn(turn("keep", "", 1e9), now);
    store.reserve("p", "a", 77, now);
    store.commit_usage("p", "b", 5, now);
    if (!store.commit(now).ok()) return;
    for (int n = 0; n < 9; ++n) store.store_turn(turn(numbered("t", n), "", 1000, 500000), now);
    if (!store.commit(now).ok()) return;  // exceeds the segment size: the next record goes to a new segment
    store.store_turn(turn("next", "", 1e9), now);
    if (!store.commit(now).ok()) return;
    *is_committed = true;
    if (point != 0) disk.lose_power_at(disk.step_count() + point - 1);
    store.expire(now + Span::ms(2000));
    const TimePoint old = now + Span::ms(151000);
    store.reserve("p", "c", 1, now + Span::ms(100000));
    store.expire(old);
    (void)store.commit(old);
  };
  for (std::size_t point = 0; point < 9; ++point) {
    for (std::uint64_t loss = 0; loss < 4; ++loss) {
      const std::string where = numbered("point ", point) + numbered(", loss ", loss);
      MemoryDisk disk;
      ReplicaStore store(disk, capacity);
      bool is_committed = false;
      work(store, disk, point, &is_committed);
      CHECK_WHERE(is_committed, where);
      const std::size_t files = disk.list_files().size();
      if (point == 0) CHECK_WHERE(files <= 2, where);
      disk.power_cycle(loss);
      ReplicaStore again(disk, capacity);
      CHECK_WHERE(again.recover(now).ok(), where);
      CHECK_WHERE(again.find_turn("keep") != nullptr && *again.find_turn("keep") == turn("keep", "", 1e9),
                  where);
      CHECK_WHERE(again.find_turn("next") != nullptr, where);
      CHECK_WHERE(tokens(again, "p", "a") == 77 && tokens(again, "p", "b") == 5, where);
    }
  }
}

// A corrupted record ends the reading of its segment; the other segments are still read.
TEST(ReplicaStoreFaults, CorruptedSegment) {
  MemoryDisk disk;
  {
    ReplicaStore store(disk, capacity);
    CHECK_TRUE(store.recover(now).ok());
    for (int n = 0; n < 3; ++n) {
      store.store_turn(turn(numbered("a", n), ""), now);
      CHECK_TRUE(store.commit(now).ok());
    }
  }
  ReplicaStore second(disk, capacity);
  CHECK_TRUE(second.recover(now).ok());
  second.store_turn(turn("b", ""), now);
  CHECK_TRUE(second.commit(now).ok());
  const std::vector<std::string> names = disk.list_files();
  CHECK_EQUAL(static_cast<std::size_t>(2), names.size());
  std::string text = *disk.read(names[0]);
  text[text.size() / 2] = static_cast<char>(text[text.size() / 2] ^ 4);
  CHECK_TRUE(disk.truncate(names[0], 0).ok() && disk.append(names[0], text).ok());
  ReplicaStore again(disk, capacity);
  CHECK_TRUE(again.recover(now).ok());
  CHECK_TRUE(again.find_turn("a0") != nullptr && again.find_turn("a1") == nullptr &&
             again.find_turn("a2") == nullptr);
  CHECK_TRUE(again.find_turn("b") != nullptr);
}

// A removed file may reappear after a power loss, because its directory was not synced. The reservations in a
// segment that reappears must not replace committed usage.
TEST(ReplicaStoreFaults, RemovedSegmentReappears) {
  MemoryDisk disk;
  ReplicaStore store(disk, capacity);
  CHECK_TRUE(store.recover(now).ok());
  store.reserve("p", "a", 100, now);
  store.store_turn(turn("old", "", 1000), now);
  CHECK_TRUE(store.commit(now).ok());
  const std::string name = disk.list_files().front(), text = *disk.read(name);
  for (int n = 0; n < 60; ++n) store.store_turn(turn(numbered("t", n), "", 1000, 100000), now);
  CHECK_TRUE(store.commit(now).ok());
  store.commit_usage("p", "a", 8, now);
  CHECK_TRUE(store.commit(now).ok());
  store.expire(now + Span::ms(5000));
  CHECK_TRUE(store.commit(now + Span::ms(5000)).ok());
  const std::vector<std::string> names = disk.list_files();
  CHECK_TRUE(std::find(names.begin(), names.end(), name) == names.end());
  CHECK_TRUE(disk.append(name, text).ok() && disk.sync(name).ok());
  ReplicaStore again(disk, capacity);
  CHECK_TRUE(again.recover(now).ok());
  bool is_committed = false;
  CHECK_TRUE(tokens(again, "p", "a", &is_committed) == 8 && is_committed);
}

TEST_GROUP(ReplicaStoreKilledThenPowerLoss) { TimePoint now = TimePoint::at_ms(1e6); };

// A process is killed between a write and its sync. The next process acknowledges the same turn again, and
// then power is lost: the turn must survive.
TEST(ReplicaStoreKilledThenPowerLoss, TurnStoredAgainSurvives) {
  for (std::size_t point = 0; point < 3; ++point) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      MemoryDisk disk;
      ReplicaStore store(disk, capacity);
      CHECK_TRUE(store.recover(now).ok());
      disk.lose_power_at(point);
      store.store_turn(turn("a1", ""), now);
      store.reserve("p", "a1", 40, now);
      (void)store.commit(now);
      disk.lose_power_at(MemoryDisk::no_step);
      ReplicaStore again(disk, capacity);
      CHECK_TRUE(again.recover(now).ok());
      CHECK_TRUE(again.store_turn(turn("a1", ""), now));
      again.reserve("p", "a1", 40, now);
      CHECK_TRUE(again.commit(now).ok());
      disk.power_cycle(seed);
      ReplicaStore last(disk, capacity);
      CHECK_TRUE(last.recover(now).ok());
      const std::string where = numbered("point ", point) + numbered(", seed ", seed);
      CHECK_WHERE(last.find_turn("a1") != nullptr, where + ": the turn was lost");
      CHECK_WHERE(tokens(last, "p", "a1") == 40, where + ": the reservation was lost");
    }
  }
}
