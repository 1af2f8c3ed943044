// Reads an operator's file: TOML, every key checked and given its default here, all errors at once.
#pragma once

#include <string>
#include <string_view>

#include "opfile/model.hpp"

namespace chutevane::opfile {

// What is wrong with a file: a line each, "FILE:LINE:COLUMN: KEY: WHY".
struct FileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws FileError. `file` is for messages.
Model read(std::string_view text, const std::string& file);
Model load(const std::string& file);

// The settings of a pool as the decision module takes them.
Settings settings_of(const Model& model, const PoolModel& pool);

}  // namespace chutevane::opfile
