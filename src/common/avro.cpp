#include "common/avro.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>

namespace chutevane::common::avro {
namespace {

[[noreturn]] void stop(const char* what) {
  std::fprintf(stderr, "schema: %s: %s\n", what, avro_strerror());
  std::abort();
}

// Freed at the end of the process, part by part: the library counts references.
struct Schemas {
  std::map<std::string, avro_value_t, std::less<>> values;  // branches of `unions`
  std::vector<avro_value_t> unions;
  std::vector<avro_value_iface_t*> classes;
  std::vector<avro_schema_t> schemas;
  Schemas() {
    for (const char* text : {control_schema, storage_schema}) {
      avro_schema_t all;
      if (avro_schema_from_json_length(text, std::strlen(text), &all) != 0) stop("not read");
      // A class of all: records name one another. Each value is a branch of a union of its own.
      avro_value_iface_t* iface = avro_generic_class_from_schema(all);
      if (iface == nullptr) stop("no class");
      schemas.push_back(all);
      classes.push_back(iface);
      for (std::size_t i = 0; i < avro_schema_union_size(all); ++i) {
        avro_schema_t one = avro_schema_union_branch(all, static_cast<int>(i));
        avro_value_t of_all, value;
        if (avro_generic_value_new(iface, &of_all) != 0 ||
            avro_value_set_branch(&of_all, static_cast<int>(i), &value) != 0)
          stop("no value");
        unions.push_back(of_all);
        values.emplace(avro_schema_name(one), value);
      }
    }
  }
  ~Schemas() {
    for (avro_value_t& one : unions) avro_value_decref(&one);
    for (avro_value_iface_t* one : classes) avro_value_iface_decref(one);
    for (avro_schema_t one : schemas) avro_schema_decref(one);
  }
  Schemas(const Schemas&) = delete;
  Schemas& operator=(const Schemas&) = delete;
};

Schemas& schemas() {
  static Schemas all;
  return all;
}

}  // namespace

avro_value_t* value_of(const char* record) {
  const auto found = schemas().values.find(std::string_view(record));
  if (found == schemas().values.end()) stop(record);
  return &found->second;
}

std::string written(avro_value_t* value) {
  std::size_t size = 0;
  if (avro_value_sizeof(value, &size) != 0) stop("size");
  std::string out(size, '\0');
  avro_writer_t writer = avro_writer_memory(out.data(), static_cast<std::int64_t>(size));
  if (avro_value_write(writer, value) != 0) stop("write");
  avro_writer_free(writer);
  return out;
}

bool read(std::string_view bytes, avro_value_t* value) {
  avro_reader_t reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  const bool good = avro_value_read(reader, value) == 0;
  avro_reader_free(reader);
  return good;
}

}  // namespace chutevane::common::avro
