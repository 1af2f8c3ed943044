/// The commands of chutevanectl. Each prints its result, reports failures on standard error, and returns the
/// exit code.
#pragma once

#include "ctl/command_context.hpp"

namespace chutevane::ctl {

// status_commands.cpp
ExitCode show_status(CommandContext& context);
ExitCode list_members(CommandContext& context);
ExitCode list_roles(CommandContext& context);

// coordination_commands.cpp
ExitCode show_coordination(CommandContext& context);

// configuration_commands.cpp
ExitCode get_configuration(CommandContext& context);
ExitCode check_configuration(CommandContext& context);
ExitCode put_configuration(CommandContext& context);
ExitCode diff_configuration(CommandContext& context);
ExitCode show_configuration_history(CommandContext& context);

// retire_commands.cpp
ExitCode start_retirement(CommandContext& context);
ExitCode show_retirement(CommandContext& context);

// file_commands.cpp
ExitCode check_settings(CommandContext& context);
ExitCode show_data_folder(CommandContext& context);
ExitCode list_turns(CommandContext& context);

}  // namespace chutevane::ctl
