/// DurableState with a power failure, or a killed process, at every step: recovery finds what was
/// acknowledged or the state that was being written, never a mix.
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

constexpr std::uint64_t power_cycle_seeds = 40;  // tried at each step

/// A recovered state: the checkpoint and the changes since. `exists` is false if nothing was stored.
struct StoredState {
  bool exists = false;
  std::string state;
  std::vector<std::string> changes;
  bool operator==(const StoredState&) const = default;
  std::string text() const {
    std::string out = exists ? state.substr(0, 12) + numbered("/", state.size()) : "nothing";
    for (const std::string& c : changes) out += " + " + c.substr(0, 12);
    return out;
  }
};

StoredState stored_state(const DurableState::Recovered& from) {
  return {true, from.checkpoint, from.changes};
}

/// A checkpoint or a change.
struct Operation {
  bool is_checkpoint = false;
  std::string text;
  /// Returns the state that results if the operation is applied to `before`.
  StoredState after(StoredState before) const {
    if (is_checkpoint) return {true, text, {}};
    before.changes.push_back(text);
    return before;
  }
  absl::Status apply(DurableState& state) const {
    return is_checkpoint ? state.write_checkpoint(text) : state.append_change(text);
  }
};

/// Long states that are replaced by shorter ones, and logs with several records.
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

/// The result of running operations up to the first one that fails: the last acknowledged state, and the
/// state that was attempted last.
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

std::size_t step_count_of_operations() {
  MemoryDisk disk;
  DurableState state(disk, "s");
  apply_all(state, {}, operations());
  return disk.step_count();
}

/// Recovers a state. A torn first checkpoint counts as no state, since it was not acknowledged.
StoredState recover_or_empty(DurableState& state, const RunResult& before, const std::string& where) {
  const auto got = state.recover();
  if (got.ok()) return stored_state(*got);
  CHECK_TEXT(!before.acknowledged.exists,
             (where + ": an acknowledged state was lost: " + got.status().ToString()).c_str());
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

TEST(DurableStateOnDisk, NewDiskHasNoState) {
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

// Guards against losing an acknowledged state by a power failure at any step, whichever unsynced writes
// survive.
TEST(DurableStateOnDisk, PowerFailureAtEveryStep) {
  const std::size_t points = step_count_of_operations();
  CHECK_TRUE(points > 30);
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
      MemoryDisk disk;
      DurableState state(disk, "s");
      disk.lose_power_at(point);
      const RunResult before = apply_all(state, {}, operations());
      disk.power_cycle(seed);
      DurableState again(disk, "s");
      check_stored(recover_or_empty(again, before, at_point(point, seed)), before, at_point(point, seed));
    }
  }
}

// Guards against a second power failure after the first: the remains of the first must not corrupt the state.
TEST(DurableStateOnDisk, SecondPowerFailureAtEveryStep) {
  const std::vector<Operation> more = {
      {false, "g1"}, {true, "five " + std::string(40, 'd')}, {false, "g2"}, {true, "six"}};
  const std::size_t points = step_count_of_operations();
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
        const StoredState recovered = recover_or_empty(again, before, where);
        if (!recovered.exists) continue;  // as with a new disk
        disk.lose_power_at(disk.step_count() + second);
        const RunResult then = apply_all(again, recovered, more);
        disk.power_cycle(seed * 131 + second);
        DurableState last(disk, "s");
        check_stored(recover_or_empty(last, then, where), then, where);
      }
    }
  }
}

// A killed process leaves its files as they are: the next process reads what was acknowledged, or what was
// attempted last.
TEST(DurableStateOnDisk, KilledAtEveryStep) {
  const std::size_t points = step_count_of_operations();
  for (std::size_t point = 0; point <= points; ++point) {
    MemoryDisk disk;
    DurableState state(disk, "s");
    disk.lose_power_at(point);
    const RunResult before = apply_all(state, {}, operations());
    disk.lose_power_at(MemoryDisk::no_step);
    DurableState again(disk, "s");
    check_stored(recover_or_empty(again, before, at_point(point, 0)), before, at_point(point, 0));
  }
}

// A disk that fails at one step and then works again, like one that was full: no change is appended after the
// remains of the failed operation. Recovery finds what was acknowledged, or the checkpoint that was written
// afterwards.
TEST(DurableStateOnDisk, FailureOfOneStepAtEachPoint) {
  const std::size_t points = step_count_of_operations();
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
      const StoredState found = recover_or_empty(written, before, at_point(point, seed));
      check_stored(found, before, at_point(point, seed));
      CHECK_TRUE((Operation{true, "whole"}.apply(state).ok()));
      MemoryDisk dark = disk;
      dark.power_cycle(seed);
      DurableState lasting(dark, "s");
      const auto last = lasting.recover();
      CHECK_TRUE(last.ok() && last->checkpoint == "whole" && last->changes.empty());
      std::swap(disk, other);  // the disk before the checkpoint "whole"
      const StoredState recovered = recover_or_empty(state, before, at_point(point, seed));
      check_stored(recovered, before, at_point(point, seed));
      const RunResult then =
          apply_all(state, recovered, {{true, "next"}, {false, "n1"}, {true, "last"}, {false, "l1"}});
      CHECK_TRUE(then.acknowledged.state == "last");
      disk.power_cycle(seed);
      DurableState again(disk, "s");
      check_stored(recover_or_empty(again, then, at_point(point, seed)), then, at_point(point, seed));
    }
  }
}

// Guards against recovering an outdated state while a file cannot be read: neither the older slot nor the
// checkpoint without its changes is the newest state.
TEST(DurableStateOnDisk, UnreadableFileIsAnError) {
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

// Power failure during recovery, which may truncate the damaged end of a log.
TEST(DurableStateOnDisk, PowerFailureDuringRecovery) {
  const std::size_t points = step_count_of_operations();
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
        check_stored(recover_or_empty(again, before, at_point(point, seed)), before, at_point(point, seed));
      }
    }
  }
}

TEST(DurableStateOnDisk, DamagedRecordEndsTheLog) {
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
    // Records before the damage: each takes 16 bytes and its text; "first" takes 21.
    const std::size_t good = at / 22;
    DurableState again(disk, "s");
    const auto got = again.recover();
    CHECK_TRUE(got.ok());
    CHECK_TRUE(got->changes.size() <= good + (at >= 21 ? 1 : 0));
    const std::vector<std::string> all = {"first", "second", "third"};
    for (std::size_t i = 0; i < got->changes.size(); ++i) CHECK_TRUE(got->changes[i] == all[i]);
    CHECK_TRUE(got->changes.size() < 3);
    // A change appended afterwards is not hidden by the damaged bytes.
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
  // The same with the newer checkpoint in the first slot.
  CHECK_TRUE(again.write_checkpoint("third").ok());
  DurableState last(disk, "s");
  const auto then = last.recover();
  CHECK_TRUE(then.ok() && then->checkpoint == "third" && then->changes.empty());
}

// If the newer slot is damaged, the older one is recovered with its own log.
TEST(DurableStateOnDisk, DamagedSlotFallsBackToTheOlder) {
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

// Guards against treating a disk with two damaged slots as a new one.
TEST(DurableStateOnDisk, TwoDamagedSlotsAreDataLoss) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok() && state.write_checkpoint("second").ok());
  for (const char* name : {"s.slot0", "s.slot1"}) CHECK_TRUE(disk.truncate(name, 20).ok());
  DurableState again(disk, "s");
  CHECK_TRUE(absl::IsDataLoss(again.recover().status()));
}

// Guards against applying an old log to a newer checkpoint, which could happen if a power failure undoes the
// truncation of the log.
TEST(DurableStateOnDisk, RecordsOfAnOlderLogAreIgnored) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok());
  CHECK_TRUE(state.append_change("of the first").ok());
  const std::string old_log = *disk.read("s.log0");
  CHECK_TRUE(state.write_checkpoint("second").ok());
  CHECK_TRUE(state.write_checkpoint("third").ok());  // written to the slot of that log
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

// A process is killed between a write and its sync, and the next process recovers the written state. A later
// power failure must not undo that state, since it may have been reported.
TEST(DurableStateKilledThenPowerLoss, WhatWasReadLasts) {
  const std::size_t points = step_count_of_operations();
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
      MemoryDisk disk;
      DurableState state(disk, "s");
      disk.lose_power_at(point);
      const RunResult before = apply_all(state, {}, operations());
      disk.lose_power_at(MemoryDisk::no_step);  // killed: the files remain unchanged
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

/// Checks that a power failure now would leave what was acknowledged or one of the states attempted since.
void check_power_failure_now(const MemoryDisk& disk, const StoredState& acknowledged,
                             const std::vector<StoredState>& attempted, const std::string& where) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    MemoryDisk cycled = disk;
    cycled.power_cycle(seed);
    DurableState again(cycled, "s");
    const auto got = again.recover();
    if (!got.ok()) {
      CHECK_WHERE(!acknowledged.exists,
                  where + ": an acknowledged state was lost: " + got.status().ToString());
      continue;
    }
    const bool known = stored_state(*got) == acknowledged ||
                       std::find(attempted.begin(), attempted.end(), stored_state(*got)) != attempted.end();
    CHECK_WHERE(known, where + ": " + stored_state(*got).text() + "; acknowledged " + acknowledged.text());
  }
}

}  // namespace

TEST_GROUP(DurableStateFaults){};

// The disk is full, or syncs fail, for some steps from each step on. The process continues: each failed
// operation is repeated as a checkpoint until it succeeds.
TEST(DurableStateFaults, ContinuesAfterAFaultAtEveryStep) {
  const std::size_t points = step_count_of_operations();
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
            CHECK_WHERE(tries < 12, where + ": the operation still fails after the fault has ended");
            if (state.needs_checkpoint() || !acknowledged.exists)
              now = {true, "whole after " + operation.text};
            attempted.push_back(now.after(acknowledged));
            if (now.apply(state).ok()) break;
            check_power_failure_now(disk, acknowledged, attempted,
                                    where + ", failed " + operation.text.substr(0, 5));
          }
          acknowledged = attempted.back();
          check_power_failure_now(disk, acknowledged, {}, where + ", after " + operation.text.substr(0, 5));
        }
      }
    }
  }
}

// Guards against appending a change after a failed checkpoint: recovery might choose that checkpoint, and
// lose the change.
TEST(DurableStateFaults, NothingIsAppendedAfterAFailedCheckpoint) {
  MemoryDisk disk;
  DurableState state(disk, "s");
  CHECK_TRUE(state.write_checkpoint("first").ok());
  disk.inject_fault(DiskFault::sync_outcome_unknown, disk.step_count() + 4,
                    disk.step_count() + 5);  // the last step of a checkpoint
  CHECK_FALSE(state.write_checkpoint("second").ok());
  CHECK_TRUE(absl::IsFailedPrecondition(state.append_change("change of the first")));
  CHECK_TRUE(state.write_checkpoint("third").ok());
  CHECK_TRUE(state.append_change("change of the third").ok());
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "third");
  CHECK_TRUE(got->changes == std::vector<std::string>{"change of the third"});
}

// Recovery needs no disk space, so it succeeds on a full disk.
TEST(DurableStateFaults, RecoversOnAFullDisk) {
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
