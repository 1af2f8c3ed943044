#include "lab/load.hpp"

#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <unordered_map>

#include "lab/discovery.hpp"
#include "lab/endpoint.hpp"
#include "lab/fleet.hpp"
#include "net/signals.hpp"

namespace chutevane::lab {
namespace {

constexpr net::Waker::Bits due = net::Waker::own;
constexpr Span lateness_every = Span::ms(5);
constexpr Span answers_most = Span::ms(500);  // after the end, for what is still out

double own_cpu_ms() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * 1e3 +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e3;
}

class Loader final : public ClientSink, public Dealer {
 public:
  Loader(net::Scheduler& scheduler, const LoadSpec& spec)
      : scheduler_(scheduler),
        spec_(spec),
        chance_(spec.seed, "load"),
        client_(scheduler, *this, *this, spec.callers, Span::ms(60000)),
        waker_(scheduler),
        late_waker_(scheduler),
        timer_(scheduler, waker_, due),
        late_timer_(scheduler, late_waker_, due),
        arriver_(arrive()),
        late_task_(measure()) {}

  void begin() {
    next_ = scheduler_.now();
    late_task_.start();
    if (spec_.rate > 0.0) {
      arriver_.start();
    } else {
      for (std::size_t i = 0; i < spec_.callers; ++i) ask(scheduler_.now());
    }
  }
  void measure_from_now() {
    result = LoadResult{};
    measuring_ = true;
    from_ = scheduler_.now();
  }
  void stop() { stopped_ = true; }
  std::size_t open() const { return intended_.size(); }
  LoadResult result;
  LatencyTable lateness;

  std::optional<Destination> deal() override { return Destination{spec_.to, 0}; }
  void sent(std::uint64_t, std::size_t) override {}
  bool goes_again(std::uint64_t) override { return true; }
  void extra_bytes(std::uint64_t) override { ++result.other; }
  void answered(std::uint64_t request, const http::Parser& answer) override {
    const auto found = intended_.find(request);
    if (found == intended_.end()) return;
    if (found->second >= from_) {
      if (answer.status() == 200) {
        ++result.done;
        result.latency.add((scheduler_.now() - found->second).as_ms());
      } else {
        ++result.other;
      }
    }
    intended_.erase(found);
  }
  void failed(std::uint64_t request, Failure) override {
    if (intended_.erase(request) > 0) ++result.failed;
  }
  void room() override {
    if (spec_.rate > 0.0) {
      while (!waiting_.empty() && client_.has_room()) {
        const TimePoint intended = waiting_.front();
        waiting_.pop_front();
        ask(intended);
      }
    } else if (!stopped_ && client_.has_room()) {
      ask(scheduler_.now());
    }
  }

 private:
  net::Task arrive() {
    while (!stopped_) {
      next_ = next_ + Span::ms(chance_.draw({Distribution::Kind::exponential, 1000.0 / spec_.rate, 0.0}));
      while (next_ > scheduler_.now()) {
        timer_.set(next_);
        co_await waker_.wait(due);
      }
      if (client_.has_room())
        ask(next_);
      else
        waiting_.push_back(next_);
      // Guards the memory against a target that takes less than it is sent.
      while (waiting_.size() > spec_.callers * 100) {
        waiting_.pop_front();
        ++result.not_sent;
      }
    }
  }
  net::Task measure() {
    while (true) {
      const TimePoint wanted = scheduler_.now() + lateness_every;
      late_timer_.set(wanted);
      co_await late_waker_.wait(due);
      if (measuring_) lateness.add((scheduler_.now() - wanted).as_ms());
    }
  }
  void ask(TimePoint intended) {
    const std::uint64_t id = ++last_;
    CallText text;
    text.call = id;
    text.track = spec_.track;
    text.read_only = true;
    text.left = spec_.timeout;
    intended_[id] = intended;
    ++result.asked;
    if (!client_.send(id, call_text(text), scheduler_.now() + spec_.timeout)) {
      intended_.erase(id);
      ++result.not_sent;
    }
  }

  net::Scheduler& scheduler_;
  const LoadSpec& spec_;
  Chance chance_;
  Client client_;
  std::unordered_map<std::uint64_t, TimePoint> intended_;
  std::deque<TimePoint> waiting_;
  std::uint64_t last_ = 0;
  bool stopped_ = false, measuring_ = false;
  TimePoint next_, from_ = TimePoint::never();
  net::Waker waker_, late_waker_;
  net::Timer timer_, late_timer_;
  net::Task arriver_, late_task_;
};

void turn_until(net::Scheduler& scheduler, TimePoint when) {
  while (scheduler.now() < when) scheduler.turn();  // the loader's own timers end each wait
}

}  // namespace

LoadResult run_load(const LoadSpec& spec) {
  net::Scheduler scheduler;
  Loader loader(scheduler, spec);
  loader.begin();
  turn_until(scheduler, scheduler.now() + spec.settle);
  loader.measure_from_now();
  const Usage before = usage_of(spec.pid).value_or(Usage{});
  const double own = own_cpu_ms();
  const TimePoint from = scheduler.now();
  turn_until(scheduler, from + spec.lasts);
  const Usage after = usage_of(spec.pid).value_or(Usage{});
  LoadResult out = loader.result;
  out.seconds = (scheduler.now() - from).as_ms() / 1000.0;
  out.own_cpu_ms = own_cpu_ms() - own;
  out.used = after;
  out.used.cpu_ms -= before.cpu_ms;
  out.used.user_ms -= before.user_ms;
  out.used.system_ms -= before.system_ms;
  out.late_p99_ms = loader.lateness.quantile(0.99);
  loader.stop();
  const TimePoint latest = scheduler.now() + answers_most;
  while (loader.open() > 0 && scheduler.now() < latest) scheduler.turn();
  return out;
}

std::string load_table(const LoadSpec& spec, const LoadResult& r) {
  char room[800];
  const double done = static_cast<double>(std::max<std::uint64_t>(1, r.done + r.other));
  std::snprintf(
      room, sizeof room,
      "%zu callers, %s, %.1f s\n"
      "  answered %llu (%.0f/s), of them not done %llu; failed %llu, not sent %llu\n"
      "  latency ms: p50 %.3f, p99 %.3f, p99.9 %.3f\n"
      "  its CPU: %.1f us a call (%.1f in the kernel), %.0f%% of a core; resident %.1f MB, most %.1f MB\n"
      "  the lab: %.1f us a call, %.0f%% of a core, timers late by %.2f ms (99th percentile)\n",
      spec.callers,
      spec.rate > 0.0 ? (std::to_string(static_cast<long>(spec.rate)) + " calls/s").c_str()
                      : "each asks again at once",
      r.seconds, static_cast<unsigned long long>(r.done + r.other), done / r.seconds,
      static_cast<unsigned long long>(r.other), static_cast<unsigned long long>(r.failed),
      static_cast<unsigned long long>(r.not_sent), r.latency.quantile(0.5), r.latency.quantile(0.99),
      r.latency.quantile(0.999), 1000.0 * r.used.cpu_ms / done, 1000.0 * r.used.system_ms / done,
      r.used.cpu_ms / r.seconds / 10.0, r.used.resident_kb / 1024.0, r.used.most_resident_kb / 1024.0,
      1000.0 * r.own_cpu_ms / done, r.own_cpu_ms / r.seconds / 10.0, r.late_p99_ms);
  return room;
}

int run_stand_in(const StandInSpec& spec) {
  Experiment e;
  e.tracks.emplace_back();
  e.tracks.back().name = "load";
  e.tracks.back().soft_limit = Span::ms(1000);
  e.tracks.back().client_timeout = Span::ms(2000);
  e.tiers.emplace_back();
  TierSpec& tier = e.tiers.back();
  tier.name = "load";
  tier.zones = {"a"};
  tier.endpoints = spec.endpoints;
  tier.machine.cores = spec.cores;
  tier.machine.queue = 100000;
  tier.connections = 10000;
  tier.work = {Distribution::Kind::fixed, spec.work_ms, 0.0};
  tier.idle_close = Span::ms(60000);
  net::Scheduler scheduler;
  net::Waker waker(scheduler);
  net::Signals signals(scheduler, waker, {SIGTERM, SIGINT});
  Auditor auditor(e.rules, e.tracks, true);
  auditor.only_count();
  Shared shared(e, auditor, 1);
  Book book;
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
  for (int i = 0; i < spec.endpoints; ++i) {
    EndpointStandIn::Spec one;
    one.key = static_cast<EndpointKey>(i + 1);
    one.id = "load-" + std::to_string(i);
    one.address = spec.listen;
    one.address.sin_addr.s_addr = htonl(ntohl(spec.listen.sin_addr.s_addr) + static_cast<std::uint32_t>(i));
    endpoints.push_back(std::make_unique<EndpointStandIn>(scheduler, shared, one));
    endpoints.back()->open();
    book.publish({one.id, net::text_of(one.address), "a", 0, Availability::ready, TimePoint(), one.key},
                 TimePoint());
  }
  DiscoveryAgent agent(scheduler, book, 0, Span(), shared);
  agent.open(spec.discovery);
  agent.look();
  while (signals.next() == 0) scheduler.turn();
  return 0;
}

}  // namespace chutevane::lab
