// HTTP/1.1 without I/O: a state machine that is fed the bytes of one message, as many as there are so far.
//
// Feed it the same bytes again with more behind them until it says `complete` or `failed`; it goes on where
// it stopped. A chunked body is put together in place. What it found stays valid while the bytes stay put.
//
// A body too large to be held comes in pieces: once the head is done, detach() and then more(), with the
// bytes that have not been taken yet. However a message is cut, its pieces put together are the same.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chutevane::http {

struct Limits {
  std::size_t head = 16 * 1024;
  std::size_t body = 64 * 1024;
  std::size_t fields = 100;
};

enum class Side : std::uint8_t { request, response };
enum class Progress : std::uint8_t { more, complete, failed };

struct Field {
  std::string_view name, value;
};

bool same_name(std::string_view a, std::string_view b);          // header names know no case
bool has_token(std::string_view list, std::string_view wanted);  // in a list with commas

class Parser {
 public:
  explicit Parser(Side side, const Limits& limits = {}) : side_(side), limits_(limits) {}
  // From the next message on; not while one is read.
  void set_limits(const Limits& limits) { limits_ = limits; }
  // For the next message; `bodiless`: the answer to a HEAD, whose length is not its body's.
  void reset(bool bodiless = false);

  // `over`: no more will come. To be told after every read, also one that brought nothing: it may have moved
  // them.
  Progress feed(std::span<char> bytes, bool over);
  Progress feed(std::span<char> bytes);
  // No more bytes will come; these are the ones fed last, wherever they are held by now.
  Progress ended(std::span<char> bytes);
  // From here on the body comes through more(); the head is read from `head`, which holds its bytes,
  // head_size() of them. What was fed beyond size() has not been taken.
  void detach(char* head);
  // One step: how many of the bytes were taken, and a piece of the body among them, perhaps none. `more`
  // without any taken: it needs more than these.
  Progress more(std::span<char> bytes, std::size_t& taken, std::string_view& piece);

  bool begun() const { return stage_ != Stage::start || at_ > 0; }
  bool head_done() const { return stage_ > Stage::head; }
  std::size_t come() const { return come_; }  // bytes of the body, so far
  std::size_t head_size() const { return body_at_; }
  // Whether a body follows the head, and its length where that is stated.
  bool has_body() const { return bodied_; }
  std::optional<std::size_t> length() const { return length_; }
  bool http_1_0() const { return minor_ == 0; }
  // What the message took of the bytes so far.
  std::size_t size() const { return at_; }
  // When failed: the status that says why, and the reason in words.
  int status_of_error() const { return error_status_; }
  std::string_view error() const { return error_; }

  std::string_view method() const { return view(first_); }
  std::string_view target() const { return rooted_ ? std::string_view("/") : view(second_); }
  // Of an absolute form: what stands for the Host field.
  std::string_view authority() const { return view(third_); }
  int status() const { return status_; }
  // As far as it has come, while it is not detached.
  std::string_view body() const { return {base_ + body_at_, body_size_}; }
  bool keep_alive() const { return keep_alive_; }
  std::size_t fields() const { return fields_.size(); }
  Field field(std::size_t i) const { return {view(fields_[i].name), view(fields_[i].value)}; }
  // The first of that name.
  std::optional<std::string_view> find(std::string_view name) const;
  std::size_t count(std::string_view name) const;

 private:
  enum class Stage : std::uint8_t {
    start,
    head,
    sized,       // a body of known length
    chunk_size,  // its line
    chunk,
    chunk_end,
    trailer,
    until_end,  // a response whose body ends with the connection
    complete,
    failed
  };
  struct Piece {
    std::uint32_t at = 0, size = 0;
  };
  struct FieldAt {
    Piece name, value;
  };
  std::string_view view(Piece p) const { return {base_ + p.at, p.size}; }
  Progress fail(int status, std::string_view why);
  bool read_head(std::size_t end);
  bool read_first_line(std::string_view line);
  bool read_field(std::string_view line);
  bool frame_body();
  bool read_chunk_size(std::string_view line);
  Progress step(std::string_view bytes, std::size_t& taken, std::string_view& piece);

  Side side_;
  Limits limits_;
  Stage stage_ = Stage::start;
  char* base_ = nullptr;
  std::size_t size_fed_ = 0;
  std::size_t at_ = 0, scanned_ = 0, head_start_ = 0;
  std::size_t body_at_ = 0, body_size_ = 0, left_ = 0, trailer_size_ = 0;
  Piece first_, second_, third_;
  int status_ = 0, minor_ = 1;
  std::optional<std::size_t> length_;
  std::size_t come_ = 0;  // bytes of the body
  bool detached_ = false;
  bool keep_alive_ = true, bodiless_ = false, bodied_ = false, rooted_ = false;
  std::vector<FieldAt> fields_;
  int error_status_ = 0;
  std::string_view error_;
};

}  // namespace chutevane::http
