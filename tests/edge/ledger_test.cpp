// What a sidecar of the traffic asks of storage, where none of it answers: one answer to each, in time, and
// never one that promises what nobody has kept.
#include "edge/ledger.hpp"

#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::StorageNode;
using chutevane::common::Turn;
using chutevane::edge::Ledger;
using chutevane::simulated::Clockwork;

namespace {

std::vector<StorageNode> storage_nodes(int n, int leaving = 0) {
  std::vector<StorageNode> out;
  for (int i = 0; i < n; ++i) {
    StorageNode& c = out.emplace_back();
    c.node = numbered("n", i);
    c.address = numbered("10.0.0.", i + 1);
    c.address += ":7381";
    c.draining = i < leaving;
  }
  return out;
}

}  // namespace

TEST_GROUP(LedgerAlone) {
  Clockwork clock;
  Ledger ledger{clock.scheduler, clock.later, "z", 1, 1U << 20U, 5};
  TimePoint in(double ms) const { return clock.system.now() + Span::ms(ms); }
};

TEST(LedgerAlone, UsableWithMoreThanTheLosses) {
  CHECK_FALSE(ledger.usable());
  ledger.map_came(1, storage_nodes(1));
  CHECK_FALSE(ledger.usable());
  ledger.map_came(2, storage_nodes(3, 2));
  CHECK_FALSE(ledger.usable());
  ledger.map_came(3, storage_nodes(3, 1));
  CHECK_TRUE(ledger.usable());
  ledger.map_came(2, storage_nodes(1));  // an older map is no news
  CHECK_TRUE(ledger.usable());
}

// What an answer was, and when; checked once all has been played: a failed check does not leave a coroutine.
struct Told {
  int times = 0;
  bool promised = false;
  TimePoint at;
  void operator()(bool promise, TimePoint when) {
    ++times;
    promised = promise;
    at = when;
  }
};

TEST(LedgerAlone, OneAnswerAndNoPromise) {
  for (const int n : {0, 1, 2, 3, 5}) {
    ledger.map_came(n + 1, storage_nodes(n));
    Told reserved, kept, found;
    const TimePoint until = in(800);
    ledger.reserve("p", "a", 10, 100, until,
                   [&](Ledger::Granted g) { reserved(g != Ledger::Granted::unclear, clock.system.now()); });
    const Turn turn{std::string("a"), "", std::string("p"), {}, {}, 60000};
    ledger.keep(turn, 5, until, [&](bool yes) { kept(yes, clock.system.now()); });
    ledger.find("b", "p", "", until, [&](const Ledger::Chain& chain) {
      found(chain.verdict != Ledger::Sought::unsure || !chain.turns.empty(), clock.system.now());
    });
    ledger.settle("p", "a", 3);
    ledger.release("p", "c");
    clock.play(Span::ms(4000));
    for (const Told* told : {&reserved, &kept, &found}) {
      CHECK_WHERE(told->times == 1, numbered("of ", n));
      CHECK_WHERE(!told->promised, numbered("of ", n));
    }
    CHECK_WHERE(reserved.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_WHERE(kept.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_EQUAL(static_cast<std::size_t>(0), ledger.cached());
  }
}

// A turn that goes on from none has its chain at once.
TEST(LedgerAlone, EmptyChainIsWhole) {
  bool whole = false;
  ledger.find("", "p", "", in(100), [&](Ledger::Chain chain) {
    whole = chain.verdict == Ledger::Sought::whole && chain.turns.empty();
  });
  CHECK_TRUE(whole);
}

// Connections that do not come up are asked for again with pauses, not in a ring.
TEST(LedgerAlone, ConnectsWithPauses) {
  ledger.map_came(1, storage_nodes(3));
  clock.play(Span::ms(10000));
  CHECK_TRUE(clock.system.connects() >= 6 && clock.system.connects() < 1000);
}

TEST_GROUP(LedgerFindInTime) {
  Clockwork clock;
  Ledger ledger{clock.scheduler, clock.later, "z", 1, 1U << 20U, 5};
};

// The client's time is over by then: a later answer only holds the request.
TEST(LedgerFindInTime, AnswersByItsTime) {
  for (const int n : {0, 1, 3, 5}) {
    for (const double most : {100.0, 800.0}) {
      ledger.map_came(ledger.usable() ? 100 + n : n + 1, storage_nodes(n));
      const TimePoint until = clock.system.now() + Span::ms(most);
      Told found;
      ledger.find("b", "p", "", until, [&](const Ledger::Chain&) { found(false, clock.system.now()); });
      clock.play(Span::ms(4000));
      CHECK_WHERE(found.times == 1, numbered("of ", n));
      CHECK_WHERE(
          found.at <= until + Span::ms(60),
          numbered("of ", n) + numbered(", ms late: ", static_cast<long>((found.at - until).as_ms())));
    }
  }
}
