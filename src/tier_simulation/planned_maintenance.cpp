#include "tier_simulation/planned_maintenance.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span shutdown_timeout = Span::ms(8000);  // from SIGTERM to the removal by force
constexpr Span poll_interval = Span::ms(10);       // for the end of a process
constexpr Span retry_interval = Span::ms(50);      // between calls about a retirement
constexpr Span reply_timeout = Span::ms(1000);
constexpr std::size_t max_attempts = 400;
constexpr std::uint64_t max_gap_ms = 5;  // milliseconds between a machine's end and the next loss

}  // namespace

void PlannedMaintenance::schedule(Span delay, std::function<void()> action) {
  deployment_.simulator().run_after(delay, [this, action = std::move(action)] {
    if (!stopped_) action();
  });
}

sockaddr_in PlannedMaintenance::control_address(std::size_t attempts) const {
  const std::vector<sockaddr_in> all = deployment_.control_addresses();
  return all[attempts % all.size()];
}

void PlannedMaintenance::begin(const Fault& fault, Machine& machine) {
  if (fault.kind == FaultKind::planned_replace) return replace(fault, machine);
  retire(fault, machine, 0);
}

// The old machine goes once the new one has had its time to catch up.
void PlannedMaintenance::replace(const Fault& fault, Machine& old) {
  deployment_.start(deployment_.add_machine(old.role()));
  schedule(catch_up_duration, [this, fault, at = &old] {
    if (!at->is_running()) return;
    deployment_.terminate(*at);
    remove_when_ended(fault, *at, deployment_.simulator().now() + shutdown_timeout);
  });
}

void PlannedMaintenance::remove_when_ended(const Fault& fault, Machine& old, TimePoint latest) {
  if (!old.is_running() || deployment_.simulator().now() >= latest)
    return remove_and_wipe_another(fault, old);
  schedule(poll_interval, [this, fault, at = &old, latest] { remove_when_ended(fault, *at, latest); });
}

void PlannedMaintenance::retire(const Fault& fault, Machine& machine, std::size_t attempts) {
  http_client_.call(control_address(attempts),
                    HttpClient::post("/v1/Retire.Initiate/" + machine.name(), R"({"deadlineS":8})", 0),
                    reply_timeout, [this, fault, at = &machine, attempts](std::optional<HttpResult> result) {
                      if (result && result->status == 409) return;
                      const bool accepted = result && result->status == 200;
                      schedule(retry_interval, [this, fault, at, attempts, accepted] {
                        if (accepted) return remove_when_retired(fault, *at, 0);
                        if (attempts < max_attempts) retire(fault, *at, attempts + 1);
                      });
                    });
  deployment_.simulator().schedule_ready_processes();
}

void PlannedMaintenance::remove_when_retired(const Fault& fault, Machine& machine, std::size_t attempts) {
  http_client_.call(control_address(attempts), HttpClient::get("/v1/Retire.Retrieve/" + machine.name()),
                    reply_timeout, [this, fault, at = &machine, attempts](std::optional<HttpResult> result) {
                      const bool completed = result && result->status == 200 &&
                                             result->body.find("completed") != std::string::npos;
                      const Span delay = completed ? Span() : retry_interval;
                      schedule(delay, [this, fault, at, attempts, completed] {
                        if (completed) return remove_and_wipe_another(fault, *at);
                        if (attempts < max_attempts) remove_when_retired(fault, *at, attempts + 1);
                      });
                    });
  deployment_.simulator().schedule_ready_processes();
}

void PlannedMaintenance::remove_and_wipe_another(const Fault& fault, Machine& machine) {
  const Role role = machine.role();
  deployment_.simulator().trace().record(deployment_.simulator().now(), "FAULT %s goes for good",
                                         machine.name().c_str());
  deployment_.remove(machine);
  schedule(Span::ms(static_cast<double>(fault.random_bits % max_gap_ms)), [this, fault, role] {
    const std::vector<Machine*> left = deployment_.machines_of(role);
    Machine& next = *left[fault.random_bits / max_gap_ms % left.size()];
    if (!next.is_running()) return;
    deployment_.simulator().trace().record(deployment_.simulator().now(), "FAULT %s loses its disk",
                                           next.name().c_str());
    deployment_.lose_power(next, fault.random_bits);
    deployment_.wipe(next);
    schedule(fault.duration, [this, at = &next] { deployment_.start(*at); });
  });
}

}  // namespace chutevane::tier_simulation
