/// HTTP/1.1 parser: head, framing and body.
#include "http/parser.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace chutevane::http {
namespace {

constexpr std::string_view scheme = "http://";
constexpr std::size_t max_chunk_line = 256;  // bytes; the size and ignored extensions

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

/// A character of a token (RFC 9110, 5.6.2).
bool is_token_char(char c) {
  if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')) return true;
  return c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

/// A tab is not a control character here: it is white space in field values and chunk extensions.
bool has_control_char(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// Parses digits only: a sign or white space is an error.
template <class T>
[[nodiscard]] bool parse_digits(std::string_view text, T& out, int base = 10) {
  const char* end = text.data() + text.size();
  if (text.empty() || text.front() == '-' || text.front() == '+') return false;
  const auto parsed = std::from_chars(text.data(), end, out, base);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

/// Returns the first line without its line end, or std::nullopt if no line end is found within `max` bytes.
std::optional<std::string_view> first_line(std::string_view bytes, std::size_t max) {
  const std::size_t end = bytes.substr(0, max + 2).find("\r\n");
  if (end == std::string_view::npos) return std::nullopt;
  return bytes.substr(0, end);
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (same_name(trim(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

void Parser::reset(bool bodiless) {
  const Side side = side_;
  const Limits limits = limits_;
  std::vector<FieldSlices> fields = std::move(fields_);
  fields.clear();
  *this = Parser(side, limits);
  fields_ = std::move(fields);  // keeps its capacity
  bodiless_ = bodiless;
}

Progress Parser::fail(int status, std::string_view reason) {
  stage_ = Stage::failed;
  error_status_ = status;
  error_ = reason;
  return Progress::failed;
}

std::optional<std::string_view> Parser::find(std::string_view name) const {
  for (const FieldSlices& field : fields_) {
    if (same_name(view(field.name), name)) return view(field.value);
  }
  return std::nullopt;
}

std::size_t Parser::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields_.begin(), fields_.end(),
                    [&](const FieldSlices& field) { return same_name(view(field.name), name); }));
}

// --- Input

Progress Parser::feed(std::span<char> bytes) {
  bytes_ = bytes.data();
  fed_ = bytes.size();
  while (true) {
    switch (stage_) {
      case Stage::start:
        if (!skip_empty_lines()) return stage_ == Stage::failed ? Progress::failed : Progress::more;
        break;
      case Stage::head: {
        const Progress progress = find_head_end();
        if (progress != Progress::complete) return progress;
        break;
      }
      case Stage::complete: return Progress::complete;
      case Stage::failed: return Progress::failed;
      case Stage::sized_body:
      case Stage::chunk_size:
      case Stage::chunk:
      case Stage::chunk_end:
      case Stage::trailer:
      case Stage::until_close: {
        std::size_t taken = 0;
        std::string_view piece;
        const Progress progress = step({bytes_ + position_, fed_ - position_}, taken, piece);
        if (!piece.empty()) std::memmove(bytes_ + body_start_ + body_size_, piece.data(), piece.size());
        body_size_ += piece.size();
        position_ += taken;
        if (progress == Progress::failed || (progress == Progress::more && taken == 0)) return progress;
        break;
      }
    }
  }
}

Progress Parser::feed(net::Buffer& received) {
  const Progress progress = feed(received.bytes());
  if (progress != Progress::more || !head_done()) return progress;
  const std::size_t decoded_end = body_start_ + body_size_;
  const std::size_t framing = position_ - decoded_end;
  if (framing == 0) return progress;
  std::memmove(bytes_ + decoded_end, bytes_ + position_, fed_ - position_);
  position_ -= framing;
  fed_ -= framing;
  received.drop_back(framing);
  return progress;
}

Progress Parser::feed(std::span<char> bytes, bool is_end) {
  const Progress progress = feed(bytes);
  return is_end && progress == Progress::more ? ended(bytes) : progress;
}

Progress Parser::ended(std::span<char> bytes) {
  if (!is_detached_) bytes_ = bytes.data();
  if (stage_ == Stage::until_close) stage_ = Stage::complete;
  if (stage_ == Stage::complete) return Progress::complete;
  return fail(400, "ends in the middle");
}

void Parser::detach(char* head) {
  bytes_ = head;
  position_ = 0;
  is_detached_ = true;
}

Progress Parser::more(std::span<char> bytes, std::size_t& taken, std::string_view& piece) {
  if (stage_ == Stage::failed) return Progress::failed;
  return step({bytes.data(), bytes.size()}, taken, piece);
}

// --- The head

/// Skips empty lines before a message (RFC 9112, 2.2). Returns true if it skipped one or the head begins, and
/// false if more bytes are needed or parsing has failed.
bool Parser::skip_empty_lines() {
  const std::size_t available = fed_ - position_;
  if (available >= 2 && bytes_[position_] == '\r' && bytes_[position_ + 1] == '\n') {
    position_ += 2;
    if (position_ > limits_.head) return fail(400, "no request line"), false;
    return true;
  }
  if (available == 0 || (available == 1 && bytes_[position_] == '\r')) return false;
  head_start_ = scanned_ = position_;
  stage_ = Stage::head;
  return true;
}

/// Looks for the end of the head. Parses the head and returns `complete` once all of it has arrived.
Progress Parser::find_head_end() {
  constexpr std::string_view head_end = "\r\n\r\n";
  const std::string_view fed(bytes_, fed_);
  const std::size_t end = fed.find(head_end, scanned_);
  const std::size_t size = (end == std::string_view::npos ? fed_ : end + head_end.size()) - head_start_;
  if (size > limits_.head) return fail(431, "head too long");
  if (end == std::string_view::npos) {
    scanned_ = std::max(head_start_, fed_ - std::min(fed_, head_end.size() - 1));
    return Progress::more;
  }
  position_ = end + head_end.size();
  return parse_head(end) && determine_framing() ? Progress::complete : Progress::failed;
}

bool Parser::parse_head(std::size_t end) {
  fields_.clear();
  std::size_t from = head_start_;
  bool is_first = true;
  while (from < end + 2) {
    const std::string_view rest(bytes_ + from, end + 2 - from);
    const std::string_view line = rest.substr(0, rest.find("\r\n"));
    if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
      return fail(400, "stray control character in the head"), false;
    const bool parsed = !is_first                ? parse_field(line)
                        : side_ == Side::request ? parse_request_line(line)
                                                 : parse_status_line(line);
    if (!parsed) return false;
    is_first = false;
    from += line.size() + 2;
  }
  return true;
}

bool Parser::parse_request_line(std::string_view line) {
  const std::size_t one = line.find(' '), two = line.rfind(' ');
  if (one == std::string_view::npos || one == two) return fail(400, "malformed request line"), false;
  const std::string_view method = line.substr(0, one);
  if (!parse_target(line.substr(one + 1, two - one - 1)) || !is_token(method))
    return fail(400, "malformed request line"), false;
  method_ = slice_of(method);
  return parse_version(line.substr(two + 1));
}

/// For a target in absolute form, stores the path as the target, and the authority, which replaces the Host
/// field.
bool Parser::parse_target(std::string_view target) {
  has_empty_path_ = false;
  authority_ = {};
  std::string_view path = target;
  if (target.size() > scheme.size() && same_name(target.substr(0, scheme.size()), scheme)) {
    const std::size_t slash = std::min(target.find_first_of("/?", scheme.size()), target.size());
    authority_ = slice_of(target.substr(scheme.size(), slash - scheme.size()));
    path = target.substr(slash);
    has_empty_path_ = path.empty();
    if (authority_.size == 0 || path.starts_with('?')) return false;
  }
  const bool is_printable = std::all_of(target.begin(), target.end(),
                                        [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '#'; });
  if ((!path.starts_with('/') && !has_empty_path_) || !is_printable) return false;
  target_ = slice_of(path);
  return true;
}

bool Parser::parse_status_line(std::string_view line) {
  // "HTTP/1.1 200 reason"
  constexpr std::size_t version_size = 8, code_at = 9, code_end = 12;
  const std::string_view code = line.size() < code_end ? std::string_view() : line.substr(code_at, 3);
  if (line.size() < code_end || line[version_size] != ' ' || !parse_digits(code, status_) || status_ < 100 ||
      (line.size() > code_end && line[code_end] != ' '))
    return fail(400, "malformed status line"), false;
  return parse_version(line.substr(0, version_size));
}

bool Parser::parse_version(std::string_view version) {
  if (version.size() != 8 || version.substr(0, 5) != "HTTP/") return fail(400, "malformed version"), false;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(505, "unknown version"), false;
  minor_version_ = version[7] - '0';
  return true;
}

bool Parser::parse_field(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    return fail(400, "malformed header field"), false;
  if (fields_.size() >= limits_.fields) return fail(431, "too many header fields"), false;
  const std::string_view value = trim(line.substr(colon + 1));
  if (side_ == Side::request && has_control_char(value))
    return fail(400, "control character in a header field"), false;
  fields_.push_back({slice_of(line.substr(0, colon)), slice_of(value)});
  return true;
}

// --- The body

/// Determines the framing of the body (RFC 9112, 6.3).
bool Parser::determine_framing() {
  body_start_ = position_;
  body_size_ = 0;
  body_received_ = 0;
  bool chunked = false;
  if (!parse_framing_fields(chunked)) return false;
  const bool never_has_body = side_ == Side::response && (status_ < 200 || status_ == 204 || status_ == 304);
  const bool has_none = never_has_body || bodiless_;
  const bool until_close = side_ == Side::response && !length_;
  has_body_ = !has_none && (chunked || length_.value_or(0) > 0 || until_close);
  if (has_none) {
    stage_ = Stage::complete;
  } else if (chunked) {
    stage_ = Stage::chunk_size;
  } else if (length_ || side_ == Side::request) {
    remaining_ = length_.value_or(0);
    stage_ = remaining_ > 0 ? Stage::sized_body : Stage::complete;
  } else {
    keep_alive_ = false;
    stage_ = Stage::until_close;
  }
  return true;
}

bool Parser::parse_framing_fields(bool& chunked) {
  bool close = false, keep = false;
  length_.reset();
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    const Field one = field(i);
    if (same_name(one.name, "content-length")) {
      std::size_t length = 0;
      if (!parse_digits(one.value, length) || (length_ && *length_ != length))
        return fail(400, "conflicting or malformed content-length"), false;
      length_ = length;
    } else if (same_name(one.name, "transfer-encoding")) {
      if (chunked || !same_name(one.value, "chunked")) return fail(501, "unknown transfer coding"), false;
      chunked = true;
    } else if (same_name(one.name, "connection")) {
      close = close || has_token(one.value, "close");
      keep = keep || has_token(one.value, "keep-alive");
    }
  }
  keep_alive_ = !close && (minor_version_ == 1 || keep);
  if (chunked && (length_ || minor_version_ == 0)) return fail(400, "conflicting lengths"), false;
  if (length_ && *length_ > limits_.body) return fail(413, "body too large"), false;
  return true;
}

/// Performs one parsing step after the head; see more().
Progress Parser::step(std::string_view bytes, std::size_t& taken, std::string_view& piece) {
  taken = 0;
  piece = {};
  switch (stage_) {
    case Stage::sized_body:
    case Stage::chunk:
      taken = std::min(bytes.size(), remaining_);
      piece = bytes.substr(0, taken);
      remaining_ -= taken;
      if (remaining_ == 0) stage_ = stage_ == Stage::sized_body ? Stage::complete : Stage::chunk_end;
      break;
    case Stage::chunk_size:
      if (const Progress line = take_chunk_size(bytes, taken); line != Progress::complete) return line;
      break;
    case Stage::chunk_end:
      if (bytes.size() < 2) return Progress::more;
      if (bytes[0] != '\r' || bytes[1] != '\n') return fail(400, "chunk without end");
      taken = 2;
      stage_ = Stage::chunk_size;
      break;
    case Stage::trailer:
      if (const Progress line = take_trailer(bytes, taken); line != Progress::complete) return line;
      break;
    case Stage::until_close:
      taken = bytes.size();
      piece = bytes;
      break;
    case Stage::start:
    case Stage::head:
    case Stage::complete:
    case Stage::failed: break;
  }
  body_received_ += piece.size();
  if (body_received_ > limits_.body) return fail(413, "body too large");
  return stage_ == Stage::complete ? Progress::complete : Progress::more;
}

/// Returns `complete` once a whole line has been consumed.
Progress Parser::take_chunk_size(std::string_view bytes, std::size_t& taken) {
  const auto line = first_line(bytes, max_chunk_line);
  if (!line) return bytes.size() > max_chunk_line ? fail(400, "chunk line too long") : Progress::more;
  if (!parse_chunk_size(*line)) return Progress::failed;
  taken = line->size() + 2;
  return Progress::complete;
}

/// Consumes one trailer line, which is dropped. An empty line ends the message.
Progress Parser::take_trailer(std::string_view bytes, std::size_t& taken) {
  const auto line = first_line(bytes, limits_.head);
  if (!line) return bytes.size() > limits_.head ? fail(431, "trailer too long") : Progress::more;
  trailer_size_ += taken = line->size() + 2;
  if (trailer_size_ > limits_.head) return fail(431, "trailer too long");
  if (line->empty()) stage_ = Stage::complete;
  return Progress::complete;
}

bool Parser::parse_chunk_size(std::string_view line) {
  // Another parser could interpret a control character as the end of the line.
  if (has_control_char(line)) return fail(400, "control character in a chunk line"), false;
  const std::string_view digits = trim(line.substr(0, line.find(';')));
  if (!parse_digits(digits, remaining_, 16)) return fail(400, "malformed chunk size"), false;
  if (remaining_ > limits_.body - body_received_) return fail(413, "body too large"), false;
  stage_ = remaining_ == 0 ? Stage::trailer : Stage::chunk;
  return true;
}

}  // namespace chutevane::http
