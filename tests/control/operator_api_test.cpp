// Tests of the operators' API over a real register: the responses to submissions and to their retries.
#include "control/operator_api.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "common/configuration.hpp"
#include "simulated_control.hpp"
#include "unit.hpp"

namespace control = chutevane::control;
namespace common = chutevane::common;
using chutevane::Span;
using chutevane::control::configuration_history_limit;
using chutevane::control::ConfigurationSubmission;
using chutevane::control::evaluate;
using chutevane::control::SubmissionStatus;
using chutevane::simulated::AcceptorCluster;
using chutevane::simulated::configuration;
using chutevane::simulated::ControlProcess;
using common::RegisterValue;

namespace {

// Three acceptors and two controllers.
struct TwoControllers {
  explicit TwoControllers(std::size_t history_limit = configuration_history_limit)
      : cluster(3, 5), a(cluster, 1, history_limit), b(cluster, 2, history_limit) {
    a.reg.observe_epoch(cluster.first_epoch_of(3));
    b.reg.observe_epoch(cluster.first_epoch_of(3));
  }
  int replace(ControlProcess& at, std::int64_t base, const std::string& sent) {
    int status = 0;
    at.replace(base, sent, [&](const common::HttpResponse& answer) { status = answer.status; });
    cluster.clock.play(Span::ms(4000), [&] { return status != 0; });
    return status;
  }
  int call(ControlProcess& at, const std::string& method, const std::string& target) {
    int status = 0;
    at.call(method, target, "", "", [&](const common::HttpResponse& answer) {
      status = answer.status;
      body = answer.body;
    });
    cluster.clock.play(Span::ms(4000), [&] { return status != 0; });
    return status;
  }
  // Puts `n` storage nodes into the map.
  void storage_nodes(std::size_t n) {
    bool done = false;
    a.reg.change(
        [n](const RegisterValue& current) -> std::optional<RegisterValue> {
          RegisterValue out = current;
          ++out.map_version;
          out.storage_nodes.clear();
          for (std::size_t i = 0; i < n; ++i)
            out.storage_nodes.push_back(
                {numbered("s", static_cast<long long>(i)), "d", "", "z", false, false});
          return out;
        },
        Span::ms(1000), [&](const absl::StatusOr<RegisterValue>& got) { done = got.ok(); });
    cluster.clock.play(Span::ms(1000), [&] { return done; });
    CHECK_TRUE(done);
  }
  // Completes a retirement, as MembershipController does once all staying nodes are complete.
  void complete(const std::string& node) {
    bool done = false;
    a.reg.change(
        [node](const RegisterValue& current) -> std::optional<RegisterValue> {
          RegisterValue out = current;
          std::erase_if(out.storage_nodes, [&](const common::StorageNode& n) { return n.node == node; });
          for (common::RetiredNode& r : out.retired_nodes) r.completed = r.completed || r.node == node;
          return out;
        },
        Span::ms(1000), [&](const absl::StatusOr<RegisterValue>& got) { done = got.ok(); });
    cluster.clock.play(Span::ms(1000), [&] { return done; });
  }

  AcceptorCluster cluster;
  ControlProcess a, b;
  std::string body;
};

RegisterValue with_history(std::size_t count, std::int64_t step = 1) {
  RegisterValue out;
  for (std::size_t i = 1; i <= count; ++i) {
    const auto version = static_cast<std::int64_t>(i) * step;
    out.applied_configurations.push_back({version, version * 7});
    out.config_version = version;
  }
  return out;
}

ConfigurationSubmission submission(std::int64_t base, std::int64_t version, std::int64_t hash) {
  return {base, version, hash, ""};
}

}  // namespace

TEST_GROUP(SubmissionEvaluation){};

TEST(SubmissionEvaluation, ApplicableOnItsBase) {
  CHECK_TRUE(evaluate(RegisterValue(), submission(0, 3, 9)) == SubmissionStatus::applicable);
  CHECK_TRUE(evaluate(with_history(4), submission(4, 5, 9)) == SubmissionStatus::applicable);
}

TEST(SubmissionEvaluation, RetryHasTheSameBaseVersionAndBytes) {
  const RegisterValue value = with_history(5, 2);  // 2, 4, 6, 8, 10
  CHECK_TRUE(evaluate(value, submission(0, 2, 14)) == SubmissionStatus::accepted);
  CHECK_TRUE(evaluate(value, submission(4, 6, 42)) == SubmissionStatus::accepted);
  CHECK_TRUE(evaluate(value, submission(8, 10, 70)) == SubmissionStatus::accepted);
  CHECK_TRUE(evaluate(value, submission(4, 6, 43)) ==
             SubmissionStatus::superseded);  // same version, another body
  CHECK_TRUE(evaluate(value, submission(2, 6, 42)) ==
             SubmissionStatus::superseded);  // same body, another base
  CHECK_TRUE(evaluate(value, submission(5, 6, 42)) == SubmissionStatus::superseded);
  CHECK_TRUE(evaluate(value, submission(4, 7, 42)) ==
             SubmissionStatus::superseded);  // a version that was skipped
}

TEST(SubmissionEvaluation, VersionNotAboveItsBaseIsAlwaysInvalid) {
  CHECK_TRUE(evaluate(RegisterValue(), submission(3, 3, 1)) == SubmissionStatus::not_above_base);
  CHECK_TRUE(evaluate(with_history(5), submission(5, 4, 28)) == SubmissionStatus::not_above_base);
  CHECK_TRUE(evaluate(with_history(5), submission(9, 8, 1)) == SubmissionStatus::not_above_base);
}

TEST(SubmissionEvaluation, BaseThatMayBecomeCurrentIsUndetermined) {
  CHECK_TRUE(evaluate(with_history(5), submission(6, 7, 1)) == SubmissionStatus::undetermined);
  CHECK_TRUE(evaluate(with_history(7), submission(6, 8, 1)) == SubmissionStatus::superseded);
}

// For each length of the history: submissions within its reach are decided, older ones are never rejected.
TEST(SubmissionEvaluation, OlderThanTheHistoryIsUndetermined) {
  for (std::size_t accepted = 1; accepted < 40; ++accepted) {
    RegisterValue value;
    for (std::size_t i = 1; i <= accepted; ++i) {
      const auto version = static_cast<std::int64_t>(i);
      value = control::apply_submission(value, submission(version - 1, version, version), 8);
    }
    CHECK_TRUE(value.applied_configurations.size() <= 8);
    for (std::size_t i = 1; i <= accepted; ++i) {
      const auto version = static_cast<std::int64_t>(i);
      const SubmissionStatus again = evaluate(value, submission(version - 1, version, version), 8);
      const bool reached = accepted < 8 || accepted - i < 7;
      const std::string where =
          numbered("accepted ", static_cast<long long>(accepted)) + numbered(", version ", version);
      CHECK_WHERE(again == (reached ? SubmissionStatus::accepted : SubmissionStatus::undetermined), where);
      const SubmissionStatus other = evaluate(value, submission(version - 1, version, -version), 8);
      CHECK_WHERE(other == (reached ? SubmissionStatus::superseded : SubmissionStatus::undetermined), where);
    }
  }
}

// The history is part of each value that acceptors store, so it must be below 64 KiB.
TEST(SubmissionEvaluation, FullHistoryIsSmall) {
  RegisterValue value;
  std::int64_t version = 0;
  for (std::size_t i = 0; i < configuration_history_limit + 100; ++i) {
    const std::int64_t base = version;
    version += 1 + static_cast<std::int64_t>(i % 3);
    const std::string body = numbered("body ", version);
    value = control::apply_submission(
        value, submission(base, version, static_cast<std::int64_t>(common::hash_of(body))));
  }
  CHECK_EQUAL(configuration_history_limit, value.applied_configurations.size());
  const std::size_t bytes = common::encoded(value).size();
  CHECK_WHERE(bytes < 64 * 1024, numbered("bytes: ", static_cast<long long>(bytes)));
}

TEST_GROUP(OperatorSubmissions) { TwoControllers pair; };

// A submission whose response was lost may be retried hundreds of changes later. A history of 64 entries, as
// in earlier versions, would be too short.
TEST(OperatorSubmissions, RetryIsRecognizedHundredsOfChangesLater) {
  for (std::int64_t version = 1; version <= 300; ++version)
    LONGS_EQUAL(200, pair.replace(pair.a, version - 1, configuration(version, "r")));
  for (const std::int64_t version : {1, 2, 100, 236, 299, 300})
    LONGS_EQUAL(200, pair.replace(pair.b, version - 1, configuration(version, "r")));
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(1, "other")));
}

TEST(OperatorSubmissions, RetryBeyondTheHistoryIsUndetermined) {
  TwoControllers small(16);
  for (std::int64_t version = 1; version <= 40; ++version)
    LONGS_EQUAL(200, small.replace(small.a, version - 1, configuration(version, "r")));
  LONGS_EQUAL(503, small.replace(small.b, 0, configuration(1, "r")));
  LONGS_EQUAL(503, small.replace(small.b, 23, configuration(24, "r")));
  LONGS_EQUAL(200, small.replace(small.b, 25, configuration(26, "r")));
}

TEST(OperatorSubmissions, SecondSubmissionOfTheSameVersionIsRejected) {
  LONGS_EQUAL(200, pair.replace(pair.a, 0, configuration(5, "first")));
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "second")));
  LONGS_EQUAL(412, pair.replace(pair.a, 0, configuration(5, "second")));
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "first")));
}

// Two operators that send the same bytes on the same base cannot be distinguished from one that retries.
TEST(OperatorSubmissions, EqualBytesAreARetryOnTheSameBaseOnly) {
  LONGS_EQUAL(200, pair.replace(pair.a, 0, configuration(5, "r")));
  LONGS_EQUAL(200, pair.replace(pair.b, 5, configuration(9, "r")));
  LONGS_EQUAL(200, pair.replace(pair.a, 5, configuration(9, "r")));
  LONGS_EQUAL(412, pair.replace(pair.a, 0, configuration(9, "r")));
}

TEST(OperatorSubmissions, VersionNotAboveItsBaseIsInvalid) {
  LONGS_EQUAL(200, pair.replace(pair.a, 0, configuration(5, "r")));
  LONGS_EQUAL(400, pair.replace(pair.a, 5, configuration(5, "other")));
  LONGS_EQUAL(400, pair.replace(pair.a, 5, configuration(4, "other")));
}

// A submission may overtake the one on which it is based.
TEST(OperatorSubmissions, SubmissionThatOvertookItsBaseIsAcceptedLater) {
  LONGS_EQUAL(503, pair.replace(pair.a, 5, configuration(6, "second")));
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "first")));
  LONGS_EQUAL(200, pair.replace(pair.a, 5, configuration(6, "second")));
}

// Of eight concurrent submissions through two controllers one is accepted, and each caller gets its own
// response.
TEST(OperatorSubmissions, EachOfEightConcurrentSubmissionsGetsAResponse) {
  std::vector<int> status(8, 0);
  for (std::size_t i = 0; i < 8; ++i) {
    ControlProcess& at = i % 2 == 0 ? pair.a : pair.b;
    at.replace(0, configuration(5, numbered("r", static_cast<long long>(i))),
               [&status, i](const common::HttpResponse& answer) { status[i] = answer.status; });
  }
  pair.cluster.clock.play(Span::ms(4000));
  CHECK_EQUAL(1, std::count(status.begin(), status.end(), 200));
  CHECK_EQUAL(7, std::count(status.begin(), status.end(), 412));
  const auto winner = std::find(status.begin(), status.end(), 200) - status.begin();
  LONGS_EQUAL(200, pair.call(pair.b, "GET", "/v1/Configuration.Retrieve"));
  STRCMP_EQUAL(configuration(5, numbered("r", winner)).c_str(), pair.body.c_str());
}

TEST_GROUP(PartiallyAcceptedSubmission) {
  TwoControllers pair;
  // Submits at a proposer that gets the promises, sends accept requests to `accepts` acceptors, and then
  // ends.
  void submit_partially(std::int64_t base, const std::string& body, std::size_t accepts) {
    pair.a.transport.sends_left = 3 + 3 + accepts;  // read, prepare, then accept requests
    bool answered = false;
    pair.a.replace(base, body, [&](const common::HttpResponse&) { answered = true; });
    pair.cluster.clock.play(Span::ms(1000));
    CHECK_TRUE(pair.a.transport.ended && !answered);
  }
  void down(std::size_t i) { pair.cluster.all[i].up = false; }
  std::size_t count_accepted(std::int64_t version) {
    return static_cast<std::size_t>(std::count_if(
        pair.cluster.all.begin(), pair.cluster.all.end(), [&](chutevane::simulated::Machine& m) {
          const common::Prepare request{1, {}, pair.cluster.first_epoch_of(3), true};
          return m.acceptor->prepare(request)->value.config_version == version;
        }));
  }
};

// One available acceptor has accepted it: a read that finds it there completes it, and the retry is
// acknowledged.
TEST(PartiallyAcceptedSubmission, ReadCompletesIt) {
  submit_partially(0, configuration(5, "r"), 1);
  CHECK_EQUAL(static_cast<std::size_t>(1), count_accepted(5));
  down(2);
  LONGS_EQUAL(200, pair.call(pair.b, "GET", "/v1/Configuration.Retrieve"));
  STRCMP_EQUAL(configuration(5, "r").c_str(), pair.body.c_str());
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "other")));
}

// One acceptor, which is down, has accepted it, and another submission is accepted on its base. The retry is
// rejected, and the first value must not be chosen when that acceptor is back.
TEST(PartiallyAcceptedSubmission, RejectedIsNeverChosenLater) {
  submit_partially(0, configuration(5, "r"), 1);
  CHECK_EQUAL(static_cast<std::size_t>(1), count_accepted(5));
  down(0);
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(6, "other")));
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "r")));
  pair.cluster.all[0].up = true;
  for (const std::size_t away : {1U, 2U}) {
    for (chutevane::simulated::Machine& m : pair.cluster.all) m.up = true;
    down(away);
    LONGS_EQUAL(200, pair.call(pair.b, "GET", "/v1/Configuration.Retrieve"));
    STRCMP_EQUAL(configuration(6, "other").c_str(), pair.body.c_str());
    LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "r")));
  }
}

// One acceptor, which is down, has accepted it. The retry is accepted, exactly once.
TEST(PartiallyAcceptedSubmission, RetryIsAcceptedInstead) {
  submit_partially(0, configuration(5, "r"), 1);
  down(0);
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
  pair.cluster.all[0].up = true;
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
  LONGS_EQUAL(200, pair.replace(pair.b, 5, configuration(6, "next")));
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
  CHECK_EQUAL(static_cast<std::size_t>(2), pair.b.reg.known_value()->applied_configurations.size());
}

// Chosen, but the proposer ended before it responded.
TEST(PartiallyAcceptedSubmission, ChosenWithoutAResponse) {
  submit_partially(0, configuration(5, "r"), 2);
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "other")));
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
}

// Without a majority the outcome is undetermined; it is decided once there is a majority.
TEST(PartiallyAcceptedSubmission, UndeterminedWithoutAMajority) {
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
  down(0);
  down(1);
  LONGS_EQUAL(503, pair.replace(pair.b, 0, configuration(5, "other")));
  LONGS_EQUAL(503, pair.replace(pair.b, 5, configuration(6, "r")));
  LONGS_EQUAL(503, pair.replace(pair.b, 0, configuration(5, "r")));
  pair.cluster.all[0].up = true;
  LONGS_EQUAL(412, pair.replace(pair.b, 0, configuration(5, "other")));
  LONGS_EQUAL(200, pair.replace(pair.b, 5, configuration(6, "r")));
  LONGS_EQUAL(200, pair.replace(pair.b, 0, configuration(5, "r")));
}

TEST_GROUP(RetirementRequests) {
  TwoControllers pair;
  int initiate(ControlProcess & at, const std::string& node) {
    return pair.call(at, "POST", "/v1/Retire.Initiate/" + node);
  }
  int retrieve(ControlProcess & at, const std::string& node) {
    return pair.call(at, "GET", "/v1/Retire.Retrieve/" + node);
  }
};

// An accepted request is never rejected later, even if too few nodes would be left for another one or the
// node is gone.
TEST(RetirementRequests, RetryIsAcknowledgedAtEachStep) {
  pair.storage_nodes(4);
  LONGS_EQUAL(200, initiate(pair.a, "s1"));
  LONGS_EQUAL(200, initiate(pair.b, "s1"));
  LONGS_EQUAL(409, initiate(pair.b, "s2"));
  LONGS_EQUAL(200, initiate(pair.a, "s1"));
  pair.complete("s1");
  LONGS_EQUAL(200, initiate(pair.b, "s1"));
  LONGS_EQUAL(200, retrieve(pair.b, "s1"));
  STRCMP_EQUAL("{\"state\":\"completed\"}", pair.body.c_str());
}

TEST(RetirementRequests, OneOfTwoConcurrentRequestsIsAccepted) {
  pair.storage_nodes(4);
  int first = 0, second = 0;
  pair.a.call("POST", "/v1/Retire.Initiate/s1", "", "",
              [&](const common::HttpResponse& answer) { first = answer.status; });
  pair.b.call("POST", "/v1/Retire.Initiate/s2", "", "",
              [&](const common::HttpResponse& answer) { second = answer.status; });
  pair.cluster.clock.play(Span::ms(4000));
  CHECK_TRUE((first == 200 && second == 409) || (first == 409 && second == 200));
}

// A controller that has just started knows no members, so it must not report a node as unknown.
TEST(RetirementRequests, UnknownNodeIsReportedOnlyIfAllMembersAreKnown) {
  pair.storage_nodes(4);
  LONGS_EQUAL(404, initiate(pair.a, "s9"));
  LONGS_EQUAL(404, retrieve(pair.a, "s9"));
  pair.a.all_members_known = false;
  LONGS_EQUAL(503, initiate(pair.a, "s9"));
  LONGS_EQUAL(503, retrieve(pair.a, "s9"));
  LONGS_EQUAL(200, retrieve(pair.a, "s1"));
  pair.a.all_members_known = true;
  common::Member newcomer;
  newcomer.node = "s9";
  newcomer.plane = "storage";
  pair.a.known_members.push_back(newcomer);
  LONGS_EQUAL(503, initiate(pair.a, "s9"));
  LONGS_EQUAL(503, retrieve(pair.a, "s9"));
}

// One acceptor has accepted the first attempt. The later requests decide, and their outcome is final.
TEST(RetirementRequests, RetryAfterAPartialAttempt) {
  pair.storage_nodes(4);
  pair.a.transport.sends_left = 3 + 3 + 1;
  pair.a.call("POST", "/v1/Retire.Initiate/s1", "", "", [](const common::HttpResponse&) {});
  pair.cluster.clock.play(Span::ms(1000));
  CHECK_TRUE(pair.a.transport.ended);
  pair.cluster.all[0].up = false;
  LONGS_EQUAL(200, initiate(pair.b, "s2"));
  LONGS_EQUAL(409, initiate(pair.b, "s1"));
  pair.cluster.all[0].up = true;
  LONGS_EQUAL(409, initiate(pair.b, "s1"));
  LONGS_EQUAL(200, initiate(pair.b, "s2"));
}
