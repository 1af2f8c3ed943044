#include "ctl/configuration_difference.hpp"

#include <CppUTest/TestHarness.h>

using namespace chutevane::ctl;

namespace {
std::vector<Change> changes_between(const std::string& before, const std::string& after) {
  return difference(*parse_document(before), *parse_document(after));
}
std::string text_of(const std::vector<Change>& changes) {
  std::string out;
  for (const Change& c : changes) {
    const char kind = c.kind == Change::Kind::added ? '+' : c.kind == Change::Kind::removed ? '-' : '~';
    out += kind + std::string(name_of(c.subject)) + " " + c.name;
    for (const FieldChange& f : c.fields) out += " " + f.field + "=" + f.before + ">" + f.after;
    out += ";";
  }
  return out;
}
}  // namespace

TEST_GROUP(configuration_difference){};

TEST(configuration_difference, none_where_only_form_and_version_differ) {
  STRCMP_EQUAL(
      "",
      text_of(changes_between(
                  R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","timeoutMs":100}],"services":[]})",
                  R"({"services":[],"routes":[{"timeoutMs":1e2, "pathPrefix":"/","host":"h"}],"version":9})"))
          .c_str());
}

TEST(configuration_difference, routes_go_by_host_and_prefix) {
  STRCMP_EQUAL(
      "+route h/c/;~route h/a/ service=\"s\">\"t\";-route h/b/;",
      text_of(
          changes_between(
              R"({"routes":[{"host":"h","pathPrefix":"/a/","service":"s"},{"host":"h","pathPrefix":"/b/"}]})",
              R"({"routes":[{"host":"h","pathPrefix":"/c/"},{"host":"h","pathPrefix":"/a/","service":"t"}]})"))
          .c_str());
}

TEST(configuration_difference, a_host_in_another_case_is_the_same_route) {
  STRCMP_EQUAL("~route h.x/ host=\"H.x\">\"h.x\";",
               text_of(changes_between(R"({"routes":[{"host":"H.x","pathPrefix":"/"}]})",
                                       R"({"routes":[{"host":"h.x","pathPrefix":"/"}]})"))
                   .c_str());
}

TEST(configuration_difference, services_and_the_rest) {
  STRCMP_EQUAL(
      "~service s engine={\"capacity\":4}>;+service u;-service t;~document limits "
      "limits={}>{\"idleTimeoutMs\":5};"
      "+document note note=>\"x\";",
      text_of(changes_between(
                  R"({"services":[{"name":"s","engine":{"capacity":4}},{"name":"t"}],"limits":{}})",
                  R"({"services":[{"name":"s"},{"name":"u"}],"limits":{"idleTimeoutMs":5},"note":"x"})"))
          .c_str());
}

TEST(configuration_difference, against_nothing_all_is_added) {
  STRCMP_EQUAL(
      "+route h/;+service s;",
      text_of(difference({}, *parse_document(
                                 R"({"routes":[{"host":"h","pathPrefix":"/"}],"services":[{"name":"s"}]})")))
          .c_str());
}

TEST(configuration_difference, values_in_one_form) {
  STRCMP_EQUAL(R"({"a":[1,-2,0.5,true,null,"x"],"b":100000})",
               canonical(*parse_document(R"({"b":1e5,"a":[1.0,-2,5e-1,true,null,"x"]})")).c_str());
}

TEST(configuration_difference, deep_documents_are_refused_not_recursed_into) {
  CHECK(!parse_document(std::string(100000, '[')).ok());
}
