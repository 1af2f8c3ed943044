/// Failure reporting: each cause of failure is provoked once, counted under its cause, and logged in one line
/// that identifies the request.
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

// Captures the log lines of the process during its lifetime.
class CapturedLog {
 public:
  CapturedLog() {
    common::set_log_sink([this](common::Level, std::string_view event, std::string_view detail) {
      lines.push_back(std::string(event) + " " + std::string(detail));
    });
  }
  ~CapturedLog() { common::set_log_sink({}); }
  // Returns the number of lines that contain all of the words.
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

struct FailureCase {
  FailureCause cause;
  int status;  // 0 if the connection ends without a response
  RouteKind kind = RouteKind::non_idempotent;
  std::function<void(ScriptedConnection&, const std::string& id)> endpoint = {};
  std::string fields = {};  // replaces the fields of request_of()
  std::string path = {};    // replaces the path of request_of()
  std::function<void(TestEnvironment&)> before = [](TestEnvironment&) {
  };                                                   // runs after the configuration is applied
  std::function<void(ClientConnection&)> client = {};  // runs when the endpoint has the request
  RouteOptions route = {.timeout_ms = 400, .max_attempts = 1};
  int time_remaining_ms = 20000;
};

constexpr const char* id = "failing";

RequestOptions request_without_route(const std::string& fields = "") {
  RequestOptions out;
  out.path = "/nowhere/x";
  out.extra_fields = fields;
  return out;
}

void send_partial_stream(ScriptedConnection& connection) {
  connection.send(stream_head(id) + chunk(event_text(5, "one")));
}

std::vector<FailureCase> failure_cases() {
  std::vector<FailureCase> out;
  const auto add = [&](FailureCase failure_case) { out.push_back(std::move(failure_case)); };
  add({.cause = FailureCause::no_route, .status = 404, .path = "/nowhere/x"});
  add({.cause = FailureCause::no_such_turn,
       .status = 404,
       .kind = RouteKind::turn,
       .fields = "Previous: never\r\n"});
  add({.cause = FailureCause::budget_spent,
       .status = 402,
       .kind = RouteKind::turn,
       .fields = "Program: p\r\nBudget: 1\r\nX-Chutevane-Token-Count: 10,20\r\n"});
  add({.cause = FailureCause::missing_program,
       .status = 400,
       .kind = RouteKind::turn,
       .fields = "Budget: 1\r\n"});
  add({.cause = FailureCause::turn_uncertain,
       .status = 503,
       .kind = RouteKind::turn,
       .fields = "Previous: never\r\n",
       .before = [](TestEnvironment& env) { env.storage.reset(); }});
  add({.cause = FailureCause::budget_uncertain,
       .status = 503,
       .kind = RouteKind::turn,
       .fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n",
       .before = [](TestEnvironment& env) { env.storage->silent_on_reserve = true; }});
  add({.cause = FailureCause::no_endpoint,
       .status = 503,
       .before =
           [](TestEnvironment& env) {
             env.listed.clear();
             env.list_endpoints();
             env.wait_until_applied();
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
         c.send("HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: failing\r\nContent-Length: 1\r\n\r\nx");
       }});
  add({.cause = FailureCause::refusal_without_proof,
       .status = 502,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         c.send(response_text(503, id, "busy"));
       }});
  add({.cause = FailureCause::endpoint_timeout,
       .status = 504,
       .endpoint = [](ScriptedConnection&, const std::string&) {}});
  add({.cause = FailureCause::stream_broke_off,
       .status = 0,
       .kind = RouteKind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         send_partial_stream(c);
         c.close();
       }});
  add({.cause = FailureCause::stream_bad,
       .status = 0,
       .kind = RouteKind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) {
         send_partial_stream(c);
         c.send(chunk(event_text(4, "back")) + last_chunk);
       }});
  add({.cause = FailureCause::stream_timeout,
       .status = 0,
       .kind = RouteKind::streaming,
       .endpoint = [](ScriptedConnection& c, const std::string&) { send_partial_stream(c); }});
  add({.cause = FailureCause::turn_not_kept,
       .status = 0,
       .kind = RouteKind::turn,
       .endpoint = [](ScriptedConnection& c,
                      const std::string&) { c.send(valid_response(RouteKind::turn, id)); },
       .fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n",
       .before = [](TestEnvironment& env) { env.storage->silent_on_store = true; }});
  add({.cause = FailureCause::client_left,
       .status = 0,
       .endpoint = [](ScriptedConnection&, const std::string&) {},
       .client = [](ClientConnection& client) { client.close(); },
       .route = {.timeout_ms = 4000, .max_attempts = 1}});
  add({.cause = FailureCause::process_ended,
       .status = 0,
       .endpoint = [](ScriptedConnection&, const std::string&) {},
       .before = [](TestEnvironment& env) { env.edge->begin_shutdown(); },
       .route = {.timeout_ms = 20000, .max_attempts = 1}});
  return out;
}

class FailureCauseTest : public ::testing::TestWithParam<FailureCase> {};

TEST_P(FailureCauseTest, CauseIsCountedAndLogged) {
  const FailureCase& failure_case = GetParam();
  const CapturedLog log;
  TestEnvironment env(1, failure_case.route);
  bool reached = false;
  env.script.on_request = [&](ScriptedConnection& connection, const ReceivedRequest& request) {
    reached = true;
    if (failure_case.endpoint) failure_case.endpoint(connection, request.attempt_id);
  };
  failure_case.before(env);
  RequestOptions options = request_of(failure_case.kind);
  if (failure_case.kind == RouteKind::turn || !failure_case.fields.empty())
    options.extra_fields = failure_case.fields;
  if (!failure_case.path.empty()) options.path = failure_case.path;
  options.time_remaining_ms = failure_case.time_remaining_ms;
  const auto client = env.client();
  client->send(request_text(id, options));
  if (failure_case.client) {
    ASSERT_TRUE(env.loop.until([&] { return reached; }));
    failure_case.client(*client);
  }
  ASSERT_TRUE(
      env.loop.until([&] { return env.edge->failures().count_of(failure_case.cause) > 0; }, Span::ms(9000)));
  if (failure_case.status != 0) {
    ASSERT_TRUE(env.wait_for_responses(*client));
    EXPECT_EQ(client->responses.front().status, failure_case.status);
  } else if (failure_case.cause != FailureCause::client_left) {
    EXPECT_TRUE(env.loop.until([&] { return client->closed; }));
    EXPECT_TRUE(client->responses.empty());
  }
  // Counted exactly once, under this cause only.
  for (std::size_t i = 0; i < failure_cause_count; ++i) {
    const auto cause = static_cast<FailureCause>(i);
    EXPECT_EQ(env.edge->failures().count_of(cause), cause == failure_case.cause ? 1U : 0U) << name_of(cause);
  }
  const std::string cause = "cause=" + std::string(name_of(failure_case.cause)) + " ";
  EXPECT_EQ(log.count({"request.failed", std::string("id=") + id, cause,
                       "held_ms=", "session_age_ms=", "configuration=1"}),
            1U)
      << (log.lines.empty() ? "no line" : log.lines.back());
  EXPECT_EQ(log.count({"request.failed"}), 1U);
  if (reached) {
    EXPECT_EQ(log.count({"request.failed", "endpoint=i-1", "service=s"}), 1U) << log.lines.back();
  }
  // Also counted in the metrics.
  common::MetricsWriter out;
  env.edge->write_metrics(out);
  const std::string text = std::move(out).finish();
  const std::string family =
      closes_connection(failure_case.cause) ? "chutevane_closed_without_answer" : "chutevane_own_answers";
  const std::string sample =
      family + "_total{cause=\"" + std::string(name_of(failure_case.cause)) + "\"} 1\n";
  EXPECT_NE(text.find(sample), std::string::npos) << text;
}

INSTANTIATE_TEST_SUITE_P(Causes, FailureCauseTest, ::testing::ValuesIn(failure_cases()),
                         [](const auto& one) { return std::string(name_of(one.param.cause)); });

// Causes without a complete request, or that need a different environment.

TEST(FailureReporting, InvalidRequestsAreReported) {
  const CapturedLog log;
  TestEnvironment env(1, {}, {.header_ms = 150});
  const auto malformed = env.client(), slow = env.client(), without_id = env.client();
  malformed->send("no request\r\n\r\n");
  slow->send("GET /once/x HT");
  without_id->send(request_text("", request_of(RouteKind::turn)));
  ASSERT_TRUE(env.wait_for_responses(*malformed) && env.wait_for_responses(*slow) &&
              env.wait_for_responses(*without_id));
  for (const FailureCause cause :
       {FailureCause::malformed_request, FailureCause::slow_request, FailureCause::missing_attempt_id}) {
    EXPECT_EQ(env.edge->failures().count_of(cause), 1U) << name_of(cause);
    EXPECT_EQ(log.count({"id=none", "cause=" + std::string(name_of(cause))}), 1U) << name_of(cause);
  }
}

TEST(FailureReporting, MissingConfigurationIsReported) {
  const CapturedLog log;
  TestEnvironment env(1, {}, {}, TestEnvironment::Configured::no);
  EXPECT_EQ(env.send_request(id, request_of(RouteKind::idempotent)).status, 503);
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::no_configuration), 1U);
  EXPECT_EQ(log.count({"cause=no_configuration", "configuration=0"}), 1U);
}

TEST(FailureReporting, LostControlSessionIsReported) {
  const CapturedLog log;
  TestEnvironment env(1);
  env.control.reset();
  env.loop.run_for(Span::ms(1900));
  EXPECT_EQ(env.send_request(id, request_without_route()).status, 503);
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::route_uncertain), 1U);
  EXPECT_EQ(log.count({"cause=route_uncertain", "sessions=0"}), 1U);
}

TEST(FailureReporting, StalledClientIsReported) {
  const CapturedLog log;
  TestEnvironment env(1, {}, {.idle_ms = 300});
  const std::string large(16U << 20U, 'x');
  env.script.on_request = [&](ScriptedConnection& c, const ReceivedRequest& request) {
    c.send(response_text(200, request.attempt_id, large, "X-Chutevane-Server-Seal: s\r\n"));
  };
  const auto client = env.client();
  client->stop_reading();
  client->send(request_text(id, request_of(RouteKind::idempotent)));
  EXPECT_TRUE(
      env.loop.until([&] { return env.edge->failures().count_of(FailureCause::client_stalled) == 1; }));
  EXPECT_EQ(log.count({"cause=client_stalled"}), 1U);
}

// The rate limit holds for any number of failures, and omitted lines are counted.
TEST(FailureReporting, LogLinesAreRateLimited) {
  const CapturedLog log;
  TestEnvironment env(1);
  const auto client = env.client();
  for (std::size_t i = 0; i < 200; ++i) client->send(request_text(numbered("a", i), request_without_route()));
  ASSERT_TRUE(env.wait_for_responses(*client, 200));
  EXPECT_EQ(env.edge->failures().count_of(FailureCause::no_route), 200U);
  EXPECT_LE(log.count({"request.failed"}), 60U);
  EXPECT_GE(log.count({"request.failed"}), 20U);
  const std::string long_name(4000, 'n');
  env.loop.run_for(Span::ms(1100));
  env.send_request("last", request_without_route("Session: " + long_name + "\r\n"));
  EXPECT_EQ(log.count({"id=last", "left_out="}), 1U);
  for (const std::string& line : log.lines) EXPECT_LE(line.size(), 700U);
}

TEST(FailureReporting, SuccessfulRequestsAreNotLogged) {
  const CapturedLog log;
  TestEnvironment env(2);
  for (const RouteKind kind : all_kinds) {
    ASSERT_TRUE(env.prepare_previous_turn(kind));
    env.respond_normally(kind);
    EXPECT_EQ(env.send_request("good" + name_of(kind), request_of(kind)).status, 200);
  }
  EXPECT_EQ(log.count({"request.failed"}), 0U);
  for (std::size_t i = 0; i < failure_cause_count; ++i)
    EXPECT_EQ(env.edge->failures().count_of(static_cast<FailureCause>(i)), 0U)
        << name_of(static_cast<FailureCause>(i));
}

}  // namespace
}  // namespace chutevane::edge::harness
