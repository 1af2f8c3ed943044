/// Delta encoding of byte strings: a difference builds a target from a base by copying ranges of the base and
/// adding literal bytes. No I/O, no state. A difference does not identify its base: the caller must verify a
/// hash of the result, as common/value_update.hpp does.
///
/// A difference is a sequence of operations. Each begins with a variable-length integer (7 bits per byte, the
/// lowest first): length * 2, plus 1 for a copy. A copy continues with a signed offset into the base
/// (zigzag), relative to the end of the previous copy; a literal continues with its bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::common {

/// Returns the difference that builds `target` from `base`. Time and memory are linear in the sizes of both;
/// the result is at most a few bytes longer than `target`. The algorithm follows Bentley and McIlroy, "Data
/// compression with long repeated strings" (2001): blocks of the base are indexed by hash, the target is
/// searched for them at each byte, and matches are extended. After 1 MiB without a match the rest is encoded
/// as a literal.
std::string difference(std::string_view base, std::string_view target);

/// Returns the target that the difference builds from `base`, or std::nullopt if the difference is malformed,
/// reaches outside the base, or builds more than `max_bytes` bytes.
std::optional<std::string> apply_difference(std::string_view base, std::string_view difference,
                                            std::size_t max_bytes);

/// Returns the 64-bit XXH3 hash of the bytes. It detects errors but not deliberate changes.
std::uint64_t content_hash(std::string_view bytes);

}  // namespace chutevane::common
