// Invariants: a violation is counted by the invariant's name, logged at a limited rate in production, and
// aborts the process in fatal mode. Also tests metrics and rate-limited log lines.
#include "common/invariant.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "common/log.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::check_invariant;
using chutevane::common::Invariant;
using chutevane::common::invariant_kind_count;
using chutevane::common::InvariantMode;
using chutevane::common::MetricsWriter;
using chutevane::common::RateLimitedLog;

namespace {

std::vector<std::string> captured;

void capture() {
  captured.clear();
  chutevane::common::set_log_sink(
      [](chutevane::common::Level, std::string_view event, std::string_view detail) {
        captured.push_back(std::string(event) + " " + std::string(detail));
      });
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(Invariants) {
  std::uint64_t before = chutevane::common::violations_of(Invariant::not_sent_twice);
  void setup() override { capture(); }
  void teardown() override {
    chutevane::common::set_log_sink({});
    chutevane::common::set_invariant_mode(InvariantMode::fatal);
  }
  std::uint64_t violations() const {
    return chutevane::common::violations_of(Invariant::not_sent_twice) - before;
  }
  static bool violate() {
    return check_invariant(Invariant::not_sent_twice, false, [] { return std::string("id 7"); });
  }
};

TEST(Invariants, DetailIsFormattedOnlyOnAViolation) {
  bool described = false;
  CHECK_TRUE(check_invariant(Invariant::not_sent_twice, true, [&] {
    described = true;
    return std::string();
  }));
  CHECK_FALSE(described);
  LONGS_EQUAL(0, violations());
}

TEST(Invariants, CountedAndLoggedInProduction) {
  chutevane::common::set_invariant_mode(InvariantMode::count_and_log);
  CHECK_FALSE(violate());
  LONGS_EQUAL(1, violations());
  LONGS_EQUAL(1, captured.size());
  CHECK_TRUE(contains(captured[0], "invariant.violated not-sent-twice: id 7"));
  // Violations are still counted after the limit of log lines.
  for (int i = 0; i < 1000; ++i) violate();
  LONGS_EQUAL(1001, violations());
  CHECK_TRUE(captured.size() <= 20);
}

TEST(Invariants, FatalModeAborts) {
  chutevane::common::set_invariant_mode(InvariantMode::fatal);
  std::fflush(nullptr);
  const pid_t child = ::fork();
  if (child == 0) {
    violate();
    ::_exit(0);
  }
  int status = 0;
  CHECK_TRUE(::waitpid(child, &status, 0) == child);
  CHECK_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT);
}

TEST(Invariants, NamesAreUnique) {
  for (std::size_t i = 0; i < invariant_kind_count; ++i) {
    const auto name = name_of(static_cast<Invariant>(i));
    CHECK_FALSE(name.empty());
    for (std::size_t j = 0; j < i; ++j) CHECK_FALSE(name == name_of(static_cast<Invariant>(j)));
  }
}

TEST_GROUP(Metrics){};

TEST(Metrics, FamiliesWithUnitHelpAndLabels) {
  MetricsWriter out;
  out.counter("requests", "", "All of\nthem.", 3);
  out.begin(MetricsWriter::Type::counter, "failures", "", "By cause.")
      .sample(1, {{"cause", "a \"b\" \\c"}})
      .sample(1234567890123, {{"cause", "d"}, {"zone", "z"}});
  out.gauge("age_seconds", "seconds", "Age.", 0.25);
  const std::string text = std::move(out).finish();
  STRCMP_EQUAL(
      "# TYPE requests counter\n# HELP requests All of\\nthem.\nrequests_total 3\n"
      "# TYPE failures counter\n# HELP failures By cause.\nfailures_total{cause=\"a \\\"b\\\" \\\\c\"} 1\n"
      "failures_total{cause=\"d\",zone=\"z\"} 1234567890123\n"
      "# TYPE age_seconds gauge\n# UNIT age_seconds seconds\n# HELP age_seconds Age.\nage_seconds 0.25\n# "
      "EOF\n",
      text.c_str());
}

TEST(Metrics, ProcessMetricsHaveTheInvariants) {
  MetricsWriter out;
  chutevane::common::write_process_metrics(out);
  const std::string text = std::move(out).finish();
  CHECK_TRUE(contains(text, "chutevane_invariant_violations_total{invariant=\"value-number-rises\"} "));
  CHECK_TRUE(contains(text, "process_cpu_seconds_total "));
  CHECK_TRUE(contains(text, "process_resident_memory_bytes "));
}

TEST_GROUP(RateLimitedLines) {
  TimePoint now = TimePoint::at_ms(1e6);
  void setup() override { capture(); }
  void teardown() override { chutevane::common::set_log_sink({}); }
};

TEST(RateLimitedLines, RateAndSize) {
  RateLimitedLog log("event", 3);
  for (int i = 0; i < 10; ++i) {
    if (log.admits(now)) log.line(std::string(5000, 'x'));
  }
  LONGS_EQUAL(3, captured.size());
  CHECK_TRUE(captured[0].size() < 600);
  now = now + Span::ms(1000);
  CHECK_TRUE(log.admits(now));
  log.line("next");
  STRCMP_EQUAL("event next left_out=7", captured.back().c_str());
}
