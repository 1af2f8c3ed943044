// The applications' calls for coordination, at each controller of a simulated tier.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "tier_simulation/deployment.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span settle_time = Span::ms(5000);  // from the first start until the controllers serve
constexpr Span call_timeout = Span::ms(1000);

/// A tier without faults, and one call after another.
class CoordinationCalls : public ::testing::Test {
 protected:
  CoordinationCalls()
      : simulator_(1, {}, trace_), deployment_(simulator_, Shape{}, 2), http_client_(deployment_.clients()) {
    deployment_.start_all();
    run_for(settle_time);
  }

  void run_for(Span span) {
    const TimePoint end = simulator_.now() + span;
    while (simulator_.now() < end) simulator_.run_next_event();
  }

  HttpResult call(const sockaddr_in& controller, const std::string& request) {
    HttpResult out;
    bool has_ended = false;
    http_client_.call(controller, request, call_timeout, [&](std::optional<HttpResult> result) {
      if (result) out = *result;
      has_ended = true;
    });
    simulator_.schedule_ready_processes();
    while (!has_ended) simulator_.run_next_event();
    return out;
  }
  HttpResult post(const sockaddr_in& controller, const std::string& target, const std::string& body) {
    return call(controller, HttpClient::post(target, body, 0));
  }
  HttpResult get(const sockaddr_in& controller, const std::string& target) {
    return call(controller, HttpClient::get(target));
  }

  network_simulation::Trace trace_;
  network_simulation::Simulator simulator_;
  Deployment deployment_;
  HttpClient http_client_;
};

// Guards against: every call for locks, numbers, keys and watches was answered 404 "no such call", so that no
// worth was earned with them and nothing could be read back at the end of a day.
TEST_F(CoordinationCalls, AreAnsweredAtEachController) {
  int round = 0;
  for (const sockaddr_in& controller : deployment_.control_addresses()) {
    const std::string suffix = std::to_string(++round);
    EXPECT_EQ(post(controller, "/v1/Locks.Initiate/l" + suffix, R"({"holder":"a","holdMs":3000})").status,
              200);
    EXPECT_EQ(post(controller, "/v1/Locks.Initiate/l" + suffix, R"({"holder":"b","holdMs":3000})").status,
              409);
    EXPECT_EQ(post(controller, "/v1/Locks.Terminate/l" + suffix, R"({"holder":"b","fence":1})").status, 200);
    EXPECT_EQ(post(controller, "/v1/numbers/n", "{}").status, 200);
    EXPECT_EQ(
        post(controller, "/v1/Cells.Replace/g.k" + suffix, R"({"value":"v)" + suffix + R"(","appliesTo":0})")
            .status,
        200);
    EXPECT_EQ(get(controller, "/v1/Cells.Retrieve/g.k" + suffix).status, 200);
    EXPECT_EQ(get(controller, "/v1/watch/g.?after=0&waitMs=100").status, 200);
  }
}

TEST_F(CoordinationCalls, StatusIsToldByEachController) {
  const std::vector<sockaddr_in> controllers = deployment_.control_addresses();
  ASSERT_EQ(post(controllers.front(), "/v1/Locks.Initiate/l", R"({"holder":"a","holdMs":3000})").status, 200);
  run_for(Span::ms(1000));
  for (const sockaddr_in& controller : controllers) {
    const HttpResult status = get(controller, "/v1/Coordination.Retrieve");
    EXPECT_EQ(status.status, 200);
    EXPECT_NE(status.body.find(R"("available":true)"), std::string::npos) << status.body;
    EXPECT_NE(status.body.find(R"("locks":[{"name":"l","holder":"a","fence":1,"holdMs":3000}])"),
              std::string::npos)
        << status.body;
    EXPECT_EQ(post(controller, "/v1/Coordination.Retrieve", "{}").status, 405);
  }
}

}  // namespace
}  // namespace chutevane::tier_simulation
