#include "sidecar/body_pipe.hpp"

#include <array>
#include <charconv>

#include "sidecar/connection_limits.hpp"

namespace chutevane::sidecar {

http::Progress receive_body(http::Parser& parser, net::Buffer& bytes, BodyPipe* into) {
  http::Progress progress = http::Progress::more;
  std::size_t taken = 0;
  do {
    std::string_view piece;
    progress = parser.more(bytes.bytes(), taken, piece);
    if (!piece.empty() && into != nullptr) into->append(piece);
    bytes.consume(taken);
  } while (progress == http::Progress::more && taken > 0 && !bytes.empty());
  return progress;
}

http::Progress BodyPipe::receive(http::Parser& parser, net::Buffer& bytes) {
  const http::Progress progress = receive_body(parser, bytes, this);
  if (progress == http::Progress::complete) finish();
  return progress;
}

BodyPipe::Piece BodyPipe::write_piece(net::Buffer& out, bool chunked) {
  const std::string_view all = readable(), piece = all.substr(0, max_piece_bytes);
  // The end goes out together with the last piece, never alone behind it: an endpoint may answer as soon as
  // it has the whole body, and an answer before the request's end counts as none.
  const bool is_last = finished_ && piece.size() == all.size();
  if (piece.empty() && !is_last) return Piece::none;
  if (chunked && !piece.empty()) {
    std::array<char, 20> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16).ptr;
    out.append({digits.data(), static_cast<std::size_t>(end - digits.data())});
    out.append("\r\n");
  }
  out.append(piece);
  if (chunked && !piece.empty()) out.append("\r\n");
  if (chunked && is_last) out.append("0\r\n\r\n");
  consume(piece.size());
  return is_last ? Piece::last : Piece::more;
}

std::size_t max_buffered_body(const net::BufferBudget& buffer_budget, bool length_is_stated) {
  constexpr std::size_t usual = 64 * 1024, length_unknown = 8 * 1024, memory_tight = 8 * 1024;
  if (buffer_budget.tight()) return memory_tight;
  return length_is_stated ? usual : length_unknown;
}

bool exceeds_buffer(const http::Parser& parser, std::size_t max_buffered) {
  return parser.length() ? *parser.length() > max_buffered : parser.body().size() > max_buffered;
}

}  // namespace chutevane::sidecar
