#include "discovery/endpoint_list.hpp"
#include "helpers.hpp"
#include "json/value.hpp"

namespace chutevane {
namespace {

std::size_t error_byte(std::string_view text, const json::Limits& limits = {}) {
  try {
    json::parse(text, limits);
  } catch (const json::ParseError& e) {
    return e.byte;
  }
  return std::string::npos;
}

TEST(Json, ReadsEveryKind) {
  const json::Value v = json::parse(R"( {"a":[1,-2.5e3,true,null],"b":{"c":"x\n\u00e9\ud83d\ude00"}} )");
  const json::Value& a = *v.find("a");
  EXPECT_EQ(a.items.size(), 4U);
  EXPECT_EQ(a.items[1].number, -2500.0);
  EXPECT_TRUE(a.items[2].flag);
  EXPECT_TRUE(a.items[3].is(json::Value::Kind::null));
  EXPECT_EQ(v.find("b")->find("c")->text, "x\n\xc3\xa9\xf0\x9f\x98\x80");
  EXPECT_EQ(v.find("none"), nullptr);
}

TEST(Json, NamesTheByteThatDoesNotFit) {
  EXPECT_EQ(error_byte("{\"a\":1,}"), 7U);
  EXPECT_EQ(error_byte("[01]"), 2U);
  EXPECT_EQ(error_byte("\"open"), 5U);
  EXPECT_EQ(error_byte("\"\\ud800x\""), 7U);
  EXPECT_EQ(error_byte("1e999"), 0U);
  EXPECT_EQ(error_byte("{} x"), 3U);
  EXPECT_EQ(error_byte(""), 0U);
}

// Guards the stack: depth comes from whoever writes the text.
TEST(Json, DepthAndSizeAreBounded) {
  EXPECT_EQ(error_byte(std::string(100000, '[')), 33U);
  EXPECT_EQ(error_byte("[1,2,3]", {.bytes = 4}), 4U);
}

TEST(Json, WriterSeparatesAndEscapes) {
  json::Writer w;
  w.open('{').key("a").open('[').number(1).text("q\"\n").close(']').key("b").number(2).close('}');
  EXPECT_EQ(w.result(), "{\"a\":[1,\"q\\\"\\u000a\"],\"b\":2}");
}

std::string list_error(std::string_view text) {
  try {
    discovery::parse_endpoint_list(text);
  } catch (const discovery::EndpointListError& e) {
    return e.what();
  }
  return "";
}

TEST(List, IsRead) {
  const discovery::EndpointList l = discovery::parse_endpoint_list(
      R"({"version":43,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.18:8000","zone":"a","cell":3,
          "state":"DRAINING","weight":2.0,"started_ms":1796122395638},{"id":"s-2","state":"DELETED"}]})");
  EXPECT_EQ(l.version, 43U);
  EXPECT_FALSE(l.full);
  ASSERT_EQ(l.entries.size(), 2U);
  EXPECT_EQ(l.entries[0].availability, Availability::draining);
  EXPECT_EQ(l.entries[0].cell, 3);
  EXPECT_EQ(l.entries[0].came_up, TimePoint::at_ms(1796122395638.0));
  EXPECT_EQ(l.entries[1].availability, Availability::gone);
}

// Guards against a version that is rounded on its way: the watch would ask for the wrong one.
TEST(List, VersionsAreExact) {
  EXPECT_EQ(discovery::parse_endpoint_list(R"({"version":9007199254740993,"servers":[]})").version,
            9007199254740993U);
  EXPECT_EQ(list_error(R"({"version":1.5,"servers":[]})"), "version: no whole number");
}

TEST(List, NamesTheMemberThatDoesNotFit) {
  EXPECT_EQ(list_error(R"({"servers":[{"id":"s","addr":"10.1.0.18:8000","state":"UP"}]})"),
            "servers[0].state: unknown 'UP'");
  EXPECT_EQ(list_error(R"({"servers":[{"id":"s","addr":"here","state":"SERVING"}]})"),
            "servers[0].addr: no address: 'here'");
  EXPECT_EQ(list_error(R"({"servers":[{"id":"s","addr":"1.2.3.4:5","state":"SERVING","cell":-1}]})"),
            "servers[0].cell: out of range");
  EXPECT_EQ(list_error("{}"), "servers: missing");
  EXPECT_EQ(list_error("[]"), "the list is no object");
  EXPECT_EQ(list_error("{"), "no JSON: a name expected at byte 1");
}

}  // namespace
}  // namespace chutevane
