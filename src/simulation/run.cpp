#include "simulation/run.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "simulation/faults.hpp"
#include "simulation/observers.hpp"
#include "simulation/planned_work.hpp"

namespace chutevane::simulation {
namespace {

constexpr Span operators_begin = Span::ms(600);
constexpr Span sample_every = Span::ms(200);
constexpr std::uint64_t events_most = 30'000'000;  // beyond: something goes round and round

// Lines of the planes' logs, in the run's trace under the machine's name; what they tell of duties.
class LogToTrace {
 public:
  LogToTrace(network_simulation::Simulator& simulator, Faults& faults) {
    common::set_log_sink(
        [&simulator, &faults](common::Level, std::string_view event, std::string_view detail) {
          const Machine* const machine = machine_at_work();
          if (machine == nullptr) return;
          if (event == "duty.won") faults.duty_won(*machine);
          simulator.trace().record(simulator.now(), "log %s: %.*s %.*s", machine->name().c_str(),
                                   static_cast<int>(event.size()), event.data(),
                                   static_cast<int>(detail.size()), detail.data());
        });
  }
  ~LogToTrace() { common::set_log_sink(nullptr); }
  LogToTrace(const LogToTrace&) = delete;
  LogToTrace& operator=(const LogToTrace&) = delete;
};

class Run {
 public:
  Run(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace)
      : plan_(plan),
        chance_(seed + 0x6a09e667),
        simulator_(seed, plan.chances, trace),
        deployment_(simulator_, plan.shape, seed + 1),
        checker_(deployment_, trace),
        callers_(deployment_.clients()),
        faults_(deployment_),
        observers_(deployment_, callers_, checker_),
        planned_(deployment_, callers_),
        programs_(deployment_, checker_, plan.programs, seed + 2),
        log_(simulator_, faults_) {
    if (plan.losses_overlap) checker_.service_may_rest();
    deployment_.on_value = [this](Machine& m, const common::RegisterValue& value) {
      simulator_.trace().record(simulator_.now(), "%s has version %lld, number %lld", m.name().c_str(),
                                static_cast<long long>(value.config_version),
                                static_cast<long long>(value.number));
      checker_.pushed(m, value);
    };
    faults_.on_planned = [this](const Fault& fault, Machine& m) { planned_.apply(fault, m); };
    deployment_.on_end = [this](Machine& m) {
      simulator_.trace().record(simulator_.now(), "%s ended by itself: %s", m.name().c_str(),
                                m.last_failure.c_str());
      if (!faults_.disk_troubled(m))
        checker_.broken("ended", m.name() + " ended by itself: " + m.last_failure);
    };
  }

  Outcome play() {
    deployment_.start_all();
    add_operators();
    for (const Fault& fault : plan_.faults)
      simulator_.run_after(fault.at, [this, &fault] { faults_.apply(fault); });
    sample();
    play_for(plan_.active);
    for (const auto& one : operators_) one->end();
    programs_.end();
    planned_.end();
    faults_.end();
    play_for(plan_.quiet);
    read_back();
    programs_.look_again();
    play_for(Span::ms(1500));
    if (answered_at_end_ < deployment_.of(Role::control).size())
      checker_.broken("no-read", "not all control machines answer a read at the end");
    programs_.finish();
    checker_.finish();
    return outcome();
  }

 private:
  void add_operators() {
    const OperatorLoad& load = plan_.operators;
    for (std::size_t i = 0; i < load.operators; ++i) {
      operators_.push_back(std::make_unique<Operator>(deployment_, callers_, checker_, load,
                                                      faults_.favourite(),
                                                      "operator-" + std::to_string(i + 1), drawn()));
      operators_.back()->on_acknowledged = [this](const sockaddr_in& by) { faults_.acknowledged_by(by); };
      simulator_.run_after(operators_begin, [at = operators_.back().get()] { at->begin(); });
    }
    for (std::size_t i = 0; i < load.readers; ++i) {
      readers_.push_back(
          std::make_unique<Reader>(deployment_, callers_, checker_, load, faults_.favourite(), drawn()));
      simulator_.run_after(operators_begin, [at = readers_.back().get()] { at->begin(); });
    }
    simulator_.run_after(operators_begin, [this] {
      programs_.begin();
      observers_.begin();
    });
  }

  void sample() {
    checker_.sample();
    simulator_.run_after(sample_every, [this] { sample(); });
  }

  void play_for(Span span) {
    const TimePoint end = simulator_.now() + span;
    while (simulator_.now() < end && simulator_.events() < events_most) simulator_.run_next_event();
    if (simulator_.events() >= events_most) checker_.broken("endless", "the run does not come to its end");
  }

  void read_back() {
    for (const sockaddr_in& from : deployment_.control_addresses()) {
      callers_.call(from, Callers::get("/v1/Configuration.Retrieve"), Span::ms(1000),
                    [this, from, reading = checker_.read_begun()](std::optional<HttpResult> result) {
                      if (!result || (result->status != 200 && result->status != 404)) return;
                      ++answered_at_end_;
                      checker_.read_answered(reading, result->version, result->body, net::text_of(from));
                    });
    }
    simulator_.schedule_ready_processes();
  }

  Outcome outcome() const {
    Outcome out;
    out.violations = checker_.violations();
    out.orders = checker_.orders();
    out.acknowledged = checker_.acknowledged();
    out.refused = checker_.refused();
    out.reads = checker_.reads();
    out.pushes = checker_.pushes();
    out.bound = checker_.bound();
    out.turns_found = programs_.turns_found();
    out.faults = faults_.applied();
    out.events = simulator_.events();
    return out;
  }

  std::uint64_t drawn() { return (std::uint64_t{chance_.next()} << 32U) | chance_.next(); }

  const Plan& plan_;
  Pcg chance_;
  network_simulation::Simulator simulator_;
  Deployment deployment_;
  Checker checker_;
  Callers callers_;
  Faults faults_;
  Observers observers_;
  PlannedWork planned_;
  Programs programs_;
  LogToTrace log_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::vector<std::unique_ptr<Reader>> readers_;
  std::size_t answered_at_end_ = 0;
};

bool breaks(const Plan& plan, std::uint64_t seed, const std::string& rule) {
  network_simulation::Trace off;
  const Outcome got = run(plan, seed, off);
  return std::any_of(got.violations.begin(), got.violations.end(),
                     [&](const Violation& v) { return v.rule == rule; });
}

}  // namespace

Outcome run(const Plan& plan, std::uint64_t seed, network_simulation::Trace& trace) {
  return Run(plan, seed, trace).play();
}

Plan shrunk(const Plan& plan, std::uint64_t seed, const std::string& rule) {
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

}  // namespace chutevane::simulation
