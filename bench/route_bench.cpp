// What a route decision, a split and a limit cost; the plain scan beside the compiled table, in one run.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "limit/limiter.hpp"
#include "pool/traffic_split.hpp"
#include "route/route_table.hpp"

namespace chutevane {
namespace {

using route::Route;

// A hundred routes a host, by path; every tenth with a header.
std::vector<Route> routes(int n) {
  std::vector<Route> out;
  for (int i = 0; i < n; ++i) {
    Route r;
    r.host = "service-" + std::to_string(i / 100) + ".example.org";
    r.path_kind = Route::PathKind::prefix;
    r.path = "/api/v1/part-" + std::to_string(i % 100);
    if (i % 10 == 9) r.headers.push_back({"x-version", route::HeaderMatcher::Kind::exact, "2"});
    out.push_back(r);
  }
  return out;
}

struct Asked final : route::RequestView {
  std::string h, p;
  std::string_view host() const override { return h; }
  std::string_view path() const override { return p; }
  std::string_view method() const override { return "GET"; }
  std::optional<std::string_view> header(std::string_view name) const override {
    if (name == "x-version") return "2";
    return std::nullopt;
  }
};

std::vector<Asked> asked(int n) {
  std::vector<Asked> out(512);
  for (std::size_t i = 0; i < out.size(); ++i) {
    const int at = static_cast<int>(i * 7919U % static_cast<unsigned>(n));
    out[i].h = "service-" + std::to_string(at / 100) + ".example.org";
    out[i].p = "/api/v1/part-" + std::to_string(at % 100) + "/item/" + std::to_string(i);
  }
  return out;
}

void compiled(benchmark::State& state) {
  const int n = static_cast<int>(state.range(0));
  const route::RouteTable table(routes(n));
  const std::vector<Asked> requests = asked(n);
  std::size_t i = 0;
  for (auto _ : state) benchmark::DoNotOptimize(table.match(requests[i++ % requests.size()]));
  state.counters["bytes"] = static_cast<double>(table.bytes());
}
BENCHMARK(compiled)->Arg(10)->Arg(1000)->Arg(10000);

void scanned(benchmark::State& state) {
  const int n = static_cast<int>(state.range(0));
  const std::vector<Route> all = routes(n);
  const std::vector<Asked> requests = asked(n);
  std::size_t i = 0;
  for (auto _ : state) {
    const Asked& request = requests[i++ % requests.size()];
    const Route* best = nullptr;
    for (const Route& r : all) {
      if (matches(r, request) && (best == nullptr || compare_specificity(r, *best) < 0)) best = &r;
    }
    benchmark::DoNotOptimize(best);
  }
}
BENCHMARK(scanned)->Arg(10)->Arg(1000)->Arg(10000);

void built(benchmark::State& state) {
  const std::vector<Route> all = routes(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(route::RouteTable(all));
}
BENCHMARK(built)->Arg(10000)->Unit(benchmark::kMillisecond);

void split(benchmark::State& state) {
  const pool::TrafficSplit two(std::vector<pool::SplitTarget>{{"current", 95}, {"next", 5}});
  const std::string key = "user-4711";
  for (auto _ : state) benchmark::DoNotOptimize(two.choose(key));
}
BENCHMARK(split);

void limited(benchmark::State& state) {
  limit::LimitConfig config;
  config.max_in_flight = 1000;
  config.client_rate = {1e9, 1e9};
  limit::Limiter limiter(config, 1, TimePoint());
  std::vector<std::string> clients;
  for (int i = 0; i < state.range(0); ++i) clients.push_back("client-" + std::to_string(i));
  std::int64_t us = 0;
  std::size_t i = 0;
  for (auto _ : state) {
    const limit::Admission a = limiter.admit(clients[i++ % clients.size()], TimePoint() + Span::us(++us));
    if (a.rejection == limit::Rejection::none) limiter.release(a.client_slot);
  }
  state.counters["bytes"] = static_cast<double>(limiter.bytes());
}
BENCHMARK(limited)->Arg(10)->Arg(10000)->Arg(100000);

}  // namespace
}  // namespace chutevane

BENCHMARK_MAIN();
