// Tests the status of the coordination service for operators, and the limits of its lists.
#include "control/coordination/coordination_status.hpp"

#include <string>

#include "json/value.hpp"
#include "unit.hpp"

namespace json = chutevane::json;
using chutevane::control::coordination::coordination_status_json;
using chutevane::control::coordination::CoordinationStatus;
using chutevane::control::coordination::is_status_target;
using chutevane::control::coordination::max_listed_names;
using chutevane::control::coordination::State;

namespace {

std::string text_of(const json::Value& object, const char* name) {
  const json::Value* const member = object.find(name);
  return member == nullptr ? "missing" : member->text;
}

const json::Value& only_item(const json::Value& object, const char* list) {
  LONGS_EQUAL(1, object.find(list)->items.size());
  return object.find(list)->items[0];
}

}  // namespace

TEST_GROUP(CoordinationStatusJson) {
  CoordinationStatus status;
  State state;
  json::Value document() const { return json::parse(coordination_status_json(status)); }
};

TEST(CoordinationStatusJson, TargetIsRecognized) {
  CHECK(is_status_target("/v1/Coordination.Retrieve"));
  CHECK(is_status_target("/v1/Coordination.Retrieve?all"));
  CHECK_FALSE(is_status_target("/v1/Coordination.Retrieve/l1"));
  CHECK_FALSE(is_status_target("/v1/Status.Retrieve"));
}

TEST(CoordinationStatusJson, DescribesTheController) {
  status.node = "core-1";
  status.proposer = "10.0.0.1:7380";
  status.is_available = true;
  status.queue_length = 3;
  status.watcher_count = 5;
  status.epoch.epoch = 4;
  status.epoch.acceptors = {{"10.0.0.1:7380", "disk-1"}, {"10.0.0.2:7380", "disk-2"}};
  status.known_number = 812;
  status.state_bytes = 77;
  const json::Value out = document();
  STRCMP_EQUAL("core-1", text_of(out, "node").c_str());
  STRCMP_EQUAL("10.0.0.1:7380", text_of(out, "proposer").c_str());
  CHECK(out.find("available")->flag);
  STRCMP_EQUAL("3", text_of(out, "queue").c_str());
  STRCMP_EQUAL("5", text_of(out, "watchers").c_str());
  STRCMP_EQUAL("4", text_of(out, "epoch").c_str());
  STRCMP_EQUAL("812", text_of(out, "number").c_str());
  STRCMP_EQUAL("77", text_of(out, "stateBytes").c_str());
  LONGS_EQUAL(2, out.find("acceptors")->items.size());
  STRCMP_EQUAL("10.0.0.2:7380", text_of(out.find("acceptors")->items[1], "address").c_str());
  STRCMP_EQUAL("disk-2", text_of(out.find("acceptors")->items[1], "disk").c_str());
}

TEST(CoordinationStatusJson, WithoutAKnownStateTheListsAreEmpty) {
  const json::Value out = document();
  CHECK_FALSE(out.find("available")->flag);
  for (const char* const list : {"locks", "groups", "numbers", "acceptors"}) {
    CHECK(out.find(list)->is(json::Value::Kind::list));
    LONGS_EQUAL(0, out.find(list)->items.size());
  }
  for (const char* const total : {"lockCount", "groupCount", "numberCount", "number", "stateBytes"})
    STRCMP_EQUAL("0", text_of(out, total).c_str());
}

TEST(CoordinationStatusJson, LocksGroupsAndNumbersAreListed) {
  state.locks["l1"] = {"a3.7", 41, 3000, 99};
  state.numbers["n2"] = 5120;
  state.groups["g1."].revision = 9;
  state.groups["g1."].keys["g1.a"] = {"x", 7};
  state.groups["g1."].keys["g1.b"] = {"z", 9};
  state.groups["g1."].history = {{"g1.a", "x", 7}, {"g1.b", "y", 8}, {"g1.b", "z", 9}};
  status.known_state = &state;
  const json::Value out = document();
  const json::Value& lock = only_item(out, "locks");
  STRCMP_EQUAL("l1", text_of(lock, "name").c_str());
  STRCMP_EQUAL("a3.7", text_of(lock, "holder").c_str());
  STRCMP_EQUAL("41", text_of(lock, "fence").c_str());
  STRCMP_EQUAL("3000", text_of(lock, "holdMs").c_str());
  const json::Value& group = only_item(out, "groups");
  STRCMP_EQUAL("g1.", text_of(group, "name").c_str());
  STRCMP_EQUAL("9", text_of(group, "revision").c_str());
  STRCMP_EQUAL("2", text_of(group, "keys").c_str());
  STRCMP_EQUAL("3", text_of(group, "history").c_str());
  const json::Value& number = only_item(out, "numbers");
  STRCMP_EQUAL("n2", text_of(number, "name").c_str());
  STRCMP_EQUAL("5120", text_of(number, "value").c_str());
}

TEST(CoordinationStatusJson, ValuesOfKeysAreNotShown) {
  state.groups["g1."].keys["g1.a"] = {"confidential", 1};
  state.groups["g1."].history = {{"g1.a", "confidential", 1}};
  status.known_state = &state;
  CHECK(coordination_status_json(status).find("confidential") == std::string::npos);
}

TEST(CoordinationStatusJson, EachListIsBoundedAndTheTotalsCountAll) {
  const std::size_t count = max_listed_names + 1;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = "name-" + std::to_string(1000 + i);
    state.locks[name].fence = 1;
    state.numbers[name] = 1;
    state.groups[name + "."].revision = 1;
  }
  status.known_state = &state;
  const json::Value out = document();
  for (const char* const list : {"locks", "groups", "numbers"}) {
    LONGS_EQUAL(max_listed_names, out.find(list)->items.size());
    CHECK(text_of(out.find(list)->items[0], "name").starts_with("name-1000"));
    CHECK(text_of(out.find(list)->items[max_listed_names - 1], "name").starts_with("name-1199"));
  }
  for (const char* const total : {"lockCount", "groupCount", "numberCount"})
    STRCMP_EQUAL(std::to_string(count).c_str(), text_of(out, total).c_str());
}

TEST(CoordinationStatusJson, NegativeNumberIsWrittenAsZero) {
  state.numbers["n"] = -1;
  status.known_state = &state;
  STRCMP_EQUAL("0", text_of(only_item(document(), "numbers"), "value").c_str());
}
