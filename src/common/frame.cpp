#include "common/frame.hpp"

#include <cstring>

namespace chutevane::common::frame {
namespace {

constexpr std::size_t size_offset = 0, kind_offset = 4, type_offset = 5, number_offset = 6;

}  // namespace

void append(net::Buffer& out, std::uint8_t kind, MessageType type, std::uint64_t number,
            std::string_view record) {
  char header[header_size];
  const auto size = static_cast<std::uint32_t>(record.size());
  std::memcpy(header + size_offset, &size, sizeof size);
  header[kind_offset] = static_cast<char>(kind);
  header[type_offset] = static_cast<char>(type);
  std::memcpy(header + number_offset, &number, sizeof number);
  out.append({header, header_size});
  out.append(record);
}

ParseResult parse_header(std::span<const char> bytes, Header& header) {
  if (bytes.size() < header_size) return ParseResult::incomplete;
  std::memcpy(&header.size, bytes.data() + size_offset, sizeof header.size);
  header.kind = static_cast<std::uint8_t>(bytes[kind_offset]);
  header.type = static_cast<MessageType>(bytes[type_offset]);
  std::memcpy(&header.number, bytes.data() + number_offset, sizeof header.number);
  if (header.size > max_record_size || header.type > MessageType::reply) return ParseResult::malformed;
  return bytes.size() < header_size + header.size ? ParseResult::incomplete : ParseResult::complete;
}

net::OwnedBytes take_record(net::Buffer& received, const Header& header) {
  const std::string_view record(received.bytes().data() + header_size, header.size);
  return net::OwnedBytes::take_front(received, header_size + header.size, record);
}

}  // namespace chutevane::common::frame
