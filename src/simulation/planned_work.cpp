#include "simulation/planned_work.hpp"

namespace chutevane::simulation {
namespace {

constexpr Span grace = Span::ms(8000);     // from SIGTERM to the end by force
constexpr Span look_every = Span::ms(10);  // whether a process has ended
constexpr Span ask_every = Span::ms(50);   // whether a machine is emptied
constexpr Span answer_within = Span::ms(1000);
constexpr std::size_t tries_most = 400;
constexpr std::uint64_t gap_most = 5;  // milliseconds between a machine's end and the next loss

}  // namespace

void PlannedWork::later(Span in, std::function<void()> what) {
  deployment_.simulator().run_after(in, [this, what = std::move(what)] {
    if (!over_) what();
  });
}

sockaddr_in PlannedWork::control_address(std::size_t tries) const {
  const std::vector<sockaddr_in> all = deployment_.control_addresses();
  return all[tries % all.size()];
}

void PlannedWork::apply(const Fault& fault, Machine& machine) {
  if (fault.kind == FaultKind::planned_replace) return replace(fault, machine);
  retire(fault, machine, 0);
}

// The old one may go once the new one has had its time to catch up.
void PlannedWork::replace(const Fault& fault, Machine& old) {
  deployment_.start(deployment_.enlarge(old.role()));
  later(catch_up, [this, fault, at = &old] {
    if (!at->running()) return;
    deployment_.terminate(*at);
    gone_when_ended(fault, *at, deployment_.simulator().now() + grace);
  });
}

void PlannedWork::gone_when_ended(const Fault& fault, Machine& old, TimePoint latest) {
  if (!old.running() || deployment_.simulator().now() >= latest) return remove_and_wipe_another(fault, old);
  later(look_every, [this, fault, at = &old, latest] { gone_when_ended(fault, *at, latest); });
}

void PlannedWork::retire(const Fault& fault, Machine& machine, std::size_t tries) {
  callers_.call(control_address(tries),
                Callers::post("/v1/Retire.Initiate/" + machine.name(), R"({"deadlineS":8})", 0),
                answer_within, [this, fault, at = &machine, tries](std::optional<HttpResult> result) {
                  if (result && result->status == 409) return;
                  const bool taken = result && result->status == 200;
                  later(ask_every, [this, fault, at, tries, taken] {
                    if (taken) return removed_when_completed(fault, *at, 0);
                    if (tries < tries_most) retire(fault, *at, tries + 1);
                  });
                });
  deployment_.simulator().schedule_ready_processes();
}

void PlannedWork::removed_when_completed(const Fault& fault, Machine& machine, std::size_t tries) {
  callers_.call(control_address(tries), Callers::get("/v1/Retire.Retrieve/" + machine.name()), answer_within,
                [this, fault, at = &machine, tries](std::optional<HttpResult> result) {
                  const bool completed =
                      result && result->status == 200 && result->body.find("completed") != std::string::npos;
                  const Span in = completed ? Span() : ask_every;
                  later(in, [this, fault, at, tries, completed] {
                    if (completed) return remove_and_wipe_another(fault, *at);
                    if (tries < tries_most) removed_when_completed(fault, *at, tries + 1);
                  });
                });
  deployment_.simulator().schedule_ready_processes();
}

void PlannedWork::remove_and_wipe_another(const Fault& fault, Machine& machine) {
  const Role role = machine.role();
  deployment_.simulator().trace().record(deployment_.simulator().now(), "FAULT %s goes for good",
                                         machine.name().c_str());
  deployment_.remove(machine);
  later(Span::ms(static_cast<double>(fault.luck % gap_most)), [this, fault, role] {
    const std::vector<Machine*> left = deployment_.of(role);
    Machine& next = *left[fault.luck / gap_most % left.size()];
    if (!next.running()) return;
    deployment_.simulator().trace().record(deployment_.simulator().now(), "FAULT %s loses its disk",
                                           next.name().c_str());
    deployment_.lose_power(next, fault.luck);
    deployment_.wipe(next);
    later(fault.lasts, [this, at = &next] { deployment_.start(*at); });
  });
}

}  // namespace chutevane::simulation
