/// What a sidecar of the traffic asks of storage, where none of it answers: one answer to each, in time, and
/// never one that promises what nobody has kept.
#include "edge/storage_client.hpp"

#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::StorageNode;
using chutevane::common::Turn;
using chutevane::edge::LookupResult;
using chutevane::edge::ReservationResult;
using chutevane::edge::StorageClient;
using chutevane::edge::TurnChain;
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

TEST_GROUP(StorageClientAlone) {
  Clockwork clock;
  StorageClient client{clock.scheduler, clock.later, "z", 1, 1U << 20U, 5};
  TimePoint in(double ms) const { return clock.system.now() + Span::ms(ms); }
};

TEST(StorageClientAlone, ReplicatesWithMoreNodesThanLosses) {
  CHECK_FALSE(client.can_replicate());
  client.on_storage_map(1, storage_nodes(1));
  CHECK_FALSE(client.can_replicate());
  client.on_storage_map(2, storage_nodes(3, 2));
  CHECK_FALSE(client.can_replicate());
  client.on_storage_map(3, storage_nodes(3, 1));
  CHECK_TRUE(client.can_replicate());
  client.on_storage_map(2, storage_nodes(1));  // an older map is no news
  CHECK_TRUE(client.can_replicate());
}

// What an answer was, and when; checked once all has been played: a failed check does not leave a coroutine.
struct Outcome {
  int times = 0;
  bool promised = false;
  TimePoint at;
  void operator()(bool promise, TimePoint when) {
    ++times;
    promised = promise;
    at = when;
  }
};

TEST(StorageClientAlone, OneAnswerAndNoPromise) {
  for (const int n : {0, 1, 2, 3, 5}) {
    client.on_storage_map(n + 1, storage_nodes(n));
    Outcome reserved, kept, found;
    const TimePoint until = in(800);
    client.reserve("p", "a", 10, 100, until, [&](ReservationResult g) {
      reserved(g != ReservationResult::unavailable, clock.system.now());
    });
    const Turn turn{std::string("a"), "", std::string("p"), {}, {}, 60000};
    client.store_turn(turn, 5, until, [&](bool yes) { kept(yes, clock.system.now()); });
    client.find_chain("b", "p", "", until, [&](const TurnChain& chain) {
      found(chain.result != LookupResult::unavailable || !chain.turns.empty(), clock.system.now());
    });
    client.commit_usage("p", "a", 3);
    client.release("p", "c");
    clock.play(Span::ms(4000));
    for (const Outcome* outcome : {&reserved, &kept, &found}) {
      CHECK_WHERE(outcome->times == 1, numbered("of ", n));
      CHECK_WHERE(!outcome->promised, numbered("of ", n));
    }
    CHECK_WHERE(reserved.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_WHERE(kept.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_EQUAL(static_cast<std::size_t>(0), client.cached_turns());
  }
}

// A turn that goes on from none has its chain at once.
TEST(StorageClientAlone, EmptyChainIsComplete) {
  bool whole = false;
  client.find_chain("", "p", "", in(100), [&](const TurnChain& chain) {
    whole = chain.result == LookupResult::complete && chain.turns.empty();
  });
  CHECK_TRUE(whole);
}

// Connections that do not come up are asked for again with pauses, not in a ring.
TEST(StorageClientAlone, ConnectsWithBackoff) {
  client.on_storage_map(1, storage_nodes(3));
  clock.play(Span::ms(10000));
  CHECK_TRUE(clock.system.connects() >= 6 && clock.system.connects() < 1000);
}

TEST_GROUP(StorageClientLookup) {
  Clockwork clock;
  StorageClient client{clock.scheduler, clock.later, "z", 1, 1U << 20U, 5};
};

// The client's time is over by then: a later answer only holds the request.
TEST(StorageClientLookup, EndsByItsDeadline) {
  for (const int n : {0, 1, 3, 5}) {
    for (const double most : {100.0, 800.0}) {
      client.on_storage_map(client.can_replicate() ? 100 + n : n + 1, storage_nodes(n));
      const TimePoint until = clock.system.now() + Span::ms(most);
      Outcome found;
      client.find_chain("b", "p", "", until, [&](const TurnChain&) { found(false, clock.system.now()); });
      clock.play(Span::ms(4000));
      CHECK_WHERE(found.times == 1, numbered("of ", n));
      CHECK_WHERE(
          found.at <= until + Span::ms(60),
          numbered("of ", n) + numbered(", ms late: ", static_cast<long>((found.at - until).as_ms())));
    }
  }
}
