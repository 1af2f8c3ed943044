// Tests the responses to calls: statuses 409, 412, 429 and 503 are used only for outcomes without an effect.
#include "control/coordination/coordination_api.hpp"

#include <algorithm>
#include <string>

#include "unit.hpp"

using chutevane::common::HttpResponse;
using namespace chutevane::control::coordination;

namespace {

void check_response(int status, const char* body, const HttpResponse& response) {
  CHECK_EQUAL(status, response.status);
  STRCMP_EQUAL(body, response.body.c_str());
}

bool has_retry_after(const HttpResponse& response) {
  return std::any_of(response.fields.begin(), response.fields.end(),
                     [](const auto& field) { return field.first == "Retry-After"; });
}

}  // namespace

TEST_GROUP(CoordinationResponse){};

TEST(CoordinationResponse, OfSuccessfulCalls) {
  const auto done = [](Operation operation) { return response_to(operation, {Outcome::done, 41, "v\"1"}); };
  check_response(200, R"({"fence":41})", done(Operation::acquire_lock));
  check_response(200, "{}", done(Operation::renew_lock));
  check_response(200, "{}", done(Operation::release_lock));
  check_response(200, R"({"value":41})", done(Operation::next_number));
  check_response(200, R"({"revision":41})", done(Operation::put_key));
  check_response(200, R"({"value":"v\"1","revision":41})", done(Operation::get_key));
}

TEST(CoordinationResponse, OfCallsWithoutEffect) {
  CHECK_EQUAL(409, response_to(Operation::acquire_lock, {Outcome::held_by_other, 0, ""}).status);
  CHECK_EQUAL(409, response_to(Operation::renew_lock, {Outcome::held_by_other, 0, ""}).status);
  check_response(412, R"({"revision":922})",
                 response_to(Operation::put_key, {Outcome::revision_mismatch, 922, ""}));
  CHECK_EQUAL(404, response_to(Operation::get_key, {Outcome::not_found, 0, ""}).status);
}

TEST(CoordinationResponse, OfRefusedCallsSaysWhenToRetry) {
  const HttpResponse full = response_to(Operation::next_number, {Outcome::limit_reached, 0, ""});
  CHECK_EQUAL(429, full.status);
  CHECK_TRUE(has_retry_after(full));
  for (const Outcome outcome : {Outcome::unavailable, Outcome::declined}) {
    const HttpResponse unavailable = response_to(Operation::next_number, {outcome, 0, ""});
    CHECK_EQUAL(503, unavailable.status);
    CHECK_TRUE(has_retry_after(unavailable));
  }
}

// A call that may have taken effect gets a status that makes no promise.
TEST(CoordinationResponse, OfUndeterminedCallsPromisesNothing) {
  for (const Operation operation :
       {Operation::acquire_lock, Operation::renew_lock, Operation::release_lock, Operation::next_number,
        Operation::put_key, Operation::get_key, Operation::get_group_revision})
    CHECK_EQUAL(504, response_to(operation, {}).status);
}
