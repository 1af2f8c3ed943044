/// Framing of records in append-only files. No I/O.
///
/// A frame is a header of 16 bytes and the payload; integers are in the byte order of the machine, which is
/// little-endian on all that we run on:
///
///   offset  bytes  field
///        0      8  size of the payload
///        8      8  checksum: XXH3, 64 bits, of the payload, seeded with salt ^ size
///       16   size  payload
///
/// The salt is agreed between writer and reader. It binds a frame to the file that it was written for: a
/// frame that is left over from an earlier use of a file, with another salt, fails its checksum.
/// docs/storage-format.md has the files and their salts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::common {

constexpr std::size_t frame_header_bytes = 16;
/// Of a payload: a size above it ends parsing like a checksum that is wrong.
constexpr std::size_t max_record_bytes = std::size_t{64} << 20U;

/// `record` as one frame.
std::string frame_record(std::string_view record, std::uint64_t salt);

/// The intact beginning of a file of frames.
struct ParsedFrames {
  std::vector<std::string> records;
  std::size_t valid_size = 0;  ///< bytes; whatever stands behind is torn, damaged or of another salt
};

/// Stops at the first frame that is incomplete or fails its checksum: nothing behind a damaged frame is read,
/// because its size, and with it the place of the next one, is not known.
ParsedFrames parse_frames(std::string_view file, std::uint64_t salt);

}  // namespace chutevane::common
