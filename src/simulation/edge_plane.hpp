// An edge without traffic: its sessions with control and its ledger, as the program of the edge holds them.
#pragma once

#include <functional>
#include <memory>

#include "common/control_sessions.hpp"
#include "common/process.hpp"
#include "common/settings.hpp"
#include "edge/ledger.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::simulation {

class EdgePlane final : public common::Plane {
 public:
  // Told of each value that comes into force in this process.
  using Told = std::function<void(const common::RegisterValue&)>;
  EdgePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings, Told told);
  absl::Status open() override;
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }

  edge::Ledger& ledger() { return ledger_; }
  net::TimerQueue& later() { return timers_; }

 private:
  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  edge::Ledger ledger_;
  std::unique_ptr<common::ControlSessions> sessions_;
  Told told_;
  bool finished_ = false;
};

}  // namespace chutevane::simulation
