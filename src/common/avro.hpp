// Messages and records as Avro, by the schema files in api/: a struct names its fields once, in each().
#pragma once

#include <avro.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace chutevane::common {

extern const char* const control_schema;
extern const char* const storage_schema;

// Bytes that are nobody's text.
struct Bytes {
  std::string data;
  bool operator==(const Bytes&) const = default;
};

namespace avro {

// A value of the record type of that name, to be filled or read; it stays. Ends the process where the schema
// files do not have it: that is an error in building.
avro_value_t* value_of(const char* record);

class Setter {
 public:
  explicit Setter(avro_value_t* record) : record_(record) {}
  void operator()(const char* name, const std::int64_t& v) {
    avro_value_t f = field(name);
    avro_value_set_long(&f, v);
  }
  void operator()(const char* name, const bool& v) {
    avro_value_t f = field(name);
    avro_value_set_boolean(&f, v ? 1 : 0);
  }
  void operator()(const char* name, const std::string& v) {
    avro_value_t f = field(name);
    set(f, v);
  }
  void operator()(const char* name, const Bytes& v) {
    avro_value_t f = field(name);
    avro_value_set_bytes(&f, const_cast<char*>(v.data.data()), v.data.size());
  }
  template <class T>
  void operator()(const char* name, const std::vector<T>& v) {
    avro_value_t f = field(name);
    for (const T& one : v) {
      avro_value_t item;
      avro_value_append(&f, &item, nullptr);
      if constexpr (std::is_same_v<T, std::string>) {
        set(item, one);
      } else {
        Setter inner(&item);
        const_cast<T&>(one).each(inner);
      }
    }
  }
  template <class T>
  requires requires(T& t, Setter& s) { t.each(s); }
  void operator()(const char* name, const T& v) {
    avro_value_t f = field(name);
    Setter inner(&f);
    const_cast<T&>(v).each(inner);
  }

 private:
  avro_value_t field(const char* name) {
    avro_value_t out;
    avro_value_get_by_name(record_, name, &out, nullptr);
    return out;
  }
  static void set(avro_value_t& f, const std::string& v) {
    avro_value_set_string_len(&f, const_cast<char*>(v.c_str()), v.size() + 1);
  }
  avro_value_t* record_;
};

class Getter {
 public:
  explicit Getter(avro_value_t* record) : record_(record) {}
  void operator()(const char* name, std::int64_t& v) {
    avro_value_t f = field(name);
    avro_value_get_long(&f, &v);
  }
  void operator()(const char* name, bool& v) {
    avro_value_t f = field(name);
    int got = 0;
    avro_value_get_boolean(&f, &got);
    v = got != 0;
  }
  void operator()(const char* name, std::string& v) {
    avro_value_t f = field(name);
    get(f, v);
  }
  void operator()(const char* name, Bytes& v) {
    avro_value_t f = field(name);
    const void* at = nullptr;
    std::size_t size = 0;
    avro_value_get_bytes(&f, &at, &size);
    v.data.assign(static_cast<const char*>(at), size);
  }
  template <class T>
  void operator()(const char* name, std::vector<T>& v) {
    avro_value_t f = field(name);
    std::size_t size = 0;
    avro_value_get_size(&f, &size);
    v.clear();
    v.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      avro_value_t item;
      avro_value_get_by_index(&f, i, &item, nullptr);
      if constexpr (std::is_same_v<T, std::string>) {
        get(item, v[i]);
      } else {
        Getter inner(&item);
        v[i].each(inner);
      }
    }
  }
  template <class T>
  requires requires(T& t, Getter& g) { t.each(g); }
  void operator()(const char* name, T& v) {
    avro_value_t f = field(name);
    Getter inner(&f);
    v.each(inner);
  }

 private:
  avro_value_t field(const char* name) {
    avro_value_t out;
    avro_value_get_by_name(record_, name, &out, nullptr);
    return out;
  }
  static void get(avro_value_t& f, std::string& v) {
    const char* at = nullptr;
    std::size_t size = 0;
    avro_value_get_string(&f, &at, &size);
    v.assign(at, size > 0 ? size - 1 : 0);
  }
  avro_value_t* record_;
};

// Walks the bytes of a record without taking anything: guards the library, which allocates what a length says
// and loses it where the rest is missing.
class Checker {
 public:
  explicit Checker(std::string_view bytes) : rest_(bytes) {}
  bool good() const { return good_; }
  bool whole() const { return good_ && rest_.empty(); }
  void operator()(const char*, const std::int64_t&) { number(); }
  void operator()(const char*, const bool&) {
    if (good_ && !rest_.empty() && (rest_[0] == 0 || rest_[0] == 1)) {
      rest_.remove_prefix(1);
    } else {
      good_ = false;
    }
  }
  void operator()(const char*, const std::string&) { text(); }
  void operator()(const char*, const Bytes&) { text(); }
  template <class T>
  void operator()(const char*, const std::vector<T>&) {
    while (good_) {
      std::int64_t count = number();
      if (!good_ || count == 0) return;
      if (count < 0) {  // a block with its size in bytes before it
        number();
        count = count == INT64_MIN ? 0 : -count;
      }
      // Nothing here takes less than a byte: more items than bytes are not there.
      if (count <= 0 || static_cast<std::uint64_t>(count) > rest_.size()) good_ = false;
      for (; good_ && count > 0; --count) {
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
  requires requires(T& t, Setter& s) { t.each(s); }
  void operator()(const char*, const T&) {
    T one;
    one.each(*this);
  }

 private:
  std::int64_t number() {
    std::uint64_t out = 0;
    for (int shift = 0; good_ && shift < 70; shift += 7) {
      if (rest_.empty() || shift == 63 + 7) break;
      const auto byte = static_cast<unsigned char>(rest_[0]);
      rest_.remove_prefix(1);
      out |= static_cast<std::uint64_t>(byte & 0x7fU) << (shift > 63 ? 63 : shift);
      if (byte < 0x80U) return static_cast<std::int64_t>(out >> 1U) ^ -static_cast<std::int64_t>(out & 1U);
    }
    good_ = false;
    return 0;
  }
  void text() {
    const std::int64_t size = number();
    if (!good_ || size < 0 || static_cast<std::uint64_t>(size) > rest_.size()) {
      good_ = false;
    } else {
      rest_.remove_prefix(static_cast<std::size_t>(size));
    }
  }
  std::string_view rest_;
  bool good_ = true;
};

std::string written(avro_value_t* value);
bool read(std::string_view bytes, avro_value_t* value);

}  // namespace avro

template <class M>
std::string encoded(const M& message) {
  avro_value_t* value = avro::value_of(M::record);
  avro_value_reset(value);
  avro::Setter set(value);
  const_cast<M&>(message).each(set);
  std::string out = avro::written(value);
  avro_value_reset(value);  // large bodies do not stay
  return out;
}

// False: these bytes are no such record.
template <class M>
bool decode(std::string_view bytes, M& into) {
  avro::Checker check(bytes);
  into.each(check);
  if (!check.whole()) return false;
  avro_value_t* value = avro::value_of(M::record);
  avro_value_reset(value);
  if (!avro::read(bytes, value)) return false;
  avro::Getter get(value);
  into.each(get);
  avro_value_reset(value);
  return true;
}

}  // namespace chutevane::common
