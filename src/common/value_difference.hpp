/// Delta encoding of byte strings: what makes a target out of a base, as copies of ranges and literal bytes.
/// No I/O, no state. A difference does not identify its base: whoever applies one verifies a hash of the
/// result (common/value_update.hpp does).
///
/// A difference is a sequence of operations. Each begins with a variable-length integer (7 bits a byte, the
/// lowest first): length * 2, plus 1 for a copy. In a copy there follows a signed offset into the base
/// (zigzag), relative to the end of the copy before; in a literal there follow its bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::common {

/// The difference that makes `target` out of `base`. Time and memory are linear in the sizes of both; the
/// result is at most a few bytes longer than `target`. After Bentley and McIlroy, "Data compression with long
/// repeated strings" (2001): blocks of the base are indexed by hash, the target is searched at each byte,
/// matches are extended. The search ends after 1 MiB without a match: what is left is literal then.
std::string difference(std::string_view base, std::string_view target);

/// What the difference makes of `base`. Nothing: the difference is malformed, reaches outside the base, or
/// makes more than `max_bytes` bytes.
std::optional<std::string> apply_difference(std::string_view base, std::string_view difference,
                                            std::size_t max_bytes);

/// XXH3 of all bytes, 64 bits: detects mistakes, not forgery.
std::uint64_t content_hash(std::string_view bytes);

}  // namespace chutevane::common
