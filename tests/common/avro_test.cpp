// Avro encoding of messages: every struct of messages.hpp has exactly the fields of its record in api/*.avsc,
// every message survives a round trip, and invalid bytes are rejected.
#include <avro.h>

#include <cstring>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "common/messages.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

namespace common = chutevane::common;
using chutevane::simulated::RandomSource;

namespace {

using Messages = std::tuple<
    common::Acceptor, common::StorageNode, common::RetiredNode, common::AppliedConfiguration,
    common::RegisterValue, common::Ballot, common::Prepare, common::Promise, common::Accept, common::Accepted,
    common::Chosen, common::AcceptorRecord, common::ControllerRecord, common::Member, common::HeldRole,
    common::Gossip, common::VoteRequest, common::VoteReply, common::PlatformCheckRequest,
    common::PlatformCheckReply, common::EndpointEntry, common::EndpointList, common::MemberHeartbeat,
    common::ValuePush, common::ControlHeartbeat, common::ReserveRequest, common::ReserveReply,
    common::CommitUsage, common::Turn, common::StoreTurnRequest, common::StoreTurnReply,
    common::FindTurnRequest, common::FindTurnReply, common::Reservation, common::Account, common::PullRequest,
    common::PullReply, common::StorageNodeRecord, common::MapRecord, common::ValueDifference,
    common::CoordinationPrepare, common::CoordinationAccept, common::CoordinationChosen,
    common::CoordinationReport, common::CoordinationCall, common::CoordinationAnswer, common::AcceptorChange>;

template <class F>
void for_each_message(F f) {
  std::apply([&](auto&&... one) { (f(one), ...); }, Messages{});
}

// Visitor that collects the fields of a struct in order, each with its schema type.
class FieldCollector {
 public:
  void operator()(const char* name, std::int64_t&) { add(name, "long"); }
  void operator()(const char* name, bool&) { add(name, "boolean"); }
  void operator()(const char* name, std::string&) { add(name, "string"); }
  void operator()(const char* name, common::Bytes&) { add(name, "bytes"); }
  template <class T>
  void operator()(const char* name, std::vector<T>&) {
    if constexpr (std::is_same_v<T, std::string>) {
      add(name, "array of string");
    } else {
      add(name, std::string("array of ") + T::record);
    }
  }
  template <class T>
  requires requires { T::record; }
  void operator()(const char* name, T&) { add(name, T::record); }
  const std::vector<std::string>& fields() const { return fields_; }

 private:
  void add(const char* name, const std::string& type) { fields_.push_back(std::string(name) + ": " + type); }
  std::vector<std::string> fields_;
};

std::string type_of(avro_schema_t schema) {
  switch (avro_typeof(schema)) {
    case AVRO_INT64: return "long";
    case AVRO_BOOLEAN: return "boolean";
    case AVRO_STRING: return "string";
    case AVRO_BYTES: return "bytes";
    case AVRO_ARRAY: return "array of " + type_of(avro_schema_array_items(schema));
    case AVRO_LINK: return type_of(avro_schema_link_target(schema));
    case AVRO_RECORD: return avro_schema_name(schema);
    default: return "another type";
  }
}

// Returns the fields of all records in both schema files, by record name.
std::map<std::string, std::vector<std::string>> schema_records() {
  std::map<std::string, std::vector<std::string>> out;
  const ScopedLeakCheckDisabler disabler;
  for (const char* text : {common::control_schema, common::storage_schema}) {
    avro_schema_t all;
    CHECK_EQUAL(0, avro_schema_from_json_length(text, std::strlen(text), &all));
    for (std::size_t i = 0; i < avro_schema_union_size(all); ++i) {
      avro_schema_t record = avro_schema_union_branch(all, static_cast<int>(i));
      std::vector<std::string>& fields = out[avro_schema_name(record)];
      for (std::size_t f = 0; f < avro_schema_record_size(record); ++f) {
        const char* name = avro_schema_record_field_name(record, static_cast<int>(f));
        fields.push_back(std::string(name) + ": " +
                         type_of(avro_schema_record_field_get_by_index(record, static_cast<int>(f))));
      }
    }
  }
  return out;
}

// Visitor that fills every field with random content.
class Filler {
 public:
  Filler(RandomSource& random, std::size_t max_items) : random_(random), max_items_(max_items) {}
  void operator()(const char*, std::int64_t& v) {
    v = static_cast<std::int64_t>(random_.next() >> random_.below(64));
    if (random_.chance(0.3)) v = -v;
    if (random_.chance(0.05)) v = std::numeric_limits<std::int64_t>::min();
    if (random_.chance(0.05)) v = std::numeric_limits<std::int64_t>::max();
  }
  void operator()(const char*, bool& v) { v = random_.chance(0.5); }
  void operator()(const char*, std::string& v) { v = text(); }
  void operator()(const char*, common::Bytes& v) { v.data = text(); }
  template <class T>
  void operator()(const char* name, std::vector<T>& v) {
    v.resize(random_.below(max_items_ + 1));
    for (T& one : v) (*this)(name, one);
  }
  template <class T>
  requires requires { T::record; }
  void operator()(const char*, T& v) {
    Filler inner(random_, max_items_ > 0 ? max_items_ - 1 : 0);
    v.each(inner);
  }

 private:
  std::string text() {  // any bytes, including zeros
    std::string out(random_.below(random_.chance(0.05) ? 3000 : 20), '\0');
    for (char& c : out) c = static_cast<char>(random_.next());
    return out;
  }
  RandomSource& random_;
  const std::size_t max_items_;
};

// Visitor that prints all fields of a message without using the codec under test.
class FieldPrinter {
 public:
  void operator()(const char* name, std::int64_t& v) { add(name, std::to_string(v)); }
  void operator()(const char* name, bool& v) { add(name, v ? "true" : "false"); }
  void operator()(const char* name, std::string& v) { add(name, v); }
  void operator()(const char* name, common::Bytes& v) { add(name, v.data); }
  template <class T>
  void operator()(const char* name, std::vector<T>& v) {
    add(name, numbered("list of ", v.size()));
    for (T& one : v) (*this)(name, one);
  }
  template <class T>
  requires requires { T::record; }
  void operator()(const char* name, T& v) {
    add(name, "{");
    v.each(*this);
    add(name, "}");
  }
  std::string text;

 private:
  void add(const char* name, const std::string& v) {
    text += name;
    text += numbered("(", v.size());
    text += ")" + v + ";";
  }
};

template <class M>
std::string printed(M& message) {
  FieldPrinter out;
  message.each(out);
  return out.text;
}

}  // namespace

TEST_GROUP(AvroMessages){};

// Run as a separate ctest, because the library leaks in these tests under the sanitizers.
TEST_GROUP(AvroNoise){};

// Guards against a field that is missing in a struct or its schema, or that differs in type or position.
TEST(AvroMessages, FieldsAgreeWithTheSchemaFiles) {
  auto records = schema_records();
  for_each_message([&](auto& message) {
    using M = std::remove_reference_t<decltype(message)>;
    const auto record = records.find(M::record);
    CHECK_WHERE(record != records.end(), std::string("no record ") + M::record);
    FieldCollector collector;
    message.each(collector);
    std::string struct_text, schema_text;
    for (const std::string& f : collector.fields()) struct_text += f + "\n";
    for (const std::string& f : record->second) schema_text += f + "\n";
    CHECK_WHERE(struct_text == schema_text,
                std::string(M::record) + ", struct:\n" + struct_text + "schema:\n" + schema_text);
    records.erase(record);
  });
  CHECK_WHERE(records.empty(), "no struct for " + (records.empty() ? "" : records.begin()->first));
}

// The kind identifies a record on the wire, so records with the same kind would be mistaken for each
// other.
TEST(AvroMessages, KindsAreUnique) {
  std::set<int> kinds;
  std::size_t count = 0;
  for_each_message([&](auto& message) {
    kinds.insert(std::remove_reference_t<decltype(message)>::kind);
    ++count;
  });
  CHECK_EQUAL(count, kinds.size());
  CHECK_FALSE(kinds.contains(0));
}

TEST(AvroNoise, RoundTrip) {
  RandomSource random(5);
  for (int round = 0; round < 40; ++round) {
    for_each_message([&](auto& message) {
      using M = std::remove_reference_t<decltype(message)>;
      Filler fill(random, static_cast<std::size_t>(round % 4));
      message.each(fill);
      const std::string bytes = common::encoded(message);
      M back;
      Filler previous_content(random, 2);
      back.each(previous_content);  // decoding must replace the previous content
      CHECK_WHERE(common::decode(bytes, back), M::record);
      CHECK_WHERE(printed(message) == printed(back), M::record);
      CHECK_WHERE(common::encoded(back) == bytes, M::record);
    });
  }
}

// A value with a configuration of 8 MiB.
TEST(AvroMessages, LargeValue) {
  common::RegisterValue value;
  value.config.data.assign(8U << 20U, '\x7f');
  common::RegisterValue back;
  CHECK_TRUE(common::decode(common::encoded(value), back) && back == value);
}

// Every proper prefix of an encoded message is rejected.
TEST(AvroNoise, CutAtEveryByte) {
  RandomSource random(6);
  for (int round = 0; round < 6; ++round) {
    for_each_message([&](auto& message) {
      using M = std::remove_reference_t<decltype(message)>;
      Filler fill(random, 2);
      message.each(fill);
      const std::string bytes = common::encoded(message);
      const std::size_t step = bytes.size() > 600 ? 7 : 1;
      for (std::size_t n = 0; n < bytes.size(); n += step) {
        M back;
        CHECK_WHERE(!common::decode(std::string_view(bytes).substr(0, n), back),
                    numbered(M::record, n) + numbered(" bytes of ", bytes.size()));
      }
    });
  }
}

// Random bytes are either rejected or decoded into a message that survives a round trip.
TEST(AvroNoise, RandomBytes) {
  RandomSource random(7);
  std::size_t rejected = 0, all = 0;
  for (int round = 0; round < 300; ++round) {
    std::string noise(random.below(120), '\0');
    for (char& c : noise) c = static_cast<char>(random.next());
    for_each_message([&](auto& message) {
      using M = std::remove_reference_t<decltype(message)>;
      ++all;
      if (!common::decode(noise, message)) {
        ++rejected;
        return;
      }
      M back;
      CHECK_WHERE(common::decode(common::encoded(message), back) && printed(message) == printed(back),
                  M::record);
    });
  }
  CHECK_TRUE(rejected > all / 2);
}

// Changes one byte of a valid message, which may be part of a length or count.
TEST(AvroNoise, ChangedBytes) {
  RandomSource random(8);
  for (int round = 0; round < 60; ++round) {
    for_each_message([&](auto& message) {
      using M = std::remove_reference_t<decltype(message)>;
      Filler fill(random, 2);
      message.each(fill);
      std::string bytes = common::encoded(message);
      if (bytes.empty()) return;
      bytes[random.below(bytes.size())] = static_cast<char>(random.next());
      M back;
      if (!common::decode(bytes, back)) return;
      M again;
      CHECK_WHERE(common::decode(common::encoded(back), again) && printed(back) == printed(again), M::record);
    });
  }
}

// Lengths and counts that are negative or far larger than what follows.
TEST(AvroNoise, ImpossibleLengths) {
  const std::vector<std::string> lengths = {"\x01",
                                            "\x7f",
                                            std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"),
                                            std::string("\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01"),
                                            std::string(10, '\xff'),
                                            std::string("\xfe\xff\xff\xff\x0f")};
  for (const std::string& length : lengths) {
    for (const std::string& suffix : {std::string(), std::string("abc"), std::string(64, '\0')}) {
      for_each_message([&](auto& message) { (void)common::decode(length + suffix, message); });
      common::CommitUsage usage;
      CHECK_FALSE(common::decode(length, usage));
    }
  }
  // A valid message is decoded correctly after rejected ones.
  common::VoteReply reply;
  CHECK_TRUE(common::decode(common::encoded(common::VoteReply{true, 9}), reply) && reply.granted &&
             reply.term == 9);
}
