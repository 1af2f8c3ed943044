// JSON: what is read, written again and read once more is the same; what is wrong names a byte within.
#include <cstdlib>
#include <string>

#include "json/value.hpp"

namespace {

using chutevane::json::Value;

void write(const Value& v, std::string& out) {
  switch (v.kind) {
    case Value::Kind::null: out += "null"; break;
    case Value::Kind::boolean: out += v.flag ? "true" : "false"; break;
    case Value::Kind::number: out += v.text; break;
    case Value::Kind::text: {
      chutevane::json::Writer w;
      w.text(v.text);
      out += w.result();
      break;
    }
    case Value::Kind::list:
      out += "[";
      for (std::size_t i = 0; i < v.items.size(); ++i) {
        if (i > 0) out += ",";
        write(v.items[i], out);
      }
      out += "]";
      break;
    case Value::Kind::object:
      out += "{";
      for (std::size_t i = 0; i < v.members.size(); ++i) {
        if (i > 0) out += ",";
        chutevane::json::Writer w;
        w.text(v.members[i].first);
        out += w.result() + ":";
        write(v.members[i].second, out);
      }
      out += "}";
      break;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Value value;
  try {
    value = chutevane::json::parse(text, {.bytes = 4096, .depth = 16});
  } catch (const chutevane::json::ParseError& e) {
    if (e.byte > size) std::abort();
    return 0;
  }
  std::string once, twice;
  write(value, once);
  write(chutevane::json::parse(once, {.bytes = 1U << 20U, .depth = 16}), twice);
  if (once != twice) std::abort();
  return 0;
}
