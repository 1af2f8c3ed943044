// DurableState on a disk that loses power, or whose process is killed, at every step in turn: what was
// reported as lasting is there, or the state that was being written; never a mix.
#include "common/disk.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "common/durable_state.hpp"
#include "common/memory_disk.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::common::Disk;
using chutevane::common::DiskFault;
using chutevane::common::DurableState;
using chutevane::common::frame_record;
using chutevane::common::MemoryDisk;
using chutevane::common::parse_frames;

namespace {

constexpr std::uint64_t lucks = 40;  // losses of power that are tried at each point

// What lies in the slots: a state and the changes behind it.
struct Held {
  bool there = false;
  std::string state;
  std::vector<std::string> changes;
  bool operator==(const Held&) const = default;
  std::string text() const {
    std::string out = there ? state.substr(0, 12) + numbered("/", state.size()) : "nothing";
    for (const std::string& c : changes) out += " + " + c.substr(0, 12);
    return out;
  }
};

Held held(const DurableState::Recovered& from) { return {true, from.checkpoint, from.changes}; }

// One order to the slots.
struct Order {
  bool whole = false;
  std::string text;
  Held after(Held before) const {
    if (whole) return {true, text, {}};
    before.changes.push_back(text);
    return before;
  }
  absl::Status give(DurableState& slots) const {
    return whole ? slots.write_checkpoint(text) : slots.append_change(text);
  }
};

// Long states, shorter ones over them, and logs of several records beside each.
const std::vector<Order>& orders() {
  static const std::vector<Order> all = {
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

// What is there after the orders up to the first that fails: what was reported, and what was tried last.
struct Run {
  Held sure, tried;
};

Run give_all(DurableState& slots, Held from, const std::vector<Order>& all) {
  Run out{from, from};
  for (const Order& order : all) {
    out.tried = order.after(out.sure);
    if (!order.give(slots).ok()) break;
    out.sure = out.tried;
  }
  return out;
}

std::size_t steps_of_all() {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  give_all(slots, {}, orders());
  return disk.step_count();
}

// Opens, and says what is there; a first write that was torn counts as nothing, it had told nobody.
Held open_again(DurableState& slots, const Run& before, const std::string& where) {
  const auto got = slots.recover();
  if (got.ok()) return held(*got);
  CHECK_TEXT(!before.sure.there, (where + ": lost, though reported: " + got.status().ToString()).c_str());
  return {};
}

void check_held(const Held& got, const Run& before, const std::string& where) {
  if (got == before.sure || got == before.tried) return;
  const std::string text =
      where + ": " + got.text() + "; reported " + before.sure.text() + "; tried " + before.tried.text();
  FAIL(text.c_str());
}

std::string place(std::size_t point, std::uint64_t luck) {
  return numbered("point ", point) + numbered(", luck ", luck);
}

}  // namespace

TEST_GROUP(DiskSlots){};

TEST(DiskSlots, NothingIsThereAtFirst) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(absl::IsNotFound(slots.recover().status()));
}

TEST(DiskSlots, WhatIsWrittenIsRead) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  const Run done = give_all(slots, {}, orders());
  CHECK_TRUE(done.sure == done.tried);
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok());
  CHECK_TRUE(held(*got) == done.sure);
}

// Guards what was reported against a loss of power at each step of writing, whatever becomes of what was not
// synced.
TEST(DiskSlots, LossOfPowerAtEveryStep) {
  const std::size_t points = steps_of_all();
  CHECK_TRUE(points > 30);
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t luck = 0; luck < lucks; ++luck) {
      MemoryDisk disk;
      DurableState slots(disk, "s");
      disk.lose_power_at(point);
      const Run before = give_all(slots, {}, orders());
      disk.power_cycle(luck);
      DurableState again(disk, "s");
      check_held(open_again(again, before, place(point, luck)), before, place(point, luck));
    }
  }
}

// The same disk goes on after a loss and loses power again: what the first loss left is no worse ground.
TEST(DiskSlots, SecondLossAtEveryStepAfterAFirst) {
  const std::vector<Order> more = {
      {false, "g1"}, {true, "five " + std::string(40, 'd')}, {false, "g2"}, {true, "six"}};
  const std::size_t points = steps_of_all();
  for (std::size_t first = 0; first <= points; ++first) {
    for (std::size_t second = 0; second <= 14; ++second) {
      for (std::uint64_t luck = 0; luck < 6; ++luck) {
        const std::string where = place(first, luck) + numbered(", second ", second);
        MemoryDisk disk;
        DurableState slots(disk, "s");
        disk.lose_power_at(first);
        const Run before = give_all(slots, {}, orders());
        disk.power_cycle(luck * 77 + first);
        DurableState again(disk, "s");
        const Held there = open_again(again, before, where);
        if (!there.there) continue;  // it would begin as a new disk does
        disk.lose_power_at(disk.step_count() + second);
        const Run then = give_all(again, there, more);
        disk.power_cycle(luck * 131 + second);
        DurableState last(disk, "s");
        check_held(open_again(last, then, where), then, where);
      }
    }
  }
}

// A killed process leaves its files as they are: the next one reads what was reported, or what was tried.
TEST(DiskSlots, KilledAtEveryStep) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    MemoryDisk disk;
    DurableState slots(disk, "s");
    disk.lose_power_at(point);
    const Run before = give_all(slots, {}, orders());
    disk.lose_power_at(MemoryDisk::no_step);
    DurableState again(disk, "s");
    check_held(open_again(again, before, place(point, 0)), before, place(point, 0));
  }
}

// A disk that fails at one step and then works again, as one that was full: nothing is appended behind what
// the failure has left. Opened again, it holds what was reported; a whole state written instead is what
// lasts.
TEST(DiskSlots, FailureOfOneStepAtEachPoint) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point < points; ++point) {
    for (std::uint64_t luck = 0; luck < 10; ++luck) {
      MemoryDisk disk;
      DurableState slots(disk, "s");
      disk.lose_power_at(point);
      const Run before = give_all(slots, {}, orders());
      disk.lose_power_at(MemoryDisk::no_step);
      CHECK_FALSE((Order{false, "behind"}.give(slots).ok()));
      MemoryDisk other = disk;
      DurableState written(other, "s");
      const Held found = open_again(written, before, place(point, luck));
      check_held(found, before, place(point, luck));
      CHECK_TRUE((Order{true, "whole"}.give(slots).ok()));
      MemoryDisk dark = disk;
      dark.power_cycle(luck);
      DurableState lasting(dark, "s");
      const auto last = lasting.recover();
      CHECK_TRUE(last.ok() && last->checkpoint == "whole" && last->changes.empty());
      std::swap(disk, other);  // as it was before that
      const Held there = open_again(slots, before, place(point, luck));
      check_held(there, before, place(point, luck));
      const Run then = give_all(slots, there, {{true, "next"}, {false, "n1"}, {true, "last"}, {false, "l1"}});
      CHECK_TRUE(then.sure.state == "last");
      disk.power_cycle(luck);
      DurableState again(disk, "s");
      check_held(open_again(again, then, place(point, luck)), then, place(point, luck));
    }
  }
}

// A file that can't be read now: neither the older slot nor a log without its changes is the newest state.
TEST(DiskSlots, UnreadableFileIsNoOlderState) {
  class Unreadable final : public MemoryDisk {
   public:
    absl::StatusOr<std::string> read(const std::string& name) override {
      if (name == bad) return absl::InternalError(name);
      return MemoryDisk::read(name);
    }
    std::string bad;
  };
  Unreadable disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("first").ok() && slots.write_checkpoint("second").ok() &&
             slots.append_change("change").ok());
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
TEST(DiskSlots, LossOfPowerWhileItOpens) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t luck = 0; luck < lucks; ++luck) {
      for (std::size_t step = 0; step < 3; ++step) {
        MemoryDisk disk;
        DurableState slots(disk, "s");
        disk.lose_power_at(point);
        const Run before = give_all(slots, {}, orders());
        disk.power_cycle(luck);
        disk.lose_power_at(disk.step_count() + step);
        DurableState torn(disk, "s");
        (void)torn.recover();
        disk.power_cycle(luck + 7);
        DurableState again(disk, "s");
        check_held(open_again(again, before, place(point, luck)), before, place(point, luck));
      }
    }
  }
}

TEST(DiskSlots, SpoiltRecordEndsTheLog) {
  for (std::size_t at = 0; at < 120; ++at) {
    MemoryDisk disk;
    DurableState slots(disk, "s");
    CHECK_TRUE(slots.write_checkpoint("state").ok());
    for (const char* change : {"first", "second", "third"}) CHECK_TRUE(slots.append_change(change).ok());
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

TEST(DiskSlots, OlderSlotDoesNotWin) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("first").ok());
  CHECK_TRUE(slots.append_change("old change").ok());
  CHECK_TRUE(slots.write_checkpoint("second").ok());
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
TEST(DiskSlots, SpoiltSlotGivesWayToTheOlder) {
  for (std::size_t at = 0; at < 16 + 8 + 6; ++at) {
    MemoryDisk disk;
    DurableState slots(disk, "s");
    CHECK_TRUE(slots.write_checkpoint("first").ok());
    CHECK_TRUE(slots.append_change("change").ok());
    CHECK_TRUE(slots.write_checkpoint("second").ok());
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
TEST(DiskSlots, BothSpoiltIsALoss) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("first").ok() && slots.write_checkpoint("second").ok());
  for (const char* name : {"s.slot0", "s.slot1"}) CHECK_TRUE(disk.truncate(name, 20).ok());
  DurableState again(disk, "s");
  CHECK_TRUE(absl::IsDataLoss(again.recover().status()));
}

// A log that a lost cut has left beside a newer slot: its records are of an older state.
TEST(DiskSlots, RecordsOfAnOlderLogAreNotTaken) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("first").ok());
  CHECK_TRUE(slots.append_change("of the first").ok());
  const std::string old_log = *disk.read("s.log0");
  CHECK_TRUE(slots.write_checkpoint("second").ok());
  CHECK_TRUE(slots.write_checkpoint("third").ok());  // into the slot beside that log
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

TEST(DiskSlots, NamesDoNotMix) {
  MemoryDisk disk;
  DurableState a(disk, "a"), b(disk, "b");
  CHECK_TRUE(a.write_checkpoint("of a").ok() && b.write_checkpoint("of b").ok() &&
             a.append_change("to a").ok());
  DurableState again(disk, "b");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "of b" && got->changes.empty());
}

TEST_GROUP(DiskFrames){};

// However a file of frames is cut, what is read is a beginning of what was written.
TEST(DiskFrames, CutAtEveryByte) {
  const std::vector<std::string> all = {"", "a", std::string(40, 'b'), "cc"};
  std::string file;
  std::vector<std::size_t> ends;
  for (const std::string& one : all) {
    file += frame_record(one, 5);
    ends.push_back(file.size());
  }
  for (std::size_t cut = 0; cut <= file.size(); ++cut) {
    std::size_t whole = 0;
    while (whole < ends.size() && ends[whole] <= cut) ++whole;
    const auto [got, size] = parse_frames(std::string_view(file).substr(0, cut), 5);
    CHECK_EQUAL(whole, got.size());
    for (std::size_t i = 0; i < got.size(); ++i) CHECK_TRUE(got[i] == all[i]);
    CHECK_EQUAL(whole > 0 ? ends[whole - 1] : 0, size);
  }
}

TEST(DiskFrames, AnotherSaltReadsNothing) {
  CHECK_TRUE(parse_frames(frame_record("record", 5), 6).records.empty());
}

TEST(DiskFrames, ZerosAndNoiseAreNoRecords) {
  CHECK_TRUE(parse_frames(std::string(4096, '\0'), 7).records.empty());
  chutevane::simulated::RandomSource luck(3);
  for (int n = 0; n < 2000; ++n) {
    std::string noise(luck.below(200), '\0');
    for (char& c : noise) c = static_cast<char>(luck.next());
    CHECK_TRUE(parse_frames(noise, 7).records.empty());
  }
}

TEST_GROUP(DiskSlotsKilledThenDark){};

// A process is killed between a write and its sync. The next one reads what lies there and tells of it; a
// loss of power must not take it back then.
TEST(DiskSlotsKilledThenDark, WhatWasReadLasts) {
  const std::size_t points = steps_of_all();
  for (std::size_t point = 0; point <= points; ++point) {
    for (std::uint64_t luck = 0; luck < lucks; ++luck) {
      MemoryDisk disk;
      DurableState slots(disk, "s");
      disk.lose_power_at(point);
      const Run before = give_all(slots, {}, orders());
      disk.lose_power_at(MemoryDisk::no_step);  // killed: the files are as they were
      DurableState again(disk, "s");
      const auto told = again.recover();
      if (!told.ok()) continue;
      disk.power_cycle(luck);
      DurableState last(disk, "s");
      const auto got = last.recover();
      CHECK_WHERE(got.ok() && held(*got) == held(*told),
                  place(point, luck) + ": told " + held(*told).text() + ", then " +
                      (got.ok() ? held(*got).text() : got.status().ToString()));
    }
  }
}

TEST_GROUP(DiskSlotsFaults){
    // What may be read after a loss of power now: what was reported, or anything that was tried since.
    static void check_now(const MemoryDisk& disk, const Held& sure, const std::vector<Held>& tried,
                          const std::string& where){
        for (std::uint64_t luck = 0; luck < 6; ++luck){MemoryDisk dark = disk;
dark.power_cycle(luck);
DurableState again(dark, "s");
const auto got = again.recover();
if (!got.ok()) {
  CHECK_WHERE(!sure.there, where + ": lost, though reported: " + got.status().ToString());
  continue;
}
const bool known = held(*got) == sure || std::find(tried.begin(), tried.end(), held(*got)) != tried.end();
CHECK_WHERE(known, where + ": " + held(*got).text() + "; reported " + sure.text());
}
}
}
;

// The disk is full, or syncs fail, at each step in turn and for some steps. The process goes on: each order
// that failed is given again, as a whole state, until the disk takes it.
TEST(DiskSlotsFaults, GoesOnAfterAFaultAtEveryStep) {
  const std::size_t points = steps_of_all();
  for (const DiskFault fault :
       {DiskFault::full, DiskFault::sync_drops_writes, DiskFault::sync_outcome_unknown}) {
    for (std::size_t from = 0; from <= points; ++from) {
      for (const std::size_t length : {1, 2, 4, 9}) {
        const std::string where = numbered("fault ", static_cast<int>(fault)) + numbered(", from ", from) +
                                  numbered(", steps ", length);
        MemoryDisk disk;
        DurableState slots(disk, "s");
        disk.inject_fault(fault, from, from + length);
        Held sure;
        for (const Order& order : orders()) {
          std::vector<Held> tried;
          Order now = order;
          for (int tries = 0;; ++tries) {
            CHECK_WHERE(tries < 12, where + ": the disk works, and the order fails");
            if (slots.needs_checkpoint() || !sure.there) now = {true, "whole after " + order.text};
            tried.push_back(now.after(sure));
            if (now.give(slots).ok()) break;
            check_now(disk, sure, tried, where + ", failed " + order.text.substr(0, 5));
          }
          sure = tried.back();
          check_now(disk, sure, {}, where + ", after " + order.text.substr(0, 5));
        }
      }
    }
  }
}

// What a failed order has left may be newer than what is in use: nothing may be appended behind that.
TEST(DiskSlotsFaults, NothingIsAppendedAfterAFailedOrder) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("first").ok());
  disk.inject_fault(DiskFault::sync_outcome_unknown, disk.step_count() + 4,
                    disk.step_count() + 5);  // the last step of a write
  CHECK_FALSE(slots.write_checkpoint("second").ok());
  CHECK_TRUE(absl::IsFailedPrecondition(slots.append_change("change of the first")));
  CHECK_TRUE(slots.write_checkpoint("third").ok());
  CHECK_TRUE(slots.append_change("change of the third").ok());
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "third");
  CHECK_TRUE(got->changes == std::vector<std::string>{"change of the third"});
}

// A start changes nothing that needs room: it succeeds on a full disk.
TEST(DiskSlotsFaults, OpensOnAFullDisk) {
  MemoryDisk disk;
  DurableState slots(disk, "s");
  CHECK_TRUE(slots.write_checkpoint("state").ok() && slots.append_change("change").ok());
  disk.inject_fault(DiskFault::full, disk.step_count(), disk.step_count() + 1000);
  DurableState again(disk, "s");
  const auto got = again.recover();
  CHECK_TRUE(got.ok() && got->checkpoint == "state" && got->changes.size() == 1);
  CHECK_FALSE(again.append_change("more").ok());
  CHECK_TRUE(again.needs_checkpoint());
}

// ---- names in the folder

TEST_GROUP(DiskNames){};

// A file that was removed comes back at some losses of power, unless a new file was synced since.
TEST(DiskNames, RemovedFilesMayComeBackUntilASync) {
  std::size_t back = 0;
  for (std::uint64_t luck = 0; luck < lucks; ++luck) {
    MemoryDisk disk;
    CHECK_TRUE(disk.append("a", "one").ok() && disk.sync("a").ok() && disk.remove("a").ok());
    CHECK_FALSE(disk.read("a").ok());
    disk.power_cycle(luck * 0x9e3779b97f4a7c15ULL);  // small ones draw alike at first
    if (!disk.read("a").ok()) continue;
    ++back;
    CHECK_TRUE(*disk.read("a") == "one");
  }
  CHECK_TRUE(back > 0 && back < lucks);
  for (std::uint64_t luck = 0; luck < lucks; ++luck) {
    MemoryDisk disk;
    CHECK_TRUE(disk.append("a", "one").ok() && disk.sync("a").ok() && disk.remove("a").ok());
    CHECK_TRUE(disk.append("b", "two").ok() && disk.sync("b").ok());
    disk.power_cycle(luck * 0x9e3779b97f4a7c15ULL);
    CHECK_FALSE(disk.read("a").ok());
    CHECK_TRUE(*disk.read("b") == "two");
  }
}
