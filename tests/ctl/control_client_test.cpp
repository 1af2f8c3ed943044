#include "ctl/control_client.hpp"

#include <CppUTest/TestHarness.h>

#include "scripted_control.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

TEST_GROUP(control_client) {
  ManualClock clock;
  ScriptedTransport transport{clock};
  const Request get{"GET", "/x"};
  ControlClient client_of(std::vector<std::string> addresses, double timeout_ms = 10000) {
    return {transport, clock, std::move(addresses), Span::ms(timeout_ms)};
  }
};

TEST(control_client, a_conclusive_response_ends_it) {
  transport.add_response("a:1", 200, "yes");
  ControlClient client = client_of({"a:1", "b:1"});
  const auto got = client.call(get);
  CHECK(got.ok());
  STRCMP_EQUAL("yes", got->response.body.c_str());
  STRCMP_EQUAL("a:1", got->from.c_str());
  LONGS_EQUAL(1, transport.sent.size());
  CHECK(!got->may_have_been_executed);
}

TEST(control_client, an_inconclusive_response_leads_to_the_next_address_unchanged) {
  for (const int status : {500, 502, 503, 504, 408, 429}) {
    ScriptedTransport fresh(clock);
    fresh.add_response("a:1", status);
    fresh.add_response("b:1", 200);
    ControlClient client(fresh, clock, {"a:1", "b:1"}, Span::ms(10000));
    const Request post{"POST", "/x", {{"X-Base", "5"}}, "bytes"};
    const auto got = client.call(post);
    CHECK(got.ok());
    STRCMP_EQUAL("b:1", got->from.c_str());
    CHECK(got->may_have_been_executed);
    LONGS_EQUAL(2, fresh.sent.size());
    for (const auto& sent : fresh.sent) {
      STRCMP_EQUAL("bytes", sent.request.body.c_str());
      STRCMP_EQUAL("POST", sent.request.method.c_str());
      STRCMP_EQUAL("5", sent.request.fields[0].second.c_str());
    }
  }
}

TEST(control_client, an_idle_timeout_and_a_broken_connection_are_retried_too) {
  transport.add_failure("b:1", false);
  transport.add_response("c:1", 200);
  ControlClient client = client_of({"a:1", "b:1", "c:1"});
  const auto got = client.call(get);
  CHECK(got.ok());
  LONGS_EQUAL(3, got->attempts);
  DOUBLES_EQUAL(1000, transport.sent[0].limits.idle.as_ms(), 0.1);
  DOUBLES_EQUAL(1050, (transport.sent[1].at - transport.sent[0].at).as_ms(), 0.1);
}

TEST(control_client, a_large_body_may_take_longer) {
  transport.add_response("a:1", 200);
  ControlClient client = client_of({"a:1"});
  CHECK(client.call({"POST", "/x", {}, std::string(4U << 20U, 'x')}).ok());
  DOUBLES_EQUAL(5000, transport.sent[0].limits.idle.as_ms(), 0.1);
}

TEST(control_client, what_was_not_sent_was_not_executed) {
  transport.add_failure("a:1", true);
  transport.add_response("b:1", 409);
  ControlClient client = client_of({"a:1", "b:1"});
  const auto got = client.call(get);
  CHECK(got.ok());
  CHECK(!got->may_have_been_executed);
}

TEST(control_client, final_rejections_end_at_once) {
  for (const int status : {400, 409, 412, 413, 422}) {
    ScriptedTransport fresh(clock);
    fresh.add_response("a:1", status);
    ControlClient client(fresh, clock, {"a:1", "b:1"}, Span::ms(10000));
    const auto got = client.call(get);
    CHECK(got.ok());
    LONGS_EQUAL(status, got->response.status);
    LONGS_EQUAL(1, fresh.sent.size());
  }
}

TEST(control_client, other_rejections_end_at_the_third) {
  transport.add_response("a:1", 404);
  transport.add_response("b:1", 404);
  transport.add_response("a:1", 404);
  ControlClient client = client_of({"a:1", "b:1"});
  const auto got = client.call(get);
  CHECK(got.ok());
  LONGS_EQUAL(404, got->response.status);
  LONGS_EQUAL(3, transport.sent.size());
}

TEST(control_client, redirects_are_followed_twice) {
  transport.add_response("a:1", 307, "", {{"Location", "http://b:2/p"}});
  transport.add_response("b:2", 307, "", {{"location", "/q"}});
  transport.add_response("b:2", 200, "there");
  ControlClient client = client_of({"a:1"});
  const auto got = client.call({"POST", "/x", {}, "body"});
  CHECK(got.ok());
  STRCMP_EQUAL("b:2", got->from.c_str());
  STRCMP_EQUAL("/p", transport.sent[1].request.target.c_str());
  STRCMP_EQUAL("/q", transport.sent[2].request.target.c_str());
  STRCMP_EQUAL("body", transport.sent[2].request.body.c_str());
  LONGS_EQUAL(1, got->attempts);
}

TEST(control_client, a_third_redirect_is_a_failure) {
  for (int i = 0; i < 3; ++i) transport.add_response("a:1", 307, "", {{"Location", "/again"}});
  transport.add_response("b:1", 200);
  ControlClient client = client_of({"a:1", "b:1"});
  const auto got = client.call(get);
  CHECK(got.ok());
  STRCMP_EQUAL("b:1", got->from.c_str());
  LONGS_EQUAL(4, transport.sent.size());
  STRCMP_EQUAL("/x", transport.sent[3].request.target.c_str());  // not where the redirect led
}

TEST(control_client, redirects_that_lead_nowhere) {
  for (const std::string location : {"https://b:2/", "//b:2/", "http://", "http://me@b:2/", ""})
    CHECK(!parse_location(location, "a:1").has_value());
  const auto redirect = parse_location("http://b", "a:1");
  CHECK(redirect.has_value());
  STRCMP_EQUAL("b:80", redirect->address.c_str());
  STRCMP_EQUAL("/", redirect->target.c_str());
}

TEST(control_client, retry_after_counts_for_its_sender) {
  transport.add_response("a:1", 503, "", {{"Retry-After", "2.5"}});
  transport.add_response("b:1", 503);
  transport.add_response("b:1", 200);
  ControlClient client = client_of({"a:1", "b:1"});
  CHECK(client.call(get).ok());
  LONGS_EQUAL(3, transport.sent.size());
  STRCMP_EQUAL("b:1", transport.sent[1].address.c_str());
  STRCMP_EQUAL("b:1", transport.sent[2].address.c_str());
}

TEST(control_client, a_single_address_is_retried_after_its_retry_after) {
  transport.add_response("a:1", 429, "", {{"retry-after", "2.5"}});
  transport.add_response("a:1", 200);
  ControlClient client = client_of({"a:1"});
  CHECK(client.call(get).ok());
  DOUBLES_EQUAL(2500, (transport.sent[1].at - transport.sent[0].at).as_ms(), 0.1);
}

TEST(control_client, a_retry_after_beyond_the_time_ends_it_at_once) {
  transport.add_response("a:1", 503, "", {{"Retry-After", "60"}});
  ControlClient client = client_of({"a:1"});
  const auto got = client.call(get);
  CHECK(!got.ok());
  STRCMP_EQUAL("a:1: answered 503 (1 try)", std::string(got.status().message()).c_str());
  LONGS_EQUAL(0, clock.sleeps.size());
}

TEST(control_client, a_retry_after_that_is_no_number_counts_as_none) {
  for (const std::string text : {"Wed, 21 Oct 2015 07:28:00 GMT", "nan", "-5", "", "1 s"}) {
    ScriptedTransport fresh(clock);
    fresh.add_response("a:1", 503, "", {{"Retry-After", text}});
    fresh.add_response("a:1", 200);
    ControlClient client(fresh, clock, {"a:1"}, Span::ms(10000));
    CHECK(client.call(get).ok());
    DOUBLES_EQUAL(50, (fresh.sent[1].at - fresh.sent[0].at).as_ms(), 0.1);
  }
}

TEST(control_client, backoff_grows_to_a_second) {
  for (int i = 0; i < 8; ++i) transport.add_response("a:1", 503);
  transport.add_response("a:1", 200);
  ControlClient client = client_of({"a:1"});
  CHECK(client.call(get).ok());
  const std::vector<double> expected = {50, 100, 200, 400, 800, 1000, 1000, 1000};
  LONGS_EQUAL(expected.size(), clock.sleeps.size());
  for (std::size_t i = 0; i < expected.size(); ++i) DOUBLES_EQUAL(expected[i], clock.sleeps[i].as_ms(), 0.1);
}

TEST(control_client, the_timeout_limits_all_of_it) {
  const TimePoint begin = clock.now();
  ControlClient client = client_of({"a:1", "b:1"}, 4200);
  const auto got = client.call(get);
  CHECK(!got.ok());
  CHECK(clock.now() - begin <= Span::ms(4200));
  for (const auto& sent : transport.sent) CHECK(sent.at + sent.limits.total <= begin + Span::ms(4200));
  LONGS_EQUAL(4, transport.sent.size());
  STRCMP_EQUAL("b:1", transport.sent[3].address.c_str());
}

TEST(control_client, a_call_may_have_a_closer_limit) {
  const TimePoint begin = clock.now();
  ControlClient client = client_of({"a:1"}, 60000);
  CHECK(!client.call(get, Span::ms(4000)).ok());
  CHECK(clock.now() - begin <= Span::ms(4000));
  CHECK(client.has_time_left());
}
