/// JSON (RFC 8259) without I/O: a value, a parser that is bounded in size and depth, and a writer.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::json {

/// "REASON at byte N".
struct ParseError : std::runtime_error {
  ParseError(const std::string& what, std::size_t at)
      : std::runtime_error(what + " at byte " + std::to_string(at)), byte(at) {}
  std::size_t byte;
};

struct Limits {
  std::size_t bytes = 4U << 20U;
  int depth = 32;  // of nested objects and lists
};

struct Member;

/// Holds what its kind says; the other members are empty.
class Value {
 public:
  enum class Kind : std::uint8_t { null, boolean, number, text, list, object };

  Kind kind = Kind::null;
  bool flag = false;    // of a boolean
  double number = 0.0;  // finite
  std::string text;     // of a text; of a number, its digits as they were written
  std::vector<Value> items;
  std::vector<Member> members;  // in the order of the text

  bool is(Kind k) const { return kind == k; }
  /// An object's member, or null. Where a name comes more than once the last one counts.
  const Value* find(std::string_view name) const;
};

/// No std::pair: that needs a complete Value, which holds members.
struct Member {
  std::string first;  // the name
  Value second;
};

/// Throws ParseError.
Value parse(std::string_view text, const Limits& limits = {});

/// Writes values as they are given, with commas between them. The caller balances the brackets and gives an
/// object's members as key() and value in turn.
class Writer {
 public:
  Writer& open(char bracket);
  Writer& close(char bracket);
  Writer& key(std::string_view name);
  Writer& text(std::string_view value);
  Writer& number(std::uint64_t value);
  Writer& real(double value);  // with as many digits as give the same value back; infinite or no number: 0
  Writer& truth(bool value);
  Writer& null();
  const std::string& result() const { return out_; }

 private:
  void separate();
  void quote(std::string_view value);
  std::string out_;
  bool first_ = true;  // nothing has been written since the last open() or key()
};

}  // namespace chutevane::json
