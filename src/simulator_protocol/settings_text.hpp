/// What the simulator states about a deployment: its settings, and the meaning of load reports.
#pragma once

#include <string_view>

#include "chutevane/types.hpp"
#include "simulator_protocol/event_frame.hpp"

namespace chutevane::simulator_protocol {

/// Settings from lines of "name=value", under the names that this project uses (config/names.hpp). A name
/// that is not known there is kept; a line without "=" is ignored.
[[nodiscard]] Settings parse_settings(std::string_view text);

/// A load report from an event's figures. `fields`: the deployment's setting `report.fields`, the names of
/// the figures in their order, separated by commas. Figures of other names are ignored.
[[nodiscard]] LoadReport parse_load_report(const Event& event, std::string_view fields);

}  // namespace chutevane::simulator_protocol
