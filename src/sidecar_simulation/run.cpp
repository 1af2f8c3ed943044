#include "sidecar_simulation/run.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "base/log.hpp"
#include "lab/fleet.hpp"
#include "sidecar_simulation/coverage_recorder.hpp"
#include "sidecar_simulation/environment.hpp"
#include "sidecar_simulation/fault_injector.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr std::size_t max_reported_breaches = 5;
// After the last caller has its answer: all dispatches end within it.
constexpr Span quiet_duration = Span::ms(3000);
// With fewer descriptors callers may wait unaccepted, so response times are not judged.
constexpr std::size_t min_judged_descriptors = 256;
// The connection, the request and the answer may each be late by one retransmission.
constexpr double retransmissions_per_call = 3.0;

class SimulationRun {
 public:
  SimulationRun(const Scenario& scenario, network_simulation::Trace& trace)
      : scenario_(scenario),
        trace_(trace),
        environment_(scenario.experiment.seed, scenario.network,
                     static_cast<std::size_t>(scenario.max_descriptors), trace),
        fleet_(with_slack(scenario), scenario.experiment.seed, environment_),
        recorder_(environment_, report_.coverage),
        injector_(scenario, environment_, fleet_, trace) {
    observe_fleet();
    observe_sidecars();
    injector_.on_begin = [this](std::size_t kind, Span duration) { recorder_.begin_fault(kind, duration); };
    injector_.on_effect = [this](std::size_t kind) { report_.coverage.count_fault(kind, 1); };
  }

  ~SimulationRun() {
    simulator().on_close = [](const network_simulation::Process&, const sockaddr_in&) {};
    for (SimulatedSidecar* sidecar : environment_.sidecars())
      sidecar->on_incarnation_end = [](const sidecar::Counters&) {};
    set_log_sink({});
  }
  SimulationRun(const SimulationRun&) = delete;
  SimulationRun& operator=(const SimulationRun&) = delete;

  RunReport run() {
    report_.seed = scenario_.experiment.seed;
    const TimePoint start = simulator().now();
    // Log lines belong to the trace; without one they are dropped.
    set_log_sink([this](std::string_view line) {
      trace_.record(simulator().now(), "log %.*s", static_cast<int>(line.size()), line.data());
    });
    try {
      take_result(fleet_.run({}), start);
    } catch (const std::exception& e) {
      report_breach(std::string("rule 0: ") + e.what());
    }
    report_.simulated_s = (simulator().now() - start).as_ms() / 1000.0;
    report_.events = simulator().events();
    return report_;
  }

 private:
  // The auditor's tolerance grows with what the network may delay.
  static lab::Experiment with_slack(const Scenario& scenario) {
    lab::Experiment out = scenario.experiment;
    const network_simulation::NetworkConditions& network = scenario.network;
    if (network.retransmit_probability > 0.0)
      out.rules.way_slack = network.retransmit_delay * retransmissions_per_call;
    // Timers of a process that gets its turns late are late, several in a row for one call.
    if (network.late_turn_probability > 0.0)
      out.rules.slack = out.rules.slack + network.max_late_turn_delay * 4.0;
    out.rules.slack = out.rules.slack + network.mean_delay * 10.0;
    return out;
  }

  network_simulation::Simulator& simulator() { return environment_.simulator(); }

  void observe_fleet() {
    simulator().on_close = [this](const network_simulation::Process&, const sockaddr_in& at) {
      end_dispatch(at);
    };
    lab::Shared& shared = fleet_.shared();
    shared.told_when_asked_on = true;
    shared.on_taken = [this](std::uint64_t dispatch, const sockaddr_in& from) {
      begin_dispatch(dispatch, from);
    };
    shared.on_call = [this](const char* what, lab::CallKey call) {
      trace_.record(simulator().now(), "call id=%llu %s", static_cast<unsigned long long>(call), what);
    };
    fleet_.on_begin = [this](TimePoint begins) { schedule_faults(begins); };
    fleet_.on_end = [this] { check_all_quiet(); };
  }

  void observe_sidecars() {
    const bool is_short = static_cast<std::size_t>(scenario_.max_descriptors) < min_judged_descriptors;
    for (std::size_t i = 0; i < environment_.sidecars().size(); ++i) {
      environment_.sidecars()[i]->on_incarnation_end = [this, i](const sidecar::Counters& counters) {
        recorder_.end_incarnation(i, counters);
      };
      if (is_short) fleet_.auditor().doubt(i, true);
    }
  }

  void take_result(const lab::Result& result, TimePoint start) {
    for (const lab::Breach& breach : result.breaches) {
      char prefix[80];
      std::snprintf(prefix, sizeof prefix, "rule %d: call %llu at %.3f s: ", breach.rule,
                    static_cast<unsigned long long>(breach.call), (breach.at - start).as_ms() / 1000.0);
      report_breach(prefix + breach.what);
    }
    report_.breach_count +=
        result.breach_count - std::min<std::uint64_t>(result.breach_count, result.breaches.size());
    for (const lab::SidecarResult& sidecar : result.sidecars) {
      if (!sidecar.crash.empty())
        report_breach("rule 0: " + sidecar.crash.substr(0, sidecar.crash.find('\n')));
    }
    report_.dispatches = result.dispatches;
    const lab::Tally all = result.ledger.all();
    report_.calls = all.asked;
    report_.service = all.service();
    for (std::size_t k = 0; k < lab::fault_kinds; ++k) report_.coverage.count_fault(k, result.strikes[k]);
  }

  void report_breach(std::string what) {
    trace_.record(simulator().now(), "breach %s", what.c_str());
    ++report_.breach_count;
    if (report_.breaches.size() < max_reported_breaches) report_.breaches.push_back(std::move(what));
  }

  void schedule_faults(TimePoint begins) {
    for (std::size_t i = 0; i < scenario_.infrastructure_faults.size(); ++i)
      simulator().run_after(begins + scenario_.infrastructure_faults[i].at - simulator().now(),
                            [this, i] { injector_.inject(i); });
    for (const lab::FaultSpec& fault : scenario_.experiment.faults) {
      const auto kind = static_cast<std::size_t>(fault.kind);
      simulator().run_after(begins + fault.at - simulator().now(),
                            [this, kind, duration = fault.lasts] { recorder_.begin_fault(kind, duration); });
    }
  }

  // A dispatch is over once the sidecar has closed its connection, however late the endpoint learns of it.
  using SocketAddress = std::pair<std::uint32_t, std::uint16_t>;
  static SocketAddress key_of(const sockaddr_in& a) { return {a.sin_addr.s_addr, a.sin_port}; }

  void begin_dispatch(std::uint64_t dispatch, const sockaddr_in& from) {
    const auto closed = closed_.find(key_of(from));
    if (closed != closed_.end())
      fleet_.auditor().over(dispatch, closed->second);
    else
      open_dispatches_[key_of(from)] = dispatch;
  }

  void end_dispatch(const sockaddr_in& at) {
    closed_[key_of(at)] = simulator().now();
    const auto found = open_dispatches_.find(key_of(at));
    if (found == open_dispatches_.end()) return;
    fleet_.auditor().over(found->second, simulator().now());
    open_dispatches_.erase(found);
  }

  // No sidecar may still hold a call that nobody waits for.
  void check_all_quiet() {
    const TimePoint until = simulator().now() + quiet_duration;
    while (simulator().now() < until) environment_.turn();
    recorder_.record_verdicts();
    for (SimulatedSidecar* sidecar : environment_.sidecars()) {
      const sidecar::Counters* const counters = sidecar->counters();
      if (counters == nullptr || sidecar->process().is_paused()) continue;
      const std::uint64_t over =
          counters->completed + counters->rejected + counters->aborted + counters->client_disconnects;
      if (counters->calls != over)
        report_breach("rule 0: " + sidecar->process().name() + " took " + std::to_string(counters->calls) +
                      " calls, " + std::to_string(over) + " of them are over");
    }
  }

  const Scenario& scenario_;
  network_simulation::Trace& trace_;
  RunReport report_;
  std::map<SocketAddress, std::uint64_t> open_dispatches_;
  std::map<SocketAddress, TimePoint> closed_;
  SimulatedEnvironment environment_;
  lab::Fleet fleet_;
  CoverageRecorder recorder_;  // knows the sidecars that the fleet has created
  FaultInjector injector_;
};

}  // namespace

std::string RunReport::first_broken_rule() const {
  return breaches.empty() ? "" : breaches.front().substr(0, breaches.front().find(':'));
}

RunReport simulate(const Scenario& scenario, network_simulation::Trace& trace) {
  SimulationRun run(scenario, trace);
  return run.run();
}

}  // namespace chutevane::sidecar_simulation
