#include "sidecar/pipe.hpp"

#include <array>
#include <charconv>

namespace chutevane::sidecar {
namespace {

constexpr std::size_t piece_most = 16 * 1024;  // bytes of a body at a time

}  // namespace

http::Progress read_on(http::Parser& parser, net::Buffer& bytes, Pipe* into) {
  http::Progress progress = http::Progress::more;
  std::size_t taken = 0;
  do {
    std::string_view piece;
    progress = parser.more(bytes.bytes(), taken, piece);
    if (!piece.empty() && into != nullptr) into->put(piece);
    bytes.consume(taken);
  } while (progress == http::Progress::more && taken > 0 && !bytes.empty());
  return progress;
}

http::Progress Pipe::take_in(http::Parser& parser, net::Buffer& bytes) {
  const http::Progress progress = read_on(parser, bytes, this);
  if (progress == http::Progress::complete) end();
  return progress;
}

bool Pipe::give_out(net::Buffer& out, bool chunked, bool& last) {
  const std::string_view all = ready(), piece = all.substr(0, piece_most);
  // With the last piece goes the end. Guards rule 2: an endpoint may answer as soon as it has that.
  last = ended_ && piece.size() == all.size();
  if (piece.empty() && !last) return false;
  if (chunked && !piece.empty()) {
    std::array<char, 20> room;
    const auto end = std::to_chars(room.data(), room.data() + room.size(), piece.size(), 16).ptr;
    out.append({room.data(), static_cast<std::size_t>(end - room.data())});
    out.append("\r\n");
  }
  out.append(piece);
  if (chunked && !piece.empty()) out.append("\r\n");
  if (chunked && last) out.append("0\r\n\r\n");
  took(piece.size());
  return true;
}

}  // namespace chutevane::sidecar
