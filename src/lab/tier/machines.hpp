// The tier's processes, one machine each on loopback: settings, starts, signals, disks, and how they end.
#pragma once

#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/loopback.hpp"
#include "lab/process.hpp"
#include "lab/tier/auditor.hpp"
#include "lab/tier/fault_plan.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::lab::tier {

class Machines {
 public:
  struct Spec {
    std::string programs;            // folder of chutevane-control, -storage, -edge
    std::string folder;              // for settings, logs and data
    sockaddr_in list{};              // of endpoints
    double list_rate = 40;           // pages a second
    Span drain;                      // of an endpoint that leaves
    Span history;                    // for how long a watch of keys may be resumed
    double memory_mb = 260;          // limit of each process, in 10^6 bytes
    std::size_t descriptors = 1000;  // limit of each process
    bool relayed = false;            // processes hear their peers at another address than they announce
  };
  struct Machine {
    MachinePlane plane = MachinePlane::edge;
    std::string node, zone;
    sockaddr_in at{}, bound{};  // announced, and where it listens for its peers: any port
    Process process;
    bool down_by_order = false;  // a trouble, or an order to end
    std::string settings, log, data;
    std::size_t disks_lost = 0, seeds_turned = 0;
  };
  enum class Start : std::uint8_t { first, again };

  Machines(net::TimerQueue& timers, const AddressBlock& addresses, Auditor& auditor, const Spec& spec);
  void add(MachinePlane plane, std::size_t number, const char* zone);
  const std::vector<std::unique_ptr<Machine>>& all() const { return machines_; }
  std::vector<Machine*> of(MachinePlane plane) const;
  Machine& at(MachinePlane plane, std::size_t place) const { return *of(plane).at(place); }

  static sockaddr_in front_of(const Machine& machine);
  static sockaddr_in readiness_of(const Machine& machine);
  static sockaddr_in control_of(const Machine& machine);
  static sockaddr_in metrics_of(const Machine& machine);
  // Where others look for it, and where it listens: the same, unless its ways are relayed.
  static sockaddr_in announced_to_peers(const Machine& machine);
  static sockaddr_in bound_for_peers(const Machine& machine);

  void start(Machine& machine, Start start);
  void kill(Machine& machine);
  void lose_disk(Machine& machine);  // of one that is down; put aside at once, removed with the run
  void pause(Machine& machine) { machine.process.signal(SIGSTOP); }
  void resume(Machine& machine) { machine.process.signal(SIGCONT); }
  // SIGHUP with other seeds in the file.
  void reload(Machine& machine);
  // SIGTERM. Not to end in order within the grace is a breach. `ended` is called once, with how long it took.
  void terminate(Machine& machine, std::function<void(Span took)> ended);

  // A process that ends by itself is a breach; looked at again and again.
  void watch();
  // Turns the loop until something is so, or for that time.
  using Wait = std::function<bool(Span most, const std::function<bool()>& what)>;
  // Storage and control are told to end, and not to do so in order is a breach; nothing is started any more.
  void end_all(bool at_once, const Wait& wait);

  // The node whose process has the connection from `end` to `other_end`; empty: none of them.
  std::string node_of_connection(const sockaddr_in& end, const sockaddr_in& other_end) const;
  std::string last_words() const;
  double resident_mb() const;  // of all processes, each at its most

 private:
  void write_settings(Machine& machine, Start start);
  void look_ended(Machine& machine, TimePoint since, std::function<void(Span)> ended);
  void end_plane(MachinePlane plane, bool at_once, const Wait& wait);
  void judge_end(const Machine& machine, const std::optional<std::string>& how);

  net::TimerQueue& timers_;
  const AddressBlock& addresses_;
  Auditor& auditor_;
  const Spec spec_;
  std::vector<std::unique_ptr<Machine>> machines_;
  bool quiet_ = false;  // the end: processes may end as they like
};

}  // namespace chutevane::lab::tier
