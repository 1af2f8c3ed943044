// Messages and records as Avro, by the schema files in api/: a struct names its fields once, in each().
#pragma once

#include <avro.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace chutevane::market {

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
  avro_value_t* value = avro::value_of(M::record);
  avro_value_reset(value);
  if (!avro::read(bytes, value)) return false;
  avro::Getter get(value);
  into.each(get);
  avro_value_reset(value);
  return true;
}

}  // namespace chutevane::market
