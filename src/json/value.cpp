#include "json/value.hpp"

#include <array>
#include <charconv>
#include <cmath>

namespace chutevane::json {
namespace {

/// Recursive descent. Each function begins at its first character and ends behind its last.
class Parser {
 public:
  Parser(std::string_view text, const Limits& limits) : text_(text), limits_(limits) {}

  Value parse() {
    if (text_.size() > limits_.bytes) throw ParseError("too large", limits_.bytes);
    Value out = parse_value(0);
    skip_space();
    if (at_ != text_.size()) fail("something after the value");
    return out;
  }

 private:
  [[noreturn]] void fail(const char* what) const { throw ParseError(what, at_); }
  char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  void skip_space() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  void expect(char c, const char* what) {
    skip_space();
    if (peek() != c) fail(what);
    ++at_;
  }
  bool consume(std::string_view literal) {
    if (text_.substr(at_, literal.size()) != literal) return false;
    at_ += literal.size();
    return true;
  }

  Value parse_value(int depth) {
    if (depth > limits_.depth) fail("too deep");
    skip_space();
    Value out;
    switch (peek()) {
      case '{': parse_object(out, depth); break;
      case '[': parse_list(out, depth); break;
      case '"':
        out.kind = Value::Kind::text;
        out.text = parse_string();
        break;
      case 't':
      case 'f':
        out.kind = Value::Kind::boolean;
        out.flag = consume("true");
        if (!out.flag && !consume("false")) fail("no value");
        break;
      case 'n':
        if (!consume("null")) fail("no value");
        break;
      default: parse_number(out);
    }
    return out;
  }

  void parse_object(Value& out, int depth) {
    out.kind = Value::Kind::object;
    ++at_;
    skip_space();
    if (peek() == '}') {
      ++at_;
      return;
    }
    while (true) {
      skip_space();
      if (peek() != '"') fail("a name expected");
      std::string name = parse_string();
      expect(':', "':' expected");
      out.members.push_back({std::move(name), parse_value(depth + 1)});
      skip_space();
      if (peek() == ',') {
        ++at_;
        continue;
      }
      expect('}', "',' or '}' expected");
      return;
    }
  }

  void parse_list(Value& out, int depth) {
    out.kind = Value::Kind::list;
    ++at_;
    skip_space();
    if (peek() == ']') {
      ++at_;
      return;
    }
    while (true) {
      out.items.push_back(parse_value(depth + 1));
      skip_space();
      if (peek() == ',') {
        ++at_;
        continue;
      }
      expect(']', "',' or ']' expected");
      return;
    }
  }

  void skip_digits() {
    if (peek() < '0' || peek() > '9') fail("a digit expected");
    while (peek() >= '0' && peek() <= '9') ++at_;
  }

  void parse_number(Value& out) {
    const std::size_t start = at_;
    if (peek() == '-') ++at_;
    if (peek() == '0') {
      ++at_;
    } else {
      skip_digits();
    }
    if (peek() == '.') {
      ++at_;
      skip_digits();
    }
    if (peek() == 'e' || peek() == 'E') {
      ++at_;
      if (peek() == '+' || peek() == '-') ++at_;
      skip_digits();
    }
    out.kind = Value::Kind::number;
    out.text = text_.substr(start, at_ - start);
    const auto parsed = std::from_chars(out.text.data(), out.text.data() + out.text.size(), out.number);
    if (parsed.ec != std::errc() || !std::isfinite(out.number)) {
      at_ = start;
      fail("number out of range");
    }
  }

  unsigned parse_hex4() {
    unsigned v = 0;
    for (int i = 0; i < 4; ++i, ++at_) {
      const char c = peek();
      const int d = c >= '0' && c <= '9'   ? c - '0'
                    : c >= 'a' && c <= 'f' ? c - 'a' + 10
                    : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                           : -1;
      if (d < 0) fail("four hex digits expected");
      v = v * 16 + static_cast<unsigned>(d);
    }
    return v;
  }

  void parse_escape(std::string& out) {
    const char c = peek();
    ++at_;
    switch (c) {
      case '"':
      case '\\':
      case '/': out += c; return;
      case 'b': out += '\b'; return;
      case 'f': out += '\f'; return;
      case 'n': out += '\n'; return;
      case 'r': out += '\r'; return;
      case 't': out += '\t'; return;
      case 'u': break;
      default: --at_; fail("unknown escape");
    }
    append_utf8(out, parse_code_point());
  }

  /// After the backslash and the u; a surrogate pair is two escapes.
  unsigned parse_code_point() {
    const unsigned code = parse_hex4();
    if (code >= 0xdc00 && code <= 0xdfff) fail("half of a surrogate pair");
    if (code < 0xd800 || code > 0xdfff) return code;
    if (!consume("\\u")) fail("half of a surrogate pair");
    const unsigned low = parse_hex4();
    if (low < 0xdc00 || low > 0xdfff) fail("half of a surrogate pair");
    return 0x10000 + ((code - 0xd800) << 10U) + (low - 0xdc00);
  }

  static void append_utf8(std::string& out, unsigned code) {
    const auto put = [&](unsigned byte) { out += static_cast<char>(byte); };
    if (code < 0x80) {
      put(code);
    } else if (code < 0x800) {
      put(0xc0 | code >> 6U), put(0x80 | (code & 63U));
    } else if (code < 0x10000) {
      put(0xe0 | code >> 12U), put(0x80 | (code >> 6U & 63U)), put(0x80 | (code & 63U));
    } else {
      put(0xf0 | code >> 18U), put(0x80 | (code >> 12U & 63U)), put(0x80 | (code >> 6U & 63U)),
          put(0x80 | (code & 63U));
    }
  }

  std::string parse_string() {
    std::string out;
    ++at_;
    while (true) {
      if (at_ >= text_.size()) fail("text without end");
      const char c = text_[at_];
      if (static_cast<unsigned char>(c) < 0x20) fail("control character in a text");
      ++at_;
      if (c == '"') return out;
      if (c == '\\') {
        parse_escape(out);
      } else {
        out += c;
      }
    }
  }

  std::string_view text_;
  const Limits& limits_;
  std::size_t at_ = 0;
};

}  // namespace

const Value* Value::find(std::string_view name) const {
  for (auto m = members.rbegin(); m != members.rend(); ++m) {
    if (m->first == name) return &m->second;
  }
  return nullptr;
}

Value parse(std::string_view text, const Limits& limits) { return Parser(text, limits).parse(); }

void Writer::separate() {
  if (!first_) out_ += ',';
  first_ = false;
}

void Writer::quote(std::string_view value) {
  static constexpr char hex[] = "0123456789abcdef";
  out_ += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out_ += '\\';
      out_ += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out_ += "\\u00";
      out_ += hex[static_cast<unsigned char>(c) >> 4U];
      out_ += hex[static_cast<unsigned char>(c) & 15U];
    } else {
      out_ += c;
    }
  }
  out_ += '"';
}

Writer& Writer::open(char bracket) {
  separate();
  out_ += bracket;
  first_ = true;
  return *this;
}

Writer& Writer::close(char bracket) {
  out_ += bracket;
  first_ = false;
  return *this;
}

Writer& Writer::key(std::string_view name) {
  separate();
  quote(name);
  out_ += ':';
  first_ = true;
  return *this;
}

Writer& Writer::text(std::string_view value) {
  separate();
  quote(value);
  return *this;
}

Writer& Writer::number(std::uint64_t value) {
  separate();
  out_ += std::to_string(value);
  return *this;
}

Writer& Writer::real(double value) {
  std::array<char, 32> digits;
  const double finite = std::isfinite(value) ? value : 0.0;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), finite).ptr;
  separate();
  out_.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
  return *this;
}

Writer& Writer::truth(bool value) {
  separate();
  out_ += value ? "true" : "false";
  return *this;
}

Writer& Writer::null() {
  separate();
  out_ += "null";
  return *this;
}

}  // namespace chutevane::json
