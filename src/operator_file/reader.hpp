/// Reads an operator's file: TOML, with every key checked and given its default here, and all errors reported
/// at once. docs/operators/configuration.md describes the file.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "operator_file/model.hpp"

namespace chutevane::operator_file {

/// What is wrong with a file: a line for each error, "FILE:LINE:COLUMN: KEY: REASON".
struct OperatorFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throw OperatorFileError. `file` is the name in messages.
Model read(std::string_view text, const std::string& file);
Model load(const std::string& file);

/// A pool's settings as the balancer takes them.
Settings settings_of(const Model& model, const PoolModel& pool);

}  // namespace chutevane::operator_file
