#include "common/value_difference.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>
#include <vector>

namespace chutevane::common {
namespace {

constexpr std::size_t block_size = 32;            // bytes: a shorter match costs about what it saves
constexpr std::size_t searched_most = 1U << 20U;  // bytes without a match: some ten milliseconds

// ---- the encoding

void put_integer(std::string& out, std::uint64_t value) {
  while (value >= 0x80U) {
    out.push_back(static_cast<char>((value & 0x7fU) | 0x80U));
    value >>= 7U;
  }
  out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> take_integer(std::string_view& in) {
  std::uint64_t out = 0;
  for (unsigned shift = 0; shift < 64 && !in.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    out |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
    if (byte < 0x80U) return out;
  }
  return std::nullopt;
}

std::uint64_t zigzag(std::int64_t value) {
  return (static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63U);
}

std::int64_t from_zigzag(std::uint64_t value) {
  return static_cast<std::int64_t>(value >> 1U) ^ -static_cast<std::int64_t>(value & 1U);
}

// Writes operations, and keeps the base offset behind the last copy.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  void literal(std::string_view bytes) {
    if (bytes.empty()) return;
    put_integer(out_, static_cast<std::uint64_t>(bytes.size()) << 1U);
    out_.append(bytes);
  }
  void copy(std::size_t offset, std::size_t length) {
    put_integer(out_, (static_cast<std::uint64_t>(length) << 1U) | 1U);
    put_integer(out_, zigzag(static_cast<std::int64_t>(offset) - static_cast<std::int64_t>(copied_end_)));
    copied_end_ = offset + length;
  }
  std::size_t copied_end() const { return copied_end_; }

 private:
  std::string& out_;
  std::size_t copied_end_ = 0;
};

// ---- the search

constexpr std::uint64_t power_of(std::uint64_t base, std::size_t exponent) {
  std::uint64_t out = 1;
  for (std::size_t i = 0; i < exponent; ++i) out *= base;
  return out;
}

// The polynomial hash of the last block_size bytes, moved on byte by byte.
class RollingHash {
 public:
  explicit RollingHash(const char* block) {
    for (std::size_t i = 0; i < block_size; ++i) hash_ = hash_ * factor + byte(block[i]);
  }
  void move(char leaving, char entering) {
    hash_ = (hash_ - byte(leaving) * highest_power) * factor + byte(entering);
  }
  std::uint64_t value() const { return hash_; }

 private:
  static constexpr std::uint64_t factor = 0x9e3779b97f4a7c15ULL;
  static constexpr std::uint64_t byte(char c) { return static_cast<unsigned char>(c) + 1ULL; }
  static constexpr std::uint64_t highest_power = power_of(factor, block_size - 1);
  std::uint64_t hash_ = 0;
};

// The blocks of the base by hash, the first of equals. A place in the table holds one block: what falls on a
// place that is taken is left out, so that each look takes one step.
class BlockIndex {
 public:
  explicit BlockIndex(std::string_view base) : base_(base) {
    const std::size_t blocks = base.size() / block_size;
    places_.assign(std::bit_ceil(std::max<std::size_t>(blocks * 2, 2)), none);
    shift_ = 64U - static_cast<unsigned>(std::countr_zero(places_.size()));
    for (std::size_t block = 0; block < blocks; ++block) {
      const std::size_t offset = block * block_size;
      std::uint32_t& place = places_[place_of(RollingHash(base.data() + offset).value())];
      if (place == none) place = static_cast<std::uint32_t>(block);
    }
  }
  // The offset of a block with these bytes, where one is indexed.
  std::optional<std::size_t> find(std::uint64_t hash, const char* bytes) const {
    const std::uint32_t block = places_[place_of(hash)];
    if (block == none) return std::nullopt;
    const std::size_t offset = block * block_size;
    if (std::memcmp(base_.data() + offset, bytes, block_size) != 0) return std::nullopt;
    return offset;
  }

 private:
  static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();
  std::size_t place_of(std::uint64_t hash) const { return (hash * 0xff51afd7ed558ccdULL) >> shift_; }
  const std::string_view base_;
  std::vector<std::uint32_t> places_;
  unsigned shift_ = 0;
};

std::size_t common_prefix(std::string_view a, std::string_view b) {
  const std::size_t most = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(most), b.begin()).first - a.begin());
}

std::size_t common_suffix(std::string_view a, std::string_view b) {
  const std::size_t most = std::min(a.size(), b.size());
  std::size_t out = 0;
  while (out < most && a[a.size() - 1 - out] == b[b.size() - 1 - out]) ++out;
  return out;
}

}  // namespace

std::string difference(std::string_view base, std::string_view target) {
  std::string out;
  Writer writer(out);
  // Most changes leave what is before them alone: no search for that part.
  std::size_t done = common_prefix(base, target);  // of the target, bytes that are written
  if (done > 0) writer.copy(0, done);
  if (target.size() - done < block_size || base.size() < block_size) {
    writer.literal(target.substr(done));
    return out;
  }
  const BlockIndex index(base);
  std::size_t at = done, searched = 0;
  RollingHash hash(target.data() + at);
  while (true) {
    // Where the last copy would have gone on, had as many bytes been replaced as are passed over now: tried
    // first, since of equal blocks the index knows one alone.
    const std::size_t aligned = writer.copied_end() + (at - done);
    std::optional<std::size_t> match;
    if (aligned + block_size <= base.size() &&
        std::memcmp(base.data() + aligned, target.data() + at, block_size) == 0)
      match = aligned;
    if (!match) match = index.find(hash.value(), target.data() + at);
    if (match) {
      const std::size_t before = common_suffix(base.substr(0, *match), target.substr(done, at - done));
      const std::size_t length = before + common_prefix(base.substr(*match), target.substr(at));
      writer.literal(target.substr(done, at - before - done));
      writer.copy(*match - before, length);
      at = done = at - before + length;
      if (target.size() - at < block_size) break;
      hash = RollingHash(target.data() + at);
      continue;
    }
    if (target.size() - at <= block_size || ++searched > searched_most) break;
    hash.move(target[at], target[at + block_size]);
    ++at;
  }
  writer.literal(target.substr(done));
  return out;
}

std::optional<std::string> apply_difference(std::string_view base, std::string_view difference,
                                            std::size_t most) {
  std::string out;
  std::uint64_t copied_end = 0;
  while (!difference.empty()) {
    const std::optional<std::uint64_t> head = take_integer(difference);
    if (!head) return std::nullopt;
    const std::uint64_t length = *head >> 1U;
    if (length == 0 || length > most - out.size()) return std::nullopt;
    if ((*head & 1U) == 0) {
      if (length > difference.size()) return std::nullopt;
      out.append(difference.substr(0, length));
      difference.remove_prefix(length);
      continue;
    }
    const std::optional<std::uint64_t> moved = take_integer(difference);
    if (!moved) return std::nullopt;
    const std::uint64_t offset = copied_end + static_cast<std::uint64_t>(from_zigzag(*moved));
    if (offset > base.size() || length > base.size() - offset) return std::nullopt;
    out.append(base.substr(offset, length));
    copied_end = offset + length;
  }
  return out;
}

std::uint64_t content_hash(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace chutevane::common
