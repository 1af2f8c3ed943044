// Usage that may have been lost is kept for the next connection, for a bounded time and number.
#include "edge/usage_outbox.hpp"

#include <string>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::CommitUsage;
using chutevane::edge::max_kept_usages;
using chutevane::edge::usage_retention;
using chutevane::edge::UsageOutbox;

TEST_GROUP(UsageToBeSentAgain) {
  UsageOutbox outbox;
  TimePoint now = TimePoint::at_ms(1000);
  void add(long long number) { outbox.add(CommitUsage{"p", numbered("a", number), number}, now); }
};

TEST(UsageToBeSentAgain, InTheOrderInWhichItWasAdded) {
  for (int i = 0; i < 3; ++i) add(i);
  const auto recent = outbox.recent(now);
  CHECK_EQUAL(static_cast<std::size_t>(3), recent.size());
  for (int i = 0; i < 3; ++i) CHECK_TRUE(recent[static_cast<std::size_t>(i)].attempt == numbered("a", i));
  CHECK_EQUAL(static_cast<std::size_t>(3), outbox.recent(now).size());  // the next connection may break too
}

TEST(UsageToBeSentAgain, ForABoundedTime) {
  add(1);
  now = now + usage_retention;
  add(2);
  CHECK_EQUAL(static_cast<std::size_t>(2), outbox.recent(now).size());
  now = now + Span::ms(1);
  const auto recent = outbox.recent(now);
  CHECK_TRUE(recent.size() == 1 && recent.front().attempt == "a2");
}

TEST(UsageToBeSentAgain, NoMoreThanTheLimitTheNewestOnes) {
  for (std::size_t i = 0; i < max_kept_usages + 10; ++i) add(static_cast<long long>(i));
  CHECK_EQUAL(max_kept_usages, outbox.size());
  CHECK_TRUE(outbox.recent(now).front().attempt == "a10");
}
