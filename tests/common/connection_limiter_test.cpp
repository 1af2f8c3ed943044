/// Which connections are ended when memory or descriptors run short, on simulated connections and a real
/// budget.
#include "common/connection_limiter.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "net/buffer.hpp"
#include "net/epoll.hpp"
#include "net/scheduler.hpp"
#include "unit.hpp"

using chutevane::common::ConnectionLimiter;
using chutevane::common::ShedCause;
using Phase = ConnectionLimiter::Phase;

namespace {

constexpr std::size_t large = 100 * 1024;  // bytes
constexpr std::size_t unit = ConnectionLimiter::progress_unit;

/// A port with connections that hold as much as a test says. Each is numbered in the order of add().
class Port {
 public:
  class Connection final : public ConnectionLimiter::Connection {
   public:
    Connection(Port& port, std::size_t number) : port_(port), number_(number) {}
    void hold(std::size_t bytes) { charge = {port_.scheduler.buffer_budget(), bytes}; }
    std::size_t held_bytes() const override { return charge.bytes(); }
    bool has_unread_bytes() const override { return is_unread; }
    // As a port does: a request that is incomplete is answered, anything else ends at once.
    void on_shed(ShedCause cause) override {
      port_.shed.push_back(number_);
      charge = {};
      if (cause == ShedCause::memory && port_.answers_before_closing)
        return port_.limiter.set_phase(*this, Phase::closing);
      port_.limiter.remove(*this);
    }
    chutevane::net::BufferCharge charge;
    bool is_unread = false;

   private:
    Port& port_;
    const std::size_t number_;
  };

  Port(std::size_t budget, std::size_t max_connections) : limiter("test", scheduler, max_connections) {
    scheduler.buffer_budget().set_limit(budget);
  }
  Connection& add(Phase phase, std::size_t held = 0) {
    connections.push_back(std::make_unique<Connection>(*this, connections.size()));
    Connection& connection = *connections.back();
    limiter.add(connection);
    limiter.set_phase(connection, phase);
    connection.hold(held);
    return connection;
  }

  chutevane::net::Epoll system;
  chutevane::net::Scheduler scheduler{system};
  ConnectionLimiter limiter;
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<std::size_t> shed;
  bool answers_before_closing = false;
};

}  // namespace

TEST_GROUP(ConnectionLimiting){};

TEST(ConnectionLimiting, NothingIsEndedWhileThereIsRoom) {
  Port port(3 * large, 100);
  for (int i = 0; i < 2; ++i) port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(nullptr));
  CHECK_TRUE(port.shed.empty());
}

// A newcomer is not refused while bodies that have stopped keep their room.
TEST(ConnectionLimiting, TheOneWithoutProgressForTheLongestTimeGivesWay) {
  Port port(3 * large, 100);
  Port::Connection& first = port.add(Phase::receiving, large);
  port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.on_progress(first, unit));
  Port::Connection& newcomer = port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(&newcomer));
  CHECK_TRUE(port.shed == std::vector<std::size_t>{1});
}

TEST(ConnectionLimiting, SingleBytesAreNoProgress) {
  Port port(3 * large, 100);
  Port::Connection& dripping = port.add(Phase::receiving, large);
  port.add(Phase::receiving, large);
  for (std::size_t i = 0; i + 1 < unit; ++i) CHECK_FALSE(port.limiter.on_progress(dripping, 1));
  Port::Connection& newcomer = port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(&newcomer));
  CHECK_TRUE(port.shed == std::vector<std::size_t>{0});
}

TEST(ConnectionLimiting, RequestsInServiceAreNotEnded) {
  Port port(2 * large, 100);
  port.add(Phase::serving, large);
  port.add(Phase::serving, large);
  CHECK_FALSE(port.limiter.make_room(nullptr));
  CHECK_TRUE(port.shed.empty());
}

// Ending those would give nothing back, however old they are.
TEST(ConnectionLimiting, SmallOnesAreNotEndedForMemory) {
  Port port(2 * large, 100);
  for (int i = 0; i < 10; ++i) port.add(Phase::receiving, 1024);
  port.add(Phase::receiving, large);
  Port::Connection& newcomer = port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(&newcomer));
  CHECK_TRUE(port.shed == std::vector<std::size_t>{10});
}

TEST(ConnectionLimiting, ClientsThatDoNotReadGiveWayToo) {
  Port port(2 * large, 100);
  port.add(Phase::sending, large);
  Port::Connection& newcomer = port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(&newcomer));
  CHECK_TRUE(port.shed == std::vector<std::size_t>{0});
}

TEST(ConnectionLimiting, TheGrowingOneIsLeftToItsCaller) {
  Port port(large, 100);
  Port::Connection& alone = port.add(Phase::receiving, large);
  CHECK_FALSE(port.limiter.make_room(&alone));
  CHECK_TRUE(port.shed.empty());
}

TEST(ConnectionLimiting, OneThatWasAnsweredIsNotEndedTwice) {
  Port port(2 * large, 100);
  port.answers_before_closing = true;
  port.add(Phase::receiving, large);
  Port::Connection& newcomer = port.add(Phase::receiving, large);
  CHECK_TRUE(port.limiter.make_room(&newcomer));
  newcomer.hold(2 * large);
  CHECK_FALSE(port.limiter.make_room(&newcomer));
  CHECK_TRUE(port.shed == std::vector<std::size_t>{0});
  CHECK_EQUAL(static_cast<std::uint64_t>(1), port.limiter.shed_count(ShedCause::memory));
}

TEST(ConnectionLimiting, ANewConnectionTakesThePlaceOfTheLongestIdle) {
  Port port(large, 3);
  for (int i = 0; i < 3; ++i) port.add(Phase::idle);
  port.connections[0]->is_unread = true;  // a request has arrived: it is not idle
  CHECK_TRUE(port.limiter.admit());
  CHECK_TRUE(port.shed == std::vector<std::size_t>{1});
  CHECK_EQUAL(static_cast<std::size_t>(2), port.limiter.size());
}

TEST(ConnectionLimiting, WithoutIdleOnesAnIncompleteRequestGivesWay) {
  Port port(large, 3);
  port.add(Phase::serving);
  port.add(Phase::receiving);
  port.add(Phase::receiving);
  CHECK_TRUE(port.limiter.admit());
  CHECK_TRUE(port.shed == std::vector<std::size_t>{1});
}

TEST(ConnectionLimiting, ANewConnectionIsRefusedIfAllOthersAreServed) {
  Port port(large, 2);
  port.add(Phase::serving);
  port.add(Phase::serving);
  CHECK_FALSE(port.limiter.admit());
  CHECK_TRUE(port.shed.empty());
  CHECK_EQUAL(static_cast<std::uint64_t>(1), port.limiter.refused_count());
}

// The budget is given back by every way in which bytes change hands.
TEST(ConnectionLimiting, BudgetIsGivenBack) {
  chutevane::net::BufferBudget budget(large);
  {
    chutevane::net::Buffer buffer(budget);
    buffer.append(std::string(large, 'x'));
    CHECK_TRUE(budget.full());
    const chutevane::net::Buffer taken = buffer.release_front(large - 10);
    CHECK_EQUAL(static_cast<std::size_t>(10), buffer.size());
    CHECK_TRUE(budget.bytes() == buffer.capacity() + taken.capacity());
    chutevane::net::Buffer moved(std::move(buffer));
    CHECK_TRUE(budget.bytes() == moved.capacity() + taken.capacity());
    moved = chutevane::net::Buffer();
    CHECK_TRUE(budget.bytes() == taken.capacity());
    chutevane::net::BufferCharge charge(budget, 7);
    charge = {budget, 5};
    chutevane::net::BufferCharge other(std::move(charge));
    CHECK_TRUE(budget.bytes() == taken.capacity() + 5);
  }
  CHECK_EQUAL(static_cast<std::size_t>(0), budget.bytes());
}
