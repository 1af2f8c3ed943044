// Differences of byte strings: applying a difference to its base yields the target for all kinds of edits. A
// malformed difference, or another base, yields nothing or a result that its hash distinguishes from the
// target.
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

constexpr std::size_t max_result_bytes = 64U << 20U;

std::string noise(RandomSource& random, std::size_t size) {
  std::string out(size, '\0');
  for (char& c : out) c = static_cast<char>(random.next());
  return out;
}

// Returns text like that of a configuration: repetitive, but with small differences.
std::string routes(std::size_t size) {
  std::string out = "{\"routes\":[";
  for (std::size_t i = 0; out.size() < size; ++i)
    out += "{\"name\":\"route-" + std::to_string(i) + "\",\"path\":\"/v1/r" + std::to_string(i) +
           "\",\"timeoutMs\":1500,\"split\":[{\"service\":\"s" + std::to_string(i % 7) +
           "\",\"weight\":1.0}]},";
  return out;
}

// Replaces, inserts, removes and moves random ranges of `text`.
std::string edited(RandomSource& random, std::string text) {
  const std::size_t edits = 1 + random.below(6);
  for (std::size_t i = 0; i < edits; ++i) {
    const std::size_t at = random.below(text.size() + 1), length = random.below(200);
    switch (random.below(4)) {
      case 0: text.insert(at, noise(random, length)); break;
      case 1: text.erase(at, length); break;
      case 2: text.replace(at, std::min(length, text.size() - at), noise(random, length)); break;
      default: {
        const std::string moved = text.substr(at, length * 10);
        text.erase(at, moved.size());
        text.insert(random.below(text.size() + 1), moved);
      }
    }
  }
  return text;
}

void check_round_trip(const std::string& base, const std::string& target, const std::string& where) {
  const std::string made = difference(base, target);
  const auto got = apply_difference(base, made, max_result_bytes);
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
    RandomSource random(seed);
    const std::size_t size = random.below(8000);
    const std::string base = random.chance(0.5) ? routes(size) : noise(random, size);
    check_round_trip(base, edited(random, base), numbered("seed ", static_cast<long long>(seed)));
  }
}

// Changes one field in texts of 1 KB to 8 MB: the size of the difference does not grow with the text.
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

// Moved ranges are encoded as copies, not as literals.
TEST(ValueDifference, MovedHalvesAreCopied) {
  RandomSource random(1);
  const std::string a = noise(random, 100000), b = noise(random, 100000);
  check_round_trip(a + b, b + a, "halves");
  CHECK_TRUE(difference(a + b, b + a).size() < 100);
}

// Guards against quadratic time on repetitive texts, where each step of the search finds a match.
TEST(ValueDifference, OneByteRepeated) {
  const std::string base(2U << 20U, 'a');
  check_round_trip(base, base + "b" + base.substr(7), "repeated");
  std::string periods;
  for (int i = 0; i < 40000; ++i) periods += i % 50 == 0 ? "abcdefgh" : "abcdefgi";
  check_round_trip(periods, periods.substr(3) + periods, "periods");
}

// The search ends after a long range without a match, and the rest is a literal.
TEST(ValueDifference, LargeAndNewRoundTrips) {
  RandomSource random(5);
  const std::string base = noise(random, 3U << 20U);
  check_round_trip(base, noise(random, 3U << 20U) + base, "new and long");
}

TEST(ValueDifference, CutAtEveryByteIsNeverTheTarget) {
  const std::string base = routes(3000);
  RandomSource random(3);
  const std::string target = edited(random, edited(random, base));
  const std::string made = difference(base, target);
  for (std::size_t size = 0; size < made.size(); ++size) {
    const auto got = apply_difference(base, std::string_view(made).substr(0, size), max_result_bytes);
    CHECK_WHERE(!got || *got != target, numbered("cut at ", static_cast<long long>(size)));
  }
}

// Random differences never exceed the size limit and never read outside the base.
TEST(ValueDifference, RandomDifferencesAreBounded) {
  const std::string base = routes(2000);
  for (std::uint64_t seed = 0; seed < 20000; ++seed) {
    RandomSource random(seed);
    const auto got = apply_difference(base, noise(random, random.below(60)), 5000);
    CHECK_TRUE(!got || got->size() <= 5000);
  }
  // An empty copy, one after the base, one before it, a length that overflows, and a literal that ends early.
  for (const std::string& bad :
       {std::string("\x01\x00", 2), std::string("\x03\x7e", 2) + "x", std::string("\x03\x01", 2),
        std::string(9, '\xff') + "\x01", std::string("\x08\x61", 2)}) {
    CHECK_FALSE(apply_difference("ab", bad, max_result_bytes).has_value());
  }
}

// Shows why callers must verify the hash: applied to another base of the same size, a difference often
// succeeds.
TEST(ValueDifference, AnotherBaseYieldsAnotherHash) {
  std::size_t applied = 0;
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    RandomSource random(seed);
    const std::string base = routes(2000);
    const std::string target = edited(random, base);
    std::string other = base;
    other[random.below(other.size())] ^= 1;
    const auto got = apply_difference(other, difference(base, target), max_result_bytes);
    if (!got || *got == target) continue;  // the changed byte is not copied to the target
    ++applied;
    CHECK_TRUE(content_hash(*got) != content_hash(target));
  }
  CHECK_TRUE(applied > 300);
}
