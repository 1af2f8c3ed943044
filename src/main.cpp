// chutevane: the sidecar as a program.
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <string>

#include "config/config.hpp"
#include "operator_file/explain.hpp"
#include "operator_file/reader.hpp"
#include "sidecar/daemon.hpp"
#include "snapshot/file_snapshot_store.hpp"

namespace {

using namespace chutevane;

int explain(const operator_file::Model& model, const cxxopts::ParseResult& given) {
  operator_file::ExplainQuery q;
  q.host = given["host"].as<std::string>();
  q.path = given["path"].as<std::string>();
  q.method = given["method"].as<std::string>();
  if (given.count("header") > 0) {
    for (const std::string& one : given["header"].as<std::vector<std::string>>()) {
      const std::size_t equal = one.find('=');
      if (equal == std::string::npos) throw std::runtime_error("--header " + one + ": write NAME=VALUE");
      q.headers[one.substr(0, equal)] = one.substr(equal + 1);
    }
  }
  return std::printf("%s", operator_file::explain(model, q).c_str()) < 0 ? 1 : 0;
}

// `state show FILE`: both generations, as far as they can be read.
int show_state(const std::string& path) {
  if (!std::ifstream(path) && !std::ifstream(path + ".1"))
    throw std::runtime_error(path + ": no state there");
  bool all = true;
  for (const std::string& one : {path, path + ".1"}) {
    std::ifstream in(one, std::ios::binary);
    if (!in) continue;
    std::string text(snapshot::max_snapshot_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    try {
      std::printf("%s\n%s", one.c_str(),
                  snapshot::describe(snapshot::parse(text), snapshot::read_machine_clock()).c_str());
    } catch (const snapshot::FormatError& e) {
      std::printf("%s\nbroken: %s\n", one.c_str(), e.what());
      all = false;
    }
  }
  return all ? 0 : 1;
}

cxxopts::Options command_line() {
  cxxopts::Options options("chutevane", "A load balancer for services that call services");
  auto add = options.add_options();
  add("command",
      "serve, check (a configuration), explain (what a file makes of a request), state (show FILE) or "
      "version",
      cxxopts::value<std::string>());
  add("file", "an operator's file, in TOML", cxxopts::value<std::string>());
  add("of", "state show: the file", cxxopts::value<std::string>());
  add("c,config", "the platform's configuration; else what EDGE_CONFIG names", cxxopts::value<std::string>());
  add("host", "explain: the request's host", cxxopts::value<std::string>()->default_value(""));
  add("path", "explain: its path", cxxopts::value<std::string>()->default_value("/"));
  add("method", "explain: its method", cxxopts::value<std::string>()->default_value("GET"));
  add("header", "explain: NAME=VALUE, any number", cxxopts::value<std::vector<std::string>>());
  add("h,help", "this text");
  options.parse_positional({"command", "file", "of"});
  options.positional_help(
      "serve [FILE.toml] | check [FILE.toml] | explain FILE.toml | state show FILE | version");
  return options;
}

/// The commands that an operator's file is given to.
int run_with_operator_file(const std::string& command, const std::string& file, const std::string& folder,
                           const cxxopts::ParseResult& given) {
  const operator_file::Model model = operator_file::load(file);
  if (command == "explain") return explain(model, given);
  if (command == "serve") return sidecar::serve_file(model, folder);
  return std::printf("%s", operator_file::summary(model).c_str()) < 0 ? 1 : 0;
}

/// The commands that use the platform's configuration.
int run_with_platform_configuration(const std::string& command, const std::string& path,
                                    const std::string& folder) {
  const auto reading = [&] { return config::load(path, [](const char* name) { return std::getenv(name); }); };
  if (command == "serve") return sidecar::serve(reading, folder);
  return std::printf("%s: in order\n", reading().name.c_str()) < 0 ? 1 : 0;
}

std::string text_of(const cxxopts::ParseResult& given, const char* option) {
  return given.count(option) > 0 ? given[option].as<std::string>() : "";
}

int run(const cxxopts::Options& options, const cxxopts::ParseResult& given, const std::string& folder) {
  const std::string command = text_of(given, "command"), file = text_of(given, "file");
  if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
  if (command == "version") return std::printf("chutevane %s\n", CHUTEVANE_VERSION) < 0 ? 1 : 0;
  if (command == "state" && file == "show" && given.count("of") > 0) return show_state(text_of(given, "of"));
  const bool is_known = command == "serve" || command == "check" || command == "explain";
  if (!is_known || (command == "explain" && file.empty())) {
    std::fprintf(stderr, "%s", options.help().c_str());
    return 2;
  }
  if (!file.empty()) return run_with_operator_file(command, file, folder, given);
  return run_with_platform_configuration(command, text_of(given, "config"), folder);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = command_line();
  const char* const temporary = std::getenv("TMPDIR");
  const std::string folder = temporary != nullptr ? temporary : "";
  try {
    return run(options, options.parse(argc, argv), folder);
  } catch (const operator_file::OperatorFileError& e) {
    std::fprintf(stderr, "%s\n", e.what());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "chutevane: %s\n", e.what());
  }
  return 2;
}
