#include "common/value_difference.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>
#include <vector>

namespace chutevane::common {
namespace {

constexpr std::size_t block_size = 32;                  // bytes; a copy of a shorter match would save little
constexpr std::size_t max_unmatched_bytes = 1U << 20U;  // ends the search after some ten milliseconds

// ---- Encoding

void put_integer(std::string& out, std::uint64_t value) {
  while (value >= 0x80U) {
    out.push_back(static_cast<char>((value & 0x7fU) | 0x80U));
    value >>= 7U;
  }
  out.push_back(static_cast<char>(value));
}

/// Removes an integer from the beginning of `in`. Returns std::nullopt if there is no valid one.
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

/// Writes the operations of a difference.
class OperationWriter {
 public:
  explicit OperationWriter(std::string& out) : out_(out) {}
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
  /// Returns the offset in the base where the last copy ended.
  std::size_t copied_end() const { return copied_end_; }

 private:
  std::string& out_;
  std::size_t copied_end_ = 0;
};

// ---- Search

constexpr std::uint64_t power_of(std::uint64_t base, std::size_t exponent) {
  std::uint64_t out = 1;
  for (std::size_t i = 0; i < exponent; ++i) out *= base;
  return out;
}

/// The polynomial hash of a window of block_size bytes that moves forward byte by byte.
class RollingHash {
 public:
  explicit RollingHash(const char* block) {
    for (std::size_t i = 0; i < block_size; ++i) hash_ = hash_ * factor + byte(block[i]);
  }
  void move(char removed, char added) {
    hash_ = (hash_ - byte(removed) * highest_power) * factor + byte(added);
  }
  std::uint64_t value() const { return hash_; }

 private:
  static constexpr std::uint64_t factor = 0x9e3779b97f4a7c15ULL;
  static constexpr std::uint64_t byte(char c) { return static_cast<unsigned char>(c) + 1ULL; }
  static constexpr std::uint64_t highest_power = power_of(factor, block_size - 1);
  std::uint64_t hash_ = 0;
};

/// Hash table of the blocks of the base; of equal blocks it has the first. There is no probing: a block whose
/// slot is occupied is omitted, so that each lookup takes one step.
class BlockIndex {
 public:
  explicit BlockIndex(std::string_view base) : base_(base) {
    const std::size_t blocks = base.size() / block_size;
    slots_.assign(std::bit_ceil(std::max<std::size_t>(blocks * 2, 2)), empty_slot);
    shift_ = 64U - static_cast<unsigned>(std::countr_zero(slots_.size()));
    for (std::size_t block = 0; block < blocks; ++block) {
      const std::size_t offset = block * block_size;
      std::uint32_t& slot = slots_[slot_of(RollingHash(base.data() + offset).value())];
      if (slot == empty_slot) slot = static_cast<std::uint32_t>(block);
    }
  }
  /// Returns the offset of an indexed block with these bytes, or std::nullopt.
  std::optional<std::size_t> find(std::uint64_t hash, const char* bytes) const {
    const std::uint32_t block = slots_[slot_of(hash)];
    if (block == empty_slot) return std::nullopt;
    const std::size_t offset = block * block_size;
    if (std::memcmp(base_.data() + offset, bytes, block_size) != 0) return std::nullopt;
    return offset;
  }

 private:
  static constexpr std::uint32_t empty_slot = std::numeric_limits<std::uint32_t>::max();
  std::size_t slot_of(std::uint64_t hash) const { return (hash * 0xff51afd7ed558ccdULL) >> shift_; }
  const std::string_view base_;
  std::vector<std::uint32_t> slots_;
  unsigned shift_ = 0;
};

std::size_t common_prefix(std::string_view a, std::string_view b) {
  const std::size_t max_length = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(max_length), b.begin()).first -
      a.begin());
}

std::size_t common_suffix(std::string_view a, std::string_view b) {
  const std::size_t max_length = std::min(a.size(), b.size());
  std::size_t out = 0;
  while (out < max_length && a[a.size() - 1 - out] == b[b.size() - 1 - out]) ++out;
  return out;
}

/// Returns `offset` if the base has a block with these bytes there, otherwise std::nullopt.
std::optional<std::size_t> block_at(std::string_view base, std::size_t offset, const char* bytes) {
  if (offset + block_size > base.size()) return std::nullopt;
  if (std::memcmp(base.data() + offset, bytes, block_size) != 0) return std::nullopt;
  return offset;
}

}  // namespace

std::string difference(std::string_view base, std::string_view target) {
  std::string out;
  OperationWriter writer(out);
  // Most changes leave the beginning unchanged, so that part is not searched.
  std::size_t done = common_prefix(base, target);  // number of bytes of the target already written
  if (done > 0) writer.copy(0, done);
  if (target.size() - done < block_size || base.size() < block_size) {
    writer.literal(target.substr(done));
    return out;
  }
  const BlockIndex index(base);
  std::size_t at = done, unmatched = 0;
  RollingHash hash(target.data() + at);
  while (true) {
    // Of equal blocks the index has only one, so the aligned position is tried first: where the last copy
    // would continue if the bytes skipped since had replaced as many bytes of the base.
    const std::size_t aligned = writer.copied_end() + (at - done);
    std::optional<std::size_t> match = block_at(base, aligned, target.data() + at);
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
    if (target.size() - at <= block_size || ++unmatched > max_unmatched_bytes) break;
    hash.move(target[at], target[at + block_size]);
    ++at;
  }
  writer.literal(target.substr(done));
  return out;
}

std::optional<std::string> apply_difference(std::string_view base, std::string_view difference,
                                            std::size_t max_bytes) {
  std::string out;
  std::uint64_t copied_end = 0;
  while (!difference.empty()) {
    const std::optional<std::uint64_t> operation = take_integer(difference);
    if (!operation) return std::nullopt;
    const std::uint64_t length = *operation >> 1U;
    if (length == 0 || length > max_bytes - out.size()) return std::nullopt;
    if ((*operation & 1U) == 0) {  // a literal
      if (length > difference.size()) return std::nullopt;
      out.append(difference.substr(0, length));
      difference.remove_prefix(length);
      continue;
    }
    const std::optional<std::uint64_t> distance = take_integer(difference);
    if (!distance) return std::nullopt;
    const std::uint64_t offset = copied_end + static_cast<std::uint64_t>(from_zigzag(*distance));
    if (offset > base.size() || length > base.size() - offset) return std::nullopt;
    out.append(base.substr(offset, length));
    copied_end = offset + length;
  }
  return out;
}

std::uint64_t content_hash(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace chutevane::common
