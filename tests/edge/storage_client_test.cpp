/// The storage client while no storage node replies: each operation ends exactly once, in time, and never
/// reports success for data that is not stored.
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

std::vector<StorageNode> storage_nodes(int n, int draining_count = 0) {
  std::vector<StorageNode> result;
  for (int i = 0; i < n; ++i) {
    StorageNode& storage_node = result.emplace_back();
    storage_node.node = numbered("n", i);
    storage_node.address = numbered("10.0.0.", i + 1);
    storage_node.address += ":7381";
    storage_node.draining = i < draining_count;
  }
  return result;
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
  client.on_storage_map(2, storage_nodes(1));  // an older map is ignored
  CHECK_TRUE(client.can_replicate());
}

// Records the result of an operation and its time. Checked after the simulation has run, because a failed
// check must not leave a coroutine.
struct Outcome {
  int times = 0;
  bool succeeded = false;
  TimePoint at;
  void operator()(bool success, TimePoint when) {
    ++times;
    succeeded = success;
    at = when;
  }
};

TEST(StorageClientAlone, EndsOnceWithoutSuccess) {
  for (const int n : {0, 1, 2, 3, 5}) {
    client.on_storage_map(n + 1, storage_nodes(n));
    Outcome reserved, stored, found;
    const TimePoint until = in(800);
    client.reserve("p", "a", 10, 100, until, [&](ReservationResult g) {
      reserved(g != ReservationResult::unavailable, clock.system.now());
    });
    const Turn turn{std::string("a"), "", std::string("p"), {}, {}, 60000};
    client.store_turn(turn, {}, 5, until, [&](bool is_stored) { stored(is_stored, clock.system.now()); });
    client.find_chain("b", "p", "", until, [&](const TurnChain& chain) {
      found(chain.result != LookupResult::unavailable || !chain.turns.empty(), clock.system.now());
    });
    client.commit_usage("p", "a", 3);
    client.release("p", "c");
    clock.play(Span::ms(4000));
    for (const Outcome* outcome : {&reserved, &stored, &found}) {
      CHECK_WHERE(outcome->times == 1, numbered("of ", n));
      CHECK_WHERE(!outcome->succeeded, numbered("of ", n));
    }
    CHECK_WHERE(reserved.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_WHERE(stored.at <= until + Span::ms(60), numbered("of ", n));
    CHECK_EQUAL(static_cast<std::size_t>(0), client.cached_turns());
  }
}

// A request without a previous turn has an empty chain immediately.
TEST(StorageClientAlone, EmptyChainIsComplete) {
  bool whole = false;
  client.find_chain("", "p", "", in(100), [&](const TurnChain& chain) {
    whole = chain.result == LookupResult::complete && chain.turns.empty();
  });
  CHECK_TRUE(whole);
}

// Failed connections are retried with a backoff, not in a busy loop.
TEST(StorageClientAlone, ConnectsWithBackoff) {
  client.on_storage_map(1, storage_nodes(3));
  clock.play(Span::ms(10000));
  CHECK_TRUE(clock.system.connects() >= 6 && clock.system.connects() < 1000);
}

TEST_GROUP(StorageClientLookup) {
  Clockwork clock;
  StorageClient client{clock.scheduler, clock.later, "z", 1, 1U << 20U, 5};
};

// After the deadline the client no longer waits, so a later result would only delay the request.
TEST(StorageClientLookup, EndsByItsDeadline) {
  for (const int n : {0, 1, 3, 5}) {
    for (const double time_limit_ms : {100.0, 800.0}) {
      client.on_storage_map(client.can_replicate() ? 100 + n : n + 1, storage_nodes(n));
      const TimePoint until = clock.system.now() + Span::ms(time_limit_ms);
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
