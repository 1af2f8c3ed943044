#include "tier_simulation/run.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "tier_simulation/coordination_clients.hpp"
#include "tier_simulation/fault_injector.hpp"
#include "tier_simulation/planned_maintenance.hpp"
#include "tier_simulation/random.hpp"
#include "tier_simulation/read_liveness.hpp"
#include "tier_simulation/session_observers.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span clients_start_at = Span::ms(600);
constexpr Span coordination_starts_at = Span::ms(1500);
constexpr Span traffic_starts_at = Span::ms(2000);
constexpr Span continuation_time = Span::ms(14000);  // a client asks again for as long as recovery may take
constexpr Span sample_interval = Span::ms(200);
constexpr std::uint64_t max_events = 30'000'000;  // a run with more does not come to its end

// Writes the planes' log lines into the trace under the machine's name, and notes who wins singleton roles.
class LogTracer {
 public:
  LogTracer(network_simulation::Simulator& simulator, FaultInjector& faults) {
    common::set_log_sink(
        [&simulator, &faults](common::Level, std::string_view event, std::string_view detail) {
          const Machine* const machine = current_machine();
          if (machine == nullptr) return;
          if (event == "duty.won") faults.on_role_won(*machine, detail);
          simulator.trace().record(simulator.now(), "log %s: %.*s %.*s", machine->name().c_str(),
                                   static_cast<int>(event.size()), event.data(),
                                   static_cast<int>(detail.size()), detail.data());
        });
  }
  ~LogTracer() { common::set_log_sink(nullptr); }
  LogTracer(const LogTracer&) = delete;
  LogTracer& operator=(const LogTracer&) = delete;
};

class SimulationRun {
 public:
  SimulationRun(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace)
      : plan_(plan),
        random_(seed + 0x6a09e667),
        simulator_(seed, plan.network, trace),
        deployment_(simulator_, plan.shape, seed + 1),
        checker_(deployment_, trace),
        http_client_(deployment_.clients()),
        fault_injector_(deployment_),
        session_observers_(deployment_, http_client_, checker_),
        read_liveness_(deployment_, http_client_, checker_),
        planned_maintenance_(deployment_, http_client_),
        agent_programs_(deployment_, checker_, plan.programs, seed + 2),
        log_(simulator_, fault_injector_) {
    if (plan.traffic.is_on)
      traffic_ = std::make_unique<Traffic>(deployment_, checker_, plan.traffic, seed + 3);
    if (plan.coordination.is_on) {
      coordination_ = std::make_unique<CoordinationClients>(
          deployment_, http_client_, plan.coordination, plan.shape.history,
          [this](const std::string& rule, const std::string& text) { checker_.report_violation(rule, text); },
          seed + 4);
    }
    if (plan.losses_overlap) checker_.suspend_availability_rules();
    deployment_.on_value = [this](Machine& m, const common::RegisterValue& value) {
      simulator_.trace().record(simulator_.now(), "%s has version %lld, number %lld", m.name().c_str(),
                                static_cast<long long>(value.config_version),
                                static_cast<long long>(value.number));
      checker_.record_push(m, value);
    };
    fault_injector_.on_traffic_fault = [this](const Fault& fault) { return begin_traffic_fault(fault); };
    fault_injector_.on_planned_maintenance = [this](const Fault& fault, Machine& m) {
      planned_maintenance_.begin(fault, m);
    };
    deployment_.on_end = [this](Machine& m) {
      simulator_.trace().record(simulator_.now(), "%s ended by itself: %s", m.name().c_str(),
                                m.last_failure.c_str());
      if (!fault_injector_.had_disk_fault(m))
        checker_.report_violation("ended", m.name() + " ended by itself: " + m.last_failure);
    };
  }

  RunResult run() {
    deployment_.start_all();
    start_traffic();
    add_operators();
    for (const Fault& fault : plan_.faults)
      simulator_.run_after(fault.at, [this, &fault] { fault_injector_.inject(fault); });
    sample();
    run_for(plan_.active_duration);
    for (const auto& one : operators_) one->stop();
    agent_programs_.stop();
    if (traffic_) traffic_->stop();
    if (coordination_) coordination_->stop();
    planned_maintenance_.stop();
    fault_injector_.stop();
    if (traffic_) traffic_->set_platform_fault(lab::tier::ListFault::none);
    run_for(plan_.quiet_duration);
    read_back();
    agent_programs_.look_up_all();
    run_for(Span::ms(1500));
    if (final_reads_ < deployment_.machines_of(Role::control).size())
      checker_.report_violation("no-read", "not all control machines answer a read at the end");
    agent_programs_.finish();
    finish_coordination();
    finish_traffic();
    checker_.finish();
    return result();
  }

 private:
  void add_operators() {
    const OperatorLoad& load = plan_.operators;
    for (std::size_t i = 0; i < load.operators; ++i) {
      operators_.push_back(std::make_unique<Operator>(
          deployment_, http_client_, checker_, load, fault_injector_.preferred_machine(),
          "operator-" + std::to_string(i + 1), draw_bits(random_)));
      operators_.back()->on_acknowledged = [this](const sockaddr_in& by) {
        fault_injector_.on_acknowledged_by(by);
      };
      simulator_.run_after(clients_start_at, [at = operators_.back().get()] { at->begin(); });
    }
    for (std::size_t i = 0; i < load.readers; ++i) {
      readers_.push_back(std::make_unique<Reader>(deployment_, http_client_, checker_, load,
                                                  fault_injector_.preferred_machine(), draw_bits(random_)));
      simulator_.run_after(clients_start_at, [at = readers_.back().get()] { at->begin(); });
    }
    if (coordination_) simulator_.run_after(coordination_starts_at, [this] { coordination_->begin(); });
    simulator_.run_after(clients_start_at, [this] {
      agent_programs_.begin();
      session_observers_.begin();
      read_liveness_.begin();
    });
  }

  void start_traffic() {
    if (!traffic_) return;
    traffic_->start_endpoints();
    simulator_.schedule_ready_processes();
    simulator_.run_after(traffic_starts_at, [this] {
      traffic_->begin();
      simulator_.schedule_ready_processes();
    });
  }

  /// Returns what ends the fault; nothing: it ends by itself.
  std::function<void()> begin_traffic_fault(const Fault& fault) {
    if (!traffic_) return {};
    const auto with_platform_fault = [this](lab::tier::ListFault list_fault) -> std::function<void()> {
      traffic_->set_platform_fault(list_fault);
      return [this] { traffic_->set_platform_fault(lab::tier::ListFault::none); };
    };
    switch (fault.kind) {
      case FaultKind::endpoint_drain:
        traffic_->change_endpoint(EndpointChange::drain, fault.random_bits);
        break;
      case FaultKind::endpoint_replace:
        traffic_->change_endpoint(EndpointChange::replace, fault.random_bits);
        break;
      case FaultKind::endpoint_crash:
        traffic_->change_endpoint(EndpointChange::crash, fault.random_bits);
        break;
      case FaultKind::platform_unavailable: return with_platform_fault(lab::tier::ListFault::unavailable);
      case FaultKind::platform_stale: return with_platform_fault(lab::tier::ListFault::stale);
      case FaultKind::platform_slow: return with_platform_fault(lab::tier::ListFault::slow);
      default: break;
    }
    simulator_.schedule_ready_processes();
    return {};
  }

  void finish_coordination() {
    if (!coordination_) return;
    coordination_->ask_for_all();
    simulator_.schedule_ready_processes();
    run_for(max_final_duration);
    coordination_->finish();
  }

  void finish_traffic() {
    if (!traffic_) return;
    traffic_->continue_old_conversations();
    simulator_.schedule_ready_processes();
    run_for(continuation_time);
    traffic_->finish();
  }

  void sample() {
    checker_.sample();
    agent_programs_.check_replicas();
    simulator_.run_after(sample_interval, [this] { sample(); });
  }

  void run_for(Span span) {
    const TimePoint end = simulator_.now() + span;
    while (simulator_.now() < end && simulator_.events() < max_events) simulator_.run_next_event();
    if (simulator_.events() >= max_events)
      checker_.report_violation("endless", "the run does not come to its end");
  }

  void read_back() {
    for (const sockaddr_in& from : deployment_.control_addresses()) {
      http_client_.call(from, HttpClient::get("/v1/Configuration.Retrieve"), Span::ms(1000),
                        [this, from, reading = checker_.begin_read()](std::optional<HttpResult> result) {
                          if (!result || (result->status != 200 && result->status != 404)) return;
                          ++final_reads_;
                          checker_.record_read(reading, result->version, result->body, net::text_of(from));
                        });
    }
    simulator_.schedule_ready_processes();
  }

  RunResult result() const {
    RunResult out;
    out.violations = checker_.violations();
    out.submissions = checker_.submissions();
    out.acknowledged = checker_.acknowledged();
    out.rejected = checker_.rejected();
    out.reads = checker_.reads();
    out.pushes = checker_.pushes();
    out.checked_samples = checker_.checked_samples();
    out.liveness_reads = read_liveness_.checked_reads();
    out.turns_completed = traffic_ ? traffic_->turns_completed() : 0;
    out.coordination_calls = coordination_ ? coordination_->answered() : 0;
    out.turns_found = agent_programs_.turns_found();
    out.faults = fault_injector_.injected_counts();
    out.events = simulator_.events();
    return out;
  }

  const Plan& plan_;
  Pcg random_;
  network_simulation::Simulator simulator_;
  Deployment deployment_;
  Checker checker_;
  HttpClient http_client_;
  FaultInjector fault_injector_;
  SessionObservers session_observers_;
  ReadLiveness read_liveness_;
  PlannedMaintenance planned_maintenance_;
  AgentPrograms agent_programs_;
  LogTracer log_;
  std::unique_ptr<Traffic> traffic_;                   // null: the plan has none
  std::unique_ptr<CoordinationClients> coordination_;  // null: the plan has none
  std::vector<std::unique_ptr<Operator>> operators_;
  std::vector<std::unique_ptr<Reader>> readers_;
  std::size_t final_reads_ = 0;
};

bool breaks(const Plan& plan, std::uint64_t seed, const std::string& rule) {
  network_simulation::Trace off;
  const RunResult got = simulate(plan, seed, off);
  return std::any_of(got.violations.begin(), got.violations.end(),
                     [&](const Violation& v) { return v.rule == rule; });
}

}  // namespace

RunResult simulate(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace) {
  return SimulationRun(plan, seed, trace).run();
}

Plan shrink_plan(const Plan& plan, std::uint64_t seed, const std::string& rule) {
  Plan least = plan;
  for (bool dropped = true; dropped;) {
    dropped = false;
    for (std::size_t i = least.faults.size(); i-- > 0;) {
      Plan without = least;
      without.faults.erase(without.faults.begin() + static_cast<std::ptrdiff_t>(i));
      if (!breaks(without, seed, rule)) continue;
      least = std::move(without);
      dropped = true;
    }
  }
  return least;
}

}  // namespace chutevane::tier_simulation
