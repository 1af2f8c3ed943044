#include "tier_simulation/machine.hpp"

#include "control/control_plane.hpp"
#include "tier_simulation/random.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr std::size_t max_descriptors = 4096;

const Machine* running_machine = nullptr;

struct CurrentMachineScope {
  explicit CurrentMachineScope(const Machine& machine) : before(running_machine) {
    running_machine = &machine;
  }
  ~CurrentMachineScope() { running_machine = before; }
  const Machine* before;
};

}  // namespace

const Machine* current_machine() { return running_machine; }

const char* name_of(Role role) {
  switch (role) {
    case Role::control: return "control";
    case Role::storage: return "storage";
    case Role::edge: return "edge";
  }
  return "";
}

struct Machine::Incarnation {
  explicit Incarnation(network_simulation::Process& process) : scheduler(process), timers(scheduler) {}
  net::Scheduler scheduler;
  net::TimerQueue timers;
  std::unique_ptr<common::Plane> plane;
};

Machine::Machine(network_simulation::Simulator& simulator, Role role, std::uint32_t ip,
                 common::ProcessSettings settings, std::uint64_t seed)
    : simulator_(simulator),
      role_(role),
      settings_(std::move(settings)),
      process_(simulator.process(settings_.node, ip)),
      random_(seed) {
  wipe();
}

Machine::~Machine() { kill(); }

std::unique_ptr<common::Plane> Machine::make_plane() {
  auto disk = std::make_unique<DiskHandle>(disk_, [this](Span duration) { process_.pause(duration); });
  switch (role_) {
    case Role::control:
      return std::make_unique<control::ControlPlane>(incarnation_->scheduler, settings_, std::move(disk));
    case Role::storage:
      return std::make_unique<storage::StoragePlane>(incarnation_->scheduler, settings_, std::move(disk));
    case Role::edge: {
      auto plane = std::make_unique<edge::DataPlane>(incarnation_->scheduler, settings_);
      plane->on_value_applied([this](const common::RegisterValue& value) {
        if (on_value) on_value(*this, value);
      });
      return plane;
    }
  }
  return nullptr;
}

const net::BufferBudget* Machine::buffer_budget() const {
  return is_running() ? &incarnation_->scheduler.buffer_budget() : nullptr;
}

void Machine::start(bool initial) {
  kill();
  const CurrentMachineScope scope(*this);
  ++incarnations_;
  settings_.initial_start = initial;
  process_.set_powered_off(false);
  incarnation_ = std::make_unique<Incarnation>(process_);
  if (buffer_limit_ > 0) incarnation_->scheduler.buffer_budget().set_limit(buffer_limit_);
  process_.run(
      incarnation_->scheduler, [this] { return run_turn(); }, max_descriptors);
  incarnation_->plane = make_plane();
  const absl::Status opened = incarnation_->plane->open();
  if (opened.ok()) return;
  last_failure = opened.ToString();
  kill();
  simulator_.run_after(Span(), [this] {
    if (!is_running() && on_end) on_end(*this);
  });
}

bool Machine::run_turn() {
  const CurrentMachineScope scope(*this);
  incarnation_->scheduler.turn();
  if (!incarnation_->plane->finished()) return true;
  last_failure.clear();
  // Its objects are destroyed after this turn; the machine cannot have been started again before.
  simulator_.run_after(Span(), [this, started = incarnations_] {
    if (incarnations_ != started) return;
    incarnation_.reset();
    if (on_end) on_end(*this);
  });
  return false;
}

void Machine::kill() {
  process_.kill();
  incarnation_.reset();
}

void Machine::lose_power(std::uint64_t random_bits) {
  process_.lose_power();
  process_.set_powered_off(true);
  incarnation_.reset();
  disk_->contents.power_cycle(random_bits);
}

void Machine::wipe() { disk_ = std::make_shared<MachineDisk>(draw_bits(random_)); }

void Machine::terminate() {
  if (!is_running()) return;
  incarnation_->timers.at(simulator_.now(), [this] { incarnation_->plane->begin_shutdown(); });
  process_.schedule_if_ready();
}

void Machine::reload(const std::vector<sockaddr_in>& seeds) {
  settings_.seeds = seeds;
  if (!is_running()) return;
  incarnation_->timers.at(simulator_.now(), [this] { incarnation_->plane->reload(settings_); });
  process_.schedule_if_ready();
}

edge::DataPlane* Machine::edge() {
  return role_ == Role::edge && is_running() ? static_cast<edge::DataPlane*>(incarnation_->plane.get())
                                             : nullptr;
}

const storage::StoragePlane* Machine::storage() const {
  return role_ == Role::storage && is_running()
             ? static_cast<const storage::StoragePlane*>(incarnation_->plane.get())
             : nullptr;
}

}  // namespace chutevane::tier_simulation
