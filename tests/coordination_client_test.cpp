// A caller of the coordination calls: an open connection is used until it is gone, then another controller.
#include "lab/tier/coordination_client.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/loopback.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr int machine_group = 60;
constexpr std::uint16_t port = 8200;
constexpr Span test_limit = Span::ms(10000);

/// Two controllers that answer as the test says.
class CoordinationClientTest : public testing::Test {
 protected:
  struct Controller {
    std::unique_ptr<HttpPort> listener;
    int status = 200;
    bool resets = false, is_silent = false;
    std::size_t requests = 0;
  };

  CoordinationClientTest() {
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
      Controller& controller = controllers_[i];
      controller.listener =
          std::make_unique<HttpPort>(scheduler_, [&controller](HttpPort::Exchange& exchange) {
            ++controller.requests;
            if (controller.is_silent) return;
            if (controller.resets) return exchange.reset();
            exchange.answer(controller.status, {}, R"({"value":7})");
          });
      const sockaddr_in at = addresses_.at(machine_group, i + 1, port);
      controller.listener->listen(at);
      shared_.controllers.push_back(at);
    }
  }

  /// One call, to its end.
  CoordinationOutcome call(CoordinationClient& client) {
    CoordinationCall number;
    number.kind = CoordinationKind::next_number;
    number.name = "n" + std::to_string(++calls_);
    std::optional<CoordinationOutcome> out;
    client.call(number, [&out](const CoordinationAnswer& answer) { out = answer.outcome; });
    const TimePoint until = timers_.now() + test_limit;
    while (!out && timers_.now() < until) scheduler_.turn();
    return out.value_or(CoordinationOutcome::malformed);
  }

  AddressBlock addresses_;
  net::Scheduler scheduler_;
  net::TimerQueue timers_{scheduler_};
  HttpConnector connector_{scheduler_, timers_};
  std::array<Controller, 2> controllers_;
  CoordinationClient::Shared shared_{connector_, timers_, {}, CoordinationAuditor(Span::ms(4000)), {}};
  std::size_t calls_ = 0;
};

TEST_F(CoordinationClientTest, StaysOnAnOpenConnectionThatIsRefused) {
  CoordinationClient client(shared_, 0, ControllerChoice::stays_until_gone);
  controllers_[0].status = 503;
  EXPECT_EQ(call(client), CoordinationOutcome::refused);
  EXPECT_EQ(call(client), CoordinationOutcome::refused);
  EXPECT_EQ(controllers_[0].requests, 2U);
  controllers_[0].resets = true;
  EXPECT_EQ(call(client), CoordinationOutcome::unclear);
  EXPECT_EQ(call(client), CoordinationOutcome::done);
  EXPECT_EQ(controllers_[1].requests, 1U);
}

TEST_F(CoordinationClientTest, LeavesAfterARefusal) {
  CoordinationClient client(shared_, 0, ControllerChoice::leaves_on_refusal);
  controllers_[0].status = 429;
  EXPECT_EQ(call(client), CoordinationOutcome::refused);
  EXPECT_EQ(call(client), CoordinationOutcome::done);
  EXPECT_EQ(call(client), CoordinationOutcome::done);
  EXPECT_EQ(controllers_[1].requests, 2U);
}

TEST_F(CoordinationClientTest, LeavesAfterASecondWithoutAnAnswer) {
  CoordinationClient client(shared_, 0, ControllerChoice::stays_until_gone);
  controllers_[0].is_silent = true;
  EXPECT_EQ(call(client), CoordinationOutcome::unclear);
  EXPECT_EQ(call(client), CoordinationOutcome::done);
}

TEST_F(CoordinationClientTest, AFixedOneAsksTheSameAgain) {
  CoordinationClient client(shared_, 0, ControllerChoice::fixed);
  controllers_[0].resets = true;
  EXPECT_EQ(call(client), CoordinationOutcome::unclear);
  EXPECT_EQ(call(client), CoordinationOutcome::unclear);
  EXPECT_EQ(controllers_[0].requests, 2U);
  EXPECT_EQ(shared_.figures.of(CoordinationKind::next_number, CoordinationOutcome::unclear), 2U);
}

}  // namespace
}  // namespace chutevane::lab::tier
