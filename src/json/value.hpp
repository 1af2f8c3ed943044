// JSON without I/O: a value, a parser bounded in size and depth, and a writer.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace chutevane::json {

struct ParseError : std::runtime_error {
  ParseError(const std::string& what, std::size_t at)
      : std::runtime_error(what + " at byte " + std::to_string(at)), byte(at) {}
  std::size_t byte;
};

struct Limits {
  std::size_t bytes = 4U << 20U;
  int depth = 32;
};

struct Member;

class Value {
 public:
  enum class Kind : std::uint8_t { null, boolean, number, text, list, object };

  Kind kind = Kind::null;
  bool flag = false;
  double number = 0.0;
  std::string text;  // of a text; of a number, as it was written
  std::vector<Value> items;
  std::vector<Member> members;

  bool is(Kind k) const { return kind == k; }
  // The member of that name, or none; the last one counts where a name comes twice.
  const Value* find(std::string_view name) const;
};

// No pair: that is not complete before a value is, and one holds the other.
struct Member {
  std::string first;
  Value second;
};

// Throws ParseError, with the byte that does not fit.
Value parse(std::string_view text, const Limits& limits = {});

// Writes objects and lists as they are told; the caller keeps them balanced.
class Writer {
 public:
  Writer& open(char bracket);
  Writer& close(char bracket);
  Writer& key(std::string_view name);
  Writer& text(std::string_view value);
  Writer& number(std::uint64_t value);
  Writer& real(double value);  // to the last digit; what is no number as 0
  Writer& truth(bool value);
  Writer& null();
  const std::string& result() const { return out_; }

 private:
  void separate();
  void quote(std::string_view value);
  std::string out_;
  bool first_ = true;
};

}  // namespace chutevane::json
