#include "ctl/run.hpp"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

#include "common/configuration.hpp"
#include "json/value.hpp"
#include "scripted_control.hpp"

using namespace chutevane;
using namespace chutevane::ctl;

namespace {
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
long lines(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }
constexpr const char* base_field = "X-Chutevane-Base-Version";
constexpr const char* status_text =
    R"({"node":"core-1","freshMs":12,"number":9,"epoch":2,"configVersion":7,"map":3,)"
    R"("acceptors":[{"address":"10.0.0.1:7380","disk":"d"}],"storageNodes":[{"node":"s-1","zone":"z","leaving":true}],)"
    R"("duties":[{"name":"list","term":4}],"members":[{"node":"s-1","plane":"storage","zone":"z","number":8,"whole":3}],)"
    R"("endpoints":5})";
}  // namespace

TEST_GROUP(run) {
  ScriptedRun program;
  const std::string a = "a:1", b = "b:1";
};

TEST(run, wrong_use_is_2_and_one_line) {
  LONGS_EQUAL(2, program.run({"nonsense"}));
  STRCMP_EQUAL("chutevanectl: 'nonsense': no such command; --help lists them\n", program.err.str().c_str());
  STRCMP_EQUAL("", program.out.str().c_str());
  LONGS_EQUAL(2, program.run({"status"}, ""));
  LONGS_EQUAL(0, program.run({"--help"}, ""));
  for (const std::string code : {"  0  ", "  1  ", "  2  ", "  3  "}) CHECK(has(program.out.str(), code));
  LONGS_EQUAL(0, program.run({"--version"}, ""));
  LONGS_EQUAL(0, program.transport.sent.size());
}

TEST(run, nobody_reached_is_3) {
  for (const std::vector<std::string>& arguments : {std::vector<std::string>{"status"},
                                                    {"members"},
                                                    {"duties"},
                                                    {"config", "get"},
                                                    {"config", "history"},
                                                    {"retire", "state", "n"},
                                                    {"retire", "start", "n", "--deadline-s", "1"}}) {
    LONGS_EQUAL(3, program.run(arguments));
    CHECK(has(program.err.str(), ":1: silent"));
    STRCMP_EQUAL("", arguments[0] == "duties" ? "" : program.out.str().c_str());
  }
}

TEST(run, status_for_people_and_programs) {
  program.transport.add_response(a, 200, status_text);
  LONGS_EQUAL(0, program.run({"status"}));
  for (const std::string part : {"core-1", "12 ms", "10.0.0.1:7380  d", "s-1      z     yes", "list       4"})
    CHECK_TRUE_TEXT(has(program.out.str(), part), program.out.str().c_str());
  program.transport.add_response(a, 200, status_text);
  LONGS_EQUAL(0, program.run({"status", "--json"}));
  LONGS_EQUAL(1, lines(program.out.str()));
  STRCMP_EQUAL("9", json::parse(program.out.str()).find("number")->text.c_str());
  program.transport.add_response(a, 200, status_text);
  LONGS_EQUAL(0, program.run({"members", "--json"}));
  LONGS_EQUAL(1, json::parse(program.out.str()).find("members")->items.size());
}

TEST(run, an_answer_that_is_no_json_is_3) {
  program.transport.add_response(a, 200, "<html>");
  LONGS_EQUAL(3, program.run({"status"}));
  CHECK(has(program.err.str(), "a:1: its answer is no JSON"));
}

TEST(run, names_from_elsewhere_do_not_move_the_cursor) {
  program.transport.add_response(a, 200, "{\"node\":\"\\u001b[2Jx\"}");
  LONGS_EQUAL(0, program.run({"status"}));
  CHECK(!has(program.out.str(), "\x1b"));
}

TEST(run, duties_asks_each_once) {
  program.transport.add_response(a, 200, status_text);
  program.transport.add_response(b, 200, R"({"node":"core-2","duties":[{"name":"roster","term":6}]})");
  LONGS_EQUAL(0, program.run({"duties"}));
  CHECK(has(program.out.str(), "roster  6     core-2  b:1"));
  LONGS_EQUAL(2, program.transport.sent.size());
}

TEST(run, a_duty_that_none_holds_is_a_finding_and_unclear_where_one_is_silent) {
  program.transport.add_response(a, 200, status_text);
  program.transport.add_response(b, 200, R"({"node":"core-2","duties":[]})");
  LONGS_EQUAL(1, program.run({"duties"}));
  CHECK(has(program.err.str(), "duty roster: held by none that answered"));
  program.transport.add_response(a, 200, status_text);
  LONGS_EQUAL(3, program.run({"duties"}));
}

TEST(run, check_names_all_findings_offline) {
  const TemporaryFile file(
      R"({"version":1,"routes":[{"host":"h","pathPrefix":"x","routeType":"y","timeoutMs":0,"service":"s"}],"services":[]})");
  LONGS_EQUAL(1, program.run({"config", "check", file.path()}, ""));
  LONGS_EQUAL(4, lines(program.err.str()));
  CHECK(has(program.err.str(), "chutevanectl: " + file.path() + ": routes[0].timeoutMs: is 0\n"));
  LONGS_EQUAL(1, program.run({"config", "check", file.path(), "--json"}, ""));
  LONGS_EQUAL(4, json::parse(program.out.str()).find("findings")->items.size());
  LONGS_EQUAL(0, program.transport.sent.size());
}

TEST(run, check_of_a_good_one_and_of_none) {
  const TemporaryFile file(configuration_3);
  LONGS_EQUAL(0, program.run({"config", "check", file.path()}, ""));
  CHECK(has(program.out.str(),
            "version 3, 1 routes, 1 services, hash " + common::hash_text(common::hash_of(configuration_3))));
  LONGS_EQUAL(2, program.run({"config", "check", "/nowhere/x"}, ""));
  STRCMP_EQUAL("chutevanectl: /nowhere/x: cannot be opened\n", program.err.str().c_str());
  LONGS_EQUAL(2, program.run({"config", "check", "/"}, ""));
}

TEST(run, put_builds_on_the_current_version_by_default) {
  const TemporaryFile file(configuration_3);
  program.transport.add_response(a, 200, "{}", {{base_field, "2"}});
  program.transport.add_response(a, 200, R"({"version":3})");
  LONGS_EQUAL(0, program.run({"config", "put", file.path()}));
  const Request& request = program.transport.sent[1].request;
  STRCMP_EQUAL("POST", request.method.c_str());
  STRCMP_EQUAL("/v1/Configuration.Replace", request.target.c_str());
  STRCMP_EQUAL("2", request.fields[0].second.c_str());
  STRCMP_EQUAL(configuration_3, request.body.c_str());
}

TEST(run, put_of_the_first_builds_on_0) {
  const TemporaryFile file(configuration_3);
  for (int i = 0; i < 3; ++i) program.transport.add_response(i == 1 ? b : a, 404, R"({"cause":"none"})");
  program.transport.add_response(b, 200, "{}");
  program.transport.add_response(a, 200, "{}");
  LONGS_EQUAL(0, program.run({"config", "put", file.path()}));
  STRCMP_EQUAL("0", program.transport.sent.back().request.fields[0].second.c_str());
}

TEST(run, put_sends_the_same_bytes_and_base_while_it_is_unclear) {
  const TemporaryFile file(configuration_3);
  program.transport.add_response(a, 503, "", {{"Retry-After", "0.2"}});
  program.transport.add_failure(b, false);
  program.transport.add_response(b, 200, R"({"version":3})");
  LONGS_EQUAL(0, program.run({"config", "put", file.path(), "--base", "2", "--json"}));
  CHECK(program.transport.sent.size() >= 3);
  for (const auto& sent : program.transport.sent) {
    STRCMP_EQUAL(configuration_3, sent.request.body.c_str());
    STRCMP_EQUAL("2", sent.request.fields[0].second.c_str());
  }
  STRCMP_EQUAL("taken", json::parse(program.out.str()).find("outcome")->text.c_str());
}

TEST(run, put_tells_412_400_and_unclear_apart) {
  const TemporaryFile file(configuration_3);
  const std::vector<std::string> put = {"config", "put", file.path(), "--base", "2", "--json"};
  program.transport.add_response(a, 412, R"({"cause":"version 5 is current"})");
  LONGS_EQUAL(1, program.run(put));
  STRCMP_EQUAL("chutevanectl: a:1: 412: version 5 is current\n", program.err.str().c_str());
  STRCMP_EQUAL("412", json::parse(program.out.str()).find("status")->text.c_str());
  program.transport.add_response(
      a, 400,
      R"({"cause":"x","findings":[{"place":"routes[0]","what":"bad"},{"place":"version","what":"low"}]})");
  LONGS_EQUAL(1, program.run(put));
  STRCMP_EQUAL("chutevanectl: a:1: 400: routes[0]: bad\nchutevanectl: a:1: 400: version: low\n",
               program.err.str().c_str());
  LONGS_EQUAL(3, program.run(put));  // silence
  CHECK(has(program.err.str(), "put the same file again with --base 2"));
  STRCMP_EQUAL("unclear", json::parse(program.out.str()).find("outcome")->text.c_str());
  LONGS_EQUAL(1, lines(program.err.str()));
}

TEST(run, put_of_findings_sends_nothing) {
  const TemporaryFile file("{}");
  LONGS_EQUAL(1, program.run({"config", "put", file.path()}));
  LONGS_EQUAL(0, program.transport.sent.size());
}

// A sidecar says 200 to what it took once; that does not bring it back.
TEST(run, put_of_an_old_one_again_is_told) {
  const TemporaryFile file(configuration_3);
  program.transport.add_response(a, 200, R"({"version":3})");
  LONGS_EQUAL(1, program.run({"config", "put", file.path(), "--base", "5"}));
  CHECK(has(program.err.str(), "was taken before, and version 5 followed it"));
  STRCMP_EQUAL("", program.out.str().c_str());
  program.transport.add_response(a, 200, R"({"version":3})");
  LONGS_EQUAL(0, program.run({"config", "put", file.path(), "--base", "3"}));  // it is in force
}

TEST(run, get_gives_the_bytes_back) {
  const std::string bytes = std::string("{ \"a\":\x01\n") + '\0' + "}";
  program.transport.add_response(a, 200, bytes, {{base_field, "7"}});
  LONGS_EQUAL(0, program.run({"config", "get"}));
  CHECK(program.out.str() == bytes);
  const TemporaryFile file("before");
  program.transport.add_response(a, 200, bytes, {{base_field, "7"}});
  LONGS_EQUAL(0, program.run({"config", "get", "-o", file.path()}));
  std::ifstream in(file.path(), std::ios::binary);
  CHECK(std::string(std::istreambuf_iterator<char>(in), {}) == bytes);
  CHECK(has(program.out.str(), "version 7, "));
  program.transport.add_response(a, 200, bytes, {{base_field, "7"}});
  LONGS_EQUAL(2, program.run({"config", "get", "-o", "/nowhere/x"}));
}

TEST(run, diff_is_1_where_there_is_a_difference) {
  const TemporaryFile file(configuration_3);
  program.transport.add_response(a, 200, configuration_3);
  LONGS_EQUAL(0, program.run({"config", "diff", file.path()}));
  CHECK(has(program.out.str(), "no difference"));
  program.transport.add_response(a, 200,
                                 R"({"version":1,"routes":[],"services":[{"name":"old"},{"name":"s"}]})");
  LONGS_EQUAL(1, program.run({"config", "diff", file.path()}));
  STRCMP_EQUAL(("in force: version 1; " + file.path() +
                ": version 3\nadded route one.example/a/\nremoved service old\n")
                   .c_str(),
               program.out.str().c_str());
  program.transport.add_response(a, 200, R"({"version":1,"routes":[],"services":[]})");
  LONGS_EQUAL(1, program.run({"config", "diff", file.path(), "--json"}));
  LONGS_EQUAL(2, json::parse(program.out.str()).find("changes")->items.size());
}

TEST(run, history_marks_what_is_in_force) {
  program.transport.add_response(
      a, 200, R"({"version":5,"taken":[{"version":3,"hash":"aa"},{"version":5,"hash":"bb"}]})");
  LONGS_EQUAL(0, program.run({"config", "history"}));
  CHECK(has(program.out.str(), "5        bb    in force"));
}

TEST(run, retire_start) {
  const std::vector<std::string> start = {"retire", "start", "s-1", "--deadline-s", "10"};
  program.transport.add_response(a, 200, R"({"state":"active"})");
  LONGS_EQUAL(0, program.run(start));
  STRCMP_EQUAL("s-1: active\n", program.out.str().c_str());
  STRCMP_EQUAL("/v1/Retire.Initiate/s-1", program.transport.sent[0].request.target.c_str());
  STRCMP_EQUAL(R"({"deadlineS":10})", program.transport.sent[0].request.body.c_str());
  program.transport.add_response(a, 409, R"({"cause":"too few would be left"})");
  LONGS_EQUAL(1, program.run(start));
  // After a try that may have had its effect a 409 may also say that it is under way.
  program.transport.add_failure(a, false);
  program.transport.add_response(b, 409, R"({"cause":"?"})");
  LONGS_EQUAL(3, program.run(start));
  // An order is not given again for longer than it may be.
  const TimePoint begin = program.clock.now();
  LONGS_EQUAL(3, program.run({"retire", "start", "s-1", "--deadline-s", "10", "--timeout", "60"}));
  CHECK(program.clock.now() - begin <= Span::ms(4000));
}

TEST(run, retire_state_waits_for_the_end) {
  for (int i = 0; i < 3; ++i) program.transport.add_response(a, 200, R"({"state":"active"})");
  program.transport.add_response(a, 200, R"({"state":"completed"})");
  LONGS_EQUAL(0, program.run({"retire", "state", "s-1", "--wait"}));
  STRCMP_EQUAL("s-1: completed\n", program.out.str().c_str());
  LONGS_EQUAL(4, program.transport.sent.size());
  for (int i = 0; i < 50; ++i) program.transport.add_response(a, 200, R"({"state":"active"})");
  LONGS_EQUAL(3, program.run({"retire", "state", "s-1", "--wait", "--timeout", "3"}));
  CHECK(has(program.err.str(), "s-1: not completed within --timeout"));
  LONGS_EQUAL(0, program.run({"retire", "state", "s-1"}));
}

TEST(run, settings_check) {
  const std::string good =
      "nodeName=n\nmachineClass=m\nipAddress=10.0.0.1\nzone=z\ninternalPorts=7380,7399\nseedNodes=10.0.0.2:"
      "8144\n";
  const TemporaryFile file(good);
  LONGS_EQUAL(0, program.run({"settings", "check", file.path()}, ""));
  const TemporaryFile bad(good + "limits.memoryMb=x\nbounds.ackMs=-1\n");
  LONGS_EQUAL(1, program.run({"settings", "check", bad.path()}, ""));
  LONGS_EQUAL(1, lines(program.err.str()));
  CHECK(has(program.err.str(), "line 7, limits.memoryMb"));
  CHECK(has(program.err.str(), "line 8, bounds.ackMs"));
  LONGS_EQUAL(2, program.run({"settings", "check", "/nowhere/x"}, ""));
}

// Digits were read and what came behind them was not looked at.
TEST(run, internal_ports_are_whole_numbers) {
  const std::string rest =
      "nodeName=n\nmachineClass=m\nipAddress=10.0.0.1\nzone=z\nseedNodes=10.0.0.2:8144\n";
  for (const std::string ports : {"7380x,7399", "7380,7399 x", "7380,73.99"}) {
    std::string text = rest;
    text.append("internalPorts=").append(ports).append("\n");
    const TemporaryFile file(text);
    LONGS_EQUAL(1, program.run({"settings", "check", file.path()}, ""));
    CHECK(has(program.err.str(), "line 6, internalPorts"));
  }
}

TEST(run, an_output_that_takes_nothing_is_told) {
  std::ostream closed(nullptr);
  Environment around{closed, program.err, program.transport, program.clock, "", "0"};
  LONGS_EQUAL(2, ctl::run({"completion", "bash"}, around));
  CHECK(has(program.err.str(), "standard output"));
}

TEST(run, a_lost_record_is_a_finding) {
  const TemporaryFile inside("x");
  const std::string folder = inside.path().substr(0, inside.path().rfind('/'));
  { std::ofstream(folder + "/acceptor.slot0") << "spoilt"; }
  LONGS_EQUAL(1, program.run({"disk", "show", folder}, ""));
  CHECK(has(program.err.str(), "acceptor: there was a record, and it cannot be read"));
  CHECK(has(program.out.str(), "not the tier's"));
  std::remove((folder + "/acceptor.slot0").c_str());
}
