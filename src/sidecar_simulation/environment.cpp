#include "sidecar_simulation/environment.hpp"

#include <algorithm>
#include <stdexcept>

#include "base/log.hpp"
#include "lab/fleet.hpp"
#include "snapshot/snapshot_store.hpp"

namespace chutevane::sidecar_simulation {
namespace {

using network_simulation::Process;
using network_simulation::Simulator;

// Addresses are names in the simulator only: nothing is sent anywhere.
constexpr std::uint32_t address_block = 127U << 24U | 1U << 16U;
constexpr std::uint32_t lab_ip = address_block | 250U << 8U | 1U;
constexpr std::size_t stand_in_descriptors = 1U << 20U;
// A run with more events than this does not come to its end.
constexpr std::uint64_t max_events = 40'000'000;
constexpr std::size_t max_generations = 2;  // of a snapshot

const char* no_environment(const char*) { return nullptr; }

}  // namespace

struct SimulatedSidecar::Incarnation {
  explicit Incarnation(Process& process) : scheduler(process) {}
  net::Scheduler scheduler;
  operator_file::Model model;
  std::unique_ptr<sidecar::Daemon> daemon;
};

// A sidecar's snapshots. A write takes effect at once, since a turn takes no simulated time.
class SimulatedSnapshotStore final : public snapshot::SnapshotStore {
 public:
  SimulatedSnapshotStore(Simulator& simulator, std::shared_ptr<SimulatedSidecar::Disk> disk)
      : simulator_(simulator), disk_(std::move(disk)) {}

  snapshot::ClockReading now() const override {
    return {"start " + std::to_string(disk_->machine_starts), simulator_.now() - disk_->machine_started_at,
            simulator_.now() + disk_->wall_clock_offset};
  }
  std::vector<std::string> read_generations() override { return disk_->generations; }
  void quarantine_newest() override {
    if (!disk_->generations.empty()) disk_->generations.erase(disk_->generations.begin());
  }
  void save(snapshot::Snapshot content) override {
    ++(disk_->write_fails ? counters_.failed : counters_.written);
    if (disk_->write_fails) {
      counters_.last_error = "the simulated disk refuses writes";
      return;
    }
    disk_->generations.insert(disk_->generations.begin(), snapshot::serialize(content));
    disk_->generations.resize(std::min(disk_->generations.size(), max_generations));
  }
  void flush() override {}
  snapshot::StoreCounters counters() const override { return counters_; }

 private:
  Simulator& simulator_;
  std::shared_ptr<SimulatedSidecar::Disk> disk_;
  snapshot::StoreCounters counters_;
};

// --- SimulatedSidecar

SimulatedSidecar::SimulatedSidecar(Simulator& simulator, Process& process, std::size_t max_descriptors)
    : simulator_(simulator), process_(process), max_descriptors_(max_descriptors) {}

SimulatedSidecar::~SimulatedSidecar() { kill(); }

void SimulatedSidecar::record_machine_restart() {
  ++disk_->machine_starts;
  disk_->machine_started_at = simulator_.now();
}

const sidecar::Counters* SimulatedSidecar::counters() const {
  return incarnation_ && incarnation_->daemon ? &incarnation_->daemon->sidecar().counters() : nullptr;
}

void SimulatedSidecar::start(const std::string& config, bool operators_file) {
  kill();
  exit_reason_.clear();
  config_ = reload_config_ = config;
  incarnation_ = std::make_unique<Incarnation>(process_);
  process_.set_powered_off(false);
  process_.run(
      incarnation_->scheduler, [this] { return run_turn(); }, max_descriptors_);
  try {
    start_daemon(config, operators_file);
    if (!incarnation_->daemon->listen()) exit_reason_ = "exit status 1";
  } catch (const std::exception& e) {
    exit_reason_ = std::string("exception: ") + e.what();
  }
  if (!exit_reason_.empty()) process_.kill();
}

void SimulatedSidecar::start_daemon(const std::string& config, bool operators_file) {
  Incarnation& incarnation = *incarnation_;
  if (operators_file) {
    incarnation.model = operator_file::read(config, process_.name());
    incarnation.daemon = std::make_unique<sidecar::Daemon>(incarnation.scheduler, incarnation.model);
    return;
  }
  const auto read_config = [this] { return config::read(reload_config_, no_environment); };
  std::unique_ptr<snapshot::SnapshotStore> store;
  if (!config::read(config, no_environment).state_file.empty())
    store = std::make_unique<SimulatedSnapshotStore>(simulator_, disk_);
  incarnation.daemon =
      std::make_unique<sidecar::Daemon>(incarnation.scheduler, read_config, "", std::move(store));
}

bool SimulatedSidecar::run_turn() {
  try {
    if (incarnation_->daemon->step()) return true;
    exit_reason_ = "exit status 0";
  } catch (const std::exception& e) {
    exit_reason_ = std::string("exception: ") + e.what();
  }
  return false;
}

void SimulatedSidecar::kill() {
  process_.kill();
  if (const sidecar::Counters* last_counters = counters()) on_incarnation_end(*last_counters);
  incarnation_.reset();
}

std::optional<std::string> SimulatedSidecar::ended() {
  if (exit_reason_.empty()) return std::nullopt;
  kill();
  return std::exchange(exit_reason_, "");
}

// --- SimulatedEnvironment

SimulatedEnvironment::SimulatedEnvironment(std::uint64_t seed,
                                           const network_simulation::NetworkConditions& conditions,
                                           std::size_t max_descriptors, network_simulation::Trace& trace)
    : simulator_(seed, conditions, trace),
      max_descriptors_(max_descriptors),
      lab_(&simulator_.process("callers", lab_ip)) {
  schedulers_.push_back(std::make_unique<net::Scheduler>(*lab_));
  lab_->run(
      *schedulers_.front(),
      [this] {
        own().turn();
        // What the lab did to other processes takes effect in the next event.
        simulator_.run_after(Span(), [] {});
        return true;
      },
      stand_in_descriptors);
}

SimulatedEnvironment::~SimulatedEnvironment() = default;

net::Scheduler& SimulatedEnvironment::beside(const sockaddr_in& at) {
  const std::uint32_t ip = ntohl(at.sin_addr.s_addr);
  if (const auto known = schedulers_by_ip_.find(ip); known != schedulers_by_ip_.end()) return *known->second;
  const int group = static_cast<int>(ip >> 8U & 255U);
  const bool is_endpoint = group < lab::sidecar_group;
  const int tier = group - (is_endpoint ? lab::endpoint_group : lab::discovery_group);
  const std::string name = (is_endpoint ? "endpoint-" : "discovery-") + std::to_string(tier) + "-" +
                           std::to_string((ip & 255U) - 1);
  Process& process = simulator_.process(name, ip);
  process.set_remote();
  schedulers_.push_back(std::make_unique<net::Scheduler>(process));
  net::Scheduler* const scheduler = schedulers_.back().get();
  process.run(
      *scheduler,
      [scheduler] {
        scheduler->turn();
        return true;
      },
      stand_in_descriptors);
  schedulers_by_ip_[ip] = scheduler;
  return *scheduler;
}

sockaddr_in SimulatedEnvironment::at(int group, std::size_t number, std::uint16_t port) const {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr =
      htonl(address_block | static_cast<std::uint32_t>(group) << 8U | static_cast<std::uint32_t>(number));
  return out;
}

Process* SimulatedEnvironment::process(int group, std::size_t number) {
  return simulator_.process_at(ntohl(at(group, number, 0).sin_addr.s_addr));
}

std::unique_ptr<lab::SidecarProcess> SimulatedEnvironment::sidecar(const std::string& name,
                                                                   const sockaddr_in& listen) {
  Process& process = simulator_.process("sidecar-" + name, ntohl(listen.sin_addr.s_addr));
  auto out = std::make_unique<SimulatedSidecar>(simulator_, process, max_descriptors_);
  sidecars_.push_back(out.get());
  return out;
}

void SimulatedEnvironment::turn() {
  if (!simulator_.run_next_event())
    throw std::runtime_error("nothing is left to happen, and the day is not over");
  if (simulator_.events() > max_events) throw std::runtime_error("the day does not end: too many events");
}

}  // namespace chutevane::sidecar_simulation
