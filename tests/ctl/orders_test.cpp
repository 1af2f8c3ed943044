#include "ctl/orders.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace chutevane;
using namespace chutevane::ctl;

namespace {
std::string wrong(const std::vector<std::string>& arguments, const std::string& control = "a:1") {
  const auto got = read_order(arguments, control);
  return got.ok() ? "good" : std::string(got.status().message());
}
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
}  // namespace

TEST_GROUP(orders){};

TEST(orders, every_command_is_known_by_its_words) {
  for (const Command& c : commands()) {
    std::vector<std::string> arguments;
    std::istringstream words{std::string(c.words)};
    for (std::string one; words >> one;) arguments.push_back(one);
    if (!c.operand.empty()) arguments.push_back(c.verb == Verb::completion ? "bash" : "x");
    if (c.verb == Verb::retire_start) arguments.insert(arguments.end(), {"--deadline-s", "10"});
    arguments.push_back("--json");
    const auto got = read_order(arguments, "a:1");
    CHECK_TRUE_TEXT(got.ok(), std::string(c.words).c_str());
    CHECK(got->verb == c.verb);
    CHECK(got->json);
    // The help and the completion come from the same table, but are put together by hand.
    CHECK(has(help_text(), "  " + std::string(c.words)));
    const std::string last = arguments[c.words.find(' ') == std::string::npos ? 0 : 1];
    CHECK(has(bash_completion(), last));
  }
}

TEST(orders, what_is_wrong_is_named) {
  STRCMP_EQUAL("no command; --help lists them", wrong({}).c_str());
  STRCMP_EQUAL("'frobnicate': no such command; --help lists them", wrong({"frobnicate"}).c_str());
  STRCMP_EQUAL("'config': no such command; --help lists them", wrong({"config"}).c_str());
  STRCMP_EQUAL("config put: FILE is missing", wrong({"config", "put"}).c_str());
  STRCMP_EQUAL("config put: FILE is empty", wrong({"config", "put", ""}).c_str());
  STRCMP_EQUAL("status: 'more' is too much", wrong({"status", "more"}).c_str());
  STRCMP_EQUAL("status: takes no --base", wrong({"status", "--base", "3"}).c_str());
  STRCMP_EQUAL("config get: takes no --wait", wrong({"config", "get", "--wait"}).c_str());
  STRCMP_EQUAL("--base: below 0", wrong({"config", "put", "f", "--base", "-1"}).c_str());
  STRCMP_EQUAL("retire start: --deadline-s is missing", wrong({"retire", "start", "n"}).c_str());
  STRCMP_EQUAL("--deadline-s: not above 0", wrong({"retire", "start", "n", "--deadline-s", "0"}).c_str());
  STRCMP_EQUAL("--deadline-s: not above 0", wrong({"retire", "start", "n", "--deadline-s", "-3"}).c_str());
  CHECK(has(wrong({"retire", "start", "n", "--deadline-s", "nan"}), "nan"));
  STRCMP_EQUAL("completion: 'fish' is not bash", wrong({"completion", "fish"}).c_str());
  STRCMP_EQUAL("--timeout: not above 0 and up to 86400 s", wrong({"status", "--timeout", "0"}).c_str());
  STRCMP_EQUAL("--timeout: not above 0 and up to 86400 s", wrong({"status", "--timeout", "86401"}).c_str());
  CHECK(has(wrong({"status", "--timeout", "nan"}), "nan"));
  CHECK(has(wrong({"status", "--base", "x"}), "x"));
  CHECK(has(wrong({"status", "--nonsense"}), "nonsense"));
}

TEST(orders, a_node_goes_into_a_path_as_it_stands) {
  for (const std::string node : {"a/b", "a b", "a?b", "a#b", "a%2f", "a\r\nHost: x"})
    CHECK(has(wrong({"retire", "state", node}), "has letters that no path takes"));
  STRCMP_EQUAL("good", wrong({"retire", "state", "storage-changwon-a-1"}).c_str());
}

TEST(orders, addresses_come_from_the_option_or_the_variable) {
  CHECK(has(wrong({"status"}, ""), "no control address"));
  STRCMP_EQUAL("CHUTEVANE_CONTROL: 'a' is not HOST:PORT", wrong({"status"}, "a").c_str());
  STRCMP_EQUAL("--control: 'b:0' is not HOST:PORT", wrong({"status", "--control", "a:1,b:0"}, "a").c_str());
  STRCMP_EQUAL("--control: 'b:70000' is not HOST:PORT", wrong({"status", "--control", "b:70000"}).c_str());
  STRCMP_EQUAL("--control: ':80' is not HOST:PORT", wrong({"status", "--control", ":80"}).c_str());
  const auto got = read_order({"status", "--control", "c:3,[::1]:4"}, "a:1");
  CHECK(got.ok());
  LONGS_EQUAL(2, got->controls.size());
  STRCMP_EQUAL("[::1]:4", got->controls[1].c_str());
  // Offline commands want none, and don't mind a bad variable.
  STRCMP_EQUAL("good", wrong({"config", "check", "f"}, "nonsense").c_str());
}

TEST(orders, options_are_taken) {
  const auto got = read_order({"config", "put", "f", "--base", "7", "--timeout", "2.5"}, "a:1");
  CHECK(got.ok());
  LONGS_EQUAL(7, *got->base);
  DOUBLES_EQUAL(2500, got->timeout.as_ms(), 0.1);
  STRCMP_EQUAL("f", got->operand.c_str());
  const auto plain = read_order({"config", "get", "-o", "out"}, "a:1");
  STRCMP_EQUAL("out", plain->output.c_str());
  CHECK(!plain->base.has_value());
}
