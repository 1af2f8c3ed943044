#include "ctl/difference.hpp"

#include <CppUTest/TestHarness.h>

using namespace chutevane::ctl;

namespace {
std::vector<Change> of(const std::string& before, const std::string& after) {
  return difference(*read_document(before), *read_document(after));
}
std::string told(const std::vector<Change>& changes) {
  std::string out;
  for (const Change& c : changes) {
    const char kind = c.kind == Change::Kind::added ? '+' : c.kind == Change::Kind::removed ? '-' : '~';
    out += kind + c.of + " " + c.name;
    for (const FieldChange& f : c.fields) out += " " + f.field + "=" + f.before + ">" + f.after;
    out += ";";
  }
  return out;
}
}  // namespace

TEST_GROUP(difference){};

TEST(difference, none_where_only_form_and_version_differ) {
  STRCMP_EQUAL(
      "", told(of(R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","timeoutMs":100}],"services":[]})",
                  R"({"services":[],"routes":[{"timeoutMs":1e2, "pathPrefix":"/","host":"h"}],"version":9})"))
              .c_str());
}

TEST(difference, routes_go_by_host_and_prefix) {
  STRCMP_EQUAL(
      "+route h/c/;~route h/a/ service=\"s\">\"t\";-route h/b/;",
      told(
          of(R"({"routes":[{"host":"h","pathPrefix":"/a/","service":"s"},{"host":"h","pathPrefix":"/b/"}]})",
             R"({"routes":[{"host":"h","pathPrefix":"/c/"},{"host":"h","pathPrefix":"/a/","service":"t"}]})"))
          .c_str());
}

TEST(difference, a_host_in_another_case_is_the_same_route) {
  STRCMP_EQUAL("~route h.x/ host=\"H.x\">\"h.x\";",
               told(of(R"({"routes":[{"host":"H.x","pathPrefix":"/"}]})",
                       R"({"routes":[{"host":"h.x","pathPrefix":"/"}]})"))
                   .c_str());
}

TEST(difference, services_and_the_rest) {
  STRCMP_EQUAL(
      "~service s engine={\"capacity\":4}>;+service u;-service t;~document limits "
      "limits={}>{\"idleTimeoutMs\":5};"
      "+document note note=>\"x\";",
      told(of(R"({"services":[{"name":"s","engine":{"capacity":4}},{"name":"t"}],"limits":{}})",
              R"({"services":[{"name":"s"},{"name":"u"}],"limits":{"idleTimeoutMs":5},"note":"x"})"))
          .c_str());
}

TEST(difference, against_nothing_all_is_added) {
  STRCMP_EQUAL(
      "+route h/;+service s;",
      told(difference(
               {}, *read_document(R"({"routes":[{"host":"h","pathPrefix":"/"}],"services":[{"name":"s"}]})")))
          .c_str());
}

TEST(difference, values_in_one_form) {
  STRCMP_EQUAL(R"({"a":[1,-2,0.5,true,null,"x"],"b":100000})",
               canonical(*read_document(R"({"b":1e5,"a":[1.0,-2,5e-1,true,null,"x"]})")).c_str());
}

TEST(difference, deep_documents_are_refused_not_recursed_into) {
  CHECK(!read_document(std::string(100000, '[')).ok());
}
