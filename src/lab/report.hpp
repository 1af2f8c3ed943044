// What a run is shown as: a table for the terminal, JSON for programs, one HTML file with drawings for
// people.
#pragma once

#include <string>

#include "lab/fleet.hpp"

namespace chutevane::lab {

std::string table_of(const Experiment& experiment, const Result& result);
std::string json_of(const Experiment& experiment, const Result& result);
std::string html_of(const Experiment& experiment, const Result& result);

}  // namespace chutevane::lab
