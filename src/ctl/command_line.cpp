#include "ctl/command_line.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cxxopts.hpp>
#include <sstream>

namespace chutevane::ctl {
namespace {

constexpr double default_timeout_s = 10;  // outlasts a change of the acceptor set, some 4 s
constexpr double max_timeout_s = 86400;   // a day: more is a mistake
constexpr std::size_t max_control_addresses = 1000;

constexpr std::array<CommandSpec, 15> specs = {{
    {Command::status, "status", "", "", true, "what one control sidecar knows: register, machines, duties"},
    {Command::members, "members", "", "", true,
     "the sidecars with a session, and what each has acknowledged"},
    {Command::duties, "duties", "", "", true, "asks every control sidecar named which duties it holds"},
    {Command::coordination, "coordination", "", " all ", true,
     "locks, elections, numbers and groups of keys, as one control sidecar knows them"},
    {Command::config_get, "config get", "", " output ", true, "the configuration in force, as it was sent"},
    {Command::config_check, "config check", "FILE", "", false,
     "reads FILE and names all that is wrong; offline"},
    {Command::config_put, "config put", "FILE", " base ", true, "puts FILE in the place of the current one"},
    {Command::config_diff, "config diff", "FILE", "", true, "what FILE would change; 1 where it would"},
    {Command::config_history, "config history", "", "", true, "versions and hashes of what was taken"},
    {Command::retire_start, "retire start", "NODE", " deadline-s ", true,
     "asks for a storage machine to be emptied"},
    {Command::retire_state, "retire state", "NODE", " wait ", true,
     "active, or completed: it may be taken away"},
    {Command::settings_check, "settings check", "FILE", "", false, "reads a program's settings; offline"},
    {Command::disk_show, "disk show", "FOLDER", "", false, "what a data folder holds; writes nothing"},
    {Command::turns, "turns", "FOLDER", " program ", false,
     "the turns and accounts of a data folder; writes nothing"},
    {Command::completion, "completion", "SHELL", "", false, "prints a completion script; SHELL: bash"},
}};

// Options that every command takes, each between blanks.
constexpr std::string_view common_options = " control timeout json help version words ";

constexpr std::string_view node_name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~:@!$&'()*+,;=";

cxxopts::Options option_definitions() {
  cxxopts::Options out("chutevanectl",
                       "Asks and orders control sidecars of the serving tier; reads its files and folders.");
  auto add = out.add_options();
  add("control", "control addresses, HOST:PORT,...; else $CHUTEVANE_CONTROL", cxxopts::value<std::string>());
  add("timeout", "seconds that a command may take", cxxopts::value<double>()->default_value("10"));
  add("json", "print one JSON object");
  add("o,output", "config get: write FILE in place of standard output", cxxopts::value<std::string>(),
      "FILE");
  add("base", "config put: the version it builds on; else the current one", cxxopts::value<std::int64_t>(),
      "N");
  add("deadline-s", "retire start: seconds it should take", cxxopts::value<double>(), "N");
  add("wait", "retire state: ask until it is completed");
  add("all", "coordination: ask every control sidecar named, and compare");
  add("program", "turns: of this program alone", cxxopts::value<std::string>(), "ID");
  add("version", "print the version");
  add("h,help", "print this");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  out.parse_positional("words");
  return out;
}

absl::Status usage_error(const std::string& what) { return absl::InvalidArgumentError(what); }

/// Whether it has the form HOST:PORT.
bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || text.find_first_of(" /@") != std::string_view::npos)
    return false;
  const std::string_view digits = text.substr(colon + 1);
  int port = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0 && port < 65536;
}

absl::Status malformed_address(const std::string& origin, const std::string& address) {
  return usage_error(origin + ": '" + address + "' is not HOST:PORT");
}

/// `origin`: where the list is from, for errors.
absl::Status parse_control_addresses(const std::string& list, const std::string& origin, CommandLine& into) {
  std::istringstream in(list);
  for (std::string address; std::getline(in, address, ',');) {
    if (address.empty()) continue;
    if (!is_address(address)) return malformed_address(origin, address);
    into.control_addresses.push_back(address);
  }
  if (into.control_addresses.size() > max_control_addresses)
    return usage_error(origin + ": over 1000 addresses");
  return absl::OkStatus();
}

/// The command whose name the words begin with, the longest; `name_words` is set to the count of these words.
/// nullptr: there is none.
const CommandSpec* find_command(const std::vector<std::string>& words, std::size_t& name_words) {
  for (name_words = 2; name_words > 0; --name_words) {
    if (words.size() < name_words) continue;
    const std::string name = name_words == 2 ? words[0] + " " + words[1] : words[0];
    for (const CommandSpec& spec : specs) {
      if (spec.name == name) return &spec;
    }
  }
  return nullptr;
}

using Words = std::vector<std::string>;

/// What follows the command's name: its operand, if it takes one, and nothing else.
absl::Status parse_operand(const CommandSpec& spec, const Words& words, std::size_t name_words,
                           CommandLine& into) {
  const std::string name(spec.name);
  const std::size_t operands = spec.operand.empty() ? 0 : 1;
  if (words.size() < name_words + operands)
    return usage_error(name + ": " + std::string(spec.operand) + " is missing");
  if (words.size() > name_words + operands)
    return usage_error(name + ": '" + words[name_words + operands] + "' is too much");
  if (operands == 0) return absl::OkStatus();
  into.operand = words[name_words];
  if (into.operand.empty()) return usage_error(name + ": " + std::string(spec.operand) + " is empty");
  // It goes into a request's target without escapes.
  if (spec.operand == "NODE" && into.operand.find_first_not_of(node_name_characters) != std::string::npos)
    return usage_error(name + ": '" + into.operand + "' has letters that no path takes");
  return absl::OkStatus();
}

absl::Status check_options_fit(const CommandSpec& spec, const cxxopts::ParseResult& given) {
  for (const auto& option : given.arguments()) {
    const std::string key = " " + option.key() + " ";
    if (common_options.find(key) == std::string_view::npos &&
        spec.options.find(key) == std::string_view::npos)
      return usage_error(std::string(spec.name) + ": takes no --" + option.key());
  }
  return absl::OkStatus();
}

absl::Status parse_options(const cxxopts::ParseResult& given, CommandLine& into) {
  into.json = given.count("json") > 0;
  into.wait = given.count("wait") > 0;
  into.all = given.count("all") > 0;
  const auto timeout_s = given["timeout"].as<double>();
  if (!(timeout_s > 0) || !(timeout_s <= max_timeout_s))
    return usage_error("--timeout: not above 0 and up to 86400 s");
  into.timeout = Span::ms(timeout_s * 1000);
  if (given.count("output") > 0) into.output = given["output"].as<std::string>();
  if (given.count("program") > 0) into.program = given["program"].as<std::string>();
  if (given.count("base") > 0) {
    into.base = given["base"].as<std::int64_t>();
    if (*into.base < 0) return usage_error("--base: below 0");
  }
  if (into.command == Command::retire_start) {
    if (given.count("deadline-s") == 0) return usage_error("retire start: --deadline-s is missing");
    into.deadline_s = given["deadline-s"].as<double>();
    if (!(into.deadline_s > 0) || !std::isfinite(into.deadline_s))
      return usage_error("--deadline-s: not above 0");
  }
  if (into.command == Command::completion && into.operand != "bash")
    return usage_error("completion: '" + into.operand + "' is not bash");
  return absl::OkStatus();
}

absl::Status parse_control(const CommandSpec& spec, const cxxopts::ParseResult& given,
                           const std::string& control_default, CommandLine& into) {
  const bool is_given = given.count("control") > 0;
  const std::string list = is_given ? given["control"].as<std::string>() : control_default;
  if (auto parsed = parse_control_addresses(list, is_given ? "--control" : control_variable, into);
      !parsed.ok())
    return parsed;
  if (into.control_addresses.empty())
    return usage_error(std::string(spec.name) + ": no control address: give --control, or set " +
                       std::string(control_variable));
  return absl::OkStatus();
}

absl::Status parse(const cxxopts::ParseResult& given, const std::string& control_default, CommandLine& into) {
  into.help = given.count("help") > 0;
  into.version = given.count("version") > 0;
  if (into.help || into.version) return absl::OkStatus();
  const Words words = given.count("words") > 0 ? given["words"].as<Words>() : Words();
  if (words.empty()) return usage_error("no command; --help lists them");
  std::size_t name_words = 0;
  const CommandSpec* const spec = find_command(words, name_words);
  if (spec == nullptr) return usage_error("'" + words[0] + "': no such command; --help lists them");
  into.command = spec->command;
  if (auto status = parse_operand(*spec, words, name_words, into); !status.ok()) return status;
  if (auto status = check_options_fit(*spec, given); !status.ok()) return status;
  if (auto status = parse_options(given, into); !status.ok()) return status;
  return spec->needs_control ? parse_control(*spec, given, control_default, into) : absl::OkStatus();
}

}  // namespace

std::span<const CommandSpec> command_specs() { return specs; }

absl::StatusOr<CommandLine> parse_command_line(const std::vector<std::string>& arguments,
                                               const std::string& control_default) {
  CommandLine out;
  out.timeout = Span::ms(default_timeout_s * 1000);
  std::vector<const char*> argv = {"chutevanectl"};
  for (const std::string& argument : arguments) argv.push_back(argument.c_str());
  try {
    cxxopts::Options options = option_definitions();
    const auto given = options.parse(static_cast<int>(argv.size()), argv.data());
    if (auto status = parse(given, control_default, out); !status.ok()) return status;
    return out;
  } catch (const std::exception& e) {  // those of cxxopts: each names its option
    return usage_error(e.what());
  }
}

std::string help_text() {
  cxxopts::Options options = option_definitions();
  options.custom_help("COMMAND [OPTION...]");
  options.positional_help("");
  options.set_width(108);
  std::string out = options.help() + "\nCommands:\n";
  for (const CommandSpec& spec : specs) {
    std::string line = "  " + std::string(spec.name);
    if (!spec.operand.empty()) line += " " + std::string(spec.operand);
    line.resize(std::max<std::size_t>(line.size() + 2, 24), ' ');
    out += line + std::string(spec.summary) + "\n";
  }
  out +=
      "\nExit codes:\n"
      "  0  good\n"
      "  1  refused by the system, or findings in what was read, or a difference (config diff)\n"
      "  2  wrong use: command line, or a file that cannot be opened or written\n"
      "  3  nobody could be reached, or it is not clear whether an order is in force\n"
      "\nErrors are one line each on standard error, with their place.\n";
  return out;
}

std::string bash_completion() {
  std::string first_words, rules;
  for (const CommandSpec& spec : specs) {
    const std::string name(spec.name), word = name.substr(0, name.find(' '));
    if ((" " + first_words + " ").find(" " + word + " ") == std::string::npos)
      first_words += (first_words.empty() ? "" : " ") + word;
    if (word.size() == name.size()) continue;
    // Commands with the same first word are neighbours in the table.
    const std::string rule = "    " + word + ") words=\"";
    if (rules.find(rule) == std::string::npos) rules += rule + "\" ;;\n";
    const std::size_t end = rules.find("\" ;;", rules.find(rule));
    const std::string second_word = name.substr(word.size() + 1);
    rules.insert(end, (rules[end - 1] == '"' ? "" : " ") + second_word);
  }
  return "# bash completion of chutevanectl: source this, or lay it in bash-completion's folder\n"
         "_chutevane_ctl() {\n"
         "  local at=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]} words=\n"
         "  COMPREPLY=()\n"
         "  case $at in\n"
         "    -*)\n"
         "      words=\"--control --timeout --json --output --base --deadline-s --wait --all --program "
         "--version --help\"\n"
         "      COMPREPLY=($(compgen -W \"$words\" -- \"$at\"))\n"
         "      return ;;\n"
         "  esac\n"
         "  case ${before##*/} in\n"
         "    chutevanectl) words=\"" +
         first_words + "\" ;;\n" + rules +
         "    completion) words=bash ;;\n"
         "    check|put|diff|-o|--output) compopt -o default; return ;;\n"
         "    show|turns) compopt -o dirnames; return ;;\n"
         "    *) return ;;\n"
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$at\"))\n"
         "}\n"
         "complete -F _chutevane_ctl chutevanectl\n";
}

}  // namespace chutevane::ctl
