// Differences of byte strings: what comes back is the target, whatever the edits; what is malformed or rests
// on another base makes nothing, or something that the hash tells from the target.
#include "common/value_difference.hpp"

#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::common::apply_difference;
using chutevane::common::content_hash;
using chutevane::common::difference;
using chutevane::simulated::RandomSource;

namespace {

constexpr std::size_t most = 64U << 20U;  // bytes

std::string noise(RandomSource& luck, std::size_t size) {
  std::string out(size, '\0');
  for (char& c : out) c = static_cast<char>(luck.next());
  return out;
}

// Text as a configuration has it: much alike, and never quite.
std::string routes(std::size_t size) {
  std::string out = "{\"routes\":[";
  for (std::size_t i = 0; out.size() < size; ++i)
    out += "{\"name\":\"route-" + std::to_string(i) + "\",\"path\":\"/v1/r" + std::to_string(i) +
           "\",\"timeoutMs\":1500,\"split\":[{\"service\":\"s" + std::to_string(i % 7) +
           "\",\"weight\":1.0}]},";
  return out;
}

// Replaces, inserts, removes and moves ranges.
std::string edited(RandomSource& luck, std::string text) {
  const std::size_t edits = 1 + luck.below(6);
  for (std::size_t i = 0; i < edits; ++i) {
    const std::size_t at = luck.below(text.size() + 1), length = luck.below(200);
    switch (luck.below(4)) {
      case 0: text.insert(at, noise(luck, length)); break;
      case 1: text.erase(at, length); break;
      case 2: text.replace(at, std::min(length, text.size() - at), noise(luck, length)); break;
      default: {
        const std::string moved = text.substr(at, length * 10);
        text.erase(at, moved.size());
        text.insert(luck.below(text.size() + 1), moved);
      }
    }
  }
  return text;
}

void check_round_trip(const std::string& base, const std::string& target, const std::string& where) {
  const std::string made = difference(base, target);
  const auto got = apply_difference(base, made, most);
  CHECK_WHERE(got.has_value(), where);
  CHECK_WHERE(*got == target, where);
  CHECK_WHERE(made.size() <= target.size() + 16, where);
}

}  // namespace

TEST_GROUP(ValueDifference){};

TEST(ValueDifference, SmallestTexts) {
  const std::vector<std::string> bases = {"", "a", "abc"}, targets = {"", "a", "abc", "abd", "xyz"};
  for (const std::string& base : bases) {
    for (const std::string& target : targets) check_round_trip(base, target, base + target);
  }
}

TEST(ValueDifference, RandomEditsRoundTrip) {
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    RandomSource luck(seed);
    const std::size_t size = luck.below(8000);
    const std::string base = luck.chance(0.5) ? routes(size) : noise(luck, size);
    check_round_trip(base, edited(luck, base), numbered("seed ", static_cast<long long>(seed)));
  }
}

// From 1 KB to 8 MB, one field changed: the difference does not grow with the whole.
TEST(ValueDifference, OneFieldCostsAFewBytesAtEachSize) {
  for (std::size_t size = 1024; size <= (8U << 20U); size *= 8) {
    const std::string base = routes(size);
    std::string target = base;
    const std::size_t at = target.find("1500", target.size() / 2);
    if (at == std::string::npos) continue;
    target.replace(at, 4, "25000");
    check_round_trip(base, target, numbered("size ", static_cast<long long>(size)));
    CHECK_TRUE(difference(base, target).size() < 256);
  }
}

// Ranges that moved are copied, not sent.
TEST(ValueDifference, MovedHalvesAreCopied) {
  RandomSource luck(1);
  const std::string a = noise(luck, 100000), b = noise(luck, 100000);
  check_round_trip(a + b, b + a, "halves");
  CHECK_TRUE(difference(a + b, b + a).size() < 100);
}

// Alike everywhere: each step of the search finds a match, and none is gone over twice.
TEST(ValueDifference, OneByteRepeated) {
  const std::string base(2U << 20U, 'a');
  check_round_trip(base, base + "b" + base.substr(7), "repeated");
  std::string periods;
  for (int i = 0; i < 40000; ++i) periods += i % 50 == 0 ? "abcdefgh" : "abcdefgi";
  check_round_trip(periods, periods.substr(3) + periods, "periods");
}

// The search gives up on what is new altogether, and what comes behind is literal.
TEST(ValueDifference, LargeAndNewRoundTrips) {
  RandomSource luck(5);
  const std::string base = noise(luck, 3U << 20U);
  check_round_trip(base, noise(luck, 3U << 20U) + base, "new and long");
}

TEST(ValueDifference, CutAtEveryByteIsNeverTheTarget) {
  const std::string base = routes(3000);
  RandomSource luck(3);
  const std::string target = edited(luck, edited(luck, base));
  const std::string made = difference(base, target);
  for (std::size_t size = 0; size < made.size(); ++size) {
    const auto got = apply_difference(base, std::string_view(made).substr(0, size), most);
    CHECK_WHERE(!got || *got != target, numbered("cut at ", static_cast<long long>(size)));
  }
}

// What noise makes is bounded, and lies within the base.
TEST(ValueDifference, NoiseIsBounded) {
  const std::string base = routes(2000);
  for (std::uint64_t seed = 0; seed < 20000; ++seed) {
    RandomSource luck(seed);
    const auto got = apply_difference(base, noise(luck, luck.below(60)), 5000);
    CHECK_TRUE(!got || got->size() <= 5000);
  }
  // A copy of nothing, one behind the base, one before it, and a length that overflows.
  for (const std::string& bad :
       {std::string("\x01\x00", 2), std::string("\x03\x7e", 2) + "x", std::string("\x03\x01", 2),
        std::string(9, '\xff') + "\x01", std::string("\x08\x61", 2)}) {
    CHECK_FALSE(apply_difference("ab", bad, most).has_value());
  }
}

// Guards the hash check of those who apply: on another base of the same size a difference often makes
// something.
TEST(ValueDifference, AnotherBaseMakesAnotherHash) {
  std::size_t made_something = 0;
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    RandomSource luck(seed);
    const std::string base = routes(2000);
    const std::string target = edited(luck, base);
    std::string other = base;
    other[luck.below(other.size())] ^= 1;
    const auto got = apply_difference(other, difference(base, target), most);
    if (!got || *got == target) continue;  // the byte is not in the target
    ++made_something;
    CHECK_TRUE(content_hash(*got) != content_hash(target));
  }
  CHECK_TRUE(made_something > 300);
}
