#include "simulation/edge_plane.hpp"

#include <xxhash.h>

namespace chutevane::simulation {
namespace {

constexpr std::size_t cache_bytes = 20000;    // some chains: what other edges kept is asked of storage
constexpr Span leaves_after = Span::ms(500);  // SIGTERM to the end of the process

std::uint64_t seed_of(const common::ProcessSettings& settings, TimePoint now) {
  return XXH3_64bits_withSeed(settings.node.data(), settings.node.size(),
                              static_cast<std::uint64_t>(now.as_ms() * 1000));
}

}  // namespace

EdgePlane::EdgePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings, Told told)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      ledger_(scheduler, timers_, settings.zone, settings.machine_losses, cache_bytes,
              seed_of(settings, scheduler.now())),
      told_(std::move(told)) {}

absl::Status EdgePlane::open() {
  common::Member self;
  self.node = settings_.node;
  self.plane = "edge";
  self.address = settings_.ip + ":80";
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) {
    ledger_.map_came(value.map_version, value.storage_nodes);
    told_(value);
  });
  return absl::OkStatus();
}

void EdgePlane::begin_shutdown() {
  timers_.after(leaves_after, [this] { finished_ = true; });
}

}  // namespace chutevane::simulation
