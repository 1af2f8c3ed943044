// What was acknowledged outlasts the loss of two disks at once, again and again, until no first disk is left,
// and a loss of power everywhere with two disks.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "tier_simulation/deployment.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span settle_time = Span::ms(5000);  // from the first start until the controllers serve
constexpr Span catch_up_time =
    Span::ms(6000);  // a lost machine stops counting so long after its successor began
constexpr Span call_timeout = Span::ms(1000);
constexpr Span retry_time = Span::ms(3000);  // a call is repeated for so long at the end of a day
constexpr Span retry_interval = Span::ms(100);
constexpr std::size_t controller_count = 5;
constexpr std::size_t losses = 2;

class CoordinationLosses : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  CoordinationLosses()
      : simulator_(GetParam(), {}, trace_),
        deployment_(simulator_, shape(), GetParam()),
        http_client_(deployment_.clients()) {
    deployment_.start_all();
    run_for(settle_time);
  }
  static Shape shape() {
    Shape out;
    out.controls = controller_count;
    out.tolerated_losses = losses;
    return out;
  }

  void run_for(Span span) {
    const TimePoint end = simulator_.now() + span;
    while (simulator_.now() < end) simulator_.run_next_event();
  }
  HttpResult call(const sockaddr_in& controller, const std::string& request) {
    HttpResult out;
    bool has_ended = false;
    // In a turn of the client's process, so that the simulator learns of its timers.
    http_client_.timers().after(Span(), [&] {
      http_client_.call(controller, request, call_timeout, [&](std::optional<HttpResult> result) {
        if (result) out = *result;
        has_ended = true;
      });
    });
    simulator_.schedule_ready_processes();
    while (!has_ended) simulator_.run_next_event();
    return out;
  }
  /// Asks one controller after another until one answers with success, for the time of a caller.
  std::string body_of(const std::string& request) {
    const TimePoint end = simulator_.now() + retry_time;
    for (std::size_t tries = 0; simulator_.now() < end; ++tries) {
      const std::vector<sockaddr_in> controllers = deployment_.control_addresses();
      const HttpResult result = call(controllers[tries % controllers.size()], request);
      if (result.status == 200) return result.body;
      run_for(retry_interval);
    }
    ADD_FAILURE() << "no answer in time: " << request;
    return "";
  }
  std::string post(const std::string& target, const std::string& body) {
    return body_of(HttpClient::post(target, body, 0));
  }
  /// What was acknowledged so far, and one put and one number more.
  void check_and_go_on() {
    const std::string put = std::to_string(++put_count_);
    EXPECT_EQ(post("/v1/numbers/n", "{}"), R"({"value":)" + put + "}");
    EXPECT_EQ(post("/v1/Cells.Replace/g.k",
                   R"({"value":"v)" + put + R"(","appliesTo":)" + std::to_string(put_count_ - 1) + "}"),
              R"({"revision":)" + put + "}");
    EXPECT_EQ(body_of(HttpClient::get("/v1/Cells.Retrieve/g.k")),
              R"({"value":"v)" + put + R"(","revision":)" + put + "}");
    EXPECT_EQ(body_of(HttpClient::get("/v1/watch/g.?after=0&waitMs=0")),
              R"({"events":[],"revision":)" + put + "}");
  }

  network_simulation::Trace trace_;
  network_simulation::Simulator simulator_;
  Deployment deployment_;
  HttpClient http_client_;
  std::int64_t put_count_ = 0;
};

// Guards against: the acceptors of the coordination register do not follow those of the control state, so
// that the third disk to go takes the locks, numbers and keys with it.
TEST_P(CoordinationLosses, TwoDisksAtOnceAreBorneUntilAllHaveGone) {
  check_and_go_on();
  for (std::size_t lost = 0; lost < controller_count + 1; lost += losses) {
    const std::vector<Machine*> controllers = deployment_.machines_of(Role::control);
    // The oldest ones: a replaced machine is the last of them.
    Machine& first = *controllers[0];
    Machine& second = *controllers[1];
    deployment_.lose_power(first, lost);
    deployment_.lose_power(second, lost + 1);
    check_and_go_on();
    deployment_.start(deployment_.replace(first));
    deployment_.start(deployment_.replace(second));
    run_for(catch_up_time);
    check_and_go_on();
  }
}

TEST_P(CoordinationLosses, PowerLostEverywhereWithTwoDisksIsBorne) {
  check_and_go_on();
  const std::vector<Machine*> controllers = deployment_.machines_of(Role::control);
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    deployment_.lose_power(*controllers[i], GetParam() + i);
    if (i < losses) deployment_.wipe(*controllers[i]);
  }
  for (Machine* controller : controllers) deployment_.start(*controller);
  run_for(catch_up_time);
  check_and_go_on();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CoordinationLosses, ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace chutevane::tier_simulation
