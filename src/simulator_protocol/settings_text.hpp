/// Parsing of the deployment's settings and load reports, as the simulator sends them.
#pragma once

#include <string_view>

#include "chutevane/types.hpp"
#include "simulator_protocol/event_frame.hpp"

namespace chutevane::simulator_protocol {

/// Parses lines of "name=value" and translates the simulator's names to this project's
/// (config/setting_names.hpp). Unknown names are kept; lines without "=" are ignored.
[[nodiscard]] Settings parse_settings(std::string_view text);

/// Returns the load report in an event. `fields` is the deployment's setting `report.fields`: the names of
/// the values in their order, separated by commas. Values with unknown names are ignored.
[[nodiscard]] LoadReport parse_load_report(const Event& event, std::string_view fields);

}  // namespace chutevane::simulator_protocol
