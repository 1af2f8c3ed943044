// The world as a ground for the lab's fleet: each stand-in, and each sidecar, is a process of it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/ground.hpp"
#include "sidecar/daemon.hpp"
#include "world/network.hpp"

namespace chutevane::world {

// A sidecar's whole program in a process of the world.
class PlayedSidecar final : public lab::SidecarProcess {
 public:
  PlayedSidecar(World& world, Process& process, std::size_t descriptors);
  ~PlayedSidecar() override;
  void start(const std::string& config, bool operators_file) override;
  void signal(int number) override { process_.signal(number); }
  void kill() override;
  std::optional<std::string> ended() override;
  std::optional<lab::Usage> usage() override { return std::nullopt; }
  std::string last_log() override { return last_log_; }
  void pause(Span lasts) override { process_.pause(lasts); }
  std::string state_path() const override { return "played"; }
  std::vector<std::string> stored() override { return disk_->generations; }
  void store(const std::vector<std::string>& generations) override { disk_->generations = generations; }
  void refuse_state(bool on) override { disk_->refuses = on; }
  void step_clock(Span by) { disk_->clock_ahead = disk_->clock_ahead + by; }
  void new_start_of_machine();

  Process& process() { return process_; }
  // What SIGHUP finds from now on.
  void next_reading(const std::string& config) { reading_ = config; }
  const std::string& configuration() const { return config_; }
  // Of the life that is on; none: none is.
  const sidecar::Counters* counters() const;
  // Told of each life's counters as it ends.
  std::function<void(const sidecar::Counters&)> on_end_of_life = [](const sidecar::Counters&) {};
  void logged(std::string_view line) { last_log_ = line; }

 private:
  struct Life;
  friend class PlayedStore;
  struct Disk {
    std::vector<std::string> generations;
    bool refuses = false;
    int starts = 0;  // of its machine
    TimePoint started;
    Span clock_ahead;  // of Unix time as its machine believes it
  };
  bool turn();
  World& world_;
  Process& process_;
  std::size_t descriptors_;
  std::string config_, reading_, last_log_, ended_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();  // outlives processes
  std::unique_ptr<Life> life_;
};

class PlayedGround final : public lab::Ground {
 public:
  PlayedGround(std::uint64_t seed, const Chances& chances, std::size_t descriptors, Trace& trace);
  ~PlayedGround() override;

  net::Scheduler& own() override { return *schedulers_.front(); }
  net::Scheduler& beside(const sockaddr_in& at) override;
  sockaddr_in at(int group, std::size_t number, std::uint16_t port) const override;
  std::unique_ptr<lab::SidecarProcess> sidecar(const std::string& name, const sockaddr_in& listen) override;
  void turn() override;
  bool real_time() const override { return false; }

  World& world() { return world_; }
  Process& lab() { return *lab_; }
  // The process at an address of a group, if something was ever put there.
  Process* process(int group, std::size_t number);
  const std::vector<PlayedSidecar*>& sidecars() const { return sidecars_; }  // in the fleet's order

 private:
  Process& named(const std::string& name, std::uint32_t ip);
  World world_;
  std::size_t descriptors_;
  Process* lab_;
  std::vector<std::unique_ptr<net::Scheduler>> schedulers_;  // the lab's first
  std::map<std::uint32_t, net::Scheduler*> by_ip_;
  std::vector<PlayedSidecar*> sidecars_;
};

}  // namespace chutevane::world
