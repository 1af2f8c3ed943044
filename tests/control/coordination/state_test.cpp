// Tests the encoding of the coordination state: decoding returns the encoded state; truncated or changed
// bytes are refused, or decode to a state that can be encoded and decoded again.
#include "control/coordination/state.hpp"

#include <string>

#include "state_examples.hpp"
#include "unit.hpp"

using chutevane::simulated::RandomSource;
using namespace chutevane::control::coordination;

TEST_GROUP(CoordinationState){};

TEST(CoordinationState, EmptyStateIsEncodedAsNoBytes) {
  CHECK_TRUE(encode({}).empty());
  CHECK_TRUE(decode("") == State{});
}

TEST(CoordinationState, FilledStateRoundTrip) {
  const State state = filled_state();
  CHECK_TRUE(decode(encode(state)) == state);
}

TEST(CoordinationState, RandomStatesRoundTrip) {
  RandomSource random(11);
  for (int round = 0; round < 2000; ++round) {
    const State state = random_state(random);
    CHECK_WHERE(decode(encode(state)) == state, numbered("round ", round));
  }
}

// Equal states have equal bytes; computing differences between values depends on it.
TEST(CoordinationState, EncodingIsDeterministic) {
  RandomSource random(12);
  for (int round = 0; round < 200; ++round) {
    const std::string bytes = encode(random_state(random));
    CHECK_WHERE(encode(*decode(bytes)) == bytes, numbered("round ", round));
  }
}

TEST(CoordinationState, TruncatedBytesAreRefused) {
  RandomSource random(13);
  for (int round = 0; round < 100; ++round) {
    const std::string bytes = encode(round == 0 ? filled_state() : random_state(random));
    for (std::size_t size = 1; size < bytes.size(); ++size)
      CHECK_WHERE(!decode(bytes.substr(0, size)), numbered("round ", round) + numbered(", bytes ", size));
  }
}

TEST(CoordinationState, TrailingBytesAreRefused) {
  const std::string bytes = encode(filled_state());
  CHECK_FALSE(decode(bytes + std::string(1, '\0')).has_value());
  CHECK_FALSE(decode(bytes + "x").has_value());
}

TEST(CoordinationState, AnotherVersionOfTheFormatIsRefused) {
  std::string bytes = encode(filled_state());
  bytes[0] = 2;
  CHECK_FALSE(decode(bytes).has_value());
}

// Counts and lengths above the number of remaining bytes allocate nothing, and overlong integers are refused.
TEST(CoordinationState, ImpossibleCountsAreRefused) {
  const std::string largest = std::string(9, '\xff') + "\x01";
  CHECK_FALSE(decode("\x01" + largest).has_value());
  CHECK_FALSE(decode("\x01\x01" + largest).has_value());
  CHECK_FALSE(decode("\x01" + std::string(20, '\xff')).has_value());
}

// Random bytes, and valid ones with one byte changed, are refused or decode to a state that can be encoded
// and decoded again.
TEST(CoordinationState, CorruptedBytesAreRefusedOrDecodeToAState) {
  RandomSource random(14);
  std::size_t refused = 0;
  constexpr int rounds = 20'000;
  for (int round = 0; round < rounds; ++round) {
    std::string bytes = random.chance(0.5) ? encode(random_state(random)) : "\x01" + random_text(random);
    if (!bytes.empty()) bytes[random.below(bytes.size())] = static_cast<char>(random.next());
    const std::optional<State> state = decode(bytes);
    if (!state) ++refused;
    if (state) CHECK_WHERE(decode(encode(*state)) == state, numbered("round ", round));
  }
  CHECK_TRUE(refused > rounds / 4);
}

TEST(CoordinationState, GroupOfAKey) {
  CHECK_TRUE(group_of("g1.2d") == "g1.");
  CHECK_TRUE(group_of("g1.2.3") == "g1.");
  CHECK_TRUE(group_of("g1.") == "g1.");
  CHECK_FALSE(group_of("g1").has_value());
  CHECK_FALSE(group_of(".a").has_value());
  CHECK_FALSE(group_of("").has_value());
}
