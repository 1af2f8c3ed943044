/// The framing of messages between the system's own processes.
///
/// A frame is a header of `header_size` bytes followed by one Avro record, all integers little-endian:
///
///     offset  bytes  content
///          0      4  size of the record in bytes, at most `max_record_size`
///          4      1  kind of the record (`kind` in common/messages.hpp)
///          5      1  message type (MessageType)
///          6      8  call number: chosen by the caller, repeated in the reply; 0 in a notification
///         14   size  the record
///
/// Nothing here does I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "net/buffer.hpp"
#include "net/owned_bytes.hpp"

namespace chutevane::common::frame {

/// The values are part of the wire format and must not change.
enum class MessageType : std::uint8_t {
  notification = 0,  ///< expects no reply
  request = 1,
  reply = 2,
};

struct Header {
  std::uint32_t size = 0;  ///< size in bytes of the record that follows
  std::uint8_t kind = 0;   ///< kind of the record
  MessageType type = MessageType::notification;
  std::uint64_t number = 0;  ///< call number; 0 in a notification
};

constexpr std::size_t header_size = 14;  ///< bytes
constexpr std::uint32_t max_record_size =
    std::uint32_t{64} << 20U;  ///< bytes; leaves ample room for configurations of up to 4 MB

/// Appends one whole frame to `out`.
void append(net::Buffer& out, std::uint8_t kind, MessageType type, std::uint64_t number,
            std::string_view record);

enum class ParseResult : std::uint8_t {
  incomplete,  ///< more bytes are needed
  complete,    ///< header and record are complete
  malformed,   ///< not a valid frame: the connection must be closed
};

/// Parses the header of the frame at the beginning of `bytes`. If the result is `complete`, the record begins
/// at `bytes` + header_size.
[[nodiscard]] ParseResult parse_header(std::span<const char> bytes, Header& header);

/// Takes the complete frame with that header from the front of `received`, and returns its record.
net::OwnedBytes take_record(net::Buffer& received, const Header& header);

}  // namespace chutevane::common::frame
