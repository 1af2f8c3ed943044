#include "http/parser.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace chutevane::http {
namespace {

constexpr std::string_view scheme = "http://";
constexpr std::size_t chunk_line_most = 256;  // bytes: a size and extensions that nobody reads

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// RFC 9110 token characters.
bool token_char(char c) {
  if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')) return true;
  return c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), token_char);
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

template <class T>
bool whole_number(std::string_view text, T& out, int base = 10) {
  const char* end = text.data() + text.size();
  if (text.empty() || text.front() == '-' || text.front() == '+') return false;
  const auto got = std::from_chars(text.data(), end, out, base);
  return got.ec == std::errc() && got.ptr == end;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view list, std::string_view wanted) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (same_name(trim(list.substr(0, comma)), wanted)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

void Parser::reset(bool bodiless) {
  const Side side = side_;
  const Limits limits = limits_;
  std::vector<FieldAt> fields = std::move(fields_);
  fields.clear();
  *this = Parser(side, limits);
  fields_ = std::move(fields);  // keeps its room
  bodiless_ = bodiless;
}

Progress Parser::fail(int status, std::string_view why) {
  stage_ = Stage::failed;
  error_status_ = status;
  error_ = why;
  return Progress::failed;
}

std::optional<std::string_view> Parser::find(std::string_view name) const {
  for (const FieldAt& f : fields_) {
    if (same_name(view(f.name), name)) return view(f.value);
  }
  return std::nullopt;
}

namespace {

// The line that the bytes start with, without its end; nothing while the end has not come.
std::optional<std::string_view> line_of(std::string_view bytes, std::size_t most) {
  const std::size_t end = bytes.substr(0, most + 2).find("\r\n");
  if (end == std::string_view::npos) return std::nullopt;
  return bytes.substr(0, end);
}

}  // namespace

// One step behind the head.
Progress Parser::step(std::string_view bytes, std::size_t& taken, std::string_view& piece) {
  taken = 0;
  piece = {};
  switch (stage_) {
    case Stage::sized:
    case Stage::chunk:
      taken = std::min(bytes.size(), left_);
      piece = bytes.substr(0, taken);
      left_ -= taken;
      if (left_ == 0) stage_ = stage_ == Stage::sized ? Stage::complete : Stage::chunk_end;
      break;
    case Stage::chunk_size: {
      const auto text = line_of(bytes, chunk_line_most);
      if (!text) return bytes.size() > chunk_line_most ? fail(400, "chunk line too long") : Progress::more;
      if (!read_chunk_size(*text)) return Progress::failed;
      taken = text->size() + 2;
      break;
    }
    case Stage::chunk_end:
      if (bytes.size() < 2) return Progress::more;
      if (bytes[0] != '\r' || bytes[1] != '\n') return fail(400, "chunk without end");
      taken = 2;
      stage_ = Stage::chunk_size;
      break;
    case Stage::trailer: {
      const auto text = line_of(bytes, limits_.head);
      if (!text) return bytes.size() > limits_.head ? fail(431, "trailer too long") : Progress::more;
      trailer_size_ += taken = text->size() + 2;
      if (trailer_size_ > limits_.head) return fail(431, "trailer too long");
      if (text->empty()) stage_ = Stage::complete;  // what trailers say is not passed on
      break;
    }
    case Stage::until_end:
      taken = bytes.size();
      piece = bytes;
      break;
    case Stage::start:
    case Stage::head:
    case Stage::complete:
    case Stage::failed: break;
  }
  come_ += piece.size();
  if (come_ > limits_.body) return fail(413, "body too large");
  return stage_ == Stage::complete ? Progress::complete : Progress::more;
}

void Parser::detach(char* head) {
  base_ = head;
  at_ = 0;
  detached_ = true;
}

Progress Parser::more(std::span<char> bytes, std::size_t& taken, std::string_view& piece) {
  if (stage_ == Stage::failed) return Progress::failed;
  return step({bytes.data(), bytes.size()}, taken, piece);
}

Progress Parser::feed(std::span<char> bytes) {
  base_ = bytes.data();
  size_fed_ = bytes.size();
  while (true) {
    const std::size_t have = size_fed_ - at_;
    switch (stage_) {
      case Stage::start:  // empty lines before a request are nobody's
        if (have >= 2 && base_[at_] == '\r' && base_[at_ + 1] == '\n') {
          at_ += 2;
          if (at_ > limits_.head) return fail(400, "no request line");
          break;
        }
        if (have == 0 || (have == 1 && base_[at_] == '\r')) return Progress::more;
        head_start_ = scanned_ = at_;
        stage_ = Stage::head;
        break;
      case Stage::head: {
        const std::string_view seen(base_, size_fed_);
        const std::size_t end = seen.find("\r\n\r\n", scanned_);
        const std::size_t taken = (end == std::string_view::npos ? size_fed_ : end + 4) - head_start_;
        if (taken > limits_.head) return fail(431, "head too long");
        if (end == std::string_view::npos) {
          scanned_ = std::max(head_start_, size_fed_ - std::min<std::size_t>(size_fed_, 3));
          return Progress::more;
        }
        at_ = end + 4;
        if (!read_head(end) || !frame_body()) return Progress::failed;
        break;
      }
      case Stage::complete: return Progress::complete;
      case Stage::failed: return Progress::failed;
      case Stage::sized:
      case Stage::chunk_size:
      case Stage::chunk:
      case Stage::chunk_end:
      case Stage::trailer:
      case Stage::until_end: {
        std::size_t taken = 0;
        std::string_view piece;
        const Progress progress = step({base_ + at_, have}, taken, piece);
        if (!piece.empty()) std::memmove(base_ + body_at_ + body_size_, piece.data(), piece.size());
        body_size_ += piece.size();
        at_ += taken;
        if (progress == Progress::failed || (progress == Progress::more && taken == 0)) return progress;
        break;
      }
    }
  }
}

Progress Parser::feed(std::span<char> bytes, bool over) {
  const Progress progress = feed(bytes);
  return over && progress == Progress::more ? ended(bytes) : progress;
}

Progress Parser::ended(std::span<char> bytes) {
  if (!detached_) base_ = bytes.data();
  if (stage_ == Stage::until_end) stage_ = Stage::complete;
  if (stage_ == Stage::complete) return Progress::complete;
  return fail(400, "ends in the middle");
}

bool Parser::read_head(std::size_t end) {
  fields_.clear();
  std::size_t from = head_start_;
  bool first = true;
  while (from < end + 2) {
    const std::string_view rest(base_ + from, end + 2 - from);
    const std::string_view text = rest.substr(0, rest.find("\r\n"));
    if (text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
      fail(400, "stray control character in the head");
      return false;
    }
    if (first ? !read_first_line(text) : !read_field(text)) return false;
    first = false;
    from += text.size() + 2;
  }
  return true;
}

std::size_t Parser::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [&](const FieldAt& f) { return same_name(view(f.name), name); }));
}

bool Parser::read_first_line(std::string_view text) {
  const auto piece = [&](std::string_view part) {
    return Piece{static_cast<std::uint32_t>(part.data() - base_), static_cast<std::uint32_t>(part.size())};
  };
  std::string_view version;
  if (side_ == Side::request) {
    const std::size_t one = text.find(' '), two = text.rfind(' ');
    if (one == std::string_view::npos || one == two) return fail(400, "malformed request line"), false;
    const std::string_view method = text.substr(0, one), target = text.substr(one + 1, two - one - 1);
    rooted_ = false;
    third_ = {};
    std::string_view path = target;
    // Absolute form: the path goes on, and the authority stands for the Host field.
    if (target.size() > scheme.size() && same_name(target.substr(0, scheme.size()), scheme)) {
      const std::size_t slash = std::min(target.find_first_of("/?", scheme.size()), target.size());
      third_ = piece(target.substr(scheme.size(), slash - scheme.size()));
      path = target.substr(slash);
      rooted_ = path.empty();
      if (third_.size == 0 || path.starts_with('?')) return fail(400, "malformed request line"), false;
    }
    const bool printable = std::all_of(target.begin(), target.end(),
                                       [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '#'; });
    if (!is_token(method) || (!path.starts_with('/') && !rooted_) || !printable)
      return fail(400, "malformed request line"), false;
    first_ = piece(method);
    second_ = piece(path);
    version = text.substr(two + 1);
  } else {
    version = text.substr(0, std::min<std::size_t>(text.size(), 8));
    const std::string_view code = text.size() < 12 ? std::string_view() : text.substr(9, 3);
    if (text.size() < 12 || text[8] != ' ' || !whole_number(code, status_) || status_ < 100 ||
        (text.size() > 12 && text[12] != ' '))
      return fail(400, "malformed status line"), false;
  }
  if (version.size() != 8 || version.substr(0, 5) != "HTTP/") return fail(400, "malformed version"), false;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(505, "unknown version"), false;
  minor_ = version[7] - '0';
  return true;
}

bool Parser::read_field(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon)))
    return fail(400, "malformed header field"), false;
  if (fields_.size() >= limits_.fields) return fail(431, "too many header fields"), false;
  const std::string_view value = trim(text.substr(colon + 1));
  const auto control = [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; };
  if (side_ == Side::request && std::any_of(value.begin(), value.end(), control))
    return fail(400, "control character in a header field"), false;
  const auto at = [&](const char* p) { return static_cast<std::uint32_t>(p - base_); };
  fields_.push_back({{at(text.data()), static_cast<std::uint32_t>(colon)},
                     {at(value.data()), static_cast<std::uint32_t>(value.size())}});
  return true;
}

// How the body is framed, by RFC 9112; what could be read in two ways is an error.
bool Parser::frame_body() {
  body_at_ = at_;
  body_size_ = 0;
  std::optional<std::size_t> length;
  bool chunked = false, coded = false, close = false, keep = false;
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    const Field f = field(i);
    if (same_name(f.name, "content-length")) {
      std::size_t n = 0;
      if (!whole_number(f.value, n) || (length && *length != n))
        return fail(400, "conflicting or malformed content-length"), false;
      length = n;
    } else if (same_name(f.name, "transfer-encoding")) {
      if (coded || !same_name(f.value, "chunked")) return fail(501, "unknown transfer coding"), false;
      chunked = coded = true;
    } else if (same_name(f.name, "connection")) {
      close = close || has_token(f.value, "close");
      keep = keep || has_token(f.value, "keep-alive");
    }
  }
  keep_alive_ = !close && (minor_ == 1 || keep);
  if (coded && (length || minor_ == 0)) return fail(400, "conflicting lengths"), false;
  if (length && *length > limits_.body) return fail(413, "body too large"), false;
  come_ = 0;
  length_ = length;
  const bool none = side_ == Side::response && (status_ < 200 || status_ == 204 || status_ == 304);
  bodied_ =
      !none && !bodiless_ && (chunked || length.value_or(0) > 0 || (side_ == Side::response && !length));
  if (none || bodiless_) {
    stage_ = Stage::complete;
  } else if (chunked) {
    stage_ = Stage::chunk_size;
  } else if (length || side_ == Side::request) {
    left_ = length.value_or(0);
    stage_ = left_ > 0 ? Stage::sized : Stage::complete;
  } else {
    keep_alive_ = false;
    stage_ = Stage::until_end;
  }
  return true;
}

bool Parser::read_chunk_size(std::string_view text) {
  // Guards against a line that ends elsewhere for another reader.
  if (std::any_of(text.begin(), text.end(),
                  [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; }))
    return fail(400, "control character in a chunk line"), false;
  const std::string_view digits = trim(text.substr(0, text.find(';')));
  if (!whole_number(digits, left_, 16)) return fail(400, "malformed chunk size"), false;
  if (left_ > limits_.body - come_) return fail(413, "body too large"), false;
  stage_ = left_ == 0 ? Stage::trailer : Stage::chunk;
  return true;
}

}  // namespace chutevane::http
