// The operators' API of a controller, over a register with a simulated network and without sockets. A call is
// passed as the bytes of a request; its reply is a status and a body.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "control/operator_api.hpp"
#include "simulated_register.hpp"

namespace chutevane::simulated {

// A controller process with a register and the operators' API.
class ControlProcess final : control::OperatorApi::Host {
 public:
  using ResponseCallback = std::function<void(common::HttpResponse)>;

  ControlProcess(AcceptorCluster& cluster, std::uint64_t proposer, std::size_t history_limit)
      : transport(cluster),
        reg(cluster.clock.later, transport, proposer),
        api_(reg, *this, 1, history_limit) {}

  // Sends a call. `callback` is not called if the process has ended by then.
  void call(const std::string& method, const std::string& target, const std::string& fields,
            const std::string& body, ResponseCallback callback) {
    std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: control\r\n" + fields +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    http::Parser parser(http::Side::request, {.head = 16 * 1024, .body = 8U << 20U, .fields = 100});
    parser.feed(bytes);
    api_.serve(parser, [this, callback = std::move(callback)](common::HttpResponse response) {
      if (!transport.ended) callback(std::move(response));
    });
  }
  void replace(std::int64_t base, const std::string& body, ResponseCallback callback) {
    call("POST", "/v1/Configuration.Replace", "X-Chutevane-Base-Version: " + std::to_string(base) + "\r\n",
         body, std::move(callback));
  }

  SimulatedTransport transport;
  control::Register reg;
  std::vector<common::Member> known_members;
  bool all_members_known = true;

 private:
  void announce(const common::RegisterValue&) override {}
  void notify_when_acknowledged(std::int64_t, std::function<void()> callback) override { callback(); }
  std::vector<common::Member> members() const override { return known_members; }
  bool are_members_complete() const override { return all_members_known; }
  control::ControlStatus status() const override { return {}; }

  control::OperatorApi api_;
};

// Returns a small valid configuration. Different names give different bytes.
inline std::string configuration(std::int64_t version, const std::string& name) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + name +
         R"(","host":"h","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"targetMs":100,)" +
         R"("service":"s","maxAttempts":1}],"services":[{"name":"s","healthPath":"/h","maxConnections":9}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":9000}})";
}

}  // namespace chutevane::simulated
