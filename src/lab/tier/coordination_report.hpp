/// The figures of the applications' calls, as a table and as JSON.
#pragma once

#include <array>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/tier/coordination_client.hpp"

namespace chutevane::lab::tier {

/// A row for each kind of call: how many ended how, the median and the 99th percentile of the clear answers.
std::string table_of(const CoordinationFigures& figures);

nlohmann::json json_of(const CoordinationFigures& figures);

/// Adds what json_of() wrote. Throws nlohmann::json::exception.
void add_json(CoordinationFigures& figures, const nlohmann::json& more);

}  // namespace chutevane::lab::tier
