/// Names of the balancer's settings: the platform's, and this project's. The configuration and the
/// simulator's protocol both translate by this table.
#pragma once

#include <string>
#include <string_view>

#include "chutevane/types.hpp"

namespace chutevane::config {

/// Adds a setting that is given by its platform name. A name that is not in the table is kept as it is.
void put_setting(Settings& settings, std::string_view platform_name, std::string_view value);
/// The platform's name of a setting, for messages to those who wrote it.
std::string platform_name(std::string_view setting);

}  // namespace chutevane::config
