#include "simulation/deployment.hpp"

#include <algorithm>

#include "net/socket.hpp"

namespace chutevane::simulation {
namespace {

constexpr std::uint32_t network = 127U << 24U | 2U << 16U;  // of the simulation alone
constexpr std::uint32_t clients_ip = network | 9U << 8U | 1U;
constexpr std::uint16_t control_port = 8000, internal_port = 7000;
constexpr std::size_t seeds_most = 3;
constexpr Span restart_after = Span::ms(700);  // of a process that has ended by itself

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

Deployment::Deployment(network_simulation::Simulator& simulator, const Shape& shape, std::uint64_t seed)
    : simulator_(simulator),
      shape_(shape),
      chance_(seed),
      clients_(&simulator.process("clients", clients_ip)) {
  for (std::size_t i = 1; i <= std::min(shape.controls, seeds_most); ++i)
    seeds_.push_back(address_of(ip_of(Role::control, i), control_port));
  for (std::size_t i = 0; i < shape.controls; ++i) add(Role::control);
  for (std::size_t i = 0; i < shape.storages; ++i) add(Role::storage);
  for (std::size_t i = 0; i < shape.edges; ++i) add(Role::edge);
}

std::uint64_t Deployment::drawn() { return (std::uint64_t{chance_.next()} << 32U) | chance_.next(); }

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
  out.machine_losses = shape_.losses;
  if (role == Role::control) out.control = at;
  return out;
}

Machine& Deployment::add(Role role) {
  const std::size_t number = ++last_number_[role];
  machines_.push_back(
      std::make_unique<Machine>(simulator_, role, ip_of(role, number), settings_of(role, number), drawn()));
  Machine& out = *machines_.back();
  out.on_value = [this](Machine& m, const common::RegisterValue& value) {
    if (on_value) on_value(m, value);
  };
  out.on_end = [this](Machine& m) { ended(m); };
  return out;
}

void Deployment::start_all() {
  for (const auto& m : machines_) {
    // All start within 0.3 s of each other, in any order.
    simulator_.run_after(Span::ms(300) * chance_.unit(), [this, machine = m.get()] {
      event(*machine);
      machine->start(true);
    });
  }
}

std::vector<Machine*> Deployment::of(Role role) const {
  std::vector<Machine*> out;
  for (const auto& m : machines_) {
    if (m->role() == role && !removed_.contains(m.get())) out.push_back(m.get());
  }
  return out;
}

std::vector<Machine*> Deployment::all() const {
  std::vector<Machine*> out;
  for (const auto& m : machines_) {
    if (!removed_.contains(m.get())) out.push_back(m.get());
  }
  return out;
}

std::vector<sockaddr_in> Deployment::control_addresses() const {
  std::vector<sockaddr_in> out;
  for (const Machine* m : of(Role::control)) out.push_back(*m->settings().control);
  return out;
}

// Of the machines that are there some three, in any order.
std::vector<sockaddr_in> Deployment::seeds_of_now() {
  std::vector<sockaddr_in> out = control_addresses();
  while (out.size() > seeds_most)
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(chance_.next() % out.size()));
  return out;
}

Machine* Deployment::find(const std::string& name) const {
  for (Machine* m : all()) {
    if (m->name() == name) return m;
  }
  return nullptr;
}

// ---- what is done to machines

void Deployment::event(const Machine& machine) {
  event_at_[&machine] = any_event_ = simulator_.now();
  if (machine.role() != Role::edge) core_event_ = simulator_.now();
}

bool Deployment::core_machine(std::size_t number) const {
  return std::any_of(machines_.begin(), machines_.end(),
                     [&](const auto& m) { return m->number() == number && m->role() != Role::edge; });
}

void Deployment::link_event(std::size_t a, std::size_t b) {
  any_event_ = simulator_.now();
  if (core_machine(a) && core_machine(b)) core_event_ = simulator_.now();
  for (const auto& m : machines_) {
    if (m->number() == a || m->number() == b) event_at_[m.get()] = simulator_.now();
  }
}

void Deployment::kill(Machine& machine) {
  event(machine);
  machine.kill();
}

void Deployment::lose_power(Machine& machine, std::uint64_t luck) {
  event(machine);
  machine.lose_power(luck);
}

void Deployment::wipe(Machine& machine) {
  event(machine);
  machine.wipe();
}

void Deployment::start(Machine& machine) {
  if (removed_.contains(&machine) || (machine.running() && !leaving_.contains(&machine))) return;
  event(machine);
  leaving_.erase(&machine);
  machine.reload(seeds_of_now());  // its settings file is of that moment
  machine.start();
}

void Deployment::terminate(Machine& machine) {
  event(machine);
  leaving_.insert(&machine);
  machine.terminate();
}

void Deployment::pause(Machine& machine, Span lasts) {
  event(machine);
  paused_until_[&machine] = std::max(paused_until_[&machine], simulator_.now() + lasts);
  machine.pause(lasts);
  simulator_.run_after(lasts, [this, at = &machine] { event(*at); });
}

Machine& Deployment::replace(Machine& machine) {
  remove(machine);
  return add(machine.role());
}

void Deployment::remove(Machine& machine) {
  event(machine);
  machine.lose_power(drawn());
  removed_.insert(&machine);
  troubled_.erase(&machine);
}

void Deployment::disk_trouble(Machine& machine, DiskTrouble trouble) {
  event(machine);
  machine.disk().trouble = trouble;
  if (trouble == DiskTrouble::none) {
    troubled_.erase(&machine);
  } else {
    troubled_.insert(&machine);
  }
}

void Deployment::slow_disk(Machine& machine, Span sync_takes) {
  event(machine);
  machine.disk().sync_takes = sync_takes;
  if (sync_takes == Span()) {
    troubled_.erase(&machine);
  } else {
    troubled_.insert(&machine);
  }
}

void Deployment::new_seeds(Machine& machine, std::vector<sockaddr_in> seeds) { machine.reload(seeds); }

void Deployment::block(std::size_t from, std::size_t to) {
  link_event(from, to);
  ++blocked_[{from, to}];
  simulator_.block(from, to);
}

void Deployment::unblock(std::size_t from, std::size_t to) {
  const auto found = blocked_.find({from, to});
  if (found == blocked_.end() || found->second == 0) return;
  link_event(from, to);
  --found->second;
  simulator_.unblock(from, to);
}

void Deployment::cut(std::size_t a, std::size_t b, bool told) {
  link_event(a, b);
  simulator_.break_connections(a, b, told);
}

void Deployment::slow(std::size_t a, std::size_t b, double factor) {
  link_event(a, b);
  simulator_.set_delay_factor(a, b, factor);
  const std::pair pair(std::min(a, b), std::max(a, b));
  if (factor > 1.0) {
    slowed_.insert(pair);
  } else {
    slowed_.erase(pair);
  }
}

void Deployment::heal() {
  for (auto& [way, times] : blocked_) {
    while (times > 0) unblock(way.first, way.second);
  }
  for (const auto& [a, b] : std::set(slowed_)) slow(a, b, 1.0);
  for (Machine* m : all()) {
    if (m->disk().trouble != DiskTrouble::none) disk_trouble(*m, DiskTrouble::none);
    if (m->disk().sync_takes != Span()) slow_disk(*m, Span());
    start(*m);
  }
}

void Deployment::ended(Machine& machine) {
  event(machine);
  if (removed_.contains(&machine)) return;
  const bool ordered = leaving_.contains(&machine);
  if (ordered) return;  // who sent SIGTERM starts it again
  if (on_end) on_end(machine);
  simulator_.run_after(restart_after, [this, at = &machine] {
    if (!at->running() && !removed_.contains(at)) start(*at);
  });
}

// ---- who is in touch

bool Deployment::blocked(std::size_t from, std::size_t to) const {
  const auto found = blocked_.find({from, to});
  return found != blocked_.end() && found->second > 0;
}

bool Deployment::connected(const Machine& a, const Machine& b) const {
  return !blocked(a.number(), b.number()) && !blocked(b.number(), a.number());
}

bool Deployment::reaches_majority(const Machine& control) const {
  const std::vector<Machine*> core = of(Role::control);
  std::size_t reached = 0;
  for (const Machine* other : core) {
    if (other->running() && !other->paused() && connected(control, *other)) ++reached;
  }
  return reached * 2 > core.size();
}

bool Deployment::core_stable() const {
  if (simulator_.now() - core_event_ < contact_within) return false;
  const std::vector<Machine*> core = of(Role::control);
  const bool troubled = std::any_of(troubled_.begin(), troubled_.end(),
                                    [](const Machine* m) { return m->role() != Role::edge; });
  const bool slowed = std::any_of(slowed_.begin(), slowed_.end(), [&](const auto& pair) {
    return core_machine(pair.first) && core_machine(pair.second);
  });
  if (troubled || slowed) return false;
  return std::any_of(core.begin(), core.end(),
                     [&](const Machine* m) { return m->running() && !m->paused() && reaches_majority(*m); });
}

bool Deployment::slowed(const Machine& machine) const {
  return std::any_of(slowed_.begin(), slowed_.end(), [&](const auto& pair) {
    return pair.first == machine.number() || pair.second == machine.number();
  });
}

bool Deployment::in_touch(const Machine& edge) const {
  if (!edge.running() || edge.paused() || troubled_.contains(&edge)) return false;
  const auto last = event_at_.find(&edge);
  if (last != event_at_.end() && simulator_.now() - last->second < contact_within) return false;
  if (!core_stable() || slowed(edge)) return false;
  const std::vector<Machine*> core = of(Role::control);
  return std::all_of(core.begin(), core.end(), [&](const Machine* m) {
    return !m->running() || m->paused() || !reaches_majority(*m) || connected(edge, *m);
  });
}

TimePoint Deployment::calm_since() const {
  const bool blocked_now =
      std::any_of(blocked_.begin(), blocked_.end(), [](const auto& one) { return one.second > 0; });
  if (blocked_now || !slowed_.empty() || !troubled_.empty()) return TimePoint::never();
  for (const Machine* m : all()) {
    if (!m->running() || m->paused()) return TimePoint::never();
  }
  return any_event_;
}

}  // namespace chutevane::simulation
