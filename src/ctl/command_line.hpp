/// The command line of chutevanectl. It is read and checked completely before any request is sent or file
/// opened.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "chutevane/types.hpp"

namespace chutevane::ctl {

enum class Command : std::uint8_t {
  status,
  members,
  duties,
  coordination,
  config_get,
  config_check,
  config_put,
  config_diff,
  config_history,
  retire_start,
  retire_state,
  settings_check,
  disk_show,
  turns,
  completion,
};

/// A command as it is listed in the help and the completion.
struct CommandSpec {
  Command command;
  std::string_view name;     ///< one word or two: "config put"
  std::string_view operand;  ///< placeholder of its operand, such as "FILE"; empty: it takes none
  std::string_view options;  ///< its own options, each between blanks
  bool needs_control;        ///< it sends requests to control sidecars
  std::string_view summary;
};
std::span<const CommandSpec> command_specs();

/// The command line of one run.
struct CommandLine {
  Command command = Command::status;
  std::string operand;
  std::vector<std::string> control_addresses;  ///< HOST:PORT each
  Span timeout;                                ///< for the whole command
  bool json = false;
  bool wait = false;
  bool all = false;
  bool help = false;
  bool version = false;
  std::string output;   ///< a file; empty: standard output
  std::string program;  ///< id; empty: all programs
  std::optional<std::int64_t> base;
  double deadline_s = 0;
};

/// Environment variable that names the control addresses.
constexpr const char* control_variable = "CHUTEVANE_CONTROL";

/// `control_default`: value of control_variable, which --control overrides; may be empty. InvalidArgument
/// names the option or word that is wrong.
absl::StatusOr<CommandLine> parse_command_line(const std::vector<std::string>& arguments,
                                               const std::string& control_default);
/// The text of --help.
std::string help_text();
/// A completion script for bash.
std::string bash_completion();

}  // namespace chutevane::ctl
