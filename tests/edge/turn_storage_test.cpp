/// Storing a turn at the end of its response: the response is complete only once storage has the turn and all
/// turns that it continues.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr int timeout_ms = 400;  // of the route, where the turn cannot be stored

RequestOptions turn_without_budget(const std::string& previous) {
  RequestOptions out;
  out.path = "/turn/x";
  out.extra_fields = "Program: p\r\n";
  if (!previous.empty()) out.extra_fields += "Previous: " + previous + "\r\n";
  return out;
}

// Guards against a turn that only the cache of one edge can continue: its ancestors expire in storage while
// it is being answered. The edge, which has sent them to the endpoint, stores them again.
TEST(TurnStorage, AncestorsThatHaveExpiredAreStoredAgain) {
  TestEnvironment env(1);
  env.respond_normally(RouteKind::turn);
  ASSERT_EQ(env.send_request("a1", turn_without_budget("")).status, 200);
  ASSERT_EQ(env.send_request("a2", turn_without_budget("a1")).status, 200);
  const auto before = env.storage->stored_turns;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    env.storage->stored_turns.clear();
    connection.send(valid_response(RouteKind::turn, request.attempt_id));
  };
  const Response response = env.send_request("a3", turn_without_budget("a2"));
  EXPECT_TRUE(response.is_complete);
  ASSERT_EQ(env.storage->stored_turns.size(), 3U);
  EXPECT_EQ(env.storage->stored_turns["a1"], before.at("a1"));
  EXPECT_EQ(env.storage->stored_turns["a2"], before.at("a2"));
  EXPECT_EQ(env.storage->stored_turns["a3"].previous, "a2");
}

// A response does not look complete if storage has no room for the turns that it continues.
TEST(TurnStorage, ResponseIsResetIfItsAncestorsCannotBeStored) {
  TestEnvironment env(1, {.timeout_ms = timeout_ms});
  env.respond_normally(RouteKind::turn);
  ASSERT_EQ(env.send_request("a1", turn_without_budget("")).status, 200);
  ASSERT_EQ(env.send_request("a2", turn_without_budget("a1")).status, 200);
  env.storage->stored_turns.erase("a1");
  env.storage->stored_turns.erase("a2");
  env.storage->stored_turns["a3"];
  env.storage->has_no_room = true;
  const auto client = env.client();
  client->send(request_text("a3", turn_without_budget("a2")));
  ASSERT_TRUE(env.loop.until([&] { return client->closed; }));
  EXPECT_TRUE(client->responses.empty());
  EXPECT_TRUE(client->closed_mid_response);
}

}  // namespace
}  // namespace chutevane::edge::harness
