// chutevane: the sidecar as a program.
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <string>

#include "config/config.hpp"
#include "sidecar/sidecar.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  cxxopts::Options options("chutevane", "A load balancer for services that call services");
  options.add_options()("command", "serve, check (the configuration) or version",
                        cxxopts::value<std::string>())("c,config",
                                                       "the configuration; else what EDGE_CONFIG names",
                                                       cxxopts::value<std::string>())("h,help", "this text");
  options.parse_positional("command");
  options.positional_help("serve|check|version");
  try {
    const auto given = options.parse(argc, argv);
    const std::string command = given.count("command") > 0 ? given["command"].as<std::string>() : "";
    if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
    if (command == "version") return std::printf("chutevane %s\n", CHUTEVANE_VERSION) < 0 ? 1 : 0;
    if (command != "serve" && command != "check") {
      std::fprintf(stderr, "%s", options.help().c_str());
      return 2;
    }
    const std::string path = given.count("config") > 0 ? given["config"].as<std::string>() : "";
    const auto reading = [&] {
      return config::load(path, [](const char* name) { return std::getenv(name); });
    };
    if (command == "serve") return sidecar::serve(reading);
    return std::printf("%s: in order\n", reading().name.c_str()) < 0 ? 1 : 0;
  } catch (const ConfigError& e) {
    std::fprintf(stderr, "chutevane: %s\n", e.what());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "chutevane: %s\n", e.what());
  }
  return 2;
}
