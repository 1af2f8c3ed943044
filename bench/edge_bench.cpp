/// What a request costs in processor time through the real edge, on real sockets of one loop: the client's,
/// the endpoint's and storage's part is in it too, so differences between two builds count, not the figure.
#include <benchmark/benchmark.h>

#include <string>

#include "../tests/edge/harness.hpp"

namespace {

using namespace chutevane::edge::harness;

void request(benchmark::State& state, Kind kind) {
  Scene scene(4);
  if (!scene.prepare(kind)) return state.SkipWithError("the turn before was not kept");
  scene.answer_well(kind);
  const auto client = scene.client();
  std::size_t number = 0;
  for (auto _ : state) {
    client->send(request_text(numbered("a", ++number), request_of(kind)));
    if (!scene.answered(*client, number)) return state.SkipWithError("no answer");
  }
}

BENCHMARK_CAPTURE(request, idempotent, Kind::idempotent)
    ->Iterations(20000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();
BENCHMARK_CAPTURE(request, streaming, Kind::streaming)
    ->Iterations(20000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();

}  // namespace

BENCHMARK_MAIN();
