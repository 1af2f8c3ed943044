// Tests the parsing of HTTP requests of the coordination service: the findings name each field that is
// missing, malformed or out of bounds, and no other.
#include "control/coordination/coordination_request.hpp"

#include <string>
#include <variant>

#include "unit.hpp"

using chutevane::Span;
using chutevane::common::Findings;
namespace http = chutevane::http;
using namespace chutevane::control::coordination;

namespace {

struct ReadRequest {
  std::optional<CoordinationRequest> request;
  std::string places;  // of the findings, each followed by a semicolon
};

ReadRequest read(const std::string& method, const std::string& target, const std::string& body = "") {
  std::string bytes = method + " " + target +
                      " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                      body;
  http::Parser parser(http::Side::request);
  CHECK_WHERE(parser.feed({bytes.data(), bytes.size()}) == http::Progress::complete, target);
  Findings findings;
  ReadRequest out;
  out.request = read_coordination_request(parser, findings);
  for (const auto& finding : findings.list()) out.places += finding.place + ";";
  return out;
}

Call good_call(const std::string& method, const std::string& target, const std::string& body = "") {
  const ReadRequest result = read(method, target, body);
  STRCMP_EQUAL("", result.places.c_str());
  CHECK_WHERE(result.request && std::holds_alternative<Call>(*result.request), target);
  return std::get<Call>(*result.request);
}

WatchRequest good_watch(const std::string& target) {
  const ReadRequest result = read("GET", target);
  STRCMP_EQUAL("", result.places.c_str());
  CHECK_WHERE(result.request && std::holds_alternative<WatchRequest>(*result.request), target);
  return std::get<WatchRequest>(*result.request);
}

void check_findings(const char* places, const std::string& method, const std::string& target,
                    const std::string& body = "") {
  const ReadRequest result = read(method, target, body);
  CHECK_WHERE(!result.request, target + " " + body.substr(0, 200));
  STRCMP_EQUAL_TEXT(places, result.places.c_str(), (target + " " + body.substr(0, 200)).c_str());
}

constexpr const char* initiate = "/v1/Locks.Initiate/l";
constexpr const char* heartbeat = "/v1/Locks.Heartbeat/l";
constexpr const char* terminate_lock = "/v1/Locks.Terminate/l";
constexpr const char* replace = "/v1/Cells.Replace/g.a";

}  // namespace

TEST_GROUP(CoordinationRequest){};

TEST(CoordinationRequest, TargetsOfTheService) {
  for (const char* const target :
       {"/v1/Locks.Initiate/l", "/v1/Locks.Heartbeat/l", "/v1/Locks.Terminate/l", "/v1/numbers/n",
        "/v1/Cells.Replace/g.a", "/v1/Cells.Retrieve/g.a", "/v1/watch/g.", "/v1/numbers/"})
    CHECK_WHERE(is_coordination_target(target), target);
  for (const char* const target : {"/", "/v1/", "/v1/numbers", "/v1/Locks.Other/l", "/v2/numbers/n", ""})
    CHECK_WHERE(!is_coordination_target(target), target);
}

TEST(CoordinationRequest, LockCalls) {
  Call call = good_call("POST", initiate, R"({"holder":"a3.7","holdMs":3000})");
  CHECK_TRUE(call.operation == Operation::acquire_lock);
  STRCMP_EQUAL("l", call.name.c_str());
  STRCMP_EQUAL("a3.7", call.holder.c_str());
  CHECK_TRUE(call.hold == Span::ms(3000));
  call = good_call("POST", heartbeat, R"({"holder":"a","fence":41,"holdMs":1})");
  CHECK_TRUE(call.operation == Operation::renew_lock);
  CHECK_EQUAL(41, call.fence);
  CHECK_TRUE(call.hold == Span::ms(1));
  call = good_call("POST", terminate_lock, R"({"holder":"a","fence":41})");
  CHECK_TRUE(call.operation == Operation::release_lock);
  CHECK_EQUAL(41, call.fence);
}

TEST(CoordinationRequest, NumberCallNeedsNoBody) {
  for (const char* const body : {"{}", "", "no JSON"}) {
    const Call call = good_call("POST", "/v1/numbers/n2", body);
    CHECK_TRUE(call.operation == Operation::next_number);
    STRCMP_EQUAL("n2", call.name.c_str());
  }
}

TEST(CoordinationRequest, KeyCalls) {
  Call call = good_call("POST", replace, R"({"value":"v","appliesTo":907})");
  CHECK_TRUE(call.operation == Operation::put_key);
  STRCMP_EQUAL("g.a", call.name.c_str());
  STRCMP_EQUAL("v", call.value.c_str());
  CHECK_EQUAL(907, call.applies_to);
  CHECK_EQUAL(0, good_call("POST", replace, R"({"value":"v","appliesTo":0})").applies_to);
  CHECK_EQUAL(any_revision, good_call("POST", replace, R"({"value":"v"})").applies_to);
  CHECK_EQUAL(any_revision, good_call("POST", replace, R"({"value":"v","appliesTo":null})").applies_to);
  call = good_call("GET", "/v1/Cells.Retrieve/g.a");
  CHECK_TRUE(call.operation == Operation::get_key);
  STRCMP_EQUAL("g.a", call.name.c_str());
}

TEST(CoordinationRequest, Watch) {
  WatchRequest watch = good_watch("/v1/watch/g1.?after=930&waitMs=2000");
  STRCMP_EQUAL("g1.", watch.group.c_str());
  CHECK_EQUAL(930, watch.after);
  CHECK_TRUE(watch.wait == Span::ms(2000));
  watch = good_watch("/v1/watch/g1.?waitMs=0&other=1&&after=0");
  CHECK_EQUAL(0, watch.after);
  CHECK_TRUE(watch.wait == Span());
}

TEST(CoordinationRequest, OtherMethodsDoNotExist) {
  check_findings("", "GET", initiate);
  check_findings("", "PUT", replace, R"({"value":"v"})");
  check_findings("", "POST", "/v1/Cells.Retrieve/g.a");
  check_findings("", "POST", "/v1/watch/g.?after=0&waitMs=0");
  check_findings("", "GET", "/v1/other");
}

TEST(CoordinationRequest, BodyThatIsNotAnObject) {
  for (const char* const body : {"", "[]", "1", "{", R"({"holder":"a","holdMs":3000}x)", "\"a\""}) {
    check_findings("body;", "POST", initiate, body);
    check_findings("body;", "POST", replace, body);
  }
}

TEST(CoordinationRequest, EachMissingFieldIsNamed) {
  check_findings("holder;holdMs;", "POST", initiate, "{}");
  check_findings("holder;fence;holdMs;", "POST", heartbeat, "{}");
  check_findings("holder;fence;", "POST", terminate_lock, "{}");
  check_findings("value;", "POST", replace, "{}");
  check_findings("after;waitMs;", "GET", "/v1/watch/g.");
  check_findings("after;", "GET", "/v1/watch/g.?waitMs=1");
  check_findings("waitMs;", "GET", "/v1/watch/g.?after=1");
}

TEST(CoordinationRequest, TextsOfTheWrongTypeOrLength) {
  for (const char* const holder : {"1", "null", "[]", "\"\""})
    check_findings("holder;", "POST", initiate, std::string(R"({"holdMs":1,"holder":)") + holder + "}");
  const auto with_holder = [](std::size_t size) {
    return R"({"holdMs":1,"holder":")" + std::string(size, 'h') + "\"}";
  };
  CHECK_EQUAL(256U, good_call("POST", initiate, with_holder(256)).holder.size());
  check_findings("holder;", "POST", initiate, with_holder(257));
  const auto with_value = [](std::size_t size) { return R"({"value":")" + std::string(size, 'v') + "\"}"; };
  CHECK_EQUAL(4096U, good_call("POST", replace, with_value(4096)).value.size());
  check_findings("value;", "POST", replace, with_value(4097));
  check_findings("value;", "POST", replace, with_value(0));
}

TEST(CoordinationRequest, NumbersOutOfBounds) {
  const auto with = [](const char* key, const std::string& number) {
    return std::string("{\"") + key + "\":" + number + R"(,"holder":"a","value":"v"})";
  };
  for (const char* const number : {"0", "-1", "3600001", "1.5", "1e30", "\"1\"", "true", "null"})
    check_findings("holdMs;", "POST", initiate, with("holdMs", number));
  CHECK_TRUE(good_call("POST", initiate, with("holdMs", "3600000")).hold == Span::ms(3'600'000));
  CHECK_TRUE(good_call("POST", initiate, with("holdMs", "2.0")).hold == Span::ms(2));
  for (const char* const number : {"-1", "9007199254740994", "1e300", "0.5", "{}"}) {
    check_findings("fence;", "POST", terminate_lock, with("fence", number));
    check_findings("appliesTo;", "POST", replace, with("appliesTo", number));
  }
  CHECK_EQUAL(std::int64_t{1} << 53U,
              good_call("POST", terminate_lock, with("fence", "9007199254740992")).fence);
}

TEST(CoordinationRequest, QueryNumbersOutOfBounds) {
  for (const char* const number : {"", "-1", "x", "1x", "nan", "inf", "1e300", "9007199254740994", "+1"})
    check_findings("after;", "GET", std::string("/v1/watch/g.?waitMs=1&after=") + number);
  check_findings("waitMs;", "GET", "/v1/watch/g.?after=1&waitMs=60001");
  CHECK_TRUE(good_watch("/v1/watch/g.?after=1&waitMs=60000").wait == Span::ms(60'000));
}

TEST(CoordinationRequest, Names) {
  const std::string body = R"({"holder":"a","holdMs":1})";
  check_findings("name;", "POST", "/v1/Locks.Initiate/", body);
  check_findings("name;", "POST", "/v1/Locks.Initiate/a/b", body);
  const std::string longest(256, 'l');
  STRCMP_EQUAL(longest.c_str(), good_call("POST", "/v1/Locks.Initiate/" + longest, body).name.c_str());
  check_findings("name;", "POST", "/v1/Locks.Initiate/" + longest + "l", body);
  STRCMP_EQUAL("l", good_call("POST", "/v1/Locks.Initiate/l?x=y", body).name.c_str());
}

TEST(CoordinationRequest, KeysAndGroupsHaveADot) {
  check_findings("name;", "POST", "/v1/Cells.Replace/a", R"({"value":"v"})");
  check_findings("name;", "GET", "/v1/Cells.Retrieve/.a");
  check_findings("name;", "GET", "/v1/watch/g?after=1&waitMs=1");
  check_findings("name;", "GET", "/v1/watch/g.a?after=1&waitMs=1");
  check_findings("name;", "GET", "/v1/watch/g.a.?after=1&waitMs=1");
  check_findings("name;", "GET", "/v1/watch/.?after=1&waitMs=1");
}
