// Sessions with each control machine that nothing cuts off: what a single one of them claims and pushes.
//
// An edge has several sessions, and the others make good what one holds back. Here each stands alone: a
// heartbeat that claims to be fresh is a promise that all older acknowledgements were pushed down this
// session.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/value_update.hpp"
#include "simulation/callers.hpp"
#include "simulation/checker.hpp"

namespace chutevane::simulation {

class Observers {
 public:
  Observers(Deployment& deployment, Callers& callers, Checker& checker)
      : deployment_(deployment), callers_(callers), checker_(checker) {}
  void begin() { tick(); }

 private:
  struct Session {
    std::unique_ptr<common::RpcClient> link;
    common::ValueReceiver values;  // that were pushed down it
    std::int64_t version = 0;      // of the newest of them
    std::int64_t owed = 0;         // the version that the last heartbeat has promised
  };
  void tick();
  void open(const Machine& control);
  void tell(const std::string& name);
  void word(const std::string& name, std::uint8_t kind, std::string_view record);
  void heartbeat(const std::string& name, const common::ControlHeartbeat& heartbeat);

  Deployment& deployment_;
  Callers& callers_;
  Checker& checker_;
  std::map<std::string, Session> sessions_;
};

}  // namespace chutevane::simulation
