#include "simulation/machine.hpp"

#include "control/control_plane.hpp"
#include "storage/storage_plane.hpp"

namespace chutevane::simulation {
namespace {

constexpr std::size_t descriptors = 4096;

const Machine* at_work = nullptr;

struct AtWork {
  explicit AtWork(const Machine& machine) : before(at_work) { at_work = &machine; }
  ~AtWork() { at_work = before; }
  const Machine* before;
};

std::uint64_t drawn(Pcg& chance) { return (std::uint64_t{chance.next()} << 32U) | chance.next(); }

}  // namespace

const Machine* machine_at_work() { return at_work; }

const char* name_of(Role role) {
  switch (role) {
    case Role::control: return "control";
    case Role::storage: return "storage";
    case Role::edge: return "edge";
  }
  return "";
}

struct Machine::Life {
  explicit Life(network_simulation::Process& process) : scheduler(process), later(scheduler) {}
  net::Scheduler scheduler;
  net::TimerQueue later;
  std::unique_ptr<common::Plane> plane;
};

Machine::Machine(network_simulation::Simulator& simulator, Role role, std::uint32_t ip,
                 common::ProcessSettings settings, std::uint64_t seed)
    : simulator_(simulator),
      role_(role),
      settings_(std::move(settings)),
      process_(simulator.process(settings_.node, ip)),
      chance_(seed) {
  wipe();
}

Machine::~Machine() { kill(); }

std::unique_ptr<common::Plane> Machine::make_plane() {
  auto disk = std::make_unique<DiskHandle>(disk_, [this](Span lasts) { process_.pause(lasts); });
  switch (role_) {
    case Role::control:
      return std::make_unique<control::ControlPlane>(life_->scheduler, settings_, std::move(disk));
    case Role::storage:
      return std::make_unique<storage::StoragePlane>(life_->scheduler, settings_, std::move(disk));
    case Role::edge:
      return std::make_unique<EdgePlane>(life_->scheduler, settings_,
                                         [this](const common::RegisterValue& value) {
                                           if (on_value) on_value(*this, value);
                                         });
  }
  return nullptr;
}

void Machine::start(bool initial) {
  kill();
  const AtWork scope(*this);
  ++lives_;
  settings_.initial_start = initial;
  process_.set_powered_off(false);
  life_ = std::make_unique<Life>(process_);
  process_.run(
      life_->scheduler, [this] { return turn(); }, descriptors);
  life_->plane = make_plane();
  const absl::Status opened = life_->plane->open();
  if (opened.ok()) return;
  last_failure = opened.ToString();
  kill();
  simulator_.run_after(Span(), [this] {
    if (!running() && on_end) on_end(*this);
  });
}

bool Machine::turn() {
  const AtWork scope(*this);
  life_->scheduler.turn();
  if (!life_->plane->finished()) return true;
  last_failure.clear();
  // Its objects go once this turn is over; nothing else of the simulation may see it run again before.
  simulator_.run_after(Span(), [this, life = lives_] {
    if (lives_ != life) return;
    life_.reset();
    if (on_end) on_end(*this);
  });
  return false;
}

void Machine::kill() {
  process_.kill();
  life_.reset();
}

void Machine::lose_power(std::uint64_t luck) {
  process_.lose_power();
  process_.set_powered_off(true);
  life_.reset();
  disk_->contents.power_cycle(luck);
}

void Machine::wipe() { disk_ = std::make_shared<MachineDisk>(drawn(chance_)); }

void Machine::terminate() {
  if (!running()) return;
  life_->later.at(simulator_.now(), [this] { life_->plane->begin_shutdown(); });
  process_.schedule_if_ready();
}

void Machine::reload(const std::vector<sockaddr_in>& seeds) {
  settings_.seeds = seeds;
  if (!running()) return;
  life_->later.at(simulator_.now(), [this] { life_->plane->reload(settings_); });
  process_.schedule_if_ready();
}

EdgePlane* Machine::edge() {
  return role_ == Role::edge && running() ? static_cast<EdgePlane*>(life_->plane.get()) : nullptr;
}

}  // namespace chutevane::simulation
