#include "ctl/orders.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cxxopts.hpp>
#include <sstream>

namespace chutevane::ctl {
namespace {

constexpr double timeout_s = 10;          // outlasts the change of a set of acceptors, some 4 s
constexpr double timeout_most_s = 86400;  // a day: more is an error in writing
constexpr std::size_t controls_most = 1000;

constexpr std::array<Command, 14> all = {{
    {Verb::status, "status", "", "", true, "what one control sidecar knows: register, machines, duties"},
    {Verb::members, "members", "", "", true, "the sidecars with a session, and what each has acknowledged"},
    {Verb::duties, "duties", "", "", true, "asks every control sidecar named which duties it holds"},
    {Verb::config_get, "config get", "", " output ", true, "the configuration in force, as it was sent"},
    {Verb::config_check, "config check", "FILE", "", false,
     "reads FILE and names all that is wrong; offline"},
    {Verb::config_put, "config put", "FILE", " base ", true, "puts FILE in the place of the current one"},
    {Verb::config_diff, "config diff", "FILE", "", true, "what FILE would change; 1 where it would"},
    {Verb::config_history, "config history", "", "", true, "versions and hashes of what was taken"},
    {Verb::retire_start, "retire start", "NODE", " deadline-s ", true,
     "asks for a storage machine to be emptied"},
    {Verb::retire_state, "retire state", "NODE", " wait ", true,
     "active, or completed: it may be taken away"},
    {Verb::settings_check, "settings check", "FILE", "", false, "reads a program's settings; offline"},
    {Verb::disk_show, "disk show", "FOLDER", "", false, "what a data folder holds; writes nothing"},
    {Verb::turns, "turns", "FOLDER", " program ", false,
     "the turns and accounts of a data folder; writes nothing"},
    {Verb::completion, "completion", "SHELL", "", false, "prints a completion script; SHELL: bash"},
}};

// Options that each command takes; those of one command stand at it.
constexpr std::string_view common = " control timeout json help version words ";

constexpr std::string_view node_letters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~:@!$&'()*+,;=";

cxxopts::Options described() {
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
  add("program", "turns: of this program alone", cxxopts::value<std::string>(), "ID");
  add("version", "print the version");
  add("h,help", "print this");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  out.parse_positional("words");
  return out;
}

absl::Status wrong(const std::string& what) { return absl::InvalidArgumentError(what); }

// Good for a socket, not whether anyone listens there.
bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || text.find_first_of(" /@") != std::string_view::npos)
    return false;
  const std::string_view digits = text.substr(colon + 1);
  int port = 0;
  const auto got = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return got.ec == std::errc() && got.ptr == digits.data() + digits.size() && port > 0 && port < 65536;
}

absl::Status read_controls(const std::string& list, const std::string& place, Order& into) {
  std::istringstream in(list);
  for (std::string one; std::getline(in, one, ',');) {
    if (one.empty()) continue;
    if (!is_address(one)) return wrong(place + ": '" + one + "' is not HOST:PORT");
    into.controls.push_back(one);
  }
  if (into.controls.size() > controls_most) return wrong(place + ": over 1000 addresses");
  return absl::OkStatus();
}

const Command* command_of(const std::vector<std::string>& words, std::size_t& used) {
  for (used = 2; used > 0; --used) {
    if (words.size() < used) continue;
    const std::string name = used == 2 ? words[0] + " " + words[1] : words[0];
    for (const Command& c : all) {
      if (c.words == name) return &c;
    }
  }
  return nullptr;
}

}  // namespace

std::span<const Command> commands() { return all; }

absl::StatusOr<Order> read_order(const std::vector<std::string>& arguments, const std::string& control) {
  Order out;
  out.timeout = Span::ms(timeout_s * 1000);
  std::vector<const char*> argv = {"chutevanectl"};
  for (const std::string& a : arguments) argv.push_back(a.c_str());
  try {
    cxxopts::Options options = described();
    const auto given = options.parse(static_cast<int>(argv.size()), argv.data());
    out.help = given.count("help") > 0;
    out.version = given.count("version") > 0;
    if (out.help || out.version) return out;
    const auto words =
        given.count("words") > 0 ? given["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (words.empty()) return wrong("no command; --help lists them");
    std::size_t used = 0;
    const Command* const command = command_of(words, used);
    if (command == nullptr) return wrong("'" + words[0] + "': no such command; --help lists them");
    const std::string name(command->words);
    out.verb = command->verb;
    const std::size_t wanted = command->operand.empty() ? 0 : 1;
    if (words.size() < used + wanted)
      return wrong(name + ": " + std::string(command->operand) + " is missing");
    if (words.size() > used + wanted) return wrong(name + ": '" + words[used + wanted] + "' is too much");
    if (wanted > 0) out.operand = words[used];
    if (wanted > 0 && out.operand.empty())
      return wrong(name + ": " + std::string(command->operand) + " is empty");
    // It goes into a request's target as it stands.
    if (command->operand == "NODE" && out.operand.find_first_not_of(node_letters) != std::string::npos)
      return wrong(name + ": '" + out.operand + "' has letters that no path takes");
    for (const auto& one : given.arguments()) {
      const std::string key = " " + one.key() + " ";
      if (common.find(key) == std::string_view::npos && command->own.find(key) == std::string_view::npos)
        return wrong(name + ": takes no --" + one.key());
    }
    out.json = given.count("json") > 0;
    out.wait = given.count("wait") > 0;
    const auto seconds = given["timeout"].as<double>();
    if (!(seconds > 0) || !(seconds <= timeout_most_s))
      return wrong("--timeout: not above 0 and up to 86400 s");
    out.timeout = Span::ms(seconds * 1000);
    if (given.count("output") > 0) out.output = given["output"].as<std::string>();
    if (given.count("program") > 0) out.program = given["program"].as<std::string>();
    if (given.count("base") > 0) {
      out.base = given["base"].as<std::int64_t>();
      if (*out.base < 0) return wrong("--base: below 0");
    }
    if (out.verb == Verb::retire_start) {
      if (given.count("deadline-s") == 0) return wrong("retire start: --deadline-s is missing");
      out.deadline_s = given["deadline-s"].as<double>();
      if (!(out.deadline_s > 0) || !std::isfinite(out.deadline_s)) return wrong("--deadline-s: not above 0");
    }
    if (out.verb == Verb::completion && out.operand != "bash")
      return wrong("completion: '" + out.operand + "' is not bash");
    if (!command->calls) return out;
    const bool named = given.count("control") > 0;
    const std::string place = named ? "--control" : control_variable;
    if (auto s = read_controls(named ? given["control"].as<std::string>() : control, place, out); !s.ok())
      return s;
    if (out.controls.empty())
      return wrong(name + ": no control address: give --control, or set " + std::string(control_variable));
    return out;
  } catch (const std::exception& e) {  // cxxopts' own: each names its option
    return wrong(e.what());
  }
}

std::string help_text() {
  cxxopts::Options options = described();
  options.custom_help("COMMAND [OPTION...]");
  options.positional_help("");
  options.set_width(108);
  std::string out = options.help() + "\nCommands:\n";
  for (const Command& c : all) {
    std::string line = "  " + std::string(c.words);
    if (!c.operand.empty()) line += " " + std::string(c.operand);
    line.resize(std::max<std::size_t>(line.size() + 2, 24), ' ');
    out += line + std::string(c.about) + "\n";
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
  std::string first, rules;
  for (const Command& c : all) {
    const std::string words(c.words), word = words.substr(0, words.find(' '));
    if ((" " + first + " ").find(" " + word + " ") == std::string::npos)
      first += (first.empty() ? "" : " ") + word;
    if (word.size() == words.size()) continue;
    // Commands of two words stand together in the table.
    const std::string open = "    " + word + ") words=\"";
    if (rules.find(open) == std::string::npos) rules += open + "\" ;;\n";
    const std::size_t end = rules.find("\" ;;", rules.find(open));
    const std::string second = words.substr(word.size() + 1);
    rules.insert(end, (rules[end - 1] == '"' ? "" : " ") + second);
  }
  return "# bash completion of chutevanectl: source this, or lay it in bash-completion's folder\n"
         "_chutevane_ctl() {\n"
         "  local at=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]} words=\n"
         "  COMPREPLY=()\n"
         "  case $at in\n"
         "    -*)\n"
         "      words=\"--control --timeout --json --output --base --deadline-s --wait --program --version "
         "--help\"\n"
         "      COMPREPLY=($(compgen -W \"$words\" -- \"$at\"))\n"
         "      return ;;\n"
         "  esac\n"
         "  case ${before##*/} in\n"
         "    chutevanectl) words=\"" +
         first + "\" ;;\n" + rules +
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
