/// Measures the CPU time of a request through the real edge, with real sockets on one event loop. The time
/// includes that of the client, the endpoint and storage, so only the difference between two builds is
/// meaningful.
#include <benchmark/benchmark.h>

#include <string>

#include "../tests/edge/harness.hpp"

namespace {

using namespace chutevane::edge::harness;

void request(benchmark::State& state, RouteKind kind) {
  TestEnvironment env(4);
  if (!env.prepare_previous_turn(kind)) return state.SkipWithError("the previous turn was not stored");
  env.respond_normally(kind);
  const auto client = env.client();
  std::size_t number = 0;
  for (auto _ : state) {
    client->send(request_text(numbered("a", ++number), request_of(kind)));
    if (!env.wait_for_responses(*client, number)) return state.SkipWithError("no response");
  }
}

BENCHMARK_CAPTURE(request, idempotent, RouteKind::idempotent)
    ->Iterations(20000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();
BENCHMARK_CAPTURE(request, streaming, RouteKind::streaming)
    ->Iterations(20000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();

}  // namespace

BENCHMARK_MAIN();
