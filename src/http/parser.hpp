/// An HTTP/1.1 parser (RFC 9112) without I/O: a state machine that is fed the bytes of one message, as many
/// as have come so far.
///
/// Feed it the same bytes again, with more behind them, until it returns `complete` or `failed`; it goes on
/// where it stopped. A chunked body is put together in place. What it has found are views of the bytes that
/// were fed last, valid until these move.
///
/// A body that is too large to be held is received in pieces: once the head is complete, detach() the parser
/// from the bytes and call more() with what has not been taken yet. Whichever way a message is cut, its
/// pieces put together are the same.
///
/// What two readers could understand in two ways (request smuggling) is an error: conflicting lengths, stray
/// control characters, transfer codings other than chunked.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chutevane::http {

/// The most that a message may have; more is an error.
struct Limits {
  std::size_t head = 16 * 1024;  // bytes; also of trailers
  std::size_t body = 64 * 1024;  // bytes
  std::size_t fields = 100;
};

/// Which start line a message has, and how its body is framed without a length.
enum class Side : std::uint8_t { request, response };
/// `more`: the bytes so far are fine, and not the whole message.
enum class Progress : std::uint8_t { more, complete, failed };

struct Field {
  std::string_view name, value;
};

/// Compares names of header fields, whose case does not matter.
bool same_name(std::string_view a, std::string_view b);
/// Whether a comma-separated list has a member, in any case.
bool has_token(std::string_view list, std::string_view token);

class Parser {
 public:
  explicit Parser(Side side, const Limits& limits = {}) : side_(side), limits_(limits) {}
  /// For the next message; not while one is being parsed.
  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Begins the next message. `bodiless`: the response to a HEAD, whose length is not that of its body.
  void reset(bool bodiless = false);

  /// Takes all bytes of the message that have come so far. To be called after every read, also one that
  /// brought nothing, since it may have moved the bytes. `is_end`: no more will come.
  Progress feed(std::span<char> bytes, bool is_end);
  Progress feed(std::span<char> bytes);
  /// No more bytes will come; `bytes` are the ones that were fed last, wherever they are held by now.
  Progress ended(std::span<char> bytes);

  /// From here on the body comes through more(). The head is read from `head`, a copy of its first
  /// head_size() bytes, or null if nobody will ask for it. Of the bytes that were fed, those beyond size()
  /// have not been taken.
  void detach(char* head);
  /// One step in a detached body: `taken` bytes at the front are done with, and `piece`, perhaps empty, is
  /// the part of the body among them. `Progress::more` with nothing taken: a step needs more bytes than
  /// these.
  Progress more(std::span<char> bytes, std::size_t& taken, std::string_view& piece);

  // Progress
  bool begun() const { return stage_ != Stage::start || position_ > 0; }
  bool head_done() const { return stage_ > Stage::head; }
  std::size_t head_size() const { return body_start_; }
  std::size_t body_received() const { return body_received_; }  // bytes
  /// Bytes of the message at the front of what was fed.
  std::size_t size() const { return position_; }
  /// Of a failure: the status to answer with, and the reason.
  int status_of_error() const { return error_status_; }
  std::string_view error() const { return error_; }

  // The head
  std::string_view method() const { return view(method_); }
  /// In origin form, also where the request has an absolute one.
  std::string_view target() const { return has_empty_path_ ? std::string_view("/") : view(target_); }
  /// Of a target in absolute form: it overrides the Host field. Empty otherwise.
  std::string_view authority() const { return view(authority_); }
  int status() const { return status_; }
  bool http_1_0() const { return minor_version_ == 0; }
  bool keep_alive() const { return keep_alive_; }
  std::size_t fields() const { return fields_.size(); }
  Field field(std::size_t i) const { return {view(fields_[i].name), view(fields_[i].value)}; }
  /// The first field of that name.
  std::optional<std::string_view> find(std::string_view name) const;
  std::size_t count(std::string_view name) const;

  // The body
  bool has_body() const { return has_body_; }
  /// As the head states it; none: chunked, or up to the connection's end.
  std::optional<std::size_t> length() const { return length_; }
  /// What has been received of it, while the parser is not detached.
  std::string_view body() const { return {bytes_ + body_start_, body_size_}; }

 private:
  /// What comes next in the bytes.
  enum class Stage : std::uint8_t {
    start,
    head,
    sized_body,
    chunk_size,
    chunk,
    chunk_end,
    trailer,
    until_close,  // a response whose body ends with the connection
    complete,
    failed
  };
  /// Offsets, since the bytes may move.
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
  std::size_t fed_ = 0;       // of `bytes_`
  std::size_t position_ = 0;  // up to here they are parsed
  std::size_t scanned_ = 0;   // up to here the head's end has been looked for
  std::size_t head_start_ = 0, body_start_ = 0, body_size_ = 0;
  std::size_t remaining_ = 0;  // of a body of stated length, or of a chunk
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
