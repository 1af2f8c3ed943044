#include "sidecar_simulation/environment.hpp"

#include <algorithm>
#include <stdexcept>

#include "base/log.hpp"
#include "lab/fleet.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr std::uint32_t block = 127U << 24U | 1U << 16U;  // names in the world only: nothing is sent anywhere
constexpr std::uint32_t lab_ip = block | 250U << 8U | 1U;
constexpr std::size_t plenty = 1U << 20U;  // descriptors of a stand-in
// Events without an end to the day: something goes round and round.
constexpr std::uint64_t events_most = 40'000'000;

const char* no_environment(const char*) { return nullptr; }

}  // namespace

struct PlayedSidecar::Life {
  explicit Life(network_simulation::Process& process) : scheduler(process) {}
  net::Scheduler scheduler;
  opfile::Model model;
  std::unique_ptr<sidecar::Daemon> daemon;
};

// What a sidecar stores, in the world: at once, as its turn ends with all it did.
class PlayedStore final : public snapshot::Store {
 public:
  PlayedStore(network_simulation::Simulator& simulator, std::shared_ptr<PlayedSidecar::Disk> disk)
      : simulator_(simulator), disk_(std::move(disk)) {}
  snapshot::Stamp now() const override {
    return {"start " + std::to_string(disk_->starts), simulator_.now() - disk_->started,
            simulator_.now() + disk_->clock_ahead};
  }
  std::vector<std::string> generations() override { return disk_->generations; }
  void set_aside_newest() override {
    if (!disk_->generations.empty()) disk_->generations.erase(disk_->generations.begin());
  }
  void put(snapshot::Content content) override {
    ++(disk_->refuses ? counters_.failed : counters_.written);
    if (disk_->refuses) {
      counters_.trouble = "the played disk takes nothing";
      return;
    }
    disk_->generations.insert(disk_->generations.begin(), snapshot::write(content));
    disk_->generations.resize(std::min<std::size_t>(disk_->generations.size(), 2));
  }
  void settle() override {}
  snapshot::StoreCounters counters() const override { return counters_; }

 private:
  network_simulation::Simulator& simulator_;
  std::shared_ptr<PlayedSidecar::Disk> disk_;
  snapshot::StoreCounters counters_;
};

PlayedSidecar::PlayedSidecar(network_simulation::Simulator& simulator, network_simulation::Process& process,
                             std::size_t descriptors)
    : simulator_(simulator), process_(process), descriptors_(descriptors) {}

void PlayedSidecar::new_start_of_machine() {
  ++disk_->starts;
  disk_->started = simulator_.now();
}

PlayedSidecar::~PlayedSidecar() { kill(); }

const sidecar::Counters* PlayedSidecar::counters() const {
  return life_ && life_->daemon ? &life_->daemon->sidecar().counters() : nullptr;
}

void PlayedSidecar::start(const std::string& config, bool operators_file) {
  kill();
  ended_.clear();
  config_ = reading_ = config;
  life_ = std::make_unique<Life>(process_);
  process_.set_powered_off(false);
  process_.run(
      life_->scheduler, [this] { return turn(); }, descriptors_);
  try {
    if (operators_file) {
      life_->model = opfile::read(config, process_.name());
      life_->daemon = std::make_unique<sidecar::Daemon>(life_->scheduler, life_->model);
    } else {
      const auto reading = [this] { return config::read(reading_, no_environment); };
      std::unique_ptr<snapshot::Store> store;
      if (!config::read(config, no_environment).state.empty())
        store = std::make_unique<PlayedStore>(simulator_, disk_);
      life_->daemon = std::make_unique<sidecar::Daemon>(life_->scheduler, reading, "", std::move(store));
    }
    if (!life_->daemon->listen()) ended_ = "exit status 1";
  } catch (const std::exception& e) {
    ended_ = std::string("exception: ") + e.what();
  }
  if (!ended_.empty()) process_.kill();
}

bool PlayedSidecar::turn() {
  try {
    if (life_->daemon->step()) return true;
    ended_ = "exit status 0";
  } catch (const std::exception& e) {
    ended_ = std::string("exception: ") + e.what();
  }
  return false;
}

void PlayedSidecar::kill() {
  process_.kill();
  if (const sidecar::Counters* c = counters()) on_end_of_life(*c);
  life_.reset();
}

std::optional<std::string> PlayedSidecar::ended() {
  if (ended_.empty()) return std::nullopt;
  kill();
  return std::exchange(ended_, "");
}

PlayedGround::PlayedGround(std::uint64_t seed, const network_simulation::NetworkConditions& chances,
                           std::size_t descriptors, network_simulation::Trace& trace)
    : simulator_(seed, chances, trace), descriptors_(descriptors), lab_(&named("callers", lab_ip)) {
  schedulers_.push_back(std::make_unique<net::Scheduler>(*lab_));
  lab_->run(
      *schedulers_.front(),
      [this] {
        own().turn();
        simulator_.run_after(Span(), [] {});  // what it did to others is found in the next event
        return true;
      },
      plenty);
}

PlayedGround::~PlayedGround() = default;

network_simulation::Process& PlayedGround::named(const std::string& name, std::uint32_t ip) {
  return simulator_.process(name, ip);
}

net::Scheduler& PlayedGround::beside(const sockaddr_in& at) {
  const std::uint32_t ip = ntohl(at.sin_addr.s_addr);
  if (const auto known = by_ip_.find(ip); known != by_ip_.end()) return *known->second;
  const int group = static_cast<int>(ip >> 8U & 255U);
  const bool endpoint = group < lab::sidecar_group;
  const int tier = group - (endpoint ? lab::endpoint_group : lab::discovery_group);
  network_simulation::Process& p = named(
      (endpoint ? "endpoint-" : "discovery-") + std::to_string(tier) + "-" + std::to_string((ip & 255U) - 1),
      ip);
  p.set_remote();
  schedulers_.push_back(std::make_unique<net::Scheduler>(p));
  net::Scheduler* const scheduler = schedulers_.back().get();
  p.run(
      *scheduler,
      [scheduler] {
        scheduler->turn();
        return true;
      },
      plenty);
  by_ip_[ip] = scheduler;
  return *scheduler;
}

sockaddr_in PlayedGround::at(int group, std::size_t number, std::uint16_t port) const {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr =
      htonl(block | static_cast<std::uint32_t>(group) << 8U | static_cast<std::uint32_t>(number));
  return out;
}

network_simulation::Process* PlayedGround::process(int group, std::size_t number) {
  return simulator_.process_at(ntohl(at(group, number, 0).sin_addr.s_addr));
}

std::unique_ptr<lab::SidecarProcess> PlayedGround::sidecar(const std::string& name,
                                                           const sockaddr_in& listen) {
  network_simulation::Process& p = named("sidecar-" + name, ntohl(listen.sin_addr.s_addr));
  auto out = std::make_unique<PlayedSidecar>(simulator_, p, descriptors_);
  sidecars_.push_back(out.get());
  return out;
}

void PlayedGround::turn() {
  if (!simulator_.run_next_event())
    throw std::runtime_error("nothing is left to happen, and the day is not over");
  if (simulator_.events() > events_most) throw std::runtime_error("the day does not end: too many events");
}

}  // namespace chutevane::sidecar_simulation
