#include "ctl/run.hpp"

#include "ctl/command_line.hpp"
#include "ctl/commands.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

ExitCode print_completion(CommandContext& context) {
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("shell").text(context.line().operand);
    context.print(json.key("script").text(bash_completion()).close('}'));
  } else {
    context.out() << bash_completion();
  }
  return ExitCode::success;
}

ExitCode run_command(CommandContext& context) {
  switch (context.line().command) {
    case Command::status: return show_status(context);
    case Command::members: return list_members(context);
    case Command::duties: return list_roles(context);
    case Command::coordination: return show_coordination(context);
    case Command::config_get: return get_configuration(context);
    case Command::config_check: return check_configuration(context);
    case Command::config_put: return put_configuration(context);
    case Command::config_diff: return diff_configuration(context);
    case Command::config_history: return show_configuration_history(context);
    case Command::retire_start: return start_retirement(context);
    case Command::retire_state: return show_retirement(context);
    case Command::settings_check: return check_settings(context);
    case Command::disk_show: return show_data_folder(context);
    case Command::turns: return list_turns(context);
    case Command::completion: return print_completion(context);
  }
  return ExitCode::bad_usage;
}

}  // namespace

int run(const std::vector<std::string>& arguments, Environment& environment) {
  auto line = parse_command_line(arguments, environment.control);
  if (!line.ok()) {
    environment.err << "chutevanectl: " << printable(std::string(line.status().message())) << '\n';
    return static_cast<int>(ExitCode::bad_usage);
  }
  ExitCode code = ExitCode::success;
  if (line->help) {
    environment.out << help_text();
  } else if (line->version) {
    environment.out << "chutevanectl " << environment.version << '\n';
  } else {
    CommandContext context(*std::move(line), environment);
    code = run_command(context);
  }
  if (!environment.out.flush()) {
    environment.err << "chutevanectl: standard output: cannot be written\n";
    if (code == ExitCode::success) code = ExitCode::bad_usage;
  }
  return static_cast<int>(code);
}

}  // namespace chutevane::ctl
