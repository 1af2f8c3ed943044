#include "tier_simulation/edge_plane.hpp"

#include <xxhash.h>

namespace chutevane::tier_simulation {
namespace {

constexpr std::size_t cache_size = 20000;  // bytes, a few chains: turns of other edges are asked of storage
constexpr Span shutdown_duration = Span::ms(500);  // from SIGTERM to the end of the process

std::uint64_t seed_of(const common::ProcessSettings& settings, TimePoint now) {
  return XXH3_64bits_withSeed(settings.node.data(), settings.node.size(),
                              static_cast<std::uint64_t>(now.as_ms() * 1000));
}

}  // namespace

EdgePlane::EdgePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
                     ValueCallback on_value)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      storage_(scheduler, timers_, settings.zone, settings.machine_losses, cache_size,
               seed_of(settings, scheduler.now())),
      on_value_(std::move(on_value)) {}

absl::Status EdgePlane::open() {
  common::Member self;
  self.node = settings_.node;
  self.plane = "edge";
  self.address = settings_.ip + ":80";
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) {
    storage_.on_storage_map(value.map_version, value.storage_nodes);
    on_value_(value);
  });
  return absl::OkStatus();
}

void EdgePlane::begin_shutdown() {
  timers_.after(shutdown_duration, [this] { finished_ = true; });
}

}  // namespace chutevane::tier_simulation
