// The simulated tier: its machines, what is done to them, and who is in touch by the rules of the service.
//
// All faults go through here, so that what may be expected of the tier at a moment can be told from what was
// done to it, without asking its processes.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "network_simulation/simulator.hpp"
#include "simulation/machine.hpp"

namespace chutevane::simulation {

// The bounds of the contract that the tier is checked against.
constexpr Span contact_within = Span::ms(3000);  // calm for so long: in touch
constexpr Span config_apply = Span::ms(2000);    // from an acknowledgement to its being in force
constexpr Span ack_within = Span::ms(4000);      // from an order to its clear answer
constexpr Span catch_up = Span::ms(4000);        // a machine that is back counts as lost for so long

struct Shape {
  std::size_t controls = 3, storages = 3, edges = 2;
  std::size_t losses = 1;  // machines of control and storage that may be lost at once
};

class Deployment {
 public:
  Deployment(network_simulation::Simulator& simulator, const Shape& shape, std::uint64_t seed);

  void start_all();
  const Shape& shape() const { return shape_; }
  network_simulation::Simulator& simulator() { return simulator_; }
  network_simulation::Process& clients() { return *clients_; }
  // Those of the role that were not removed, in the order of their names.
  std::vector<Machine*> of(Role role) const;
  std::vector<Machine*> all() const;
  // Where operators call, in that order.
  std::vector<sockaddr_in> control_addresses() const;
  Machine* find(const std::string& name) const;

  // What is done to machines. A machine that was killed or lost its power is down until start().
  void kill(Machine& machine);
  void lose_power(Machine& machine, std::uint64_t luck);
  void wipe(Machine& machine);
  void start(Machine& machine);
  void terminate(Machine& machine);
  void pause(Machine& machine, Span lasts);
  // The machine is gone for good; another of its role comes at a new address, and is down.
  Machine& replace(Machine& machine);
  void remove(Machine& machine);
  // One more of the role; it is down.
  Machine& enlarge(Role role) { return add(role); }
  void disk_trouble(Machine& machine, DiskTrouble trouble);
  void slow_disk(Machine& machine, Span sync_takes);
  void new_seeds(Machine& machine, std::vector<sockaddr_in> seeds);

  // Nothing comes through from one to the other, until as many times unblocked.
  void block(std::size_t from, std::size_t to);
  void unblock(std::size_t from, std::size_t to);
  // Their connections are lost; `told`: both ends hear of it, else `a` alone.
  void cut(std::size_t a, std::size_t b, bool told);
  void slow(std::size_t a, std::size_t b, double factor);
  // Every block, freeze and trouble ends; what is down is started.
  void heal();

  // By the rules: more than half of the core runs and is connected, and nothing was done to it of late.
  bool core_stable() const;
  // By the rules: what holds for machines in touch holds for this edge now.
  bool in_touch(const Machine& edge) const;
  bool slowed(const Machine& machine) const;  // a link of it is
  // Since when no link, process or disk of any machine has had trouble; never: there is some now.
  TimePoint calm_since() const;

  std::function<void(Machine&, const common::RegisterValue&)> on_value;
  std::function<void(Machine&)> on_end;  // a process that ended by itself, with no order to

 private:
  Machine& add(Role role);
  common::ProcessSettings settings_of(Role role, std::size_t number) const;
  void event(const Machine& machine);
  void link_event(std::size_t a, std::size_t b);
  bool core_machine(std::size_t number) const;
  bool connected(const Machine& a, const Machine& b) const;
  bool reaches_majority(const Machine& control) const;
  bool blocked(std::size_t from, std::size_t to) const;
  void ended(Machine& machine);
  std::vector<sockaddr_in> seeds_of_now();
  std::uint64_t drawn();

  network_simulation::Simulator& simulator_;
  const Shape shape_;
  Pcg chance_;
  network_simulation::Process* clients_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<Role, std::size_t> last_number_;
  std::set<const Machine*> removed_, leaving_, troubled_;
  std::vector<sockaddr_in> seeds_;
  std::map<std::pair<std::size_t, std::size_t>, int> blocked_;
  std::set<std::pair<std::size_t, std::size_t>> slowed_;
  std::map<const Machine*, TimePoint> paused_until_;
  std::map<const Machine*, TimePoint> event_at_;
  TimePoint core_event_, any_event_;
};

}  // namespace chutevane::simulation
