#include "ctl/folder.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "control/acceptor.hpp"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/memory_disk.hpp"
#include "played.hpp"
#include "storage/store.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

namespace {

// Fails every change: a look at it would be seen.
class Untouched final : public common::Disk {
 public:
  explicit Untouched(common::Disk& below) : below_(below) {}
  std::vector<std::string> list_files() override { return below_.list_files(); }
  absl::StatusOr<std::string> read(const std::string& name) override { return below_.read(name); }
  absl::Status append(const std::string&, std::string_view) override { return touched(); }
  absl::Status truncate(const std::string&, std::size_t) override { return touched(); }
  absl::Status sync(const std::string&) override { return touched(); }
  absl::Status remove(const std::string&) override { return touched(); }
  int changes = 0;

 private:
  absl::Status touched() {
    ++changes;
    return absl::InternalError("changed");
  }
  common::Disk& below_;
};

}  // namespace

TEST_GROUP(folder) {
  common::MemoryDisk disk;
  Holdings look() {
    Untouched guarded(disk);
    auto snapshot = Snapshot::of(guarded);
    CHECK(snapshot.ok());
    auto out = holdings_of(*std::move(snapshot));
    LONGS_EQUAL(0, guarded.changes);
    CHECK(out.ok());
    return *std::move(out);
  }
  std::string text(const std::string& name) { return *disk.read(name); }
  void write_controller() {
    common::DurableState slots(disk, "control");
    common::ControllerRecord record;
    record.disk = "d1";
    record.first = true;
    record.known.number = 7;
    CHECK(slots.write_checkpoint(common::encoded(record)).ok());
    record.known.number = 8;
    CHECK(slots.append_change(common::encoded(record)).ok());
  }
  void write_acceptor() {
    control::DurableAcceptor state(disk, "10.0.0.1:1", "d1", true);
    CHECK(state.open().ok());
    common::Prepare prepare;
    prepare.initial = control::first_epoch_value({{"10.0.0.1:1", ""}});
    prepare.epoch = 1;
    prepare.ballot = {3, 0xabc};
    CHECK(state.prepare(prepare).ok());
    common::Accept accept;
    accept.epoch = 1;
    accept.ballot = {3, 0xabc};
    accept.value = prepare.initial;
    accept.value.number = 12;
    accept.value.config_version = 5;
    CHECK(state.accept(accept).ok());
  }
  void write_store() {
    storage::Store store(disk, 1U << 20U);
    CHECK(store.open(TimePoint::at_ms(0)).ok());
    store.reserve("p", "x", 100, TimePoint::at_ms(0));
    store.settle("p", "x", 60, TimePoint::at_ms(0));
    common::Turn turn;
    turn.id = "t1";
    turn.program = "p";
    turn.input.data = "in";
    turn.output.data = "out";
    turn.retention_ms = 1000;
    CHECK(store.keep(turn, TimePoint::at_ms(0)));
    CHECK(store.commit(TimePoint::at_ms(0)).ok());
    turn.id = "t2";
    turn.previous = "t1";
    CHECK(store.keep(turn, TimePoint::at_ms(0)));
    CHECK(store.commit(TimePoint::at_ms(0)).ok());
  }
};

TEST(folder, an_empty_one_holds_nothing) {
  const Holdings got = look();
  CHECK(got.has_acceptor == Presence::none);
  CHECK(got.has_controller == Presence::none);
  CHECK(got.has_storage_node == Presence::none);
  LONGS_EQUAL(0, got.turns.size());
  LONGS_EQUAL(0, got.torn.size());
}

TEST(folder, records_of_a_controller) {
  write_controller();
  write_acceptor();
  const Holdings got = look();
  CHECK(got.has_controller == Presence::whole);
  STRCMP_EQUAL("d1", got.controller.disk.c_str());
  LONGS_EQUAL(8, got.controller.known.number);  // with what its log adds
  CHECK(got.has_acceptor == Presence::whole);
  LONGS_EQUAL(1, got.acceptor.epoch);
  LONGS_EQUAL(3, got.acceptor.promised.round);
  LONGS_EQUAL(12, got.acceptor.value.number);
  LONGS_EQUAL(5, got.acceptor.value.config_version);
  LONGS_EQUAL(0, got.torn.size());
  LONGS_EQUAL(0, got.unknown.size());
}

TEST(folder, turns_and_accounts) {
  write_store();
  const Holdings got = look();
  LONGS_EQUAL(2, got.turns.size());
  STRCMP_EQUAL("t1", got.turns[1].previous.c_str());
  LONGS_EQUAL(1, got.accounts.size());
  LONGS_EQUAL(60, got.accounts[0].entries[0].tokens);
  CHECK(got.accounts[0].entries[0].committed);
  LONGS_EQUAL(1, got.segments.size());
  LONGS_EQUAL(4, got.segments[0].records);  // reserved, settled, two turns
}

TEST(folder, a_log_torn_at_any_byte_is_told_and_left) {
  write_controller();
  const std::string log = "control.log0", whole = text(log);
  for (std::size_t size = 1; size < whole.size(); ++size) {
    CHECK(disk.truncate(log, 0).ok());
    CHECK(disk.append(log, whole.substr(0, size)).ok());
    const Holdings got = look();
    CHECK(got.has_controller == Presence::whole);
    LONGS_EQUAL(7, got.controller.known.number);
    LONGS_EQUAL(1, got.torn.size());
    STRCMP_EQUAL(log.c_str(), got.torn[0].file.c_str());
    LONGS_EQUAL(0, got.torn[0].at);
    LONGS_EQUAL(size, got.torn[0].bytes);
    LONGS_EQUAL(size, text(log).size());
  }
}

TEST(folder, a_segment_torn_at_any_byte_keeps_what_was_whole) {
  write_store();
  const std::string whole = text("turns.1");
  std::size_t most = 0;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK(disk.truncate("turns.1", 0).ok());
    CHECK(disk.append("turns.1", whole.substr(0, size)).ok());
    const Holdings got = look();
    CHECK(got.turns.size() >= most);
    CHECK(got.turns.size() < 2);
    most = got.turns.size();
    if (got.torn.empty()) continue;  // just between two records
    LONGS_EQUAL(size, got.torn[0].at + got.torn[0].bytes);
    LONGS_EQUAL(size, text("turns.1").size());
  }
  LONGS_EQUAL(1, most);
}

TEST(folder, a_slot_whose_writing_was_cut_short_leaves_the_older_one) {
  write_controller();
  CHECK(disk.append("control.slot1", "torn").ok());
  const Holdings got = look();
  CHECK(got.has_controller == Presence::whole);
  LONGS_EQUAL(8, got.controller.known.number);
  LONGS_EQUAL(1, got.torn.size());
  STRCMP_EQUAL("control.slot1", got.torn[0].file.c_str());
}

TEST(folder, a_record_that_was_there_and_is_not_is_lost) {
  CHECK(disk.append("acceptor.slot0", "spoilt").ok());
  CHECK(look().has_acceptor == Presence::lost);
  CHECK(look().has_controller == Presence::none);
}

TEST(folder, strange_files_are_named) {
  CHECK(disk.append("core.123", "x").ok());
  const Holdings got = look();
  LONGS_EQUAL(1, got.unknown.size());
  STRCMP_EQUAL("core.123", got.unknown[0].c_str());
}

// Such a file stood in for segment 7 and kept the storage node from starting where that one was gone.
TEST(folder, a_strange_name_is_no_segment) {
  write_store();
  for (const std::string name :
       {"turns.7.old", "turns.7x", "turns.", "turns.x", "turns.007", "turns.99999999999999999999"}) {
    CHECK(!storage::Store::segment_of(name).has_value());
    CHECK(disk.append(name, "x").ok());
  }
  storage::Store store(disk, 1U << 20U);
  CHECK(store.open(TimePoint::at_ms(0)).ok());
  LONGS_EQUAL(2, store.turns());
  LONGS_EQUAL(6, look().unknown.size());
}

TEST(folder, disk_show_and_turns_on_a_real_folder_write_nothing) {
  char name[] = "/tmp/ctl-folder-XXXXXX";
  const std::string path = ::mkdtemp(name);
  {
    write_controller();
    write_store();
    for (const std::string& file : disk.list_files())
      std::ofstream(path + "/" + file, std::ios::binary) << text(file);
    std::ofstream(path + "/turns.1", std::ios::binary | std::ios::app) << "torn";
    ::chmod((path + "/turns.1").c_str(), 0444);
  }
  Played played;
  LONGS_EQUAL(0, played.run({"disk", "show", path}));
  CHECK(played.out.str().find("4 bytes behind byte") != std::string::npos);
  CHECK(played.out.str().find("turns                 ") == std::string::npos);
  LONGS_EQUAL(0, played.run({"disk", "show", path, "--json"}));
  CHECK(played.out.str().find("\"torn\":[{\"file\":\"turns.1\"") != std::string::npos);
  LONGS_EQUAL(0, played.run({"turns", path, "--program", "p"}));
  CHECK(played.out.str().find("t2") != std::string::npos);
  LONGS_EQUAL(0, played.run({"turns", path, "--program", "q", "--json"}));
  STRCMP_EQUAL("{\"turns\":[],\"accounts\":[]}\n", played.out.str().c_str());
  struct stat info {};
  LONGS_EQUAL(0, ::stat((path + "/turns.1").c_str(), &info));
  LONGS_EQUAL(text("turns.1").size() + 4, info.st_size);
  auto snapshot = Snapshot::of_folder(path);
  CHECK(snapshot.ok());
  CHECK(!snapshot->moving());
  LONGS_EQUAL(disk.list_files().size(), snapshot->list_files().size());
  for (const std::string& file : disk.list_files()) ::unlink((path + "/" + file).c_str());
  LONGS_EQUAL(0, ::rmdir(path.c_str()));
  LONGS_EQUAL(2, played.run({"disk", "show", path}));
  CHECK(played.err.str().find(path) != std::string::npos);
}
