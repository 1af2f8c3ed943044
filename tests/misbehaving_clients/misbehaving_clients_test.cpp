/// Crowds of clients that do not behave, against real processes with low limits.
///
/// Each case is one kind of client. The checks do not depend on the machine's speed: the process lives, its
/// memory and its open descriptors stay within the limits of its settings, and an ordinary request is
/// answered, both while the crowd is still connected and after it has left.
#include <gtest/gtest.h>

#include <string>

#include "small_tier.hpp"

namespace chutevane::misbehaving_clients {
namespace {

using Machine = SmallTier::Machine;
using lab::tier::Crowd;
using lab::tier::Machines;
using lab::tier::Sequence;

#if defined(__SANITIZE_ADDRESS__)
// The sanitizer's shadow, red zones and quarantine are not the program's memory.
constexpr bool is_memory_judged = false;
#else
constexpr bool is_memory_judged = true;
#endif

constexpr int ok = 200;
// How long a crowd may take to send what its peer reads. It may stay below: a peer need not read all.
constexpr Span crowd_limit = Span::ms(20000);
// What follows after the crowd has sent all: time for the process to do what it will do.
constexpr Span settle_time = Span::ms(2000);

constexpr std::size_t chunk_bytes = 64 * 1024;

std::string head(const std::string& request_line, const std::string& fields) {
  return request_line + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields + "\r\n";
}
std::string attempt(const std::string& id) {
  return "X-Chutevane-Attempt-Id: " + id + "\r\nX-Chutevane-Time-Remaining: 20000\r\n";
}
std::string announced(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }
std::string chunk(std::size_t size) {
  char line[24];
  std::snprintf(line, sizeof line, "%zx\r\n", size);
  return line + std::string(size, 'x') + "\r\n";
}
std::string repeated(const std::string& text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}
const std::string chunked = "Transfer-Encoding: chunked\r\n";

/// A body of stated length, all but its last byte.
Sequence unfinished_announced_body(const std::string& request_line, std::size_t size) {
  return {head(request_line, attempt("a") + announced(size)), std::string(chunk_bytes, 'x'),
          size / chunk_bytes - 1, std::string(chunk_bytes - 1, 'x')};
}
Sequence whole_announced_body(const std::string& request_line, const std::string& fields, std::size_t size) {
  return {head(request_line, fields + announced(size)), std::string(chunk_bytes, 'x'), size / chunk_bytes};
}
Sequence unfinished_large_chunks(const std::string& request_line, std::size_t size) {
  return {head(request_line, attempt("a") + chunked), chunk(chunk_bytes), size / chunk_bytes - 1,
          chunk(chunk_bytes - 1)};
}
Sequence unfinished_small_chunks(const std::string& request_line, std::size_t size) {
  constexpr std::size_t chunks_per_block = 8192;
  return {head(request_line, attempt("a") + chunked), repeated(chunk(1), chunks_per_block),
          size / chunks_per_block - 1};
}

class MisbehavingClients : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(tier.start()); }

  /// Lets the crowd send, and checks the process and its ordinary service with the crowd connected and after
  /// it.
  template <class OrdinaryRequest>
  void expect_withstands(Machine& machine, Crowd& crowd, OrdinaryRequest ordinary_request) {
    tier.wait(crowd_limit, [&] { return crowd.is_done(); });
    tier.wait(settle_time, [] { return false; });
    expect_within_limits(machine);
    EXPECT_EQ(ordinary_request(), ok)
        << "with the crowd connected: " << crowd.open() << " open, " << crowd.sent() << " bytes sent";
    crowd.leave();
    EXPECT_EQ(ordinary_request(), ok) << "after the crowd";
    expect_within_limits(machine);
    RecordProperty("peak_memory_mb", static_cast<int>(SmallTier::peak_memory(machine) / 1e6));
    std::printf("peak memory %.1f MB\n", SmallTier::peak_memory(machine) / 1e6);
  }
  void expect_within_limits(Machine& machine) {
    EXPECT_TRUE(SmallTier::is_alive(machine)) << lab::last_lines(machine.log, 4);
    EXPECT_LE(SmallTier::open_descriptors(machine), descriptor_limit);
    if (is_memory_judged) {
      EXPECT_LE(SmallTier::peak_memory(machine), memory_limit_mb * 1e6);
    }
  }
  void expect_edge_withstands(std::size_t connections, const Sequence& sequence) {
    Crowd crowd(tier.scheduler());
    crowd.connect(Machines::front_of(tier.edge()), connections, sequence);
    expect_withstands(tier.edge(), crowd, [&] { return tier.turn(tier.edge()); });
    EXPECT_EQ(tier.turn(tier.edge(1)), ok) << "at another edge";
  }
  void expect_controller_withstands(std::size_t connections, const Sequence& sequence) {
    Crowd crowd(tier.scheduler());
    crowd.connect(Machines::control_of(tier.controller()), connections, sequence);
    expect_withstands(tier.controller(), crowd, [&] { return tier.read_configuration(tier.controller()); });
  }
  void expect_metrics_port_withstands(Machine& machine) {
    Crowd crowd(tier.scheduler());
    crowd.connect(Machines::metrics_of(machine), 1, whole_announced_body("POST /metrics", "", 1U << 20U));
    expect_withstands(machine, crowd,
                      [&] { return tier.ask(Machines::metrics_of(machine), "GET", "/metrics"); });
  }

  SmallTier tier{PROGRAMS};
};

// ---- bodies at an edge

TEST_F(MisbehavingClients, EdgeWithstandsAnnouncedBodiesThatStopShort) {
  expect_edge_withstands(120, unfinished_announced_body("POST /turns/a", max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsLargeChunksThatStopShort) {
  expect_edge_withstands(120, unfinished_large_chunks("POST /turns/a", max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsOneByteChunksThatStopShort) {
  expect_edge_withstands(24, unfinished_small_chunks("POST /turns/a", max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsWholeBodiesAtOnce) {
  expect_edge_withstands(120, whole_announced_body("POST /slow/a", attempt("a"), max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsWholeTurnsAtOnce) {
  expect_edge_withstands(
      120, whole_announced_body("POST /turns/a", attempt("same") + "Program: p\r\n", max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsChunkedBodiesFarOverTheLimit) {
  expect_edge_withstands(60, {head("POST /turns/a", attempt("a") + chunked), chunk(chunk_bytes),
                              4 * max_body_bytes / chunk_bytes});
}

TEST_F(MisbehavingClients, EdgeWithstandsAnnouncedBodiesFarOverTheLimit) {
  expect_edge_withstands(60, whole_announced_body("POST /turns/a", attempt("a"), 4 * max_body_bytes));
}

TEST_F(MisbehavingClients, EdgeWithstandsLongChunkExtensions) {
  expect_edge_withstands(60, {head("POST /turns/a", attempt("a") + chunked),
                              "1;" + std::string(8192, 'e') + "\r\nx\r\n", max_body_bytes / 8192});
}

// ---- heads and connections at an edge

TEST_F(MisbehavingClients, EdgeWithstandsHeadsThatStopShort) {
  expect_edge_withstands(300, {"POST /turns/a HTTP/1.1\r\nX-Long: " + std::string(15000, 'x')});
}

TEST_F(MisbehavingClients, EdgeWithstandsMoreSilentConnectionsThanDescriptors) {
  SmallTier::enforce_descriptor_limit(tier.edge());
  expect_edge_withstands(600, {""});
}

// ---- answers that nobody reads

TEST_F(MisbehavingClients, EdgeWithstandsPipelinedRequestsWhoseAnswersAreNotRead) {
  const std::string request = head("GET /none/a", "");
  const std::size_t requests_per_block = chunk_bytes / request.size();
  expect_edge_withstands(32, {"", repeated(request, requests_per_block), 40, "", false});
}

TEST_F(MisbehavingClients, EdgeWithstandsLargeAnswersThatAreNotRead) {
  expect_edge_withstands(120, {head("GET /large/a", attempt("a")), "", 0, "", false});
}

// ---- the readiness and metrics ports

TEST_F(MisbehavingClients, ReadinessPortWithstandsABodyOverItsLimit) {
  Crowd crowd(tier.scheduler());
  crowd.connect(Machines::readiness_of(tier.edge()), 1,
                whole_announced_body("POST /v1/readiness", "", 1U << 20U));
  expect_withstands(tier.edge(), crowd,
                    [&] { return tier.ask(Machines::readiness_of(tier.edge()), "GET", "/v1/readiness"); });
  EXPECT_EQ(tier.turn(tier.edge()), ok);
}

TEST_F(MisbehavingClients, MetricsPortOfAnEdgeWithstandsABodyOverItsLimit) {
  expect_metrics_port_withstands(tier.edge());
}

TEST_F(MisbehavingClients, MetricsPortOfAControllerWithstandsABodyOverItsLimit) {
  expect_metrics_port_withstands(tier.controller());
}

TEST_F(MisbehavingClients, MetricsPortOfAStorageNodeWithstandsABodyOverItsLimit) {
  expect_metrics_port_withstands(tier.storage_node());
}

TEST_F(MisbehavingClients, MetricsPortWithstandsAnswersThatAreNotRead) {
  Crowd crowd(tier.scheduler());
  const std::string request = head("GET /metrics", "");
  crowd.connect(Machines::metrics_of(tier.edge()), 8,
                {"", repeated(request, chunk_bytes / request.size()), 4, "", false});
  expect_withstands(tier.edge(), crowd, [&] { return tier.turn(tier.edge()); });
}

// ---- the controller's port

TEST_F(MisbehavingClients, ControllerWithstandsABodyAnnouncedOverItsLimit) {
  expect_controller_withstands(1, whole_announced_body("POST /v1/Configuration.Replace", "", 9U << 20U));
}

TEST_F(MisbehavingClients, ControllerWithstandsAChunkedBodyOverItsLimit) {
  expect_controller_withstands(
      1, {head("POST /v1/Configuration.Replace", chunked), chunk(chunk_bytes), (9U << 20U) / chunk_bytes});
}

TEST_F(MisbehavingClients, ControllerWithstandsAnnouncedBodiesThatStopShort) {
  expect_controller_withstands(40, unfinished_announced_body("POST /v1/Configuration.Replace", 4U << 20U));
}

TEST_F(MisbehavingClients, ControllerWithstandsOneByteChunksThatStopShort) {
  expect_controller_withstands(24, unfinished_small_chunks("POST /v1/Configuration.Replace", 1U << 20U));
}

TEST_F(MisbehavingClients, ControllerWithstandsMoreSilentConnectionsThanDescriptors) {
  SmallTier::enforce_descriptor_limit(tier.controller());
  expect_controller_withstands(600, {""});
}

TEST_F(MisbehavingClients, ControllerWithstandsAnswersThatAreNotRead) {
  const std::string request = head("GET /v1/Configuration.Retrieve", "");
  expect_controller_withstands(32, {"", repeated(request, chunk_bytes / request.size()), 4, "", false});
}

// ---- what follows the read

// Each turn is whole and within the limit; what they come to is more than a storage node may hold.
TEST_F(MisbehavingClients, StorageNodesWithstandLargeTurnsAtOnce) {
  expect_edge_withstands(
      40, whole_announced_body("POST /turns/a", attempt("large{n}") + "Program: p\r\n", max_body_bytes));
  for (std::size_t i = 0; i < SmallTier::storage_node_count; ++i) {
    expect_within_limits(tier.storage_node(i));
    std::printf("storage node %zu: peak memory %.1f MB\n", i,
                SmallTier::peak_memory(tier.storage_node(i)) / 1e6);
  }
}

// A conversation of large turns is larger than any one body. It is continued at an edge that has none of it.
TEST_F(MisbehavingClients, EdgeWithstandsAChainOfLargeTurns) {
  constexpr std::size_t turns = 24;
  const std::string input(max_body_bytes, 'x');
  std::string previous;
  for (std::size_t i = 0; i < turns; ++i) {
    const std::string id = "chain" + std::to_string(i);
    ASSERT_EQ(tier.turn(tier.edge(1), id, previous, input), ok) << id;
    previous = id;
  }
  for (std::size_t i = 0; i < 4; ++i)
    std::printf("continued: %d\n", tier.turn(tier.edge(), "next" + std::to_string(i), previous, "more"));
  expect_within_limits(tier.edge());
  expect_within_limits(tier.edge(1));
  EXPECT_EQ(tier.turn(tier.edge()), ok);
  std::printf("peak memory %.1f MB\n", SmallTier::peak_memory(tier.edge()) / 1e6);
}

// A hundred half bodies, and the process is told to end: it ends in good order.
TEST_F(MisbehavingClients, EdgeEndsInOrderAmidHalfBodies) {
  Crowd crowd(tier.scheduler());
  crowd.connect(Machines::front_of(tier.edge()), 100,
                unfinished_announced_body("POST /turns/a", max_body_bytes));
  tier.wait(crowd_limit, [&] { return crowd.is_done(); });
  EXPECT_EQ(tier.terminate(tier.edge()), "exit status 0") << lab::last_lines(tier.edge().log, 4);
}

// ---- calm

TEST_F(MisbehavingClients, ABodyOfTheFullLimitIsServedInCalm) {
  const lab::tier::HeaderFields fields{{"X-Chutevane-Attempt-Id", "full"},
                                       {"X-Chutevane-Time-Remaining", "20000"}};
  EXPECT_EQ(
      tier.ask(Machines::front_of(tier.edge()), "POST", "/quick/a", std::string(max_body_bytes, 'x'), fields),
      ok);
  ASSERT_FALSE(tier.received_bodies().empty());
  EXPECT_EQ(tier.received_bodies().back(), max_body_bytes);
  expect_within_limits(tier.edge());
}

// A body limit near the room of the machine: one such body fits, alone.
TEST(MisbehavingClientsNearTheRoom, ABodyOfTheFullLimitIsServedInCalm) {
  constexpr std::size_t body_limit = 24U << 20U;  // of 64 MB
  SmallTier tier(PROGRAMS, body_limit);
  ASSERT_TRUE(tier.start());
  const lab::tier::HeaderFields fields{{"X-Chutevane-Attempt-Id", "full"},
                                       {"X-Chutevane-Time-Remaining", "20000"}};
  EXPECT_EQ(
      tier.ask(Machines::front_of(tier.edge()), "POST", "/quick/a", std::string(body_limit, 'x'), fields),
      ok);
  ASSERT_FALSE(tier.received_bodies().empty());
  EXPECT_EQ(tier.received_bodies().back(), body_limit);
  EXPECT_TRUE(SmallTier::is_alive(tier.edge()));
  if (is_memory_judged) {
    EXPECT_LE(SmallTier::peak_memory(tier.edge()), memory_limit_mb * 1e6);
  }
}

}  // namespace
}  // namespace chutevane::misbehaving_clients
