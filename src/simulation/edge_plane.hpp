// An edge without traffic: its sessions with control and its ledger, as the program of the edge holds them.
#pragma once

#include <functional>
#include <memory>

#include "edge/ledger.hpp"
#include "market/process.hpp"
#include "market/session.hpp"
#include "market/settings.hpp"
#include "net/later.hpp"

namespace chutevane::simulation {

class EdgePlane final : public market::Plane {
 public:
  // Told of each value that comes into force in this process.
  using Told = std::function<void(const market::Value&)>;
  EdgePlane(net::Scheduler& scheduler, const market::ProcessSettings& settings, Told told);
  absl::Status open() override;
  void leave() override;
  bool finished() const override { return finished_; }
  void reread(const market::ProcessSettings& settings) override { sessions_->reread(settings); }

  edge::Ledger& ledger() { return ledger_; }
  net::Later& later() { return later_; }

 private:
  net::Scheduler& scheduler_;
  market::ProcessSettings settings_;
  net::Later later_;
  edge::Ledger ledger_;
  std::unique_ptr<market::Sessions> sessions_;
  Told told_;
  bool finished_ = false;
};

}  // namespace chutevane::simulation
