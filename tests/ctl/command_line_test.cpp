#include "ctl/command_line.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace chutevane;
using namespace chutevane::ctl;

namespace {
std::string error_of(const std::vector<std::string>& arguments, const std::string& control = "a:1") {
  const auto got = parse_command_line(arguments, control);
  return got.ok() ? "good" : std::string(got.status().message());
}
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
}  // namespace

TEST_GROUP(command_line){};

TEST(command_line, every_command_is_known_by_its_words) {
  for (const CommandSpec& spec : command_specs()) {
    std::vector<std::string> arguments;
    std::istringstream words{std::string(spec.name)};
    for (std::string one; words >> one;) arguments.push_back(one);
    if (!spec.operand.empty()) arguments.push_back(spec.command == Command::completion ? "bash" : "x");
    if (spec.command == Command::retire_start) arguments.insert(arguments.end(), {"--deadline-s", "10"});
    arguments.push_back("--json");
    const auto got = parse_command_line(arguments, "a:1");
    CHECK_TRUE_TEXT(got.ok(), std::string(spec.name).c_str());
    CHECK(got->command == spec.command);
    CHECK(got->json);
    // The help and the completion come from the same table, but are put together by hand.
    CHECK(has(help_text(), "  " + std::string(spec.name)));
    const std::string last = arguments[spec.name.find(' ') == std::string::npos ? 0 : 1];
    CHECK(has(bash_completion(), last));
  }
}

TEST(command_line, what_is_wrong_is_named) {
  STRCMP_EQUAL("no command; --help lists them", error_of({}).c_str());
  STRCMP_EQUAL("'frobnicate': no such command; --help lists them", error_of({"frobnicate"}).c_str());
  STRCMP_EQUAL("'config': no such command; --help lists them", error_of({"config"}).c_str());
  STRCMP_EQUAL("config put: FILE is missing", error_of({"config", "put"}).c_str());
  STRCMP_EQUAL("config put: FILE is empty", error_of({"config", "put", ""}).c_str());
  STRCMP_EQUAL("status: 'more' is too much", error_of({"status", "more"}).c_str());
  STRCMP_EQUAL("status: takes no --base", error_of({"status", "--base", "3"}).c_str());
  STRCMP_EQUAL("config get: takes no --wait", error_of({"config", "get", "--wait"}).c_str());
  STRCMP_EQUAL("--base: below 0", error_of({"config", "put", "f", "--base", "-1"}).c_str());
  STRCMP_EQUAL("retire start: --deadline-s is missing", error_of({"retire", "start", "n"}).c_str());
  STRCMP_EQUAL("--deadline-s: not above 0", error_of({"retire", "start", "n", "--deadline-s", "0"}).c_str());
  STRCMP_EQUAL("--deadline-s: not above 0", error_of({"retire", "start", "n", "--deadline-s", "-3"}).c_str());
  CHECK(has(error_of({"retire", "start", "n", "--deadline-s", "nan"}), "nan"));
  STRCMP_EQUAL("completion: 'fish' is not bash", error_of({"completion", "fish"}).c_str());
  STRCMP_EQUAL("--timeout: not above 0 and up to 86400 s", error_of({"status", "--timeout", "0"}).c_str());
  STRCMP_EQUAL("--timeout: not above 0 and up to 86400 s",
               error_of({"status", "--timeout", "86401"}).c_str());
  CHECK(has(error_of({"status", "--timeout", "nan"}), "nan"));
  CHECK(has(error_of({"status", "--base", "x"}), "x"));
  CHECK(has(error_of({"status", "--nonsense"}), "nonsense"));
}

TEST(command_line, a_node_goes_into_a_path_as_it_stands) {
  for (const std::string node : {"a/b", "a b", "a?b", "a#b", "a%2f", "a\r\nHost: x"})
    CHECK(has(error_of({"retire", "state", node}), "has letters that no path takes"));
  STRCMP_EQUAL("good", error_of({"retire", "state", "storage-changwon-a-1"}).c_str());
}

TEST(command_line, addresses_come_from_the_option_or_the_variable) {
  CHECK(has(error_of({"status"}, ""), "no control address"));
  STRCMP_EQUAL("CHUTEVANE_CONTROL: 'a' is not HOST:PORT", error_of({"status"}, "a").c_str());
  STRCMP_EQUAL("--control: 'b:0' is not HOST:PORT",
               error_of({"status", "--control", "a:1,b:0"}, "a").c_str());
  STRCMP_EQUAL("--control: 'b:70000' is not HOST:PORT", error_of({"status", "--control", "b:70000"}).c_str());
  STRCMP_EQUAL("--control: ':80' is not HOST:PORT", error_of({"status", "--control", ":80"}).c_str());
  const auto got = parse_command_line({"status", "--control", "c:3,[::1]:4"}, "a:1");
  CHECK(got.ok());
  LONGS_EQUAL(2, got->control_addresses.size());
  STRCMP_EQUAL("[::1]:4", got->control_addresses[1].c_str());
  // Offline command_specs want none, and don't mind a bad variable.
  STRCMP_EQUAL("good", error_of({"config", "check", "f"}, "nonsense").c_str());
}

TEST(command_line, options_are_taken) {
  const auto got = parse_command_line({"config", "put", "f", "--base", "7", "--timeout", "2.5"}, "a:1");
  CHECK(got.ok());
  LONGS_EQUAL(7, *got->base);
  DOUBLES_EQUAL(2500, got->timeout.as_ms(), 0.1);
  STRCMP_EQUAL("f", got->operand.c_str());
  const auto plain = parse_command_line({"config", "get", "-o", "out"}, "a:1");
  STRCMP_EQUAL("out", plain->output.c_str());
  CHECK(!plain->base.has_value());
}
