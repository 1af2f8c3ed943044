#include "tier_simulation/deployment.hpp"

#include <algorithm>

#include "net/socket.hpp"
#include "tier_simulation/random.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr std::uint32_t network = 127U << 24U | 2U << 16U;  // of the simulation alone
constexpr std::uint32_t clients_ip = network | 9U << 8U | 1U;
constexpr std::uint16_t control_port = 8000, internal_port = 7000;
constexpr std::uint16_t front_port = 8080, readiness_port = 8081;
constexpr std::size_t max_seeds = 3;
constexpr Span crash_restart_delay = Span::ms(700);  // of a process that has ended by itself

std::uint32_t ip_of(Role role, std::size_t number) {
  return network | (static_cast<std::uint32_t>(role) + 1) << 8U | static_cast<std::uint32_t>(number);
}

sockaddr_in address_of(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(ip);
  return out;
}

}  // namespace

const sockaddr_in platform_address = address_of(network | 10U << 8U | 1U, 8090);

Deployment::Deployment(network_simulation::Simulator& simulator, const Shape& shape, std::uint64_t seed)
    : simulator_(simulator),
      shape_(shape),
      random_(seed),
      clients_(&simulator.process("clients", clients_ip)),
      platform_(&simulator.process("platform", ntohl(platform_address.sin_addr.s_addr))) {
  for (std::size_t i = 1; i <= std::min(shape.controls, max_seeds); ++i)
    seeds_.push_back(address_of(ip_of(Role::control, i), control_port));
  for (std::size_t i = 0; i < shape.controls; ++i) add_machine(Role::control);
  for (std::size_t i = 0; i < shape.storages; ++i) add_machine(Role::storage);
  for (std::size_t i = 0; i < shape.edges; ++i) add_machine(Role::edge);
}

common::ProcessSettings Deployment::settings_of(Role role, std::size_t number) const {
  common::ProcessSettings out;
  out.node = std::string(name_of(role)) + "-" + std::to_string(number);
  out.role = name_of(role);
  out.zone = "zone-" + std::to_string(number % 3);
  const sockaddr_in at = address_of(ip_of(role, number), control_port);
  out.ip = net::text_of(at).substr(0, net::text_of(at).find(':'));
  out.first_port = internal_port;
  out.last_port = internal_port + 9;
  out.seeds = seeds_;
  out.loss_counted = role != Role::edge;
  out.machine_losses = shape_.tolerated_losses;
  out.history = shape_.history;
  if (role == Role::control) out.control = at;
  if (shape_.has_platform) {
    out.platform = platform_address;
    out.platform_rate = platform_rate;
  }
  if (role == Role::edge) {
    out.front = address_of(ip_of(role, number), front_port);
    out.readiness = address_of(ip_of(role, number), readiness_port);
    out.memory_mb = shape_.edge_memory_mb;
  }
  return out;
}

Machine& Deployment::add_machine(Role role) {
  const std::size_t number = ++last_number_[role];
  machines_.push_back(std::make_unique<Machine>(simulator_, role, ip_of(role, number),
                                                settings_of(role, number), draw_bits(random_)));
  Machine& out = *machines_.back();
  if (role == Role::edge) out.set_buffer_limit(shape_.edge_buffer_bytes);
  if (has_started_) disk_since_[&out] = simulator_.now();
  out.on_value = [this](Machine& m, const common::RegisterValue& value) {
    if (on_value) on_value(m, value);
  };
  out.on_end = [this](Machine& m) { handle_exit(m); };
  return out;
}

void Deployment::start_all() {
  has_started_ = true;
  for (const auto& m : machines_) {
    // All start within 0.3 s of each other, in any order.
    simulator_.run_after(Span::ms(300) * random_.unit(), [this, machine = m.get()] {
      record_event(*machine);
      machine->start(true);
    });
  }
}

std::vector<Machine*> Deployment::machines_of(Role role) const {
  std::vector<Machine*> out;
  for (const auto& m : machines_) {
    if (m->role() == role && !removed_.contains(m.get())) out.push_back(m.get());
  }
  return out;
}

std::vector<Machine*> Deployment::machines() const {
  std::vector<Machine*> out;
  for (const auto& m : machines_) {
    if (!removed_.contains(m.get())) out.push_back(m.get());
  }
  return out;
}

std::vector<sockaddr_in> Deployment::control_addresses() const {
  std::vector<sockaddr_in> out;
  for (const Machine* m : machines_of(Role::control)) out.push_back(*m->settings().control);
  return out;
}

// Some of the control machines that there are now, in their order.
std::vector<sockaddr_in> Deployment::draw_current_seeds() {
  std::vector<sockaddr_in> out = control_addresses();
  while (out.size() > max_seeds)
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(random_.next() % out.size()));
  return out;
}

Machine* Deployment::find(const std::string& name) const {
  for (Machine* m : machines()) {
    if (m->name() == name) return m;
  }
  return nullptr;
}

// --- Faults

void Deployment::record_event(const Machine& machine) {
  event_at_[&machine] = any_event_ = simulator_.now();
  if (machine.role() != Role::edge) core_event_ = simulator_.now();
}

bool Deployment::is_core_machine(std::size_t number) const {
  return std::any_of(machines_.begin(), machines_.end(),
                     [&](const auto& m) { return m->number() == number && m->role() != Role::edge; });
}

void Deployment::record_link_event(std::size_t a, std::size_t b) {
  any_event_ = simulator_.now();
  if (is_core_machine(a) && is_core_machine(b)) core_event_ = simulator_.now();
  for (const auto& m : machines_) {
    if (m->number() == a || m->number() == b) event_at_[m.get()] = simulator_.now();
  }
}

void Deployment::kill(Machine& machine) {
  record_event(machine);
  machine.kill();
}

void Deployment::lose_power(Machine& machine, std::uint64_t random_bits) {
  record_event(machine);
  machine.lose_power(random_bits);
}

void Deployment::wipe(Machine& machine) {
  record_event(machine);
  disk_since_[&machine] = simulator_.now();
  machine.wipe();
}

void Deployment::start(Machine& machine) {
  if (removed_.contains(&machine) || (machine.is_running() && !leaving_.contains(&machine))) return;
  record_event(machine);
  leaving_.erase(&machine);
  machine.reload(draw_current_seeds());  // its settings file is written anew
  machine.start();
}

void Deployment::terminate(Machine& machine) {
  record_event(machine);
  leaving_.insert(&machine);
  machine.terminate();
}

void Deployment::pause(Machine& machine, Span duration) {
  record_event(machine);
  paused_until_[&machine] = std::max(paused_until_[&machine], simulator_.now() + duration);
  machine.pause(duration);
  simulator_.run_after(duration, [this, at = &machine] { record_event(*at); });
}

Machine& Deployment::replace(Machine& machine) {
  remove(machine);
  return add_machine(machine.role());
}

void Deployment::remove(Machine& machine) {
  record_event(machine);
  machine.lose_power(draw_bits(random_));
  removed_.insert(&machine);
  faulty_.erase(&machine);
}

void Deployment::set_disk_fault(Machine& machine, DiskFault fault) {
  record_event(machine);
  machine.disk().fault = fault;
  if (fault == DiskFault::none) {
    faulty_.erase(&machine);
  } else {
    faulty_.insert(&machine);
  }
}

void Deployment::set_sync_duration(Machine& machine, Span sync_duration) {
  record_event(machine);
  machine.disk().sync_duration = sync_duration;
  if (sync_duration == Span()) {
    faulty_.erase(&machine);
  } else {
    faulty_.insert(&machine);
  }
}

void Deployment::set_seeds(Machine& machine, const std::vector<sockaddr_in>& seeds) { machine.reload(seeds); }

void Deployment::block(std::size_t from, std::size_t to) {
  record_link_event(from, to);
  ++blocked_[{from, to}];
  simulator_.block(from, to);
}

void Deployment::unblock(std::size_t from, std::size_t to) {
  const auto found = blocked_.find({from, to});
  if (found == blocked_.end() || found->second == 0) return;
  record_link_event(from, to);
  --found->second;
  simulator_.unblock(from, to);
}

void Deployment::break_connections(std::size_t a, std::size_t b, bool notify_both) {
  record_link_event(a, b);
  simulator_.break_connections(a, b, notify_both);
}

void Deployment::set_delay_factor(std::size_t a, std::size_t b, double factor) {
  record_link_event(a, b);
  simulator_.set_delay_factor(a, b, factor);
  const std::pair pair(std::min(a, b), std::max(a, b));
  if (factor > 1.0) {
    slow_links_.insert(pair);
  } else {
    slow_links_.erase(pair);
  }
}

void Deployment::heal() {
  for (auto& [link, count] : blocked_) {
    while (count > 0) unblock(link.first, link.second);
  }
  for (const auto& [a, b] : std::set(slow_links_)) set_delay_factor(a, b, 1.0);
  for (Machine* m : machines()) {
    if (m->disk().fault != DiskFault::none) set_disk_fault(*m, DiskFault::none);
    if (m->disk().sync_duration != Span()) set_sync_duration(*m, Span());
    start(*m);
  }
}

void Deployment::handle_exit(Machine& machine) {
  record_event(machine);
  if (removed_.contains(&machine)) return;
  const bool ordered = leaving_.contains(&machine);
  if (ordered) return;  // the sender of SIGTERM starts it again
  if (on_end) on_end(machine);
  simulator_.run_after(crash_restart_delay, [this, at = &machine] {
    if (!at->is_running() && !removed_.contains(at)) start(*at);
  });
}

// --- Contact

bool Deployment::blocked(std::size_t from, std::size_t to) const {
  const auto found = blocked_.find({from, to});
  return found != blocked_.end() && found->second > 0;
}

bool Deployment::connected(const Machine& a, const Machine& b) const {
  return !blocked(a.number(), b.number()) && !blocked(b.number(), a.number());
}

bool Deployment::reaches_majority(const Machine& control) const {
  const std::vector<Machine*> core = machines_of(Role::control);
  std::size_t reached = 0;
  for (const Machine* other : core) {
    if (other->is_running() && !other->is_paused() && connected(control, *other)) ++reached;
  }
  return reached * 2 > core.size();
}

bool Deployment::core_stable() const {
  if (simulator_.now() - core_event_ < contact_window) return false;
  const std::vector<Machine*> core = machines_of(Role::control);
  const bool core_faulty =
      std::any_of(faulty_.begin(), faulty_.end(), [](const Machine* m) { return m->role() != Role::edge; });
  const bool slowed = std::any_of(slow_links_.begin(), slow_links_.end(), [&](const auto& pair) {
    return is_core_machine(pair.first) && is_core_machine(pair.second);
  });
  if (core_faulty || slowed) return false;
  return std::any_of(core.begin(), core.end(), [&](const Machine* m) {
    return m->is_running() && !m->is_paused() && reaches_majority(*m);
  });
}

bool Deployment::is_undisturbed(const Machine& machine, Span span) const {
  if (!machine.is_running() || machine.is_paused()) return false;
  if (faulty_.contains(&machine) || leaving_.contains(&machine) || has_slow_link(machine)) return false;
  const bool is_blocked = std::any_of(blocked_.begin(), blocked_.end(), [&](const auto& one) {
    const auto& [link, count] = one;
    return count > 0 && (link.first == machine.number() || link.second == machine.number());
  });
  if (is_blocked) return false;
  const auto last = event_at_.find(&machine);
  return last == event_at_.end() || simulator_.now() - last->second >= span;
}

TimePoint Deployment::disk_since(const Machine& machine) const {
  const auto found = disk_since_.find(&machine);
  return found == disk_since_.end() ? TimePoint() : found->second;
}

bool Deployment::has_slow_link(const Machine& machine) const {
  return std::any_of(slow_links_.begin(), slow_links_.end(), [&](const auto& pair) {
    return pair.first == machine.number() || pair.second == machine.number();
  });
}

bool Deployment::in_touch(const Machine& edge) const {
  if (!edge.is_running() || edge.is_paused() || faulty_.contains(&edge)) return false;
  const auto last = event_at_.find(&edge);
  if (last != event_at_.end() && simulator_.now() - last->second < contact_window) return false;
  if (!core_stable() || has_slow_link(edge)) return false;
  const std::vector<Machine*> core = machines_of(Role::control);
  return std::all_of(core.begin(), core.end(), [&](const Machine* m) {
    return !m->is_running() || m->is_paused() || !reaches_majority(*m) || connected(edge, *m);
  });
}

TimePoint Deployment::calm_since() const {
  const bool blocked_now =
      std::any_of(blocked_.begin(), blocked_.end(), [](const auto& one) { return one.second > 0; });
  if (blocked_now || !slow_links_.empty() || !faulty_.empty()) return TimePoint::never();
  for (const Machine* m : machines()) {
    if (!m->is_running() || m->is_paused()) return TimePoint::never();
  }
  return any_event_;
}

}  // namespace chutevane::tier_simulation
