#include "common/avro.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>

namespace chutevane::common::avro {
namespace {

[[noreturn]] void abort_on_bad_schema(const char* what) {
  std::fprintf(stderr, "schema: %s: %s\n", what, avro_strerror());
  std::abort();
}

/// The parsed schemas, and one value object for each record type. The library counts references, so each
/// member is released independently.
struct Schemas {
  std::map<std::string, avro_value_t, std::less<>>
      values;  // by record name; each is a branch of one of `unions`
  std::vector<avro_value_t> unions;
  std::vector<avro_value_iface_t*> classes;
  std::vector<avro_schema_t> schemas;
  Schemas() {
    for (const char* text : {control_schema, storage_schema}) {
      avro_schema_t all;
      if (avro_schema_from_json_length(text, std::strlen(text), &all) != 0)
        abort_on_bad_schema("cannot be parsed");
      // Records refer to one another, so each schema file is a single schema: the union of all its records.
      // Each record type's value is a branch of its own union value.
      avro_value_iface_t* iface = avro_generic_class_from_schema(all);
      if (iface == nullptr) abort_on_bad_schema("cannot create the value class");
      schemas.push_back(all);
      classes.push_back(iface);
      for (std::size_t i = 0; i < avro_schema_union_size(all); ++i) {
        avro_schema_t branch = avro_schema_union_branch(all, static_cast<int>(i));
        avro_value_t union_value, value;
        if (avro_generic_value_new(iface, &union_value) != 0 ||
            avro_value_set_branch(&union_value, static_cast<int>(i), &value) != 0)
          abort_on_bad_schema("cannot create a value");
        unions.push_back(union_value);
        values.emplace(avro_schema_name(branch), value);
      }
    }
  }
  ~Schemas() {
    for (avro_value_t& value : unions) avro_value_decref(&value);
    for (avro_value_iface_t* iface : classes) avro_value_iface_decref(iface);
    for (avro_schema_t schema : schemas) avro_schema_decref(schema);
  }
  Schemas(const Schemas&) = delete;
  Schemas& operator=(const Schemas&) = delete;
};

Schemas& schemas() {
  static Schemas all;
  return all;
}

}  // namespace

avro_value_t* shared_value(const char* record) {
  const auto found = schemas().values.find(std::string_view(record));
  if (found == schemas().values.end()) abort_on_bad_schema(record);
  return &found->second;
}

std::string serialize(avro_value_t* value) {
  std::size_t size = 0;
  if (avro_value_sizeof(value, &size) != 0) abort_on_bad_schema("cannot determine the encoded size");
  std::string out(size, '\0');
  avro_writer_t writer = avro_writer_memory(out.data(), static_cast<std::int64_t>(size));
  if (avro_value_write(writer, value) != 0) abort_on_bad_schema("cannot encode a value");
  avro_writer_free(writer);
  return out;
}

bool parse(std::string_view bytes, avro_value_t* value) {
  avro_reader_t reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  const bool parsed = avro_value_read(reader, value) == 0;
  avro_reader_free(reader);
  return parsed;
}

}  // namespace chutevane::common::avro
