// The command line of chutevanectl, read and checked whole before anything is called or opened.
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

enum class Verb : std::uint8_t {
  status,
  members,
  duties,
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

struct Command {
  Verb verb;
  std::string_view words;    // "config put"
  std::string_view operand;  // "FILE"; empty: none
  std::string_view own;      // its own options, each between blanks
  bool calls;                // sidecars
  std::string_view about;
};
std::span<const Command> commands();

struct Order {
  Verb verb = Verb::status;
  std::string operand;
  std::vector<std::string> controls;  // HOST:PORT
  Span timeout;
  bool json = false, wait = false, help = false, version = false;
  std::string output;   // empty: standard output
  std::string program;  // empty: all
  std::optional<std::int64_t> base;
  double deadline_s = 0;
};

constexpr const char* control_variable = "CHUTEVANE_CONTROL";

// `control`: what the variable has, or nothing. The error names the option or word that is wrong.
absl::StatusOr<Order> read_order(const std::vector<std::string>& arguments, const std::string& control);
std::string help_text();
std::string bash_completion();

}  // namespace chutevane::ctl
