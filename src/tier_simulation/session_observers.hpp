/// \file
/// Sessions with each control machine over links without faults: what a single session claims and pushes.
///
/// An edge has several sessions, so that one makes good for another. Here each is checked alone: a heartbeat
/// that claims to be fresh promises that everything acknowledged before was pushed down this session.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/value_update.hpp"
#include "tier_simulation/checker.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {

class SessionObservers {
 public:
  SessionObservers(Deployment& deployment, HttpClient& http_client, Checker& checker)
      : deployment_(deployment), http_client_(http_client), checker_(checker) {}
  void begin() { ping_all(); }

 private:
  struct Session {
    std::unique_ptr<common::RpcClient> connection;
    common::ValueReceiver values;       // pushed down this session
    std::int64_t version = 0;           // of the newest value
    std::int64_t promised_version = 0;  // by the last heartbeat; the next one has to find it here
  };
  void ping_all();
  void open(const Machine& control);
  void send_heartbeat(const std::string& name);
  void on_message(const std::string& name, std::uint8_t kind, std::string_view record);
  void check_heartbeat(const std::string& name, const common::ControlHeartbeat& heartbeat);

  Deployment& deployment_;
  HttpClient& http_client_;
  Checker& checker_;
  std::map<std::string, Session> sessions_;
};

}  // namespace chutevane::tier_simulation
