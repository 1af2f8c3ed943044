/// Encoding and decoding of the coordination state.
#include "control/coordination/state.hpp"

#include <algorithm>
#include <utility>

namespace chutevane::control::coordination {
namespace {

constexpr std::uint64_t format_version = 1;

/// Writes variable-length integers and length-prefixed strings.
class Writer {
 public:
  void integer(std::uint64_t value) {
    while (value >= 0x80U) {
      out_.push_back(static_cast<char>((value & 0x7fU) | 0x80U));
      value >>= 7U;
    }
    out_.push_back(static_cast<char>(value));
  }
  void integer(std::int64_t value) { integer(static_cast<std::uint64_t>(value)); }
  void text(std::string_view value) {
    integer(static_cast<std::uint64_t>(value.size()));
    out_.append(value);
  }
  std::string result() && { return std::move(out_); }

 private:
  std::string out_;
};

/// Reads the output of Writer. After a failure, all further values are zero or empty.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t integer() {
    std::uint64_t out = 0;
    for (unsigned shift = 0; shift < 64 && !in_.empty(); shift += 7) {
      const auto byte = static_cast<unsigned char>(in_.front());
      in_.remove_prefix(1);
      out |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
      if (byte < 0x80U) return out;
    }
    fail();
    return 0;
  }
  std::int64_t signed_integer() { return static_cast<std::int64_t>(integer()); }
  std::string text() {
    const std::uint64_t size = integer();
    if (size > in_.size()) {
      fail();
      return "";
    }
    std::string out(in_.substr(0, size));
    in_.remove_prefix(size);
    return out;
  }
  /// Reads the number of elements that follow. Each takes at least one byte, so a count above the number of
  /// remaining bytes is a failure.
  std::uint64_t count() {
    const std::uint64_t out = integer();
    if (out > in_.size()) fail();
    return failed_ ? 0 : out;
  }
  bool failed() const { return failed_; }
  bool at_end() const { return in_.empty(); }

 private:
  void fail() {
    failed_ = true;
    in_ = {};
  }
  std::string_view in_;
  bool failed_ = false;
};

void write_group(Writer& out, const KeyGroup& group) {
  out.integer(group.revision);
  out.integer(static_cast<std::uint64_t>(group.keys.size()));
  for (const auto& [key, entry] : group.keys) {
    out.text(key);
    out.text(entry.value);
    out.integer(entry.revision);
  }
  out.integer(static_cast<std::uint64_t>(group.history.size()));
  for (const PutEvent& event : group.history) {
    out.text(event.key);
    out.text(event.value);
    out.integer(event.revision);
  }
}

Lock read_lock(Reader& in) {
  Lock out;
  out.holder = in.text();
  out.fence = in.signed_integer();
  out.hold_ms = in.signed_integer();
  out.grant_id = in.integer();
  out.grant_number = in.signed_integer();
  out.acquire_id = in.integer();
  return out;
}

KeyGroup read_group(Reader& in) {
  KeyGroup out;
  out.revision = in.signed_integer();
  for (std::uint64_t left = in.count(); left > 0 && !in.failed(); --left) {
    std::string key = in.text();
    std::string value = in.text();
    out.keys[std::move(key)] = {std::move(value), in.signed_integer()};
  }
  for (std::uint64_t left = in.count(); left > 0 && !in.failed(); --left) {
    PutEvent event;
    event.key = in.text();
    event.value = in.text();
    event.revision = in.signed_integer();
    out.history.push_back(std::move(event));
  }
  return out;
}

}  // namespace

std::optional<std::string> group_of(std::string_view key) {
  const std::size_t dot = key.find('.');
  if (dot == std::string_view::npos || dot == 0) return std::nullopt;
  return std::string(key.substr(0, dot + 1));
}

std::string encode(const State& state) {
  if (state.locks.empty() && state.numbers.empty() && state.groups.empty()) return "";
  Writer out;
  out.integer(format_version);
  out.integer(static_cast<std::uint64_t>(state.locks.size()));
  for (const auto& [name, lock] : state.locks) {
    out.text(name);
    out.text(lock.holder);
    out.integer(lock.fence);
    out.integer(lock.hold_ms);
    out.integer(lock.grant_id);
    out.integer(lock.grant_number);
    out.integer(lock.acquire_id);
  }
  out.integer(static_cast<std::uint64_t>(state.numbers.size()));
  for (const auto& [name, number] : state.numbers) {
    out.text(name);
    out.integer(number);
  }
  out.integer(static_cast<std::uint64_t>(state.groups.size()));
  for (const auto& [prefix, group] : state.groups) {
    out.text(prefix);
    write_group(out, group);
  }
  return std::move(out).result();
}

std::optional<State> decode(std::string_view bytes) {
  State out;
  if (bytes.empty()) return out;
  Reader in(bytes);
  if (in.integer() != format_version) return std::nullopt;
  for (std::uint64_t left = in.count(); left > 0 && !in.failed(); --left) {
    std::string name = in.text();
    out.locks[std::move(name)] = read_lock(in);
  }
  for (std::uint64_t left = in.count(); left > 0 && !in.failed(); --left) {
    std::string name = in.text();
    out.numbers[std::move(name)] = in.signed_integer();
  }
  for (std::uint64_t left = in.count(); left > 0 && !in.failed(); --left) {
    std::string prefix = in.text();
    out.groups[std::move(prefix)] = read_group(in);
  }
  if (in.failed() || !in.at_end()) return std::nullopt;
  return out;
}

}  // namespace chutevane::control::coordination
