/// An incremental HTTP/1.1 parser (RFC 9112) without I/O.
///
/// The caller passes all the bytes of a message that have arrived so far to feed(), and calls it again with
/// the same bytes and more after them until it returns `complete` or `failed`. Parsing continues where it
/// stopped. A chunked body is decoded in place. Results are views of the bytes that were passed last, valid
/// until these move.
///
/// A body that is too large to be buffered is received in pieces: once the head is complete, the caller
/// detaches the parser from the bytes with detach() and passes the bytes that have not been consumed yet to
/// more(). The concatenated pieces do not depend on how the message was split.
///
/// Messages that two parsers could interpret differently (request smuggling) are errors: conflicting lengths,
/// stray control characters, and transfer codings other than chunked.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "net/buffer.hpp"

namespace chutevane::http {

/// Size limits of a message. Exceeding one is an error.
struct Limits {
  std::size_t head = 16 * 1024;  // bytes; also the limit for trailers
  std::size_t body = 64 * 1024;  // bytes
  std::size_t fields = 100;
};

/// Kind of message. Determines the start line, and the framing of a body without a length.
enum class Side : std::uint8_t { request, response };
/// Result of parsing. `more` means that the bytes so far are valid, but the message is incomplete.
enum class Progress : std::uint8_t { more, complete, failed };

struct Field {
  std::string_view name, value;
};

/// Compares names of header fields, ignoring case.
bool same_name(std::string_view a, std::string_view b);
/// Returns true if a comma-separated list contains the token, ignoring case.
bool has_token(std::string_view list, std::string_view token);

class Parser {
 public:
  explicit Parser(Side side, const Limits& limits = {}) : side_(side), limits_(limits) {}
  /// Sets the limits for the next message. Must not be called while a message is being parsed.
  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Prepares for the next message. `bodiless` is true if it responds to a HEAD request and has no body.
  void reset(bool bodiless = false);

  /// Parses all bytes of the message that have arrived so far. Must be called after every read, even an empty
  /// one, because the read may have moved the bytes. `is_end` is true if no more bytes will arrive.
  Progress feed(std::span<char> bytes, bool is_end);
  Progress feed(std::span<char> bytes);
  /// As feed() of all that `received` holds. Removes the framing of chunks that has been parsed, so that an
  /// incomplete message takes the room of its head and its decoded body, however it is split into chunks.
  Progress feed(net::Buffer& received);
  /// Handles the end of the connection. `bytes` are the bytes passed last, at their current address.
  Progress ended(std::span<char> bytes);

  /// Detaches the parser from the bytes; from then on the body is passed to more(). `head` is a copy of the
  /// first head_size() bytes, from which the head is read, or null if the head is no longer needed. Bytes
  /// beyond size() that were passed to feed() have not been consumed.
  void detach(char* head);
  /// Performs one parsing step in the body of a detached parser. Sets `taken` to the number of bytes consumed
  /// from the front, and `piece` to the part of the body among them, which may be empty. If it returns
  /// `Progress::more` and `taken` is 0, it needs more bytes than were passed.
  Progress more(std::span<char> bytes, std::size_t& taken, std::string_view& piece);

  // Progress
  bool begun() const { return stage_ != Stage::start || position_ > 0; }
  bool head_done() const { return stage_ > Stage::head; }
  std::size_t head_size() const { return body_start_; }
  std::size_t body_received() const { return body_received_; }  // bytes
  /// Returns the number of bytes of the message that feed() has consumed.
  std::size_t size() const { return position_; }
  /// Returns the status to respond with after a failure. error() returns the reason.
  int status_of_error() const { return error_status_; }
  std::string_view error() const { return error_; }

  // The head
  std::string_view method() const { return view(method_); }
  /// Returns the target in origin form, even if the request has one in absolute form.
  std::string_view target() const { return has_empty_path_ ? std::string_view("/") : view(target_); }
  /// Returns the authority of a target in absolute form, which overrides the Host field. Empty otherwise.
  std::string_view authority() const { return view(authority_); }
  int status() const { return status_; }
  bool http_1_0() const { return minor_version_ == 0; }
  bool keep_alive() const { return keep_alive_; }
  std::size_t fields() const { return fields_.size(); }
  Field field(std::size_t i) const { return {view(fields_[i].name), view(fields_[i].value)}; }
  /// Returns the value of the first field with that name, or std::nullopt if there is none.
  std::optional<std::string_view> find(std::string_view name) const;
  std::size_t count(std::string_view name) const;

  // The body
  bool has_body() const { return has_body_; }
  /// Returns the Content-Length, or std::nullopt if the body is chunked or ends with the connection.
  std::optional<std::size_t> length() const { return length_; }
  /// Returns the part of the body received so far. Only valid while the parser is not detached.
  std::string_view body() const { return {bytes_ + body_start_, body_size_}; }

 private:
  /// The part of the message that is parsed next.
  enum class Stage : std::uint8_t {
    start,
    head,
    sized_body,
    chunk_size,
    chunk,
    chunk_end,
    trailer,
    until_close,  // the body of a response that ends with the connection
    complete,
    failed
  };
  /// Offset and size instead of a view, because the bytes may move.
  struct Slice {
    std::uint32_t at = 0, size = 0;
  };
  struct FieldSlices {
    Slice name, value;
  };
  std::string_view view(Slice slice) const { return {bytes_ + slice.at, slice.size}; }
  Slice slice_of(std::string_view part) const {
    return {static_cast<std::uint32_t>(part.data() - bytes_), static_cast<std::uint32_t>(part.size())};
  }
  Progress fail(int status, std::string_view reason);
  bool skip_empty_lines();
  Progress find_head_end();
  bool parse_head(std::size_t end);
  bool parse_request_line(std::string_view line);
  bool parse_target(std::string_view target);
  bool parse_status_line(std::string_view line);
  bool parse_version(std::string_view version);
  bool parse_field(std::string_view line);
  bool determine_framing();
  bool parse_framing_fields(bool& chunked);
  bool parse_chunk_size(std::string_view line);
  Progress take_chunk_size(std::string_view bytes, std::size_t& taken);
  Progress take_trailer(std::string_view bytes, std::size_t& taken);
  Progress step(std::string_view bytes, std::size_t& taken, std::string_view& piece);

  Side side_;
  Limits limits_;
  Stage stage_ = Stage::start;
  char* bytes_ = nullptr;
  std::size_t fed_ = 0;       // number of bytes at `bytes_`
  std::size_t position_ = 0;  // number of bytes parsed
  std::size_t scanned_ = 0;   // number of bytes searched for the end of the head
  std::size_t head_start_ = 0, body_start_ = 0, body_size_ = 0;
  std::size_t remaining_ = 0;  // remaining bytes of a body with stated length, or of a chunk
  std::size_t trailer_size_ = 0;
  std::size_t body_received_ = 0;
  Slice method_, target_, authority_;
  int status_ = 0, minor_version_ = 1;
  std::optional<std::size_t> length_;
  bool is_detached_ = false;
  bool keep_alive_ = true, bodiless_ = false, has_body_ = false, has_empty_path_ = false;
  std::vector<FieldSlices> fields_;
  int error_status_ = 0;
  std::string_view error_;
};

}  // namespace chutevane::http
