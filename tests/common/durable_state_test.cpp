/// DurableState on a disk that loses power, or whose process is killed, at every step in turn: what was
/// acknowledged is there, or the state that was being written; never a mix.
#include "common/durable_state.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "common/memory_disk.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::common::DiskFault;
using chutevane::common::DurableState;
using chutevane::common::MemoryDisk;

namespace {

constexpr std::uint64_t power_cycle_seeds = 40;  // tried at each point

/// A recovered state: the checkpoint and the changes since.
struct StoredState {
  bool there = false;
  std::string state;
  std::vector<std::string> changes;
  bool operator==(const StoredState&) const = default;
  std::string text() const {
    std::string out = there ? state.substr(0, 12) + numbered("/", state.size()) : "nothing";
    for (const std::string& c : changes) out += " + " + c.substr(0, 12);
    return out;
  }
};

StoredState stored_state(const DurableState::Recovered& from) {
  return {true, from.checkpoint, from.changes};
}

/// One write, and what it makes of a state.
struct Operation {
  bool is_checkpoint = false;
  std::string text;
  StoredState after(StoredState before) const {
    if (is_checkpoint) return {true, text, {}};
    before.changes.push_back(text);
    return before;
  }
  absl::Status apply(DurableState& state) const {
    return is_checkpoint ? state.write_checkpoint(text) : state.append_change(text);
  }
};

/// Long states, shorter ones over them, and logs of several records beside each.
const std::vector<Operation>& operations() {
  static const std::vector<Operation> all = {
      {true, "one " + std::string(300, 'a')},
      {false, "c1"},
      {false, "c2 " + std::string(90, 'x')},
      {true, "two"},
      {false, "d1 " + std::string(200, 'y')},
      {false, "d2"},
      {true, "three " + std::string(50, 'b')},
      {true, "four " + std::string(900, 'c')},
      {false, "e1"},
      {true, ""},
      {false, ""},
      {false, "f2 " + std::string(30, 'z')},
  };
  return all;
}

/// After the operations up to the first that fails: what was acknowledged, and what was attempted last.
struct RunResult {
  StoredState acknowledged, attempted;
};

RunResult apply_all(DurableState& state, StoredState from, const std::vector<Operation>& all) {
  RunResult out{from, from};
  for (const Operation& operation : all) {
    out.attempted = operation.after(out.acknowledged);
    if (!operation.apply(state).ok()) break;
    out.acknowledged = out.attempted;
  }
  return out;
}

std::size_t steps_of_all() {
  MemoryDisk disk;
  DurableState state(disk, "s");
  apply_all(state, {}, operations());
  return disk.step_count();
}

/// Recovers. A first checkpoint that was torn counts as nothing: nobody was told of it.
StoredState open_again(DurableState& state, const RunResult& before, const std::string& where) {
  const auto got = state.recover();
  if (got.ok()) return stored_state(*got);
  CHECK_TEXT(!before.acknowledged.there,
             (where + ": lost, though acknowledged: " + got.status().ToString()).c_str());
  return {};
}

void check_stored(const StoredState& got, const RunResult& before, const std::string& where) {
  if (got == before.acknowledged || got == before.attempted) return;
  const std::string text = where + ": " + got.text() + "; acknowledged " + before.acknowledged.text() +
                           "; attempted " + before.attempted.text();
  FAIL(text.c_str());
}

std::string at_point(std::size_t point, std::uint64_t seed) {
  return numbered("point ", point) + numbered(", seed ", seed);
}

}  // namespace

TEST_GROUP(DurableStateOnDisk){};

TEST(DurableStateOnDisk, NothingIsThereAtFirst) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(absl::IsNotFound(state.recover().status()));
}

TEST(DurableStateOnDisk, WhatIsWrittenIsRead) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  const RunResult done = apply_all(state, {}, operations());
  CHECK_TRUE(done.acknowledged == done.attempted);
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok());
  CHECK_TRUE(stored_state(*got) == done.acknowledged);
}

// Guards what was acknowledged against a loss of power at each step of writing, whatever becomes of what was
// not synced.
TEST(DurableStateOnDisk, LossOfPowerAtEveryStep) {
  const std::size_t points = steps_of_all();
  CHECK_TRUE(points > 30);
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
      MemoryDisk disk;
      DurableState state(disk, "s");
      disk.lose_power_at(point);
      const RunResult before = apply_all(state, {}, operations());
      disk.power_cycle(seed);
      DurableState again(disk, "s");
      check_stored(open_again(again, before, at_point(point, seed)), before, at_point(point, seed));
    }
  }
}

// The same disk goes on after a loss and loses power again: what the first loss left is no worse ground.
TEST(DurableStateOnDisk, SecondLossAtEveryStepAfterAFirst) {
  const std::vector<Operation> more = {
      {false, "g1"}, {true, "five " + std::string(40, 'd')}, {false, "g2"}, {true, "six"}};
  const std::size_t points = steps_of_all();
  for (std::size_t first = 0; first <= points; ++first) {
    for (std::size_t second = 0; second <= 14; ++second) {
      for (std::uint64_t seed = 0; seed < 6; ++seed) {
        const std::string where = at_point(first, seed) + numbered(", second ", second);
        MemoryDisk disk;
        DurableState state(disk, "s");
        disk.lose_power_at(first);
        const RunResult before = apply_all(state, {}, operations());
        disk.power_cycle(seed * 77 + first);
        DurableState again(disk, "s");
        const StoredState there = open_again(again, before, where);
        if (!there.there) continue;  // it would begin as a new disk does
        disk.lose_power_at(disk.step_count() + second);
        const RunResult then = apply_all(again, there, more);
        disk.power_cycle(seed * 131 + second);
        DurableState last(disk, "s");
        check_stored(open_again(last, then, where), then, where);
      }
    }
  }
}

// A killed process leaves its files as they are: the next one reads what was acknowledged, or what was
// attempted last.
TEST(DurableStateOnDisk, KilledAtEveryStep) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    MemoryDisk disk;
    DurableState state(disk, "s");
    disk.lose_power_at(point);
    const RunResult before = apply_all(state, {}, operations());
    disk.lose_power_at(MemoryDisk::no_step);
    DurableState again(disk, "s");
    check_stored(open_again(again, before, at_point(point, 0)), before, at_point(point, 0));
  }
}

// A disk that fails at one step and then works again, as one that was full: nothing is appended behind what
// the failure has left. Opened again, it holds what was acknowledged; a whole state written instead is what
// lasts.
TEST(DurableStateOnDisk, FailureOfOneStepAtEachPoint) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point < points; ++point) {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      MemoryDisk disk;
      DurableState state(disk, "s");
      disk.lose_power_at(point);
      const RunResult before = apply_all(state, {}, operations());
      disk.lose_power_at(MemoryDisk::no_step);
      CHECK_FALSE((Operation{false, "behind"}.apply(state).ok()));
      MemoryDisk other = disk;
      DurableState written(other, "s");
      const StoredState found = open_again(written, before, at_point(point, seed));
      check_stored(found, before, at_point(point, seed));
      CHECK_TRUE((Operation{true, "whole"}.apply(state).ok()));
      MemoryDisk dark = disk;
      dark.power_cycle(seed);
      DurableState lasting(dark, "s");
      const auto last = lasting.recover();
      CHECK_TRUE(last.ok() && last->checkpoint == "whole" && last->changes.empty());
      std::swap(disk, other);  // as it was before that
      const StoredState there = open_again(state, before, at_point(point, seed));
      check_stored(there, before, at_point(point, seed));
      const RunResult then =
          apply_all(state, there, {{true, "next"}, {false, "n1"}, {true, "last"}, {false, "l1"}});
      CHECK_TRUE(then.acknowledged.state == "last");
      disk.power_cycle(seed);
      DurableState again(disk, "s");
      check_stored(open_again(again, then, at_point(point, seed)), then, at_point(point, seed));
    }
  }
}

// A file that can't be read now: neither the older slot nor a log without its changes is the newest state.
TEST(DurableStateOnDisk, UnreadableFileIsNoOlderState) {
  class Unreadable final : public MemoryDisk {
   public:
    absl::StatusOr<std::string> read(const std::string& name) override {
      if (name == bad) return absl::InternalError(name);
      return MemoryDisk::read(name);
    }
    std::string bad;
  };
  Unreadable disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok() && state.write_checkpoint("second").ok() &&
             state.append_change("change").ok());
  for (const char* bad : {"s.slot1", "s.log1"}) {
    disk.bad = bad;
    DurableState again(disk, "s");
    CHECK_TRUE(absl::IsInternal(again.recover().status()));
    CHECK_FALSE(again.append_change("behind").ok() || again.write_checkpoint("over").ok());
  }
  disk.bad.clear();
  DurableState last(disk, "s");
  const auto got = last.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "second" && got->changes == std::vector<std::string>{"change"});
}

// A fault while it is opened: cutting the spoilt end of a log takes steps too.
TEST(DurableStateOnDisk, LossOfPowerWhileItOpens) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
      for (std::size_t step = 0; step < 3; ++step) {
        MemoryDisk disk;
        DurableState state(disk, "s");
        disk.lose_power_at(point);
        const RunResult before = apply_all(state, {}, operations());
        disk.power_cycle(seed);
        disk.lose_power_at(disk.step_count() + step);
        DurableState torn(disk, "s");
        (void)torn.recover();
        disk.power_cycle(seed + 7);
        DurableState again(disk, "s");
        check_stored(open_again(again, before, at_point(point, seed)), before, at_point(point, seed));
      }
    }
  }
}

TEST(DurableStateOnDisk, SpoiltRecordEndsTheLog) {
  for (std::size_t at = 0; at < 120; ++at) {
    MemoryDisk disk;
    DurableState state(disk, "s");
    CHECK_TRUE(state.write_checkpoint("state").ok());
    for (const char* change : {"first", "second", "third"}) CHECK_TRUE(state.append_change(change).ok());
    std::string log = *disk.read("s.log0");
    if (at >= log.size()) break;
    log[at] = static_cast<char>(log[at] ^ 0x10);
    CHECK_TRUE(disk.truncate("s.log0", 0).ok());
    CHECK_TRUE(disk.append("s.log0", log).ok());
    CHECK_TRUE(disk.sync("s.log0").ok());
    const std::size_t good = at / 22;  // of records: 16 bytes and the text; "first" has 21
    DurableState again(disk, "s");
    const auto got = again.recover();
    CHECK_TRUE(got.ok());
    CHECK_TRUE(got->changes.size() <= good + (at >= 21 ? 1 : 0));
    const std::vector<std::string> all = {"first", "second", "third"};
    for (std::size_t i = 0; i < got->changes.size(); ++i) CHECK_TRUE(got->changes[i] == all[i]);
    CHECK_TRUE(got->changes.size() < 3);
    // What is appended then is not hidden behind the spoilt bytes.
    CHECK_TRUE(again.append_change("behind").ok());
    DurableState last(disk, "s");
    const auto then = last.recover();
    CHECK_TRUE(then.ok());
    CHECK_EQUAL(got->changes.size() + 1, then->changes.size());
    CHECK_TRUE(then->changes.back() == "behind");
  }
}

TEST(DurableStateOnDisk, OlderSlotDoesNotWin) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok());
  CHECK_TRUE(state.append_change("old change").ok());
  CHECK_TRUE(state.write_checkpoint("second").ok());
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "second" && got->changes.empty());
  // And the other way round, where the newer one lies in the first slot.
  CHECK_TRUE(again.write_checkpoint("third").ok());
  DurableState last(disk, "s");
  const auto then = last.recover();
  CHECK_TRUE(then.ok() && then->checkpoint == "third" && then->changes.empty());
}

// The newer slot is spoilt on the disk: the older, good one is read with its own log.
TEST(DurableStateOnDisk, SpoiltSlotGivesWayToTheOlder) {
  for (std::size_t at = 0; at < 16 + 8 + 6; ++at) {
    MemoryDisk disk;
    DurableState state(disk, "s");
    CHECK_TRUE(state.write_checkpoint("first").ok());
    CHECK_TRUE(state.append_change("change").ok());
    CHECK_TRUE(state.write_checkpoint("second").ok());
    std::string slot = *disk.read("s.slot1");
    CHECK_EQUAL(static_cast<std::size_t>(30), slot.size());
    slot[at] = static_cast<char>(slot[at] ^ 1);
    CHECK_TRUE(disk.truncate("s.slot1", 0).ok() && disk.append("s.slot1", slot).ok());
    DurableState again(disk, "s");
    const auto got = again.recover();
    CHECK_TRUE(got.ok() && got->checkpoint == "first");
    CHECK_TRUE(got->changes == std::vector<std::string>{"change"});
  }
}

// Both spoilt: that is told, and is not taken for a new disk.
TEST(DurableStateOnDisk, BothSpoiltIsALoss) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok() && state.write_checkpoint("second").ok());
  for (const char* name : {"s.slot0", "s.slot1"}) CHECK_TRUE(disk.truncate(name, 20).ok());
  DurableState again(disk, "s");
  CHECK_TRUE(absl::IsDataLoss(again.recover().status()));
}

// A log that a lost cut has left beside a newer slot: its records are of an older state.
TEST(DurableStateOnDisk, RecordsOfAnOlderLogAreNotTaken) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok());
  CHECK_TRUE(state.append_change("of the first").ok());
  const std::string old_log = *disk.read("s.log0");
  CHECK_TRUE(state.write_checkpoint("second").ok());
  CHECK_TRUE(state.write_checkpoint("third").ok());  // into the slot beside that log
  CHECK_TRUE(disk.truncate("s.log0", 0).ok() && disk.append("s.log0", old_log).ok());
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "third");
  CHECK_TRUE(got->changes.empty());
  CHECK_TRUE(again.append_change("of the third").ok());
  DurableState last(disk, "s");
  const auto then = last.recover();
  CHECK_TRUE(then.ok() && then->changes == std::vector<std::string>{"of the third"});
}

TEST(DurableStateOnDisk, NamesDoNotMix) {
  MemoryDisk disk;
  DurableState a(disk, "a"), b(disk, "b");
  CHECK_TRUE(a.write_checkpoint("of a").ok() && b.write_checkpoint("of b").ok() &&
             a.append_change("to a").ok());
  DurableState again(disk, "b");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "of b" && got->changes.empty());
}

TEST_GROUP(DurableStateKilledThenPowerLoss){};

// A process is killed between a write and its sync. The next one reads what lies there and tells of it; a
// loss of power must not take it back then.
TEST(DurableStateKilledThenPowerLoss, WhatWasReadLasts) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
      MemoryDisk disk;
      DurableState state(disk, "s");
      disk.lose_power_at(point);
      const RunResult before = apply_all(state, {}, operations());
      disk.lose_power_at(MemoryDisk::no_step);  // killed: the files are as they were
      DurableState again(disk, "s");
      const auto first_read = again.recover();
      if (!first_read.ok()) continue;
      disk.power_cycle(seed);
      DurableState last(disk, "s");
      const auto got = last.recover();
      CHECK_WHERE(got.ok() && stored_state(*got) == stored_state(*first_read),
                  at_point(point, seed) + ": read " + stored_state(*first_read).text() + ", then " +
                      (got.ok() ? stored_state(*got).text() : got.status().ToString()));
    }
  }
}

namespace {

/// What a loss of power now would leave: what was acknowledged, or anything that was attempted since.
void check_loss_of_power_now(const MemoryDisk& disk, const StoredState& acknowledged,
                             const std::vector<StoredState>& attempted, const std::string& where) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    MemoryDisk cycled = disk;
    cycled.power_cycle(seed);
    DurableState again(cycled, "s");
    const auto got = again.recover();
    if (!got.ok()) {
      CHECK_WHERE(!acknowledged.there, where + ": lost, though acknowledged: " + got.status().ToString());
      continue;
    }
    const bool known = stored_state(*got) == acknowledged ||
                       std::find(attempted.begin(), attempted.end(), stored_state(*got)) != attempted.end();
    CHECK_WHERE(known, where + ": " + stored_state(*got).text() + "; acknowledged " + acknowledged.text());
  }
}

}  // namespace

TEST_GROUP(DurableStateFaults){};

// The disk is full, or syncs fail, at each step in turn and for some steps. The process goes on: each
// operation that failed is given again, as a whole state, until the disk takes it.
TEST(DurableStateFaults, GoesOnAfterAFaultAtEveryStep) {
  const std::size_t points = steps_of_all();
  for (const DiskFault fault :
       {DiskFault::full, DiskFault::sync_drops_writes, DiskFault::sync_outcome_unknown}) {
    for (std::size_t from = 0; from <= points; ++from) {
      for (const std::size_t length : {1, 2, 4, 9}) {
        const std::string where = numbered("fault ", static_cast<int>(fault)) + numbered(", from ", from) +
                                  numbered(", steps ", length);
        MemoryDisk disk;
        DurableState state(disk, "s");
        disk.inject_fault(fault, from, from + length);
        StoredState acknowledged;
        for (const Operation& operation : operations()) {
          std::vector<StoredState> attempted;
          Operation now = operation;
          for (int tries = 0;; ++tries) {
            CHECK_WHERE(tries < 12, where + ": the disk works, and the operation fails");
            if (state.needs_checkpoint() || !acknowledged.there)
              now = {true, "whole after " + operation.text};
            attempted.push_back(now.after(acknowledged));
            if (now.apply(state).ok()) break;
            check_loss_of_power_now(disk, acknowledged, attempted,
                                    where + ", failed " + operation.text.substr(0, 5));
          }
          acknowledged = attempted.back();
          check_loss_of_power_now(disk, acknowledged, {}, where + ", after " + operation.text.substr(0, 5));
        }
      }
    }
  }
}

// What a failed operation has left may be newer than what is in use: nothing may be appended behind that.
TEST(DurableStateFaults, NothingIsAppendedAfterAFailedOrder) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok());
  disk.inject_fault(DiskFault::sync_outcome_unknown, disk.step_count() + 4,
                    disk.step_count() + 5);  // the last step of a write
  CHECK_FALSE(state.write_checkpoint("second").ok());
  CHECK_TRUE(absl::IsFailedPrecondition(state.append_change("change of the first")));
  CHECK_TRUE(state.write_checkpoint("third").ok());
  CHECK_TRUE(state.append_change("change of the third").ok());
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "third");
  CHECK_TRUE(got->changes == std::vector<std::string>{"change of the third"});
}

// A start changes nothing that needs room: it succeeds on a full disk.
TEST(DurableStateFaults, OpensOnAFullDisk) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("state").ok() && state.append_change("change").ok());
  disk.inject_fault(DiskFault::full, disk.step_count(), disk.step_count() + 1000);
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "state" && got->changes.size() == 1);
  CHECK_FALSE(again.append_change("more").ok());
  CHECK_TRUE(again.needs_checkpoint());
}
