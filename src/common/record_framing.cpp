/// Writing and parsing of frames. The header file describes the layout.
#include "common/record_framing.hpp"

#include <xxhash.h>

#include <cstring>

namespace chutevane::common {
namespace {

std::uint64_t checksum(std::string_view record, std::uint64_t salt) {
  return XXH3_64bits_withSeed(record.data(), record.size(), salt ^ record.size());
}

}  // namespace

std::string frame_record(std::string_view record, std::uint64_t salt) {
  std::string out(frame_header_bytes, '\0');
  const std::uint64_t size = record.size();
  const std::uint64_t check = checksum(record, salt);
  std::memcpy(out.data(), &size, sizeof size);
  std::memcpy(out.data() + sizeof size, &check, sizeof check);
  out.append(record);
  return out;
}

ParsedFrames parse_frames(std::string_view file, std::uint64_t salt) {
  ParsedFrames out;
  while (file.size() - out.valid_size >= frame_header_bytes) {
    std::uint64_t size = 0;
    std::uint64_t check = 0;
    std::memcpy(&size, file.data() + out.valid_size, sizeof size);
    std::memcpy(&check, file.data() + out.valid_size + sizeof size, sizeof check);
    if (size > max_record_bytes || file.size() - out.valid_size - frame_header_bytes < size) break;
    const std::string_view record = file.substr(out.valid_size + frame_header_bytes, size);
    if (checksum(record, salt) != check) break;
    out.records.emplace_back(record);
    out.valid_size += frame_header_bytes + size;
  }
  return out;
}

}  // namespace chutevane::common
