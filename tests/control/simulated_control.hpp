// A control machine's operators' API over a register whose acceptors and ways are played, without sockets: a
// call goes in as the bytes of a request, its answer comes back as a status and a body.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "control/operator_api.hpp"
#include "simulated_register.hpp"

namespace chutevane::simulated {

class ControlProcess final : control::OperatorApi::Host {
 public:
  using Answered = std::function<void(common::HttpResponse)>;

  ControlProcess(AcceptorCluster& cluster, std::uint64_t proposer, std::size_t history_limit)
      : transport(cluster),
        reg(cluster.clock.later, transport, proposer),
        api_(reg, *this, 1, history_limit) {}

  // Nothing is answered by a process that has ended.
  void call(const std::string& method, const std::string& target, const std::string& fields,
            const std::string& body, Answered answered) {
    std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: control\r\n" + fields +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    http::Parser parser(http::Side::request, {.head = 16 * 1024, .body = 8U << 20U, .fields = 100});
    parser.feed(bytes);
    api_.serve(parser, [this, answered = std::move(answered)](common::HttpResponse answer) {
      if (!transport.ended) answered(std::move(answer));
    });
  }
  void replace(std::int64_t base, const std::string& body, Answered answered) {
    call("POST", "/v1/Configuration.Replace", "X-Chutevane-Base-Version: " + std::to_string(base) + "\r\n",
         body, std::move(answered));
  }

  SimulatedTransport transport;
  control::Register reg;
  std::vector<common::Member> known_members;
  bool all_members_known = true;

 private:
  void announce(const common::RegisterValue&) override {}
  void notify_when_acknowledged(std::int64_t, std::function<void()> then) override { then(); }
  std::vector<common::Member> members() const override { return known_members; }
  bool are_members_complete() const override { return all_members_known; }
  control::ControlStatus status() const override { return {}; }

  control::OperatorApi api_;
};

// A small valid configuration; those of different names differ.
inline std::string configuration(std::int64_t version, const std::string& name) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + name +
         R"(","host":"h","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"targetMs":100,)" +
         R"("service":"s","maxAttempts":1}],"services":[{"name":"s","healthPath":"/h","maxConnections":9}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":9000}})";
}

}  // namespace chutevane::simulated
