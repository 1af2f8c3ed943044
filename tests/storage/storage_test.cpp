// What a storage sidecar keeps: turns and accounts on a disk that loses power at every step, and their
// placement.
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/memory_disk.hpp"
#include "simulated_system.hpp"
#include "storage/placement.hpp"
#include "storage/store.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Account;
using chutevane::common::DiskFault;
using chutevane::common::MemoryDisk;
using chutevane::common::Reservation;
using chutevane::common::StorageNode;
using chutevane::common::Turn;
using chutevane::simulated::RandomSource;
using chutevane::storage::quorum_size;
using chutevane::storage::replica_group;
using chutevane::storage::replica_group_size;
using chutevane::storage::Store;

namespace {

// What the other attempts have set aside or spent, together.
int total(const std::vector<Reservation>& others) {
  std::int64_t out = 0;
  for (const Reservation& r : others) out += r.tokens;
  return static_cast<int>(out);
}

constexpr std::size_t room = 64U << 20U;

Turn turn(const std::string& id, const std::string& previous, double keep_ms = 60000, std::size_t size = 40) {
  Turn out;
  out.id = id;
  out.previous = previous;
  out.program = "p-" + id.substr(0, 1);
  out.input.data = "in of " + id + std::string(size, 'i');
  out.output.data = "out of " + id + "\n";
  out.retention_ms = static_cast<std::int64_t>(keep_ms);
  return out;
}

std::map<std::string, Account> accounts(const Store& store) {
  std::map<std::string, Account> out;
  store.each_account("", [&](const Account& a) {
    out[a.program] = a;
    std::sort(out[a.program].entries.begin(), out[a.program].entries.end(),
              [](const Reservation& x, const Reservation& y) { return x.attempt < y.attempt; });
    return true;
  });
  return out;
}

std::int64_t tokens(const Store& store, const std::string& program, const std::string& attempt,
                    bool* settled = nullptr) {
  const auto all = accounts(store);
  const auto found = all.find(program);
  if (found == all.end()) return -1;
  for (const Reservation& r : found->second.entries) {
    if (r.attempt != attempt) continue;
    if (settled != nullptr) *settled = r.committed;
    return r.tokens;
  }
  return -1;
}

}  // namespace

TEST_GROUP(StorageAccounts) {
  MemoryDisk disk;
  Store store{disk, room};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { CHECK_TRUE(store.open(now).ok()); }
};

TEST(StorageAccounts, OthersAreCountedAndNotItsOwn) {
  CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(100, total(store.reserve("p", "b", 50, now)));
  CHECK_EQUAL(0, total(store.reserve("q", "c", 7, now)));
  store.settle("p", "a", 30, now);
  CHECK_EQUAL(80, total(store.reserve("p", "d", 1, now)));
}

// The same order again, after an answer that was lost: it counts once.
TEST(StorageAccounts, RepeatsChangeNothing) {
  for (int n = 0; n < 3; ++n) CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(100, total(store.reserve("p", "b", 10, now)));
  CHECK_EQUAL(10, total(store.reserve("p", "a", 100, now)));
  for (int n = 0; n < 3; ++n) store.settle("p", "a", 30, now);
  CHECK_EQUAL(30, total(store.reserve("p", "b", 10, now)));
  CHECK_EQUAL(30, static_cast<int>(tokens(store, "p", "a")));
}

// A reservation that comes behind its settlement, on a slower way, does not set aside anew.
TEST(StorageAccounts, ASettledOneIsNotRaisedAgain) {
  store.reserve("p", "a", 100, now);
  store.settle("p", "a", 0, now);
  CHECK_EQUAL(0, total(store.reserve("p", "a", 100, now)));
  CHECK_EQUAL(0, total(store.reserve("p", "b", 1, now)));
  store.settle("q", "c", 12, now);  // before its reservation
  store.reserve("q", "c", 90, now);
  CHECK_EQUAL(12, total(store.reserve("q", "d", 1, now)));
  store.merge({"q", {{"c", 90, false}}}, now);  // from one that has not heard of it
  CHECK_EQUAL(12, total(store.reserve("q", "d", 1, now)));
}

// Whatever order reservations, settlements and other sidecars' accounts come in, and however often: the same
// account, also after it is read again.
TEST(StorageAccounts, OrderOfArrivalDoesNotMatter) {
  struct Word {
    int kind;
    std::string attempt;
    std::int64_t tokens;
  };
  const std::vector<Word> words = {{0, "a", 100}, {1, "a", 40}, {0, "b", 70}, {0, "c", 60},
                                   {1, "c", 0},   {2, "a", 40}, {2, "b", 70}, {3, "a", 100}};
  std::map<std::string, Account> wanted;
  std::vector<std::size_t> order(words.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  RandomSource luck(4);
  for (int round = 0; round < 600; ++round) {
    for (std::size_t i = order.size(); i-- > 1;) std::swap(order[i], order[luck.below(i + 1)]);
    MemoryDisk d;
    Store s(d, room);
    CHECK_TRUE(s.open(now).ok());
    for (const std::size_t i : order) {
      const Word& w = words[i];
      for (std::size_t n = 1 + luck.below(2); n > 0; --n) {
        if (w.kind == 0) s.reserve("p", w.attempt, w.tokens, now);
        if (w.kind == 1) s.settle("p", w.attempt, w.tokens, now);
        if (w.kind == 2) s.merge({"p", {{w.attempt, w.tokens, w.attempt == "a"}}}, now);
        if (w.kind == 3) s.merge({"p", {{w.attempt, w.tokens, false}}}, now);
        if (luck.chance(0.3)) CHECK_TRUE(s.commit(now).ok());
      }
    }
    CHECK_TRUE(s.commit(now).ok());
    if (wanted.empty()) wanted = accounts(s);
    CHECK_WHERE(accounts(s) == wanted, numbered("round ", round));
    Store again(d, room);
    CHECK_TRUE(again.open(now).ok());
    CHECK_WHERE(accounts(again) == wanted, numbered("read again, round ", round));
  }
  CHECK_EQUAL(static_cast<std::size_t>(3), wanted["p"].entries.size());
  CHECK_TRUE(wanted["p"].entries[0] == (Reservation{"a", 40, true}));
  CHECK_TRUE(wanted["p"].entries[1] == (Reservation{"b", 70, false}));
  CHECK_TRUE(wanted["p"].entries[2] == (Reservation{"c", 0, true}));
}

// An account is dropped long after its last entry, and not before.
TEST(StorageAccounts, KeptLongAfterItsLastEntry) {
  store.reserve("p", "a", 100, now);
  for (int s = 0; s <= 170; s += 5) store.sweep(now + Span::ms(s * 1000.0));
  CHECK_EQUAL(100, static_cast<int>(tokens(store, "p", "a")));
  store.reserve("p", "b", 1, now + Span::ms(170000));
  store.sweep(now + Span::ms(340000));
  CHECK_EQUAL(100, static_cast<int>(tokens(store, "p", "a")));
  store.sweep(now + Span::ms(400000));
  CHECK_EQUAL(static_cast<std::size_t>(0), store.accounts());
}

TEST_GROUP(StorageTurns) {
  MemoryDisk disk;
  Store store{disk, room};
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { CHECK_TRUE(store.open(now).ok()); }
  std::string chain(const std::string& id, std::size_t most = 1U << 30U) {
    std::string out;
    for (const Turn* t : store.chain(id, most, now)) out += t->id + " ";
    return out;
  }
  std::size_t files() { return disk.list_files().size(); }
};

TEST(StorageTurns, KeptOnceHoweverOften) {
  CHECK_TRUE(store.keep(turn("a1", ""), now));
  const std::size_t bytes = store.bytes();
  for (int n = 0; n < 3; ++n) CHECK_TRUE(store.keep(turn("a1", ""), now));
  CHECK_TRUE(store.turns() == 1 && store.bytes() == bytes);
  CHECK_TRUE(store.commit(now).ok());
  CHECK_TRUE(*store.find("a1") == turn("a1", ""));
  CHECK_TRUE(store.keep(turn("a1", ""), now));
  CHECK_FALSE(store.dirty());
  CHECK_TRUE(store.find("none") == nullptr);
}

TEST(StorageTurns, ChainTheNewestFirst) {
  store.keep(turn("a1", ""), now);
  store.keep(turn("a2", "a1"), now);
  store.keep(turn("a3", "a2"), now);
  store.keep(turn("b3", "a2"), now);  // several name the same
  CHECK_TRUE(chain("a3") == "a3 a2 a1 ");
  CHECK_TRUE(chain("b3") == "b3 a2 a1 ");
  CHECK_TRUE(chain("a1") == "a1 ");
  CHECK_TRUE(chain("x").empty());
  store.keep(turn("c2", "not here"), now);
  CHECK_TRUE(chain("c2") == "c2 ");
}

// An answer has its size: the newest part, and never nothing.
TEST(StorageTurns, ChainInParts) {
  store.keep(turn("a1", "", 60000, 1000), now);
  store.keep(turn("a2", "a1", 60000, 1000), now);
  store.keep(turn("a3", "a2", 60000, 1000), now);
  CHECK_TRUE(chain("a3", 1) == "a3 ");
  CHECK_TRUE(chain("a3", 2700) == "a3 a2 ");
  CHECK_TRUE(chain("a3", 1U << 20U) == "a3 a2 a1 ");
}

// Names that go round in a ring end nowhere, and are answered all the same.
TEST(StorageTurns, RingOfNames) {
  store.keep(turn("a1", "a2"), now);
  store.keep(turn("a2", "a1"), now);
  CHECK_TRUE(store.chain("a1", 1U << 30U, now).size() < 20000);
  store.keep(turn("b1", "b1"), now);
  CHECK_TRUE(store.chain("b1", 1U << 30U, now).size() < 20000);
}

TEST(StorageTurns, RefusedWhenFullAndNothingIsBegun) {
  MemoryDisk d;
  Store small(d, 2000);
  CHECK_TRUE(small.open(now).ok());
  CHECK_TRUE(small.keep(turn("a1", "", 60000, 700), now));
  CHECK_TRUE(small.keep(turn("a2", "", 60000, 700), now));
  CHECK_FALSE(small.keep(turn("a3", "", 60000, 700), now));
  CHECK_TRUE(small.find("a3") == nullptr && small.turns() == 2 && small.bytes() <= 2000);
  CHECK_TRUE(small.keep(turn("a1", "", 60000, 700), now));  // it is there
  small.sweep(now + Span::ms(61000));
  CHECK_TRUE(small.turns() == 0 && small.bytes() == 0);
  CHECK_TRUE(small.keep(turn("a3", "", 60000, 700), now + Span::ms(61000)));
}

// A turn is there for its whole time, and with it all that it goes on from, which is in use as long.
TEST(StorageTurns, KeptForItsTimeWithItsChain) {
  store.keep(turn("a1", "", 10000), now);
  store.keep(turn("b1", "", 10000), now);
  const TimePoint later = now + Span::ms(9000);
  store.sweep(later);
  store.keep(turn("a2", "a1", 10000), later);
  for (int ms = 9500; ms <= 19000; ms += 500) {
    store.sweep(now + Span::ms(ms));
    CHECK_TRUE(store.find("a1") != nullptr && store.find("a2") != nullptr);
    if (ms <= 10000) CHECK_TRUE(store.find("b1") != nullptr);
  }
  CHECK_TRUE(store.find("b1") == nullptr);
  store.sweep(now + Span::ms(21000));
  CHECK_TRUE(store.find("a1") == nullptr && store.find("a2") == nullptr);
}

// Which turn a chain lacks here: whoever is asked to keep the newest has to have it too, so that it lasts as
// long.
TEST(StorageTurns, WhatAChainLacks) {
  store.keep(turn("a1", ""), now);
  store.keep(turn("a3", "a2"), now);
  CHECK_TRUE(store.first_missing("a1").empty());
  CHECK_TRUE(store.first_missing("a3") == "a2");
  CHECK_TRUE(store.first_missing("none") == "none");
  store.keep(turn("a2", "a1"), now);
  CHECK_TRUE(store.first_missing("a3").empty());
  store.keep(turn("r1", "r2"), now);
  store.keep(turn("r2", "r1"), now);
  CHECK_TRUE(store.first_missing("r1").empty());  // a ring ends
}

// A program that goes on from another's turns needs them where its own are.
TEST(StorageTurns, ChainsThatCrossPrograms) {
  store.keep(turn("a1", ""), now);
  store.keep(turn("a2", "a1"), now);
  store.keep(turn("b1", "a2"), now);
  store.keep(turn("b2", "b1"), now);
  store.keep(turn("c1", ""), now);
  const auto of = [&](const std::string& program) {
    return store.chains_of_others([&](const std::string& p) { return p == program; });
  };
  CHECK_TRUE(of("p-b") == (std::set<std::string>{"a1", "a2"}));
  CHECK_TRUE(of("p-a").empty() && of("p-c").empty());
}

// Read again it has its time anew: never less than it had.
TEST(StorageTurns, TimeAfterALossIsNoShorter) {
  store.keep(turn("a1", "", 10000), now);
  CHECK_TRUE(store.commit(now).ok());
  disk.power_cycle(1);
  Store again(disk, room);
  const TimePoint later = now + Span::ms(5000);
  CHECK_TRUE(again.open(later).ok());
  for (int ms = 0; ms <= 10000; ms += 1000) {
    again.sweep(later + Span::ms(ms));
    CHECK_TRUE(again.find("a1") != nullptr);
  }
}

// Segments whose turns are past are removed; what is still in use of an old one is written again first.
TEST(StorageTurns, SegmentsAreRemoved) {
  std::size_t most_files = 0;
  store.keep(turn("keep", "", 1e9), now);
  store.reserve("p", "attempt", 77, now);
  for (int s = 0; s < 400; ++s) {
    const TimePoint at = now + Span::ms(s * 1000.0);
    store.keep(turn(numbered("t", s), "", 20000, 240000), at);
    if (s % 50 == 0) store.reserve("p", "attempt", 77, at);  // its program goes on
    store.sweep(at);
    CHECK_TRUE(store.commit(at).ok());
    most_files = std::max(most_files, files());
  }
  CHECK_TRUE(most_files >= 3 && most_files < 20);  // 96 MB went through, in segments of 4
  disk.power_cycle(3);
  Store again(disk, room);
  CHECK_TRUE(again.open(now + Span::ms(400000)).ok());
  CHECK_TRUE(again.find("keep") != nullptr && *again.find("keep") == turn("keep", "", 1e9));
  CHECK_EQUAL(77, static_cast<int>(tokens(again, "p", "attempt")));
  for (int n = 399; n >= 385; --n) CHECK_TRUE(again.find(numbered("t", n)) != nullptr);
}

// In the order of their names, from any place on, each once.
TEST(StorageTurns, WalkedInParts) {
  for (int n = 0; n < 57; ++n) {
    store.keep(turn(numbered("t", 100 + n), ""), now);
    store.reserve(numbered("p", 100 + n), "a", 1, now);
  }
  std::string after;
  std::vector<std::string> ids, programs;
  for (bool more = true; more;) {
    std::size_t got = 0;
    store.each_turn(after, [&](const Turn& t) {
      ids.push_back(t.id);
      return ++got < 10;
    });
    more = got > 0;
    if (more) after = ids.back();
  }
  after.clear();
  for (bool more = true; more;) {
    std::size_t got = 0;
    store.each_account(after, [&](const Account& a) {
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

// A storage sidecar's work, with what commit() has said OK to.
struct Ledgered {
  struct State {
    std::map<std::string, Turn> turns;
    std::map<std::pair<std::string, std::string>, Reservation> entries;
  };
  State sure, tried;

  // Runs until a commit fails.
  void run(Store& store, TimePoint now, RandomSource& luck, int steps, int first = 0) {
    for (int n = first; n < first + steps; ++n) {
      const std::string id = numbered("t", n);
      const std::string program = numbered("p", n % 3);
      if (luck.chance(0.7)) {
        const Turn t = turn(id, n > 0 && luck.chance(0.7) ? numbered("t", n - 1) : "", 1e8, luck.below(300));
        if (store.keep(t, now)) tried.turns[id] = t;
      }
      if (luck.chance(0.7)) {
        store.reserve(program, id, 10 + n, now);
        tried.entries.try_emplace({program, id}, Reservation{id, 10 + n, false});
      }
      if (n > 0 && luck.chance(0.6)) {
        const std::string settled = numbered("t", static_cast<int>(luck.below(static_cast<std::size_t>(n))));
        store.settle(program, settled, n, now);
        Reservation& r = tried.entries[{program, settled}];
        if (!r.committed) r = {settled, n, true};
      }
      if (luck.chance(0.6)) {
        if (!store.commit(now).ok()) return;
        sure = tried;
      }
    }
    if (store.commit(now).ok()) sure = tried;
  }
  // All that was said OK to is there; what is there besides was tried.
  void check(const Store& store, const std::string& where) const {
    for (const auto& [id, t] : sure.turns) {
      CHECK_WHERE(store.find(id) != nullptr, where + ": lost turn " + id);
      CHECK_WHERE(*store.find(id) == t, where + ": another turn " + id);
    }
    store.each_turn("", [&](const Turn& t) {
      const auto found = tried.turns.find(t.id);
      CHECK_WHERE(found != tried.turns.end() && found->second == t, where + ": unknown turn " + t.id);
      return true;
    });
    for (const auto& [key, r] : sure.entries) {
      bool settled = false;
      const std::int64_t got = tokens(store, key.first, key.second, &settled);
      const Reservation& newest = tried.entries.at(key);
      const bool as_sure = got == r.tokens && settled == r.committed;
      const bool as_tried = got == newest.tokens && settled == newest.committed;
      CHECK_WHERE(as_sure || as_tried, where + ": entry " + key.first + " " + key.second);
    }
  }
};

}  // namespace

TEST_GROUP(StorageLosses) { TimePoint now = TimePoint::at_ms(1e6); };

// Power is lost at each step in turn: what commit() said OK to is there. The store goes on and loses power
// again.
TEST(StorageLosses, LossOfPowerAtEveryStep) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    std::size_t points = 0;
    {
      MemoryDisk disk;
      Store store(disk, room);
      CHECK_TRUE(store.open(now).ok());
      RandomSource luck(seed);
      Ledgered work;
      work.run(store, now, luck, 30);
      points = disk.step_count();
    }
    CHECK_TRUE(points > 20);
    for (std::size_t point = 0; point <= points; ++point) {
      for (std::uint64_t loss = 0; loss < 8; ++loss) {
        const std::string where =
            numbered("seed ", seed) + numbered(", point ", point) + numbered(", luck ", loss);
        MemoryDisk disk;
        Store store(disk, room);
        CHECK_TRUE(store.open(now).ok());
        disk.lose_power_at(point);
        RandomSource luck(seed);
        Ledgered work;
        work.run(store, now, luck, 30);
        disk.power_cycle(loss);
        Store again(disk, room);
        CHECK_WHERE(again.open(now).ok(), where);
        work.check(again, where);
        // It goes on from what is there, and loses power once more.
        Ledgered then;
        again.each_turn("", [&](const Turn& t) { return then.sure.turns[t.id] = t, true; });
        for (const auto& [program, account] : accounts(again)) {
          for (const Reservation& r : account.entries) then.sure.entries[{program, r.attempt}] = r;
        }
        then.tried = then.sure;
        disk.lose_power_at(disk.step_count() + loss * 2);
        then.run(again, now, luck, 12, 100);
        disk.power_cycle(loss + 100);
        Store last(disk, room);
        CHECK_WHERE(last.open(now).ok(), where);
        then.check(last, where + ", second");
      }
    }
  }
}

// The disk is full, or syncs fail, at each step in turn and for some steps, and the store goes on: what
// commit() has said OK to is there whenever power is lost, and all of it once the disk works again.
TEST(StorageLosses, GoesOnAfterAFaultAtEveryStep) {
  for (const DiskFault fault :
       {DiskFault::full, DiskFault::sync_drops_writes, DiskFault::sync_outcome_unknown}) {
    for (std::size_t from = 0; from < 24; ++from) {
      for (const std::size_t length : {1, 2, 5}) {
        const std::string where = numbered("fault ", static_cast<int>(fault)) + numbered(", from ", from) +
                                  numbered(", steps ", length);
        MemoryDisk disk;
        Store store(disk, room);
        CHECK_TRUE(store.open(now).ok());
        disk.inject_fault(fault, from, from + length);
        RandomSource luck(from);
        Ledgered work;
        std::size_t failed = 0;
        for (int part = 0; part < 12; ++part) {
          work.run(store, now, luck, 3, part * 3);
          failed += store.failing() ? 1 : 0;
          for (std::uint64_t loss = 0; loss < 4; ++loss) {
            MemoryDisk dark = disk;
            dark.power_cycle(loss);
            Store again(dark, room);
            CHECK_WHERE(again.open(now).ok(), where);
            work.check(again, where + numbered(", part ", part));
          }
        }
        while (!store.commit(now).ok()) CHECK_WHERE(disk.step_count() < from + length + 9, where);
        work.sure = work.tried;
        disk.power_cycle(from);
        Store last(disk, room);
        CHECK_WHERE(last.open(now).ok(), where);
        work.check(last, where + ", at the end");
        CHECK_WHERE(from > 15 || length < 5 || failed > 0, where + ": no fault was met");
      }
    }
  }
}

// No segment is removed, and none of what is in use written again, while the disk takes nothing: what waits
// does not grow with time alone.
TEST(StorageLosses, NothingIsWrittenAgainWhileTheDiskFails) {
  MemoryDisk disk;
  Store store(disk, room);
  CHECK_TRUE(store.open(now).ok());
  store.keep(turn("a", "", 1e9), now);
  store.reserve("p", "a", 7, now);
  CHECK_TRUE(store.commit(now).ok());
  for (int n = 0; n < 9; ++n) store.keep(turn(numbered("t", n), "", 1000, 500000), now);
  CHECK_TRUE(store.commit(now).ok());  // over the size of a segment: the next goes to another
  store.keep(turn("b", "", 1e9), now);
  disk.inject_fault(DiskFault::full, disk.step_count(), disk.step_count() + 1000);
  CHECK_FALSE(store.commit(now).ok());
  const std::size_t steps = disk.step_count();
  for (int n = 0; n < 20; ++n) store.sweep(now + Span::ms(151000 + 2000 * n));
  CHECK_EQUAL(steps, disk.step_count());
}

// While old segments are written again and removed, power is lost at each step.
TEST(StorageLosses, LossOfPowerWhileSegmentsAreRemoved) {
  const auto work = [&](Store& store, MemoryDisk& disk, std::size_t point, bool* lasting) {
    *lasting = false;
    CHECK_TRUE(store.open(now).ok());
    store.keep(turn("keep", "", 1e9), now);
    store.reserve("p", "a", 77, now);
    store.settle("p", "b", 5, now);
    if (!store.commit(now).ok()) return;
    for (int n = 0; n < 9; ++n) store.keep(turn(numbered("t", n), "", 1000, 500000), now);
    if (!store.commit(now).ok()) return;  // over the size of a segment: the next goes to another
    store.keep(turn("next", "", 1e9), now);
    if (!store.commit(now).ok()) return;
    *lasting = true;
    if (point != 0) disk.lose_power_at(disk.step_count() + point - 1);
    store.sweep(now + Span::ms(2000));
    const TimePoint old = now + Span::ms(151000);
    store.reserve("p", "c", 1, now + Span::ms(100000));
    store.sweep(old);
    (void)store.commit(old);
  };
  for (std::size_t point = 0; point < 9; ++point) {
    for (std::uint64_t loss = 0; loss < 4; ++loss) {
      const std::string where = numbered("point ", point) + numbered(", luck ", loss);
      MemoryDisk disk;
      Store store(disk, room);
      bool lasting = false;
      work(store, disk, point, &lasting);
      CHECK_WHERE(lasting, where);
      const std::size_t files = disk.list_files().size();
      if (point == 0) CHECK_WHERE(files <= 2, where);
      disk.power_cycle(loss);
      Store again(disk, room);
      CHECK_WHERE(again.open(now).ok(), where);
      CHECK_WHERE(again.find("keep") != nullptr && *again.find("keep") == turn("keep", "", 1e9), where);
      CHECK_WHERE(again.find("next") != nullptr, where);
      CHECK_WHERE(tokens(again, "p", "a") == 77 && tokens(again, "p", "b") == 5, where);
    }
  }
}

// A spoilt record ends its segment; the other segments are read.
TEST(StorageLosses, SpoiltSegment) {
  MemoryDisk disk;
  {
    Store store(disk, room);
    CHECK_TRUE(store.open(now).ok());
    for (int n = 0; n < 3; ++n) {
      store.keep(turn(numbered("a", n), ""), now);
      CHECK_TRUE(store.commit(now).ok());
    }
  }
  Store second(disk, room);
  CHECK_TRUE(second.open(now).ok());
  second.keep(turn("b", ""), now);
  CHECK_TRUE(second.commit(now).ok());
  const std::vector<std::string> names = disk.list_files();
  CHECK_EQUAL(static_cast<std::size_t>(2), names.size());
  std::string text = *disk.read(names[0]);
  text[text.size() / 2] = static_cast<char>(text[text.size() / 2] ^ 4);
  CHECK_TRUE(disk.truncate(names[0], 0).ok() && disk.append(names[0], text).ok());
  Store again(disk, room);
  CHECK_TRUE(again.open(now).ok());
  CHECK_TRUE(again.find("a0") != nullptr && again.find("a1") == nullptr && again.find("a2") == nullptr);
  CHECK_TRUE(again.find("b") != nullptr);
}

// Removed names last only once their folder is synced: an old segment that is there again raises nothing that
// was settled.
TEST(StorageLosses, RemovedSegmentThatIsThereAgain) {
  MemoryDisk disk;
  Store store(disk, room);
  CHECK_TRUE(store.open(now).ok());
  store.reserve("p", "a", 100, now);
  store.keep(turn("old", "", 1000), now);
  CHECK_TRUE(store.commit(now).ok());
  const std::string name = disk.list_files().front(), text = *disk.read(name);
  for (int n = 0; n < 60; ++n) store.keep(turn(numbered("t", n), "", 1000, 100000), now);
  CHECK_TRUE(store.commit(now).ok());
  store.settle("p", "a", 8, now);
  CHECK_TRUE(store.commit(now).ok());
  store.sweep(now + Span::ms(5000));
  CHECK_TRUE(store.commit(now + Span::ms(5000)).ok());
  const std::vector<std::string> names = disk.list_files();
  CHECK_TRUE(std::find(names.begin(), names.end(), name) == names.end());
  CHECK_TRUE(disk.append(name, text).ok() && disk.sync(name).ok());
  Store again(disk, room);
  CHECK_TRUE(again.open(now).ok());
  bool settled = false;
  CHECK_TRUE(tokens(again, "p", "a", &settled) == 8 && settled);
}

TEST_GROUP(StoragePlacement){
    static std::vector<StorageNode> storage_nodes(int n){std::vector<StorageNode> out;
for (int i = 0; i < n; ++i) out.push_back({numbered("storage-", i), "d", "a", "z", false});
return out;
}
static std::set<std::string> names(const std::string& program, const std::vector<StorageNode>& all,
                                   std::size_t losses) {
  std::set<std::string> out;
  for (const std::size_t i : replica_group(program, all, losses)) out.insert(all[i].node);
  return out;
}
}
;

TEST(StoragePlacement, SizesOfGroups) {
  CHECK_EQUAL(static_cast<std::size_t>(1), replica_group_size(0));
  CHECK_EQUAL(static_cast<std::size_t>(3), replica_group_size(1));
  CHECK_EQUAL(static_cast<std::size_t>(5), replica_group_size(2));
  for (std::size_t losses = 0; losses < 4; ++losses) {
    const std::size_t group = replica_group_size(losses);
    CHECK_TRUE(quorum_size(group) > losses);           // one of a majority is left
    CHECK_TRUE(group - losses >= quorum_size(group));  // and a majority without the lost
    for (int n = 0; n < 9; ++n) {
      const std::vector<StorageNode> all = storage_nodes(n);
      const auto got = replica_group("program", all, losses);
      CHECK_EQUAL(std::min(group, static_cast<std::size_t>(n)), got.size());
      CHECK_EQUAL(got.size(), std::set<std::size_t>(got.begin(), got.end()).size());
    }
  }
}

// A zone that goes takes no more of a group than it must.
TEST(StoragePlacement, OneOfEachZoneFirst) {
  std::vector<StorageNode> all = storage_nodes(9);
  for (std::size_t i = 0; i < all.size(); ++i) all[i].zone = numbered("z", static_cast<int>(i % 3));
  for (int p = 0; p < 200; ++p) {
    std::map<std::string, int> zones;
    for (const std::size_t i : replica_group(numbered("p", p), all, 1)) ++zones[all[i].zone];
    CHECK_EQUAL(3U, zones.size());
    zones.clear();
    for (const std::size_t i : replica_group(numbered("p", p), all, 2)) ++zones[all[i].zone];
    for (const auto& [zone, n] : zones) CHECK_WHERE(n <= 2, zone);  // five over three zones
  }
  // Where a zone has none left, the others fill up.
  for (StorageNode& c : all) c.draining = c.zone == "z0";
  CHECK_EQUAL(3U, replica_group("p", all, 1).size());
}

// Agreed by all, whatever order the map has.
TEST(StoragePlacement, OrderOfTheMapDoesNotMatter) {
  std::vector<StorageNode> all = storage_nodes(8);
  std::map<int, std::set<std::string>> before;
  for (int p = 0; p < 200; ++p) before[p] = names(numbered("p", p), all, 1);
  std::reverse(all.begin(), all.end());
  for (int p = 0; p < 200; ++p) CHECK_TRUE(before[p] == names(numbered("p", p), all, 1));
}

// One member more takes its own part and moves nothing else; one fewer gives back only what was its own.
TEST(StoragePlacement, AMemberMoreMovesOnlyItsPart) {
  for (int n = 3; n < 12; ++n) {
    const std::vector<StorageNode> fewer = storage_nodes(n), more = storage_nodes(n + 1);
    const std::string fresh = more.back().node;
    int moved = 0;
    constexpr int programs = 2000;
    for (int p = 0; p < programs; ++p) {
      const auto before = names(numbered("p", p), fewer, 1), after = names(numbered("p", p), more, 1);
      if (before == after) continue;
      ++moved;
      CHECK_TRUE(after.contains(fresh));
      std::set<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::inserter(kept, kept.end()));
      CHECK_EQUAL(static_cast<std::size_t>(2), kept.size());
    }
    const double part = static_cast<double>(moved) / programs, fair = 3.0 / (n + 1);
    CHECK_WHERE(part > fair * 0.85 && part < fair * 1.15, numbered("of ", n));
  }
}

TEST(StoragePlacement, EvenlySpread) {
  const std::vector<StorageNode> all = storage_nodes(7);
  std::map<std::string, int> held;
  for (int p = 0; p < 7000; ++p) {
    for (const std::string& node : names(numbered("p", p), all, 1)) ++held[node];
  }
  for (const StorageNode& c : all) CHECK_TRUE(held[c.node] > 2700 && held[c.node] < 3300);
}

// Who leaves gets nothing new, and the others of a group stay.
TEST(StoragePlacement, LeavingMembersGetNothing) {
  std::vector<StorageNode> all = storage_nodes(6), left = all;
  left[2].draining = true;
  std::vector<StorageNode> without = all;
  without.erase(without.begin() + 2);
  for (int p = 0; p < 2000; ++p) {
    const std::string program = numbered("p", p);
    const auto now_in = names(program, left, 1);
    CHECK_FALSE(now_in.contains(all[2].node));
    CHECK_TRUE(now_in == names(program, without, 1));
    for (const std::string& node : names(program, all, 1)) {
      if (node != all[2].node) CHECK_TRUE(now_in.contains(node));
    }
  }
  for (StorageNode& c : left) c.draining = true;
  CHECK_TRUE(replica_group("p", left, 1).empty());
}

TEST_GROUP(StorageKilledThenDark) { TimePoint now = TimePoint::at_ms(1e6); };

// A process is killed between a write and its sync. The next one is asked to keep the same turn, says OK, and
// then power is lost: the turn is there.
TEST(StorageKilledThenDark, KeptAgainIsKept) {
  for (std::size_t point = 0; point < 3; ++point) {
    for (std::uint64_t luck = 0; luck < 20; ++luck) {
      MemoryDisk disk;
      Store store(disk, room);
      CHECK_TRUE(store.open(now).ok());
      disk.lose_power_at(point);
      store.keep(turn("a1", ""), now);
      store.reserve("p", "a1", 40, now);
      (void)store.commit(now);
      disk.lose_power_at(MemoryDisk::no_step);
      Store again(disk, room);
      CHECK_TRUE(again.open(now).ok());
      CHECK_TRUE(again.keep(turn("a1", ""), now));
      again.reserve("p", "a1", 40, now);
      CHECK_TRUE(again.commit(now).ok());
      disk.power_cycle(luck);
      Store last(disk, room);
      CHECK_TRUE(last.open(now).ok());
      const std::string where = numbered("point ", point) + numbered(", luck ", luck);
      CHECK_WHERE(last.find("a1") != nullptr, where + ": the turn is gone");
      CHECK_WHERE(tokens(last, "p", "a1") == 40, where + ": the reservation is gone");
    }
  }
}
