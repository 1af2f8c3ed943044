// What a process leaves for the next: the form, its age, what of it counts, and the files it lies in.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "snapshot/coming_back.hpp"
#include "snapshot/evidence.hpp"
#include "snapshot/form.hpp"
#include "snapshot/store.hpp"

namespace chutevane::snapshot {
namespace {

namespace fs = std::filesystem;

Stamp stamp(double up_ms, const char* boot = "b1", double unix_ms = 0.0) {
  return {boot, Span::ms(up_ms), TimePoint::at_ms(unix_ms > 0.0 ? unix_ms : 1e12 + up_ms)};
}

Content sample() {
  Content c;
  c.owner = "edge-1";
  c.deployment = "tier 0: plan";
  c.sidecars = 20;
  c.life = 3;
  c.written = stamp(100000);
  c.endpoints = {{"s-1", "127.0.0.1:9001", TimePoint::at_ms(5), 12.5},
                 {"s-2", "127.0.0.1:9002", TimePoint::at_ms(6), 7.25}};
  c.carried.limit = 8.0;
  c.carried.rate = 40.0;
  c.carried.late_part = 0.05;
  c.carried.retry_tokens = 11.0;
  for (std::size_t i = 0; i < c.carried.times_ms.size(); ++i)
    c.carried.times_ms[i] = 1.0 + static_cast<double>(i);
  c.list.version = 7;
  c.list.full = true;
  for (const Remembered& r : c.endpoints) {
    discovery::EndpointEntry e;
    e.id = r.name, e.address = r.address, e.came_up = r.came_up;
    c.list.entries.push_back(e);
  }
  return c;
}

Situation here(double up_ms = 102000) { return {"edge-1", "tier 0: plan", 20, stamp(up_ms)}; }

TEST(Snapshot, IsReadBackAsItWasWritten) {
  const Content c = sample(), back = read(write(c));
  EXPECT_EQ(write(back), write(c));
  EXPECT_EQ(back.endpoints[1].latency_ms, 7.25);
  EXPECT_EQ(back.carried.times_ms, c.carried.times_ms);
  EXPECT_EQ(back.list.version, 7U);
  EXPECT_NE(shown(back, stamp(103000)).find("3.0 s"), std::string::npos);
}

// Guards against a machine that ends in the middle of writing, and a disk that forgets a bit.
TEST(Snapshot, TornAtEachByteOrWithAnyBitChangedItIsNotTaken) {
  const std::string whole = write(sample());
  for (std::size_t n = 0; n < whole.size(); ++n) EXPECT_THROW(read(whole.substr(0, n)), FormError) << n;
  EXPECT_THROW(read(whole + " "), FormError);
  for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
    std::string changed = whole;
    changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << (bit % 8)));
    EXPECT_THROW(read(changed), FormError) << bit;
  }
}

RC_GTEST_PROP(Snapshot, NoTextCrashesTheReader, (const std::string& text)) {
  RC_ASSERT_THROWS_AS(read(text), FormError);
}

// One that a hand has made whole again, with figures that no sidecar has.
TEST(Snapshot, FiguresOutOfRangeAreNamed) {
  Content c = sample();
  c.carried.late_part = 1.5;
  try {
    read(write(c));
    FAIL();
  } catch (const FormError& e) {
    EXPECT_EQ(std::string(e.what()).substr(0, 9), "late_part");
  }
}

TEST(Snapshot, IsBoundedWhateverTheListHolds) {
  Content c = sample();
  c.list.entries.resize(20000, c.list.entries.front());
  c.endpoints.resize(20000, c.endpoints.front());
  const std::string text = write(c);
  EXPECT_LE(text.size(), text_most);
  EXPECT_FALSE(read(text).list.full);  // a list that was cut is none to start from
  EXPECT_FALSE(judge(read(text), here()).list);
}

TEST(Age, IsToldByTheClockThatNobodySets) {
  // Unix time was set back by an hour, then forward by a day: the age stays.
  EXPECT_EQ(age(stamp(1000, "b1", 5e9), stamp(4000, "b1", 1e9)).span, Span::ms(3000));
  EXPECT_EQ(age(stamp(1000, "b1", 5e9), stamp(4000, "b1", 9e9)).span, Span::ms(3000));
  EXPECT_EQ(age(stamp(1000), stamp(4000)).surety, Surety::sure);
  EXPECT_EQ(age(stamp(4000), stamp(1000)).surety, Surety::unknown);  // of a time to come
  EXPECT_EQ(age(stamp(1000, ""), stamp(4000)).surety, Surety::unknown);
}

TEST(Age, OverAStartOfTheMachineIsLikelyAtBest) {
  const Age a = age(stamp(9e6, "b1", 1e12), stamp(40000, "b2", 1e12 + 60000));
  EXPECT_EQ(a.surety, Surety::likely);
  EXPECT_EQ(a.span, Span::ms(60000));
  // This start has been up for longer than Unix time says that it is old: one of the two is wrong.
  EXPECT_EQ(age(stamp(9e6, "b1", 1e12), stamp(40000, "b2", 1e12 + 20000)).surety, Surety::unknown);
  EXPECT_EQ(age(stamp(9e6, "b1", 2e12), stamp(40000, "b2", 1e12)).surety, Surety::unknown);
}

TEST(Evidence, OfAMomentAgoIsTakenAndTheLimitIsOnTrial) {
  const Evidence e = against(judge(sample(), here()), sample().list);
  EXPECT_EQ(e.endpoints.size(), 2U);
  EXPECT_EQ(e.carried.limit, 8.0);
  EXPECT_TRUE(e.carried.on_trial);
  EXPECT_GT(e.carried.times_ms.back(), 0.0);
  EXPECT_TRUE(e.list);
}

// Each line of the table in docs/restart.md.
TEST(Evidence, LosesWithAgeWhatNoLongerHolds) {
  const auto after = [](double ms) { return judge(sample(), here(100000 + ms)); };
  EXPECT_GT(after(4900).carried.times_ms.back(), 0.0);
  EXPECT_EQ(after(5100).carried.times_ms.back(), 0.0);
  EXPECT_EQ(after(59000).carried.limit, 8.0);
  EXPECT_EQ(after(61000).carried.limit, 0.0);
  EXPECT_EQ(after(899000).endpoints.size(), 2U);
  EXPECT_TRUE(after(901000).endpoints.empty());
  EXPECT_FALSE(after(3600000).list);
}

TEST(Evidence, OfAnotherSidecarTierOrFleetIsNone) {
  Content c = sample();
  c.owner = "edge-2";
  EXPECT_TRUE(judge(c, here()).endpoints.empty());
  c = sample();
  c.deployment = "tier 1: plan";
  EXPECT_TRUE(judge(c, here()).endpoints.empty());
  c = sample();
  c.sidecars = 40;  // each carries half of what it did
  EXPECT_EQ(judge(c, here()).carried.limit, 0.0);
  EXPECT_EQ(judge(c, here()).endpoints.size(), 2U);
}

TEST(Evidence, OverAStartOfTheMachineNoLimitIsTaken) {
  Situation later = here();
  later.now = stamp(20000, "b2", sample().written.unix_time.as_ms() + 30000);
  const Evidence e = judge(sample(), later);
  EXPECT_EQ(e.age.surety, Surety::likely);
  EXPECT_EQ(e.carried.limit, 0.0);
  EXPECT_EQ(e.endpoints.size(), 2U);
}

// An address that now belongs to another, an id that came back elsewhere, and a fresh start of the same one.
TEST(Evidence, HoldsOnlyForTheSameStartAtTheSameAddress) {
  discovery::EndpointList list = sample().list;
  list.entries[0].address = "127.0.0.1:9009";
  EXPECT_EQ(against(judge(sample(), here()), list).endpoints.size(), 1U);
  EXPECT_EQ(against(judge(sample(), here()), list).carried.limit, 4.0);
  list.entries[1].came_up = TimePoint::at_ms(99);
  EXPECT_TRUE(against(judge(sample(), here()), list).endpoints.empty());
  EXPECT_EQ(against(judge(sample(), here()), list).carried.limit, 0.0);
}

// Guards budgets against being had again with each life.
TEST(Evidence, BudgetsAreKeptOnlyByAProcessThatEndedWhenTold) {
  EXPECT_EQ(judge(sample(), here()).carried.retry_tokens, 0.0);
  EXPECT_TRUE(judge(sample(), here()).carried.budgets_spent);
  Content c = sample();
  c.ended = true;
  EXPECT_EQ(judge(c, here()).carried.retry_tokens, 11.0);
  EXPECT_TRUE(nothing("lost").carried.budgets_spent);
  EXPECT_EQ(nothing("lost").carried.retry_tokens, 0.0);
}

TEST(Evidence, OfTwoListsTheNewerOneIsStartedFrom) {
  discovery::EndpointList given;
  given.version = 6;
  EXPECT_EQ(newer(given, sample(), judge(sample(), here())).version, 7U);
  given.version = 8;
  EXPECT_EQ(newer(given, sample(), judge(sample(), here())).version, 8U);
  given.version = 6;  // an hour later the remembered one is nothing
  EXPECT_EQ(newer(given, sample(), judge(sample(), here(3.7e6))).version, 6U);
}

struct Place {
  Place() {
    char name[] = "/tmp/chutevane-snapshot-XXXXXX";
    folder = ::mkdtemp(name);
    path = folder + "/state";
  }
  ~Place() { fs::remove_all(folder); }
  std::string folder, path;
};

TEST(Files, KeepTwoGenerationsAndSetABrokenOneAside) {
  const Place place;
  const auto store = open_files(place.path);
  Content c = sample();
  store->put(c);
  store->settle();
  c.life = 4;
  store->put(c);
  store->settle();
  auto found = store->generations();
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(read(found[0]).life, 4U);
  EXPECT_EQ(read(found[1]).life, 3U);
  store->set_aside_newest();
  found = store->generations();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(read(found[0]).life, 3U);
  EXPECT_TRUE(fs::exists(place.path + ".broken"));
}

// Guards two processes on one folder: the second one's figures never mix with the first one's.
TEST(Files, OneProcessWritesAtATime) {
  const Place place;
  auto first = open_files(place.path);
  first->put(sample());
  first->settle();
  const auto second = open_files(place.path);
  second->put(sample());
  second->settle();
  EXPECT_EQ(second->counters().failed, 1U);
  EXPECT_NE(second->counters().trouble.find("holds it"), std::string::npos);
  first.reset();
  second->put(sample());
  second->settle();
  EXPECT_EQ(second->counters().written, 1U);
}

TEST(Files, ADiskThatRefusesIsToldAndWhatWasThereStays) {
  const Place place;
  const auto store = open_files(place.path);
  store->put(sample());
  store->settle();
  fs::create_directory(place.path + ".new");
  store->put(sample());
  store->settle();
  EXPECT_EQ(store->counters().failed, 1U);
  EXPECT_EQ(store->generations().size(), 1U);
}

TEST(ComingBack, IsFullFromItsLastBadLookOnOnceAWindowHasPassed) {
  ComingBack c;
  const auto at = [](double ms) { return TimePoint::at_ms(1e6 + ms); };
  c.began(at(0), "nothing");
  Served s;
  for (double ms = 250; ms <= 1000; ms += 250) s.calls += 100, s.refused += 10, c.look(s, at(ms));
  for (double ms = 1250; ms < 6000; ms += 250) s.calls += 100, c.look(s, at(ms));
  EXPECT_FALSE(c.full());
  s.calls += 100;
  c.look(s, at(6000));
  EXPECT_TRUE(c.full());
  EXPECT_EQ(c.took(), Span::ms(1000));
  EXPECT_NE(c.as_json(at(6000)).find("\"full\""), std::string::npos);
  s.refused += 1000;  // no matter of the start any more
  c.look(s, at(7000));
  EXPECT_TRUE(c.full());
}

}  // namespace
}  // namespace chutevane::snapshot
