/// The sidecar for programs that embed it (include/chutevane/sidecar.hpp): without signals, hot restart and
/// snapshots.
#include <cstdlib>

#include "chutevane/sidecar.hpp"
#include "config/config.hpp"
#include "sidecar/sidecar.hpp"

namespace chutevane {

namespace {

config::Config parse(std::string_view configuration) {
  return config::read(configuration, [](const char* name) { return std::getenv(name); });
}

}  // namespace

struct Sidecar::State {
  explicit State(const config::Config& config) : sidecar(scheduler, config) {}
  net::Scheduler scheduler;
  sidecar::Sidecar sidecar;
};

Sidecar::Sidecar(std::string_view configuration) : state_(std::make_unique<State>(parse(configuration))) {}
Sidecar::~Sidecar() = default;
Sidecar::Sidecar(Sidecar&&) noexcept = default;
Sidecar& Sidecar::operator=(Sidecar&&) noexcept = default;

void Sidecar::listen() { state_->sidecar.listen(); }
void Sidecar::turn() { state_->scheduler.turn(); }
void Sidecar::reconfigure(std::string_view configuration) {
  state_->sidecar.reconfigure(parse(configuration));
}
void Sidecar::drain() { state_->sidecar.shut_down(state_->sidecar.shutdown_timeout()); }
bool Sidecar::finished() const { return state_->sidecar.finished(); }
std::string Sidecar::counters() const { return state_->sidecar.counters().as_json(); }

std::string Sidecar::address() const {
  const auto at = state_->sidecar.address();
  return at ? net::text_of(*at) : "";
}

}  // namespace chutevane
