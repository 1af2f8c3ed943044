// The settings' names: those of the platform, and those this project uses. Both fronts read by this table.
#pragma once

#include <string>
#include <string_view>

#include "chutevane/types.hpp"

namespace chutevane::config {

// Takes a setting under its platform name and keeps it under ours; what is not in the table keeps its name.
void put_setting(Settings& into, std::string_view platform_key, std::string_view value);
// The platform's name of a setting, for messages to those who wrote it.
std::string platform_name(std::string_view setting);

}  // namespace chutevane::config
