#include "ctl/caller.hpp"

#include <CppUTest/TestHarness.h>

#include "played.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

TEST_GROUP(caller) {
  PlayedClock clock;
  PlayedTransport transport{clock};
  const Ask get{"GET", "/x"};
  Caller caller_of(std::vector<std::string> addresses, double timeout_ms = 10000) {
    return {transport, clock, std::move(addresses), Span::ms(timeout_ms)};
  }
};

TEST(caller, a_clear_answer_ends_it) {
  transport.answers("a:1", 200, "yes");
  Caller caller = caller_of({"a:1", "b:1"});
  const auto got = caller.call(get);
  CHECK(got.ok());
  STRCMP_EQUAL("yes", got->answer.body.c_str());
  STRCMP_EQUAL("a:1", got->from.c_str());
  LONGS_EQUAL(1, transport.asked.size());
  CHECK(!got->doubt);
}

TEST(caller, what_is_not_clear_goes_to_the_next_unchanged) {
  for (const int status : {500, 502, 503, 504, 408, 429}) {
    PlayedTransport fresh(clock);
    fresh.answers("a:1", status);
    fresh.answers("b:1", 200);
    Caller caller(fresh, clock, {"a:1", "b:1"}, Span::ms(10000));
    const Ask post{"POST", "/x", {{"X-Base", "5"}}, "bytes"};
    const auto got = caller.call(post);
    CHECK(got.ok());
    STRCMP_EQUAL("b:1", got->from.c_str());
    CHECK(got->doubt);
    LONGS_EQUAL(2, fresh.asked.size());
    for (const auto& asked : fresh.asked) {
      STRCMP_EQUAL("bytes", asked.ask.body.c_str());
      STRCMP_EQUAL("POST", asked.ask.method.c_str());
      STRCMP_EQUAL("5", asked.ask.fields[0].second.c_str());
    }
  }
}

TEST(caller, a_second_of_silence_and_a_broken_connection_go_on_too) {
  transport.breaks("b:1", false);
  transport.answers("c:1", 200);
  Caller caller = caller_of({"a:1", "b:1", "c:1"});
  const auto got = caller.call(get);
  CHECK(got.ok());
  LONGS_EQUAL(3, got->tries);
  DOUBLES_EQUAL(1000, transport.asked[0].silence.as_ms(), 0.1);
  DOUBLES_EQUAL(1050, (transport.asked[1].at - transport.asked[0].at).as_ms(), 0.1);
}

TEST(caller, a_large_body_may_take_longer) {
  transport.answers("a:1", 200);
  Caller caller = caller_of({"a:1"});
  CHECK(caller.call({"POST", "/x", {}, std::string(4U << 20U, 'x')}).ok());
  DOUBLES_EQUAL(5000, transport.asked[0].silence.as_ms(), 0.1);
}

TEST(caller, a_connection_that_never_came_up_leaves_no_doubt) {
  transport.breaks("a:1", true);
  transport.answers("b:1", 409);
  Caller caller = caller_of({"a:1", "b:1"});
  const auto got = caller.call(get);
  CHECK(got.ok());
  CHECK(!got->doubt);
}

TEST(caller, final_refusals_end_at_once) {
  for (const int status : {400, 409, 412, 413, 422}) {
    PlayedTransport fresh(clock);
    fresh.answers("a:1", status);
    Caller caller(fresh, clock, {"a:1", "b:1"}, Span::ms(10000));
    const auto got = caller.call(get);
    CHECK(got.ok());
    LONGS_EQUAL(status, got->answer.status);
    LONGS_EQUAL(1, fresh.asked.size());
  }
}

TEST(caller, other_refusals_end_at_the_third) {
  transport.answers("a:1", 404);
  transport.answers("b:1", 404);
  transport.answers("a:1", 404);
  Caller caller = caller_of({"a:1", "b:1"});
  const auto got = caller.call(get);
  CHECK(got.ok());
  LONGS_EQUAL(404, got->answer.status);
  LONGS_EQUAL(3, transport.asked.size());
}

TEST(caller, redirects_are_followed_twice) {
  transport.answers("a:1", 307, "", {{"Location", "http://b:2/p"}});
  transport.answers("b:2", 307, "", {{"location", "/q"}});
  transport.answers("b:2", 200, "there");
  Caller caller = caller_of({"a:1"});
  const auto got = caller.call({"POST", "/x", {}, "body"});
  CHECK(got.ok());
  STRCMP_EQUAL("b:2", got->from.c_str());
  STRCMP_EQUAL("/p", transport.asked[1].ask.target.c_str());
  STRCMP_EQUAL("/q", transport.asked[2].ask.target.c_str());
  STRCMP_EQUAL("body", transport.asked[2].ask.body.c_str());
  LONGS_EQUAL(1, got->tries);
}

TEST(caller, a_third_redirect_is_a_failure) {
  for (int i = 0; i < 3; ++i) transport.answers("a:1", 307, "", {{"Location", "/again"}});
  transport.answers("b:1", 200);
  Caller caller = caller_of({"a:1", "b:1"});
  const auto got = caller.call(get);
  CHECK(got.ok());
  STRCMP_EQUAL("b:1", got->from.c_str());
  LONGS_EQUAL(4, transport.asked.size());
  STRCMP_EQUAL("/x", transport.asked[3].ask.target.c_str());  // not where the redirect led
}

TEST(caller, redirects_that_lead_nowhere) {
  std::string address = "a:1", target;
  CHECK(!read_location("https://b:2/", address, target));
  CHECK(!read_location("//b:2/", address, target));
  CHECK(!read_location("http://", address, target));
  CHECK(!read_location("http://me@b:2/", address, target));
  CHECK(!read_location("", address, target));
  CHECK(read_location("http://b", address, target));
  STRCMP_EQUAL("b:80", address.c_str());
  STRCMP_EQUAL("/", target.c_str());
}

TEST(caller, retry_after_binds_the_one_that_said_it) {
  transport.answers("a:1", 503, "", {{"Retry-After", "2.5"}});
  transport.answers("b:1", 503);
  transport.answers("b:1", 200);
  Caller caller = caller_of({"a:1", "b:1"});
  CHECK(caller.call(get).ok());
  LONGS_EQUAL(3, transport.asked.size());
  STRCMP_EQUAL("b:1", transport.asked[1].address.c_str());
  STRCMP_EQUAL("b:1", transport.asked[2].address.c_str());
}

TEST(caller, a_lone_one_is_asked_again_once_it_said_so) {
  transport.answers("a:1", 429, "", {{"retry-after", "2.5"}});
  transport.answers("a:1", 200);
  Caller caller = caller_of({"a:1"});
  CHECK(caller.call(get).ok());
  DOUBLES_EQUAL(2500, (transport.asked[1].at - transport.asked[0].at).as_ms(), 0.1);
}

TEST(caller, a_retry_after_beyond_the_time_ends_it_at_once) {
  transport.answers("a:1", 503, "", {{"Retry-After", "60"}});
  Caller caller = caller_of({"a:1"});
  const auto got = caller.call(get);
  CHECK(!got.ok());
  STRCMP_EQUAL("a:1: answered 503 (1 try)", std::string(got.status().message()).c_str());
  LONGS_EQUAL(0, clock.pauses.size());
}

TEST(caller, a_retry_after_that_is_no_number_counts_as_none) {
  for (const std::string text : {"Wed, 21 Oct 2015 07:28:00 GMT", "nan", "-5", "", "1 s"}) {
    PlayedTransport fresh(clock);
    fresh.answers("a:1", 503, "", {{"Retry-After", text}});
    fresh.answers("a:1", 200);
    Caller caller(fresh, clock, {"a:1"}, Span::ms(10000));
    CHECK(caller.call(get).ok());
    DOUBLES_EQUAL(50, (fresh.asked[1].at - fresh.asked[0].at).as_ms(), 0.1);
  }
}

TEST(caller, pauses_grow_to_a_second) {
  for (int i = 0; i < 8; ++i) transport.answers("a:1", 503);
  transport.answers("a:1", 200);
  Caller caller = caller_of({"a:1"});
  CHECK(caller.call(get).ok());
  const std::vector<double> expected = {50, 100, 200, 400, 800, 1000, 1000, 1000};
  LONGS_EQUAL(expected.size(), clock.pauses.size());
  for (std::size_t i = 0; i < expected.size(); ++i) DOUBLES_EQUAL(expected[i], clock.pauses[i].as_ms(), 0.1);
}

TEST(caller, the_time_bounds_all_of_it) {
  const TimePoint begin = clock.now();
  Caller caller = caller_of({"a:1", "b:1"}, 4200);
  const auto got = caller.call(get);
  CHECK(!got.ok());
  CHECK(clock.now() - begin <= Span::ms(4200));
  for (const auto& asked : transport.asked) CHECK(asked.at + asked.most <= begin + Span::ms(4200));
  LONGS_EQUAL(4, transport.asked.size());
  STRCMP_EQUAL("b:1", transport.asked[3].address.c_str());
}

TEST(caller, an_order_may_be_bounded_more_closely) {
  const TimePoint begin = clock.now();
  Caller caller = caller_of({"a:1"}, 60000);
  CHECK(!caller.call(get, Span::ms(4000)).ok());
  CHECK(clock.now() - begin <= Span::ms(4000));
  CHECK(caller.time_left());
}
