// What both HTTP targets hold: a message fed in pieces gives what it gives when fed at once, views lie within
// the bytes, and bounds are kept.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "http/parser.hpp"

namespace chutevane::fuzz {

inline void must(bool holds) {
  if (!holds) std::abort();
}

struct Read {
  http::Progress progress = http::Progress::more;
  std::string text;
  std::size_t size = 0;
};

inline Read read(http::Side side, const std::string& bytes, const std::vector<std::size_t>& cuts) {
  std::string room = bytes;  // a chunked body is put together in place
  http::Parser parser(side, {.head = 512, .body = 1024, .fields = 10});
  Read out;
  std::size_t upto = 0;
  for (std::size_t i = 0; i <= cuts.size() && out.progress == http::Progress::more; ++i) {
    upto = i == cuts.size() ? room.size() : std::max(upto, std::min(cuts[i], room.size()));
    if (upto > 0) out.progress = parser.feed({room.data(), upto});
  }
  if (out.progress == http::Progress::more && side == http::Side::response)
    out.progress = parser.ended({room.data(), room.size()});
  if (out.progress != http::Progress::complete) {
    if (out.progress == http::Progress::failed)
      must(parser.status_of_error() >= 400 && !parser.error().empty());
    return out;
  }
  out.size = parser.size();
  must(out.size <= room.size());
  must(parser.body().size() <= 1024 && parser.fields() <= 10);
  out.text = std::string(parser.method()) + "|" + std::string(parser.target()) + "|" +
             std::to_string(parser.status()) + "|" + (parser.keep_alive() ? "k" : "c");
  for (std::size_t i = 0; i < parser.fields(); ++i) {
    const http::Field f = parser.field(i);
    must(f.name.find_first_of("\r\n: \t") == std::string_view::npos && !f.name.empty());
    must(f.value.find_first_of("\r\n") == std::string_view::npos);
    out.text += "|" + std::string(f.name) + ":" + std::string(f.value);
  }
  out.text += "|" + std::string(parser.body());
  return out;
}

// The body in pieces, from the head on, for a message that is whole.
inline std::string pieces(http::Side side, const std::string& bytes, std::size_t cut) {
  http::Parser parser(side, {.head = 512, .body = 1024, .fields = 10});
  std::string held, head, out;
  http::Progress p = http::Progress::more;
  bool detached = false;
  for (std::size_t at = 0; at < bytes.size() && p == http::Progress::more; at += cut) {
    held += bytes.substr(at, cut);
    if (!detached) {
      p = parser.feed({held.data(), held.size()});
      if (!parser.head_done()) continue;
      detached = true;
      out = parser.body();
      head = held.substr(0, parser.head_size());
      held.erase(0, parser.size());
      parser.detach(head.data());
    }
    for (std::size_t taken = 1; p == http::Progress::more && taken > 0 && !held.empty();) {
      std::string_view piece;
      p = parser.more({held.data(), held.size()}, taken, piece);
      out += piece;
      held.erase(0, taken);
    }
  }
  must(p != http::Progress::failed);
  return out;
}

// The first byte says where the rest is cut.
inline int http_target(http::Side side, const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string bytes(reinterpret_cast<const char*>(data + 1), size - 1);
  const Read whole = read(side, bytes, {});
  std::vector<std::size_t> cuts;
  if (data[0] == 0) {
    for (std::size_t i = 1; i < bytes.size(); ++i) cuts.push_back(i);
  } else {
    for (std::size_t i = data[0]; i < bytes.size(); i += data[0]) cuts.push_back(i);
  }
  const Read parts = read(side, bytes, cuts);
  must(whole.progress == parts.progress);
  must(whole.text == parts.text && whole.size == parts.size);
  if (whole.progress == http::Progress::complete)
    must(whole.text.ends_with("|" + pieces(side, bytes, std::max<std::size_t>(1, data[0]))));
  return 0;
}

}  // namespace chutevane::fuzz
