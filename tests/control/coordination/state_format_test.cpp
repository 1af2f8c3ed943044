// Tests that the encoding of the coordination state is the one specified in docs/storage-format.md.
#include <string>

#include "control/coordination/state.hpp"
#include "unit.hpp"

using chutevane::control::coordination::decode;
using chutevane::control::coordination::encode;
using chutevane::control::coordination::State;

namespace {

// The example in that document, line by line.
const std::string documented_bytes =
    std::string("\x01") +       // version
    std::string("\x01\x01l") +  // one lock, "l"
    std::string(
        "\x01"
        "a\x03\xac\x02\x05\x02\x04") +     // holder "a", token 3, 300 ms, call 5, acquired by call 4
    std::string("\x01\x01n\x07") +         // one number, "n": 7
    std::string("\x01\x02g.\x01") +        // one group, "g.", revision 1
    std::string("\x01\x03g.k\x01v\x01") +  // one key, "g.k": "v", revision 1
    std::string("\x01\x03g.k\x01v\x01");   // one put

State documented_state() {
  State out;
  out.locks["l"] = {"a", 3, 300, 5, 2, 4};
  out.numbers["n"] = 7;
  out.groups["g."] = {1, {{"g.k", {"v", 1}}}, {{"g.k", "v", 1}}};
  return out;
}

}  // namespace

TEST_GROUP(CoordinationStateFormat){};

TEST(CoordinationStateFormat, IsAsDocumented) {
  LONGS_EQUAL(37, documented_bytes.size());
  CHECK(encode(documented_state()) == documented_bytes);
  CHECK(decode(documented_bytes) == documented_state());
}

TEST(CoordinationStateFormat, AnEmptyStateHasNoBytes) {
  LONGS_EQUAL(0, encode(State()).size());
  CHECK(decode("") == State());
}

TEST(CoordinationStateFormat, TruncatedOrExtendedBytesAreRefused) {
  for (std::size_t size = 1; size < documented_bytes.size(); ++size)
    CHECK_FALSE(decode(documented_bytes.substr(0, size)).has_value());
  CHECK_FALSE(decode(documented_bytes + '\0').has_value());
}

TEST(CoordinationStateFormat, AnotherVersionIsRefused) {
  std::string bytes = documented_bytes;
  bytes[0] = '\x02';
  CHECK_FALSE(decode(bytes).has_value());
}
