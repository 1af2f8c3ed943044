/// A failed request can be explained afterwards: each way to fail is struck once, and its cause is counted
/// and told in a line that names the request.
#include "edge/request_failure.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/log.hpp"
#include "common/metrics.hpp"
#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

// The lines of the process, for as long as this lives.
class CapturedLog {
 public:
  CapturedLog() {
    common::set_log_sink([this](common::Level, std::string_view event, std::string_view detail) {
      lines.push_back(std::string(event) + " " + std::string(detail));
    });
  }
  ~CapturedLog() { common::set_log_sink({}); }
  // Lines that have all of these words.
  std::size_t count(const std::vector<std::string>& words) const {
    std::size_t out = 0;
    for (const std::string& line : lines) {
      bool all = true;
      for (const std::string& word : words) all = all && line.find(word) != std::string::npos;
      out += all ? 1 : 0;
    }
    return out;
  }
  std::vector<std::string> lines;
};

struct Strike {
  FailureCause cause;
  int status;  // 0: the connection ends without an answer
  Kind kind = Kind::non_idempotent;
  std::function<void(ScriptedConnection&, const std::string& id)> endpoint = {};
  std::string fields = {};                             // in place of the kind's own
  std::string path = {};                               // the same
  std::function<void(Scene&)> before = [](Scene&) {};  // with everything in force
  std::function<void(ClientConnection&)> client = {};  // once the endpoint has the request
  RouteOptions route = {.timeout_ms = 400, .max_attempts = 1};
  int time_remaining_ms = 20000;
};

constexpr const char* id = "struck";

RequestOptions to_nowhere(const std::string& fields = "") {
  RequestOptions out;
  out.path = "/nowhere/x";
  out.extra_fields = fields;
  return out;
}

void answer_half_a_stream(ScriptedConnection& connection) {
  connection.send(stream_head(id) + chunk(event_text(5, "one")));
}

std::vector<Strike> strikes() {
  std::vector<Strike> out;
  const auto add = [&](Strike strike) { out.push_back(std::move(strike)); };
  add({.cause = FailureCause::no_route, .status = 404, .path = "/nowhere/x"});
  add({.cause = FailureCause::no_such_turn,
       .status = 404,
       .kind = Kind::turn,
       .fields = "Previous: never\r\n"});
  add({.cause = FailureCause::budget_spent,
       .status = 402,
       .kind = Kind::turn,
       .fields = "Program: p\r\nBudget: 1\r\nX-Chutevane-Token-Count: 10,20\r\n"});
  add({.cause = FailureCause::missing_program, .status = 400, .kind = Kind::turn, .fields = "Budget: 1\r\n"});
  add({.cause = FailureCause::turn_uncertain,
       .status = 503,
       .kind = Kind::turn,
       .fields = "Previous: never\r\n",
       .before = [](Scene& scene) { scene.storage.reset(); }});
  add({.cause = FailureCause::budget_uncertain,
       .status = 503,
       .kind = Kind::turn,
       .fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n",
       .before = [](Scene& scene) { scene.storage->silent_on_reserve = true; }});
  add({.cause = FailureCause::no_endpoint,
       .status = 503,
       .before =
           [](Scene& scene) {
             scene.listed.clear();
             scene.list_endpoints();
             scene.in_force();
           },
       .route = {.timeout_ms = 4000, .max_attempts = 1}});
  add({.cause = FailureCause::time_spent, .status = 503, .time_remaining_ms = 0});
  add({.cause = FailureCause::endpoints_full,
       .status = 503,
       .endpoint = [](ScriptedConnection& c, const std::string&) { c.send(rejection(503, id)); }});
  add({.cause = FailureCause::endpoint_broke_off,
       .status = 502,
       .endpoint = [](ScriptedConnection& c, const std::string&) { c.reset(); }});
  add({.cause = FailureCause::bad_answer,
       .status = 502,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         c.send("HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: struck\r\nContent-Length: 1\r\n\r\nx");
       }});
  add({.cause = FailureCause::refusal_without_proof,
       .status = 502,
       .endpoint = [](ScriptedConnection& c, const std::string&) { c.send(answer(503, id, "busy")); }});
  add({.cause = FailureCause::endpoint_timeout,
       .status = 504,
       .endpoint = [](ScriptedConnection&, const std::string&) {}});
  add({.cause = FailureCause::stream_broke_off,
       .status = 0,
       .kind = Kind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         answer_half_a_stream(c);
         c.close();
       }});
  add({.cause = FailureCause::stream_bad,
       .status = 0,
       .kind = Kind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         answer_half_a_stream(c);
         c.send(chunk(event_text(4, "back")) + last_chunk);
       }});
  add({.cause = FailureCause::stream_timeout,
       .status = 0,
       .kind = Kind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) { answer_half_a_stream(c); }});
  add({.cause = FailureCause::turn_not_kept,
       .status = 0,
       .kind = Kind::turn,
       .endpoint = [](ScriptedConnection& c, const std::string&) { c.send(good_answer(Kind::turn, id)); },
       .fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n",
       .before = [](Scene& scene) { scene.storage->silent_on_keep = true; }});
  add({.cause = FailureCause::client_left,
       .status = 0,
       .endpoint = [](ScriptedConnection&, const std::string&) {},
       .client = [](ClientConnection& client) { client.close(); },
       .route = {.timeout_ms = 4000, .max_attempts = 1}});
  add({.cause = FailureCause::process_ended,
       .status = 0,
       .endpoint = [](ScriptedConnection&, const std::string&) {},
       .before = [](Scene& scene) { scene.edge->begin_shutdown(); },
       .route = {.timeout_ms = 20000, .max_attempts = 1}});
  return out;
}

class FailureCauseTest : public ::testing::TestWithParam<Strike> {};

TEST_P(FailureCauseTest, CauseIsCountedAndLogged) {
  const Strike& strike = GetParam();
  const CapturedLog log;
  Scene scene(1, strike.route);
  bool reached = false;
  scene.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    reached = true;
    if (strike.endpoint) strike.endpoint(connection, request.attempt_id);
  };
  strike.before(scene);
  RequestOptions options = request_of(strike.kind);
  if (strike.kind == Kind::turn || !strike.fields.empty()) options.extra_fields = strike.fields;
  if (!strike.path.empty()) options.path = strike.path;
  options.time_remaining_ms = strike.time_remaining_ms;
  const auto client = scene.client();
  client->send(request_text(id, options));
  if (strike.client) {
    ASSERT_TRUE(scene.loop.until([&] { return reached; }));
    strike.client(*client);
  }
  ASSERT_TRUE(
      scene.loop.until([&] { return scene.edge->failures().count_of(strike.cause) > 0; }, Span::ms(9000)));
  if (strike.status != 0) {
    ASSERT_TRUE(scene.answered(*client));
    EXPECT_EQ(client->answers.front().status, strike.status);
  } else if (strike.cause != FailureCause::client_left) {
    EXPECT_TRUE(scene.loop.until([&] { return client->ended; }));
    EXPECT_TRUE(client->answers.empty());
  }
  // Counted once, under this cause alone.
  for (std::size_t i = 0; i < failure_cause_count; ++i) {
    const auto cause = static_cast<FailureCause>(i);
    EXPECT_EQ(scene.edge->failures().count_of(cause), cause == strike.cause ? 1U : 0U) << name_of(cause);
  }
  const std::string cause = "cause=" + std::string(name_of(strike.cause)) + " ";
  EXPECT_EQ(log.count({"request.failed", std::string("id=") + id, cause,
                       "held_ms=", "session_age_ms=", "configuration=1"}),
            1U)
      << (log.lines.empty() ? "no line" : log.lines.back());
  EXPECT_EQ(log.count({"request.failed"}), 1U);
  if (reached) {
    EXPECT_EQ(log.count({"request.failed", "endpoint=i-1", "service=s"}), 1U) << log.lines.back();
  }
  // And in the figures.
  common::MetricsWriter out;
  scene.edge->write_metrics(out);
  const std::string text = std::move(out).finish();
  const std::string family =
      closes_connection(strike.cause) ? "chutevane_closed_without_answer" : "chutevane_own_answers";
  const std::string sample = family + "_total{cause=\"" + std::string(name_of(strike.cause)) + "\"} 1\n";
  EXPECT_NE(text.find(sample), std::string::npos) << text;
}

INSTANTIATE_TEST_SUITE_P(Causes, FailureCauseTest, ::testing::ValuesIn(strikes()),
                         [](const auto& one) { return std::string(name_of(one.param.cause)); });

// Those that have no whole request, or need a scene of their own.

TEST(FailureReporting, RequestsThatAreNoneAreToldToo) {
  const CapturedLog log;
  Scene scene(1, {}, {.header_ms = 150});
  const auto malformed = scene.client(), slow = scene.client(), nameless = scene.client();
  malformed->send("no request\r\n\r\n");
  slow->send("GET /once/x HT");
  nameless->send(request_text("", request_of(Kind::turn)));
  ASSERT_TRUE(scene.answered(*malformed) && scene.answered(*slow) && scene.answered(*nameless));
  for (const FailureCause cause :
       {FailureCause::malformed_request, FailureCause::slow_request, FailureCause::missing_attempt_id}) {
    EXPECT_EQ(scene.edge->failures().count_of(cause), 1U) << name_of(cause);
    EXPECT_EQ(log.count({"id=none", "cause=" + std::string(name_of(cause))}), 1U) << name_of(cause);
  }
}

TEST(FailureReporting, WhatIsNotKnownYetIsTold) {
  const CapturedLog log;
  Scene scene(1, {}, {}, Scene::Informed::no);
  EXPECT_EQ(scene.ask(id, request_of(Kind::idempotent)).status, 503);
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::no_configuration), 1U);
  EXPECT_EQ(log.count({"cause=no_configuration", "configuration=0"}), 1U);
}

TEST(FailureReporting, AnEdgeOutOfContactSaysSo) {
  const CapturedLog log;
  Scene scene(1);
  scene.control.reset();
  scene.loop.run_for(Span::ms(1900));
  EXPECT_EQ(scene.ask(id, to_nowhere()).status, 503);
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::route_uncertain), 1U);
  EXPECT_EQ(log.count({"cause=route_uncertain", "sessions=0"}), 1U);
}

TEST(FailureReporting, AClientThatTakesNothingIsTold) {
  const CapturedLog log;
  Scene scene(1, {}, {.idle_ms = 300});
  const std::string large(16U << 20U, 'x');
  scene.script.on_request = [&](ScriptedConnection& c, const ReceivedRequest& request) {
    c.send(answer(200, request.attempt_id, large, "X-Chutevane-Server-Seal: s\r\n"));
  };
  const auto client = scene.client();
  client->stop_reading();
  client->send(request_text(id, request_of(Kind::idempotent)));
  EXPECT_TRUE(
      scene.loop.until([&] { return scene.edge->failures().count_of(FailureCause::client_stalled) == 1; }));
  EXPECT_EQ(log.count({"cause=client_stalled"}), 1U);
}

// The bound holds whatever comes: lines left out are counted.
TEST(FailureReporting, LinesAreBounded) {
  const CapturedLog log;
  Scene scene(1);
  const auto client = scene.client();
  for (std::size_t i = 0; i < 200; ++i) client->send(request_text(numbered("a", i), to_nowhere()));
  ASSERT_TRUE(scene.answered(*client, 200));
  EXPECT_EQ(scene.edge->failures().count_of(FailureCause::no_route), 200U);
  EXPECT_LE(log.count({"request.failed"}), 60U);
  EXPECT_GE(log.count({"request.failed"}), 20U);
  const std::string long_name(4000, 'n');
  scene.loop.run_for(Span::ms(1100));
  scene.ask("last", to_nowhere("Session: " + long_name + "\r\n"));
  EXPECT_EQ(log.count({"id=last", "left_out="}), 1U);
  for (const std::string& line : log.lines) EXPECT_LE(line.size(), 700U);
}

TEST(FailureReporting, WhatIsServedWellLeavesNoLine) {
  const CapturedLog log;
  Scene scene(2);
  for (const Kind kind : all_kinds) {
    ASSERT_TRUE(scene.prepare(kind));
    scene.answer_well(kind);
    EXPECT_EQ(scene.ask("good" + name_of(kind), request_of(kind)).status, 200);
  }
  EXPECT_EQ(log.count({"request.failed"}), 0U);
  for (std::size_t i = 0; i < failure_cause_count; ++i)
    EXPECT_EQ(scene.edge->failures().count_of(static_cast<FailureCause>(i)), 0U)
        << name_of(static_cast<FailureCause>(i));
}

}  // namespace
}  // namespace chutevane::edge::harness
