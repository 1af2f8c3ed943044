/// Framing of records in append-only files. No I/O.
///
/// A frame is a header of 16 bytes and the payload. Integers are in the machine's byte order, which is
/// little-endian on all supported machines:
///
///   offset  bytes  field
///        0      8  size of the payload
///        8      8  checksum: XXH3, 64 bits, of the payload, seeded with salt ^ size
///       16   size  payload
///
/// Writer and reader agree on the salt. It binds a frame to the file that it was written for: a frame that is
/// left over from an earlier use of the file, with another salt, fails its checksum. docs/storage-format.md
/// lists the files and their salts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::common {

constexpr std::size_t frame_header_bytes = 16;
/// Maximum size of a payload. A larger size in a header ends parsing, like a wrong checksum.
constexpr std::size_t max_record_bytes = std::size_t{64} << 20U;

/// Returns `record` as one frame.
std::string frame_record(std::string_view record, std::uint64_t salt);

/// The valid prefix of a file of frames.
struct ParsedFrames {
  std::vector<std::string> records;
  std::size_t valid_size = 0;  ///< size in bytes; what follows is torn, damaged or has another salt
};

/// Parses frames up to the first one that is incomplete or fails its checksum. Nothing after a damaged frame
/// is read, because its size, and thus the position of the next frame, is unknown.
ParsedFrames parse_frames(std::string_view file, std::uint64_t salt);

}  // namespace chutevane::common
