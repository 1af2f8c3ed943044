/// Usage messages that may have been lost are retained for the next connection, limited in time and number.
#include "edge/usage_outbox.hpp"

#include <string>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::CommitUsage;
using chutevane::edge::max_retained_usages;
using chutevane::edge::usage_retention;
using chutevane::edge::UsageOutbox;

TEST_GROUP(RetainedUsage) {
  UsageOutbox outbox;
  TimePoint now = TimePoint::at_ms(1000);
  void add(long long number) { outbox.add(CommitUsage{"p", numbered("a", number), number}, now); }
};

TEST(RetainedUsage, InInsertionOrder) {
  for (int i = 0; i < 3; ++i) add(i);
  const auto recent = outbox.recent(now);
  CHECK_EQUAL(static_cast<std::size_t>(3), recent.size());
  for (int i = 0; i < 3; ++i) CHECK_TRUE(recent[static_cast<std::size_t>(i)].attempt == numbered("a", i));
  CHECK_EQUAL(static_cast<std::size_t>(3),
              outbox.recent(now).size());  // still retained, as the next connection may break too
}

TEST(RetainedUsage, ForABoundedTime) {
  add(1);
  now = now + usage_retention;
  add(2);
  CHECK_EQUAL(static_cast<std::size_t>(2), outbox.recent(now).size());
  now = now + Span::ms(1);
  const auto recent = outbox.recent(now);
  CHECK_TRUE(recent.size() == 1 && recent.front().attempt == "a2");
}

TEST(RetainedUsage, NewestUpToTheLimit) {
  for (std::size_t i = 0; i < max_retained_usages + 10; ++i) add(static_cast<long long>(i));
  CHECK_EQUAL(max_retained_usages, outbox.size());
  CHECK_TRUE(outbox.recent(now).front().attempt == "a10");
}
