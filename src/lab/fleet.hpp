// A whole fleet in one process, its sidecars beside it: stand-ins put together as an experiment says, run
// through its time line, judged and counted.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/auditor.hpp"
#include "lab/callers.hpp"
#include "lab/discovery.hpp"
#include "lab/endpoint.hpp"
#include "lab/environment.hpp"
#include "lab/front.hpp"
#include "lab/ledger.hpp"
#include "lab/loopback.hpp"
#include "lab/recovery.hpp"
#include "lab/relay.hpp"
#include "lab/timeline.hpp"

namespace chutevane::lab {

struct SidecarResult {
  std::string name;
  Usage usage;
  std::string crash;  // how it ended and its last log lines; empty: it did not
};

// How late the lab's own timers fired.
struct Lateness {
  double median_ms = 0.0, p99_ms = 0.0, most_ms = 0.0;
};

struct Result {
  explicit Result(const Ledger& l) : ledger(l) {}
  std::uint64_t seed = 0;
  bool stopped = false;  // by a signal, before its end
  Ledger ledger;
  std::vector<Breach> breaches;
  std::uint64_t breach_count = 0, dispatches = 0, effects = 0;
  double most_cold_part = 0.0;
  std::array<std::uint64_t, fault_kinds> strikes{};  // how often each kind of fault has shown
  std::vector<SidecarResult> sidecars;
  Lateness lateness;
  bool is_void = false;  // the lab itself was too late
  double lab_cpu_ms = 0.0;
  std::uint64_t caller_connections = 0;
  Surges surges;
  Span last_up;  // when the last sidecar that had to start again was ready; zero: none had
  bool crashed() const;
  bool broken() const { return breach_count > 0 || crashed(); }
};

// Third byte of addresses, by what is there; one more for each tier.
inline constexpr int endpoint_group = 1, sidecar_group = 101, discovery_group = 151;
// Of relays, by the end that is not the sidecar's.
inline constexpr int way_group = 201, ways_of_a_kind = 16;

class Fleet {
 public:
  using Progress = std::function<void(Span done, Span whole, const Ledger& ledger)>;
  // Throws std::system_error or std::runtime_error where the machine does not allow it.
  Fleet(const Experiment& experiment, std::uint64_t seed, const Places& places);
  Fleet(const Experiment& experiment, std::uint64_t seed, Environment& environment);  // which outlives it
  ~Fleet();
  Result run(const Progress& progress);
  // From a signal handler's place in the loop: ends the run early.
  void stop() { stopped_ = true; }
  pid_t sidecar_pid(std::size_t sidecar) const { return sidecars_[sidecar]->process->pid(); }

  // --- For an environment that injects faults of its own
  std::function<void(TimePoint begins)> on_begin = [](TimePoint) {};  // of the measured time
  Shared& shared() { return shared_; }
  Auditor& auditor() { return auditor_; }
  std::size_t sidecar_count() const { return sidecars_.size(); }
  std::size_t tier_of_sidecar(std::size_t sidecar) const { return sidecars_[sidecar]->tier; }
  std::size_t place_of_sidecar(std::size_t sidecar) const { return sidecars_[sidecar]->before; }
  bool serving(std::size_t sidecar) const { return sidecars_[sidecar]->doing == Doing::serving; }
  // Before the sidecars are ended: all callers have their answers, or gave up.
  std::function<void()> on_end = [] {};
  void drain_sidecar(std::size_t sidecar);  // told to end, and started again after its end
  // Ended without a word, and started again after `down`.
  void restart_sidecar(std::size_t sidecar, Span down);
  // Drained, ended after `drain`, back cold after `down` more; false where there is none to drain.
  bool drain_endpoint(std::size_t tier, std::size_t place, Span drain, Span down);
  // The endpoint at `place` comes back under its id at the address of the one at `to`, whose life ends. What
  // it was goes on answering where it was, on the connections that it has.
  void move_endpoint(std::size_t tier, std::size_t place, std::size_t to);

 private:
  static constexpr net::Waker::Bits due = net::Waker::own;
  enum class Doing : std::uint8_t { starting, serving, draining, down };
  struct SidecarPlace {
    std::string name;
    std::size_t number = 0, tier = 0, before = 0;  // `before`: which of its tier
    sockaddr_in listen{};
    struct Agent {
      std::size_t tier = 0;
      sockaddr_in at{};
      std::unique_ptr<DiscoveryAgent> agent;
    };
    std::vector<Agent> agents;  // one; with pools, one for each
    std::unique_ptr<SidecarProcess> process;
    Doing doing = Doing::down;
    TimePoint kill_at = TimePoint::never();
    bool restarts = false;  // when it has drained
    Usage used;             // by processes that have ended
    Usage at_begin;         // of the measured time
    std::string crash;
    int starts = 0;
  };
  struct EndpointPlace {
    std::size_t tier = 0, place = 0;
    std::unique_ptr<EndpointStandIn> now;
    Listed listed;
    int lives = 0;
    bool waits_for_sidecar = false;
    bool left = false;  // moved elsewhere: nothing comes up here any more
    std::string id;     // of the next life, where it comes from elsewhere
  };
  // A way between a sidecar and someone that faults can break.
  struct Way {
    std::size_t sidecar = 0;  // its number
    WayTo link = WayTo::endpoints;
    std::size_t far = 0;  // the endpoint's place
    sockaddr_in at{};     // the relay's
    std::unique_ptr<Relay> relay;
  };
  struct Later {
    TimePoint at;
    std::function<void()> what;
  };

  void make_sidecars();
  void make_ways();
  bool relayed(WayTo link) const;
  Way& add_way(const SidecarPlace& s, WayTo link, std::size_t far, const sockaddr_in& to);
  sockaddr_in heard_at(const SidecarPlace& s) const;  // by those that call through it
  void strike_sidecar(std::size_t fault, SidecarPlace& s);
  void spoil_state(const FaultSpec& fault, SidecarPlace& s, Chance& chance);
  void break_ways(std::size_t fault);
  void stop_for(SidecarPlace& s, Span lasts);
  void loop(std::size_t fault, SidecarPlace& s);
  void doubt(const SidecarPlace& s, Span lasts);
  Fleet(const Experiment& experiment, std::uint64_t seed, std::unique_ptr<Environment> own,
        Environment* environment);
  std::string config_of(SidecarPlace& s);
  void start_sidecar(SidecarPlace& s);
  void kill_sidecar(SidecarPlace& s);
  void watch_processes();
  void sidecar_ready(std::size_t number);
  SidecarPlace* sidecar_at(std::size_t tier, std::size_t place);  // none: there is none
  SidecarPlace* sidecar_of(const EndpointPlace& e);               // through which it calls the next tier
  bool calls_on(const EndpointPlace& e) const;                    // whether it asks a next tier
  bool has_own_sidecar(const EndpointPlace& e) const;
  void bring_up(EndpointPlace& e, bool cold);
  void open_endpoint(EndpointPlace& e);
  void take_down(EndpointPlace& e);
  void look_at_books();
  void publish(EndpointPlace& e, Availability availability);
  EndpointPlace& endpoint(std::size_t tier, std::size_t place);
  void drain_out(EndpointPlace& e, Span drain, Span down, std::function<void()> then);
  void release_next(std::size_t fault, std::size_t nth);
  void step(const Step& step);
  void apply_ills();
  void later(Span in, std::function<void()> what);
  net::Task keep_time();
  net::Task measure_lateness();
  bool all_ready() const;

  Experiment experiment_;
  std::uint64_t seed_;
  std::unique_ptr<Environment> own_environment_;  // none where it was given one
  Environment& environment_;
  net::Scheduler& scheduler_;  // the lab's own
  Timeline timeline_;
  Auditor auditor_;
  Shared shared_;
  std::vector<Book> books_;  // by tier
  std::vector<std::unique_ptr<SidecarPlace>> sidecars_;
  std::vector<std::unique_ptr<EndpointPlace>> endpoints_;
  std::vector<Way> ways_;
  Surges surges_;
  TimePoint last_up_;
  std::vector<std::unique_ptr<EndpointStandIn>> graves_;  // ended, until their connections are gone
  ReadyChecks ready_checks_;
  Front front_;
  TimePoint begins_;
  Ledger ledger_;
  CallerStandIns callers_;
  std::vector<bool> in_force_;
  std::vector<Later> later_;
  EndpointKey last_key_ = 0;
  std::size_t next_step_ = 0;
  bool stopped_ = false, timekeeper_started_ = false;
  LatencyTable lateness_;
  double most_late_ms_ = 0.0;
  net::Waker waker_, late_waker_;
  net::Timer timer_, late_timer_;
  net::Task timekeeper_, late_task_;
};

}  // namespace chutevane::lab
