#include "ctl/data_folder.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/memory_disk.hpp"
#include "control/acceptor.hpp"
#include "scripted_control.hpp"
#include "storage/replica_store.hpp"

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

TEST_GROUP(data_folder) {
  common::MemoryDisk disk;
  FolderContents contents() {
    Untouched guarded(disk);
    auto snapshot = DiskSnapshot::of(guarded);
    CHECK(snapshot.ok());
    auto out = read_contents(*std::move(snapshot));
    LONGS_EQUAL(0, guarded.changes);
    CHECK(out.ok());
    return *std::move(out);
  }
  std::string text(const std::string& name) { return *disk.read(name); }
  void write_controller() {
    common::DurableState state(disk, "control");
    common::ControllerRecord record;
    record.disk = "d1";
    record.first = true;
    record.known.number = 7;
    CHECK(state.write_checkpoint(common::encoded(record)).ok());
    record.known.number = 8;
    CHECK(state.append_change(common::encoded(record)).ok());
  }
  void write_coordination() {
    control::DurableAcceptor state(disk, {"10.0.0.1:1", "d1", true}, "coordination",
                                   control::AcceptorLogForm::changes);
    CHECK(state.open().ok());
    common::Prepare prepare;
    prepare.initial = control::first_epoch_value({{"10.0.0.1:1", ""}});
    prepare.epoch = 1;
    prepare.ballot = {3, 0xabc};
    CHECK(state.prepare(prepare).ok());  // it enters the epoch: a checkpoint
    prepare.ballot = {4, 0xabc};
    CHECK(state.prepare(prepare).ok());
    common::Accept accept;
    accept.epoch = 1;
    accept.ballot = prepare.ballot;
    accept.value = prepare.initial;
    accept.value.number = 2;
    CHECK(state.accept(accept).ok());
  }
  void write_acceptor() {
    control::DurableAcceptor state(disk, {"10.0.0.1:1", "d1", true});
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
    storage::ReplicaStore store(disk, 1U << 20U);
    CHECK(store.recover(TimePoint::at_ms(0)).ok());
    store.reserve("p", "x", 100, TimePoint::at_ms(0));
    store.commit_usage("p", "x", 60, TimePoint::at_ms(0));
    common::Turn turn;
    turn.id = "t1";
    turn.program = "p";
    turn.input.data = "in";
    turn.output.data = "out";
    turn.retention_ms = 1000;
    CHECK(store.store_turn(turn, TimePoint::at_ms(0)));
    CHECK(store.commit(TimePoint::at_ms(0)).ok());
    turn.id = "t2";
    turn.previous = "t1";
    CHECK(store.store_turn(turn, TimePoint::at_ms(0)));
    CHECK(store.commit(TimePoint::at_ms(0)).ok());
  }
};

TEST(data_folder, an_empty_one_holds_nothing) {
  const FolderContents got = contents();
  CHECK(got.acceptor_state == RecordState::absent);
  CHECK(got.controller_state == RecordState::absent);
  CHECK(got.storage_node_state == RecordState::absent);
  LONGS_EQUAL(0, got.turns.size());
  LONGS_EQUAL(0, got.torn_tails.size());
}

TEST(data_folder, records_of_a_controller) {
  write_controller();
  write_acceptor();
  const FolderContents got = contents();
  CHECK(got.controller_state == RecordState::readable);
  STRCMP_EQUAL("d1", got.controller.disk.c_str());
  LONGS_EQUAL(8, got.controller.known.number);  // with what its log adds
  CHECK(got.acceptor_state == RecordState::readable);
  LONGS_EQUAL(1, got.acceptor.epoch);
  LONGS_EQUAL(3, got.acceptor.promised.round);
  LONGS_EQUAL(12, got.acceptor.value.number);
  LONGS_EQUAL(5, got.acceptor.value.config_version);
  LONGS_EQUAL(0, got.torn_tails.size());
  LONGS_EQUAL(0, got.unknown_files.size());
}

TEST(data_folder, the_acceptor_of_the_coordination_register) {
  write_coordination();
  const FolderContents got = contents();
  CHECK(got.coordination_state == RecordState::readable);
  LONGS_EQUAL(1, got.coordination.epoch);
  LONGS_EQUAL(2, got.coordination_changes);  // a promise, and a value accepted
  CHECK(got.acceptor_state == RecordState::absent);
  LONGS_EQUAL(0, got.torn_tails.size());
  LONGS_EQUAL(0, got.unknown_files.size());
}

TEST(data_folder, a_change_of_the_coordination_register_torn_at_any_byte_is_told_and_left) {
  write_coordination();
  const std::string log = "coordination.log0", whole = text(log);
  for (std::size_t size = 1; size < whole.size(); ++size) {
    CHECK(disk.truncate(log, 0).ok());
    CHECK(disk.append(log, whole.substr(0, size)).ok());
    const FolderContents got = contents();
    CHECK(got.coordination_state == RecordState::readable);
    CHECK(got.coordination_changes < 2);
    LONGS_EQUAL(size, text(log).size());
  }
}

TEST(data_folder, a_change_of_the_coordination_register_that_is_none_is_unreadable) {
  write_coordination();
  common::DurableState state(disk, "coordination");
  CHECK(state.recover().ok());
  CHECK(state.append_change("noise").ok());
  CHECK(contents().coordination_state == RecordState::unreadable);
}

TEST(data_folder, each_state_of_the_tier_is_known_by_its_files) {
  for (const char* const name :
       {"acceptor", "control", "coordination", "coordination-epoch", "map", "storage"})
    CHECK(common::DurableState(disk, name).write_checkpoint("x").ok());
  LONGS_EQUAL(0, contents().unknown_files.size());
}

TEST(data_folder, turns_and_accounts) {
  write_store();
  const FolderContents got = contents();
  LONGS_EQUAL(2, got.turns.size());
  STRCMP_EQUAL("t1", got.turns[1].previous.c_str());
  LONGS_EQUAL(1, got.accounts.size());
  LONGS_EQUAL(60, got.accounts[0].entries[0].tokens);
  CHECK(got.accounts[0].entries[0].committed);
  LONGS_EQUAL(1, got.segments.size());
  LONGS_EQUAL(4, got.segments[0].records);  // reserved, settled, two turns
}

TEST(data_folder, a_log_torn_at_any_byte_is_told_and_left) {
  write_controller();
  const std::string log = "control.log0", whole = text(log);
  for (std::size_t size = 1; size < whole.size(); ++size) {
    CHECK(disk.truncate(log, 0).ok());
    CHECK(disk.append(log, whole.substr(0, size)).ok());
    const FolderContents got = contents();
    CHECK(got.controller_state == RecordState::readable);
    LONGS_EQUAL(7, got.controller.known.number);
    LONGS_EQUAL(1, got.torn_tails.size());
    STRCMP_EQUAL(log.c_str(), got.torn_tails[0].file.c_str());
    LONGS_EQUAL(0, got.torn_tails[0].offset);
    LONGS_EQUAL(size, got.torn_tails[0].bytes);
    LONGS_EQUAL(size, text(log).size());
  }
}

TEST(data_folder, a_segment_torn_at_any_byte_keeps_what_was_whole) {
  write_store();
  const std::string whole = text("turns.1");
  std::size_t most = 0;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK(disk.truncate("turns.1", 0).ok());
    CHECK(disk.append("turns.1", whole.substr(0, size)).ok());
    const FolderContents got = contents();
    CHECK(got.turns.size() >= most);
    CHECK(got.turns.size() < 2);
    most = got.turns.size();
    if (got.torn_tails.empty()) continue;  // just between two records
    LONGS_EQUAL(size, got.torn_tails[0].offset + got.torn_tails[0].bytes);
    LONGS_EQUAL(size, text("turns.1").size());
  }
  LONGS_EQUAL(1, most);
}

TEST(data_folder, a_slot_whose_writing_was_cut_short_leaves_the_older_one) {
  write_controller();
  CHECK(disk.append("control.slot1", "torn").ok());
  const FolderContents got = contents();
  CHECK(got.controller_state == RecordState::readable);
  LONGS_EQUAL(8, got.controller.known.number);
  LONGS_EQUAL(1, got.torn_tails.size());
  STRCMP_EQUAL("control.slot1", got.torn_tails[0].file.c_str());
}

TEST(data_folder, a_record_that_was_there_and_is_not_is_lost) {
  CHECK(disk.append("acceptor.slot0", "spoilt").ok());
  CHECK(contents().acceptor_state == RecordState::unreadable);
  CHECK(contents().controller_state == RecordState::absent);
}

TEST(data_folder, strange_files_are_named) {
  CHECK(disk.append("core.123", "x").ok());
  const FolderContents got = contents();
  LONGS_EQUAL(1, got.unknown_files.size());
  STRCMP_EQUAL("core.123", got.unknown_files[0].c_str());
}

// Such a file stood in for segment 7 and kept the storage node from starting where that one was gone.
TEST(data_folder, a_strange_name_is_no_segment) {
  write_store();
  for (const std::string name :
       {"turns.7.old", "turns.7x", "turns.", "turns.x", "turns.007", "turns.99999999999999999999"}) {
    CHECK(!storage::SegmentLog::parse_file_name(name).has_value());
    CHECK(disk.append(name, "x").ok());
  }
  storage::ReplicaStore store(disk, 1U << 20U);
  CHECK(store.recover(TimePoint::at_ms(0)).ok());
  LONGS_EQUAL(2, store.turn_count());
  LONGS_EQUAL(6, contents().unknown_files.size());
}

TEST(data_folder, disk_show_and_turns_on_a_real_folder_write_nothing) {
  char name[] = "/tmp/ctl-folder-XXXXXX";
  const std::string path = ::mkdtemp(name), prefix = path + "/";
  {
    write_controller();
    write_store();
    for (const std::string& file : disk.list_files())
      std::ofstream(prefix + file, std::ios::binary) << text(file);
    std::ofstream(path + "/turns.1", std::ios::binary | std::ios::app) << "torn";
    ::chmod((path + "/turns.1").c_str(), 0444);
  }
  ScriptedRun run;
  LONGS_EQUAL(0, run.run({"disk", "show", path}));
  CHECK(run.out.str().find("4 bytes behind byte") != std::string::npos);
  CHECK(run.out.str().find("turns                 ") == std::string::npos);
  LONGS_EQUAL(0, run.run({"disk", "show", path, "--json"}));
  CHECK(run.out.str().find("\"torn\":[{\"file\":\"turns.1\"") != std::string::npos);
  LONGS_EQUAL(0, run.run({"turns", path, "--program", "p"}));
  CHECK(run.out.str().find("t2") != std::string::npos);
  LONGS_EQUAL(0, run.run({"turns", path, "--program", "q", "--json"}));
  STRCMP_EQUAL("{\"turns\":[],\"accounts\":[]}\n", run.out.str().c_str());
  struct stat info {};
  LONGS_EQUAL(0, ::stat((path + "/turns.1").c_str(), &info));
  LONGS_EQUAL(text("turns.1").size() + 4, info.st_size);
  auto snapshot = DiskSnapshot::of_folder(path);
  CHECK(snapshot.ok());
  CHECK(!snapshot->changed_while_read());
  LONGS_EQUAL(disk.list_files().size(), snapshot->list_files().size());
  for (const std::string& file : disk.list_files()) ::unlink((prefix + file).c_str());
  LONGS_EQUAL(0, ::rmdir(path.c_str()));
  LONGS_EQUAL(2, run.run({"disk", "show", path}));
  CHECK(run.err.str().find(path) != std::string::npos);
}
