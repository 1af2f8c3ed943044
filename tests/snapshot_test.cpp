/// Snapshots: their format, their age, which figures a warm start uses, and the files that keep them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "snapshot/file_snapshot_store.hpp"
#include "snapshot/snapshot_format.hpp"
#include "snapshot/startup_progress.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::snapshot {
namespace {

namespace fs = std::filesystem;

ClockReading clock_reading(double up_ms, const char* boot = "b1", double unix_ms = 0.0) {
  return {boot, Span::ms(up_ms), TimePoint::at_ms(unix_ms > 0.0 ? unix_ms : 1e12 + up_ms)};
}

Snapshot sample() {
  Snapshot snapshot;
  snapshot.sidecar_name = "edge-1";
  snapshot.deployment = "tier 0: plan";
  snapshot.sidecar_count = 20;
  snapshot.incarnation = 3;
  snapshot.written_at = clock_reading(100000);
  snapshot.endpoints = {{"s-1", "127.0.0.1:9001", TimePoint::at_ms(5), 12.5},
                        {"s-2", "127.0.0.1:9002", TimePoint::at_ms(6), 7.25}};
  snapshot.load.limit = 8.0;
  snapshot.load.rate = 40.0;
  snapshot.load.late_fraction = 0.05;
  snapshot.load.retry_tokens = 11.0;
  for (std::size_t i = 0; i < snapshot.load.times_ms.size(); ++i)
    snapshot.load.times_ms[i] = 1.0 + static_cast<double>(i);
  snapshot.endpoint_list.version = 7;
  snapshot.endpoint_list.full = true;
  for (const EndpointRecord& record : snapshot.endpoints) {
    discovery::EndpointEntry e;
    e.id = record.name, e.address = record.address, e.came_up = record.started_at;
    snapshot.endpoint_list.entries.push_back(e);
  }
  return snapshot;
}

ProcessContext context(double up_ms = 102000) { return {"edge-1", "tier 0: plan", 20, clock_reading(up_ms)}; }

TEST(SnapshotFormat, IsReadBackAsItWasWritten) {
  const Snapshot snapshot = sample(), back = parse(serialize(snapshot));
  EXPECT_EQ(serialize(back), serialize(snapshot));
  EXPECT_EQ(back.endpoints[1].latency_ms, 7.25);
  EXPECT_EQ(back.load.times_ms, snapshot.load.times_ms);
  EXPECT_EQ(back.endpoint_list.version, 7U);
  EXPECT_NE(describe(back, clock_reading(103000)).find("3.0 s"), std::string::npos);
}

// Guards against a machine that ends in the middle of writing, and a disk that forgets a bit.
TEST(SnapshotFormat, TornAtEachByteOrWithAnyBitChangedItIsNotTaken) {
  const std::string complete = serialize(sample());
  for (std::size_t n = 0; n < complete.size(); ++n)
    EXPECT_THROW(parse(complete.substr(0, n)), FormatError) << n;
  EXPECT_THROW(parse(complete + " "), FormatError);
  for (std::size_t bit = 0; bit < complete.size() * 8; ++bit) {
    std::string changed = complete;
    changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << (bit % 8)));
    EXPECT_THROW(parse(changed), FormatError) << bit;
  }
}

RC_GTEST_PROP(SnapshotFormat, NoTextCrashesTheReader, (const std::string& text)) {
  RC_ASSERT_THROWS_AS(parse(text), FormatError);
}

// One that a hand has made complete again, with figures that no sidecar has.
TEST(SnapshotFormat, FiguresOutOfRangeAreNamed) {
  Snapshot snapshot = sample();
  snapshot.load.late_fraction = 1.5;
  try {
    parse(serialize(snapshot));
    FAIL();
  } catch (const FormatError& e) {
    EXPECT_EQ(std::string(e.what()).substr(0, 9), "late_part");
  }
}

TEST(SnapshotFormat, IsBoundedWhateverTheListHolds) {
  Snapshot snapshot = sample();
  snapshot.endpoint_list.entries.resize(20000, snapshot.endpoint_list.entries.front());
  snapshot.endpoints.resize(20000, snapshot.endpoints.front());
  const std::string text = serialize(snapshot);
  EXPECT_LE(text.size(), max_snapshot_bytes);
  EXPECT_FALSE(parse(text).endpoint_list.full);  // a list that was cut is none to start from
  EXPECT_FALSE(evaluate(parse(text), context()).is_list_usable);
}

TEST(Age, IsToldByTheClockThatNobodySets) {
  // Unix time was set back by an hour, then forward by a day: the age stays.
  EXPECT_EQ(age_of(clock_reading(1000, "b1", 5e9), clock_reading(4000, "b1", 1e9)).duration, Span::ms(3000));
  EXPECT_EQ(age_of(clock_reading(1000, "b1", 5e9), clock_reading(4000, "b1", 9e9)).duration, Span::ms(3000));
  EXPECT_EQ(age_of(clock_reading(1000), clock_reading(4000)).confidence, AgeConfidence::exact);
  EXPECT_EQ(age_of(clock_reading(4000), clock_reading(1000)).confidence,
            AgeConfidence::unknown);  // of a time to come
  EXPECT_EQ(age_of(clock_reading(1000, ""), clock_reading(4000)).confidence, AgeConfidence::unknown);
}

TEST(Age, OverAStartOfTheMachineIsLikelyAtBest) {
  const Age a = age_of(clock_reading(9e6, "b1", 1e12), clock_reading(40000, "b2", 1e12 + 60000));
  EXPECT_EQ(a.confidence, AgeConfidence::estimated);
  EXPECT_EQ(a.duration, Span::ms(60000));
  // This start has been up for longer than Unix time says that it is old: one of the two is wrong.
  EXPECT_EQ(age_of(clock_reading(9e6, "b1", 1e12), clock_reading(40000, "b2", 1e12 + 20000)).confidence,
            AgeConfidence::unknown);
  EXPECT_EQ(age_of(clock_reading(9e6, "b1", 2e12), clock_reading(40000, "b2", 1e12)).confidence,
            AgeConfidence::unknown);
}

TEST(WarmStart, OfAMomentAgoIsTakenAndTheLimitIsOnTrial) {
  const WarmStart warm_start = restrict_to_list(evaluate(sample(), context()), sample().endpoint_list);
  EXPECT_EQ(warm_start.endpoints.size(), 2U);
  EXPECT_EQ(warm_start.load.limit, 8.0);
  EXPECT_TRUE(warm_start.load.is_on_trial);
  EXPECT_GT(warm_start.load.times_ms.back(), 0.0);
  EXPECT_TRUE(warm_start.is_list_usable);
}

// Each line of the table in docs/restart.md.
TEST(WarmStart, LosesWithAgeWhatNoLongerHolds) {
  const auto after = [](double ms) { return evaluate(sample(), context(100000 + ms)); };
  EXPECT_GT(after(4900).load.times_ms.back(), 0.0);
  EXPECT_EQ(after(5100).load.times_ms.back(), 0.0);
  EXPECT_EQ(after(59000).load.limit, 8.0);
  EXPECT_EQ(after(61000).load.limit, 0.0);
  EXPECT_EQ(after(899000).endpoints.size(), 2U);
  EXPECT_TRUE(after(901000).endpoints.empty());
  EXPECT_FALSE(after(3600000).is_list_usable);
}

TEST(WarmStart, OfAnotherSidecarTierOrFleetIsNone) {
  Snapshot snapshot = sample();
  snapshot.sidecar_name = "edge-2";
  EXPECT_TRUE(evaluate(snapshot, context()).endpoints.empty());
  snapshot = sample();
  snapshot.deployment = "tier 1: plan";
  EXPECT_TRUE(evaluate(snapshot, context()).endpoints.empty());
  snapshot = sample();
  snapshot.sidecar_count = 40;  // each carries half of what it did
  EXPECT_EQ(evaluate(snapshot, context()).load.limit, 0.0);
  EXPECT_EQ(evaluate(snapshot, context()).endpoints.size(), 2U);
}

TEST(WarmStart, OverAStartOfTheMachineNoLimitIsTaken) {
  ProcessContext later = context();
  later.now = clock_reading(20000, "b2", sample().written_at.unix_time.as_ms() + 30000);
  const WarmStart warm_start = evaluate(sample(), later);
  EXPECT_EQ(warm_start.age.confidence, AgeConfidence::estimated);
  EXPECT_EQ(warm_start.load.limit, 0.0);
  EXPECT_EQ(warm_start.endpoints.size(), 2U);
}

// An address that now belongs to another, an id that came back elsewhere, and a fresh start of the same one.
TEST(WarmStart, HoldsOnlyForTheSameStartAtTheSameAddress) {
  discovery::EndpointList list = sample().endpoint_list;
  list.entries[0].address = "127.0.0.1:9009";
  EXPECT_EQ(restrict_to_list(evaluate(sample(), context()), list).endpoints.size(), 1U);
  EXPECT_EQ(restrict_to_list(evaluate(sample(), context()), list).load.limit, 4.0);
  list.entries[1].came_up = TimePoint::at_ms(99);
  EXPECT_TRUE(restrict_to_list(evaluate(sample(), context()), list).endpoints.empty());
  EXPECT_EQ(restrict_to_list(evaluate(sample(), context()), list).load.limit, 0.0);
}

// Guards budgets against being had again with each life.
TEST(WarmStart, BudgetsAreKeptOnlyByAProcessThatEndedWhenTold) {
  EXPECT_EQ(evaluate(sample(), context()).load.retry_tokens, 0.0);
  EXPECT_TRUE(evaluate(sample(), context()).load.are_budgets_spent);
  Snapshot snapshot = sample();
  snapshot.is_clean_shutdown = true;
  EXPECT_EQ(evaluate(snapshot, context()).load.retry_tokens, 11.0);
  EXPECT_TRUE(cold_start("lost").load.are_budgets_spent);
  EXPECT_EQ(cold_start("lost").load.retry_tokens, 0.0);
}

TEST(WarmStart, OfTwoListsTheNewerOneIsStartedFrom) {
  discovery::EndpointList given;
  given.version = 6;
  EXPECT_EQ(newer_list(given, sample(), evaluate(sample(), context())).version, 7U);
  given.version = 8;
  EXPECT_EQ(newer_list(given, sample(), evaluate(sample(), context())).version, 8U);
  given.version = 6;  // an hour later the remembered one is nothing
  EXPECT_EQ(newer_list(given, sample(), evaluate(sample(), context(3.7e6))).version, 6U);
}

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/chutevane-snapshot-XXXXXX";
    path = ::mkdtemp(name);
    file = path + "/state";
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  std::string path, file;
};

TEST(FileSnapshotStore, KeepTwoGenerationsAndSetABrokenOneAside) {
  const TemporaryFolder folder;
  const auto store = open_file_store(folder.file);
  Snapshot snapshot = sample();
  store->save(snapshot);
  store->flush();
  snapshot.incarnation = 4;
  store->save(snapshot);
  store->flush();
  auto found = store->read_generations();
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(parse(found[0]).incarnation, 4U);
  EXPECT_EQ(parse(found[1]).incarnation, 3U);
  store->quarantine_newest();
  found = store->read_generations();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(parse(found[0]).incarnation, 3U);
  EXPECT_TRUE(fs::exists(folder.file + ".broken"));
}

// Guards two processes on one folder: the second one's figures never mix with the first one's.
TEST(FileSnapshotStore, OneProcessWritesAtATime) {
  const TemporaryFolder folder;
  auto first = open_file_store(folder.file);
  first->save(sample());
  first->flush();
  const auto second = open_file_store(folder.file);
  second->save(sample());
  second->flush();
  EXPECT_EQ(second->counters().failed, 1U);
  EXPECT_NE(second->counters().last_error.find("holds it"), std::string::npos);
  first.reset();
  second->save(sample());
  second->flush();
  EXPECT_EQ(second->counters().written, 1U);
}

TEST(FileSnapshotStore, ADiskThatRefusesIsToldAndWhatWasThereStays) {
  const TemporaryFolder folder;
  const auto store = open_file_store(folder.file);
  store->save(sample());
  store->flush();
  fs::create_directory(folder.file + ".new");
  store->save(sample());
  store->flush();
  EXPECT_EQ(store->counters().failed, 1U);
  EXPECT_EQ(store->read_generations().size(), 1U);
}

TEST(StartupProgress, IsFullFromItsLastBadLookOnOnceAWindowHasPassed) {
  StartupProgress progress;
  const auto at = [](double ms) { return TimePoint::at_ms(1e6 + ms); };
  progress.start(at(0), "nothing");
  RequestCounts counts;
  for (double ms = 250; ms <= 1000; ms += 250)
    counts.requests += 100, counts.rejected += 10, progress.update(counts, at(ms));
  for (double ms = 1250; ms < 6000; ms += 250) counts.requests += 100, progress.update(counts, at(ms));
  EXPECT_FALSE(progress.is_at_full_service());
  counts.requests += 100;
  progress.update(counts, at(6000));
  EXPECT_TRUE(progress.is_at_full_service());
  EXPECT_EQ(progress.time_to_full_service(), Span::ms(1000));
  EXPECT_NE(progress.to_json(at(6000)).find("\"full\""), std::string::npos);
  counts.rejected += 1000;  // no matter of the start any more
  progress.update(counts, at(7000));
  EXPECT_TRUE(progress.is_at_full_service());
}

}  // namespace
}  // namespace chutevane::snapshot
