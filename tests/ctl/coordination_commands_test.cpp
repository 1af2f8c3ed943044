// Locks, numbers and groups as operators see them, of one sidecar and of all.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "ctl/run.hpp"
#include "json/value.hpp"
#include "scripted_control.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
long lines(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }

constexpr const char* newest =
    R"({"node":"core-1","epoch":4,"number":812,"acceptors":[{"address":"10.0.0.1:7380","disk":"d"}],)"
    R"("proposer":"10.0.0.1:7380","available":true,"queue":2,"watchers":5,"stateBytes":77,)"
    R"("lockCount":2,"locks":[{"name":"l1f","holder":"a3.7","fence":41,"holdMs":3000},)"
    R"({"name":"l2","holder":"","fence":3,"holdMs":500}],)"
    R"("groupCount":201,"groups":[{"name":"g1.","revision":931,"keys":12,"history":60}],)"
    R"("numberCount":1,"numbers":[{"name":"n2","value":5120}]})";
constexpr const char* behind =
    R"({"node":"core-2","epoch":4,"number":809,"acceptors":[],"proposer":"10.0.0.1:7380","available":false,)"
    R"("queue":0,"watchers":1,"stateBytes":70,"lockCount":1,"locks":[{"name":"old","holder":"b","fence":1,)"
    R"("holdMs":1}],"groupCount":0,"groups":[],"numberCount":0,"numbers":[]})";

}  // namespace

TEST_GROUP(coordination) {
  ScriptedRun program;
  const std::string a = "a:1", b = "b:1";
};

TEST(coordination, one_sidecar_for_people) {
  program.transport.add_response(a, 200, newest);
  LONGS_EQUAL(0, program.run({"coordination"}));
  STRCMP_EQUAL("/v1/Coordination.Retrieve", program.transport.sent[0].request.target.c_str());
  STRCMP_EQUAL("GET", program.transport.sent[0].request.method.c_str());
  LONGS_EQUAL(1, program.transport.sent.size());
  for (const std::string part :
       {"core-1", "available  yes", "number     812", "77 bytes", "10.0.0.1:7380  d",
        "l1f   a3.7    41     3000", "l2    -       3      500", "g1.    931       12    60", "n2      5120"})
    CHECK_TRUE_TEXT(has(program.out.str(), part), (part + " in\n" + program.out.str()).c_str());
}

TEST(coordination, a_list_that_is_cut_is_said_to_be) {
  program.transport.add_response(a, 200, newest);
  LONGS_EQUAL(0, program.run({"coordination"}));
  CHECK(has(program.out.str(), "1 of 201 groups are shown\n"));
  CHECK(!has(program.out.str(), "locks are shown"));
  CHECK(!has(program.out.str(), "numbers are shown"));
}

TEST(coordination, one_sidecar_as_json) {
  program.transport.add_response(a, 200, newest);
  LONGS_EQUAL(0, program.run({"coordination", "--json"}));
  LONGS_EQUAL(1, lines(program.out.str()));
  STRCMP_EQUAL("812", json::parse(program.out.str()).find("number")->text.c_str());
}

TEST(coordination, all_are_asked_once_and_compared) {
  program.transport.add_response(a, 200, behind);
  program.transport.add_response(b, 200, newest);
  LONGS_EQUAL(0, program.run({"coordination", "--all"}));
  LONGS_EQUAL(2, program.transport.sent.size());
  const std::string out = program.out.str();
  for (const std::string part : {"core-2  a:1      no         10.0.0.1:7380  4      809     3       0      1",
                                 "core-1  b:1      yes        10.0.0.1:7380  4      812     0       2      5",
                                 "l1f   a3.7    41     3000"})
    CHECK_TRUE_TEXT(has(out, part), (part + " in\n" + out).c_str());
  CHECK_TRUE_TEXT(!has(out, "old"), "names are those of the newest alone");
}

TEST(coordination, all_as_json) {
  program.transport.add_response(a, 200, behind);
  program.transport.add_response(b, 200, newest);
  LONGS_EQUAL(0, program.run({"coordination", "--all", "--json"}));
  LONGS_EQUAL(1, lines(program.out.str()));
  const json::Value out = json::parse(program.out.str());
  LONGS_EQUAL(2, out.find("sidecars")->items.size());
  STRCMP_EQUAL("3", out.find("sidecars")->items[0].find("behind")->text.c_str());
  STRCMP_EQUAL("a:1", out.find("sidecars")->items[0].find("control")->text.c_str());
  STRCMP_EQUAL("core-1", out.find("sidecars")->items[1].find("status")->find("node")->text.c_str());
  STRCMP_EQUAL("0", out.find("notReached")->text.c_str());
}

TEST(coordination, one_that_is_silent_makes_it_unclear) {
  program.transport.add_failure(a, true);
  program.transport.add_response(b, 200, newest);
  LONGS_EQUAL(3, program.run({"coordination", "--all"}));
  CHECK(has(program.err.str(), "a:1: no connection"));
  CHECK(has(program.out.str(), "core-1"));
}

TEST(coordination, answers_that_cannot_be_used_are_told) {
  program.transport.add_response(a, 404, R"({"cause":"no such call"})");
  program.transport.add_response(b, 200, "<html>");
  LONGS_EQUAL(3, program.run({"coordination", "--all"}));
  CHECK(has(program.err.str(), "a:1: answered 404"));
  CHECK(has(program.err.str(), "b:1: its answer is no JSON"));
  STRCMP_EQUAL("", program.out.str().c_str());
}

TEST(coordination, nobody_reached_is_3) {
  LONGS_EQUAL(3, program.run({"coordination"}));
  STRCMP_EQUAL("", program.out.str().c_str());
  LONGS_EQUAL(3, program.run({"coordination", "--all"}));
  STRCMP_EQUAL("", program.out.str().c_str());
}

TEST(coordination, other_commands_take_no_all) {
  LONGS_EQUAL(2, program.run({"status", "--all"}));
  CHECK(has(program.err.str(), "status: takes no --all"));
  LONGS_EQUAL(0, program.transport.sent.size());
}

TEST(coordination, names_from_elsewhere_do_not_move_the_cursor) {
  program.transport.add_response(a, 200,
                                 R"({"node":"x","locks":[{"name":"\u001b[2Jx"}],"lockCount":"\u001b[2J"})");
  LONGS_EQUAL(0, program.run({"coordination"}));
  CHECK(!has(program.out.str(), "\x1b"));
}
