/// Avro encoding and decoding of records, according to the schema files in api/.
///
/// A record type is a struct with a constant `record` (its name in the schema) and a member template
/// `each(visitor)`, which calls `visitor(name, field)` for every field in the order of the schema. The
/// classes below are such visitors: they write a record, read a record, or validate bytes before they are
/// read. A field is a std::int64_t, bool, std::string, Bytes, another record, or a vector of strings or
/// records.
///
/// The Avro library's value objects are created once for each record type and reused, so encoded() and
/// decode() must all be called on the same thread.
#pragma once

#include <avro.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace chutevane::common {

// The text of api/control.avsc and api/storage.avsc, which CMake inserts into schemas.cpp.in.
extern const char* const control_schema;
extern const char* const storage_schema;

/// A field of the schema type `bytes`. (A std::string has the schema type `string`.)
struct Bytes {
  std::string data;
  bool operator==(const Bytes&) const = default;
};

namespace avro {

/// Returns the library's value object for the record type `record`, to be filled or read. The library owns it
/// until the process exits. Aborts the process if the schema files have no such type, which is a build error.
avro_value_t* shared_value(const char* record);

/// Visitor that writes the fields of a struct into a value of the Avro library.
class RecordWriter {
 public:
  explicit RecordWriter(avro_value_t* record) : record_(record) {}
  void operator()(const char* name, const std::int64_t& v) {
    avro_value_t target = field(name);
    avro_value_set_long(&target, v);
  }
  void operator()(const char* name, const bool& v) {
    avro_value_t target = field(name);
    avro_value_set_boolean(&target, v ? 1 : 0);
  }
  void operator()(const char* name, const std::string& v) {
    avro_value_t target = field(name);
    set(target, v);
  }
  void operator()(const char* name, const Bytes& v) {
    avro_value_t target = field(name);
    avro_value_set_bytes(&target, const_cast<char*>(v.data.data()), v.data.size());
  }
  template <class T>
  void operator()(const char* name, const std::vector<T>& v) {
    avro_value_t target = field(name);
    for (const T& one : v) {
      avro_value_t item;
      avro_value_append(&target, &item, nullptr);
      if constexpr (std::is_same_v<T, std::string>) {
        set(item, one);
      } else {
        RecordWriter inner(&item);
        const_cast<T&>(one).each(inner);
      }
    }
  }
  template <class T>
  requires requires(T& t, RecordWriter& s) { t.each(s); }
  void operator()(const char* name, const T& v) {
    avro_value_t target = field(name);
    RecordWriter inner(&target);
    const_cast<T&>(v).each(inner);
  }

 private:
  avro_value_t field(const char* name) {
    avro_value_t out;
    avro_value_get_by_name(record_, name, &out, nullptr);
    return out;
  }
  static void set(avro_value_t& target, const std::string& v) {
    avro_value_set_string_len(&target, const_cast<char*>(v.c_str()), v.size() + 1);
  }
  avro_value_t* record_;
};

/// Visitor that reads the fields of a struct from a value of the Avro library.
class RecordReader {
 public:
  explicit RecordReader(avro_value_t* record) : record_(record) {}
  void operator()(const char* name, std::int64_t& v) {
    avro_value_t source = field(name);
    avro_value_get_long(&source, &v);
  }
  void operator()(const char* name, bool& v) {
    avro_value_t source = field(name);
    int got = 0;
    avro_value_get_boolean(&source, &got);
    v = got != 0;
  }
  void operator()(const char* name, std::string& v) {
    avro_value_t source = field(name);
    get(source, v);
  }
  void operator()(const char* name, Bytes& v) {
    avro_value_t source = field(name);
    const void* data = nullptr;
    std::size_t size = 0;
    avro_value_get_bytes(&source, &data, &size);
    v.data.assign(static_cast<const char*>(data), size);
  }
  template <class T>
  void operator()(const char* name, std::vector<T>& v) {
    avro_value_t source = field(name);
    std::size_t size = 0;
    avro_value_get_size(&source, &size);
    v.clear();
    v.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      avro_value_t item;
      avro_value_get_by_index(&source, i, &item, nullptr);
      if constexpr (std::is_same_v<T, std::string>) {
        get(item, v[i]);
      } else {
        RecordReader inner(&item);
        v[i].each(inner);
      }
    }
  }
  template <class T>
  requires requires(T& t, RecordReader& g) { t.each(g); }
  void operator()(const char* name, T& v) {
    avro_value_t source = field(name);
    RecordReader inner(&source);
    v.each(inner);
  }

 private:
  avro_value_t field(const char* name) {
    avro_value_t out;
    avro_value_get_by_name(record_, name, &out, nullptr);
    return out;
  }
  static void get(avro_value_t& source, std::string& v) {
    const char* text = nullptr;
    std::size_t size = 0;
    avro_value_get_string(&source, &text, &size);
    v.assign(text, size > 0 ? size - 1 : 0);
  }
  avro_value_t* record_;
};

/// Visitor that checks the encoding of a record without storing anything. Untrusted bytes must pass this
/// check before the library parses them: the library allocates as much memory as a length field claims, and
/// leaks it if the bytes end early.
class EncodingValidator {
 public:
  explicit EncodingValidator(std::string_view bytes) : rest_(bytes) {}
  /// Returns true if, after the visit, the bytes are a valid encoding of the record with no trailing bytes.
  bool is_complete() const { return valid_ && rest_.empty(); }
  void operator()(const char*, const std::int64_t&) { number(); }
  void operator()(const char*, const bool&) {
    if (valid_ && !rest_.empty() && (rest_[0] == 0 || rest_[0] == 1)) {
      rest_.remove_prefix(1);
    } else {
      valid_ = false;
    }
  }
  void operator()(const char*, const std::string&) { text(); }
  void operator()(const char*, const Bytes&) { text(); }
  template <class T>
  void operator()(const char*, const std::vector<T>&) {
    while (valid_) {
      std::int64_t count = number();
      if (!valid_ || count == 0) return;
      if (count < 0) {  // a negative count is followed by the size of the block in bytes
        number();
        count = count == INT64_MIN ? 0 : -count;
      }
      // Every item takes at least one byte, so there cannot be more items than bytes.
      if (count <= 0 || static_cast<std::uint64_t>(count) > rest_.size()) valid_ = false;
      for (; valid_ && count > 0; --count) {
        if constexpr (std::is_same_v<T, std::string>) {
          text();
        } else {
          T one;
          one.each(*this);
        }
      }
    }
  }
  template <class T>
  requires requires(T& t, RecordWriter& s) { t.each(s); }
  void operator()(const char*, const T&) {
    T one;
    one.each(*this);
  }

 private:
  /// Consumes a zigzag-encoded variable-length integer, the encoding of all integers in Avro.
  std::int64_t number() {
    std::uint64_t out = 0;
    for (int shift = 0; valid_ && shift < 70; shift += 7) {
      if (rest_.empty()) break;
      const auto byte = static_cast<unsigned char>(rest_[0]);
      rest_.remove_prefix(1);
      out |= static_cast<std::uint64_t>(byte & 0x7fU) << (shift > 63 ? 63 : shift);
      if (byte < 0x80U) return static_cast<std::int64_t>(out >> 1U) ^ -static_cast<std::int64_t>(out & 1U);
    }
    valid_ = false;
    return 0;
  }
  /// Consumes a length and that many bytes.
  void text() {
    const std::int64_t size = number();
    if (!valid_ || size < 0 || static_cast<std::uint64_t>(size) > rest_.size()) {
      valid_ = false;
    } else {
      rest_.remove_prefix(static_cast<std::size_t>(size));
    }
  }
  std::string_view rest_;
  bool valid_ = true;
};

/// Returns the encoding of `value`.
std::string serialize(avro_value_t* value);
/// Decodes `bytes` into `value`. Returns false if they are not a valid encoding of a value of its type.
[[nodiscard]] bool parse(std::string_view bytes, avro_value_t* value);

}  // namespace avro

/// Returns the Avro encoding of a record.
template <class M>
std::string encoded(const M& message) {
  avro_value_t* value = avro::shared_value(M::record);
  avro_value_reset(value);
  avro::RecordWriter writer(value);
  const_cast<M&>(message).each(writer);  // a writer only reads the fields
  std::string out = avro::serialize(value);
  avro_value_reset(value);  // frees large bodies
  return out;
}

/// Decodes a record from its encoding. Returns false, and leaves `into` unchanged, unless the bytes are the
/// encoding of exactly one such record.
template <class M>
[[nodiscard]] bool decode(std::string_view bytes, M& into) {
  avro::EncodingValidator validator(bytes);
  into.each(validator);
  if (!validator.is_complete()) return false;
  avro_value_t* value = avro::shared_value(M::record);
  avro_value_reset(value);
  if (!avro::parse(bytes, value)) return false;
  avro::RecordReader reader(value);
  into.each(reader);
  avro_value_reset(value);
  return true;
}

}  // namespace chutevane::common
